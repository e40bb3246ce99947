/**
 * @file answer_time.h
 * How long the answers of one route usually take, and when one is late.
 *
 * A call that may run again and whose answer is late is sent once more: an answer that was lost on
 * its way never comes, and the caller's time runs out. Late is more than any usual answer takes:
 * mean and mean deviation are followed as for the time-outs of TCP (RFC 6298). On a deployment
 * whose servers lose one answer in twenty for five seconds, 28 of 63 programs that failed in a day
 * had waited 1,150 ms for such an answer; one in a thousand usual answers takes 147 ms there.
 *
 * Decision code: no I/O, clock or thread; an object belongs to one thread. Times are in ms.
 */
#ifndef RUDDERWAY_CORE_RETRY_ANSWER_TIME_H
#define RUDDERWAY_CORE_RETRY_ANSWER_TIME_H

#include <stdint.h>

typedef struct {
    double mean;
    double deviation;
    uint32_t answers; /**< Seen so far. */
} answer_time_t;

/** Notes that an answer took @p ms. */
void answer_time_note(answer_time_t *time, uint32_t ms);
/** An answer that takes longer is late; UINT32_MAX while too few are known to tell. */
uint32_t answer_time_late_ms(const answer_time_t *time);

#endif
