#include "core/routing/engine_choice.h"

#include <stddef.h>
#include <xxhash.h>

enum {
    PERCENT = 100,
    OVERLOAD_PERCENT = 150,  /**< Load in percent of the slots at which an engine is overloaded. */
    TARGET_MAX_PERCENT = 50, /**< Maximum load of the engine that a program moves to. */
    MEAN_EXCESS_PERCENT = 108, /**< Bound on an engine's load, in percent of the mean load. */
    MEAN_EXCESS_CALLS = 1,     /**< Added to that bound, since low loads vary by a call or so. */
    AVOIDED_DIVISOR = 3,       /**< If more than 1/3 are avoided, `avoided` is ignored. */
};

/** Candidates and criteria of a search. */
typedef struct {
    const engine_candidate_t *candidates;
    unsigned count;
    uint64_t part;
    bool use_avoided;
    bool local_only;
    unsigned max_load_percent; /**< In percent of the slots; 0: no limit. */
} search_t;

/** True if so many engines are avoided that failure detection is probably wrong. */
static bool too_many_avoided(const engine_candidate_t *candidates, unsigned count) {
    unsigned avoided = 0;
    for (unsigned i = 0; i < count; i++)
        avoided += candidates[i].avoided;
    return avoided * AVOIDED_DIVISOR > count;
}

static bool eligible(const search_t *search, const engine_candidate_t *engine) {
    if (engine->avoided && !search->use_avoided)
        return false;
    if (search->local_only && !engine->local)
        return false;
    return search->max_load_percent == 0 ||
           engine->load * PERCENT <= engine->slots * search->max_load_percent;
}

/** Maximum load of an engine that can be chosen, slightly above the mean. */
static unsigned load_bound(const search_t *search) {
    unsigned sum = 0;
    unsigned engines = 0;
    for (unsigned i = 0; i < search->count; i++) {
        if (!eligible(search, &search->candidates[i]))
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

/** Finds the highest-ranked eligible engine whose load is within the bound. */
static bool find_best_engine(const search_t *search, unsigned *chosen) {
    unsigned bound = load_bound(search);
    uint64_t best_rank = 0;
    bool found = false;
    for (unsigned i = 0; i < search->count; i++) {
        const engine_candidate_t *engine = &search->candidates[i];
        if (!eligible(search, engine) || engine->load > bound)
            continue;
        uint64_t engine_rank = rank(search->part, engine);
        if (found && engine_rank <= best_rank)
            continue;
        found = true;
        best_rank = engine_rank;
        *chosen = i;
    }
    return found;
}

/** Searches the local zone, then all zones. */
static bool search_zones(search_t *search, unsigned *chosen) {
    search->local_only = true;
    if (find_best_engine(search, chosen))
        return true;
    search->local_only = false;
    return find_best_engine(search, chosen);
}

static const engine_candidate_t *find_current(const engine_candidate_t *candidates, unsigned count,
                                              const engine_request_t *request) {
    for (unsigned i = 0; i < count; i++)
        if (candidates[i].id == request->place && !candidates[i].down)
            return &candidates[i];
    return NULL;
}

bool engine_overloaded(const engine_candidate_t *engine) {
    return engine->load * PERCENT >= engine->slots * OVERLOAD_PERCENT;
}

bool engine_choose(const engine_candidate_t *candidates, unsigned count,
                   const engine_request_t *request, unsigned *chosen) {
    search_t search = {
        .candidates = candidates,
        .count = count,
        .part = request->part,
        .use_avoided = too_many_avoided(candidates, count),
    };
    const engine_candidate_t *current = find_current(candidates, count, request);
    if (current == NULL)
        return search_zones(&search, chosen);
    search.max_load_percent = TARGET_MAX_PERCENT;
    if (!engine_overloaded(current) || !search_zones(&search, chosen))
        *chosen = (unsigned)(current - candidates);
    return true;
}
