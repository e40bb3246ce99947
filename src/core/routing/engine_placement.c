#include "core/routing/engine_placement.h"

#include <glib.h>
#include <math.h>
#include <xxhash.h>

enum {
    PERCENT = 100,
    MIN_GAIN_PERCENT = 100, /**< Minimum gain of a move, in percent of a turn's duration. */
    PART_DIVISOR = 4,       /**< A part is assigned to 1/4 of the engines. */
    AVOIDED_DIVISOR = 3,    /**< If more than 1/3 are avoided, `avoided` is ignored. */
    RANDOM_FIELD_BITS = 16,
    NO_ENGINE = -1,
};

typedef struct {
    const engine_option_t *options;
    unsigned count;
    const placement_request_t *request;
    bool use_avoided;
    bool use_full;
    bool use_current; /**< Include the program's current engine, although it is probably down. */
} search_t;

/** True if so many engines are avoided that failure detection is probably wrong. */
static bool too_many_avoided(const engine_option_t *options, unsigned count) {
    unsigned avoided = 0;
    for (unsigned i = 0; i < count; i++)
        avoided += options[i].avoided;
    return avoided * AVOIDED_DIVISOR > count;
}

/** True if this is the engine that has the program's prompt cached. */
static bool is_current(const search_t *search, const engine_option_t *option) {
    return search->request->place != 0 && option->id == search->request->place;
}

/** True if the request's prompt part is assigned to this engine. */
static bool has_assigned_part(const search_t *search, const engine_option_t *option) {
    return XXH64(&option->id, sizeof option->id, search->request->part) % PART_DIVISOR == 0;
}

static double cost_of(const search_t *search, const engine_option_t *option) {
    prompt_cache_t cache = PROMPT_CACHE_MISS;
    if (is_current(search, option))
        cache = PROMPT_CACHE_HIT;
    else if (has_assigned_part(search, option))
        cache = PROMPT_CACHE_PART;
    double remote_ms = option->local ? 0 : ENGINE_REMOTE_COST_MS;
    return engine_cost_ms(&option->state, &search->request->turn, cache) + remote_ms;
}

static bool usable(const search_t *search, const engine_option_t *option) {
    return !option->avoided || search->use_avoided;
}

/** True if the engine can take a turn that does not stay at the program's current engine. */
static bool accepts_turn(const search_t *search, const engine_option_t *option) {
    if (!usable(search, option))
        return false;
    if (is_current(search, option) && !search->use_current)
        return false;
    if (!search->request->begun)
        return !engine_full_for_new(&option->state);
    return search->use_full || !engine_full(&option->state);
}

static const engine_option_t *find_current(const search_t *search) {
    for (unsigned i = 0; i < search->count; i++)
        if (is_current(search, &search->options[i]) && !search->options[i].down)
            return &search->options[i];
    return NULL;
}

static double min_free_ms(const search_t *search) {
    double first = INFINITY;
    for (unsigned i = 0; i < search->count; i++)
        if (usable(search, &search->options[i]))
            first = fmin(first, engine_free_ms(&search->options[i].state, &search->request->turn));
    return first;
}

/** Lowest cost of an engine in the local zone that accepts the turn; INFINITY if there is none. */
static double min_local_cost(const search_t *search) {
    double lowest = INFINITY;
    for (unsigned i = 0; i < search->count; i++)
        if (search->options[i].local && accepts_turn(search, &search->options[i]))
            lowest = fmin(lowest, cost_of(search, &search->options[i]));
    return lowest;
}

static bool eligible(const search_t *search, const engine_option_t *option, bool local_zone) {
    return option->local == local_zone && accepts_turn(search, option);
}

/** Indices of the engines at two positions among the eligible ones. */
static void find_at_positions(const search_t *search, bool local_zone, const unsigned positions[2],
                              int indices[2]) {
    unsigned position = 0;
    for (unsigned i = 0; i < search->count; i++) {
        if (!eligible(search, &search->options[i], local_zone))
            continue;
        for (unsigned which = 0; which < 2; which++)
            if (positions[which] == position)
                indices[which] = (int)i;
        position++;
    }
}

