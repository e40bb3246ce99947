#include "core/routing/service_choice.h"

#include <stddef.h>
#include <xxhash.h>

enum {
    /* Expected delay, in units of 0.1 ms. */
    AVOIDED_COST = 100000,    /**< Only if there is no other. */
    DOUBTED_COST = 500,       /**< The same, if so many are that the sign is doubtful. */
    NEW_CONNECTION_COST = 60, /**< It takes time, and is paid for. */
    SHARE_COST = 50,
    QUEUE_COST = 400,
    AVOIDED_SHARE = 3, /**< The sign is doubtful if more than one in so many are avoided. */
};

unsigned service_cost(const service_candidate_t *candidate) {
    unsigned load = candidate->load;
    unsigned beyond = load >= candidate->slots ? load - candidate->slots + 1 : 0;
    unsigned cost = load * SHARE_COST + beyond * QUEUE_COST;
    if (!candidate->connected)
        cost += NEW_CONNECTION_COST;
    if (!candidate->near)
        cost += SERVICE_FAR_COST;
    return cost;
}

static unsigned avoided_cost(const service_candidate_t *candidates, unsigned count) {
    unsigned avoided = 0;
    for (unsigned i = 0; i < count; i++)
        avoided += candidates[i].avoided;
    return avoided * AVOIDED_SHARE > count ? DOUBTED_COST : AVOIDED_COST;
}

bool service_choose(const service_candidate_t *candidates, unsigned count, uint64_t seed,
                    unsigned *chosen) {
    unsigned cost_of_avoided = avoided_cost(candidates, count);
    unsigned best_cost = 0;
    uint64_t best_rank = 0;
    bool found = false;
    for (unsigned i = 0; i < count; i++) {
        const service_candidate_t *candidate = &candidates[i];
        unsigned cost = service_cost(candidate) + (candidate->avoided ? cost_of_avoided : 0);
        if (found && cost > best_cost)
            continue;
        uint64_t rank = XXH64(&candidate->id, sizeof candidate->id, seed);
        if (found && cost == best_cost && rank <= best_rank)
            continue;
        found = true;
        best_cost = cost;
        best_rank = rank;
        *chosen = i;
    }
    return found;
}
