#include "core/retry/come_back.h"

/** Longest wait that the caller honours. */
static uint32_t max_wait_ms(const come_back_t *call) {
    return call->time_left_ms / COME_BACK_HONOURED_PART;
}

static uint32_t zone_isolated_wait_ms(const come_back_t *call) {
    if (call->led_ms <= call->lasted_ms)
        return COME_BACK_ELSEWHERE_MS;
    uint32_t wait = call->led_ms - call->lasted_ms;
    if (wait < COME_BACK_SOON_MS)
        return COME_BACK_SOON_MS;
    uint32_t max_ms = max_wait_ms(call);
    /* The minimum applies even if the caller honours less: the next attempt is its last one. */
    max_ms = max_ms < COME_BACK_SOON_MS ? COME_BACK_SOON_MS : max_ms;
    return wait < max_ms ? wait : max_ms;
}

uint32_t come_back_ms(const come_back_t *call) {
    outage_t outage = {.active = true, .since = 0};
    switch (call->reason) {
    case COME_BACK_ISOLATED:
        return zone_isolated_wait_ms(call);
    case COME_BACK_OUTAGE:
        return outage_come_back_ms(&outage, call->lasted_ms);
    case COME_BACK_KNOWN:
        return call->known_ms;
    case COME_BACK_SOON:
        break;
    }
    return COME_BACK_SOON_MS;
}
