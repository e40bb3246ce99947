/*
 * One watch over the whole key-value service provides configuration, back ends and the store group.
 * At startup it is held, and a watch of the group's key alone runs instead until the group is known
 * (core/configuration/listing_schedule.h). The version of the configuration never decreases. Back
 * ends that a listing lacks are removed; while the service does not respond, the last known state
 * stays in use.
 *
 * Gateways with the directory role (directory_role.c) offer their view to the storage nodes. A
 * gateway that starts while the service is unavailable, or while its listing is held, serves from
 * such a stored view until the service, or a gateway that watches it, confirms it. Until then it
 * answers a call without a route with 503 instead of 404, because a later configuration may have
 * one.
 */
#include "gateway/gateway.h"

#include "common/event.h"
#include "core/configuration/directory_pacing.h"
#include "core/configuration/entry_expiry.h"
#include "core/configuration/listing_schedule.h"

#include <string.h>

enum {
    DIRECTORY_CHECK_INTERVAL_MS = 20, /**< Until directory and store group are known. */
    OFFER_SETTLE_MS = 2000, /**< Delay of the first offer: a peer's report may end the role. */
    OFFER_INTERVAL_MIN_MS = 1000, /**< Minimum time between two offers to storage nodes. */
    /** An unchanged offer is repeated after this, because its recipient may have failed. */
    OFFER_INTERVAL_MAX_MS = 3000,
    GROUP_WAIT_MS = 25000, /**< Maximum wait of one watch request for the store group's key. */
};

