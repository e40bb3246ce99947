/**
 * @file http_caller.h
 * A caller's connection, shared by the files of the HTTP listener; nobody else includes it.
 *
 * - http_listener.c: the listening socket, and what concerns all connections;
 * - http_caller.c: a connection's states, its timer, reading, and its end;
 * - http_request_parser.c: requests from bytes;
 * - http_answer.c: answers into bytes;
 * - http_caller_memory.c: what a connection holds;
 * - http_caller_presence.c: callers that have ended their side.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_NET_HTTP_CALLER_H
#define RUDDERWAY_NET_HTTP_CALLER_H

#include "net/http_listener.h"

#include <http_parser.h>

struct http_listener {
    uv_tcp_t tcp;
    uv_loop_t *loop;
    http_limits_t limits;
    const http_listener_handler_t *handler;
    void *owner;
    GHashTable *callers;
    memory_account_t *account; /**< NULL: nothing is counted. */
    GQueue unfinished; /**< Of http_caller_t: begun requests that hold a body or a large head, the
                            one whose latest progress is oldest first. */
    GQueue waiting; /**< Of http_caller_t: connections whose request is not whole, the one longest
                         without a new request first. */
    unsigned connections_max;
    unsigned active;
    size_t unsent_bytes; /**< See http_listener_unsent_bytes. */
    bool close_after_answers;
};

/** What may wait unread is memory of the machine. Large bodies get more; see http_caller_hold(). */
enum { RECEIVE_BUFFER_BYTES = 8 * 1024 };

typedef enum {
    CALLER_READING,
    CALLER_ANSWERING,
    CALLER_WRITING,   /**< The answer has ended; some of it waits to be written. */
    CALLER_LINGERING, /**< The last answer is written; the caller has not closed its side. */
    CALLER_CLOSING,
} caller_state_t;

struct http_caller {
    uv_tcp_t tcp;
    bool close_after_answer;
    uv_timer_t timer;
    uv_shutdown_t shutdown;
    http_listener_t *listener;
    caller_state_t state;
    unsigned open_handles;
    bool begun;   /**< A byte of the request was read. */
    bool serving; /**< serve_bytes() goes on with the next request. */
    bool too_large;
    bool head_too_large;
    bool out_of_memory; /**< What the caller sends can't be held. */
    bool drops_ahead;   /**< What it sends ahead is dropped; the connection ends with the answer. */
    bool chunked;
    bool keep;   /**< The connection may serve another request. */
    bool broken; /**< A write failed; the timer reports the end outside the owner's call. */
    bool ends_with_connection; /**< The answer has no other mark of its end. */
    bool head_written;         /**< The answer's head; its body goes on in pieces. */
    bool input_ended;          /**< The caller has ended its side. */
    bool asked_if_gone;        /**< The end of the caller's side was noticed under this request. */
    unsigned early_bytes;      /**< Of the status line, written before the others. */
    unsigned checks;           /**< For a reset, since the caller ended its side. */
    uint64_t accepted_at;
    unsigned pending_writes;
    size_t untaken; /**< When last counted; 0 if the kernel took the answer at once. */
    uint64_t last_taken_at;
    size_t unserved; /**< Bytes behind the request that serve_bytes() delivers. */
    http_parser parser;
    http_headers_t headers;
    GString *target;
    GString *body;
    GBytes *body_bytes; /**< The body of the request that is being answered. */
    GString *ahead;
    size_t held;       /**< In the account, for the request that is read or answered. */
    size_t ahead_held; /**< In the account, for `ahead`. */
    GList waiting_link;
    bool is_waiting; /**< The link stands in the listener's queue. */
    GList unfinished_link;
    bool is_unfinished;     /**< The link stands in the listener's queue. */
    bool has_large_buffer;  /**< Its socket may hold more unread; counted in `held`. */
    size_t progress_held;   /**< `held` at the latest progress. */
    uint64_t progressed_at; /**< Loop time, ms. */
    http_request_t request;
    void *data;
};

http_caller_t *http_caller_new(http_listener_t *listener);
/** Begins to read requests of a connection that has been accepted. */
void http_caller_serve(http_caller_t *caller);
/** Ends the connection; an answer whose end it would be ends with a reset. */
void http_caller_close(http_caller_t *caller);
void http_caller_end_connection(http_caller_t *caller, bool reset);
/** The peer ended the connection: tells the owner if it waits for an answer. */
void http_caller_lost(http_caller_t *caller);
/** Ends the connection of a caller that has ended its side once its last answer has arrived. */
void http_caller_end_after_arrival(http_caller_t *caller);
/** The answer is written: makes the connection ready for the next request, or ends it. */
void http_caller_end_or_keep(http_caller_t *caller);
void http_caller_arm_timer(http_caller_t *caller, uint64_t ms);
/** True if a request was delivered whose answer the kernel has not taken to its end. */
bool http_caller_is_unwritten(const http_caller_t *caller);
/** Bytes written for the caller that its side has not acknowledged. */
size_t http_caller_count_untaken(const http_caller_t *caller);
/** What waits to be read: above 0 bytes of the next request, 0 the end of the caller's side. */
ssize_t http_caller_peek(const http_caller_t *caller);

/* http_caller_memory.c */

/**
 * Counts @p bytes more of the request that is being read; false if they can't be held, and the
 * request is to be refused.
 */
bool http_caller_hold(http_caller_t *caller, size_t bytes);
/** As http_caller_hold(), for @p length bytes that will be appended to the body. */
bool http_caller_hold_body(http_caller_t *caller, size_t length);
/** The connection waits for a request, or its request has begun to arrive. */
void http_caller_begin_wait(http_caller_t *caller);
/** Its request is whole, or the connection ends. */
void http_caller_end_wait(http_caller_t *caller);
/** Ends connections that wait, if there are more than the process may have descriptors for. */
void http_listener_limit_connections(http_listener_t *listener);
/** False if a request of @p bytes could not be held now. */
bool http_caller_may_hold(http_caller_t *caller, uint64_t bytes);
/** The request is whole: hands its body over to `body_bytes`. */
void http_caller_keep_body(http_caller_t *caller);
/** Frees the request that was read or answered. */
void http_caller_drop_request(http_caller_t *caller);
/** Keeps bytes that came ahead of the answer, or drops them and all others if they can't be held.
 */
void http_caller_keep_ahead(http_caller_t *caller, const char *data, size_t length);
/** Removes the first @p length bytes that came ahead. */
void http_caller_drop_ahead(http_caller_t *caller, size_t length);
/** Fields of an answer to a request that could not be held. Free with g_free(). */
char *http_caller_retry_fields(void);

/** Callbacks of http_caller_t.parser, whose data is the caller. */
extern const http_parser_settings http_request_parser_settings;

/** What each answer begins with. */
extern const char http_status_line_begin[];
/**
 * Writes and takes over @p bytes. False if the caller is lost, as reported to the owner later; also
 * if bytes that the kernel does not take at once exceed the account.
 */
bool http_caller_write(http_caller_t *caller, GString *bytes);

/** The caller has ended its side. */
void http_caller_input_ended(http_caller_t *caller);
/** The timer's work while the answer of a caller that has ended its side is due. */
void http_caller_check_presence(http_caller_t *caller);
/** Bytes of the answer were written: a caller that is gone resets them. */
void http_caller_await_reset(http_caller_t *caller);

#endif
