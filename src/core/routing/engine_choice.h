/**
 * @file engine_choice.h
 * At which engine a turn of a program runs, and whether it runs now or waits.
 *
 * Place. An engine that has run a program keeps the program's prompt: its next turn reads only what
 * is new. Anywhere else it reads all of it, and every other call at that engine waits meanwhile. So
 * a program stays at its engine, unless that is full and another is at most half full. A program
 * that has none yet gets one by its prompt's first part, which many programs share: the engines
 * are ranked by a hash of part and engine, equal at each gateway, and the first whose load is not
 * far above the mean is taken. So few engines read a part, and more do as its load grows.
 *
 * Order. An engine that runs more calls makes each of them slower. Beyond some number of calls
 * under way all programs would be late together, so new programs wait before that; programs under
 * way still find places, and those that are late already take only what others leave. Each class of
 * calls has its share of an engine's slots. Loads of other gateways are heard some tens of ms
 * late; a share is kept well enough without any agreement. A call that waits may use more and
 * more, so that none waits for good.
 *
 * Decision code: no I/O, clock or thread; times are ms.
 */
#ifndef RUDDERWAY_CORE_ROUTING_ENGINE_CHOICE_H
#define RUDDERWAY_CORE_ROUTING_ENGINE_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

/** What a call is to its program's time; the order in which waiting calls are looked at. */
typedef enum {
    URGENCY_UNDER_WAY, /**< Of a program that has begun. */
    URGENCY_NEW,       /**< A program's first call. */
    URGENCY_LATE,      /**< Its program can hardly be in time any more. */
    URGENCY_COUNT,
} urgency_t;

/** One engine that could run the call. */
typedef struct {
    uint64_t id;   /**< Hash of its instance; the same at each gateway. */
    unsigned load; /**< Calls under way there, of all gateways as far as known. */
    unsigned slots;
    bool near;    /**< In this gateway's zone. */
    bool avoided; /**< It failed lately or seems to be down. */
} engine_candidate_t;

typedef struct {
    urgency_t urgency;
    uint64_t place;     /**< Id of the engine that holds the program's prompt; 0: none is known. */
    uint64_t part;      /**< Hash of the prompt's first part; 0: unknown. */
    uint64_t waited_ms; /**< Since the call could have been sent. */
} engine_request_t;

typedef enum {
    ENGINE_CHOSEN,
    ENGINE_WAIT, /**< All that will do are full for this call now. */
    ENGINE_FULL, /**< It has waited long, and there is no place in sight. */
    ENGINE_NONE, /**< No engine serves this call. */
} engine_outcome_t;

/** A call waits at most so long, in ms. */
enum { ENGINE_WAIT_MOST_MS = 1200 };

/** Chooses among @p count candidates; @p chosen is the index if the outcome is ENGINE_CHOSEN. */
engine_outcome_t engine_choose(const engine_candidate_t *candidates, unsigned count,
                               const engine_request_t *request, unsigned *chosen);

#endif
