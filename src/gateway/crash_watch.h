/**
 * @file crash_watch.h
 * Finds out whether a back end whose connection broke under a call has ended, and keeps the crashes
 * that this gateway and others have found; see core/retry/crash_history.h.
 *
 * New connections show that the back end has ended (backend_check.h): they are refused, or don't
 * come up. One that can't be reached does not count while so many of its service can't that the
 * cause may be the network. New connections that come up show nothing, since others than the
 * process may accept them. Then the suspicion stands until there is evidence of the process itself
 * (crash_suspicions.h), or for as long as a crash counts.
 *
 * A suspected crash counts, and storage nodes are told, before the call is sent again: its caller
 * may return at another gateway at once. Both are withdrawn if the back end turns out to be alive.
 * For a request that has succeeded lately (recent_successes.h) a crash counts once new connections
 * show it.
 *
 * A call that leaves a back end before it has answered is checked as well, without the call. There
 * the connection did not break, which the end of the process would have caused, so that a new one
 * that comes up does show that the back end is alive; storage nodes are told if the check is slow.
 * The back end may run the request for longer (left_sends.h). Meanwhile a connection to it that
 * breaks, under any request or idle, or another start time in its entry, counts as a connection
 * that broke under this one. If its entry goes without the announcement of a stop, as that of a
 * machine that fell silent, it is checked once more: some back ends serve on without an entry.
 *
 * Near its limit a request counts a back end that it has left until the back end can't run it any
 * more, so that it runs at one back end at a time. Before that, what the request's calls have left
 * at all gateways limits where it is sent (core/retry/crash_exposure.h).
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_CRASH_WATCH_H
#define RUDDERWAY_GATEWAY_CRASH_WATCH_H

#include "core/retry/crash_history.h"
#include "gateway/backends.h"
#include "gateway/load_sharing.h"
#include "gateway/store_client.h"

typedef struct crash_watch crash_watch_t;

typedef struct {
    uint64_t given_up; /**< Exchanges that calls gave up. */
    uint64_t checks;   /**< Checks of back ends. */
} crash_watch_counts_t;

/**
 * Reports crashes to other gateways by @p sharing and @p stores, which may be NULL, and receives
 * theirs, by which the versions of those of @p backends are in doubt.
 */
crash_watch_t *crash_watch_new(uv_loop_t *loop, backends_t *backends, load_sharing_t *sharing,
                               store_client_t *stores);
/**
 * Handles a MESSAGE_CRASH, MESSAGE_CRASH_WITHDRAWN, MESSAGE_REQUEST_STOPPED or MESSAGE_SEND_LEFT of
 * a storage node.
 */
void crash_watch_handle_message(crash_watch_t *watch, const message_t *message);
/** Sends a storage node that has connected the requests that are stopped, or about to be. */
void crash_watch_send_to_member(const crash_watch_t *watch, unsigned member);
/**
 * The connection to @p backend broke under @p request: counts as a crash while that is checked.
 * @p shared: equal requests of many callers have this id, of which several may meet the same end of
 * a back end, one after the other.
 */
void crash_watch_suspect(crash_watch_t *watch, uint64_t request, backend_t *backend, bool shared);
/**
 * The call gave its exchange with @p backend up, which may run the request for @p run_ms more: its
 * caller has left, its time is over, or it is sent elsewhere. If the back end is silent, it counts
 * as a crash while that is checked. @p shared as for crash_watch_suspect(): many callers may leave
 * slow back ends at once, which count only after one has ended.
 */
void crash_watch_give_up(crash_watch_t *watch, uint64_t request, const backend_t *backend,
                         uint64_t run_ms, bool shared);
/** Probes found @p backend unreachable under @p request. */
void crash_watch_record_unreachable(crash_watch_t *watch, uint64_t request, backend_t *backend);
/** The request got a complete successful response. */
void crash_watch_record_success(crash_watch_t *watch, uint64_t request);
/**
 * A program's request was refused because it is stopped: its caller is still there, so the stop is
 * renewed.
 */
void crash_watch_record_refused(crash_watch_t *watch, uint64_t request);
const crash_watch_counts_t *crash_watch_counts(const crash_watch_t *watch);
/** Number of back ends that have ended under the request. */
unsigned crash_watch_count(const crash_watch_t *watch, uint64_t request);
/**
 * Number of back ends that have ended under the request, and, if there are any, also of those that
 * its calls have left at any gateway and that may still run it (core/retry/crash_exposure.h), other
 * than @p except, which may be NULL.
 */
unsigned crash_watch_exposure(const crash_watch_t *watch, uint64_t request,
                              const backend_t *except);
/**
 * Time until the request may be sent, in ms; 0: now. A stop that rests on suspicions may end as
 * soon as these are settled.
 */
uint32_t crash_watch_wait_ms(const crash_watch_t *watch, uint64_t request);

#endif
