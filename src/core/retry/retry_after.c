#include "core/retry/retry_after.h"

/** Longest wait that the caller honours. */
static uint32_t max_wait_ms(const retry_after_t *call) {
    return call->time_left_ms / RETRY_AFTER_HONOURED_DIVISOR;
}

static uint32_t zone_isolated_wait_ms(const retry_after_t *call) {
    if (call->redirect_after_ms <= call->duration_ms)
        return RETRY_AFTER_REDIRECTED_MS;
    uint32_t wait = call->redirect_after_ms - call->duration_ms;
    if (wait < RETRY_AFTER_TRANSIENT_MS)
        return RETRY_AFTER_TRANSIENT_MS;
    uint32_t max_ms = max_wait_ms(call);
    /* The minimum applies even if the caller honours less: the next attempt is its last one. */
    max_ms = max_ms < RETRY_AFTER_TRANSIENT_MS ? RETRY_AFTER_TRANSIENT_MS : max_ms;
    return wait < max_ms ? wait : max_ms;
}

uint32_t retry_after_delay_ms(const retry_after_t *call) {
    outage_t outage = {.active = true, .since = 0};
    switch (call->reason) {
    case RETRY_AFTER_ISOLATED:
        return zone_isolated_wait_ms(call);
    case RETRY_AFTER_OUTAGE:
        return outage_retry_after_ms(&outage, call->duration_ms);
    case RETRY_AFTER_KNOWN:
        return call->known_wait_ms;
    case RETRY_AFTER_TRANSIENT:
        break;
    }
    return RETRY_AFTER_TRANSIENT_MS;
}
