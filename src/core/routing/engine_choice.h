/**
 * @file engine_choice.h
 * Chooses the engine for a turn of a program by load and prompt cache affinity.
 *
 * The engine that ran a program's last turn has its prompt cached and processes only the new
 * tokens. Any other engine has to process the whole prompt, which delays all of its calls. A
 * program therefore stays at its engine, unless that engine is overloaded and another one is at
 * most half full. A program without an engine is placed by the first part of its prompt, which many
 * programs share, by rendezvous hashing with bounded loads: engines are ranked by a hash of part
 * and engine that is the same at all gateways, and the first one whose load is not far above the
 * mean is chosen. So a part is processed by few engines, and by more as its load grows.
 *
 * Engines of other zones are used only if none in the local zone qualifies. Avoided engines get no
 * new programs, unless more than a third of the engines are avoided: failure detection is then
 * considered unreliable.
 *
 * Decision code: no I/O, clock or thread.
 */
#ifndef RUDDERWAY_CORE_ROUTING_ENGINE_CHOICE_H
#define RUDDERWAY_CORE_ROUTING_ENGINE_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

/** An engine that can run the call. */
typedef struct {
    uint64_t id;   /**< Hash of the engine's instance; the same at all gateways. */
    unsigned load; /**< Known calls in progress from all gateways. */
    unsigned slots;
    bool local;   /**< In the gateway's zone. */
    bool avoided; /**< Failed recently or is slow to respond; gets no new programs. */
    bool down;    /**< Probably down; its programs move to other engines. */
} engine_candidate_t;

typedef struct {
    uint64_t place; /**< Id of the engine that has the program's prompt cached; 0: unknown. */
    uint64_t part;  /**< Hash of the first part of the prompt, else of the program. */
} engine_request_t;

/** True if the engine's queue is so long that its programs may move to another engine. */
bool engine_overloaded(const engine_candidate_t *engine);
/** Sets @p chosen to the index of the best candidate. False if no candidate can be used. */
bool engine_choose(const engine_candidate_t *candidates, unsigned count,
                   const engine_request_t *request, unsigned *chosen);

#endif
