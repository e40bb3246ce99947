/**
 * @file engine_cost.h
 * Cost of running a turn at an engine: the expected time to its completion, in ms.
 *
 * The estimate uses the calls of all gateways at the engine, its slots, its speed and how much of
 * the prompt it has cached. Calls beyond the slots wait in a queue. An engine without the prompt
 * in its cache processes all of it; the delay of the calls that run there meanwhile is added to the
 * cost.
 *
 * Decision code: no I/O, clock or thread. Times are in ms.
 */
#ifndef RUDDERWAY_CORE_ROUTING_ENGINE_COST_H
#define RUDDERWAY_CORE_ROUTING_ENGINE_COST_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    unsigned load; /**< Known calls in progress from all gateways. */
    unsigned slots;
    unsigned queue;         /**< Maximum number of queued calls; 0: unknown. */
    unsigned speed_percent; /**< Of the service's typical speed; see backend_speed.h. */
    bool refusing;          /**< It refused a call, and its load has not fallen since. */
} engine_state_t;

/** A turn's prompt, and typical figures of its service. */
typedef struct {
    uint32_t prompt_tokens; /**< Length of the whole prompt. */
    uint32_t new_tokens;    /**< Added since the program's last turn. */
    uint32_t part_tokens;   /**< Of the first part of the prompt, which many programs share. */
    double turn_ms;         /**< Duration of a turn at typical speed with a free slot. */
    double tokens_per_ms;   /**< Prompt processing rate at typical speed. */
} turn_profile_t;

/** How much of a turn's prompt an engine has cached. */
typedef enum {
    PROMPT_CACHE_MISS,
    PROMPT_CACHE_PART, /**< The first part. */
    PROMPT_CACHE_HIT,  /**< All but the new tokens. */
} prompt_cache_t;

/** Expected time to completion, plus the delay that processing the prompt causes to other calls. */
double engine_cost_ms(const engine_state_t *engine, const turn_profile_t *turn,
                      prompt_cache_t cache);
/** True if the engine is expected to refuse another call. */
bool engine_full(const engine_state_t *engine);
/**
 * True if the engine gets no new programs. Part of the queue is reserved for programs in progress,
 * whose work would be wasted if they were refused.
 */
bool engine_full_for_new(const engine_state_t *engine);
/** Expected time until a place in the queue is free if the engine is full, else until a slot is. */
double engine_free_ms(const engine_state_t *engine, const turn_profile_t *turn);

#endif
