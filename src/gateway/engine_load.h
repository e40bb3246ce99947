/**
 * @file engine_load.h
 * What this gateway learns of engines from the turns that it sends there, and the choice by cost
 * (core/routing/engine_placement.h) that uses it. Only for services whose back ends all say when
 * they were born: what is learned of an engine is of one life.
 *
 * Cost. A choice looks at all engines of the gateway's zone, as backends_choose_engine does, and at
 * no more than ENGINES_FAR_DRAWN of the other zones, drawn anew, when those won't do.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_ENGINE_LOAD_H
#define RUDDERWAY_GATEWAY_ENGINE_LOAD_H

#include "core/routing/engine_placement.h"
#include "gateway/backends.h"

enum { ENGINES_FAR_DRAWN = 32 };

/** True if all back ends of the service, but those that leave, say when they were born. */
bool backends_tell_lives(const backends_t *backends, const char *service);
/**
 * The engine for a turn, with a reference and counted under way; NULL: none, or all are full. Sets
 * of @p request what is known of the service's turns, and what is drawn.
 */
backend_t *backends_place_engine(backends_t *backends, const backend_choice_t *choice,
                                 placement_request_t *request, placement_t *placement);
/** Calls under way there, of all gateways as far as known. */
unsigned backend_load(const backend_t *backend);

/** What is known of an engine; @p usual of its service, @p slots if it does not say. */
engine_state_t engine_load_state(backend_t *backend, const engine_usual_t *usual, unsigned slots);

/** The engine turned away a call that is still counted there. */
void engine_load_note_refused(backend_t *backend, unsigned slots);
/** The first event of a turn came, that was sent when @p load other calls were there. */
void engine_load_note_first(backend_t *backend, unsigned load, unsigned slots, uint64_t ms,
                            uint32_t again_tokens);
/** The turn ended well. */
void engine_load_note_turn(backend_t *backend, unsigned load, unsigned slots, uint64_t ms);

#endif
