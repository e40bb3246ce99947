/*
 * Admission by free memory and disk space, and the disk's lag. The response to each reserve says
 * whether one more turn may start: whether stored turns, pending writes and the space reserved for
 * running calls stay below the limits for new turns. A turn whose call has already run is accepted
 * up to higher limits, since refusing it would waste the engine's work and the caller's wait.
 *
 * Failures: when memory or disk space runs low, new turns are refused first, then new reserves,
 * then turns of running calls, so that the process does not run out of memory. Reads and settles
 * of running calls continue.
 */
#include "store/store.h"

#include "common/event.h"

enum {
    PERCENT = 100,
    BYTES_PER_MEGABYTE = 1024 * 1024,
    /** New reserves are refused once turns and charges use this share of the memory. */
    RESERVES_MAX_PERCENT = 81,
    /**
     * No call starts for this long after a failed write. The next calls then probe the disk, so
     * only few calls per period run and fail while the disk is full; without the pause all would.
     */
    WRITE_FAILURE_BACKOFF_MS = 1000,
    DISK_LAG_MIN_MS = 1000,       /**< Shorter lags seldom outlast a call. */
    EXPIRY_INTERVAL_MIN_MS = 500, /**< Bounds the cost of removals while the node is full. */
};

/** Limits up to which turns are accepted, in percent. */
typedef struct {
    unsigned turns;   /**< Share of the memory that turns may use. */
    unsigned records; /**< Share of the memory that turns and charges may use together. */
    unsigned disk;    /**< Share of the disk that the log may use. */
} space_limits_t;

static const space_limits_t start_limits = {.turns = 50, .records = 78, .disk = 85};
/**
 * For turns of more than LARGE_TURN_BYTES: what is left up to start_limits is for ordinary ones, so
 * that whoever sends large ones does not keep all others from being served.
 */
static const space_limits_t large_limits = {.turns = 38, .records = 66, .disk = 70};
/**
 * Leaves headroom above start_limits for turns larger than the mean and for records copied from
 * other members. The process uses more memory than the tables account for, hence not 100 %: with
 * 17,000 turns and 70,000 charges 4 MB more, so that 84 % of 58 MB are the most for both.
 */
static const space_limits_t started_limits = {.turns = 58, .records = 84, .disk = 93};

static uint64_t memory_limit(const store_t *store, unsigned percent) {
    return store->settings->memory_megabytes * BYTES_PER_MEGABYTE * percent / PERCENT;
}

/** In bytes; 0: unlimited. */
static uint64_t disk_limit(const store_t *store, unsigned percent) {
    return store->settings->disk_megabytes * BYTES_PER_MEGABYTE * percent / PERCENT;
}

/** True if turns, charges and @p incoming bytes use less than @p percent of the memory. */
static bool records_fit(const store_t *store, unsigned percent, uint64_t incoming) {
    uint64_t bytes = store->turns.bytes + budget_table_bytes(&store->budgets) + incoming;
    return bytes < memory_limit(store, percent);
}

/** True if turns stay below all @p limits once @p incoming bytes are added. */
static bool turns_fit(const store_t *store, const space_limits_t *limits, uint64_t incoming) {
    uint64_t disk = disk_limit(store, limits->disk);
    return store->turns.bytes + incoming < memory_limit(store, limits->turns) &&
           records_fit(store, limits->records, incoming) &&
           (disk == 0 ||
            record_log_bytes(store->log) + store->spilled_turn_bytes + incoming < disk);
}

/**
 * As turns_fit, but removes expired turns before it reports a lack of space. A node that restarts
 * often never reaches the periodic removal.
 */
static bool unexpired_turns_fit(store_t *store, const space_limits_t *limits, uint64_t incoming) {
    if (turns_fit(store, limits, incoming))
        return true;
    if (store_expiry_clock_ms(store) < store->last_expiry_at + EXPIRY_INTERVAL_MIN_MS)
        return false;
    store_remove_expired(store);
    return turns_fit(store, limits, incoming);
}

/** Mean size of the stored turns in bytes; 0 without any. */
static uint64_t mean_turn_bytes(const store_t *store) {
    guint turns = g_hash_table_size(store->turns.entries);
    return turns == 0 ? 0 : store->turns.bytes / turns;
}

uint64_t store_reserved_turn_bytes(const store_t *store) {
    return space_reservations_bytes(&store->reservations, mean_turn_bytes(store));
}

/** True if a write failed less than WRITE_FAILURE_BACKOFF_MS ago. */
static bool disk_is_failing(const store_t *store) {
    return store->last_write_failure_at > 0 &&
           uv_now(store->loop) < store->last_write_failure_at + WRITE_FAILURE_BACKOFF_MS;
}

bool store_can_start_turn(store_t *store) {
    uint64_t incoming = store->pending_turn_bytes + store_reserved_turn_bytes(store);
    bool failing = disk_is_failing(store);
    bool has_space = !failing && unexpired_turns_fit(store, &start_limits, incoming);
    if (has_space == store->out_of_space)
        event_log(STORE_SPACE_CHANGED, has_space ? "yes" : "no", failing ? "fails" : "works",
                  store->turns_refused_for_space, store->turns.bytes,
                  memory_limit(store, start_limits.turns), incoming,
                  budget_table_bytes(&store->budgets), record_log_bytes(store->log),
                  disk_limit(store, start_limits.disk));
    store->out_of_space = !has_space;
    return has_space;
}

bool store_can_start_large_turn(store_t *store) {
    uint64_t incoming = store->pending_turn_bytes + store_reserved_turn_bytes(store);
    return !disk_is_failing(store) && unexpired_turns_fit(store, &large_limits, incoming);
}

bool store_accept_started_turn(store_t *store) {
    uint64_t incoming = store->pending_turn_bytes;
    if (unexpired_turns_fit(store, &start_limits, incoming))
        return true;
    bool has_space = turns_fit(store, &started_limits, incoming);
    store->turns_accepted_over_limit += has_space;
    store->turns_refused_for_space += !has_space;
    return has_space;
}

uint32_t store_disk_lag_ms(store_t *store) {
    uint64_t lag_ms = record_log_lag_ms(store->log);
    bool lagging = lag_ms >= DISK_LAG_MIN_MS;
    if (lagging != store->disk_lagging)
        event_log(STORE_DISK_LAG, lagging ? "yes" : "no", lag_ms, store->pending_turn_bytes);
    store->disk_lagging = lagging;
    return lagging ? (uint32_t)MIN(lag_ms, UINT32_MAX) : 0;
}

bool store_can_accept_reserve(const store_t *store, const budget_charge_t *charge) {
    bool fits = !disk_is_failing(store) && records_fit(store, RESERVES_MAX_PERCENT, 0);
    return fits || budget_table_contains(&store->budgets, charge->program, charge->call);
}
