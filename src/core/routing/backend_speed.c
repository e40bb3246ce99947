#include "core/routing/backend_speed.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
    PERCENT = 100,
    THOUSAND = 1000,
    WEIGHT_MOST = 8,      /**< Of one gateway: many samples don't make its measure a better one. */
    WEIGHT_NEEDED = 4,    /**< Fewer samples of a back end don't count. */
    BACK_ENDS_NEEDED = 3, /**< A service's typical speed is unknown with fewer. */
    TIMES_NEEDED = 5,
    LOADS_APART = 2,      /**< Nearer loads tell little of what a call more costs. */
    SQUARES_NEEDED = 400, /**< Some 50 pairs; with fewer, chance looks like a slope. */
};
static const double PAIRS_KEPT = 1 - 1.0 / 512; /**< Of what was noted before, at each pair. */
static const double SLOPE_MOST = 0.5;
static const double UNKNOWN_DEVIATION =
    0.6; /**< Of the times of a service of which few are known. */
static const double MEDIAN_ERROR = 1.44;
static const double CHANCE_DEVIATIONS = 3.5; /**< Five in ten thousand. */

static void swap(uint32_t *a, uint32_t *b) {
    uint32_t kept = *a;
    *a = *b;
    *b = kept;
}

/** Insertion sort: the lists are short, and kept ones nearly sorted. */
static void sort(uint32_t *values, unsigned count) {
    for (unsigned i = 1; i < count; i++)
        for (unsigned j = i; j > 0 && values[j - 1] > values[j]; j--)
            swap(&values[j - 1], &values[j]);
}

static uint32_t median(uint32_t *values, unsigned count) {
    sort(values, count);
    return count == 0 ? 0 : values[(count - 1) / 2];
}

static unsigned least(unsigned a, unsigned b) {
    return a < b ? a : b;
}

void backend_samples_note(backend_samples_t *samples, uint32_t work_us, uint64_t now) {
    samples->recent[samples->noted % BACKEND_SAMPLES] = work_us;
    samples->noted++;
    samples->at = now;
}

backend_pace_t backend_samples_pace(const backend_samples_t *samples) {
    uint32_t sorted[BACKEND_SAMPLES];
    unsigned count = least(samples->noted, BACKEND_SAMPLES);
    memcpy(sorted, samples->recent, sizeof sorted);
    return (backend_pace_t){median(sorted, count), count, samples->at};
}

void recent_times_note(recent_times_t *times, uint32_t value) {
    times->recent[times->noted % RECENT_TIMES] = value;
    times->noted++;
}

uint32_t recent_times_median(const recent_times_t *times) {
    uint32_t sorted[RECENT_TIMES];
    unsigned count = least(times->noted, RECENT_TIMES);
    memcpy(sorted, times->recent, sizeof sorted);
    return count < TIMES_NEEDED ? 0 : median(sorted, count);
}

void work_slowdown_note(work_slowdown_t *slowdown, uint32_t work_us, unsigned load,
                        uint32_t earlier_us, unsigned earlier_load) {
    unsigned apart = load > earlier_load ? load - earlier_load : earlier_load - load;
    if (apart < LOADS_APART)
        return;
    double more = (double)load - earlier_load;
    double slower = 2 * ((double)work_us - earlier_us) / ((double)work_us + earlier_us);
    slowdown->products = slowdown->products * PAIRS_KEPT + slower * more;
    slowdown->squares = slowdown->squares * PAIRS_KEPT + more * more;
}

/** Share by which a call more slows all; 0 while too little is known. */
static double slope(const work_slowdown_t *slowdown) {
    if (slowdown->squares < SQUARES_NEEDED || slowdown->products < 0)
        return 0;
    double share = slowdown->products / slowdown->squares;
    return share > SLOPE_MOST ? SLOPE_MOST : share;
}

uint32_t work_slowdown_remove(const work_slowdown_t *slowdown, uint32_t work_us, unsigned load) {
    return (uint32_t)(work_us * exp(-slope(slowdown) * load));
}

