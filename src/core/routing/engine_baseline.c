#include "core/routing/engine_baseline.h"

#include <glib.h>

enum {
    PERCENT = 100,
    STEP_DIVISOR = 16, /**< A sample moves the median by 1/16 of the median. */
    MIN_SAMPLES = 8,
    MIN_REREAD_TOKENS = 500, /**< The processing time of fewer tokens is too short to measure. */
    TURN_DEFAULT_MS = 100,
    TURN_MIN_MS = 5,
    TURN_MAX_MS = 20000,
    TOKENS_PER_MS_DEFAULT = 100,
    TOKENS_PER_MS_MIN = 1,
    TOKENS_PER_MS_MAX = 2000,
};

static void add_sample(running_median_t *median, double sample) {
    if (median->samples == 0)
        median->value = sample;
    else if (sample > median->value)
        median->value += median->value / STEP_DIVISOR;
    else if (sample < median->value)
        median->value -= median->value / STEP_DIVISOR;
    median->samples++;
}

static double value_or(const running_median_t *median, double fallback) {
    return median->samples < MIN_SAMPLES ? fallback : median->value;
}

static double normalize_ms(double ms, unsigned speed_percent) {
    return MAX(ms, 1) * speed_percent / PERCENT;
}

void engine_baseline_record_turn(engine_baseline_t *baseline, double ms, unsigned speed_percent) {
    add_sample(&baseline->turn_ms,
               CLAMP(normalize_ms(ms, speed_percent), TURN_MIN_MS, TURN_MAX_MS));
}

void engine_baseline_record_first_event_time(engine_baseline_t *baseline, double ms,
                                             uint32_t reread_tokens, unsigned speed_percent) {
    double typical_ms = normalize_ms(ms, speed_percent);
    if (reread_tokens == 0) {
        add_sample(&baseline->first_event_ms, typical_ms);
        return;
    }
    if (reread_tokens < MIN_REREAD_TOKENS || baseline->first_event_ms.samples < MIN_SAMPLES)
        return;
    double reread_ms = MAX(typical_ms - baseline->first_event_ms.value, 1);
    add_sample(&baseline->tokens_per_ms,
               CLAMP(reread_tokens / reread_ms, TOKENS_PER_MS_MIN, TOKENS_PER_MS_MAX));
}

double engine_baseline_turn_ms(const engine_baseline_t *baseline) {
    return value_or(&baseline->turn_ms, TURN_DEFAULT_MS);
}

double engine_baseline_tokens_per_ms(const engine_baseline_t *baseline) {
    return value_or(&baseline->tokens_per_ms, TOKENS_PER_MS_DEFAULT);
}

void engine_baseline_record_refused(engine_baseline_t *baseline, unsigned load, unsigned slots) {
    if (load >= slots)
        add_sample(&baseline->refused_percent, (double)load * PERCENT / slots);
}

void engine_baseline_record_accepted(engine_baseline_t *baseline, unsigned load, unsigned slots) {
    double percent = (double)(load + 1) * PERCENT / slots;
    if (baseline->refused_percent.samples > 0 && percent > baseline->refused_percent.value)
        add_sample(&baseline->refused_percent, percent);
}

unsigned engine_baseline_queue(const engine_baseline_t *baseline, unsigned slots) {
    unsigned limit = (unsigned)(baseline->refused_percent.value * slots / PERCENT + 0.5);
    return baseline->refused_percent.samples == 0 ? 0 : MAX(limit, slots + 1) - slots;
}
