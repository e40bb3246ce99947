/**
 * @file backend_check.h
 * Finds out by new connections whether a back end can be reached. One that comes up shows that it
 * can, though not that the process of before still runs (backend_survival.h); two that are refused
 * show that it has ended. Two that time out may have been delayed here while the back end runs its
 * calls: further ones, the controls, go to the back ends that last sent something, and only if one
 * of these comes up is the first one unreachable. Several, since one of them may have ended as
 * well. Nothing is sent on any of them.
 *
 * One that comes up and is closed at once shows nothing, since a process that ends closes what it
 * has not accepted yet; the next one decides.
 *
 * A connection that comes up is kept for calls: the check mostly replaces one that was closed.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_BACKEND_CHECK_H
#define RUDDERWAY_GATEWAY_BACKEND_CHECK_H

#include "gateway/backends.h"

typedef struct backend_check backend_check_t;

typedef enum {
    BACKEND_CHECK_ACCEPTS, /**< A connection came up. */
    BACKEND_CHECK_ENDED,
    BACKEND_CHECK_UNREACHABLE,
    BACKEND_CHECK_DOUBTFUL, /**< No connection came up, to other back ends neither. */
} backend_check_result_t;

typedef struct {
    /** The check has no result yet, though a back end in reach would have answered. May be NULL. */
    void (*on_slow)(void *owner);
    /** The check is over, after @p ms, and is freed after this call. */
    void (*on_result)(void *owner, backend_check_result_t result, uint64_t ms);
} backend_check_handler_t;

/** Begins a check, whose callbacks come later. */
backend_check_t *backend_check_begin(const backend_t *backend,
                                     const backend_check_handler_t *handler, void *owner);
/** Ends a check without a callback. */
void backend_check_cancel(backend_check_t *check);

#endif
