#include "core/routing/engine_choice.h"

#include <stddef.h>
#include <xxhash.h>

enum {
    PERCENT = 100,
    HALF = 2,
    PLACE_PERCENT = 100,
    HALF_PERCENT = 50,
    BOUND_X = 125,
    MEAN_EXCESS_PERCENT = BOUND_X, /**< A part's next engine is used above so much of the mean load. */
    MEAN_EXCESS_CALLS = 1,     /**< Added to it: loads of a few calls differ by chance. */
    AVOIDED_SHARE = 3,         /**< The sign is not trusted if more than one in so many show it. */
    FULL_TIMES = 2,            /**< After the longest wait, up to so many times the slots. */
};

/** Part of an engine's slots that calls of each urgency may fill. */
static const unsigned share_percent[URGENCY_COUNT] = {
    [URGENCY_UNDER_WAY] = 100,
    [URGENCY_NEW] = 70,
    [URGENCY_LATE] = 50,
};

/** Calls under way below which one more of this request may go to @p engine. */
static unsigned limit_of(const engine_candidate_t *engine, const engine_request_t *request) {
    unsigned share = share_percent[request->urgency];
    if (request->waited_ms >= ENGINE_WAIT_MOST_MS)
        return engine->slots * FULL_TIMES;
    share += (unsigned)((PERCENT - share) * request->waited_ms / ENGINE_WAIT_MOST_MS);
    unsigned limit = engine->slots * share / PERCENT;
    return limit > 0 ? limit : 1;
}

static bool has_room(const engine_candidate_t *engine, const engine_request_t *request) {
    return engine->load < limit_of(engine, request);
}

/** True if so many engines are avoided that the sign says nothing. */
static bool sign_doubtful(const engine_candidate_t *candidates, unsigned count) {
    unsigned avoided = 0;
    for (unsigned i = 0; i < count; i++)
        avoided += candidates[i].avoided;
    return avoided * AVOIDED_SHARE > count;
}

/** Of the engines that a search may use. */
typedef struct {
    const engine_candidate_t *candidates;
    unsigned count;
    const engine_request_t *request;
    bool use_avoided;
    bool near_only;
    bool half_full_only;
} search_t;

static bool searched(const search_t *search, const engine_candidate_t *engine) {
    if (engine->avoided && !search->use_avoided)
        return false;
    if (search->near_only && !engine->near)
        return false;
    return !search->half_full_only || engine->load * PERCENT <= engine->slots * HALF_PERCENT;
}

/** Load above which the next engine in a part's ranking is taken. */
static unsigned load_bound(const search_t *search) {
    unsigned sum = 0;
    unsigned engines = 0;
    for (unsigned i = 0; i < search->count; i++) {
        if (!searched(search, &search->candidates[i]))
            continue;
        sum += search->candidates[i].load;
        engines++;
    }
    if (engines == 0)
        return 0;
    return sum * MEAN_EXCESS_PERCENT / PERCENT / engines + MEAN_EXCESS_CALLS;
}

static uint64_t rank(uint64_t part, const engine_candidate_t *engine) {
    return XXH64(&engine->id, sizeof engine->id, part);
}

/** The first in the part's ranking that is not above the bound, or else the one with least load. */
static bool search_engine(const search_t *search, unsigned *chosen) {
    unsigned bound = load_bound(search);
    bool found = false;
    bool found_below = false;
    for (unsigned i = 0; i < search->count; i++) {
        const engine_candidate_t *engine = &search->candidates[i];
        if (!searched(search, engine))
            continue;
        const engine_candidate_t *best = found ? &search->candidates[*chosen] : NULL;
        bool below = engine->load <= bound;
        bool better = best == NULL || (below && !found_below);
        if (!better && below)
            better = rank(search->request->part, engine) > rank(search->request->part, best);
        else if (!better && !found_below)
            better = engine->load < best->load;
        if (!better)
            continue;
        found = true;
        found_below = below;
        *chosen = i;
    }
    return found && has_room(&search->candidates[*chosen], search->request);
}

static const engine_candidate_t *find_place(const engine_candidate_t *candidates, unsigned count,
                                            const engine_request_t *request) {
    for (unsigned i = 0; i < count; i++)
        if (candidates[i].id == request->place && !candidates[i].avoided)
            return &candidates[i];
    return NULL;
}

static engine_outcome_t no_room(const engine_request_t *request) {
    return request->waited_ms >= ENGINE_WAIT_MOST_MS ? ENGINE_FULL : ENGINE_WAIT;
}

engine_outcome_t engine_choose(const engine_candidate_t *candidates, unsigned count,
                               const engine_request_t *request, unsigned *chosen) {
    if (count == 0)
        return ENGINE_NONE;
    const engine_candidate_t *place = find_place(candidates, count, request);
    if (place != NULL && place->load * PERCENT < place->slots * PLACE_PERCENT) {
        *chosen = (unsigned)(place - candidates);
        return ENGINE_CHOSEN;
    }
    search_t search = {
        .candidates = candidates,
        .count = count,
        .request = request,
        .use_avoided = sign_doubtful(candidates, count),
        .near_only = true,
        .half_full_only = place != NULL,
    };
    if (search_engine(&search, chosen))
        return ENGINE_CHOSEN;
    search.near_only = false;
    if (search_engine(&search, chosen))
        return ENGINE_CHOSEN;
    if (place != NULL && has_room(place, request)) {
        *chosen = (unsigned)(place - candidates);
        return ENGINE_CHOSEN;
    }
    return no_room(request);
}
