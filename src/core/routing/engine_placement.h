/**
 * @file engine_placement.h
 * Chooses the engine for a turn by expected cost (engine_cost.h).
 *
 * A program leaves the engine that has its prompt cached if that engine is full, or if another one
 * costs less even though it has to process the whole prompt. Known loads lag, and all gateways know
 * the same loads, so two measures prevent herding: a turn leaves an overloaded engine only with the
 * probability that equalizes the costs of both engines, and the target is the better of two engines
 * sampled at random (power of two choices). Each prompt part is assigned to a subset of the engines
 * by a hash that is the same at all gateways; those engines cost less, so that a part is processed
 * by few engines.
 *
 * A full engine gets no new programs; if all are full, a new program is refused before it is sent.
 * A program in progress is still sent to a full engine, since known loads may be stale.
 *
 * Decision code: no I/O, clock, thread or random number generator. Times are in ms.
 */
#ifndef RUDDERWAY_CORE_ROUTING_ENGINE_PLACEMENT_H
#define RUDDERWAY_CORE_ROUTING_ENGINE_PLACEMENT_H

#include "core/routing/engine_cost.h"

/** Added to the cost of an engine in another zone, since traffic between zones is expensive. */
enum { ENGINE_REMOTE_COST_MS = 10 };

/** An engine that can run the turn. */
typedef struct {
    uint64_t id; /**< Hash of the engine's instance; the same at all gateways. */
    engine_state_t state;
    bool local;   /**< In the gateway's zone. */
    bool avoided; /**< Failed recently or is slow to respond; gets no new programs. */
    bool down;    /**< Probably down; its programs move to other engines. */
} engine_option_t;

typedef struct {
    uint64_t place; /**< Id of the engine that has the program's prompt cached; 0: unknown. */
    uint64_t part;  /**< Hash of the first part of the prompt, else of the program. */
    turn_profile_t turn;
    bool begun; /**< The program is in progress; it may use a full engine if all are full. */
    bool wants_free_ms;   /**< Set free_ms even if an engine is found. */
    uint64_t random_bits; /**< Random bits of this turn. */
} placement_request_t;

typedef enum {
    PLACEMENT_FOUND,
    PLACEMENT_NONE, /**< No engine can be used. */
    PLACEMENT_FULL, /**< All usable engines are full. */
} placement_outcome_t;

typedef struct {
    placement_outcome_t outcome;
    unsigned chosen;     /**< PLACEMENT_FOUND: index of the engine. */
    double cost_ms;      /**< PLACEMENT_FOUND: cost at that engine. */
    double stay_cost_ms; /**< Cost at the program's current engine; 0: it has none among the
                            options. */
    double free_ms;  /**< Expected time until an engine is free; set if none is found or wanted. */
    bool try_remote; /**< An engine in another zone may be better. */
} placement_t;

placement_t engine_place(const engine_option_t *options, unsigned count,
                         const placement_request_t *request);

#endif
