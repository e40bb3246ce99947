#include "core/admission/call_counts.h"

#include <math.h>

enum {
    MIN_ENDED = 8,      /**< Ended programs required for a forecast. */
    COUNTED_MAX = 1000, /**< Started programs; beyond, all counts are halved. */
    PRIOR_WEIGHT = 2, /**< Weight of the overall rate in the estimate of each slot, in programs. */
    /** A program is considered endless beyond this multiple of the mean number of calls. */
    ENDLESS_FACTOR = 4,
    ENDLESS_MIN_CALLS = 64, /**< A program with fewer calls is never considered endless. */
    MEAN_MAX = 64,          /**< Upper bound of the forecast mean. */
};

static unsigned slot(unsigned calls) {
    return calls < CALL_COUNTS_LENGTH ? calls : CALL_COUNTS_LENGTH - 1;
}

static void halve(call_counts_t *counts) {
    for (unsigned i = 0; i < CALL_COUNTS_LENGTH; i++) {
        counts->continued[i] /= 2;
        counts->ended[i] /= 2;
    }
    counts->started /= 2;
    counts->total_ended /= 2;
    counts->total_continued /= 2;
}

void call_counts_record_call(call_counts_t *counts, unsigned calls) {
    if (calls <= 1) {
        counts->started++;
        if (counts->started > COUNTED_MAX)
            halve(counts);
        return;
    }
    counts->continued[slot(calls - 1)]++;
    counts->total_continued++;
    counts->stale = true;
}

void call_counts_record_end(call_counts_t *counts, unsigned calls, bool ended) {
    float change = ended ? 1 : -1;
    counts->ended[slot(calls)] = fmaxf(counts->ended[slot(calls)] + change, 0);
    counts->total_ended = fmaxf(counts->total_ended + change, 0);
    counts->stale = true;
}

bool call_counts_sufficient(const call_counts_t *counts) {
    return counts->total_ended >= MIN_ENDED;
}

/** Recomputes the forecast, from the highest number of calls down. */
static void refresh(call_counts_t *counts) {
    if (!counts->stale)
        return;
    counts->stale = false;
    float overall =
        counts->total_continued / fmaxf(counts->total_continued + counts->total_ended, 1);
    float mean = fminf(overall / fmaxf(1 - overall, 1.0F / MEAN_MAX), MEAN_MAX);
    float mean_square = mean * (2 * mean + 1);
    for (unsigned i = CALL_COUNTS_LENGTH - 1; i > 0; i--) {
        float seen = counts->continued[i] + counts->ended[i];
        float probability = (counts->continued[i] + PRIOR_WEIGHT * overall) / (seen + PRIOR_WEIGHT);
        counts->continue_probability[i] = probability;
        float next_mean = mean;
        mean = fminf(probability * (1 + next_mean), MEAN_MAX);
        mean_square = probability * (1 + 2 * next_mean + mean_square);
        counts->mean[i] = mean;
        counts->mean_square[i] = mean_square;
    }
    counts->continue_probability[0] = 1;
    counts->mean[0] = 1 + mean;
    counts->mean_square[0] = 1 + 2 * mean + mean_square;
}

call_forecast_t call_counts_forecast(call_counts_t *counts, unsigned calls) {
    refresh(counts);
    unsigned i = slot(calls);
    float probability = fmaxf(counts->continue_probability[i], 1.0F / COUNTED_MAX);
    return (call_forecast_t){.continue_probability = probability,
                             .mean = counts->mean[i] / probability,
                             .mean_square = counts->mean_square[i] / probability};
}

double call_counts_max_calls(call_counts_t *counts) {
    refresh(counts);
    return fmax(ENDLESS_FACTOR * (double)counts->mean[0], ENDLESS_MIN_CALLS);
}
