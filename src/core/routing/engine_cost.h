/**
 * @file engine_cost.h
 * How long a turn would wait for its first event at an engine.
 *
 * Known are the calls that all gateways have there, its slots, its speed and how much of the prompt
 * it holds. An engine that holds the program's prompt reads only what is new; any other one reads
 * all of it, and what runs there waits meanwhile, which is counted as a cost of moving. The least
 * cost wins; among engines that are nearly equal each gateway follows an order of its own, so that
 * gateways that know the same late figures don't all choose the same one.
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
} engine_state_t;

/** What is known of a turn, and of turns of its service at typical speed. */
typedef struct {
    uint32_t prompt_tokens; /**< In all. */
    uint32_t new_tokens;    /**< Of these, what the engine that holds the prompt has not read. */
    double turn_ms;         /**< A turn at an engine of typical speed, from send to end. */
    double tokens_per_ms;   /**< Of a prompt, read at typical speed. */
} engine_turn_t;

/** Expected time to the first event; @p holds: the engine holds the program's prompt. */
double engine_cost_ms(const engine_state_t *engine, const engine_turn_t *turn, bool holds);
/** True if the engine turns a further call away. */
bool engine_full(const engine_state_t *engine);

#endif
