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
    TENTHS_PER_MS = 10,
    TYPICAL_PERCENT = 100,
    AVOIDED_SHARE = 3, /**< The sign is doubtful if more than one in so many are avoided. */
};

/** What @p cost, at typical speed, is at the candidate. */
static int at_speed(const service_candidate_t *candidate, unsigned cost) {
    unsigned percent = candidate->speed_percent == 0 ? TYPICAL_PERCENT : candidate->speed_percent;
    return (int)(cost * TYPICAL_PERCENT / percent);
}

/** Where speeds are measured, as much as all calls that a back end of this zone runs at once. */
static int far_cost(const service_candidate_t *candidate) {
    if (candidate->speed_percent == 0)
        return SERVICE_FAR_COST;
    return (int)(candidate->slots * SHARE_COST + NEW_CONNECTION_COST);
}

static unsigned calls_beyond_slots(const service_candidate_t *candidate) {
    return candidate->load >= candidate->slots ? candidate->load - candidate->slots + 1 : 0;
}

int service_cost(const service_candidate_t *candidate) {
    unsigned beyond = calls_beyond_slots(candidate);
    unsigned answer = candidate->answer_ms * TENTHS_PER_MS;
    int cost = at_speed(candidate, candidate->load * SHARE_COST + beyond * QUEUE_COST);
    cost += at_speed(candidate, answer) - (int)answer;
    if (!candidate->connected)
        cost += NEW_CONNECTION_COST;
    if (!candidate->near)
        cost += far_cost(candidate);
    return cost;
}

bool service_stays_near(const service_candidate_t *candidate) {
    if (candidate->speed_percent == 0)
        return service_cost(candidate) <= SERVICE_FAR_COST;
    return calls_beyond_slots(candidate) == 0;
}

static int avoided_cost(const service_candidate_t *candidates, unsigned count) {
    unsigned avoided = 0;
    for (unsigned i = 0; i < count; i++)
        avoided += candidates[i].avoided;
    return avoided * AVOIDED_SHARE > count ? DOUBTED_COST : AVOIDED_COST;
}

bool service_choose(const service_candidate_t *candidates, unsigned count, uint64_t seed,
                    unsigned *chosen) {
    int cost_of_avoided = avoided_cost(candidates, count);
    int best_cost = 0;
    uint64_t best_rank = 0;
    bool found = false;
    for (unsigned i = 0; i < count; i++) {
        const service_candidate_t *candidate = &candidates[i];
        int cost = service_cost(candidate) + (candidate->avoided ? cost_of_avoided : 0);
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
