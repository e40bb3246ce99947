/**
 * @file answer_time.h
 * Tracks the typical response time of a route and derives when a response is late.
 *
 * A retryable call whose response is late is sent again, so that a lost response does not use up
 * the caller's deadline. The threshold is computed from an EWMA of the mean and the mean
 * deviation, as for TCP retransmission timeouts (RFC 6298).
 *
 * Decision code: no I/O, clock or threads; an object belongs to one thread. Times are in ms.
 */
#ifndef RUDDERWAY_CORE_RETRY_ANSWER_TIME_H
#define RUDDERWAY_CORE_RETRY_ANSWER_TIME_H

#include <stdint.h>

typedef struct {
    double mean;
    double deviation;
    uint32_t answers; /**< Number of samples; not counted further once there are enough. */
} answer_time_t;

/** Records a response time of @p ms. */
void answer_time_record(answer_time_t *time, uint32_t ms);
/** Threshold above which a response is late; UINT32_MAX until there are enough samples. */
uint32_t answer_time_late_ms(const answer_time_t *time);

#endif
