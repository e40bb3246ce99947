/**
 * @file engine_baseline.h
 * Typical durations and limits of a service's engines, as one gateway observes them.
 *
 * Each figure is a running median: a sample moves it up or down by a fixed fraction, so that an
 * outlier or a hung engine has no more influence than any other sample. Samples are normalized to
 * typical speed. Defaults apply until there are enough samples.
 *
 * Decision code: no I/O, clock or thread; an object belongs to one thread. Times are in ms.
 */
#ifndef RUDDERWAY_CORE_ROUTING_ENGINE_BASELINE_H
#define RUDDERWAY_CORE_ROUTING_ENGINE_BASELINE_H

#include <stdint.h>

/** Zero-initialized: no samples. */
typedef struct {
    double value;
    uint32_t samples;
} running_median_t;

/** Zero-initialized: nothing is known. */
typedef struct {
    running_median_t turn_ms;
    running_median_t first_event_ms;  /**< Time to the first event with the prompt cached. */
    running_median_t tokens_per_ms;   /**< Prompt processing rate. */
    running_median_t refused_percent; /**< Load at which calls are refused, of the slots. */
} engine_baseline_t;

/** A turn succeeded @p ms after it was sent. */
void engine_baseline_record_turn(engine_baseline_t *baseline, double ms, unsigned speed_percent);
/**
 * The first event of a turn arrived @p ms after the send.
 * @param reread_tokens Prompt tokens processed that another engine has cached.
 */
void engine_baseline_record_first_event_time(engine_baseline_t *baseline, double ms,
                                             uint32_t reread_tokens, unsigned speed_percent);
/** An engine refused a call; @p load does not include that call. */
void engine_baseline_record_refused(engine_baseline_t *baseline, unsigned load, unsigned slots);
/** An engine ran a call that was sent at load @p load. */
void engine_baseline_record_accepted(engine_baseline_t *baseline, unsigned load, unsigned slots);
/** Typical maximum number of queued calls, for engines without an own estimate; 0: unknown. */
unsigned engine_baseline_queue(const engine_baseline_t *baseline, unsigned slots);
/** Duration of a turn at an engine of typical speed with a free slot. */
double engine_baseline_turn_ms(const engine_baseline_t *baseline);
/** Prompt processing rate of an engine of typical speed. */
double engine_baseline_tokens_per_ms(const engine_baseline_t *baseline);

#endif
