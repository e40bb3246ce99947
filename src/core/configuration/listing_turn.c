#include "core/configuration/listing_turn.h"

#include "core/configuration/watch_duty.h"

enum { KEPT_SPREAD_SHARE = 6 }; /**< Of the spread, while only one call is to be made. */

static uint64_t most_ms(const listing_turn_t *turn) {
    if (turn->kept)
        return LISTING_KEPT_MS + turn->spread_ms / KEPT_SPREAD_SHARE;
    return (turn->lone ? LISTING_LONE_MS : LISTING_MOST_MS) + turn->spread_ms;
}

bool listing_turn_due(const listing_turn_t *turn, uint64_t now) {
    if (now >= turn->held_since + most_ms(turn))
        return true;
    if (turn->told_at == 0 || turn->below)
        return false;
    uint64_t wait_ms = LISTING_SETTLE_MS + turn->rank / WATCH_RENEWING * (uint64_t)LISTING_EACH_MS;
    return now >= turn->told_at + wait_ms;
}