void work_spread_note(recent_times_t *spread, uint32_t work_us, uint32_t earlier_us) {
    uint32_t apart = work_us > earlier_us ? work_us - earlier_us : earlier_us - work_us;
    uint64_t sum = (uint64_t)work_us + earlier_us;
    if (sum > 0)
        recent_times_note(spread, (uint32_t)(2 * (uint64_t)apart * THOUSAND / sum));
}

unsigned backend_pace_weight(const backend_pace_t *pace, uint64_t now) {
    uint64_t age = now > pace->at ? now - pace->at : 0;
    if (age >= PACE_FORGET_MS || pace->work_us == 0)
        return 0;
    return least(pace->samples, WEIGHT_MOST) >> (age / PACE_HALF_LIFE_MS);
}

backend_pace_t backend_pace_join(const backend_pace_t *paces, unsigned count, uint64_t now) {
    const backend_pace_t *sorted[BACKEND_TELLERS_MOST + 1];
    backend_pace_t joined = {0};
    unsigned kept = 0;
    for (unsigned i = 0; i < count && kept <= BACKEND_TELLERS_MOST; i++) {
        unsigned weight = backend_pace_weight(&paces[i], now);
        if (weight == 0)
            continue;
        unsigned place = kept++;
        for (; place > 0 && sorted[place - 1]->work_us > paces[i].work_us; place--)
            sorted[place] = sorted[place - 1];
        sorted[place] = &paces[i];
        joined.samples += weight;
        joined.at = paces[i].at > joined.at ? paces[i].at : joined.at;
    }
    unsigned below = 0;
    for (unsigned i = 0; i < kept && 2 * below < joined.samples; i++) {
        joined.work_us = sorted[i]->work_us;
        below += backend_pace_weight(sorted[i], now);
    }
    return joined;
}

bool backend_pace_known(const backend_pace_t *pace, uint64_t now) {
    bool late = now >= pace->at + PACE_FORGET_MS;
    return !late && pace->work_us > 0 && pace->samples >= WEIGHT_NEEDED;
}

static int compare(const void *a, const void *b) {
    uint32_t first = *(const uint32_t *)a;
    uint32_t second = *(const uint32_t *)b;
    return (first > second) - (first < second);
}

uint32_t backend_speed_typical_us(uint32_t *works_us, unsigned count) {
    if (count < BACK_ENDS_NEEDED)
        return 0;
    qsort(works_us, count, sizeof *works_us, compare);
    return works_us[(count - 1) / 2];
}

/**
 * How many times the typical time chance may make of that of a typical back end. The median of so
 * many samples is off by 1.44 times their median over the root of their number if times are spread
 * exponentially; two normal samples differ by 0.95 of a deviation as often as by more.
 */
static double chance(const backend_pace_t *pace, const recent_times_t *spread) {
    uint32_t apart = recent_times_median(spread);
    double deviation = spread->noted < TIMES_NEEDED ? UNKNOWN_DEVIATION : apart / 950.0;
    return 1 + CHANCE_DEVIATIONS * MEDIAN_ERROR * deviation / sqrt(pace->samples);
}

unsigned backend_speed_percent(const backend_pace_t *pace, uint32_t typical_us,
                               const recent_times_t *spread, uint64_t now) {
    if (typical_us == 0 || !backend_pace_known(pace, now))
        return BACKEND_SPEED_TYPICAL_PERCENT;
    double times = (double)pace->work_us / typical_us;
    double usual = chance(pace, spread);
    if (times < usual && times > 1 / usual)
        return BACKEND_SPEED_TYPICAL_PERCENT;
    uint64_t percent = (uint64_t)typical_us * PERCENT / pace->work_us;
    if (percent < BACKEND_SPEED_LEAST_PERCENT)
        return BACKEND_SPEED_LEAST_PERCENT;
    return percent > BACKEND_SPEED_MOST_PERCENT ? BACKEND_SPEED_MOST_PERCENT : (unsigned)percent;
}
