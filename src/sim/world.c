#include "sim/world.h"

#include "node/partitions.h"

#include <string.h>

enum {
    TICK_MS = 20,
    FIRST_PORT = 1000,
    BACKEND_PORT = 5000,
    LATENCY_SAME_ZONE_MS = 1,
    LATENCY_OTHER_ZONE_MS = 2,
    CLIENT_LATENCY_MS = 2,
    START_SPREAD_MS = 200,
    JOINING_MS = 4000, /**< A new node counts as disturbed for so long. */
    SKEW_MS = 40,
};

/** Unix time at which every run begins. */
#define EPOCH_MS INT64_C(1790000000000)

_Thread_local sim_t *sim_world;

typedef struct {
    int64_t time_ms;
    uint64_t number;
    sim_task_t task;
    void *data;
} event_t;

/* --- Events: a binary heap by time, then by order of scheduling ------------------------------- */

static event_t *event_at(const sim_t *sim, guint i) {
    return g_ptr_array_index(sim->events, i);
}

static bool is_before(const event_t *left, const event_t *right) {
    return left->time_ms != right->time_ms ? left->time_ms < right->time_ms
                                           : left->number < right->number;
}

static void swap_events(sim_t *sim, guint i, guint j) {
    gpointer kept = sim->events->pdata[i];
    sim->events->pdata[i] = sim->events->pdata[j];
    sim->events->pdata[j] = kept;
}

void sim_at(sim_t *sim, int64_t time_ms, sim_task_t task, void *data) {
    event_t *event = g_new0(event_t, 1);
    *event = (event_t){.time_ms = time_ms, .number = sim->next_event++, .task = task, .data = data};
    g_ptr_array_add(sim->events, event);
    for (guint i = sim->events->len - 1; i > 0; i = (i - 1) / 2) {
        if (!is_before(event_at(sim, i), event_at(sim, (i - 1) / 2)))
            return;
        swap_events(sim, i, (i - 1) / 2);
    }
}

void sim_after(sim_t *sim, int64_t delay_ms, sim_task_t task, void *data) {
    sim_at(sim, sim->now_ms + delay_ms, task, data);
}

static event_t *next_event(sim_t *sim) {
    event_t *first = event_at(sim, 0);
    guint last = sim->events->len - 1;
    sim->events->pdata[0] = sim->events->pdata[last];
    g_ptr_array_set_size(sim->events, (gint)last);
    for (guint i = 0;;) {
        guint smallest = i;
        for (guint child = 2 * i + 1; child <= 2 * i + 2 && child < last; child++)
            if (is_before(event_at(sim, child), event_at(sim, smallest)))
                smallest = child;
        if (smallest == i)
            return first;
        swap_events(sim, i, smallest);
        i = smallest;
    }
}

int64_t sim_between(const sim_t *sim, int64_t low, int64_t high) {
    return low + (int64_t)(g_rand_double(sim->random) * (double)(high - low + 1));
}

/* --- Machines ------------------------------------------------------------------------------- */

node_t *machine_node(const sim_t *sim, const machine_t *machine) {
    if (machine->node == NULL || machine->paused_until_ms > sim->now_ms)
        return NULL;
    machine->node->now_ms = sim->now_ms;
    machine->node->unix_ms = EPOCH_MS + sim->now_ms + machine->clock_skew_ms;
    return machine->node;
}

static settings_t *machine_settings(const sim_t *sim, const machine_t *machine) {
    char *listen = g_strdup_printf("127.0.0.1:%u", machine->port);
    char *partitions = g_strdup_printf("%u", sim->scenario.partitions);
    char *voters = g_strdup_printf("%u", sim->scenario.voters);
    char *members = g_strdup_printf("%u", sim->machines->len);
    static const char zeros[] = "0000000000000000000000000000000000000000000000000000000000000000";
    const settings_override_t overrides[] = {
        {"node.name", machine->name},
        {"node.zone", machine->zone},
        {"http.listen", listen},
        {"peer.listen", listen},
        {"peer.seeds", "127.0.0.1:1000;127.0.0.1:1001;127.0.0.1:1002"},
        {"peer.cluster_key", zeros},
        {"admin.token_sha256", zeros},
        {"platform.key_value", "127.0.0.1:1"},
        {"platform.machine_list", "127.0.0.1:2"},
        {"cluster.partitions", partitions},
        {"cluster.voters", voters},
        {"cluster.bootstrap_members", members},
        {"limits.call_timeout_seconds", "8"},
    };
    GPtrArray *mistakes = g_ptr_array_new_with_free_func((GDestroyNotify)settings_mistake_free);
    settings_t *settings = settings_read(NULL, overrides, G_N_ELEMENTS(overrides), mistakes);
    g_assert(mistakes->len == 0);
    g_ptr_array_unref(mistakes);
    g_free(listen);
    g_free(partitions);
    g_free(voters);
    g_free(members);
    return settings;
}

