/**
 * @file crash_check.h
 * Finds out by new connections whether a back end has ended. One that comes up shows that it is
 * alive, two that are refused that it has ended. Two that time out mean that it can't be reached,
 * unless one to another back end times out as well, or so many back ends of the service can't be
 * reached that the cause may be this gateway's network.
 *
 * A connection that comes up is kept for calls: the check mostly replaces one that was closed.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_CRASH_CHECK_H
#define RUDDERWAY_GATEWAY_CRASH_CHECK_H

#include "gateway/backends.h"

typedef struct crash_check crash_check_t;

typedef enum {
    CRASH_CHECK_ALIVE,
    CRASH_CHECK_ENDED,
    CRASH_CHECK_UNREACHABLE,
    CRASH_CHECK_DOUBTFUL, /**< It can't be told. */
} crash_check_result_t;

typedef struct {
    /** The check has no result yet, though a back end in reach would have answered. */
    void (*on_slow)(void *owner);
    /** The check is over, after @p ms, and is freed after this call. */
    void (*on_result)(void *owner, crash_check_result_t result, uint64_t ms);
} crash_check_handler_t;

/** Begins a check, whose callbacks come later. */
crash_check_t *crash_check_begin(const backend_t *backend, const crash_check_handler_t *handler,
                                 void *owner);

#endif
