#include "core/retry/answer_time.h"

#include <math.h>

enum {
    MIN_SAMPLES = 8,
    LATE_MIN_MS = 250,   /**< Shorter delays may be scheduling pauses. */
    LATE_DEVIATIONS = 8, /**< More than the 4 of RFC 6298, to add no load to a busy server. */
};
static const double MEAN_GAIN = 0.125;
static const double DEVIATION_GAIN = 0.25;

void answer_time_record(answer_time_t *time, uint32_t ms) {
    if (time->answers == 0) {
        time->mean = ms;
        time->deviation = ms / 2.0;
    } else {
        time->deviation += DEVIATION_GAIN * (fabs(ms - time->mean) - time->deviation);
        time->mean += MEAN_GAIN * (ms - time->mean);
    }
    if (time->answers < MIN_SAMPLES)
        time->answers++;
}

uint32_t answer_time_late_ms(const answer_time_t *time) {
    if (time->answers < MIN_SAMPLES)
        return UINT32_MAX;
    return (uint32_t)fmax(LATE_MIN_MS, time->mean + LATE_DEVIATIONS * time->deviation);
}