void machine_start(sim_t *sim, machine_t *machine) {
    if (machine->node != NULL)
        return;
    machine->generation++;
    machine->paused_until_ms = 0;
    machine->stop_started_ms = 0;
    machine->revision = 0;
    machine->disturbed_until_ms = sim->now_ms + JOINING_MS;
    instance_id_t instance =
        (instance_id_t)(sim->now_ms + 1) << 20 | machine->port << 8 | (machine->generation & 0xff);
    machine->node = node_new(machine_settings(sim, machine), instance);
    machine->node->client = (http_client_t *)machine;
    machine->node->transport = (peer_transport_t *)machine;
    machine_node(sim, machine);
    node_join(machine->node, machine->port, machine->port);
    machine->bootstrap = bootstrap_new();
}

void machine_kill(sim_t *sim, machine_t *machine) {
    if (machine->node == NULL)
        return;
    machine->generation++;
    machine_drop_requests(sim, machine);
    bootstrap_free(machine->bootstrap);
    node_release(machine->node);
    machine->node = NULL;
}

static void finish_stop(sim_t *sim, machine_t *machine) {
    unsigned cut_off = node_work_left(machine->node) + machine->requests->len;
    sim->figures.cut_off += cut_off;
    sim->figures.stops++;
    history_add(sim->history, &(history_record_t){.kind = HISTORY_STOPPED,
                                                  .time_ms = sim->now_ms,
                                                  .place = machine->name,
                                                  .number = cut_off});
    machine_kill(sim, machine);
}

static void note_revision(sim_t *sim, machine_t *machine) {
    const configuration_t *configuration = machine->node->configuration;
    uint64_t revision = configuration_revision(configuration);
    if (revision == machine->revision)
        return;
    machine->revision = revision;
    char *place = g_strdup_printf("%s.%u", machine->name, machine->generation);
    history_add(sim->history,
                &(history_record_t){.kind = HISTORY_IN_FORCE,
                                    .time_ms = sim->now_ms,
                                    .place = place,
                                    .text = (char *)configuration_edit_id(configuration),
                                    .number = revision});
    g_free(place);
}

static void tick_machine(sim_t *sim, void *data) {
    machine_t *machine = data;
    node_t *node = machine_node(sim, machine);
    sim_after(sim, TICK_MS, tick_machine, machine);
    if (node == NULL)
        return;
    node_tick(node, machine->bootstrap);
    note_revision(sim, machine);
    if (!g_atomic_int_get(&node->stop_requested))
        return;
    if (!node->stopping) {
        machine->stop_started_ms = sim->now_ms;
        node_begin_stop(node);
    }
    if (node_stop_is_complete(node, machine->stop_started_ms) && machine->requests->len == 0)
        finish_stop(sim, machine);
}

machine_t *sim_random_machine(const sim_t *sim, bool alive) {
    guint start = (guint)sim_between(sim, 0, sim->machines->len - 1);
    for (guint i = 0; i < sim->machines->len; i++) {
        machine_t *machine = g_ptr_array_index(sim->machines, (start + i) % sim->machines->len);
        if (!alive || machine_node(sim, machine) != NULL)
            return machine;
    }
    return g_ptr_array_index(sim->machines, start);
}

sim_backend_t *sim_find_backend(const sim_t *sim, uint32_t port) {
    for (guint i = 0; i < sim->backends->len; i++) {
        sim_backend_t *backend = g_ptr_array_index(sim->backends, i);
        if (backend->port == port)
            return backend;
    }
    return NULL;
}

/* --- The network ---------------------------------------------------------------------------- */

typedef struct {
    machine_t *to;
    uint32_t from_zone;
    bool datagram;
    GBytes *bytes;
} parcel_t;

