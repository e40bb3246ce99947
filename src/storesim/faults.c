/*
 * Design. One fault after another, each drawn with its time and place. What may be lost at once
 * follows the users' tolerance: a disk is lost only while every member is sound, and all power
 * may go at any moment, with one disk if every member was sound. Everything else may come at any
 * moment, also together.
 */
#include "storesim/world.h"

typedef enum {
    FAULT_KILL_STORE,
    FAULT_POWER_STORE,
    FAULT_LOSE_DISK,
    FAULT_POWER_ALL,
    FAULT_POWER_ALL_AND_DISK,
    FAULT_KILL_ALL,
    FAULT_PAUSE_STORE,
    FAULT_PAUSE_GATEWAY,
    FAULT_KILL_GATEWAY,
    FAULT_CUT_STORES,
    FAULT_CUT_GATEWAY,
    FAULT_DISK_FULL,
    FAULT_KEY_VALUE_DOWN,
    FAULT_KEY_VALUE_ANSWERS,
    FAULT_ADD_SPARE,
    FAULT_REPLACE,
    FAULT_RETIRE,
    FAULT_KINDS,
} fault_kind_t;

static const char *const fault_names[FAULT_KINDS] = {
    "kill_store",  "power_store", "lose_disk",      "power_all",         "power_all_and_disk",
    "kill_all",    "pause_store", "pause_gateway",  "kill_gateway",      "cut_stores",
    "cut_gateway", "disk_full",   "key_value_down", "key_value_answers", "add_spare",
    "replace",     "retire",
};

enum {
    PAUSE_LEAST_MS = 100, /**< Between two faults of a seed with many. */
    PAUSE_MANY_MS = 1000,
    PAUSE_SOME_MS = 4000,
    PAUSE_FEW_MS = 12000,
    PAUSE_ONE_KIND_MS = 9000,
    SINGLE_PAUSE_MOST_MS = 500, /**< Between looks whether the next single outage may begin. */
    DOWN_LEAST_MS = 300,
    DOWN_MOST_MS = 4000,
    STALL_LEAST_MS = 500,
    STALL_MOST_MS = 6000,
    STALL_PAUSE_MOST_MS = 5000, /**< Between two stalls. */
    STALL_ALL_PERCENT = 40,     /**< Of the stalls: at all storage nodes, which share a disk. */
    HOLD_LEAST_MS = 5000,       /**< Longer than callers wait. */
    HOLD_MOST_MS = 45000,
    HOLD_PAUSE_MOST_MS = 9000, /**< Between the beginnings of two. */
    HOLD_ALL_PERCENT = 40,
    HOLD_SEVERAL_PERCENT = 50,      /**< Of the others; else at one. */
    OVERWRITE_PAUSE_MOST_MS = 4000, /**< Between two interferences with the group's key. */
    OVERWRITE_BYTES_MOST = 200,
    OVERWRITE_PERCENT = 60, /**< Of the interferences; else a node is cut off from the service. */
    SERIES_PAUSE_MOST_MS = 6000, /**< Between the beginnings of two series of planned stops. */
    SERIES_STEP_MOST_MS = 1500,  /**< Between two stops of a series. */
    SERIES_OTHER_MOST_MS = 6000, /**< From its beginning to the other change that meets it. */
    STOP_TIMEOUT_MS = 1000,      /**< As in store/main.c. */
};

static uint64_t counts[FAULT_KINDS];
static uint64_t planned_stops;
static uint64_t overwritten_groups;
static uint64_t faults_until;
static uint64_t pause_most;
static int only_kind; /**< The only kind drawn; -1: all are. */
static world_t *world;

static uint64_t duration(void) {
    return virtual_random(DOWN_LEAST_MS, DOWN_MOST_MS);
}

static world_store_t *random_store(void) {
    for (unsigned i = 0; i < 50; i++) {
        world_store_t *store =
            g_ptr_array_index(world->stores, virtual_random(0, world->stores->len - 1));
        if (store->store != NULL)
            return store;
    }
    return NULL;
}

static world_gateway_t *random_gateway(void) {
    return g_ptr_array_index(world->gateways, virtual_random(0, world->gateways->len - 1));
}

