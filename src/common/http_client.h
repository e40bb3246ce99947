/**
 * @file http_client.h
 * HTTP requests with a deadline, on neon.
 *
 * A failure says what is known: CANNOT_CONNECT if no connection came about, so that nothing
 * was sent; TIMED_OUT and CONNECTION_LOST if something may have been. neon sends a request
 * again by itself when a kept connection turns out to be closed; so connections are reused
 * only for requests that the caller marks as safe to repeat.
 *
 * Thread safety: an http_client_t may be used by any number of threads; calls block.
 */
#ifndef RUDDERWAY_COMMON_HTTP_CLIENT_H
#define RUDDERWAY_COMMON_HTTP_CLIENT_H

#include "common/error.h"

#include <stdbool.h>
#include <stdint.h>

typedef struct http_client http_client_t;

/** Receives a piece of the answer's body; false aborts the call. */
typedef bool (*http_chunk_t)(void *context, const char *data, size_t length);

typedef struct {
    const char *address; /**< IP number. */
    uint32_t port;
    const char *method;
    const char *path;
    const char *authorization; /**< Bearer token, or NULL. */
    const char *request_id;    /**< Sent as X-Request-Id, or NULL. */
    const char *body;          /**< JSON text, or NULL. */
    size_t body_length;
    int64_t timeout_ms;    /**< For the whole call. */
    bool repeatable;       /**< May be sent again on a fresh connection. */
    http_chunk_t on_chunk; /**< For a 200 answer; NULL: it is collected. */
    void *context;
} http_call_t;

typedef struct {
    unsigned status;
    GBytes *body; /**< Collected answer; empty if on_chunk took it. */
} http_answer_t;

http_client_t *http_client_new(void);
void http_client_free(http_client_t *client);

/** Sends the request and reads the whole answer. Any HTTP status counts as an answer. */
bool http_client_call(http_client_t *client, const http_call_t *call, http_answer_t *answer,
                      GError **error);
void http_answer_clear(http_answer_t *answer);

#endif
