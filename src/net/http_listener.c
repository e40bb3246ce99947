/*
 * Design. The connection goes on being read while its request is answered, so that a caller that
 * hangs up is seen at once; what a caller sends ahead waits, and past a bound reading rests.
 * After its last answer a connection is shut down for writing, and what its caller still sends is
 * dropped until the caller closes its side: a close with unread bytes would be a reset, which may
 * overtake the answer. It stays open until the answer has arrived, since the kernel's part of it
 * may be lost with the process. An answer that the kernel has not taken entirely keeps its
 * connection from being idle, and from serving what was sent ahead, for as long as its caller goes
 * on taking bytes.
 * A caller that ends its side may be gone or read on, which the end does not tell, but the peer of
 * a closed connection resets it once bytes come. Before its answer has begun, the first bytes of
 * the status line are sent early, one after another, until one can't be written. Within a body no
 * byte can be, since a cut after it could make the body look whole: a caller that ends its side
 * there counts as gone. One that reads on ends it with its last request.
 */
#include "net/http_listener.h"

#include "net/request_target.h"

#include <errno.h>
#include <http_parser.h>
#include <linux/sockios.h>
#include <string.h>
#include <strings.h>
#include <sys/ioctl.h>
#include <unistd.h>

enum {
    BACKLOG = 512,
    READ_BUFFER_BYTES = 65536,
    AHEAD_BYTES = 65536,            /**< Kept of what a caller sends before its answer. */
    UNSENT_BYTES = 4 * 1024 * 1024, /**< A caller that leaves more unread is cut off. */
    NEW_CALLER_MS = 300,            /**< Until then a new connection's first request is awaited. */
    REQUESTS_PER_TURN = 64,         /**< Of a connection; its other ones wait for the next turn. */
    NEXT_TURN_MS = 1,
    LINGER_MS = 300,      /**< A caller's time to close after its last answer. */
    SECOND_BYTE_MS = 20,  /**< Until the second early byte. */
    RESET_CHECK_MS = 100, /**< Between checks for a reset. */
    CHECKS_PER_BYTE = 5,  /**< The early bytes last for several seconds so. */
};

/** What each answer begins with. */
static const char status_line_begin[] = "HTTP/1.1 ";

struct http_listener {
    uv_tcp_t tcp;
    uv_loop_t *loop;
    http_limits_t limits;
    const http_listener_handler_t *handler;
    void *owner;
    GHashTable *callers;
    unsigned active;
    bool close_after_answers;
};

typedef enum {
    READING,
    ANSWERING,
    WRITING,   /**< The answer has ended; some of it waits to be written. */
    LINGERING, /**< The last answer is written; the caller has not closed its side. */
    CLOSING,
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
    GString *ahead;
    http_request_t request;
    void *data;
};

static char read_buffer[READ_BUFFER_BYTES];

static void read_ahead(http_caller_t *caller);

static void free_when_closed(uv_handle_t *handle) {
    http_caller_t *caller = handle->data;
    if (--caller->open_handles > 0)
        return;
    http_headers_clear(&caller->headers);
    g_string_free(caller->target, TRUE);
    g_string_free(caller->body, TRUE);
    g_string_free(caller->ahead, TRUE);
    g_free(caller);
}

/** True if a request was delivered whose answer the kernel has not taken to its end. */
static bool is_unwritten(const http_caller_t *caller) {
    return caller->state == ANSWERING || caller->state == WRITING;
}

static void end_connection(http_caller_t *caller, bool reset) {
    if (caller->state == CLOSING)
        return;
    if (caller->state == ANSWERING)
        caller->listener->active--;
    caller->state = CLOSING;
    g_hash_table_remove(caller->listener->callers, caller);
    if (!reset || uv_tcp_close_reset(&caller->tcp, free_when_closed) != 0)
        uv_close((uv_handle_t *)&caller->tcp, free_when_closed);
    uv_close((uv_handle_t *)&caller->timer, free_when_closed);
}