static void restart_store(void *data) {
    world_store_t *store = data;
    if (store->store != NULL || store->gone)
        return;
    world_start_store(store, false);
    store->lost_until = virtual_now() + CATCH_UP_MS;
}

/** It has what it had when it was stopped: nothing counts as lost. */
static void return_from_stop(void *data) {
    world_store_t *store = data;
    if (store->store == NULL && !store->gone)
        world_start_store(store, false);
}

static void end_store(world_store_t *store, world_end_t end, uint64_t down) {
    store->lost_until = virtual_now() + down + CATCH_UP_MS;
    world_end_store(store, end);
    virtual_after(down, NULL, restart_store, store);
}

static void restart_gateway(void *data) {
    world_gateway_t *gateway = data;
    if (gateway->client == NULL)
        world_start_gateway(gateway);
}

static void end_all(world_end_t end, const world_store_t *disk_lost) {
    for (guint i = 0; i < world->stores->len; i++) {
        world_store_t *store = g_ptr_array_index(world->stores, i);
        if (store->store != NULL)
            end_store(store, store == disk_lost ? END_DISK_LOST : end, duration());
    }
    for (guint i = 0; i < world->gateways->len; i++) {
        world_gateway_t *gateway = g_ptr_array_index(world->gateways, i);
        if (gateway->client == NULL)
            continue;
        world_end_gateway(gateway);
        virtual_after(duration(), NULL, restart_gateway, gateway);
    }
}

typedef struct {
    virtual_process_t *a;
    virtual_process_t *b;
} cut_t;

static void heal_cut(void *data) {
    const cut_t *cut = data;
    virtual_network_cut(cut->a, cut->b, false);
    g_free(data);
}

static void cut(virtual_process_t *a, virtual_process_t *b, uint64_t ms) {
    cut_t *record = g_new0(cut_t, 1);
    record->a = a;
    record->b = b;
    virtual_network_cut(a, b, true);
    virtual_after(ms, NULL, heal_cut, record);
}

static void cut_from_some_stores(virtual_process_t *process) {
    uint64_t ms = duration();
    for (guint i = 0; i < world->stores->len; i++) {
        const world_store_t *store = g_ptr_array_index(world->stores, i);
        if (store->process != process && virtual_chance(50))
            cut(process, store->process, ms);
    }
}

static void empty_disk(void *data) {
    ((virtual_disk_t *)data)->full = false;
}

static void key_value_up(void *data) {
    (void)data;
    virtual_key_value_set_down(false);
}

static void key_value_answers(void *data) {
    (void)data;
    virtual_key_value_lose_answers(0);
}

static world_store_t *next_spare(void) {
    for (guint i = 0; i < world->stores->len; i++) {
        world_store_t *store = g_ptr_array_index(world->stores, i);
        if (!store->exists)
            return store;
    }
    return NULL;
}

static void start_spare(void *data) {
    world_store_t *store = data;
    if (store->store != NULL)
        return;
    world_start_store(store, false);
    store->lost_until = virtual_now() + CATCH_UP_MS;
}

static bool add_spare(uint64_t delay) {
    world_store_t *spare = next_spare();
    if (spare == NULL)
        return false;
    spare->exists = true;
    virtual_after(delay, NULL, start_spare, spare);
    return true;
}

/** One is gone for good, and an empty one comes at another address. */
static bool replace(void) {
    world_store_t *store = random_store();
    if (!world_is_sound(world) || store == NULL || next_spare() == NULL)
        return false;
    uint64_t delay = virtual_random(200, 1500);
    store->lost_until = virtual_now() + delay + CATCH_UP_MS;
    store->gone = true;
    world_end_store(store, END_DISK_LOST);
    return add_spare(delay);
}

/* Retirement: the machine is taken away, with its disk, as soon as it says that it is empty. */

