/**
 * @file left_sends.h
 * Sends that calls have left before their back ends answered: the caller has gone, the time is
 * over, or the call was sent elsewhere. The back end may run the request for longer, so that its
 * end within that time may have been caused by it (crash_history.h).
 *
 * Decision code: no I/O, clock or threads. Times are in ms.
 */
#ifndef RUDDERWAY_CORE_RETRY_LEFT_SENDS_H
#define RUDDERWAY_CORE_RETRY_LEFT_SENDS_H

#include <glib.h>
#include <stdint.h>

enum {
    LEFT_SENDS_MAX = 1024,
    LEFT_SEND_MARGIN_MS = 1000, /**< A back end may run a request for longer than it was told. */
    /** Until a back end's silence breaks a connection; see the keep-alive of net/http_client.c. */
    LEFT_SEND_NOTICE_MS = 3500,
};

typedef struct {
    uint64_t request;
    uint64_t backend; /**< Hash of the back end. */
    uint64_t left_at;
    uint64_t until; /**< The back end was told to run the request until then at most. */
} left_send_t;

typedef struct left_sends left_sends_t;

/**
 * @p on_settled is called for each send that is removed before the back end's time is over; NULL:
 * nobody asks.
 */
left_sends_t *left_sends_new(void (*on_settled)(void *owner, const left_send_t *send), void *owner);
void left_sends_free(left_sends_t *sends);
/**
 * Adds a send that was left at @p now, whose back end was told to end it in @p run_ms. Sends of one
 * request to one back end are one entry, which is returned; beyond LEFT_SENDS_MAX the oldest goes.
 */
left_send_t left_sends_add(left_sends_t *sends, uint64_t request, uint64_t backend, uint64_t run_ms,
                           uint64_t now);
/** Adds an entry as left_sends_add does. */
left_send_t left_sends_put(left_sends_t *sends, const left_send_t *send, uint64_t now);
/** The end of the back end, given by the low bits of its hash, was counted under the request. */
void left_sends_remove(left_sends_t *sends, uint64_t request, uint16_t backend);
/** The request got a complete successful response. */
void left_sends_forget(left_sends_t *sends, uint64_t request);
/**
 * Removes the sends that may have ended the back end, and appends them to @p taken; they are not
 * settled.
 */
void left_sends_take(left_sends_t *sends, uint64_t backend, uint64_t now, GArray *taken);
/** Moves the request's entries at the back end, given by the low bits of its hash. */
void left_sends_move(left_sends_t *from, left_sends_t *to, uint64_t request, uint16_t backend,
                     uint64_t now);
/** Appends the sends that may have ended, or may end, the back end to @p list, of left_send_t. */
void left_sends_list_backend(const left_sends_t *sends, uint64_t backend, uint64_t now,
                             GArray *list);

/** Appends those whose time is not over to @p list, of left_send_t. */
void left_sends_list(const left_sends_t *sends, uint64_t now, GArray *list);
/** The same, of one request. */
void left_sends_list_request(const left_sends_t *sends, uint64_t request, uint64_t now,
                             GArray *list);

#endif
