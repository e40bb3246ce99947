#include "core/routing/engine_limit.h"

#include <glib.h>

enum {
    REFUSED_MS = 300, /**< By then what other gateways have there is known. */
    PARTS = 4,        /**< One refusal moves the bound by one part in so many. */
};

static void begin_life(engine_limit_t *limit, uint64_t born) {
    if (limit->born != born)
        *limit = (engine_limit_t){.born = born};
}

void engine_limit_note_refused(engine_limit_t *limit, uint64_t born, unsigned load, unsigned slots,
                               uint64_t now) {
    begin_life(limit, born);
    limit->refused_load = load;
    limit->refused_until = now + REFUSED_MS;
    /* With slots free it was not for want of room, or the load known is too old to tell. */
    if (load < slots)
        return;
    if (limit->bound == 0)
        limit->bound = load;
    limit->bound += (load - limit->bound) / PARTS;
}

void engine_limit_note_taken(engine_limit_t *limit, uint64_t born, unsigned load) {
    begin_life(limit, born);
    if (limit->bound > 0)
        limit->bound = MAX(limit->bound, (double)load + 1);
}

bool engine_limit_turns_away(const engine_limit_t *limit, uint64_t born, unsigned load,
                             uint64_t now) {
    return limit->born == born && now < limit->refused_until && load >= limit->refused_load;
}

unsigned engine_limit_queue(const engine_limit_t *limit, uint64_t born, unsigned slots) {
    if (limit->born != born || limit->bound == 0)
        return 0;
    unsigned bound = (unsigned)(limit->bound + 0.5);
    return bound > slots ? bound - slots : 1;
}
