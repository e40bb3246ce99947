#include "storesim/world.h"

#include "gateway/store_relay.h"

#include <string.h>

/** Later than any run ends; as the end of a reconciliation it keeps the next one from starting. */
static const uint64_t NEVER_MS = UINT64_MAX / 2;

const quota_bounds_t world_quota_bounds = {.window_ms = 5000, .overage = 0.1, .slack = 20};

void world_start_store(world_store_t *store, bool first_start) {
    store->exists = true;
    store->settings.first_start = first_start;
    virtual_process_begin(store->process);
    store->store = g_new0(store_t, 1);
    store->store->loop = &store->process->loop;
    store->store->settings = &store->settings;
    /* A reconciliation would bring back records that other faults have lost. */
    if (store->world->broken != BREAK_NOTHING)
        store->store->reconciliation.ended_at = NEVER_MS;
    store_open(store->store, NULL);
}

/** Turns that came when no more might begin, whether they were taken all the same or not. */
static uint64_t turns_refused_for_space(const store_t *store) {
    return store->turns_refused_for_space + store->turns_accepted_over_limit;
}

void world_end_store(world_store_t *store, world_end_t end) {
    virtual_disk_t *disk = virtual_disk_of(store->process);
    store->world->turns_refused_for_space += turns_refused_for_space(store->store);
    store->store = NULL;
    virtual_process_end(store->process);
    virtual_key_value_process_ended(store->process);
    virtual_network_process_ended(store->process, end != END_KILLED);
    if (end == END_KILLED)
        virtual_disk_process_ended(disk);
    else
        virtual_disk_power_lost(disk);
    if (end == END_DISK_LOST)
        virtual_disk_lose(disk);
}

static void on_item(void *owner, const key_value_item_t *item) {
    const world_gateway_t *gateway = owner;
    const char *name;
    if (key_value_kind(item->key, &name) != KEY_OWN || strcmp(name, "group") != 0 ||
        item->value == NULL)
        return;
    gsize length;
    const void *data = g_bytes_get_data(item->value, &length);
    store_group_t *group = store_group_decode(data, length);
    if (group != NULL)
        store_client_set_group(gateway->client, group);
    store_group_free(group);
}

static void on_listed(void *owner, GHashTable *keys) {
    (void)owner;
    (void)keys;
}

static void on_reachable(void *owner, bool reachable) {
    (void)owner;
    (void)reachable;
}

static const key_value_watch_handler_t watch_handler = {on_item, on_listed, on_reachable};

static void on_gateways(void *owner, const GPtrArray *addresses, const GPtrArray *sources) {
    (void)owner;
    (void)addresses;
    (void)sources;
}

static GBytes *read_directory(void *owner, uint64_t *revision) {
    (void)owner;
    (void)revision;
    return NULL;
}

/** Any other gateway; a relay that doesn't reach a storage node itself refuses. */
static bool find_relay(void *owner, struct sockaddr_in *address) {
    const world_gateway_t *gateway = owner;
    const GPtrArray *gateways = gateway->world->gateways;
    const world_gateway_t *other =
        g_ptr_array_index(gateways, virtual_random(0, gateways->len - 1));
    *address = other->process->address;
    return gateway->world->relays && other != gateway;
}

static void on_directory(void *owner, GBytes *snapshot) {
    (void)owner;
    (void)snapshot;
}

static void on_answer(void *owner, unsigned member, const message_t *message) {
    const world_gateway_t *gateway = owner;
    if (message->type == MESSAGE_CRASH)
        g_array_append_val(gateway->crashes, message->crash);
    else if (message->type == MESSAGE_CRASH_WITHDRAWN)
        g_array_append_val(gateway->withdrawn, message->crash);
    else if (message->type == MESSAGE_SEND_LEFT)
        g_array_append_val(gateway->left, message->crash);
    else if (message->type == MESSAGE_REQUEST_STOPPED)
        g_array_append_val(gateway->stops, message->crash);
    else
        quota_client_handle_response(gateway->quotas, member, message);
}

static const store_client_handler_t client_handler = {
    on_gateways, on_directory, read_directory, find_relay, on_answer, NULL, NULL};

void world_start_gateway(world_gateway_t *gateway) {
    virtual_process_t *process = gateway->process;
    virtual_process_begin(process);
    gateway->client = store_client_new(&process->loop, process->zone, process->address_text,
                                       &client_handler, gateway);
    if (gateway->world->watches_zones)
        store_client_enable_isolation_check(gateway->client);
    gateway->quotas = quota_client_new(&process->loop, gateway->client, &world_quota_bounds);
    store_relay_open(&process->loop, &process->address, gateway->client, NULL);
    key_value_watch_open(&process->loop, &process->address, "", key_value_prefix(KEY_OWN), 0,
                         &watch_handler, gateway);
}

void world_end_gateway(world_gateway_t *gateway) {
    gateway->client = NULL;
    virtual_process_end(gateway->process);
    virtual_key_value_process_ended(gateway->process);
    virtual_network_process_ended(gateway->process, virtual_chance(50));
}

static void add_store(world_t *world, unsigned number, uint64_t memory_megabytes) {
    world_store_t *store = g_new0(world_store_t, 1);
    store->world = world;
    char *name = g_strdup_printf("store-%02u", number);
    char *zone = g_strdup_printf("zone-%u", number % 4);
    store->process = virtual_process_new(name, zone, number);
    store->settings = (process_settings_t){
        .name = name,
        .zone = zone,
        .peer_text = store->process->address_text,
        .peer = store->process->address,
        .key_value_text = g_strdup(""),
        .value_bytes = 1024 * 1024,
        .folder = g_strdup(""),
        .tolerated_losses = 1,
        .memory_megabytes = memory_megabytes,
        .quota = world_quota_bounds,
    };
    g_ptr_array_add(world->stores, store);
}