static void arrive(sim_t *sim, void *data) {
    parcel_t *parcel = data;
    node_t *node = machine_node(sim, parcel->to);
    bool cut = sim->cut[parcel->from_zone][parcel->to->zone_index];
    if (node == NULL && parcel->to->node != NULL && !parcel->datagram && !cut) {
        /* The kernel keeps what comes for a paused process. */
        sim_at(sim, parcel->to->paused_until_ms, arrive, parcel);
        return;
    }
    if (node != NULL && !cut) {
        size_t length;
        const void *bytes = g_bytes_get_data(parcel->bytes, &length);
        peer_message_t *message = peer_message_decode(bytes, length, NULL);
        g_assert(message != NULL);
        if (message->to == 0 || message->to == node->instance)
            node_handle_message(node, message);
        else
            peer_message_free(message);
    }
    g_bytes_unref(parcel->bytes);
    g_free(parcel);
}

static machine_t *find_machine(const sim_t *sim, uint32_t port) {
    return port >= FIRST_PORT && port < FIRST_PORT + sim->machines->len
               ? g_ptr_array_index(sim->machines, port - FIRST_PORT)
               : NULL;
}

/** Frames between two machines keep their order; datagrams do not. */
static int64_t arrival_time(sim_t *sim, const machine_t *from, const machine_t *to, bool datagram) {
    int64_t latency =
        from->zone_index == to->zone_index ? LATENCY_SAME_ZONE_MS : LATENCY_OTHER_ZONE_MS;
    int64_t time_ms = sim->now_ms + latency + sim_between(sim, 0, 1 + sim->extra_latency_ms);
    if (datagram)
        return time_ms;
    guint link = (from->port - FIRST_PORT) * sim->machines->len + (to->port - FIRST_PORT);
    sim->link_times[link] = MAX(time_ms, sim->link_times[link]);
    return sim->link_times[link];
}

void peer_transport_send(peer_transport_t *transport, const char *address, uint32_t port,
                         peer_message_t *message, bool datagram) {
    (void)address;
    sim_t *sim = sim_world;
    const machine_t *from = (const machine_t *)(void *)transport;
    machine_t *to = find_machine(sim, port);
    sim->figures.messages++;
    if (to == NULL || (datagram && g_rand_double(sim->random) < sim->loss))
        return;
    parcel_t *parcel = g_new0(parcel_t, 1);
    parcel->to = to;
    parcel->from_zone = from->zone_index;
    parcel->datagram = datagram;
    parcel->bytes = peer_message_encode(message);
    sim_at(sim, arrival_time(sim, from, to, datagram), arrive, parcel);
}

/* --- The whole ------------------------------------------------------------------------------ */

static machine_t *machine_new(uint32_t zone, uint32_t number) {
    machine_t *machine = g_new0(machine_t, 1);
    machine->name = g_strdup_printf("n%u", number);
    machine->zone = g_strdup_printf("z%u", zone);
    machine->zone_index = zone;
    machine->port = FIRST_PORT + number;
    machine->requests = g_ptr_array_new();
    return machine;
}

static void add_backend(sim_t *sim, backend_kind_t kind, const char *offers) {
    sim_backend_t *backend = g_new0(sim_backend_t, 1);
    uint32_t number = sim->backends->len;
    backend->kind = kind;
    backend->name = g_strdup_printf("b%u", number);
    backend->offers = g_strdup(offers);
    backend->zone_index = number % sim->scenario.zones;
    backend->zone = g_strdup_printf("z%u", backend->zone_index);
    backend->port = BACKEND_PORT + number;
    backend->held = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_ptr_array_add(sim->backends, backend);
}

static void start_machine(sim_t *sim, void *data) {
    machine_start(sim, data);
}

static void build(sim_t *sim) {
    const scenario_t *scenario = &sim->scenario;
    for (uint32_t i = 0; i < scenario->zones * scenario->nodes_per_zone; i++)
        g_ptr_array_add(sim->machines, machine_new(i % scenario->zones, i));
    sim->link_times = g_new0(int64_t, (gsize)sim->machines->len * sim->machines->len);
    for (guint i = 0; i < sim->machines->len; i++) {
        machine_t *machine = g_ptr_array_index(sim->machines, i);
        machine->clock_skew_ms = sim_between(sim, -SKEW_MS, SKEW_MS);
        sim_at(sim, sim_between(sim, 0, START_SPREAD_MS), start_machine, machine);
        sim_at(sim, sim_between(sim, 1, TICK_MS), tick_machine, machine);
    }
    for (uint32_t i = 0; i < scenario->engines; i++)
        add_backend(sim, BACKEND_ENGINE, "base");
    for (uint32_t i = 0; i < 3; i++)
        add_backend(sim, BACKEND_SERVICE, "ledger");
}

