/**
 * @file engine_choice.h
 * At which engine a turn of a program runs.
 *
 * An engine that has run a program keeps the program's prompt: its next turn reads only what is
 * new. Anywhere else it reads all of it, and every other call at that engine waits meanwhile. So a
 * program stays at its engine, unless that has a long queue and another is at most half full. A
 * program that has none yet gets one by its prompt's first part, which many programs share: the
 * engines are ranked by a hash of part and engine, equal at each gateway, and the first whose load
 * is not far above the mean is taken. So few engines read a part, and more do as its load grows.
 *
 * Engines of another zone are used only if none of this zone will do. One that seems to be down is
 * left out, unless so many seem so that the sign says nothing.
 *
 * Decision code: no I/O, clock or thread.
 */
#ifndef RUDDERWAY_CORE_ROUTING_ENGINE_CHOICE_H
#define RUDDERWAY_CORE_ROUTING_ENGINE_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

/** One engine that could run the call. */
typedef struct {
    uint64_t id;   /**< Hash of its instance; the same at each gateway. */
    unsigned load; /**< Calls under way there, of all gateways as far as known. */
    unsigned slots;
    bool near;    /**< In this gateway's zone. */
    bool avoided; /**< It failed lately or is slow to answer: nothing for a new program. */
    bool down;    /**< It seems to be down: its programs leave it too. */
} engine_candidate_t;

typedef struct {
    uint64_t place; /**< Id of the engine that holds the program's prompt; 0: none is known. */
    uint64_t part;  /**< Hash of the prompt's first part, or else of the program. */
} engine_request_t;

/** True if a program may leave this engine for one with room. */
bool engine_crowded(const engine_candidate_t *engine);
/** Chooses among @p count candidates: @p chosen is the index. False if there is none. */
bool engine_choose(const engine_candidate_t *candidates, unsigned count,
                   const engine_request_t *request, unsigned *chosen);

#endif
