/**
 * @file crash_exposure.h
 * How many back ends a request has ended or may still end: those that ended under it
 * (crash_history.h), and those that its calls have left and that may still run it (left_sends.h).
 * Each of the latter may end as well, so that a request under which a back end has ended is sent to
 * one more only if that keeps the sum within CRASHES_MAX. A request under which none has ended is
 * not limited by what it has left.
 *
 * Decision code: no I/O, clock or threads. Times are in ms.
 */
#ifndef RUDDERWAY_CORE_RETRY_CRASH_EXPOSURE_H
#define RUDDERWAY_CORE_RETRY_CRASH_EXPOSURE_H

#include "core/retry/crash_history.h"

typedef struct {
    const crash_history_t *history;
    uint64_t request;
    const GArray *left; /**< Of left_send_t: the request's, whose time is not over. */
    uint64_t now;
} crash_exposure_t;

/**
 * Number of the request's crashes, and, if a back end has ended, not only been left, also of the
 * back ends that may still run the request, other than @p except, a back end's hash; 0: none is
 * left out.
 */
unsigned crash_exposure_count(const crash_exposure_t *exposure, uint64_t except);
/** Time until crash_exposure_count of all is less than CRASHES_MAX; 0: now. */
uint32_t crash_exposure_wait_ms(const crash_exposure_t *exposure);

#endif
