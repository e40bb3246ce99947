#include "core/retry/outage.h"

/**
 * The suggested wait is the duration of the outage so far divided by this. With the whole duration,
 * short outages made more programs late than were saved.
 */
enum { DURATION_DIVISOR = 4 };

void outage_begin(outage_t *outage, uint64_t arrived_at) {
    if (outage->active)
        return;
    outage->active = true;
    outage->since = arrived_at;
}

void outage_end(outage_t *outage) {
    outage->active = false;
}

uint32_t outage_duration_ms(const outage_t *outage, uint64_t now) {
    return outage->active && now > outage->since ? (uint32_t)(now - outage->since) : 0;
}

unsigned outage_retry_after_ms(const outage_t *outage, uint64_t now) {
    uint64_t wait = outage_duration_ms(outage, now) / DURATION_DIVISOR;
    if (wait < OUTAGE_RETRY_AFTER_MIN_MS)
        return OUTAGE_RETRY_AFTER_MIN_MS;
    return wait < OUTAGE_RETRY_AFTER_MAX_MS ? (unsigned)wait : OUTAGE_RETRY_AFTER_MAX_MS;
}
