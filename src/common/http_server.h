/**
 * @file http_server.h
 * An HTTP server on libmicrohttpd whose requests are answered later and from any thread.
 *
 * A request is handed to the handler once its body is complete, its connection suspended. The
 * owner then calls exactly one of http_respond, or http_stream_start followed by
 * http_stream_finish. Bodies are capped, and a client that sends half a request and falls
 * silent is cut off after the idle timeout without holding anyone else up.
 *
 * Thread safety: the handler runs on a server thread and must not block; the answering
 * functions may be called from any thread, for one request from one thread at a time.
 */
#ifndef RUDDERWAY_COMMON_HTTP_SERVER_H
#define RUDDERWAY_COMMON_HTTP_SERVER_H

#include "common/error.h"

#include <stdbool.h>
#include <stdint.h>

typedef struct http_server http_server_t;
typedef struct http_request http_request_t;

typedef void (*http_handler_t)(void *context, http_request_t *request);

typedef struct {
    const char *address; /**< IPv4 number to listen on. */
    uint16_t port;       /**< 0: the kernel chooses. */
    unsigned threads;
    unsigned connections_maximum;
    size_t body_maximum;   /**< Bytes. */
    unsigned idle_seconds; /**< Of a connection without progress. */
} http_server_options_t;

http_server_t *http_server_start(const http_server_options_t *options, http_handler_t handler,
                                 void *context, GError **error);
uint16_t http_server_port(const http_server_t *server);
/**
 * Requests handed to the handler that their owner has not given up or whose answer still has
 * bytes in the server. An answer whose client has gone has none.
 */
unsigned http_server_in_flight(const http_server_t *server);
/** New connections are refused from now on; open ones go on. To be stopped soon after. */
void http_server_quiesce(http_server_t *server);
/** Stops the server; every request must have been answered. */
void http_server_stop(http_server_t *server);

const char *http_request_method(const http_request_t *request);
const char *http_request_path(const http_request_t *request);
/** The decoded query parameter, or NULL. */
const char *http_request_query(const http_request_t *request, const char *name);
const char *http_request_header(const http_request_t *request, const char *name);
GBytes *http_request_body(const http_request_t *request);
/** True if the body was larger than the limit; it is then empty. */
bool http_request_body_too_large(const http_request_t *request);

/**
 * Answers whole and gives the request up. @p retry_after_ms over 0 adds Retry-After. Takes
 * ownership of @p body.
 */
void http_respond(http_request_t *request, unsigned status, const char *content_type, GBytes *body,
                  int64_t retry_after_ms);
/** Starts a streamed answer with status 200. */
void http_stream_start(http_request_t *request, const char *content_type);
/** Appends to a streamed answer; false if the client is gone. */
bool http_stream_write(http_request_t *request, const void *data, size_t length);
/** Ends a streamed answer and gives the request up. */
void http_stream_finish(http_request_t *request);

#endif
