/**
 * @file engine_cost.h
 * What a turn costs at an engine: the expected time until it ends there, in ms.
 *
 * Known are the calls that all gateways have there, its slots, its speed and how much of the prompt
 * it holds. Beyond the slots a turn waits for those before it. An engine that holds the program's
 * prompt reads only what is new; any other one reads all of it, and what runs there waits
 * meanwhile, which is counted as a cost of moving.
 *
 * Decision code: no I/O, clock or thread. Times are in ms.
 */
#ifndef RUDDERWAY_CORE_ROUTING_ENGINE_COST_H
#define RUDDERWAY_CORE_ROUTING_ENGINE_COST_H

#include <stdbool.h>
#include <stdint.h>

/** What is known of one engine. */
typedef struct {
    unsigned load; /**< Calls under way there, of all gateways as far as known. */
    unsigned slots;
    unsigned queue;         /**< Calls that it lets wait besides; 0: unknown. */
    unsigned speed_percent; /**< Of the service's typical speed; see backend_speed.h. */
    bool turns_away;        /**< It turned a call away, and its load has not fallen since. */
} engine_state_t;

/** What is known of a turn, and of turns of its service at typical speed. */
typedef struct {
    uint32_t prompt_tokens; /**< In all. */
    uint32_t new_tokens;    /**< Of these, what the engine that holds the prompt has not read. */
    uint32_t part_tokens;   /**< Of the prompt's first part, which many programs share. */
    double turn_ms;         /**< A turn at an engine of typical speed that has a slot free. */
    double tokens_per_ms;   /**< Of a prompt, read at typical speed. */
} engine_turn_t;

/** How much of a turn's prompt an engine holds. */
typedef enum {
    ENGINE_HOLDS_NOTHING,
    ENGINE_HOLDS_PART,   /**< The first part. */
    ENGINE_HOLDS_PROMPT, /**< All but what is new. */
} engine_holds_t;

/** Expected time until the turn ends there, with what others there lose by a prompt read again. */
double engine_cost_ms(const engine_state_t *engine, const engine_turn_t *turn,
                      engine_holds_t holds);
/** True if the engine turns a further call away. */
bool engine_full(const engine_state_t *engine);
/**
 * True if a new program is not to begin there: the last part of the queue is left to the turns of
 * programs under way, whose work so far would be lost.
 */
bool engine_full_for_new(const engine_state_t *engine);
/** Expected time until it has room: for a call in its queue if it is full, else in a slot. */
double engine_free_ms(const engine_state_t *engine, const engine_turn_t *turn);

#endif
