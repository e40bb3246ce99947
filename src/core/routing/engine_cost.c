#include "core/routing/engine_cost.h"

#include <glib.h>

enum {
    PERCENT = 100,
    SPEED_LEAST_PERCENT = 5,
    OTHERS_PERCENT = 25,  /**< Of a call's delay that counts, while a prompt is read again. */
    NEW_PERCENT = 50,     /**< Of the queue that new programs may use. */
    SHARING_PERCENT = 10, /**< So much longer a turn takes where all slots are taken. */
};

static double speed_of(const engine_state_t *engine) {
    return (double)MAX(engine->speed_percent, SPEED_LEAST_PERCENT) / PERCENT;
}

/** Time in which one call after another ends, while all slots are taken. */
static double departure_ms(const engine_state_t *engine, const engine_turn_t *turn) {
    return turn->turn_ms / MAX(engine->slots, 1) / speed_of(engine);
}

static unsigned running(const engine_state_t *engine) {
    return MIN(engine->load, engine->slots);
}

/** Reading what was read elsewhere before, with what the calls that run there lose by it. */
static double again_ms(const engine_state_t *engine, const engine_turn_t *turn,
                       engine_holds_t holds) {
    uint32_t tokens = turn->prompt_tokens - MIN(turn->new_tokens, turn->prompt_tokens);
    if (holds == ENGINE_HOLDS_PROMPT)
        return 0;
    if (holds == ENGINE_HOLDS_PART)
        tokens -= MIN(turn->part_tokens, tokens);
    double others = 1 + (double)running(engine) * OTHERS_PERCENT / PERCENT;
    return tokens / turn->tokens_per_ms / speed_of(engine) * others;
}

double engine_cost_ms(const engine_state_t *engine, const engine_turn_t *turn,
                      engine_holds_t holds) {
    double beyond = engine->load < engine->slots ? 0 : engine->load - engine->slots + 1;
    double taken = (double)running(engine) / MAX(engine->slots, 1);
    double work = turn->turn_ms / speed_of(engine) * (1 + taken * SHARING_PERCENT / PERCENT);
    return beyond * departure_ms(engine, turn) + work + again_ms(engine, turn, holds);
}

bool engine_full_for_new(const engine_state_t *engine) {
    unsigned queue = (engine->queue * NEW_PERCENT + PERCENT - 1) / PERCENT;
    return engine_full(engine) || (engine->queue > 0 && engine->load >= engine->slots + queue);
}

bool engine_full(const engine_state_t *engine) {
    bool at_bound = engine->queue > 0 && engine->load >= engine->slots + engine->queue;
    return engine->turns_away || at_bound;
}

double engine_free_ms(const engine_state_t *engine, const engine_turn_t *turn) {
    unsigned room = engine_full(engine) ? engine->slots + engine->queue : engine->slots;
    unsigned before = engine->load < room ? 0 : engine->load - room + 1;
    if (engine_full(engine))
        before = MAX(before, 1);
    return before * departure_ms(engine, turn);
}
