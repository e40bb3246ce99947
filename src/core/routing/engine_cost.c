#include "core/routing/engine_cost.h"

#include <glib.h>

enum {
    PERCENT = 100,
    MIN_SPEED_PERCENT = 5,
    INTERFERENCE_PERCENT = 25, /**< Weight of the delay that a prompt causes to a running call. */
    NEW_PROGRAM_QUEUE_PERCENT = 50, /**< Part of the queue that new programs may use. */
    SHARING_PERCENT = 10,           /**< Increase of a turn's duration with all slots occupied. */
};

static double relative_speed(const engine_state_t *engine) {
    return (double)MAX(engine->speed_percent, MIN_SPEED_PERCENT) / PERCENT;
}

/** Mean time between completions with all slots occupied. */
static double departure_ms(const engine_state_t *engine, const turn_profile_t *turn) {
    return turn->turn_ms / MAX(engine->slots, 1) / relative_speed(engine);
}

static unsigned running_calls(const engine_state_t *engine) {
    return MIN(engine->load, engine->slots);
}

/**
 * Time to process prompt tokens that another engine has cached and this one lacks, plus the delay
 * that this causes to each running call, weighted by INTERFERENCE_PERCENT.
 */
static double reread_ms(const engine_state_t *engine, const turn_profile_t *turn,
                        prompt_cache_t cache) {
    uint32_t tokens = turn->prompt_tokens - MIN(turn->new_tokens, turn->prompt_tokens);
    if (cache == PROMPT_CACHE_HIT)
        return 0;
    if (cache == PROMPT_CACHE_PART)
        tokens -= MIN(turn->part_tokens, tokens);
    double interference = 1 + (double)running_calls(engine) * INTERFERENCE_PERCENT / PERCENT;
    return tokens / turn->tokens_per_ms / relative_speed(engine) * interference;
}

double engine_cost_ms(const engine_state_t *engine, const turn_profile_t *turn,
                      prompt_cache_t cache) {
    double waiting = engine->load < engine->slots ? 0 : engine->load - engine->slots + 1;
    double occupancy = (double)running_calls(engine) / MAX(engine->slots, 1);
    double work =
        turn->turn_ms / relative_speed(engine) * (1 + occupancy * SHARING_PERCENT / PERCENT);
    return waiting * departure_ms(engine, turn) + work + reread_ms(engine, turn, cache);
}

bool engine_full_for_new(const engine_state_t *engine) {
    unsigned queue = (engine->queue * NEW_PROGRAM_QUEUE_PERCENT + PERCENT - 1) / PERCENT;
    return engine_full(engine) || (engine->queue > 0 && engine->load >= engine->slots + queue);
}

bool engine_full(const engine_state_t *engine) {
    bool queue_full = engine->queue > 0 && engine->load >= engine->slots + engine->queue;
    return engine->refusing || queue_full;
}

double engine_free_ms(const engine_state_t *engine, const turn_profile_t *turn) {
    unsigned limit = engine_full(engine) ? engine->slots + engine->queue : engine->slots;
    unsigned ahead = engine->load < limit ? 0 : engine->load - limit + 1;
    if (engine_full(engine))
        ahead = MAX(ahead, 1);
    return ahead * departure_ms(engine, turn);
}
