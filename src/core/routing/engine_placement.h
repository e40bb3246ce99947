/**
 * @file engine_placement.h
 * At which engine a turn runs, by what it costs there (engine_cost.h).
 *
 * The least cost wins. A program leaves the engine that holds its prompt if that is full, or if
 * another costs less although it reads the whole prompt. What is known of loads is late, and all
 * gateways know the same: so of the turns at a crowded engine only as large a share leaves as
 * brings both engines to one cost, and among engines of nearly equal cost two are drawn and the
 * better is taken. Of these, the engines that a part of the prompt belongs to come first: a part is
 * read at few engines, which a hash of part and engine names equally at each gateway.
 *
 * Nothing new goes to a full engine. A program that is under way goes to one if all are full, since
 * loads are known late; a new one is not sent at all.
 *
 * Decision code: no I/O, clock, thread or chance. Times are in ms.
 */
#ifndef RUDDERWAY_CORE_ROUTING_ENGINE_PLACEMENT_H
#define RUDDERWAY_CORE_ROUTING_ENGINE_PLACEMENT_H

#include "core/routing/engine_cost.h"

/** What an engine of another zone costs more: bytes between zones are dear. */
enum { ENGINE_FAR_COST_MS = 10 };

/** One engine that could run the turn. */
typedef struct {
    uint64_t id; /**< Hash of its instance; the same at each gateway. */
    engine_state_t state;
    bool near;    /**< In this gateway's zone. */
    bool avoided; /**< It failed lately or is slow to answer: nothing for a new program. */
    bool down;    /**< It seems to be down: its programs leave it too. */
} engine_option_t;

typedef struct {
    uint64_t place; /**< Id of the engine that holds the program's prompt; 0: none is known. */
    uint64_t part;  /**< Hash of the prompt's first part, or else of the program. */
    engine_turn_t turn;
    bool begun;         /**< The program is under way: a full engine is better than none. */
    bool wants_free_ms; /**< Also if an engine is found. */
    uint64_t draw;      /**< Drawn anew for each turn by each gateway. */
} placement_request_t;

typedef enum {
    PLACEMENT_FOUND,
    PLACEMENT_NONE, /**< No engine may be used. */
    PLACEMENT_FULL, /**< All that may be used are full. */
} placement_outcome_t;

typedef struct {
    placement_outcome_t outcome;
    unsigned chosen; /**< Index of the engine, if one was found. */
    double cost_ms;  /**< There. */
    double place_ms; /**< Cost of staying; 0: the program has no engine among the options. */
    double free_ms;  /**< Until the first of the engines has room; if none is found, or wanted. */
    bool look_far;   /**< An engine of another zone may do better. */
} placement_t;

/** Chooses among @p count options. */
placement_t engine_place(const engine_option_t *options, unsigned count,
                         const placement_request_t *request);

#endif
