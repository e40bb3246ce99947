/**
 * @file open_sends.h
 * Requests that gateways are about to send, or have sent, and whose end is not known. A gateway
 * that is lost or stands still can't report that a back end has ended, so that an open send counts
 * as a crash under its request (crash_history.h) for the attempts that follow, until it ends. What
 * a gateway itself has open does not count for its own sends, since it knows what became of it:
 * equal requests of many callers are open there side by side.
 *
 * A send that its call has left may still be run, which its gateway watches (left_sends.h). It
 * counts only if that gateway is lost meanwhile. Those that are in a node's log outlast its
 * restart, and so does their end.
 *
 * Decision code: no I/O, clock or threads. Times are in ms.
 */
#ifndef RUDDERWAY_CORE_RETRY_OPEN_SENDS_H
#define RUDDERWAY_CORE_RETRY_OPEN_SENDS_H

#include "core/retry/crash_history.h"

enum { OPEN_SENDS_MAX = 20000 /**< About 2 MB; the oldest go first. */ };

typedef struct open_sends open_sends_t;

/** A send that has ended. */
typedef struct {
    crash_report_t crash; /**< As which it counted, if it did. */
    bool counted;
    bool logged;
} ended_send_t;

open_sends_t *open_sends_new(void);
void open_sends_free(open_sends_t *sends);
/**
 * @p send: hash of the caller's attempt; @p gateway: serial of its gateway's connection, 0 if that
 * is over. False if it is open already, and in the log or not to be @p logged.
 */
bool open_sends_begin(open_sends_t *sends, uint64_t request, uint64_t send, uint64_t gateway,
                      bool logged, uint64_t now);
/** What a gateway tells of a send that its call has left. */
typedef struct {
    uint64_t request;
    uint64_t send;
    uint16_t backend; /**< As in crash_report_t, so that its end counts once. */
    uint64_t gateway; /**< Serial of its connection. */
    uint64_t at;      /**< When that was told last. */
    uint64_t until;   /**< The back end may run it until then. */
} left_send_report_t;

/**
 * The call of a send has left it at @p now. True if it had counted already, since its gateway
 * seemed lost: then @p crash is to be withdrawn.
 */
bool open_sends_leave(open_sends_t *sends, const left_send_report_t *left, uint64_t now,
                      crash_report_t *crash);
/**
 * Appends what calls of other gateways than @p gateway have left of the request, and may still be
 * run, to @p list, of left_send_report_t; not what counts as a crash.
 */
void open_sends_list_left(const open_sends_t *sends, uint64_t request, uint64_t gateway,
                          uint64_t now, GArray *list);
/** The connection of a gateway is over: what its calls have left is watched by nobody. */
void open_sends_lose_gateway(open_sends_t *sends, uint64_t gateway, uint64_t now);
/** Ends a send; false if it is not open. */
bool open_sends_end(open_sends_t *sends, uint64_t send, ended_send_t *ended);
/**
 * Counts the open sends of @p request other than @p send, of other gateways than @p gateway, and
 * those that were left by gateways that are lost, as crashes. Appends those that did not count
 * before to @p crashes, of crash_report_t.
 */
void open_sends_count(open_sends_t *sends, uint64_t request, uint64_t send, uint64_t gateway,
                      uint64_t now, GArray *crashes);

#endif
