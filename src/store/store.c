#include "store/store.h"

#include "common/event.h"
#include "store/store_crashes.h"
#include "store/store_directory.h"
#include "store/store_gateways.h"

enum {
    QUOTA_RETENTION_MS = 120000,   /**< Tenants idle for longer are removed. */
    AFFINITY_RETENTION_MS = 60000, /**< Engines evict an idle program's cached prompt sooner. */
    REGULAR_CHECK_MS = 1000,       /**< Of the disk's lag, and for missing ancestors. */
    STREAMS_MAX = 100000,          /**< About 10 MB. */
};

static bool segment_is_unused(void *owner, uint32_t segment) {
    const store_t *store = owner;
    return turn_table_segment_unused(&store->turns, segment, store_expiry_clock_ms(store));
}

uint64_t store_expiry_clock_ms(const store_t *store) {
    return record_clock_time(&store->clock, uv_now(store->loop));
}

void store_remove_expired(store_t *store) {
    uint64_t time = store_expiry_clock_ms(store);
    store->last_expiry_at = time;
    turn_table_expire(&store->turns, time);
    if (time > BUDGET_RETENTION_MS)
        budget_table_expire(&store->budgets, time - BUDGET_RETENTION_MS);
}

/** True if any record can expire. Otherwise time marks would only make the log grow. */
static bool has_expiring_records(const store_t *store) {
    return g_hash_table_size(store->turns.entries) + g_hash_table_size(store->budgets.programs) > 0;
}

static void on_upkeep(uv_timer_t *timer) {
    store_t *store = timer->data;
    uint64_t now = uv_now(store->loop);
    store_remove_expired(store);
    space_reservations_expire(&store->reservations, now);
    if (has_expiring_records(store))
        store_append_time_mark(store);
    if (now > AFFINITY_RETENTION_MS)
        program_affinity_expire(&store->affinity, now - AFFINITY_RETENTION_MS);
    if (now > QUOTA_RETENTION_MS) {
        quota_table_expire(&store->quotas, now - QUOTA_RETENTION_MS);
        admission_table_expire(&store->admissions, now - QUOTA_RETENTION_MS);
    }
    record_log_trim(store->log, segment_is_unused, store);
}

static void on_regular_check(uv_timer_t *timer) {
    (void)store_disk_lag_ms(timer->data);
    store_catch_up_check(timer->data);
}

/** Reads the log and the state file; without a state file the node is new or lost its disk. */
static bool open_log(store_t *store, GError **error) {
    store->log = record_log_open(store->loop, store->settings->folder, store_replay, store, error);
    if (store->log == NULL)
        return false;
    record_clock_start(&store->clock, uv_now(store->loop));
    store_crashes_replayed(store);
    store_remove_expired(store);
    event_log(STORE_LOG_READ, store->records_replayed, g_hash_table_size(store->turns.entries),
              store->turns.bytes, record_log_bytes(store->log));
    bool restored = store_restore_state(store);
    if (!restored) {
        store->joined_generation = 0;
        store->founding = store->settings->first_start;
        store_write_state(store);
    }
    if (restored || !store->founding)
        turn_spill_read(store->spill);
    if (restored)
        store_request_reconciliation(store, RECONCILE_RESTARTED);
    event_log(STORE_STARTED, store->settings->name, store->settings->zone,
              store->settings->peer_text, restored ? "kept" : "empty",
              g_hash_table_size(store->turns.entries), store->group->generation);
    return true;
}

bool store_open(store_t *store, GError **error) {
    store->started_at = uv_now(store->loop);
    store->group = store_group_new();
    store->connections = g_hash_table_new(g_int64_hash, g_int64_equal);
    store->pending_turns = g_hash_table_new(g_str_hash, g_str_equal);
    turn_table_init(&store->turns);
    budget_table_init_replica(&store->budgets);
    program_affinity_init(&store->affinity);
    stream_versions_init(&store->streams, STREAMS_MAX);
    store->crashes = crash_history_new();
    store->sends = open_sends_new();
    space_reservations_init(&store->reservations);
    quota_table_init(&store->quotas, &store->settings->quota);
    admission_table_init(&store->admissions);
    store_gateways_init(store);
    store_state_init(store);
    store->directory = store_directory_new(store);
    store->spill = turn_spill_new(store->loop, store->settings, &store_spill_handler, store);
    if (!open_log(store, error))
        return false;
    store->listener =
        frame_listener_open(store->loop, &store->settings->peer, &store_request_handler, store);
    if (store->listener == NULL) {
        error_set(error, RUDDERWAY_ERROR_SYSTEM, "%s: cannot listen", store->settings->peer_text);
        return false;
    }
    uv_timer_init(store->loop, &store->upkeep);
    store->upkeep.data = store;
    uv_timer_start(&store->upkeep, on_upkeep, STORE_UPKEEP_INTERVAL_MS, STORE_UPKEEP_INTERVAL_MS);
    uv_timer_init(store->loop, &store->regular_check);
    store->regular_check.data = store;
    uv_timer_start(&store->regular_check, on_regular_check, REGULAR_CHECK_MS, REGULAR_CHECK_MS);
    store->catch_up = store_catch_up_new(store);
    store->membership = store_membership_new(store);
    store_directory_start(store->directory);
    store_catch_up_check(store);
    return true;
}