static void add_gateway(world_t *world, unsigned number) {
    world_gateway_t *gateway = g_new0(world_gateway_t, 1);
    gateway->crashes = g_array_new(FALSE, FALSE, sizeof(crash_report_t));
    gateway->withdrawn = g_array_new(FALSE, FALSE, sizeof(crash_report_t));
    gateway->left = g_array_new(FALSE, FALSE, sizeof(crash_report_t));
    gateway->stops = g_array_new(FALSE, FALSE, sizeof(crash_report_t));
    char *name = g_strdup_printf("gateway-%u", number);
    char *zone = g_strdup_printf("zone-%u", number % 4);
    gateway->world = world;
    gateway->process = virtual_process_new(name, zone, 1000 + number);
    g_free(name);
    g_free(zone);
    g_ptr_array_add(world->gateways, gateway);
}

/* The groups that were written. */

static GBytes *latest_group; /**< NULL: none. */
static uint64_t latest_generation;
static uint64_t groups_split;

static void judge_group_write(const char *key, GBytes *value) {
    const char *name;
    if (key_value_kind(key, &name) != KEY_OWN || strcmp(name, "group") != 0)
        return;
    gsize length;
    const void *data = g_bytes_get_data(value, &length);
    store_group_t *group = store_group_decode(data, length);
    if (group == NULL)
        return;
    bool repeated = latest_group != NULL && g_bytes_equal(value, latest_group);
    groups_split += !repeated && group->generation != latest_generation + 1;
    if (group->generation > latest_generation) {
        g_clear_pointer(&latest_group, g_bytes_unref);
        latest_group = g_bytes_ref(value);
        latest_generation = group->generation;
    }
    store_group_free(group);
}

static void judge_groups(void) {
    g_clear_pointer(&latest_group, g_bytes_unref);
    latest_generation = 0;
    groups_split = 0;
    virtual_key_value_observe(judge_group_write);
}

uint64_t world_groups_split(void) {
    return groups_split;
}

static void break_code(world_break_t broken) {
    virtual_disks_acknowledge_early(broken == BREAK_SYNC);
    virtual_disks_keep_identity(broken == BREAK_IDENTITY);
    virtual_key_value_forget_turns(broken == BREAK_SPILL);
    virtual_key_value_hide_listings(broken == BREAK_GROUP_FOLLOWING);
    if (broken == BREAK_CATCH_UP)
        virtual_network_break_catch_up();
    if (broken == BREAK_QUOTA_BEGINS_FULL)
        virtual_network_break_quotas();
}

void world_watch_zones(world_t *world) {
    world->watches_zones = true;
    for (guint i = 0; i < world->gateways->len; i++) {
        const world_gateway_t *gateway = g_ptr_array_index(world->gateways, i);
        if (gateway->client != NULL)
            store_client_enable_isolation_check(gateway->client);
    }
}

world_t *world_new(uint64_t seed, const world_shape_t *shape) {
    virtual_loop_start(seed);
    virtual_network_start();
    virtual_disks_start();
    virtual_key_value_start();
    break_code(shape->broken);
    judge_groups();
    world_t *world = g_new0(world_t, 1);
    world->relays = true;
    world->broken = shape->broken;
    world->stores = g_ptr_array_new();
    world->gateways = g_ptr_array_new();
    for (unsigned i = 0; i < shape->stores + shape->spares; i++)
        add_store(world, i, shape->store_memory_megabytes);
    for (unsigned i = 0; i < shape->gateways; i++)
        add_gateway(world, i);
    for (unsigned i = 0; i < shape->stores; i++)
        world_start_store(g_ptr_array_index(world->stores, i), true);
    for (unsigned i = 0; i < shape->gateways; i++)
        world_start_gateway(g_ptr_array_index(world->gateways, i));
    return world;
}

uint64_t world_turns_refused_for_space(const world_t *world) {
    uint64_t refused = world->turns_refused_for_space;
    for (guint i = 0; i < world->stores->len; i++) {
        const world_store_t *store = g_ptr_array_index(world->stores, i);
        refused += store->store == NULL ? 0 : turns_refused_for_space(store->store);
    }
    return refused;
}

const store_group_t *world_group(const world_t *world) {
    const store_group_t *newest = NULL;
    for (guint i = 0; i < world->stores->len; i++) {
        const world_store_t *store = g_ptr_array_index(world->stores, i);
        if (store->store == NULL || store->store->group->generation == 0)
            continue;
        if (newest == NULL || store->store->group->generation > newest->generation)
            newest = store->store->group;
    }
    return newest;
}

bool world_is_sound(const world_t *world) {
    const store_group_t *group = world_group(world);
    if (group == NULL)
        return false;
    for (guint i = 0; i < world->stores->len; i++) {
        const world_store_t *store = g_ptr_array_index(world->stores, i);
        if (store->lost_until > virtual_now())
            return false;
        if (store_group_find(group->members, store->settings.name) == NULL)
            continue;
        if (store->store == NULL || !store_is_complete(store->store) ||
            store->store->group->generation != group->generation)
            return false;
    }
    return true;
}
