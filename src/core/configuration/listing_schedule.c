#include "core/configuration/listing_schedule.h"

#include "core/configuration/watch_role.h"

/** Confirming a view takes a single call, so less jitter is needed. */
enum { CONFIRM_JITTER_DIVISOR = 6 };

bool listing_schedule_due(const listing_schedule_t *schedule, uint64_t now) {
    uint64_t confirm_ms = LISTING_CONFIRM_TIMEOUT_MS + schedule->jitter_ms / CONFIRM_JITTER_DIVISOR;
    if (schedule->view_received_at > 0 && now >= schedule->view_received_at + confirm_ms)
        return true;
    uint64_t timeout_ms = schedule->no_stores ? LISTING_NO_STORES_TIMEOUT_MS : LISTING_TIMEOUT_MS;
    if (now >= schedule->deferred_since + timeout_ms + schedule->jitter_ms)
        return true;
    if (schedule->peers_known_at == 0 || schedule->below)
        return false;
    uint64_t wait_ms =
        LISTING_SETTLE_MS + schedule->rank / WATCH_RENEWING * (uint64_t)LISTING_RANK_INTERVAL_MS;
    return now >= schedule->peers_known_at + wait_ms;
}
