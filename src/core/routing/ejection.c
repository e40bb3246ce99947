#include "core/routing/ejection.h"

enum {
    OUT_FIRST_MS = 500,
    OUT_DOUBLINGS = 3,     /**< 500 ms, 1 s, 2 s, 4 s. */
    SAME_OUTAGE_MS = 6000, /**< Resets further apart than this are not one outage. */
    CONCURRENT_MS = 100,   /**< Calls under way when it went down fail together. */
    TELLERS_NEEDED = 2,
};

void ejection_note_reset(ejection_t *ejection, uint64_t now) {
    bool first = ejection->resets == 0;
    uint64_t since = now - ejection->last_reset;
    if (first || since > SAME_OUTAGE_MS)
        ejection->resets = 1;
    else if (since > CONCURRENT_MS)
        ejection->resets++;
    ejection->last_reset = now;
    unsigned doublings = ejection->resets - 1;
    if (doublings > OUT_DOUBLINGS)
        doublings = OUT_DOUBLINGS;
    uint64_t until = now + ((uint64_t)OUT_FIRST_MS << doublings);
    if (until > ejection->out_until)
        ejection->out_until = until;
}

uint32_t ejection_tell_ms(const ejection_t *ejection, uint64_t now) {
    return ejection->out_until > now ? (uint32_t)(ejection->out_until - now) : 0;
}

void ejection_forget_told(ejection_t *ejection) {
    ejection->tellers = 0;
    ejection->told_until = 0;
}

void ejection_note_told(ejection_t *ejection, uint64_t until, uint64_t now) {
    if (until <= now)
        return;
    ejection->tellers++;
    if (until > ejection->told_until)
        ejection->told_until = until;
}

bool ejection_told_out(const ejection_t *ejection, uint64_t now) {
    return ejection->tellers >= TELLERS_NEEDED && now < ejection->told_until;
}

bool ejection_is_out(const ejection_t *ejection, uint64_t now) {
    return now < ejection->out_until || ejection_told_out(ejection, now);
}
