/**
 * @file backend_speed.h
 * Speed of a back end relative to the typical back end of its service.
 *
 * A gateway sees only few calls of each back end, so gateways exchange their estimates and merge
 * them by weighted median. With medians, outliers and a hung back end change neither a back end's
 * speed nor the typical speed of the service. Estimates lose weight with age and belong to one
 * incarnation of the back end; a new incarnation starts at the typical speed.
 *
 * Concurrent calls slow a back end down. The slowdown is estimated from pairs of samples of the
 * same back end at different loads, and samples are normalized to a back end without other calls.
 *
 * Decision code: no I/O, clock or thread; objects belong to one thread. Times are in ms of the
 * caller's steady clock.
 */
#ifndef RUDDERWAY_CORE_ROUTING_BACKEND_SPEED_H
#define RUDDERWAY_CORE_ROUTING_BACKEND_SPEED_H

#include <stdbool.h>
#include <stdint.h>

enum {
    BACKEND_SPEED_TYPICAL_PERCENT = 100, /**< Also the speed of a back end without estimate. */
    BACKEND_SPEED_MIN_PERCENT = 25,
    BACKEND_SPEED_MAX_PERCENT = 400,
};

enum {
    BACKEND_SAMPLES = 9,        /**< Kept for each back end; the median tolerates four outliers. */
    BACKEND_REPORTERS_MAX = 16, /**< Other gateways whose estimates of a back end are kept. */
    SAMPLE_WINDOW_SIZE = 31,
    SPEED_ESTIMATE_HALF_LIFE_MS = 15000, /**< The weight of an estimate halves in this time. */
    SPEED_ESTIMATE_EXPIRY_MS = 60000,    /**< Older estimates are ignored. */
};

/** A gateway's estimate of a back end's speed, as measured or as reported by another gateway. */
typedef struct {
    uint32_t work_us; /**< Median time of a unit of work without concurrent calls; 0: unknown. */
    uint32_t samples;
    uint64_t at; /**< Time of the latest sample. */
} speed_estimate_t;

/** Ring buffer of the latest samples of one back end. */
typedef struct {
    uint32_t recent[BACKEND_SAMPLES];
    unsigned total_samples; /**< Samples added in total. */
    uint64_t at;            /**< Time of the latest sample. */
} backend_samples_t;

/** Adds a sample: a unit of work took @p work_us. */
void backend_samples_add(backend_samples_t *samples, uint32_t work_us, uint64_t now);
speed_estimate_t backend_samples_estimate(const backend_samples_t *samples);

/** Ring buffer of the latest values of a quantity. */
typedef struct {
    uint32_t recent[SAMPLE_WINDOW_SIZE];
    unsigned total_samples; /**< Values added in total. */
} sample_window_t;

void sample_window_add(sample_window_t *window, uint32_t value);
/** Median of the values; 0 while there are too few. */
uint32_t sample_window_median(const sample_window_t *window);

/**
 * Slowdown per concurrent call at the back ends of a service: a least-squares fit, over pairs of
 * samples, of the relative difference in time against the difference in load.
 */
typedef struct {
    double products;
    double squares;
} load_slowdown_t;

/**
 * Adds a pair of samples of one back end: @p work_us with @p load concurrent calls, and
 * @p earlier_us with @p earlier_load.
 */
void load_slowdown_add_pair(load_slowdown_t *slowdown, uint32_t work_us, unsigned load,
                            uint32_t earlier_us, unsigned earlier_load);
/** Normalizes @p work_us, measured with @p load concurrent calls, to a load of 0. */
uint32_t load_slowdown_normalize(const load_slowdown_t *slowdown, uint32_t work_us, unsigned load);

/** Weight of an estimate: the number of its samples, up to a limit, halved with age. */
unsigned speed_estimate_weight(const speed_estimate_t *estimate, uint64_t now);
/** Weighted median of the estimates of up to BACKEND_REPORTERS_MAX + 1 gateways. */
speed_estimate_t speed_estimate_merge(const speed_estimate_t *estimates, unsigned count,
                                      uint64_t now);
/** True if the estimate is recent and has enough samples to be used. */
bool speed_estimate_is_usable(const speed_estimate_t *estimate, uint64_t now);
/**
 * Adds the difference of two consecutive samples of a back end to @p spread, in thousandths of
 * their mean. The spread of a service measures how much the times of a single back end vary.
 */
void work_spread_record(sample_window_t *spread, uint32_t work_us, uint32_t earlier_us);
/** Median of @p works_us, which is sorted in place; 0 if @p count is too small. */
uint32_t backend_speed_typical_us(uint32_t *works_us, unsigned count);
/**
 * Speed in percent of the typical one, clamped to [BACKEND_SPEED_MIN_PERCENT,
 * BACKEND_SPEED_MAX_PERCENT]. BACKEND_SPEED_TYPICAL_PERCENT if the estimate can't be used, or if
 * the difference is not significant given @p spread.
 */
unsigned backend_speed_percent(const speed_estimate_t *estimate, uint32_t typical_us,
                               const sample_window_t *spread, uint64_t now);

#endif
