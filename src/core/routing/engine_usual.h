/**
 * @file engine_usual.h
 * How long the turns of a service take, as one gateway sees them at engines with slots free.
 *
 * Each figure follows its median: a sample moves it up or down by a fixed part, however far off the
 * sample is, so that a hung engine or one outlier moves it no more than any other. Samples are
 * brought to typical speed first. Until enough is known the figures are defaults.
 *
 * Decision code: no I/O, clock or thread; an object belongs to one thread. Times are in ms.
 */
#ifndef RUDDERWAY_CORE_ROUTING_ENGINE_USUAL_H
#define RUDDERWAY_CORE_ROUTING_ENGINE_USUAL_H

#include <stdint.h>

/** A median that is followed; zeroed: nothing is known. */
typedef struct {
    double value;
    uint32_t samples;
} followed_median_t;

/** Zeroed: nothing is known. */
typedef struct {
    followed_median_t turn_ms;
    followed_median_t first_ms;      /**< To the first event, where the prompt is held. */
    followed_median_t tokens_per_ms; /**< Of prompts read. */
    followed_median_t full_percent;  /**< Load at which calls are turned away, of the slots. */
} engine_usual_t;

/** A turn ended well @p ms after it was sent. */
void engine_usual_note_turn(engine_usual_t *usual, double ms, unsigned speed_percent);
/** The first event came @p ms after the send; @p again: tokens read that other engines hold. */
void engine_usual_note_first(engine_usual_t *usual, double ms, uint32_t again,
                             unsigned speed_percent);
/** An engine turned a call away when its load, without that call, was @p load. */
void engine_usual_note_refused(engine_usual_t *usual, unsigned load, unsigned slots);
/** An engine ran a call that was sent when its load was @p load. */
void engine_usual_note_taken(engine_usual_t *usual, unsigned load, unsigned slots);
/** Calls that an engine of which nothing else is known lets wait; 0: unknown. */
unsigned engine_usual_queue(const engine_usual_t *usual, unsigned slots);
/** A turn at an engine of typical speed that has a slot free. */
double engine_usual_turn_ms(const engine_usual_t *usual);
/** Prompt tokens that an engine of typical speed reads. */
double engine_usual_tokens_per_ms(const engine_usual_t *usual);

#endif
