#include "core/routing/ejection.h"

enum {
    BASE_EJECTION_MS = 500,
    /** An ejection lasts 500 ms, 1 s, 2 s or 4 s. */
    MAX_DOUBLINGS = 3,
    OUTAGE_GAP_MS = 6000,  /**< A reset after a longer gap starts a new outage. */
    SAME_FAILURE_MS = 100, /**< Resets within this time count as one failure. */
    MIN_REPORTERS = 2,
};

void ejection_record_reset(ejection_t *ejection, uint64_t now) {
    bool first = ejection->resets == 0;
    uint64_t elapsed = now - ejection->last_reset;
    if (first || elapsed > OUTAGE_GAP_MS)
        ejection->resets = 1;
    else if (elapsed > SAME_FAILURE_MS)
        ejection->resets++;
    ejection->last_reset = now;
    unsigned doublings = ejection->resets - 1;
    if (doublings > MAX_DOUBLINGS)
        doublings = MAX_DOUBLINGS;
    uint64_t until = now + ((uint64_t)BASE_EJECTION_MS << doublings);
    if (until > ejection->ejected_until)
        ejection->ejected_until = until;
}

uint32_t ejection_remaining_ms(const ejection_t *ejection, uint64_t now) {
    return ejection->ejected_until > now ? (uint32_t)(ejection->ejected_until - now) : 0;
}

void ejection_clear_reports(ejection_t *ejection) {
    ejection->reporters = 0;
    ejection->reported_until = 0;
}

void ejection_add_report(ejection_t *ejection, uint64_t until, uint64_t now) {
    if (until <= now)
        return;
    ejection->reporters++;
    if (until > ejection->reported_until)
        ejection->reported_until = until;
}

bool ejection_is_reported(const ejection_t *ejection, uint64_t now) {
    return ejection->reporters >= MIN_REPORTERS && now < ejection->reported_until;
}

bool ejection_is_active(const ejection_t *ejection, uint64_t now) {
    return now < ejection->ejected_until || ejection_is_reported(ejection, now);
}
