#include "core/quorum/reconciliation.h"

enum {
    /** Bounds the cost of many events, such as gateways that connect one after the other. */
    INTERVAL_MS = 2000,
    /** A parent whose write is under way arrives sooner. */
    MISSING_DELAY_MS = 500,
    /** An ancestor that the last run did not find may have expired everywhere. */
    MISSING_INTERVAL_MS = 5000,
};

const char *reconcile_reason_name(reconcile_reason_t reason) {
    static const char *const names[RECONCILE_REASONS] = {
        "restarted", "gateway_connected", "write_failed", "no_space", "ancestor_missing",
    };
    return names[reason];
}

void reconciliation_request(reconciliation_t *reconciliation, reconcile_reason_t reason) {
    if (reconciliation->requested)
        return;
    reconciliation->requested = true;
    reconciliation->requested_reason = reason;
}

void reconciliation_observe(reconciliation_t *reconciliation, bool ancestor_missing, uint64_t now) {
    if (!ancestor_missing)
        reconciliation->missing_since = 0;
    else if (reconciliation->missing_since == 0)
        reconciliation->missing_since = now;
}

/** Time since the last run ended; if there was none, longer than any interval. */
static bool interval_passed(const reconciliation_t *reconciliation, uint64_t interval,
                            uint64_t now) {
    return reconciliation->ended_at == 0 || now >= reconciliation->ended_at + interval;
}

static bool missing_for_long(const reconciliation_t *reconciliation, uint64_t now) {
    uint64_t since = reconciliation->missing_since;
    if (since == 0 || now < since + MISSING_DELAY_MS)
        return false;
    bool already_sought = since <= reconciliation->started_at;
    return interval_passed(reconciliation, already_sought ? MISSING_INTERVAL_MS : INTERVAL_MS, now);
}

bool reconciliation_is_due(const reconciliation_t *reconciliation, uint64_t now) {
    if (reconciliation->running)
        return false;
    bool requested = reconciliation->requested && interval_passed(reconciliation, INTERVAL_MS, now);
    return requested || missing_for_long(reconciliation, now);
}

void reconciliation_start(reconciliation_t *reconciliation, uint64_t now) {
    reconciliation->reason =
        reconciliation->requested ? reconciliation->requested_reason : RECONCILE_ANCESTOR_MISSING;
    reconciliation->requested = false;
    reconciliation->running = true;
    reconciliation->started_at = now;
}

void reconciliation_end(reconciliation_t *reconciliation, uint64_t now) {
    reconciliation->running = false;
    reconciliation->ended_at = now;
}
