#include "core/routing/backend_speed.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
    PERCENT = 100,
    THOUSAND = 1000,
    MAX_WEIGHT = 8,   /**< Limits the effect of a single gateway's systematic error. */
    MIN_SAMPLES = 4,  /**< Of a back end, for its estimate to be used. */
    MIN_BACKENDS = 3, /**< Of a service, for its typical speed to be known. */
    MIN_VALUES = 5,
    MIN_LOAD_DIFFERENCE = 2, /**< Pairs with closer loads are ignored as noise. */
    MIN_SQUARES = 400, /**< Below this sum there are too few pairs to tell a slope from noise. */
};
static const double PAIR_DECAY = 1 - 1.0 / 512; /**< Applied to the sums at each new pair. */
static const double MAX_SLOPE = 0.5;
static const double DEFAULT_DEVIATION = 0.6; /**< Relative; used until there are enough samples. */
static const double MEDIAN_ERROR_FACTOR = 1.44;
/** Exceeded by chance in five of ten thousand cases. */
static const double SIGNIFICANT_DEVIATIONS = 3.5;

static void swap(uint32_t *a, uint32_t *b) {
    uint32_t kept = *a;
    *a = *b;
    *b = kept;
}

/** Insertion sort, for short arrays only. */
static void sort(uint32_t *values, unsigned count) {
    for (unsigned i = 1; i < count; i++)
        for (unsigned j = i; j > 0 && values[j - 1] > values[j]; j--)
            swap(&values[j - 1], &values[j]);
}

static uint32_t median(uint32_t *values, unsigned count) {
    sort(values, count);
    return count == 0 ? 0 : values[(count - 1) / 2];
}

static unsigned min_unsigned(unsigned a, unsigned b) {
    return a < b ? a : b;
}

void backend_samples_add(backend_samples_t *samples, uint32_t work_us, uint64_t now) {
    samples->recent[samples->total_samples % BACKEND_SAMPLES] = work_us;
    samples->total_samples++;
    samples->at = now;
}

speed_estimate_t backend_samples_estimate(const backend_samples_t *samples) {
    uint32_t sorted[BACKEND_SAMPLES];
    unsigned count = min_unsigned(samples->total_samples, BACKEND_SAMPLES);
    memcpy(sorted, samples->recent, sizeof sorted);
    return (speed_estimate_t){median(sorted, count), count, samples->at};
}

void sample_window_add(sample_window_t *window, uint32_t value) {
    window->recent[window->total_samples % SAMPLE_WINDOW_SIZE] = value;
    window->total_samples++;
}

uint32_t sample_window_median(const sample_window_t *window) {
    uint32_t sorted[SAMPLE_WINDOW_SIZE];
    unsigned count = min_unsigned(window->total_samples, SAMPLE_WINDOW_SIZE);
    memcpy(sorted, window->recent, sizeof sorted);
    return count < MIN_VALUES ? 0 : median(sorted, count);
}

void load_slowdown_add_pair(load_slowdown_t *slowdown, uint32_t work_us, unsigned load,
                            uint32_t earlier_us, unsigned earlier_load) {
    unsigned difference = load > earlier_load ? load - earlier_load : earlier_load - load;
    if (difference < MIN_LOAD_DIFFERENCE)
        return;
    double load_difference = (double)load - earlier_load;
    double relative_difference =
        2 * ((double)work_us - earlier_us) / ((double)work_us + earlier_us);
    slowdown->products = slowdown->products * PAIR_DECAY + relative_difference * load_difference;
    slowdown->squares = slowdown->squares * PAIR_DECAY + load_difference * load_difference;
}

/** Relative slowdown per concurrent call; 0 while there are too few pairs, less than some 50. */
static double slope(const load_slowdown_t *slowdown) {
    if (slowdown->squares < MIN_SQUARES || slowdown->products < 0)
        return 0;
    double share = slowdown->products / slowdown->squares;
    return share > MAX_SLOPE ? MAX_SLOPE : share;
}

uint32_t load_slowdown_normalize(const load_slowdown_t *slowdown, uint32_t work_us, unsigned load) {
    return (uint32_t)(work_us * exp(-slope(slowdown) * load));
}

