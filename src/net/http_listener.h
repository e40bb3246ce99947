/**
 * @file http_listener.h
 * HTTP/1.1 towards callers, on the event loop: whole requests in, answers out at once or in
 * pieces. One request at a time a connection; a caller that goes away is reported at once.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_NET_HTTP_LISTENER_H
#define RUDDERWAY_NET_HTTP_LISTENER_H

#include "common/memory_account.h"
#include "net/http_headers.h"

#include <stdint.h>
#include <uv.h>

typedef struct http_listener http_listener_t;
typedef struct http_caller http_caller_t;

/** Bounds on what a caller may send and how long it may take. */
typedef struct {
    uint32_t header_bytes; /**< Of the target and all fields, trailers too. */
    uint64_t body_bytes;
    uint32_t header_timeout_ms;
    uint32_t idle_timeout_ms; /**< Without a request, or without taking bytes of an answer. */
} http_limits_t;

/** A whole request; owned by the connection until the answer has ended. */
typedef struct {
    const char *method;
    const char *target; /**< Path and query as sent; the host of an absolute one is in Host. */
    const http_headers_t *headers;
    const char *body;
    size_t body_length;
    GBytes *body_bytes; /**< The body, for those who keep it; NULL: there is none. */
    uint64_t begun_at;  /**< Loop time of its first byte, ms. */
} http_request_t;

typedef struct {
    void (*on_request)(void *owner, http_caller_t *caller, const http_request_t *request);
    /** The caller went away before its answer ended; the caller object is gone after this. */
    void (*on_gone)(void *owner, http_caller_t *caller);
    /** The caller has ended its side before its answer ended, and may read on. May be NULL. */
    void (*on_input_ended)(void *owner, http_caller_t *caller);
    /** Nothing waits to be written any more of an answer that goes on. May be NULL. */
    void (*on_drained)(void *owner, http_caller_t *caller);
} http_listener_handler_t;

/** Listens on @p address; NULL if that is not possible. */
http_listener_t *http_listener_open(uv_loop_t *loop, const struct sockaddr_in *address,
                                    const http_limits_t *limits,
                                    const http_listener_handler_t *handler, void *owner);
/** Bounds for requests that begin from now on. */
void http_listener_set_limits(http_listener_t *listener, const http_limits_t *limits);
/**
 * Counts what connections hold in @p account, which outlives the listener. When it is exhausted,
 * the unfinished request without progress for longest is refused with 503, or else the one that
 * needs more memory.
 */
void http_listener_set_account(http_listener_t *listener, memory_account_t *account);
/**
 * Allows @p most connections, if that is fewer than the part of the process's descriptors that a
 * listener may have by default. Above that, a new one replaces the one idle for longest.
 */
void http_listener_set_connections(http_listener_t *listener, unsigned most);
/** From now on each answer says that its connection ends after it. */
void http_listener_close_after_answers(http_listener_t *listener);
/**
 * Closes connections on which no request has begun, not even unread, and whose last answer has
 * arrived. One that has just come is left alone: its caller is about to send. Call it repeatedly.
 */
void http_listener_close_idle(http_listener_t *listener);
/**
 * Answers each request that has begun to arrive and is not whole; its owner never saw it. @p fields
 * as for http_caller_answer().
 */
void http_listener_refuse_unfinished(http_listener_t *listener, unsigned status,
                                     const char *fields);
/**
 * Resets each connection whose answer is not written whole, at once; its owner is told that the
 * caller is gone. For the end of the process: the kernel would end them as if they were whole.
 */
void http_listener_abort_unwritten(http_listener_t *listener);
/** Takes no new connections but those that wait to be accepted. */
void http_listener_stop(http_listener_t *listener);
/** Connections that are open; requests whose answer has not ended. */
unsigned http_listener_connections(const http_listener_t *listener);
/** Memory of answers that wait until their callers read, in bytes; what the kernel has taken is
 * not in there. */
size_t http_listener_unsent_bytes(const http_listener_t *listener);
unsigned http_listener_active(const http_listener_t *listener);
/** Of those, what waits until this caller reads. */
size_t http_caller_unsent_bytes(const http_caller_t *caller);

/** The connection is to end after this caller's answer, which says so; before it is answered. */
void http_caller_close_after_answer(http_caller_t *caller);
/**
 * True if the caller has ended its side, perhaps a moment ago, and it is not known yet whether it
 * reads on. on_input_ended() may come within the call, on_gone() does not.
 */
bool http_caller_may_be_gone(http_caller_t *caller);
/** A place for the owner's record of the request. */
void http_caller_set_data(http_caller_t *caller, void *data);
void *http_caller_data(const http_caller_t *caller);

/**
 * Answers at once. @p fields are whole header lines, each ended by CR LF, without those that
 * frame the message; may be NULL.
 */
void http_caller_answer(http_caller_t *caller, unsigned status, const char *fields,
                        const char *body, size_t length);
/**
 * As http_caller_answer(), for a @p body that is taken over and not copied. It has counted in the
 * account until just before, and goes on doing so until it is written.
 */
void http_caller_answer_string(http_caller_t *caller, unsigned status, const char *fields,
                               GString *body);
/** Begins an answer of unknown length; @p data may hold its first bytes. HEAD gets no bytes. */
void http_caller_begin(http_caller_t *caller, unsigned status, const char *fields, const char *data,
                       size_t length);
void http_caller_piece(http_caller_t *caller, const char *data, size_t length);
void http_caller_end(http_caller_t *caller);
/** Ends the connection so that a begun answer can't look complete. */
void http_caller_abort(http_caller_t *caller);

#endif