static void apply_configuration(gateway_t *gateway, const key_value_item_t *item) {
    if (item->value == NULL)
        return;
    gsize length;
    const char *data = g_bytes_get_data(item->value, &length);
    directory_configuration_t *configuration = directory_parse_configuration(data, length);
    uint64_t current_version = gateway->configuration == NULL ? 0 : gateway->configuration->version;
    if (configuration == NULL || configuration->version <= current_version) {
        if (configuration == NULL || configuration->version < current_version)
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

static backend_record_t *decode_backend(const char *instance, GBytes *value) {
    gsize length;
    const void *data = g_bytes_get_data(value, &length);
    backend_record_t *backend = backend_record_decode(instance, data, length);
    backend_entry_fault_t fault;
    /* One with a version, or what an earlier version of this process sent to storage nodes. */
    return backend != NULL ? backend : directory_read_backend(instance, data, length, &fault);
}

/**
 * Single back ends are logged only by gateways that watch the service themselves, once their view
 * is complete; the others log the number of changes (E840). This keeps the log volume of a restart
 * from growing with gateways times back ends: 10,000 back ends logged by each of 865 gateways are
 * 8.6 million lines.
 */
static bool logs_backends(const gateway_t *gateway) {
    return gateway->backends_listed && !key_value_watch_rests(gateway->watch);
}

/**
 * True if a back end without an entry is still used, because the service was unavailable; see
 * entry_expiry.h.
 */
static bool keeps_expired(gateway_t *gateway, const char *instance) {
    uint64_t now = uv_now(gateway->loop);
    entry_expiry_evidence_t evidence = {
        .failed_at = gateway->watch == NULL ? 0 : key_value_watch_failed_at(gateway->watch),
        .recovered_at = gateway->key_value_recovered_at,
    };
    uint64_t until = entry_expiry_grace_end(&evidence, now);
    if (until == 0 || !backends_expire_entry(&gateway->backends, instance, until))
        return false;
    if (logs_backends(gateway))
        event_log(BACKEND_ENTRY_EXPIRED, instance, until - now);
    return true;
}

static void apply_backend(gateway_t *gateway, const char *instance, const key_value_item_t *item) {
    backend_record_t *backend = item->value == NULL ? NULL : decode_backend(instance, item->value);
    if (backend == NULL && item->value == NULL && keeps_expired(gateway, instance))
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

static bool is_group(key_kind_t kind, const char *name) {
    return kind == KEY_OWN && strcmp(name, "group") == 0;
}

static void apply_group(gateway_t *gateway, const char *name, const key_value_item_t *item) {
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

static void apply_item(gateway_t *gateway, const key_value_item_t *item) {
    const char *name;
    switch (key_value_kind(item->key, &name)) {
    case KEY_CONFIGURATION:
        apply_configuration(gateway, item);
        break;
    case KEY_BACKEND:
        apply_backend(gateway, name, item);
        break;
    case KEY_OWN:
        apply_group(gateway, name, item);
        break;
    case KEY_RETIRE:
    case KEY_SPILL:
    case KEY_OTHER:
        break;
    }
}

/** Applies an item without secrets if it is new; followers get the revision in any case. */
static void apply_redacted_item(gateway_t *gateway, const key_value_item_t *item) {
    const char *name;
    key_kind_t kind = key_value_kind(item->key, &name);
    bool directory = kind == KEY_CONFIGURATION || kind == KEY_BACKEND;
    bool changed =
        directory ? directory_snapshot_note(&gateway->snapshot, item) : is_group(kind, name);
    directory_feed_notify(gateway->feed, changed ? item : NULL);
    if (!changed)
        return;
    apply_item(gateway, item);
    if (gateway->backends_listed)
        gateway_check_ready(gateway);
}

void gateway_apply_item(gateway_t *gateway, const key_value_item_t *item) {
    const char *name;
    if (item->value == NULL || key_value_kind(item->key, &name) != KEY_CONFIGURATION) {
        apply_redacted_item(gateway, item);
        return;
    }
    key_value_item_t redacted = *item;
    redacted.value = directory_redact_configuration(item->value);
    apply_redacted_item(gateway, &redacted);
    g_bytes_unref(redacted.value);
}

/** Counts and logs an entry that names no usable back end. */
static void reject_entry(gateway_t *gateway, const char *instance, backend_entry_fault_t fault) {
    gateway->counters.entries_rejected++;
    if (logs_backends(gateway))
        event_log(BACKEND_ENTRY_REJECTED, instance, backend_entry_fault_name(fault));
}

/** Converts an entry of the service to the form that is passed on; NULL: it names no usable back
 * end. */
static GBytes *shorten_backend(gateway_t *gateway, const char *instance, GBytes *value) {
    gsize length;
    const char *data = g_bytes_get_data(value, &length);
    backend_entry_fault_t fault;
    backend_record_t *backend = directory_read_backend(instance, data, length, &fault);
    if (backend == NULL) {
        reject_entry(gateway, instance, fault);
        return NULL;
    }
    GBytes *form = backend->version == NULL ? backend_record_encode(backend)
                                            : directory_write_backend(backend);
    backend_record_free(backend);
    return form;
}

static void on_item(void *owner, const key_value_item_t *item) {
    gateway_t *gateway = owner;
    const char *instance;
    load_sharing_check_soon(gateway->load_sharing);
    if (item->value == NULL || key_value_kind(item->key, &instance) != KEY_BACKEND) {
        gateway_apply_item(gateway, item);
        return;
    }
    key_value_item_t backend = *item;
    backend.value = shorten_backend(gateway, instance, item->value);
    gateway_apply_item(gateway, &backend);
    if (backend.value != NULL)
        g_bytes_unref(backend.value);
    else /* The entry exists but names no usable back end: it has not expired. */
        backends_remove(&gateway->backends, instance);
}

void gateway_retain_items(gateway_t *gateway, GHashTable *keys) {
    GPtrArray *missing = directory_snapshot_missing(&gateway->snapshot, keys);
    for (guint i = 0; i < missing->len; i++) {
        key_value_item_t removed = {.key = g_ptr_array_index(missing, i)};
        gateway_apply_item(gateway, &removed);
    }
    g_ptr_array_free(missing, TRUE);
}

/** True if neither the service nor a storage node has provided a group. */
static bool group_unknown(const gateway_t *gateway) {
    return store_client_generation(gateway->stores) == 0;
}

void gateway_on_directory_complete(gateway_t *gateway) {
    gateway->backends_listed = true;
    gateway->directory_confirmed = true;
    event_log(GATEWAY_DIRECTORY_LISTED, gateway->snapshot.revision,
              backends_count(&gateway->backends));
    directory_feed_notify(gateway->feed, NULL);
    gateway_check_ready(gateway);
}

static void on_listed(void *owner, GHashTable *keys) {
    gateway_t *gateway = owner;
    if (keys != NULL)
        gateway_retain_items(gateway, keys);
    key_value_watch_set_pause(gateway->watch, WATCH_RESTING_PAUSE_MS);
    gateway_on_directory_complete(gateway);
}

static void on_reachable(void *owner, bool reachable) {
    gateway_t *gateway = owner;
    gateway->key_value_reachable = reachable;
    if (reachable && gateway->key_value_failed)
        gateway->key_value_recovered_at = uv_now(gateway->loop);
    gateway->key_value_failed = !reachable;
    if (reachable)
        event_log(KEY_VALUE_REACHABLE, gateway->settings->key_value_text);
    else
        event_log(KEY_VALUE_UNREACHABLE, gateway->settings->key_value_text,
                  error_name(RUDDERWAY_ERROR_KEY_VALUE_UNAVAILABLE));
}

static const key_value_watch_handler_t handler = {on_item, on_listed, on_reachable};

/* Watch of the store group alone. */

static void on_group_item(void *owner, const key_value_item_t *item) {
    gateway_t *gateway = owner;
    gateway_apply_item(gateway, item);
}

static void on_group_listed(void *owner, GHashTable *keys) {
    (void)owner;
    (void)keys;
}

/** While the main watch is held, this one detects whether the service responds. */
static void on_group_reachable(void *owner, bool reachable) {
    const gateway_t *gateway = owner;
    if (key_value_watch_held_since(gateway->watch) > 0)
        on_reachable(owner, reachable);
}

static const key_value_watch_handler_t group_handler = {on_group_item, on_group_listed,
                                                        on_group_reachable};

/** Watches for the group at startup; ends once any source has provided it. */
static void open_group_watch(gateway_t *gateway) {
    const process_settings_t *settings = gateway->settings;
    char *key = key_value_own_key("group");
    gateway->group_watch =
        key_value_watch_open(gateway->loop, &settings->key_value, settings->key_value_text, key,
                             GROUP_WAIT_MS, &group_handler, gateway);
    g_free(key);
}

static void end_group_watch(gateway_t *gateway) {
    if (group_unknown(gateway) || gateway->group_watch == NULL)
        return;
    key_value_watch_rest(gateway->group_watch);
}

/* Directory stored by the storage nodes. */

static void apply_stored_item(void *owner, const char *key, GBytes *value) {
    gateway_t *gateway = owner;
    /* An item received from the key-value service is newer than a stored one. */
    if (g_hash_table_contains(gateway->snapshot.items, key))
        return;
    key_value_item_t item = {.key = (char *)key, .value = value};
    gateway_apply_item(gateway, &item);
}

void gateway_apply_stored_directory(void *owner, GBytes *bytes) {
    gateway_t *gateway = owner;
    uint64_t revision = 0;
    if (gateway->backends_listed ||
        !directory_snapshot_read(bytes, &revision, apply_stored_item, gateway))
        return;
    gateway->snapshot.revision = MAX(gateway->snapshot.revision, revision);
    gateway->view_received_at = MAX(1, uv_now(gateway->loop));
    gateway->backends_listed = true;
    event_log(GATEWAY_DIRECTORY_KEPT, revision, backends_count(&gateway->backends));
    if (key_value_watch_held_since(gateway->watch) > 0)
        key_value_watch_resume(gateway->watch, revision);
    gateway_check_ready(gateway);
}

GBytes *gateway_encode_directory(void *owner, uint64_t *revision) {
    gateway_t *gateway = owner;
    /* During a listing, items that it has not reached are older than its revision. */
    if (!gateway->directory_confirmed || !key_value_watch_listed(gateway->watch))
        return NULL;
    *revision = gateway->snapshot.revision;
    return directory_snapshot_encode(&gateway->snapshot);
}

static void offer_directory(gateway_t *gateway) {
    uint64_t now = uv_now(gateway->loop);
    unsigned links = store_client_links_opened(gateway->stores);
    bool changed =
        gateway->snapshot.revision != gateway->offered_revision || links != gateway->offered_links;
    bool refresh_due = now >= gateway->offered_at + OFFER_INTERVAL_MAX_MS;
    bool in_role = gateway->offers_directory_since > 0 &&
                   now >= gateway->offers_directory_since + OFFER_SETTLE_MS;
    if (!in_role || !gateway->directory_confirmed || !(changed || refresh_due) ||
        now < gateway->offered_at + OFFER_INTERVAL_MIN_MS)
        return;
    store_client_announce_directory(gateway->stores, gateway->snapshot.revision);
    gateway->offered_revision = gateway->snapshot.revision;
    gateway->offered_links = links;
    gateway->offered_at = now;
}

/** Continues a held listing once it is due. */
static void continue_listing(gateway_t *gateway) {
    listing_schedule_t turn = {
        .deferred_since = key_value_watch_held_since(gateway->watch),
        .peers_known_at = gateway->gateways_received_at,
        .rank = load_sharing_rank(gateway->load_sharing),
        .below = gateway->sources->len > 0,
        .no_stores = !gateway->stores_reached && store_client_links_opened(gateway->stores) == 0,
        .view_received_at =
            directory_follow_active(gateway->follow) ? 0 : gateway->view_received_at,
        .jitter_ms = gateway->listing_jitter_ms,
    };
    if (turn.deferred_since == 0 || !listing_schedule_due(&turn, uv_now(gateway->loop)))
        return;
    event_log(GATEWAY_DIRECTORY_LISTS, turn.rank, turn.below ? "no" : "yes",
              uv_now(gateway->loop) - turn.deferred_since);
    key_value_watch_go_on(gateway->watch);
}

static void on_directory_check(uv_timer_t *timer) {
    gateway_t *gateway = timer->data;
    uint64_t now = uv_now(gateway->loop);
    if (!gateway->backends_listed && directory_request_due(gateway->directory_requested_at, now) &&
        store_client_request_directory(gateway->stores))
        gateway->directory_requested_at = now;
    unsigned expired = backends_remove_expired(&gateway->backends);
    if (expired > 0)
        event_log(BACKENDS_EXPIRED, expired, backends_count(&gateway->backends));
    offer_directory(gateway);
    end_group_watch(gateway);
    continue_listing(gateway);
    bool settled = gateway->backends_listed && key_value_watch_held_since(gateway->watch) == 0 &&
                   !group_unknown(gateway);
    uv_timer_set_repeat(timer, settled ? OFFER_INTERVAL_MIN_MS : DIRECTORY_CHECK_INTERVAL_MS);
}

void gateway_watch_directory(gateway_t *gateway) {
    gateway->offers_directory_since = MAX(1, gateway->started_at);
    gateway->renewing = true;
    uv_timer_init(gateway->loop, &gateway->directory_timer);
    gateway->directory_timer.data = gateway;
    uv_timer_start(&gateway->directory_timer, on_directory_check, DIRECTORY_CHECK_INTERVAL_MS,
                   DIRECTORY_CHECK_INTERVAL_MS);
    const process_settings_t *settings = gateway->settings;
    gateway->watch = key_value_watch_open_held(
        gateway->loop, &settings->key_value, settings->key_value_text, key_value_prefix(KEY_OTHER),
        WATCH_WAIT_RENEWING_MS, &handler, gateway);
    open_group_watch(gateway);
    gateway->listing_jitter_ms = (uint32_t)g_random_int_range(0, LISTING_JITTER_MAX_MS);
}