void work_spread_record(sample_window_t *spread, uint32_t work_us, uint32_t earlier_us) {
    uint32_t difference = work_us > earlier_us ? work_us - earlier_us : earlier_us - work_us;
    uint64_t sum = (uint64_t)work_us + earlier_us;
    if (sum > 0)
        sample_window_add(spread, (uint32_t)(2 * (uint64_t)difference * THOUSAND / sum));
}

unsigned speed_estimate_weight(const speed_estimate_t *estimate, uint64_t now) {
    uint64_t age = now > estimate->at ? now - estimate->at : 0;
    if (age >= SPEED_ESTIMATE_EXPIRY_MS || estimate->work_us == 0)
        return 0;
    return min_unsigned(estimate->samples, MAX_WEIGHT) >> (age / SPEED_ESTIMATE_HALF_LIFE_MS);
}

speed_estimate_t speed_estimate_merge(const speed_estimate_t *estimates, unsigned count,
                                      uint64_t now) {
    const speed_estimate_t *sorted[BACKEND_REPORTERS_MAX + 1];
    speed_estimate_t merged = {0};
    unsigned used = 0;
    for (unsigned i = 0; i < count && used <= BACKEND_REPORTERS_MAX; i++) {
        unsigned weight = speed_estimate_weight(&estimates[i], now);
        if (weight == 0)
            continue;
        unsigned position = used++;
        for (; position > 0 && sorted[position - 1]->work_us > estimates[i].work_us; position--)
            sorted[position] = sorted[position - 1];
        sorted[position] = &estimates[i];
        merged.samples += weight;
        merged.at = estimates[i].at > merged.at ? estimates[i].at : merged.at;
    }
    unsigned below = 0;
    for (unsigned i = 0; i < used && 2 * below < merged.samples; i++) {
        merged.work_us = sorted[i]->work_us;
        below += speed_estimate_weight(sorted[i], now);
    }
    return merged;
}

bool speed_estimate_is_usable(const speed_estimate_t *estimate, uint64_t now) {
    bool expired = now >= estimate->at + SPEED_ESTIMATE_EXPIRY_MS;
    return !expired && estimate->work_us > 0 && estimate->samples >= MIN_SAMPLES;
}

static int compare_uint32(const void *a, const void *b) {
    uint32_t first = *(const uint32_t *)a;
    uint32_t second = *(const uint32_t *)b;
    return (first > second) - (first < second);
}

uint32_t backend_speed_typical_us(uint32_t *works_us, unsigned count) {
    if (count < MIN_BACKENDS)
        return 0;
    qsort(works_us, count, sizeof *works_us, compare_uint32);
    return works_us[(count - 1) / 2];
}

/**
 * Ratio to the typical time from which a difference is statistically significant. The standard
 * error of the median of n exponentially distributed samples is 1.44 times their median over
 * sqrt(n). The median difference of two normally distributed samples is 0.95 standard deviations.
 */
static double significance_ratio(const speed_estimate_t *estimate, const sample_window_t *spread) {
    uint32_t difference = sample_window_median(spread);
    double deviation = spread->total_samples < MIN_VALUES ? DEFAULT_DEVIATION : difference / 950.0;
    return 1 + SIGNIFICANT_DEVIATIONS * MEDIAN_ERROR_FACTOR * deviation / sqrt(estimate->samples);
}

unsigned backend_speed_percent(const speed_estimate_t *estimate, uint32_t typical_us,
                               const sample_window_t *spread, uint64_t now) {
    if (typical_us == 0 || !speed_estimate_is_usable(estimate, now))
        return BACKEND_SPEED_TYPICAL_PERCENT;
    double ratio = (double)estimate->work_us / typical_us;
    double threshold = significance_ratio(estimate, spread);
    if (ratio < threshold && ratio > 1 / threshold)
        return BACKEND_SPEED_TYPICAL_PERCENT;
    uint64_t percent = (uint64_t)typical_us * PERCENT / estimate->work_us;
    if (percent < BACKEND_SPEED_MIN_PERCENT)
        return BACKEND_SPEED_MIN_PERCENT;
    return percent > BACKEND_SPEED_MAX_PERCENT ? BACKEND_SPEED_MAX_PERCENT : (unsigned)percent;
}
