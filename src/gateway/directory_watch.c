/*
 * Design. One watch over the whole key-value service brings configuration, back ends and the
 * store group. At a start it is held, and one over the group's key alone takes its place until the
 * group is known (core/configuration/listing_turn.h). A version of the configuration never goes
 * back. Back ends that a listing lacks are gone; while the service does not answer, what was known
 * last stays in use.
 *
 * The gateways on duty (directory_duty.c) offer the storage nodes what they have seen. A gateway
 * that starts while the service is away, or holds its listing (listing_turn.h), serves from that
 * until the service, or a gateway that watches it, confirms it; until then it says 503, not 404, to
 * a call without a route, since a later configuration may have one.
 */
#include "gateway/gateway.h"

#include "common/event.h"
#include "core/configuration/directory_pace.h"
#include "core/configuration/lapse.h"
#include "core/configuration/listing_turn.h"

#include <string.h>

enum {
    DIRECTORY_LOOK_MS = 20,  /**< Between two looks at a start whether it is to be asked for. */
    OFFER_SETTLED_MS = 2000, /**< A duty has lasted so long: others were heard since. */
    OFFER_LEAST_MS = 1000,   /**< Between two offers to the storage nodes, */
    OFFER_AGAIN_MS = 3000,   /**< and at most: whoever was asked before may be gone. */
    GROUP_WAIT_MS = 25000,   /**< How long one watch of the group's key waits for it. */
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

static backend_record_t *read_backend(const char *instance, GBytes *value) {
    gsize length;
    const void *data = g_bytes_get_data(value, &length);
    backend_record_t *backend = backend_record_decode(instance, data, length);
    backend_entry_fault_t fault;
    /* Storage nodes may still keep what an earlier version told them. */
    return backend != NULL ? backend : directory_read_backend(instance, data, length, &fault);
}

/**
 * Each back end is logged by the gateways that watch the service themselves, once they have the
 * whole view; the others log how many changes came (E840). By each of 865 gateways, 10,000 back
 * ends at a start would be 8.6 million lines.
 */
static bool logs_backends(const gateway_t *gateway) {
    return gateway->backends_listed && !key_value_watch_rests(gateway->watch);
}

/** True if a back end whose entry is gone is still used: the service was away; see lapse.h. */
static bool keeps_lapsed(gateway_t *gateway, const char *instance) {
    uint64_t now = uv_now(gateway->loop);
    lapse_signs_t signs = {
        .failed_at = gateway->watch == NULL ? 0 : key_value_watch_failed_at(gateway->watch),
        .back_at = gateway->key_value_back_at,
    };
    uint64_t until = lapse_kept_until(&signs, now);
    if (until == 0 || !backends_lapse(&gateway->backends, instance, until))
        return false;
    if (logs_backends(gateway))
        event_log(BACKEND_LAPSED, instance, until - now);
    return true;
}

static void take_backend(gateway_t *gateway, const char *instance, const key_value_item_t *item) {
    backend_record_t *backend = item->value == NULL ? NULL : read_backend(instance, item->value);
    if (backend == NULL && item->value == NULL && keeps_lapsed(gateway, instance))
        return;
    if (backend == NULL) {
        if (logs_backends(gateway))
            event_log(BACKEND_REMOVED, instance);
        backends_remove(&gateway->backends, instance);
        return;
    }
    if (backend->leaving && logs_backends(gateway))
        event_log(BACKEND_LEAVING, instance, "directory");
    else if (logs_backends(gateway))
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

/** Takes over an item that holds no secret, if it is news; followers hear of the revision anyway.
 */
static void take_plain_item(gateway_t *gateway, const key_value_item_t *item) {
    const char *name;
    key_kind_t kind = key_value_kind(item->key, &name);
    bool directory = kind == KEY_CONFIGURATION || kind == KEY_BACKEND;
    bool news =
        directory ? directory_snapshot_note(&gateway->snapshot, item) : is_group(kind, name);
    directory_feed_note(gateway->feed, news ? item : NULL);
    if (!news)
        return;
    take_item(gateway, item);
    if (gateway->backends_listed)
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

/** An entry that names no back end to use, whoever wrote it: counted, and logged like back ends. */
static void reject_entry(gateway_t *gateway, const char *instance, backend_entry_fault_t fault) {
    gateway->counters.entries_rejected++;
    if (logs_backends(gateway))
        event_log(BACKEND_ENTRY_REJECTED, instance, backend_entry_fault_name(fault));
}

/** A back end as it stands in the service, in its short form; NULL: that is none. */
static GBytes *shorten_backend(gateway_t *gateway, const char *instance, GBytes *value) {
    gsize length;
    const char *data = g_bytes_get_data(value, &length);
    backend_entry_fault_t fault;
    backend_record_t *backend = directory_read_backend(instance, data, length, &fault);
    if (backend == NULL) {
        reject_entry(gateway, instance, fault);
        return NULL;
    }
    GBytes *short_form = backend_record_encode(backend);
    backend_record_free(backend);
    return short_form;
}

static void on_item(void *owner, const key_value_item_t *item) {
    gateway_t *gateway = owner;
    const char *instance;
    load_sharing_look_soon(gateway->load_sharing);
    if (item->value == NULL || key_value_kind(item->key, &instance) != KEY_BACKEND) {
        gateway_take_item(gateway, item);
        return;
    }
    key_value_item_t backend = *item;
    backend.value = shorten_backend(gateway, instance, item->value);
    gateway_take_item(gateway, &backend);
    if (backend.value != NULL)
        g_bytes_unref(backend.value);
    else /* It is there, and names none to use: not one that has lapsed. */
        backends_remove(&gateway->backends, instance);
}

void gateway_retain_items(gateway_t *gateway, GHashTable *keys) {
    GPtrArray *missing = directory_snapshot_missing(&gateway->snapshot, keys);
    for (guint i = 0; i < missing->len; i++) {
        key_value_item_t gone = {.key = g_ptr_array_index(missing, i)};
        gateway_take_item(gateway, &gone);
    }
    g_ptr_array_free(missing, TRUE);
}

/** True if neither the service nor a storage node has shown a group. */
static bool group_unknown(const gateway_t *gateway) {
    return store_client_generation(gateway->stores) == 0;
}

void gateway_note_listed(gateway_t *gateway) {
    gateway->backends_listed = true;
    gateway->directory_confirmed = true;
    event_log(GATEWAY_DIRECTORY_LISTED, gateway->snapshot.revision,
              backends_count(&gateway->backends));
    directory_feed_note(gateway->feed, NULL);
    gateway_check_ready(gateway);
}

static void on_listed(void *owner, GHashTable *keys) {
    gateway_t *gateway = owner;
    if (keys != NULL)
        gateway_retain_items(gateway, keys);
    key_value_watch_set_pause(gateway->watch, WATCH_RESTING_PAUSE_MS);
    gateway_note_listed(gateway);
}

static void on_reachable(void *owner, bool reachable) {
    gateway_t *gateway = owner;
    gateway->key_value_reachable = reachable;
    if (reachable && gateway->key_value_failed)
        gateway->key_value_back_at = uv_now(gateway->loop);
    gateway->key_value_failed = !reachable;
    if (reachable)
        event_log(KEY_VALUE_REACHABLE, gateway->settings->key_value_text);
    else
        event_log(KEY_VALUE_UNREACHABLE, gateway->settings->key_value_text,
                  error_name(RUDDERWAY_ERROR_KEY_VALUE_UNAVAILABLE));
}

static const key_value_watch_handler_t handler = {on_item, on_listed, on_reachable};

/* The store group alone. */

static void on_group_item(void *owner, const key_value_item_t *item) {
    gateway_t *gateway = owner;
    gateway_take_item(gateway, item);
}

static void on_group_listed(void *owner, GHashTable *keys) {
    (void)owner;
    (void)keys;
}

/** While the whole watch is held this one finds out whether the service answers. */
static void on_group_reachable(void *owner, bool reachable) {
    const gateway_t *gateway = owner;
    if (key_value_watch_held_since(gateway->watch) > 0)
        on_reachable(owner, reachable);
}

static const key_value_watch_handler_t group_handler = {on_group_item, on_group_listed,
                                                        on_group_reachable};

/** Watches for the group at a start; ends once it is known, whoever told it. */
static void open_group_watch(gateway_t *gateway) {
    const process_settings_t *settings = gateway->settings;
    char *key = key_value_own_key("group");
    gateway->group_watch =
        key_value_watch_open(gateway->loop, &settings->key_value, settings->key_value_text, key,
                             GROUP_WAIT_MS, &group_handler, gateway);
    g_free(key);
}

static void look_for_group(gateway_t *gateway) {
    if (group_unknown(gateway) || gateway->group_watch == NULL)
        return;
    key_value_watch_rest(gateway->group_watch);
}

/* The directory that the storage nodes keep. */

/** Takes an item of a directory that a storage node kept. */
static void take_kept_item(void *owner, const char *key, GBytes *value) {
    gateway_t *gateway = owner;
    /* What the service itself has shown is newer. */
    if (g_hash_table_contains(gateway->snapshot.items, key))
        return;
    key_value_item_t item = {.key = (char *)key, .value = value};
    gateway_take_item(gateway, &item);
}

void gateway_take_directory(void *owner, GBytes *bytes) {
    gateway_t *gateway = owner;
    uint64_t revision = 0;
    if (gateway->backends_listed ||
        !directory_snapshot_read(bytes, &revision, take_kept_item, gateway))
        return;
    gateway->snapshot.revision = MAX(gateway->snapshot.revision, revision);
    gateway->kept_at = MAX(1, uv_now(gateway->loop));
    gateway->backends_listed = true;
    event_log(GATEWAY_DIRECTORY_KEPT, revision, backends_count(&gateway->backends));
    if (key_value_watch_held_since(gateway->watch) > 0)
        key_value_watch_resume(gateway->watch, revision);
    gateway_check_ready(gateway);
}

GBytes *gateway_read_directory(void *owner, uint64_t *revision) {
    gateway_t *gateway = owner;
    /* While a listing goes on, items that it has not come to are older than its revision. */
    if (!gateway->directory_confirmed || !key_value_watch_listed(gateway->watch))
        return NULL;
    *revision = gateway->snapshot.revision;
    return directory_snapshot_encode(&gateway->snapshot);
}

static void offer_directory(gateway_t *gateway) {
    uint64_t now = uv_now(gateway->loop);
    unsigned links = store_client_links_opened(gateway->stores);
    bool news =
        gateway->snapshot.revision != gateway->offered_revision || links != gateway->offered_links;
    bool again = now >= gateway->offered_at + OFFER_AGAIN_MS;
    bool duty = gateway->offers_directory_since > 0 &&
                now >= gateway->offers_directory_since + OFFER_SETTLED_MS;
    if (!duty || !gateway->directory_confirmed || !(news || again) ||
        now < gateway->offered_at + OFFER_LEAST_MS)
        return;
    store_client_offer_directory(gateway->stores, gateway->snapshot.revision);
    gateway->offered_revision = gateway->snapshot.revision;
    gateway->offered_links = links;
    gateway->offered_at = now;
}

/** Goes on with a listing that is held, once it is this gateway's turn. */
static void look_at_listing(gateway_t *gateway) {
    listing_turn_t turn = {
        .held_since = key_value_watch_held_since(gateway->watch),
        .told_at = gateway->gateways_told_at,
        .rank = load_sharing_rank(gateway->load_sharing),
        .below = gateway->sources->len > 0,
        .lone = !gateway->stores_reached && store_client_links_opened(gateway->stores) == 0,
        .kept_at = directory_follow_active(gateway->follow) ? 0 : gateway->kept_at,
        .spread_ms = gateway->listing_spread_ms,
    };
    if (turn.held_since == 0 || !listing_turn_due(&turn, uv_now(gateway->loop)))
        return;
    event_log(GATEWAY_DIRECTORY_LISTS, turn.rank, turn.below ? "no" : "yes",
              uv_now(gateway->loop) - turn.held_since);
    key_value_watch_go_on(gateway->watch);
}

static void on_directory_look(uv_timer_t *timer) {
    gateway_t *gateway = timer->data;
    uint64_t now = uv_now(gateway->loop);
    if (!gateway->backends_listed && directory_ask_due(gateway->directory_asked_at, now) &&
        store_client_ask_directory(gateway->stores))
        gateway->directory_asked_at = now;
    unsigned lapsed = backends_expire_lapsed(&gateway->backends);
    if (lapsed > 0)
        event_log(BACKENDS_GONE, lapsed, backends_count(&gateway->backends));
    offer_directory(gateway);
    look_for_group(gateway);
    look_at_listing(gateway);
    bool settled = gateway->backends_listed && key_value_watch_held_since(gateway->watch) == 0 &&
                   !group_unknown(gateway);
    uv_timer_set_repeat(timer, settled ? OFFER_LEAST_MS : DIRECTORY_LOOK_MS);
}

void gateway_watch_directory(gateway_t *gateway) {
    gateway->offers_directory_since = MAX(1, gateway->started_at);
    gateway->on_duty = true;
    uv_timer_init(gateway->loop, &gateway->directory_timer);
    gateway->directory_timer.data = gateway;
    uv_timer_start(&gateway->directory_timer, on_directory_look, DIRECTORY_LOOK_MS,
                   DIRECTORY_LOOK_MS);
    const process_settings_t *settings = gateway->settings;
    gateway->watch = key_value_watch_open_held(
        gateway->loop, &settings->key_value, settings->key_value_text, key_value_prefix(KEY_OTHER),
        WATCH_WAIT_RENEWING_MS, &handler, gateway);
    open_group_watch(gateway);
    gateway->listing_spread_ms = (uint32_t)g_random_int_range(0, LISTING_SPREAD_MS);
}