static void watch_retirement(void *data) {
    world_store_t *store = data;
    char *key = key_value_retire_status_key(store->settings.name);
    GBytes *status = virtual_key_value_get(key);
    GBytes *complete = key_value_retire_status(true);
    bool over = status != NULL && g_bytes_equal(status, complete);
    g_bytes_unref(complete);
    g_free(key);
    if (!over) {
        virtual_after(20, NULL, watch_retirement, store);
        return;
    }
    store->gone = true;
    if (store->store != NULL)
        world_end_store(store, END_DISK_LOST);
    /* Right after it another one loses its disk. */
    world_store_t *next = random_store();
    if (next != NULL && world_is_sound(world))
        end_store(next, END_DISK_LOST, duration());
}

static bool retire(void) {
    world_store_t *store = random_store();
    if (store == NULL || !world_is_sound(world))
        return false;
    char *key = g_strconcat(key_value_prefix(KEY_RETIRE), store->settings.name, NULL);
    if (virtual_key_value_get(key) == NULL) {
        virtual_key_value_put(key, g_bytes_new("now", 3));
        virtual_after(20, NULL, watch_retirement, store);
    }
    g_free(key);
    return true;
}

/** A pause within another one doesn't shorten it: what waits for its end would be overtaken. */
static void pause_process(virtual_process_t *process) {
    uint64_t until = virtual_now() + duration();
    process->paused_until = MAX(process->paused_until, until);
}

static bool inject_on_store(fault_kind_t kind, world_store_t *store) {
    switch (kind) {
    case FAULT_KILL_STORE:
        end_store(store, END_KILLED, duration());
        return true;
    case FAULT_POWER_STORE:
        end_store(store, END_POWER_LOST, duration());
        return true;
    case FAULT_LOSE_DISK:
        if (!world_is_sound(world))
            return false;
        end_store(store, END_DISK_LOST, virtual_random(1000, DOWN_MOST_MS));
        return true;
    case FAULT_PAUSE_STORE:
        pause_process(store->process);
        store->lost_until = MAX(store->lost_until, store->process->paused_until + CATCH_UP_MS);
        return true;
    case FAULT_CUT_STORES:
        cut_from_some_stores(store->process);
        return true;
    case FAULT_DISK_FULL:
        virtual_disk_of(store->process)->full = true;
        virtual_after(duration(), NULL, empty_disk, virtual_disk_of(store->process));
        return true;
    case FAULT_POWER_ALL_AND_DISK:
        if (!world_is_sound(world))
            return false;
        end_all(END_POWER_LOST, store);
        return true;
    default:
        return false;
    }
}

static bool inject_elsewhere(fault_kind_t kind) {
    world_gateway_t *gateway = random_gateway();
    switch (kind) {
    case FAULT_POWER_ALL:
        end_all(END_POWER_LOST, NULL);
        return true;
    case FAULT_KILL_ALL:
        end_all(END_KILLED, NULL);
        return true;
    case FAULT_PAUSE_GATEWAY:
        pause_process(gateway->process);
        return true;
    case FAULT_KILL_GATEWAY:
        if (gateway->client == NULL)
            return false;
        world_end_gateway(gateway);
        virtual_after(duration(), NULL, restart_gateway, gateway);
        return true;
    case FAULT_CUT_GATEWAY:
        cut_from_some_stores(gateway->process);
        return true;
    case FAULT_KEY_VALUE_DOWN:
        virtual_key_value_set_down(true);
        virtual_after(duration(), NULL, key_value_up, NULL);
        return true;
    case FAULT_KEY_VALUE_ANSWERS:
        virtual_key_value_lose_answers(50);
        virtual_after(duration(), NULL, key_value_answers, NULL);
        return true;
    case FAULT_ADD_SPARE:
        return add_spare(0);
    case FAULT_REPLACE:
        return replace();
    case FAULT_RETIRE:
        return retire();
    default:
        return false;
    }
}

static void inject(void *data) {
    (void)data;
    if (virtual_now() >= faults_until)
        return;
    virtual_after(virtual_random(PAUSE_LEAST_MS, pause_most), NULL, inject, NULL);
    fault_kind_t kind =
        only_kind >= 0 ? (fault_kind_t)only_kind : (fault_kind_t)virtual_random(0, FAULT_KINDS - 1);
    world_store_t *store = random_store();
    bool injected = store != NULL && inject_on_store(kind, store);
    if (!injected)
        injected = inject_elsewhere(kind);
    counts[kind] += injected;
}

