#include "core/routing/engine_limit.h"

#include <glib.h>

enum {
    REFUSAL_HOLD_MS = 300, /**< Time after a refusal in which the engine counts as full. */
    STEP_DIVISOR = 4,      /**< A refusal moves the limit by 1/4 of its difference from the load. */
};

static void reset_on_restart(engine_limit_t *limit, uint64_t incarnation) {
    if (limit->incarnation != incarnation)
        *limit = (engine_limit_t){.incarnation = incarnation};
}

void engine_limit_record_refused(engine_limit_t *limit, uint64_t incarnation, unsigned load,
                                 unsigned slots, uint64_t now) {
    reset_on_restart(limit, incarnation);
    limit->refused_load = load;
    limit->refused_until = now + REFUSAL_HOLD_MS;
    /* With free slots the refusal had another cause, or the known load is stale. */
    if (load < slots)
        return;
    if (limit->limit == 0)
        limit->limit = load;
    limit->limit += (load - limit->limit) / STEP_DIVISOR;
}

void engine_limit_record_accepted(engine_limit_t *limit, uint64_t incarnation, unsigned load) {
    reset_on_restart(limit, incarnation);
    if (limit->limit > 0)
        limit->limit = MAX(limit->limit, (double)load + 1);
}

bool engine_limit_is_refusing(const engine_limit_t *limit, uint64_t incarnation, unsigned load,
                              uint64_t now) {
    return limit->incarnation == incarnation && now < limit->refused_until &&
           load >= limit->refused_load;
}

unsigned engine_limit_queue(const engine_limit_t *limit, uint64_t incarnation, unsigned slots) {
    if (limit->incarnation != incarnation || limit->limit == 0)
        return 0;
    unsigned rounded = (unsigned)(limit->limit + 0.5);
    return rounded > slots ? rounded - slots : 1;
}
