#include "core/admission/call_counts.h"

#include <math.h>

enum {
    KNOWN_ENDED = 8,     /**< Programs that must have ended before their calls are forecast. */
    COUNTED_MOST = 1000, /**< Programs; beyond, all counts are halved. */
    PRIOR = 2,      /**< Programs that are taken to have done as all do, at each number of calls. */
    LONG_TIMES = 4, /**< A program with so many times the mean doesn't end, */
    LONG_LEAST = 64, /**< unless these are fewer calls than this. */
    MEAN_MOST = 64,  /**< Calls that any program is expected to make still. */
};

static unsigned slot(unsigned calls) {
    return calls < CALL_COUNTS_LENGTH ? calls : CALL_COUNTS_LENGTH - 1;
}

static void halve(call_counts_t *counts) {
    for (unsigned i = 0; i < CALL_COUNTS_LENGTH; i++) {
        counts->went_on[i] /= 2;
        counts->ended[i] /= 2;
    }
    counts->begun /= 2;
    counts->all_ended /= 2;
    counts->all_went_on /= 2;
}

void call_counts_note_call(call_counts_t *counts, unsigned calls) {
    if (calls <= 1) {
        counts->begun++;
        if (counts->begun > COUNTED_MOST)
            halve(counts);
        return;
    }
    counts->went_on[slot(calls - 1)]++;
    counts->all_went_on++;
    counts->stale = true;
}

void call_counts_note_end(call_counts_t *counts, unsigned calls, bool ended) {
    float change = ended ? 1 : -1;
    counts->ended[slot(calls)] = fmaxf(counts->ended[slot(calls)] + change, 0);
    counts->all_ended = fmaxf(counts->all_ended + change, 0);
    counts->stale = true;
}

bool call_counts_known(const call_counts_t *counts) {
    return counts->all_ended >= KNOWN_ENDED;
}

/** Works the forecast out from the last number of calls down. */
static void refresh(call_counts_t *counts) {
    if (!counts->stale)
        return;
    counts->stale = false;
    float usual = counts->all_went_on / fmaxf(counts->all_went_on + counts->all_ended, 1);
    float mean = fminf(usual / fmaxf(1 - usual, 1.0F / MEAN_MOST), MEAN_MOST);
    float square = mean * (2 * mean + 1);
    for (unsigned i = CALL_COUNTS_LENGTH - 1; i > 0; i--) {
        float seen = counts->went_on[i] + counts->ended[i];
        float chance = (counts->went_on[i] + PRIOR * usual) / (seen + PRIOR);
        counts->chance[i] = chance;
        float next_mean = mean;
        mean = fminf(chance * (1 + next_mean), MEAN_MOST);
        square = chance * (1 + 2 * next_mean + square);
        counts->mean[i] = mean;
        counts->square[i] = square;
    }
    counts->chance[0] = 1;
    counts->mean[0] = 1 + mean;
    counts->square[0] = 1 + 2 * mean + square;
}

call_forecast_t call_counts_forecast(call_counts_t *counts, unsigned calls) {
    refresh(counts);
    unsigned i = slot(calls);
    float chance = fmaxf(counts->chance[i], 1.0F / COUNTED_MOST);
    return (call_forecast_t){
        .chance = chance, .mean = counts->mean[i] / chance, .square = counts->square[i] / chance};
}

double call_counts_most(call_counts_t *counts) {
    refresh(counts);
    return fmax(LONG_TIMES * (double)counts->mean[0], LONG_LEAST);
}
