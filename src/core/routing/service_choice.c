#include "core/routing/service_choice.h"

#include <stddef.h>
#include <xxhash.h>

enum {
    /* Costs are expected delays in units of 0.1 ms. */
    AVOIDED_COST = 100000, /**< Exceeds all other costs: an avoided back end is the last choice. */
    UNRELIABLE_AVOIDED_COST = 500, /**< Replaces AVOIDED_COST if too many are avoided. */
    NEW_CONNECTION_COST = 60,      /**< Setup time, and the cost of a connection. */
    LOAD_COST = 50,                /**< Of each call in progress. */
    QUEUE_COST = 400,              /**< Added for each call beyond the slots. */
    TENTHS_PER_MS = 10,
    TYPICAL_PERCENT = 100,
    AVOIDED_DIVISOR = 3, /**< More than 1/3 avoided is too many: detection is unreliable. */
};

/** Converts @p cost at typical speed to the candidate's speed. */
static int scale_to_speed(const service_candidate_t *candidate, unsigned cost) {
    unsigned percent = candidate->speed_percent == 0 ? TYPICAL_PERCENT : candidate->speed_percent;
    return (int)(cost * TYPICAL_PERCENT / percent);
}

/**
 * Cost of another zone. Where speeds are measured, it exceeds that of a local back end with all
 * slots but one occupied, so that the local zone is filled first.
 */
static int remote_cost(const service_candidate_t *candidate) {
    if (candidate->speed_percent == 0)
        return SERVICE_REMOTE_COST;
    return (int)(candidate->slots * LOAD_COST + NEW_CONNECTION_COST);
}

static unsigned queued_calls(const service_candidate_t *candidate) {
    return candidate->load >= candidate->slots ? candidate->load - candidate->slots + 1 : 0;
}

int service_cost(const service_candidate_t *candidate) {
    unsigned queued = queued_calls(candidate);
    unsigned answer = candidate->answer_ms * TENTHS_PER_MS;
    int cost = scale_to_speed(candidate, candidate->load * LOAD_COST + queued * QUEUE_COST);
    cost += scale_to_speed(candidate, answer) - (int)answer;
    if (!candidate->connected)
        cost += NEW_CONNECTION_COST;
    if (!candidate->local)
        cost += remote_cost(candidate);
    return cost;
}

bool service_stays_local(const service_candidate_t *candidate) {
    if (candidate->speed_percent == 0)
        return service_cost(candidate) <= SERVICE_REMOTE_COST;
    return queued_calls(candidate) == 0;
}

static int avoided_cost(const service_candidate_t *candidates, unsigned count) {
    unsigned avoided = 0;
    for (unsigned i = 0; i < count; i++)
        avoided += candidates[i].avoided;
    return avoided * AVOIDED_DIVISOR > count ? UNRELIABLE_AVOIDED_COST : AVOIDED_COST;
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
