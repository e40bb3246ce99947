/*
 * Design. One watch over the whole key-value service brings configuration, back ends and the
 * store group. A version of the configuration never goes back. Back ends that a listing lacks
 * are gone; while the service does not answer, what was known last stays in use.
 *
 * The gateways on duty (directory_duty.c) give the storage nodes what they have seen. A gateway
 * that starts while the service is away serves from that until the service answers; it says 503,
 * not 404, to a call without a route, since a later configuration may have one.
 */
#include "gateway/gateway.h"

#include "common/event.h"
#include "core/configuration/directory_pace.h"

#include <string.h>

enum {
    DIRECTORY_LOOK_MS = 100, /**< Between two looks whether the directory is to be asked or told. */
    SERVICE_PATIENCE_MS = 250, /**< The service is taken to be away without an answer in this. */
    TELL_SETTLED_MS = 2000, /**< A duty to tell has lasted so long: others have been heard since. */
    TELL_LEAST_MS = 1000,   /**< Between two snapshots for the storage nodes, */
    TELL_BYTES_PER_MS = 100,  /**< and more the larger they are. */
    NO_GROUP_PAUSE_MS = 2500, /**< Between watches while there is no store group yet. */
};

static void take_configuration(gateway_t *gateway, const key_value_item_t *item) {
    if (item->value == NULL)
        return;
    gsize length;
    const char *data = g_bytes_get_data(item->value, &length);
    directory_configuration_t *configuration = directory_parse_configuration(data, length);
    uint64_t known = gateway->configuration == NULL ? 0 : gateway->configuration->version;
    if (configuration == NULL || configuration->version <= known) {
        if (configuration == NULL || configuration->version < known)
            event_log(GATEWAY_CONFIGURATION_REJECTED, item->revision,
                      configuration == NULL ? 0 : configuration->version);
        directory_configuration_unref(configuration);
        return;
    }
    event_log(GATEWAY_CONFIGURATION, configuration->version, configuration->routes->len,
              item->revision);
    directory_configuration_unref(gateway->configuration);
    gateway->configuration = configuration;
    http_listener_set_limits(gateway->calls, &configuration->limits);
}

static void take_backend(gateway_t *gateway, const char *instance, const key_value_item_t *item) {
    backend_record_t *backend = NULL;
    if (item->value != NULL) {
        gsize length;
        const char *data = g_bytes_get_data(item->value, &length);
        backend = directory_parse_backend(instance, data, length);
    }
    if (backend == NULL) {
        event_log(BACKEND_REMOVED, instance);
        backends_remove(&gateway->backends, instance);
        return;
    }
    if (backend->leaving)
        event_log(BACKEND_LEAVING, instance, "directory");
    else
        event_log(BACKEND_AVAILABLE, instance, backend->service);
    backends_update(&gateway->backends, backend);
}

/** True if a key holds the store group. */
static bool is_group(key_kind_t kind, const char *name) {
    return kind == KEY_OWN && strcmp(name, "group") == 0;
}

static void take_group(gateway_t *gateway, const char *name, const key_value_item_t *item) {
    if (!is_group(KEY_OWN, name) || item->value == NULL)
        return;
    if (gateway->group != NULL)
        g_bytes_unref(gateway->group);
    gateway->group = g_bytes_ref(item->value);
    key_value_watch_set_pause(gateway->watch, WATCH_RESTING_PAUSE_MS);
    gsize length;
    const void *data = g_bytes_get_data(item->value, &length);
    store_group_t *group = store_group_decode(data, length);
    if (group != NULL)
        store_client_set_group(gateway->stores, group);
    store_group_free(group);
}

static void take_item(gateway_t *gateway, const key_value_item_t *item) {
    const char *name;
    switch (key_value_kind(item->key, &name)) {
    case KEY_CONFIGURATION:
        take_configuration(gateway, item);
        break;
    case KEY_BACKEND:
        take_backend(gateway, name, item);
        break;
    case KEY_OWN:
        take_group(gateway, name, item);
        break;
    case KEY_RETIRE:
    case KEY_OTHER:
        break;
    }
}

/** Takes over an item that holds no secret. */
static void take_plain_item(gateway_t *gateway, const key_value_item_t *item) {
    const char *name;
    key_kind_t kind = key_value_kind(item->key, &name);
    bool directory = kind == KEY_CONFIGURATION || kind == KEY_BACKEND;
    if (directory)
        directory_snapshot_note(&gateway->snapshot, item);
    bool needed = directory || is_group(kind, name);
    directory_feed_note(gateway->feed, needed ? item : NULL);
    take_item(gateway, item);
    gateway_check_ready(gateway);
}

void gateway_take_item(gateway_t *gateway, const key_value_item_t *item) {
    const char *name;
    if (item->value == NULL || key_value_kind(item->key, &name) != KEY_CONFIGURATION) {
        take_plain_item(gateway, item);
        return;
    }
    key_value_item_t redacted = *item;
    redacted.value = directory_redact_configuration(item->value);
    take_plain_item(gateway, &redacted);
    g_bytes_unref(redacted.value);
}