static void close_caller(http_caller_t *caller) {
    end_connection(caller, caller->ends_with_connection && is_unwritten(caller));
}

/** The peer ended the connection: tells the owner if it waits for an answer. */
static void caller_lost(http_caller_t *caller) {
    bool answering = caller->state == ANSWERING;
    if (caller->state == CLOSING)
        return;
    if (answering)
        caller->listener->handler->on_gone(caller->listener->owner, caller);
    close_caller(caller);
}

/** Bytes written for the caller that its side has not acknowledged. */
static size_t count_untaken(const http_caller_t *caller) {
    int in_kernel = 0;
    uv_os_fd_t descriptor;
    if (uv_fileno((const uv_handle_t *)&caller->tcp, &descriptor) != 0 ||
        ioctl(descriptor, SIOCOUTQ, &in_kernel) != 0)
        in_kernel = 0;
    return uv_stream_get_write_queue_size((const uv_stream_t *)&caller->tcp) + (size_t)in_kernel;
}

/** True if the caller has taken bytes of its answer since the last count. */
static bool has_taken_bytes(http_caller_t *caller) {
    size_t before = caller->untaken;
    if (before == 0)
        return false;
    caller->untaken = count_untaken(caller);
    if (caller->untaken >= before)
        return false;
    caller->last_taken_at = uv_now(caller->listener->loop);
    return true;
}

/** True if some of the last answer is still on its way to a caller that goes on taking it. */
static bool is_arriving(const http_caller_t *caller) {
    uint64_t resting = uv_now(caller->listener->loop) - caller->last_taken_at;
    return caller->state == LINGERING && caller->untaken > 0 &&
           resting < caller->listener->limits.idle_timeout_ms;
}