bool faults_start(world_t *in_world, uint64_t until, const char *only) {
    static const uint64_t pauses[] = {PAUSE_MANY_MS, PAUSE_SOME_MS, PAUSE_FEW_MS};
    world = in_world;
    faults_until = until;
    only_kind = -1;
    for (int i = 0; only != NULL && i < FAULT_KINDS; i++)
        if (g_strcmp0(fault_names[i], only) == 0)
            only_kind = i;
    if (only != NULL && only_kind < 0)
        return false;
    pause_most =
        only != NULL ? PAUSE_ONE_KIND_MS : pauses[virtual_random(0, G_N_ELEMENTS(pauses) - 1)];
    virtual_after(virtual_random(0, pause_most), NULL, inject, NULL);
    return true;
}

/* Single outages, one after the other. */

static const fault_kind_t single_outages[] = {FAULT_KILL_STORE, FAULT_POWER_STORE,
                                              FAULT_PAUSE_STORE, FAULT_DISK_FULL};

/** Cuts a storage node from all gateways. */
static void cut_from_gateways(world_store_t *store) {
    uint64_t ms = duration();
    for (guint i = 0; i < world->gateways->len; i++) {
        const world_gateway_t *gateway = g_ptr_array_index(world->gateways, i);
        cut(store->process, gateway->process, ms);
    }
    store->lost_until = virtual_now() + ms + CATCH_UP_MS;
}

static void inject_single_outage(world_store_t *store) {
    unsigned kind = (unsigned)virtual_random(0, G_N_ELEMENTS(single_outages));
    if (kind == G_N_ELEMENTS(single_outages)) {
        cut_from_gateways(store);
        return;
    }
    inject_on_store(single_outages[kind], store);
    counts[single_outages[kind]]++;
    if (single_outages[kind] == FAULT_DISK_FULL)
        store->lost_until = virtual_now() + DOWN_MOST_MS + CATCH_UP_MS;
}

static void next_single_outage(void *data) {
    (void)data;
    bool sound = world_is_sound(world);
    world_store_t *store = random_store();
    bool last = virtual_now() >= faults_until;
    if (sound && store != NULL && last) {
        end_all(END_POWER_LOST, store);
        counts[FAULT_POWER_ALL_AND_DISK]++;
        return;
    }
    if (sound && store != NULL)
        inject_single_outage(store);
    virtual_after(virtual_random(PAUSE_LEAST_MS, SINGLE_PAUSE_MOST_MS), NULL, next_single_outage,
                  NULL);
}

void faults_start_single_outages(world_t *in_world, uint64_t until) {
    world = in_world;
    faults_until = until;
    virtual_after(virtual_random(0, SINGLE_PAUSE_MOST_MS), NULL, next_single_outage, NULL);
}

static void stall_disks(void *data) {
    (void)data;
    if (virtual_now() >= faults_until)
        return;
    virtual_after(virtual_random(PAUSE_LEAST_MS, STALL_PAUSE_MOST_MS), NULL, stall_disks, NULL);
    uint64_t ms = virtual_random(STALL_LEAST_MS, STALL_MOST_MS);
    unsigned percent = virtual_chance(STALL_ALL_PERCENT) ? 100 : 50;
    for (guint i = 0; i < world->stores->len; i++) {
        const world_store_t *store = g_ptr_array_index(world->stores, i);
        if (virtual_chance(percent))
            virtual_disk_stall(virtual_disk_of(store->process), ms);
    }
}

void faults_stall_disks(void) {
    virtual_after(virtual_random(PAUSE_LEAST_MS, STALL_PAUSE_MOST_MS), NULL, stall_disks, NULL);
}

static void hold_disk(const world_store_t *store, uint64_t ms) {
    virtual_disk_hold(virtual_disk_of(store->process), ms);
}