/** The cheaper of two eligible engines sampled at random. */
static int best_of_two(const search_t *search, bool local_zone) {
    unsigned count = 0;
    for (unsigned i = 0; i < search->count; i++)
        count += eligible(search, &search->options[i], local_zone);
    if (count == 0)
        return NO_ENGINE;
    uint64_t random = search->request->random_bits;
    const unsigned positions[2] = {(unsigned)(random >> RANDOM_FIELD_BITS) % count,
                                   (unsigned)(random >> 2 * RANDOM_FIELD_BITS) % count};
    int indices[2] = {NO_ENGINE, NO_ENGINE};
    find_at_positions(search, local_zone, positions, indices);
    double first_ms = cost_of(search, &search->options[indices[0]]);
    return first_ms <= cost_of(search, &search->options[indices[1]]) ? indices[0] : indices[1];
}

static bool has_slot(const engine_option_t *option) {
    return option->state.load < option->state.slots;
}

/**
 * Chooses an engine other than the program's current one: a remote one only if the turn would be
 * queued in the local zone, and all local engines cost more.
 */
static int choose_other(const search_t *search) {
    int local_index = best_of_two(search, true);
    if (local_index != NO_ENGINE && has_slot(&search->options[local_index]))
        return local_index;
    int remote_index = best_of_two(search, false);
    if (remote_index == NO_ENGINE || local_index == NO_ENGINE)
        return local_index == NO_ENGINE ? remote_index : local_index;
    return cost_of(search, &search->options[remote_index]) < min_local_cost(search) ? remote_index
                                                                                    : local_index;
}

/** True at random, with the probability that equalizes the costs of both engines. */
static bool should_leave(const search_t *search, double stay_cost_ms, double other_ms) {
    double gain = stay_cost_ms - other_ms;
    double share = gain / (2 * stay_cost_ms);
    double sample = (double)(search->request->random_bits & ((1U << RANDOM_FIELD_BITS) - 1)) /
                    (1U << RANDOM_FIELD_BITS);
    return gain > search->request->turn.turn_ms * MIN_GAIN_PERCENT / PERCENT && sample < share;
}

static bool should_stay(const search_t *search, const engine_option_t *current, int other) {
    if (other == NO_ENGINE)
        return true;
    if (current->state.refusing)
        return false;
    return !should_leave(search, cost_of(search, current),
                         cost_of(search, &search->options[other]));
}

static int choose(search_t *search, const engine_option_t *current) {
    int other = choose_other(search);
    if (current != NULL)
        return should_stay(search, current, other) ? (int)(current - search->options) : other;
    if (other != NO_ENGINE || !search->request->begun)
        return other;
    search->use_full = true;
    other = choose_other(search);
    if (other != NO_ENGINE)
        return other;
    search->use_current = true;
    return choose_other(search);
}

static double idle_remote_cost(const search_t *search) {
    engine_state_t idle = {.slots = 1, .speed_percent = PERCENT};
    return engine_cost_ms(&idle, &search->request->turn, PROMPT_CACHE_MISS) + ENGINE_REMOTE_COST_MS;
}

placement_t engine_place(const engine_option_t *options, unsigned count,
                         const placement_request_t *request) {
    search_t search = {.options = options, .count = count, .request = request};
    search.use_avoided = too_many_avoided(options, count);
    const engine_option_t *current = find_current(&search);
    placement_t placement = {0};
    if (current != NULL)
        placement.stay_cost_ms = cost_of(&search, current);
    int chosen = choose(&search, current);
    if (chosen == NO_ENGINE || request->wants_free_ms)
        placement.free_ms = min_free_ms(&search);
    if (chosen == NO_ENGINE) {
        placement.outcome = isinf(placement.free_ms) ? PLACEMENT_NONE : PLACEMENT_FULL;
        return placement;
    }
    placement.chosen = (unsigned)chosen;
    placement.cost_ms = cost_of(&search, &options[chosen]);
    placement.try_remote =
        search.use_avoided || search.use_full ||
        (!has_slot(&options[chosen]) && placement.cost_ms > idle_remote_cost(&search));
    return placement;
}
