#include "core/retry/answer_time.h"

#include <math.h>

enum {
    ANSWERS_NEEDED = 8,
    LATE_LEAST_MS = 250, /**< Pauses of a machine without processor time are shorter. */
    DEVIATIONS = 8, /**< Twice as many as RFC 6298 has: a busy server must not get more work. */
};
static const double MEAN_GAIN = 0.125;
static const double DEVIATION_GAIN = 0.25;

void answer_time_note(answer_time_t *time, uint32_t ms) {
    if (time->answers == 0) {
        time->mean = ms;
        time->deviation = ms / 2.0;
    } else {
        time->deviation += DEVIATION_GAIN * (fabs(ms - time->mean) - time->deviation);
        time->mean += MEAN_GAIN * (ms - time->mean);
    }
    if (time->answers < ANSWERS_NEEDED)
        time->answers++;
}

uint32_t answer_time_late_ms(const answer_time_t *time) {
    if (time->answers < ANSWERS_NEEDED)
        return UINT32_MAX;
    return (uint32_t)fmax(LATE_LEAST_MS, time->mean + DEVIATIONS * time->deviation);
}
