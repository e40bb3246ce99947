/**
 * @file engine_load.h
 * Load, queue limits and baselines of engines, observed from the turns sent to them, and the
 * placement by cost (core/routing/engine_placement.h) that uses them. Only for services whose back
 * ends all report a start time, since observations are valid for one incarnation of an engine.
 *
 * A placement evaluates all engines of the local zone, and if none of those is suitable a random
 * sample of at most REMOTE_ENGINE_SAMPLES engines of other zones.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_ENGINE_LOAD_H
#define RUDDERWAY_GATEWAY_ENGINE_LOAD_H

#include "core/routing/engine_placement.h"
#include "gateway/backends.h"

enum { REMOTE_ENGINE_SAMPLES = 32 };

/** True if the service has back ends, and all but the leaving ones report a start time. */
bool backends_report_start_times(const backends_t *backends, const char *service);
/**
 * Chooses the engine for a turn, takes a reference and counts the turn as active; NULL: none, or
 * all are full. Sets the turn baselines and the random bits of @p request.
 */
backend_t *backends_place_engine(backends_t *backends, const backend_choice_t *choice,
                                 placement_request_t *request, placement_t *placement);
/** Active calls of this gateway, and of the others as last reported. */
unsigned backend_load(const backend_t *backend);

/**
 * Observed state of an engine. @p baseline is that of its service; @p slots is the default for an
 * engine that reports none.
 */
engine_state_t engine_load_state(backend_t *backend, const engine_baseline_t *baseline,
                                 unsigned slots);

/** The engine refused a call that is still counted as active. */
void engine_load_record_refused(backend_t *backend, unsigned slots);
/**
 * The first event of a turn arrived after @p ms. @p load: other calls there when the turn was sent,
 * @p repeated_tokens: tokens of the prompt that the engine has to process again.
 */
void engine_load_record_first_event(backend_t *backend, unsigned load, unsigned slots, uint64_t ms,
                                    uint32_t repeated_tokens);
/** The turn completed successfully after @p ms. */
void engine_load_record_turn(backend_t *backend, unsigned load, unsigned slots, uint64_t ms);

#endif
