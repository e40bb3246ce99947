#include "core/retry/outage.h"

/** One part in so many of what an outage has lasted is told. */
enum { SHARE_OF_LASTED = 4 };

void outage_note(outage_t *outage, uint64_t arrived_at) {
    if (outage->lasts)
        return;
    outage->lasts = true;
    outage->since = arrived_at;
}

void outage_end(outage_t *outage) {
    outage->lasts = false;
}

uint32_t outage_lasted_ms(const outage_t *outage, uint64_t now) {
    return outage->lasts && now > outage->since ? (uint32_t)(now - outage->since) : 0;
}

unsigned outage_come_back_ms(const outage_t *outage, uint64_t now) {
    uint64_t wait = outage_lasted_ms(outage, now) / SHARE_OF_LASTED;
    if (wait < OUTAGE_COME_BACK_LEAST_MS)
        return OUTAGE_COME_BACK_LEAST_MS;
    return wait < OUTAGE_COME_BACK_MOST_MS ? (unsigned)wait : OUTAGE_COME_BACK_MOST_MS;
}
