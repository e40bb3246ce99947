#include "core/routing/engine_placement.h"

#include <glib.h>
#include <math.h>
#include <xxhash.h>

enum {
    PERCENT = 100,
    MOVE_PERCENT = 100, /**< Of a turn's time: a move gains more than that. */
    PART_SHARE = 4,     /**< A part belongs to one engine in so many. */
    AVOIDED_SHARE = 3,  /**< The sign is not trusted if more than one in so many show it. */
    DRAW_BITS = 16,
    NOWHERE = -1,
};

/** A search among options. */
typedef struct {
    const engine_option_t *options;
    unsigned count;
    const placement_request_t *request;
    bool use_avoided;
    bool use_full;
    bool use_place; /**< Although it seems to be down. */
} search_t;

/** True if so many engines are avoided that the sign says nothing. */
static bool sign_doubtful(const engine_option_t *options, unsigned count) {
    unsigned avoided = 0;
    for (unsigned i = 0; i < count; i++)
        avoided += options[i].avoided;
    return avoided * AVOIDED_SHARE > count;
}

static bool is_place(const search_t *search, const engine_option_t *option) {
    return search->request->place != 0 && option->id == search->request->place;
}

/** True if the part belongs to this engine: it is read there rather than elsewhere. */
static bool owns_part(const search_t *search, const engine_option_t *option) {
    return XXH64(&option->id, sizeof option->id, search->request->part) % PART_SHARE == 0;
}

static double cost_of(const search_t *search, const engine_option_t *option) {
    engine_holds_t holds = ENGINE_HOLDS_NOTHING;
    if (is_place(search, option))
        holds = ENGINE_HOLDS_PROMPT;
    else if (owns_part(search, option))
        holds = ENGINE_HOLDS_PART;
    double far_ms = option->near ? 0 : ENGINE_FAR_COST_MS;
    return engine_cost_ms(&option->state, &search->request->turn, holds) + far_ms;
}

static bool usable(const search_t *search, const engine_option_t *option) {
    return !option->avoided || search->use_avoided;
}

/** True if the turn may go there from elsewhere. */
static bool has_room(const search_t *search, const engine_option_t *option) {
    if (!usable(search, option))
        return false;
    if (is_place(search, option) && !search->use_place)
        return false;
    if (!search->request->begun)
        return !engine_full_for_new(&option->state);
    return search->use_full || !engine_full(&option->state);
}

static const engine_option_t *find_place(const search_t *search) {
    for (unsigned i = 0; i < search->count; i++)
        if (is_place(search, &search->options[i]) && !search->options[i].down)
            return &search->options[i];
    return NULL;
}

static double first_free(const search_t *search) {
    double first = INFINITY;
    for (unsigned i = 0; i < search->count; i++)
        if (usable(search, &search->options[i]))
            first = fmin(first, engine_free_ms(&search->options[i].state, &search->request->turn));
    return first;
}

/** The least cost of an engine with room in this zone; INFINITY: there is none. */
static double least_near(const search_t *search) {
    double least = INFINITY;
    for (unsigned i = 0; i < search->count; i++)
        if (search->options[i].near && has_room(search, &search->options[i]))
            least = fmin(least, cost_of(search, &search->options[i]));
    return least;
}

static bool drawn_from(const search_t *search, const engine_option_t *option, bool near) {
    return option->near == near && has_room(search, option);
}

/** Two engines that are drawn from: the ones at these positions among them. */
static void find_two(const search_t *search, bool near, const unsigned positions[2],
                     int indices[2]) {
    unsigned position = 0;
    for (unsigned i = 0; i < search->count; i++) {
        if (!drawn_from(search, &search->options[i], near))
            continue;
        for (unsigned which = 0; which < 2; which++)
            if (positions[which] == position)
                indices[which] = (int)i;
        position++;
    }
}

/** Draws two engines with room, and takes the better one. */
static int draw_two(const search_t *search, bool near) {
    unsigned count = 0;
    for (unsigned i = 0; i < search->count; i++)
        count += drawn_from(search, &search->options[i], near);
    if (count == 0)
        return NOWHERE;
    uint64_t draw = search->request->draw;
    const unsigned positions[2] = {(unsigned)(draw >> DRAW_BITS) % count,
                                   (unsigned)(draw >> 2 * DRAW_BITS) % count};
    int indices[2] = {NOWHERE, NOWHERE};
    find_two(search, near, positions, indices);
    double first_ms = cost_of(search, &search->options[indices[0]]);
    return first_ms <= cost_of(search, &search->options[indices[1]]) ? indices[0] : indices[1];
}

static bool has_slot(const engine_option_t *option) {
    return option->state.load < option->state.slots;
}

/**
 * An engine other than the program's: of another zone only if the turn would wait in this one, and
 * all engines of this one are worse.
 */
static int draw_other(const search_t *search) {
    int near = draw_two(search, true);
    if (near != NOWHERE && has_slot(&search->options[near]))
        return near;
    int far = draw_two(search, false);
    if (far == NOWHERE || near == NOWHERE)
        return near == NOWHERE ? far : near;
    return cost_of(search, &search->options[far]) < least_near(search) ? far : near;
}

/** True for as large a share of the turns as brings both engines to one cost. */
static bool leaves(const search_t *search, double place_ms, double other_ms) {
    double gain = place_ms - other_ms;
    double share = gain / (2 * place_ms);
    double drawn = (double)(search->request->draw & ((1U << DRAW_BITS) - 1)) / (1U << DRAW_BITS);
    return gain > search->request->turn.turn_ms * MOVE_PERCENT / PERCENT && drawn < share;
}

static bool stays(const search_t *search, const engine_option_t *place, int other) {
    if (other == NOWHERE)
        return true;
    if (place->state.turns_away)
        return false;
    return !leaves(search, cost_of(search, place), cost_of(search, &search->options[other]));
}

static int choose(search_t *search, const engine_option_t *place) {
    int other = draw_other(search);
    if (place != NULL)
        return stays(search, place, other) ? (int)(place - search->options) : other;
    if (other != NOWHERE || !search->request->begun)
        return other;
    search->use_full = true;
    other = draw_other(search);
    if (other != NOWHERE)
        return other;
    search->use_place = true;
    return draw_other(search);
}

static double idle_far_cost(const search_t *search) {
    engine_state_t idle = {.slots = 1, .speed_percent = PERCENT};
    return engine_cost_ms(&idle, &search->request->turn, ENGINE_HOLDS_NOTHING) + ENGINE_FAR_COST_MS;
}

placement_t engine_place(const engine_option_t *options, unsigned count,
                         const placement_request_t *request) {
    search_t search = {.options = options, .count = count, .request = request};
    search.use_avoided = sign_doubtful(options, count);
    const engine_option_t *place = find_place(&search);
    placement_t placement = {0};
    if (place != NULL)
        placement.place_ms = cost_of(&search, place);
    int chosen = choose(&search, place);
    if (chosen == NOWHERE || request->wants_free_ms)
        placement.free_ms = first_free(&search);
    if (chosen == NOWHERE) {
        placement.outcome = isinf(placement.free_ms) ? PLACEMENT_NONE : PLACEMENT_FULL;
        return placement;
    }
    placement.chosen = (unsigned)chosen;
    placement.cost_ms = cost_of(&search, &options[chosen]);
    placement.look_far =
        search.use_avoided || search.use_full ||
        (!has_slot(&options[chosen]) && placement.cost_ms > idle_far_cost(&search));
    return placement;
}