/** True if bytes of the next request have come that were not read yet. */
static bool has_unread_bytes(const http_caller_t *caller) {
    uv_os_fd_t descriptor;
    char byte;
    return uv_fileno((const uv_handle_t *)&caller->tcp, &descriptor) == 0 &&
           recv(descriptor, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/** True if requests could be served that were left for the next turn of the loop. */
static bool waits_for_turn(const http_caller_t *caller) {
    return caller->state == READING && caller->ahead->len > 0;
}

static void arm_timer(http_caller_t *caller, uint64_t ms);
static void check_caller(http_caller_t *caller);

static void on_timer(uv_timer_t *timer) {
    http_caller_t *caller = timer->data;
    if (caller->broken) {
        caller_lost(caller);
        return;
    }
    if (waits_for_turn(caller)) {
        read_ahead(caller);
        return;
    }
    if (caller->state == ANSWERING) {
        check_caller(caller);
        return;
    }
    if (caller->state == READING && caller->begun) {
        http_caller_answer(caller, 408, NULL, NULL, 0);
        return;
    }
    bool lingering = caller->state == LINGERING;
    if (has_taken_bytes(caller) || is_arriving(caller) ||
        (caller->state == READING && has_unread_bytes(caller)))
        arm_timer(caller, lingering ? LINGER_MS : caller->listener->limits.idle_timeout_ms);
    else
        close_caller(caller);
}

static void arm_timer(http_caller_t *caller, uint64_t ms) {
    uv_timer_start(&caller->timer, on_timer, ms, 0);
}

/* Writing. */

typedef struct {
    uv_write_t request;
    http_caller_t *caller;
    GString *bytes;
} pending_write_t;

static void end_or_keep(http_caller_t *caller);

static void on_written(uv_write_t *request, int status) {
    pending_write_t *write = request->data;
    http_caller_t *caller = write->caller;
    g_string_free(write->bytes, TRUE);
    g_free(write);
    caller->pending_writes--;
    if (caller->state == CLOSING)
        return;
    if (status != 0)
        caller_lost(caller);
    else if (caller->state == WRITING && caller->pending_writes == 0)
        end_or_keep(caller);
}

/** Writes and takes over @p bytes. False if the caller is lost, which the owner will be told. */
static bool write_bytes(http_caller_t *caller, GString *bytes) {
    uv_stream_t *stream = (uv_stream_t *)&caller->tcp;
    uv_buf_t buffer = uv_buf_init(bytes->str, (unsigned)bytes->len);
    int written = 0;
    if (!caller->broken && caller->pending_writes == 0) {
        written = uv_try_write(stream, &buffer, 1);
        if (written == UV_EAGAIN)
            written = 0;
    }
    /* An answer that lacks a piece must not get its end, though there may be room for it by now. */
    if (caller->broken || written < 0 || stream->write_queue_size > UNSENT_BYTES) {
        g_string_free(bytes, TRUE);
        caller->broken = true;
        arm_timer(caller, 0);
        return false;
    }
    if ((size_t)written == bytes->len) {
        g_string_free(bytes, TRUE);
        return true;
    }
    pending_write_t *write = g_new0(pending_write_t, 1);
    write->caller = caller;
    write->bytes = bytes;
    write->request.data = write;
    buffer.base += written;
    buffer.len -= (size_t)written;
    caller->pending_writes++;
    if (uv_write(&write->request, stream, &buffer, 1, on_written) != 0) {
        caller->pending_writes--;
        g_string_free(bytes, TRUE);
        g_free(write);
        caller->broken = true;
        arm_timer(caller, 0);
        return false;
    }
    return true;
}

static const char *status_text(unsigned status) {
    switch (status) {
#define STATUS(number, name, text)                                                                 \
    case number:                                                                                   \
        return #text;
        HTTP_STATUS_MAP(STATUS)
#undef STATUS
    default:
        return "Unknown";
    }
}

static GString *answer_head(http_caller_t *caller, unsigned status, const char *fields) {
    GString *bytes = g_string_sized_new(1024);
    g_string_append_printf(bytes, "%s%u %s\r\n", status_line_begin + caller->early_bytes, status,
                           status_text(status));
    caller->early_bytes = 0;
    if (fields != NULL)
        g_string_append(bytes, fields);
    if (!caller->keep)
        g_string_append(bytes, "Connection: close\r\n");
    return bytes;
}

/** True if the caller has sent more than the request that is being answered. */
static bool has_sent_ahead(const http_caller_t *caller) {
    size_t read = caller->serving ? caller->unserved : caller->ahead->len;
    return read > 0 || has_unread_bytes(caller);
}

/** A stop closes a connection only after the answer to the last request that was sent. */
static bool will_keep(const http_caller_t *caller) {
    return (!caller->listener->close_after_answers || has_sent_ahead(caller)) &&
           !caller->close_after_answer && caller->state == ANSWERING &&
           http_should_keep_alive(&caller->parser) != 0;
}

static void start_reading(http_caller_t *caller);

/** A failure shows on the reading side. */
static void on_shutdown(uv_shutdown_t *shutdown_request, int status) {
    (void)shutdown_request;
    (void)status;
}

/** The last answer is written: waits for the caller to close its side. */
static void linger(http_caller_t *caller) {
    caller->state = LINGERING;
    g_string_truncate(caller->ahead, 0);
    if (uv_shutdown(&caller->shutdown, (uv_stream_t *)&caller->tcp, on_shutdown) != 0) {
        close_caller(caller);
        return;
    }
    caller->untaken = count_untaken(caller);
    caller->last_taken_at = uv_now(caller->listener->loop);
    arm_timer(caller, LINGER_MS);
    start_reading(caller);
}

/** Ends the connection of a caller that has ended its side once its last answer has arrived. */
static void end_after_arrival(http_caller_t *caller) {
    bool incomplete = caller->state == READING && caller->begun;
    if (incomplete || count_untaken(caller) == 0)
        close_caller(caller);
    else if (caller->state != LINGERING)
        linger(caller);
}

/** The answer is written: makes the connection ready for the next request, or ends it. */
static void end_or_keep(http_caller_t *caller) {
    if (!caller->keep) {
        linger(caller);
        return;
    }
    if (caller->untaken > 0)
        caller->untaken = count_untaken(caller);
    caller->state = READING;
    caller->begun = false;
    caller->head_written = false;
    caller->asked_if_gone = false;
    http_headers_reset(&caller->headers);
    g_string_truncate(caller->target, 0);
    g_string_truncate(caller->body, 0);
    arm_timer(caller, caller->listener->limits.idle_timeout_ms);
    read_ahead(caller);
}

/** The owner has ended the answer. */
static void finish_answer(http_caller_t *caller) {
    if (caller->state == ANSWERING)
        caller->listener->active--;
    caller->untaken = 0;
    if (caller->pending_writes == 0) {
        end_or_keep(caller);
        return;
    }
    caller->state = WRITING;
    caller->untaken = count_untaken(caller);
    arm_timer(caller, caller->listener->limits.idle_timeout_ms);
}

/** True if the request to be answered is HEAD, whose answer has no body. */
static bool is_head_only(const http_caller_t *caller) {
    return caller->state == ANSWERING && caller->parser.method == HTTP_HEAD;
}

void http_caller_answer(http_caller_t *caller, unsigned status, const char *fields,
                        const char *body, size_t length) {
    caller->data = NULL;
    caller->keep = will_keep(caller);
    GString *bytes = answer_head(caller, status, fields);
    bool head_only = is_head_only(caller);
    if (!head_only)
        g_string_append_printf(bytes, "Content-Length: %zu\r\n", length);
    g_string_append(bytes, "\r\n");
    if (length > 0 && !head_only)
        g_string_append_len(bytes, body, (gssize)length);
    if (write_bytes(caller, bytes))
        finish_answer(caller);
}

static void append_piece(const http_caller_t *caller, GString *bytes, const char *data,
                         size_t length) {
    if (length == 0 || is_head_only(caller))
        return;
    if (caller->chunked)
        g_string_append_printf(bytes, "%zx\r\n", length);
    g_string_append_len(bytes, data, (gssize)length);
    if (caller->chunked)
        g_string_append(bytes, "\r\n");
}

/* Callers that have ended their side. */

/** True if the peer has reset the connection, which no read tells after the end of its side. */
static bool was_reset(const http_caller_t *caller) {
    uv_os_fd_t descriptor;
    int error = 0;
    socklen_t length = sizeof error;
    return uv_fileno((const uv_handle_t *)&caller->tcp, &descriptor) == 0 &&
           getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length) == 0 && error != 0;
}

/** Writes the next early byte unless bytes wait to be written, which tell as much. */
static void write_early_byte(http_caller_t *caller) {
    char byte = status_line_begin[caller->early_bytes];
    if (byte == '\0' || caller->pending_writes > 0)
        return;
    caller->early_bytes++;
    write_bytes(caller, g_string_new_len(&byte, 1));
}

/** Finds out, until the answer begins, whether a caller that has ended its side is gone. */
static void probe_caller(http_caller_t *caller) {
    unsigned check = caller->checks++;
    arm_timer(caller, check == 0 ? SECOND_BYTE_MS : RESET_CHECK_MS);
    if (check == 0 || check % CHECKS_PER_BYTE == 1)
        write_early_byte(caller);
}

/** The time for a sign of the caller's life is over. */
static void check_caller(http_caller_t *caller) {
    if (was_reset(caller))
        caller_lost(caller);
    else if (!caller->head_written)
        probe_caller(caller);
}

/** Bytes of the answer were written: a caller that is gone resets them. */
static void await_reset(http_caller_t *caller) {
    if (!caller->input_ended || caller->state != ANSWERING)
        return;
    arm_timer(caller, RESET_CHECK_MS);
}

static void handle_input_end(http_caller_t *caller) {
    const http_listener_t *listener = caller->listener;
    caller->input_ended = true;
    if (caller->state == WRITING)
        return;
    if (caller->state != ANSWERING) {
        end_after_arrival(caller);
        return;
    }
    if (caller->asked_if_gone)
        return;
    caller->asked_if_gone = true;
    if (listener->handler->on_input_ended != NULL)
        listener->handler->on_input_ended(listener->owner, caller);
    caller->checks = 0;
    if (caller->head_written)
        caller_lost(caller);
    else
        probe_caller(caller);
}

/** True if an end of the caller's side waits to be read. */
static bool has_unread_end(const http_caller_t *caller) {
    uv_os_fd_t descriptor;
    char byte;
    return uv_fileno((const uv_handle_t *)&caller->tcp, &descriptor) == 0 &&
           recv(descriptor, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) == 0;
}

bool http_caller_may_be_gone(http_caller_t *caller) {
    if (caller->state != ANSWERING)
        return false;
    bool unread_end = !caller->input_ended && has_unread_end(caller);
    if (caller->head_written)
        return unread_end;
    if (unread_end)
        handle_input_end(caller);
    return caller->input_ended && caller->checks <= 1;
}

void http_caller_begin(http_caller_t *caller, unsigned status, const char *fields, const char *data,
                       size_t length) {
    caller->chunked = caller->parser.http_major == 1 && caller->parser.http_minor >= 1;
    caller->ends_with_connection = !caller->chunked && !is_head_only(caller);
    caller->keep = will_keep(caller) && caller->chunked;
    GString *bytes = answer_head(caller, status, fields);
    g_string_append(bytes, caller->chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n");
    append_piece(caller, bytes, data, length);
    caller->head_written = true;
    if (write_bytes(caller, bytes))
        await_reset(caller);
}

void http_caller_piece(http_caller_t *caller, const char *data, size_t length) {
    if (is_head_only(caller))
        return;
    GString *bytes = g_string_sized_new(length + 16);
    append_piece(caller, bytes, data, length);
    if (write_bytes(caller, bytes))
        await_reset(caller);
}

void http_caller_end(http_caller_t *caller) {
    caller->data = NULL;
    bool written = !caller->broken;
    if (caller->chunked && !is_head_only(caller))
        written = write_bytes(caller, g_string_new("0\r\n\r\n"));
    if (written)
        finish_answer(caller);
}

void http_caller_abort(http_caller_t *caller) {
    close_caller(caller);
}

/* Reading. */

/** Result of a callback that has added to the head; the parser's error would not tell why. */
static int check_head_size(http_caller_t *caller) {
    size_t size = caller->target->len + caller->headers.text->len;
    caller->head_too_large = size > caller->listener->limits.header_bytes;
    return caller->head_too_large ? -1 : 0;
}

static int on_url(http_parser *parser, const char *data, size_t length) {
    http_caller_t *caller = parser->data;
    g_string_append_len(caller->target, data, (gssize)length);
    return check_head_size(caller);
}

static int on_header_field(http_parser *parser, const char *data, size_t length) {
    http_caller_t *caller = parser->data;
    http_headers_name_piece(&caller->headers, data, length);
    return check_head_size(caller);
}

static int on_header_value(http_parser *parser, const char *data, size_t length) {
    http_caller_t *caller = parser->data;
    http_headers_value_piece(&caller->headers, data, length);
    return check_head_size(caller);
}

/**
 * Makes path and query of an absolute target the request's target, and its authority the Host,
 * whatever the caller has sent as Host (RFC 9112, 3.2.2). False if it is malformed.
 */
static bool resolve_target(http_caller_t *caller) {
    const http_parser *parser = &caller->parser;
    if (!request_target_is_absolute(caller->target->str))
        return true;
    absolute_target_t parts;
    if (!request_target_split(caller->target->str, &parts))
        return false;
    bool needs_host = parser->http_major == 1 && parser->http_minor >= 1;
    if (needs_host && http_headers_find(&caller->headers, "Host") == NULL)
        return false;
    char *authority = g_strndup(parts.authority, parts.authority_length);
    http_headers_replace(&caller->headers, "Host", authority);
    g_free(authority);
    g_string_erase(caller->target, 0, parts.path_and_query - caller->target->str);
    if (caller->target->str[0] != '/')
        g_string_prepend_c(caller->target, '/');
    return true;
}

static int on_headers_complete(http_parser *parser) {
    http_caller_t *caller = parser->data;
    const http_limits_t *limits = &caller->listener->limits;
    http_headers_finish(&caller->headers);
    if (parser->content_length != ULLONG_MAX && parser->content_length > limits->body_bytes) {
        caller->too_large = true;
        return -1;
    }
    if (!resolve_target(caller))
        return -1;
    const char *expect = http_headers_find(&caller->headers, "Expect");
    if (expect != NULL && strcasecmp(expect, "100-continue") == 0)
        write_bytes(caller, g_string_new("HTTP/1.1 100 Continue\r\n\r\n"));
    return 0;
}

static int on_body(http_parser *parser, const char *data, size_t length) {
    http_caller_t *caller = parser->data;
    if (caller->body->len + length > caller->listener->limits.body_bytes) {
        caller->too_large = true;
        return -1;
    }
    g_string_append_len(caller->body, data, (gssize)length);
    return 0;
}

static int on_message_complete(http_parser *parser) {
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_url = on_url,
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

static void deliver_request(http_caller_t *caller) {
    caller->state = ANSWERING;
    caller->listener->active++;
    uv_timer_stop(&caller->timer);
    caller->request = (http_request_t){
        .method = http_method_str((enum http_method)caller->parser.method),
        .target = caller->target->str,
        .headers = &caller->headers,
        .body = caller->body->str,
        .body_length = caller->body->len,
        .begun_at = caller->request.begun_at,
    };
    caller->listener->handler->on_request(caller->listener->owner, caller, &caller->request);
}

static void refuse_malformed(http_caller_t *caller) {
    unsigned status = 400;
    if (caller->too_large)
        status = 413;
    else if (caller->head_too_large || HTTP_PARSER_ERRNO(&caller->parser) == HPE_HEADER_OVERFLOW)
        status = 431;
    http_caller_answer(caller, status, NULL, NULL, 0);
}

/** What follows a CONNECT is no request. An offered upgrade is ignored (RFC 9110, 7.8). */
static bool asks_for_tunnel(const http_caller_t *caller) {
    return caller->parser.method == HTTP_CONNECT;
}

/** Parses bytes of the next request, up to its end. Returns how many. */
static size_t parse_bytes(http_caller_t *caller, const char *data, size_t length) {
    if (!caller->begun) {
        caller->begun = true;
        caller->request.begun_at = uv_now(caller->listener->loop);
        arm_timer(caller, caller->listener->limits.header_timeout_ms);
    }
    size_t parsed = http_parser_execute(&caller->parser, &parser_settings, data, length);
    if (caller->state != READING || caller->broken)
        return length;
    enum http_errno status = HTTP_PARSER_ERRNO(&caller->parser);
    if (status == HPE_PAUSED) {
        http_parser_pause(&caller->parser, 0);
        if (asks_for_tunnel(caller) || parsed > length) {
            refuse_malformed(caller);
            return length;
        }
        caller->unserved = length - parsed;
        deliver_request(caller);
        return parsed;
    }
    if (status != HPE_OK)
        refuse_malformed(caller);
    return length;
}

/**
 * Serves requests one after another for as long as each is answered at once, a turn's share at
 * most: what an owner holds for a request may be freed only as the loop's turn ends. Returns how
 * many of the bytes are done with.
 */
static size_t serve_bytes(http_caller_t *caller, const char *data, size_t length) {
    size_t done = 0;
    caller->serving = true;
    for (unsigned i = 0;
         i < REQUESTS_PER_TURN && done < length && caller->state == READING && !caller->broken; i++)
        done += parse_bytes(caller, data + done, length - done);
    caller->serving = false;
    return done;
}

static void on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer);

static void provide_buffer(uv_handle_t *handle, size_t size, uv_buf_t *buffer) {
    (void)handle;
    (void)size;
    *buffer = uv_buf_init(read_buffer, sizeof read_buffer);
}

static void start_reading(http_caller_t *caller) {
    uv_read_start((uv_stream_t *)&caller->tcp, provide_buffer, on_read);
}

/**
 * Reads on unless enough waits. Not while requests wait for the next turn: an end of the
 * caller's side would close the connection.
 */
static void read_on(http_caller_t *caller) {
    if (waits_for_turn(caller))
        arm_timer(caller, NEXT_TURN_MS);
    if (waits_for_turn(caller) || caller->ahead->len > AHEAD_BYTES)
        uv_read_stop((uv_stream_t *)&caller->tcp);
    else
        start_reading(caller);
}

/** Goes on with what the caller sent ahead of its last answer. */
static void read_ahead(http_caller_t *caller) {
    if (caller->serving)
        return;
    size_t done = serve_bytes(caller, caller->ahead->str, caller->ahead->len);
    /* The last answer of a connection has emptied it. */
    g_string_erase(caller->ahead, 0, (gssize)MIN(done, caller->ahead->len));
    if (caller->state != CLOSING)
        read_on(caller);
}

/** True if no further request of the connection will be answered. */
static bool drops_bytes(const http_caller_t *caller) {
    return caller->broken || caller->state == CLOSING || caller->state == LINGERING ||
           (caller->state == WRITING && !caller->keep);
}

static void on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer) {
    http_caller_t *caller = stream->data;
    if (caller->state == CLOSING || count == 0)
        return;
    if (count < 0) {
        if (count == UV_EOF)
            handle_input_end(caller);
        else
            caller_lost(caller);
        return;
    }
    size_t done = 0;
    if (!waits_for_turn(caller))
        done = serve_bytes(caller, buffer->base, (size_t)count);
    if (drops_bytes(caller))
        return;
    g_string_append_len(caller->ahead, buffer->base + done, count - (gssize)done);
    read_on(caller);
}

static http_caller_t *new_caller(http_listener_t *listener) {
    http_caller_t *caller = g_new0(http_caller_t, 1);
    caller->listener = listener;
    caller->open_handles = 2;
    uv_tcp_init(listener->loop, &caller->tcp);
    uv_timer_init(listener->loop, &caller->timer);
    caller->tcp.data = caller;
    caller->timer.data = caller;
    http_parser_init(&caller->parser, HTTP_REQUEST);
    caller->parser.data = caller;
    http_headers_init(&caller->headers);
    caller->target = g_string_new(NULL);
    caller->body = g_string_new(NULL);
    caller->ahead = g_string_new(NULL);
    g_hash_table_add(listener->callers, caller);
    return caller;
}

static void serve(http_caller_t *caller) {
    caller->accepted_at = uv_now(caller->listener->loop);
    uv_tcp_nodelay(&caller->tcp, 1);
    arm_timer(caller, caller->listener->limits.idle_timeout_ms);
    start_reading(caller);
}

static void on_connection(uv_stream_t *stream, int status) {
    if (status != 0)
        return;
    http_caller_t *caller = new_caller(stream->data);
    if (uv_accept(stream, (uv_stream_t *)&caller->tcp) == 0)
        serve(caller);
    else
        close_caller(caller);
}

/** Accepts the connections in the queue of the listening socket, which its close would reset. */
static void accept_waiting(http_listener_t *listener) {
    uv_os_fd_t listening;
    if (uv_fileno((const uv_handle_t *)&listener->tcp, &listening) != 0)
        return;
    for (unsigned i = 0; i <= BACKLOG; i++) {
        struct sockaddr_in peer;
        socklen_t length = sizeof peer;
        int accepted =
            accept4(listening, (struct sockaddr *)&peer, &length, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted < 0 && (errno == EINTR || errno == ECONNABORTED))
            continue;
        if (accepted < 0)
            return;
        http_caller_t *caller = new_caller(listener);
        if (uv_tcp_open(&caller->tcp, accepted) == 0) {
            serve(caller);
        } else {
            close(accepted);
            close_caller(caller);
        }
    }
}

/** Of one that never listened: nothing else refers to it. */
static void free_listener(uv_handle_t *handle) {
    http_listener_t *listener = handle->data;
    g_hash_table_destroy(listener->callers);
    g_free(listener);
}

http_listener_t *http_listener_open(uv_loop_t *loop, const struct sockaddr_in *address,
                                    const http_limits_t *limits,
                                    const http_listener_handler_t *handler, void *owner) {
    http_listener_t *listener = g_new0(http_listener_t, 1);
    listener->loop = loop;
    listener->handler = handler;
    listener->owner = owner;
    listener->callers = g_hash_table_new(NULL, NULL);
    uv_tcp_init(loop, &listener->tcp);
    listener->tcp.data = listener;
    http_listener_set_limits(listener, limits);
    int status = uv_tcp_bind(&listener->tcp, (const struct sockaddr *)address, 0);
    if (status == 0)
        status = uv_listen((uv_stream_t *)&listener->tcp, BACKLOG, on_connection);
    if (status != 0) {
        uv_close((uv_handle_t *)&listener->tcp, free_listener);
        return NULL;
    }
    return listener;
}

void http_listener_set_limits(http_listener_t *listener, const http_limits_t *limits) {
    listener->limits = *limits;
    /* The parser's own bound counts the request line and separators too. */
    http_parser_set_max_header_size(2 * limits->header_bytes);
}

void http_listener_close_after_answers(http_listener_t *listener) {
    listener->close_after_answers = true;
}

void http_caller_close_after_answer(http_caller_t *caller) {
    caller->close_after_answer = true;
}

/** True if neither a request nor an answer is under way, as far as the kernel knows. */
static bool is_idle(const http_caller_t *caller) {
    return caller->state == READING && !caller->begun && caller->ahead->len == 0 &&
           uv_now(caller->listener->loop) - caller->accepted_at >= NEW_CALLER_MS &&
           count_untaken(caller) == 0 && !has_unread_bytes(caller);
}

void http_listener_close_idle(http_listener_t *listener) {
    GList *callers = g_hash_table_get_keys(listener->callers);
    for (GList *item = callers; item != NULL; item = item->next) {
        if (is_idle(item->data))
            close_caller(item->data);
    }
    g_list_free(callers);
}

void http_listener_refuse_unfinished(http_listener_t *listener, unsigned status,
                                     const char *fields) {
    GList *callers = g_hash_table_get_keys(listener->callers);
    for (GList *item = callers; item != NULL; item = item->next) {
        http_caller_t *caller = item->data;
        if (caller->state == READING && caller->begun && !caller->broken)
            http_caller_answer(caller, status, fields, NULL, 0);
    }
    g_list_free(callers);
}

void http_listener_abort_unwritten(http_listener_t *listener) {
    GList *callers = g_hash_table_get_keys(listener->callers);
    for (GList *item = callers; item != NULL; item = item->next) {
        http_caller_t *caller = item->data;
        if (!is_unwritten(caller))
            continue;
        if (caller->state == ANSWERING)
            listener->handler->on_gone(listener->owner, caller);
        end_connection(caller, true);
    }
    g_list_free(callers);
}

void http_listener_stop(http_listener_t *listener) {
    if (uv_is_closing((uv_handle_t *)&listener->tcp))
        return;
    accept_waiting(listener);
    uv_close((uv_handle_t *)&listener->tcp, NULL);
}

unsigned http_listener_connections(const http_listener_t *listener) {
    return g_hash_table_size(listener->callers);
}

unsigned http_listener_active(const http_listener_t *listener) {
    return listener->active;
}

void http_caller_set_data(http_caller_t *caller, void *data) {
    caller->data = data;
}

void *http_caller_data(const http_caller_t *caller) {
    return caller->data;
}
