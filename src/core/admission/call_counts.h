/**
 * @file call_counts.h
 * How many calls programs of a kind make: of those that made k calls, how many made one more.
 * Counts what has been seen of programs that are still under way as well, so short programs, which
 * end first, don't bias it.
 *
 * Decision code: no I/O, clock or thread; an object belongs to one thread.
 */
#ifndef RUDDERWAY_CORE_ADMISSION_CALL_COUNTS_H
#define RUDDERWAY_CORE_ADMISSION_CALL_COUNTS_H

#include <stdbool.h>
#include <stdint.h>

enum {
    CALL_COUNTS_LENGTH = 96, /**< Programs with more calls are counted as with so many. */
};

typedef struct {
    float went_on[CALL_COUNTS_LENGTH]; /**< Programs that made call k + 1 after k calls. */
    float ended[CALL_COUNTS_LENGTH];   /**< Programs that ended after k calls. */
    float begun;                       /**< Programs, halved as the rest is. */
    float all_ended;
    float all_went_on;
    bool stale;                       /**< The forecast is older than the counts. */
    float chance[CALL_COUNTS_LENGTH]; /**< Of one more call after k. */
    float mean[CALL_COUNTS_LENGTH];   /**< Calls still to come after k. */
    float square[CALL_COUNTS_LENGTH]; /**< Mean of their square. */
} call_counts_t;

/** What a program that has made some calls will still do. */
typedef struct {
    double chance; /**< That it makes one more call. */
    double mean;   /**< Calls to come, if so. */
    double square; /**< Mean of their square, if so. */
} call_forecast_t;

/** A program has made its call number @p calls, from 1. */
void call_counts_note_call(call_counts_t *counts, unsigned calls);
/** A program has ended after @p calls, or (@p ended false) was taken for ended and goes on. */
void call_counts_note_end(call_counts_t *counts, unsigned calls, bool ended);
/** True if enough programs have ended to tell. */
bool call_counts_known(const call_counts_t *counts);
/** Of a program that has made @p calls; 0: that is about to begin. */
call_forecast_t call_counts_forecast(call_counts_t *counts, unsigned calls);
/** Calls beyond which a program is taken for one that doesn't end. */
double call_counts_most(call_counts_t *counts);

#endif
