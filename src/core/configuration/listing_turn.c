#include "core/configuration/listing_turn.h"

#include "core/configuration/watch_duty.h"

/** Confirming a view takes a single call, so that less jitter is needed. */
enum { CONFIRM_JITTER_DIVISOR = 6 };

bool listing_turn_due(const listing_turn_t *turn, uint64_t now) {
    uint64_t confirm_ms = LISTING_KEPT_MS + turn->spread_ms / CONFIRM_JITTER_DIVISOR;
    if (turn->kept_at > 0 && now >= turn->kept_at + confirm_ms)
        return true;
    uint64_t timeout_ms = turn->lone ? LISTING_LONE_MS : LISTING_MOST_MS;
    if (now >= turn->held_since + timeout_ms + turn->spread_ms)
        return true;
    if (turn->told_at == 0 || turn->below)
        return false;
    uint64_t wait_ms = LISTING_SETTLE_MS + turn->rank / WATCH_RENEWING * (uint64_t)LISTING_EACH_MS;
    return now >= turn->told_at + wait_ms;
}
