/**
 * @file http_client.h
 * One connection to an HTTP server, on the event loop: one request at a time, its answer in
 * pieces as they come. Nothing is ever sent a second time behind the caller's back.
 *
 * What a caller must know of a failure is whether the server may have seen the request; see
 * http_failure_t. An idle connection that becomes readable has bytes that belong to no request,
 * or has ended: it is closed and reported with `on_idle_closed`.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_NET_HTTP_CLIENT_H
#define RUDDERWAY_NET_HTTP_CLIENT_H

#include "net/http_headers.h"

#include <stdint.h>
#include <uv.h>

typedef struct http_client http_client_t;

/** Why an exchange ended without a whole answer. */
typedef enum {
    HTTP_FAILURE_NOT_SENT,  /**< No byte of the request left this process. */
    HTTP_FAILURE_NO_ANSWER, /**< Sent at least in part; no byte of an answer came. */
    HTTP_FAILURE_BROKEN,    /**< The answer broke off or was not HTTP. */
    HTTP_FAILURE_TOO_LONG,  /**< The head, or interim heads, exceeded ANSWER_HEAD_MAX_BYTES. */
} http_failure_t;

/** The head of an answer; valid during the callback only. */
typedef struct {
    unsigned status;
    const http_headers_t *headers;
} http_answer_head_t;

/** Callbacks of one exchange. After on_complete or on_failed none comes any more. */
typedef struct {
    /** The head is complete. False: the answer is not wanted; the connection is closed. */
    bool (*on_head)(void *user, const http_answer_head_t *head);
    void (*on_body)(void *user, const char *data, size_t length);
    /** The whole answer was read. The connection is idle, or closed if it can't be kept. */
    void (*on_complete)(void *user);
    void (*on_failed)(void *user, http_failure_t failure);
} http_exchange_handler_t;

/**
 * Opens a connection to @p address; @p on_idle_closed says that an idle one has ended. NULL if it
 * cannot even be tried, for want of a descriptor for example.
 */
http_client_t *http_client_open(uv_loop_t *loop, const struct sockaddr_in *address,
                                void (*on_idle_closed)(void *owner, http_client_t *client),
                                void *owner);

/** Sends a whole request, now or once connected. The connection must be idle. */
void http_client_send(http_client_t *client, GString *request, bool head_request,
                      const http_exchange_handler_t *handler, void *user);
/**
 * As http_client_send(), for a request whose body is in @p body (of GBytes), after its head in
 * @p head. The body is not copied; takes over both.
 */
void http_client_send_parts(http_client_t *client, GString *head, GPtrArray *body,
                            bool head_request, const http_exchange_handler_t *handler, void *user);

/**
 * Stops reading the answer, so that the server is held up; what was read already still comes.
 * Nothing is learned of the connection's end meanwhile.
 */
void http_client_pause(http_client_t *client);
void http_client_resume(http_client_t *client);

/**
 * Makes a new connection, on which nothing was sent, reusable, with another callback for its end
 * while it is idle.
 */
void http_client_keep(http_client_t *client,
                      void (*on_idle_closed)(void *owner, http_client_t *client), void *owner);
/** True once the connection is up. */
bool http_client_connected(const http_client_t *client);
/** True if the last answer allows another request on this connection. */
bool http_client_reusable(const http_client_t *client);
/**
 * True if the latest answer told no length and ended with its connection, so that a server which
 * broke off can't be told from one that had finished. Valid during on_complete.
 */
bool http_client_answer_ended_by_close(const http_client_t *client);
/** The loop time until which the server keeps the idle connection, with a margin; ms. */
uint64_t http_client_idle_until(const http_client_t *client);
/** Closes the idle connection at that time, which is reported as its end, unless it is used. */
void http_client_limit_idle_time(http_client_t *client);
/** Loop time in ms at which the connection first brought anything; 0: it has not yet. */
uint64_t http_client_first_received_at(const http_client_t *client);

/** Closes the connection at any moment; no callback comes any more, the memory goes later. */
void http_client_close(http_client_t *client);

#endif
