/**
 * @file engine_turn.h
 * A call's way to an engine that is chosen by cost: what is known of its prompt, what is logged and
 * counted of the choice, and what is learned from its answer.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_ENGINE_TURN_H
#define RUDDERWAY_GATEWAY_ENGINE_TURN_H

#include "gateway/call.h"

/** True if the call goes to an engine that is chosen by cost. */
bool engine_turn_by_cost(const call_t *call);
/** Chooses the engine; false if there is none, or all are full. @p part: see engine_choice.h. */
bool engine_turn_choose(call_t *call, const backend_choice_t *choice, uint64_t part);
/** The engine turned the call away as not run, whether or not it goes elsewhere. */
void engine_turn_refused(call_t *call);
/** The first event has come. */
void engine_turn_begun(const call_t *call);
/** The engine's stream has ended well. */
void engine_turn_ended(const call_t *call);

#endif
