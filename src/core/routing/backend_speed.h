/**
 * @file backend_speed.h
 * How fast a back end is, against the typical one of its service.
 *
 * Each gateway sees few calls of one back end, so gateways tell one another what they measured. The
 * measure is robust: one outlier or one hung back end moves neither a back end's speed nor what is
 * typical of its service. What was measured ages, and belongs to one life of the back end: one that
 * is new, or has started again, begins at the service's typical speed.
 *
 * A back end that works on many calls at once is slower at each. How much is learned from pairs of
 * samples of one back end at different loads, and samples are compared as if it had no other call.
 *
 * Decision code: no I/O, clock or thread; objects belong to one thread. Times are in ms of the
 * caller's steady clock.
 */
#ifndef RUDDERWAY_CORE_ROUTING_BACKEND_SPEED_H
#define RUDDERWAY_CORE_ROUTING_BACKEND_SPEED_H

#include <stdbool.h>
#include <stdint.h>

enum {
    BACKEND_SPEED_TYPICAL_PERCENT = 100, /**< Also that of which nothing is known yet. */
    BACKEND_SPEED_LEAST_PERCENT = 25,
    BACKEND_SPEED_MOST_PERCENT = 400,
};

enum {
    BACKEND_SAMPLES = 9,       /**< Kept of one back end: four outliers don't move the median. */
    BACKEND_TELLERS_MOST = 16, /**< Gateways of which a back end's paces are kept. */
    RECENT_TIMES = 31,
    PACE_HALF_LIFE_MS = 15000, /**< A sample's weight halves in this time, */
    PACE_FORGET_MS = 60000,    /**< and is nothing after this. */
};

/** What one gateway has measured at one back end; what the others told comes in the same form. */
typedef struct {
    uint32_t work_us; /**< Typical time of a unit of work without other calls; 0: unknown. */
    uint32_t samples; /**< How many it comes from. */
    uint64_t at;      /**< Of the latest sample. */
} backend_pace_t;

/** The latest samples of one back end. */
typedef struct {
    uint32_t recent[BACKEND_SAMPLES];
    unsigned noted;
    uint64_t at;
} backend_samples_t;

/** Notes that a unit of work took @p work_us. */
void backend_samples_note(backend_samples_t *samples, uint32_t work_us, uint64_t now);
/** The median of the samples. */
backend_pace_t backend_samples_pace(const backend_samples_t *samples);

/** The latest values of anything, for their median. */
typedef struct {
    uint32_t recent[RECENT_TIMES];
    unsigned noted;
} recent_times_t;

void recent_times_note(recent_times_t *times, uint32_t value);
/** 0 while there are too few to tell. */
uint32_t recent_times_median(const recent_times_t *times);

/**
 * By how much one more call slows all calls at a back end of a service: least squares over pairs of
 * samples, of how far the two times are apart against how far the loads are.
 */
typedef struct {
    double products;
    double squares;
} work_slowdown_t;

/** Work at one back end took @p work_us beside @p load calls, and @p earlier_us beside others. */
void work_slowdown_note(work_slowdown_t *slowdown, uint32_t work_us, unsigned load,
                        uint32_t earlier_us, unsigned earlier_load);
/** What work that took @p work_us beside @p load other calls takes without. */
uint32_t work_slowdown_remove(const work_slowdown_t *slowdown, uint32_t work_us, unsigned load);

/** Weight of @p pace now: its samples, less with age. */
unsigned backend_pace_weight(const backend_pace_t *pace, uint64_t now);
/** Joins what up to BACKEND_TELLERS_MOST + 1 gateways measured there: their weighted median. */
backend_pace_t backend_pace_join(const backend_pace_t *paces, unsigned count, uint64_t now);
/** True if @p pace comes from enough samples to count. */
bool backend_pace_known(const backend_pace_t *pace, uint64_t now);
/**
 * Notes how far a sample of a back end is from the one before, in thousandths of their mean: what
 * chance makes of the times of a service.
 */
void work_spread_note(recent_times_t *spread, uint32_t work_us, uint32_t earlier_us);
/** Median of the @p count known paces of a service, which are sorted; 0: too few to tell. */
uint32_t backend_speed_typical_us(uint32_t *works_us, unsigned count);
/**
 * Speed of a back end of pace @p pace in percent of the typical one; BACKEND_SPEED_TYPICAL_PERCENT
 * if it is no farther from that than chance explains, as @p spread tells.
 */
unsigned backend_speed_percent(const backend_pace_t *pace, uint32_t typical_us,
                               const recent_times_t *spread, uint64_t now);

#endif
