/**
 * @file shutdown_schedule.h
 * Phases of a graceful shutdown, derived from its grace period, and which calls may still begin.
 *
 * A call that is cut off at the end may have run, and one that may not be repeated is then lost to
 * its caller, while a refused call goes to another gateway at once. A call that may not be repeated
 * is therefore accepted only if its deadline passes before the calls in progress are ended. One
 * that may be repeated is accepted early in the grace period as well: most calls end long before
 * their deadlines.
 *
 * Decision code: no I/O, clock or threads. Times are in ms since the stop signal.
 */
#ifndef RUDDERWAY_CORE_SHUTDOWN_SHUTDOWN_SCHEDULE_H
#define RUDDERWAY_CORE_SHUTDOWN_SHUTDOWN_SCHEDULE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    uint64_t close_idle_ms; /**< Then new connections are refused and idle ones closed. */
    uint64_t accept_ms;     /**< Until then any repeatable call may begin. */
    uint64_t end_calls_ms;  /**< Then calls in progress get a final response. */
    uint64_t exit_ms;       /**< Then the process exits, even with open connections. */
} shutdown_schedule_t;

/** The phases of a shutdown that may take @p grace_ms. */
shutdown_schedule_t shutdown_schedule(uint64_t grace_ms);

/** True if a call may begin at @p now_ms; @p deadline_ms is when it ends at the latest. */
bool shutdown_accepts_call(const shutdown_schedule_t *schedule, uint64_t now_ms,
                           uint64_t deadline_ms, bool repeatable);

#endif