static void on_item(void *owner, const key_value_item_t *item) {
    gateway_take_item(owner, item);
}

void gateway_retain_items(gateway_t *gateway, GHashTable *keys) {
    GHashTable *instances = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iterator;
    gpointer key;
    g_hash_table_iter_init(&iterator, keys);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        const char *name;
        if (key_value_kind(key, &name) == KEY_BACKEND)
            g_hash_table_add(instances, (gpointer)name);
    }
    backends_retain(&gateway->backends, instances);
    directory_snapshot_retain(&gateway->snapshot, keys);
    g_hash_table_destroy(instances);
}

static void on_listed(void *owner, GHashTable *keys) {
    gateway_t *gateway = owner;
    gateway_retain_items(gateway, keys);
    key_value_watch_set_pause(gateway->watch,
                              gateway->group == NULL ? NO_GROUP_PAUSE_MS : WATCH_RESTING_PAUSE_MS);
    directory_feed_listed(gateway->feed);
    gateway->backends_listed = true;
    gateway->directory_confirmed = true;
    gateway_check_ready(gateway);
}

static void on_reachable(void *owner, bool reachable) {
    gateway_t *gateway = owner;
    gateway->key_value_reachable = reachable;
    gateway->key_value_failed = !reachable;
    if (reachable)
        event_log(KEY_VALUE_REACHABLE, gateway->settings->key_value_text);
    else
        event_log(KEY_VALUE_UNREACHABLE, gateway->settings->key_value_text,
                  error_name(RUDDERWAY_ERROR_KEY_VALUE_UNAVAILABLE));
}

static const key_value_watch_handler_t handler = {on_item, on_listed, on_reachable};

/* The directory that the storage nodes keep. */

static void take_snapshot(gateway_t *gateway, const directory_snapshot_t *snapshot) {
    GHashTableIter iterator;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iterator, snapshot->items);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        key_value_item_t item = {.key = key, .value = value, .revision = snapshot->revision};
        take_item(gateway, &item);
    }
    gateway->backends_listed = true;
    event_log(GATEWAY_DIRECTORY_KEPT, snapshot->revision, backends_count(&gateway->backends));
    gateway_check_ready(gateway);
}

void gateway_take_directory(void *owner, GBytes *bytes) {
    gateway_t *gateway = owner;
    if (gateway->backends_listed)
        return;
    directory_snapshot_t snapshot;
    directory_snapshot_init(&snapshot);
    if (directory_snapshot_decode(&snapshot, bytes))
        take_snapshot(gateway, &snapshot);
    directory_snapshot_clear(&snapshot);
}

static void tell_directory(gateway_t *gateway) {
    uint64_t now = uv_now(gateway->loop);
    unsigned links = store_client_links_opened(gateway->stores);
    bool news =
        gateway->snapshot.revision != gateway->told_revision || links != gateway->told_links;
    bool duty = gateway->tells_directory_since > 0 &&
                now >= gateway->tells_directory_since + TELL_SETTLED_MS;
    if (!duty || !gateway->directory_confirmed || !news || now < gateway->told_at)
        return;
    GBytes *bytes = directory_snapshot_encode(&gateway->snapshot);
    store_client_tell_directory(gateway->stores, gateway->snapshot.revision, bytes);
    gateway->told_revision = gateway->snapshot.revision;
    gateway->told_links = links;
    gateway->told_at = now + TELL_LEAST_MS + g_bytes_get_size(bytes) / TELL_BYTES_PER_MS;
    g_bytes_unref(bytes);
}

static void on_directory_look(uv_timer_t *timer) {
    gateway_t *gateway = timer->data;
    uint64_t now = uv_now(gateway->loop);
    bool waited = now >= gateway->started_at + SERVICE_PATIENCE_MS;
    bool lacking = !gateway->backends_listed && (gateway->key_value_failed || waited);
    if (lacking && directory_ask_due(gateway->directory_asked_at, now) &&
        store_client_ask_directory(gateway->stores))
        gateway->directory_asked_at = now;
    tell_directory(gateway);
    uv_timer_set_repeat(timer, gateway->backends_listed ? TELL_LEAST_MS : DIRECTORY_LOOK_MS);
}

void gateway_watch_directory(gateway_t *gateway) {
    gateway->tells_directory_since = MAX(1, gateway->started_at);
    gateway->on_duty = true;
    uv_timer_init(gateway->loop, &gateway->directory_timer);
    gateway->directory_timer.data = gateway;
    uv_timer_start(&gateway->directory_timer, on_directory_look, DIRECTORY_LOOK_MS,
                   DIRECTORY_LOOK_MS);
    const process_settings_t *settings = gateway->settings;
    gateway->watch = key_value_watch_open(gateway->loop, &settings->key_value,
                                          settings->key_value_text, key_value_prefix(KEY_OTHER),
                                          WATCH_WAIT_RENEWING_MS, &handler, gateway);
}
