/**
 * @file call_counts.h
 * Estimates how many calls programs of a kind make: of those that made k calls, how many made one
 * more. Active programs are counted as well, so that short programs, which end first, do not bias
 * the estimate.
 *
 * Decision code: no I/O, clock or threads; an object belongs to one thread.
 */
#ifndef RUDDERWAY_CORE_ADMISSION_CALL_COUNTS_H
#define RUDDERWAY_CORE_ADMISSION_CALL_COUNTS_H

#include <stdbool.h>
#include <stdint.h>

enum {
    CALL_COUNTS_LENGTH = 96, /**< Number of slots; programs with more calls use the last one. */
};

typedef struct {
    float continued[CALL_COUNTS_LENGTH]; /**< Programs that made call k + 1 after k calls. */
    float ended[CALL_COUNTS_LENGTH];     /**< Programs that ended after k calls. */
    float started;
    float total_ended;
    float total_continued;
    bool stale;                                     /**< The forecast must be recomputed. */
    float continue_probability[CALL_COUNTS_LENGTH]; /**< Probability of another call after k. */
    float mean[CALL_COUNTS_LENGTH];                 /**< Expected remaining calls after k. */
    float mean_square[CALL_COUNTS_LENGTH]; /**< Mean square of the remaining calls after k. */
} call_counts_t;

/** Forecast for a program that has made some calls. */
typedef struct {
    double continue_probability; /**< Of at least one more call. */
    double mean;                 /**< Expected remaining calls, if there is at least one. */
    double mean_square; /**< Mean square of the remaining calls, if there is at least one. */
} call_forecast_t;

/** Records a program's call number @p calls, from 1. */
void call_counts_record_call(call_counts_t *counts, unsigned calls);
/**
 * Records that a program has ended after @p calls; with @p ended false, reverts this for a program
 * that has resumed.
 */
void call_counts_record_end(call_counts_t *counts, unsigned calls, bool ended);
/** True if enough programs have ended for a forecast. */
bool call_counts_sufficient(const call_counts_t *counts);
/** Forecast after @p calls; 0: for a new program. */
call_forecast_t call_counts_forecast(call_counts_t *counts, unsigned calls);
/** Number of calls beyond which a program is considered endless. */
double call_counts_max_calls(call_counts_t *counts);

#endif
