#include "core/routing/engine_choice.h"

#include <stddef.h>
#include <xxhash.h>

enum {
    PERCENT = 100,
    LEAVE_PERCENT = 150,       /**< A program's engine may be left above so much of its slots, */
    MOVE_PERCENT = 50,         /**< for one with at most so much. */
    MEAN_EXCESS_PERCENT = 108, /**< A part's next engine is used above so much of the mean load. */
    MEAN_EXCESS_CALLS = 1,     /**< Added to it: loads of a few calls differ by chance. */
    AVOIDED_SHARE = 3,         /**< The sign is not trusted if more than one in so many show it. */
};

/** Which engines a search may use. */
typedef struct {
    const engine_candidate_t *candidates;
    unsigned count;
    uint64_t part;
    bool use_avoided;
    bool near_only;
    unsigned load_most_percent; /**< Of an engine's slots; 0: any. */
} search_t;

/** True if so many engines are avoided that the sign says nothing. */
static bool sign_doubtful(const engine_candidate_t *candidates, unsigned count) {
    unsigned avoided = 0;
    for (unsigned i = 0; i < count; i++)
        avoided += candidates[i].avoided;
    return avoided * AVOIDED_SHARE > count;
}

static bool searched(const search_t *search, const engine_candidate_t *engine) {
    if (engine->avoided && !search->use_avoided)
        return false;
    if (search->near_only && !engine->near)
        return false;
    return search->load_most_percent == 0 ||
           engine->load * PERCENT <= engine->slots * search->load_most_percent;
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

/** The first in the part's ranking that is not above the bound; the mean never is. */
static bool search_engine(const search_t *search, unsigned *chosen) {
    unsigned bound = load_bound(search);
    uint64_t best_rank = 0;
    bool found = false;
    for (unsigned i = 0; i < search->count; i++) {
        const engine_candidate_t *engine = &search->candidates[i];
        if (!searched(search, engine) || engine->load > bound)
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

/** Searches this zone, then all. */
static bool search_zones(search_t *search, unsigned *chosen) {
    search->near_only = true;
    if (search_engine(search, chosen))
        return true;
    search->near_only = false;
    return search_engine(search, chosen);
}

static const engine_candidate_t *find_place(const engine_candidate_t *candidates, unsigned count,
                                            const engine_request_t *request) {
    for (unsigned i = 0; i < count; i++)
        if (candidates[i].id == request->place && !candidates[i].down)
            return &candidates[i];
    return NULL;
}

bool engine_crowded(const engine_candidate_t *engine) {
    return engine->load * PERCENT >= engine->slots * LEAVE_PERCENT;
}

bool engine_choose(const engine_candidate_t *candidates, unsigned count,
                   const engine_request_t *request, unsigned *chosen) {
    search_t search = {
        .candidates = candidates,
        .count = count,
        .part = request->part,
        .use_avoided = sign_doubtful(candidates, count),
    };
    const engine_candidate_t *place = find_place(candidates, count, request);
    if (place == NULL)
        return search_zones(&search, chosen);
    search.load_most_percent = MOVE_PERCENT;
    if (!engine_crowded(place) || !search_zones(&search, chosen))
        *chosen = (unsigned)(place - candidates);
    return true;
}