static void hold_disks(void *data) {
    (void)data;
    if (virtual_now() >= faults_until)
        return;
    virtual_after(virtual_random(PAUSE_LEAST_MS, HOLD_PAUSE_MOST_MS), NULL, hold_disks, NULL);
    uint64_t ms = virtual_random(HOLD_LEAST_MS, HOLD_MOST_MS);
    bool all = virtual_chance(HOLD_ALL_PERCENT);
    if (!all && !virtual_chance(HOLD_SEVERAL_PERCENT)) {
        const world_store_t *store = random_store();
        if (store != NULL)
            hold_disk(store, ms);
        return;
    }
    for (guint i = 0; i < world->stores->len; i++)
        if (all || virtual_chance(50))
            hold_disk(g_ptr_array_index(world->stores, i), ms);
}

void faults_hold_disks(void) {
    virtual_after(virtual_random(PAUSE_LEAST_MS, HOLD_PAUSE_MOST_MS), NULL, hold_disks, NULL);
}

/* Another writer at the key of the group. */

static void overwrite_group(void) {
    uint8_t bytes[OVERWRITE_BYTES_MOST];
    gsize length = virtual_random(0, sizeof bytes);
    for (gsize i = 0; i < length; i++)
        bytes[i] = (uint8_t)virtual_random(0, UINT8_MAX);
    store_group_t *group = store_group_decode(bytes, length);
    if (group == NULL) {
        char *key = key_value_own_key("group");
        virtual_key_value_put(key, g_bytes_new(bytes, length));
        g_free(key);
        overwritten_groups++;
    }
    store_group_free(group);
}

/** Half of them then find an odd value, behind which they have missed all that stood there. */
static void heal_service(void *data) {
    if (virtual_now() < faults_until && virtual_chance(50))
        overwrite_group();
    virtual_key_value_cut(data, false);
}

/**
 * A storage node misses what is written meanwhile. Half of them are cut off from the others for
 * longer: one that finds an odd value then has nobody to tell it of the groups that it has missed.
 */
static void cut_from_service(const world_store_t *store) {
    uint64_t ms = duration();
    virtual_key_value_cut(store->process, true);
    virtual_after(ms, NULL, heal_service, store->process);
    if (!virtual_chance(50))
        return;
    ms += duration();
    for (guint i = 0; i < world->gateways->len; i++) {
        const world_gateway_t *gateway = g_ptr_array_index(world->gateways, i);
        cut(store->process, gateway->process, ms);
    }
    for (guint i = 0; i < world->stores->len; i++) {
        const world_store_t *other = g_ptr_array_index(world->stores, i);
        if (other != store)
            cut(store->process, other->process, ms);
    }
}

static void interfere_with_group(void *data) {
    (void)data;
    if (virtual_now() >= faults_until)
        return;
    virtual_after(virtual_random(PAUSE_LEAST_MS, OVERWRITE_PAUSE_MOST_MS), NULL,
                  interfere_with_group, NULL);
    const world_store_t *store = random_store();
    if (virtual_chance(OVERWRITE_PERCENT))
        overwrite_group();
    else if (store != NULL)
        cut_from_service(store);
}

void faults_overwrite_group(void) {
    virtual_after(virtual_random(PAUSE_LEAST_MS, OVERWRITE_PAUSE_MOST_MS), NULL,
                  interfere_with_group, NULL);
}

/* Planned stops, in series that overlap with one another and with other planned changes. */

typedef enum {
    MEETS_JOIN,
    MEETS_RETIREMENT,
    MEETS_WIPE,
    MEETS_STALL,
    MEETS_KINDS,
} series_meets_t;

static void leave(void *data) {
    world_store_t *store = data;
    store->complete_when_stopped =
        store_is_complete(store->store) ? store->store->group->generation : 0;
    world_end_store(store, END_KILLED);
    virtual_after(duration(), NULL, return_from_stop, store);
}

/** As SIGTERM does; see store/main.c. */
static void stop_as_planned(void *data) {
    world_store_t *store = data;
    if (store->store == NULL || store->store->stopping)
        return;
    store->store->stopping = true;
    planned_stops++;
    virtual_after(record_log_idle(store->store->log) ? 0 : STOP_TIMEOUT_MS, store->process, leave,
                  store);
}

