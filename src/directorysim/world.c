#include "directorysim/world.h"

#include <string.h>

enum {
    CONNECT_LEAST_MS = 20, /**< From a start until storage nodes know of a gateway. */
    CONNECT_MOST_MS = 200,
    RESET_NOTICED_MS = 5,
    SILENCE_NOTICED_MS = 2000, /**< Of a gateway without power, by storage nodes. */
    KEEP_ALIVE_MS = 2200,      /**< The kernel's, for connections that carry nothing. */
    TELL_MS = 100,             /**< Changes of the list gather for so long. */
    TELL_LATENCY_MS = 3,
    LIGHT_PAUSE_MS = 300, /**< Between two calls at a gateway, on average, */
    BUSY_PAUSE_MS = 30,   /**< and under load. */
};

world_t world;

static gateway_registry_t directory; /**< As the storage nodes have it. */
static GPtrArray *serials;           /**< Of all connections of gateways to storage nodes ever. */
static GBytes *kept;
static bool telling;

/* What storage nodes do. */

typedef struct {
    world_gateway_t *gateway;
    GPtrArray *known;
    GPtrArray *sources;
} told_t;

static void list_arrives(void *data) {
    told_t told = *(told_t *)data;
    g_free(data);
    if (told.gateway->gateway != NULL)
        gateway_update_peers(told.gateway->gateway, told.known, told.sources);
    g_ptr_array_unref(told.known);
    g_ptr_array_unref(told.sources);
}

static GPtrArray *copy_texts(const GPtrArray *texts) {
    GPtrArray *copy = g_ptr_array_new_with_free_func(g_free);
    for (guint i = 0; i < texts->len; i++)
        g_ptr_array_add(copy, g_strdup(g_ptr_array_index(texts, i)));
    return copy;
}

static void tell_gateway(void *user, const uint64_t *serial, const gateway_peer_list_t *list) {
    (void)user;
    for (guint i = 0; i < world.gateways->len; i++) {
        world_gateway_t *gateway = g_ptr_array_index(world.gateways, i);
        if (gateway->listed_as != *serial || gateway->gateway == NULL)
            continue;
        told_t *told = g_new0(told_t, 1);
        *told = (told_t){gateway, copy_texts(list->known), copy_texts(list->sources)};
        virtual_after(TELL_LATENCY_MS, gateway->process, list_arrives, told);
    }
}

static void tell_gateways(void *data) {
    (void)data;
    telling = false;
    gateway_registry_notify(&directory, tell_gateway, NULL);
}

static void tell_soon(void) {
    if (!telling)
        virtual_after(TELL_MS, NULL, tell_gateways, NULL);
    telling = true;
}

static void gateway_connects(void *data) {
    world_gateway_t *gateway = data;
    uint64_t *serial = g_new(uint64_t, 1);
    g_ptr_array_add(serials, serial);
    *serial = serials->len;
    gateway->listed_as = *serial;
    gateway_registry_add(&directory, serial, gateway->process->address_text,
                         gateway->process->zone);
    tell_soon();
}

static void gateway_forgotten(void *data) {
    gateway_registry_remove(&directory, data);
    tell_soon();
}

GBytes *world_kept_directory(void) {
    return kept;
}

void world_keep_directory(GBytes *bytes) {
    if (kept != NULL)
        g_bytes_unref(kept);
    kept = bytes;
}

/* Gateways. */

/** Calls begin and end: the others are to be told. */
static void make_calls(void *data) {
    const world_gateway_t *machine = data;
    machine->gateway->backends.changes++;
    uint64_t pause = world.load == LOAD_HEAVY ? BUSY_PAUSE_MS : LIGHT_PAUSE_MS;
    virtual_after(virtual_random(0, 2 * pause), machine->process, make_calls, data);
}

void world_start_gateway(world_gateway_t *gateway) {
    virtual_process_t *process = gateway->process;
    virtual_process_begin(process);
    gateway->struck_at = virtual_now();
    gateway_t *state = g_new0(gateway_t, 1);
    gateway->gateway = state;
    state->loop = &process->loop;
    state->settings = &gateway->settings;
    state->started_at = virtual_now();
    backends_init(&state->backends, state->loop, process->zone, process->name);
    state->load_sharing = load_sharing_open(state->loop, &process->address, &state->backends,
                                            &gateway_load_sharing_handler, state);
    gateway->stores = stub_store_client_new(gateway);
    state->stores = gateway->stores;
    gateway_init_directory(state);
    state->relay = store_relay_open(state->loop, &process->address, state->stores, state->feed);
    gateway_watch_directory(state);
    virtual_after(virtual_random(CONNECT_LEAST_MS, CONNECT_MOST_MS), process, gateway_connects,
                  gateway);
    if (world.load != LOAD_IDLE)
        virtual_after(0, process, make_calls, gateway);
}

void world_end_gateway(world_gateway_t *gateway, bool silent) {
    gateway->gateway = NULL;
    gateway->stores = NULL;
    virtual_process_end(gateway->process);
    virtual_service_process_ended(gateway->process);
    virtual_network_process_ended(gateway->process, silent);
    if (gateway->listed_as == 0)
        return;
    uint64_t *serial = g_ptr_array_index(serials, gateway->listed_as - 1);
    gateway->listed_as = 0;
    virtual_after(silent ? SILENCE_NOTICED_MS : RESET_NOTICED_MS, NULL, gateway_forgotten, serial);
}

uint64_t world_version(const world_gateway_t *gateway) {
    if (gateway->gateway == NULL || gateway->gateway->configuration == NULL)
        return 0;
    return gateway->gateway->configuration->version;
}

static void add_gateway(unsigned number, unsigned zones) {
    world_gateway_t *gateway = g_new0(world_gateway_t, 1);
    char *name = g_strdup_printf("gateway-%u", number);
    char *zone = g_strdup_printf("zone-%u", number % zones);
    gateway->number = number;
    gateway->process = virtual_process_new(name, zone, number);
    gateway->settings = (process_settings_t){
        .name = name,
        .zone = zone,
        .peer_text = gateway->process->address_text,
        .peer = gateway->process->address,
        .key_value_text = g_strdup(""),
    };
    g_ptr_array_add(world.gateways, gateway);
}

void world_begin(uint64_t seed, unsigned gateways, unsigned zones) {
    virtual_loop_start(seed);
    virtual_network_start();
    virtual_network_restart_serials();
    virtual_network_keep_alive(KEEP_ALIVE_MS);
    virtual_datagrams_start();
    virtual_service_start();
    gateway_registry_init(&directory);
    serials = g_ptr_array_new();
    kept = NULL;
    telling = false;
    world.gateways = g_ptr_array_new();
    world.load = (load_t)virtual_random(0, LOAD_KINDS - 1);
    virtual_service_put("own/group", "group");
    virtual_service_put("configuration", "1");
    for (unsigned i = 0; i < gateways; i++)
        add_gateway(i, zones);
    for (unsigned i = 0; i < gateways; i++)
        world_start_gateway(g_ptr_array_index(world.gateways, i));
}
