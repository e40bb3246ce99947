/**
 * @file backend_speed.h
 * How fast a back end is, against the typical one of its service.
 *
 * Each gateway sees few calls of one back end, so gateways tell one another what they measured. The
 * measure is robust: one outlier or one hung back end moves neither a back end's speed nor what is
 * typical of its service. What was measured ages, and belongs to one life of the back end: one that
 * is new, or has started again, begins at the service's typical speed.
 *
 * Decision code: no I/O, clock or thread; objects belong to one thread. Times are in ms of the
 * caller's steady clock.
 */
#ifndef RUDDERWAY_CORE_ROUTING_BACKEND_SPEED_H
#define RUDDERWAY_CORE_ROUTING_BACKEND_SPEED_H

#include <stdint.h>

/** The speed of which nothing is known yet. */
enum { BACKEND_SPEED_TYPICAL_PERCENT = 100 };

/** What one gateway has measured at one back end; what the others told comes in the same form. */
typedef struct {
    uint32_t work_us; /**< Typical time of a unit of work (a token, or a plain call). */
    uint32_t samples; /**< Weight; falls with age. */
    uint64_t at;      /**< Of the latest sample. */
} backend_pace_t;

/** Notes that a unit of work took @p work_us. */
void backend_pace_note(backend_pace_t *pace, uint32_t work_us, uint64_t now);
/** Joins what several gateways measured at one back end: their weighted median. */
backend_pace_t backend_pace_join(const backend_pace_t *paces, unsigned count, uint64_t now);
/**
 * Speed of a back end of pace @p pace among @p count of its service, in percent of the typical one;
 * BACKEND_SPEED_TYPICAL_PERCENT while too little is known.
 */
unsigned backend_speed_percent(const backend_pace_t *pace, const backend_pace_t *service,
                               unsigned count, uint64_t now);

#endif
