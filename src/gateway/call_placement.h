/**
 * @file call_placement.h
 * Cost-based placement of a call: describes its prompt, chooses the engine, logs and counts the
 * choice, and updates the engine's load model from the response.
 *
 * Thread safety: everything here runs on the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_CALL_PLACEMENT_H
#define RUDDERWAY_GATEWAY_CALL_PLACEMENT_H

#include "gateway/call.h"

/** True if the call goes to an engine that is chosen by cost. */
bool call_placement_by_cost(const call_t *call);
/**
 * Chooses the engine; false if there is none, or all are full.
 * @param part Hash that ranks engines for the prompt's first part; see engine_choice.h.
 */
bool call_placement_choose(call_t *call, const backend_choice_t *choice, uint64_t part);
/** Records that the engine refused the call as not run. */
void call_placement_refused(call_t *call);
/** Records the arrival of the first event. */
void call_placement_first_event(const call_t *call);
/** Records the end of a complete stream. */
void call_placement_completed(const call_t *call);

#endif