/** True if all members have their records, also those that are stopped as planned. */
static bool only_planned_stops(void) {
    const store_group_t *group = world_group(world);
    if (group == NULL)
        return false;
    for (guint i = 0; i < world->stores->len; i++) {
        const world_store_t *store = g_ptr_array_index(world->stores, i);
        if (store->lost_until > virtual_now())
            return false;
        if (store_group_find(group->members, store->settings.name) == NULL)
            continue;
        bool complete = store->store != NULL
                            ? store_is_complete(store->store) &&
                                  store->store->group->generation == group->generation
                            : store->complete_when_stopped == group->generation;
        if (!complete)
            return false;
    }
    return true;
}

static void wipe(void) {
    world_store_t *store = random_store();
    if (store == NULL || !only_planned_stops())
        return;
    end_store(store, END_DISK_LOST, duration());
    counts[FAULT_LOSE_DISK]++;
}

static void meet_series(void *data) {
    (void)data;
    switch ((series_meets_t)virtual_random(0, MEETS_KINDS - 1)) {
    case MEETS_JOIN:
        counts[FAULT_ADD_SPARE] += add_spare(0);
        break;
    case MEETS_RETIREMENT:
        counts[FAULT_RETIRE] += retire();
        break;
    case MEETS_WIPE:
        wipe();
        break;
    default:
        for (guint i = 0; i < world->stores->len; i++) {
            const world_store_t *store = g_ptr_array_index(world->stores, i);
            virtual_disk_stall(virtual_disk_of(store->process),
                               virtual_random(STALL_LEAST_MS, STALL_MOST_MS));
        }
        break;
    }
}

static void stop_in_series(void *data) {
    (void)data;
    if (virtual_now() >= faults_until)
        return;
    virtual_after(virtual_random(PAUSE_LEAST_MS, SERIES_PAUSE_MOST_MS), NULL, stop_in_series, NULL);
    virtual_after(virtual_random(0, SERIES_OTHER_MOST_MS), NULL, meet_series, NULL);
    uint64_t delay = 0;
    guint first = (guint)virtual_random(0, world->stores->len - 1);
    for (guint i = 0; i < world->stores->len; i++) {
        world_store_t *store = g_ptr_array_index(world->stores, (first + i) % world->stores->len);
        if (store->store == NULL)
            continue;
        virtual_after(delay, NULL, stop_as_planned, store);
        delay += virtual_random(0, SERIES_STEP_MOST_MS);
    }
}

void faults_stop_in_series(world_t *in_world, uint64_t until) {
    world = in_world;
    faults_until = until;
    virtual_after(virtual_random(0, SERIES_PAUSE_MOST_MS), NULL, stop_in_series, NULL);
}

void faults_heal(world_t *in_world) {
    world = in_world;
    virtual_key_value_set_down(false);
    virtual_key_value_lose_answers(0);
    for (guint i = 0; i < world->stores->len; i++) {
        world_store_t *store = g_ptr_array_index(world->stores, i);
        store->process->paused_until = 0;
        virtual_key_value_cut(store->process, false);
        virtual_disk_of(store->process)->full = false;
        virtual_disk_of(store->process)->stalled_until = 0;
        virtual_disk_release(virtual_disk_of(store->process));
        g_hash_table_remove_all(store->process->cut_from);
        if (store->exists)
            restart_store(store);
    }
    for (guint i = 0; i < world->gateways->len; i++) {
        world_gateway_t *gateway = g_ptr_array_index(world->gateways, i);
        gateway->process->paused_until = 0;
        g_hash_table_remove_all(gateway->process->cut_from);
        restart_gateway(gateway);
    }
}

void faults_describe(GString *text) {
    for (unsigned i = 0; i < FAULT_KINDS; i++)
        g_string_append_printf(text, "%s %" G_GUINT64_FORMAT "\n", fault_names[i],
                               (guint64)counts[i]);
    g_string_append_printf(text, "planned_stop %" G_GUINT64_FORMAT "\n", (guint64)planned_stops);
    g_string_append_printf(text, "overwritten_group %" G_GUINT64_FORMAT "\n",
                           (guint64)overwritten_groups);
}

void faults_clear_counts(void) {
    for (unsigned i = 0; i < FAULT_KINDS; i++)
        counts[i] = 0;
    planned_stops = 0;
    overwritten_groups = 0;
}