static void key_value_entry_free(gpointer data) {
    key_value_entry_t *entry = data;
    g_free(entry->value);
    g_free(entry);
}

/** True if some node leads @p partition and all its voters, in full number, are alive. */
static bool is_at_strength(const sim_t *sim, uint32_t partition) {
    for (guint i = 0; i < sim->machines->len; i++) {
        const machine_t *machine = g_ptr_array_index(sim->machines, i);
        const raft_configuration_t *configuration =
            machine->node != NULL ? partitions_led_configuration(machine->node, partition) : NULL;
        if (configuration == NULL || configuration->voter_count < sim->scenario.voters)
            continue;
        uint32_t alive = 0;
        for (guint j = 0; j < sim->machines->len; j++) {
            const machine_t *other = g_ptr_array_index(sim->machines, j);
            alive += other->node != NULL && raft_is_voter(configuration, other->node->instance);
        }
        if (alive >= sim->scenario.voters)
            return true;
    }
    return false;
}

uint32_t sim_groups_below_strength(const sim_t *sim) {
    uint32_t count = 0;
    for (uint32_t i = 0; i < sim->scenario.partitions; i++)
        count += !is_at_strength(sim, i);
    return count;
}

static void note_held(sim_t *sim) {
    for (guint i = 0; i < sim->backends->len; i++) {
        const sim_backend_t *backend = g_ptr_array_index(sim->backends, i);
        GHashTableIter iterator;
        gpointer program;
        g_hash_table_iter_init(&iterator, backend->held);
        while (g_hash_table_iter_next(&iterator, &program, NULL))
            history_add(sim->history, &(history_record_t){.kind = HISTORY_HELD,
                                                          .time_ms = sim->now_ms,
                                                          .program = program,
                                                          .place = backend->name});
    }
}

sim_t *sim_run(const scenario_t *scenario, uint64_t seed) {
    sim_t *sim = g_new0(sim_t, 1);
    sim_world = sim;
    sim->scenario = *scenario;
    sim->random = g_rand_new_with_seed((guint32)(seed * 2654435761U + 1));
    sim->events = g_ptr_array_new();
    sim->machines = g_ptr_array_new();
    sim->backends = g_ptr_array_new();
    sim->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, key_value_entry_free);
    sim->history = history_new();
    sim->figures.recovery_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
    sim->figures.repair_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
    sim->figures.spread_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
    build(sim);
    operators_start(sim);
    callers_start(sim);
    faults_start(sim);
    int64_t end_ms = scenario->duration_ms + scenario->settle_ms;
    while (sim->events->len > 0 && event_at(sim, 0)->time_ms <= end_ms) {
        event_t *event = next_event(sim);
        sim->now_ms = event->time_ms;
        event->task(sim, event->data);
        g_free(event);
    }
    note_held(sim);
    sim->figures.groups_below_strength = sim_groups_below_strength(sim);
    return sim;
}

void sim_free(sim_t *sim) {
    for (guint i = 0; i < sim->machines->len; i++)
        machine_kill(sim, g_ptr_array_index(sim->machines, i));
    for (guint i = 0; i < sim->machines->len; i++) {
        machine_t *machine = g_ptr_array_index(sim->machines, i);
        g_free(machine->name);
        g_free(machine->zone);
        g_ptr_array_unref(machine->requests);
        g_free(machine);
    }
    for (guint i = 0; i < sim->backends->len; i++) {
        sim_backend_t *backend = g_ptr_array_index(sim->backends, i);
        g_free(backend->name);
        g_free(backend->offers);
        g_free(backend->zone);
        g_hash_table_unref(backend->held);
        g_free(backend);
    }
    for (guint i = 0; i < sim->events->len; i++)
        g_free(event_at(sim, i));
    g_ptr_array_unref(sim->events);
    g_ptr_array_unref(sim->machines);
    g_ptr_array_unref(sim->backends);
    g_hash_table_unref(sim->entries);
    g_free(sim->link_times);
    g_rand_free(sim->random);
    g_array_unref(sim->figures.recovery_ms);
    g_array_unref(sim->figures.repair_ms);
    g_array_unref(sim->figures.spread_ms);
    history_free(sim->history);
    g_free(sim);
    sim_world = NULL;
}
