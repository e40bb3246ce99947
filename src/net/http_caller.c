/*
 * Design. The connection goes on being read while its request is answered, so that a caller that
 * hangs up is seen at once; what a caller sends ahead waits, and past a bound reading rests.
 * After its last answer a connection is shut down for writing, and what its caller still sends is
 * dropped until the caller closes its side: a close with unread bytes would be a reset, which may
 * overtake the answer. It stays open until the answer has arrived, since the kernel's part of it
 * may be lost with the process. An answer that the kernel has not taken entirely keeps its
 * connection from being idle, and from serving what was sent ahead, for as long as its caller goes
 * on taking bytes.
 */
#include "net/http_caller.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

enum {
    READ_BUFFER_BYTES = 65536,
    AHEAD_BYTES = 16384, /**< Read of what a caller sends before its answer. */
    /** Of a connection, from what waits and from what is read; other ones wait for the next turn.
     */
    REQUESTS_PER_SHARE = 32,
    NEXT_TURN_MS = 1,
    LINGER_MS = 300,     /**< A caller's time to close after its last answer. */
    CALLER_BYTES = 3072, /**< Of an idle connection. */
};

static char read_buffer[READ_BUFFER_BYTES];

static void read_ahead(http_caller_t *caller);
static void start_reading(http_caller_t *caller);

static void free_when_closed(uv_handle_t *handle) {
    http_caller_t *caller = handle->data;
    if (--caller->open_handles > 0)
        return;
    memory_account_release(caller->listener->account, CALLER_BYTES);
    http_headers_clear(&caller->headers);
    g_string_free(caller->target, TRUE);
    g_string_free(caller->body, TRUE);
    g_string_free(caller->ahead, TRUE);
    g_free(caller);
}

/** True if a request was delivered whose answer the kernel has not taken to its end. */
bool http_caller_is_unwritten(const http_caller_t *caller) {
    return caller->state == CALLER_ANSWERING || caller->state == CALLER_WRITING;
}

void http_caller_end_connection(http_caller_t *caller, bool reset) {
    if (caller->state == CALLER_CLOSING)
        return;
    if (caller->state == CALLER_ANSWERING)
        caller->listener->active--;
    caller->state = CALLER_CLOSING;
    http_caller_end_wait(caller);
    http_caller_drop_request(caller);
    http_caller_drop_ahead(caller, caller->ahead->len);
    g_hash_table_remove(caller->listener->callers, caller);
    if (!reset || uv_tcp_close_reset(&caller->tcp, free_when_closed) != 0)
        uv_close((uv_handle_t *)&caller->tcp, free_when_closed);
    uv_close((uv_handle_t *)&caller->timer, free_when_closed);
}

void http_caller_close(http_caller_t *caller) {
    http_caller_end_connection(caller,
                               caller->ends_with_connection && http_caller_is_unwritten(caller));
}

/** The peer ended the connection: tells the owner if it waits for an answer. */
void http_caller_lost(http_caller_t *caller) {
    bool answering = caller->state == CALLER_ANSWERING;
    if (caller->state == CALLER_CLOSING)
        return;
    if (answering)
        caller->listener->handler->on_gone(caller->listener->owner, caller);
    http_caller_close(caller);
}

/** Bytes written for the caller that its side has not acknowledged. */
size_t http_caller_count_untaken(const http_caller_t *caller) {
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
    caller->untaken = http_caller_count_untaken(caller);
    if (caller->untaken >= before)
        return false;
    caller->last_taken_at = uv_now(caller->listener->loop);
    return true;
}

/** True if some of the last answer is still on its way to a caller that goes on taking it. */
static bool is_arriving(const http_caller_t *caller) {
    uint64_t resting = uv_now(caller->listener->loop) - caller->last_taken_at;
    return caller->state == CALLER_LINGERING && caller->untaken > 0 &&
           resting < caller->listener->limits.idle_timeout_ms;
}

ssize_t http_caller_peek(const http_caller_t *caller) {
    uv_os_fd_t descriptor;
    char byte;
    if (uv_fileno((const uv_handle_t *)&caller->tcp, &descriptor) != 0)
        return -1;
    return recv(descriptor, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
}

/** True if requests could be served that were left for the next turn of the loop. */
static bool waits_for_turn(const http_caller_t *caller) {
    return caller->state == CALLER_READING && caller->ahead->len > 0;
}

static void on_timer(uv_timer_t *timer) {
    http_caller_t *caller = timer->data;
    if (caller->broken) {
        http_caller_lost(caller);
        return;
    }
    if (waits_for_turn(caller)) {
        read_ahead(caller);
        return;
    }
    if (caller->state == CALLER_ANSWERING) {
        http_caller_check_presence(caller);
        return;
    }
    if (caller->state == CALLER_READING && caller->begun) {
        http_caller_answer(caller, 408, NULL, NULL, 0);
        return;
    }
    bool lingering = caller->state == CALLER_LINGERING;
    if (has_taken_bytes(caller) || is_arriving(caller) ||
        (caller->state == CALLER_READING && http_caller_peek(caller) > 0))
        http_caller_arm_timer(caller,
                              lingering ? LINGER_MS : caller->listener->limits.idle_timeout_ms);
    else
        http_caller_close(caller);
}

void http_caller_arm_timer(http_caller_t *caller, uint64_t ms) {
    uv_timer_start(&caller->timer, on_timer, ms, 0);
}

/** A failure shows on the reading side. */
static void on_shutdown(uv_shutdown_t *shutdown_request, int status) {
    (void)shutdown_request;
    (void)status;
}

/** The last answer is written: waits for the caller to close its side. */
static void linger(http_caller_t *caller) {
    caller->state = CALLER_LINGERING;
    http_caller_begin_wait(caller);
    http_caller_drop_ahead(caller, caller->ahead->len);
    if (uv_shutdown(&caller->shutdown, (uv_stream_t *)&caller->tcp, on_shutdown) != 0) {
        http_caller_close(caller);
        return;
    }
    caller->untaken = http_caller_count_untaken(caller);
    caller->last_taken_at = uv_now(caller->listener->loop);
    http_caller_arm_timer(caller, LINGER_MS);
    start_reading(caller);
}

/** Ends the connection of a caller that has ended its side once its last answer has arrived. */
void http_caller_end_after_arrival(http_caller_t *caller) {
    bool incomplete = caller->state == CALLER_READING && caller->begun;
    if (incomplete || http_caller_count_untaken(caller) == 0)
        http_caller_close(caller);
    else if (caller->state != CALLER_LINGERING)
        linger(caller);
}

/** The answer is written: makes the connection ready for the next request, or ends it. */
void http_caller_end_or_keep(http_caller_t *caller) {
    http_caller_drop_request(caller);
    if (!caller->keep || caller->drops_ahead) {
        linger(caller);
        return;
    }
    if (caller->untaken > 0)
        caller->untaken = http_caller_count_untaken(caller);
    caller->state = CALLER_READING;
    caller->begun = false;
    caller->head_written = false;
    caller->asked_if_gone = false;
    http_caller_begin_wait(caller);
    http_caller_arm_timer(caller, caller->listener->limits.idle_timeout_ms);
    read_ahead(caller);
}

/* Reading. */

static void deliver_request(http_caller_t *caller) {
    caller->state = CALLER_ANSWERING;
    http_caller_end_wait(caller);
    caller->listener->active++;
    uv_timer_stop(&caller->timer);
    size_t body_length = caller->body->len;
    http_caller_keep_body(caller);
    bool has_body = caller->body_bytes != NULL;
    caller->request = (http_request_t){
        .method = http_method_str((enum http_method)caller->parser.method),
        .target = caller->target->str,
        .headers = &caller->headers,
        .body = has_body ? g_bytes_get_data(caller->body_bytes, NULL) : "",
        .body_length = body_length,
        .body_bytes = caller->body_bytes,
        .begun_at = caller->request.begun_at,
    };
    caller->listener->handler->on_request(caller->listener->owner, caller, &caller->request);
}

static void refuse_malformed(http_caller_t *caller) {
    if (caller->out_of_memory) {
        char *fields = http_caller_retry_fields();
        http_caller_answer(caller, 503, fields, NULL, 0);
        g_free(fields);
        return;
    }
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
        http_caller_begin_wait(caller);
        caller->request.begun_at = uv_now(caller->listener->loop);
        http_caller_arm_timer(caller, caller->listener->limits.header_timeout_ms);
    }
    size_t parsed =
        http_parser_execute(&caller->parser, &http_request_parser_settings, data, length);
    if (caller->state != CALLER_READING || caller->broken)
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
 * Serves requests one after another for as long as each is answered at once, half a turn's share at
 * most: what an owner holds for a request may be freed only as the loop's turn ends. Returns how
 * many of the bytes are done with.
 */
static size_t serve_bytes(http_caller_t *caller, const char *data, size_t length) {
    size_t done = 0;
    caller->serving = true;
    for (unsigned i = 0; i < REQUESTS_PER_SHARE && done < length &&
                         caller->state == CALLER_READING && !caller->broken;
         i++)
        done += parse_bytes(caller, data + done, length - done);
    caller->serving = false;
    return done;
}

static void on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer);

static bool drops_bytes(const http_caller_t *caller);

/** While a request is answered, keeps what is read ahead within AHEAD_BYTES. */
static void provide_buffer(uv_handle_t *handle, size_t size, uv_buf_t *buffer) {
    const http_caller_t *caller = handle->data;
    (void)size;
    size_t room = sizeof read_buffer;
    if (http_caller_is_unwritten(caller) && !caller->drops_ahead && !drops_bytes(caller))
        room = AHEAD_BYTES + 1 - MIN(caller->ahead->len, AHEAD_BYTES);
    *buffer = uv_buf_init(read_buffer, (unsigned)room);
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
        http_caller_arm_timer(caller, NEXT_TURN_MS);
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
    http_caller_drop_ahead(caller, MIN(done, caller->ahead->len));
    if (caller->state != CALLER_CLOSING)
        read_on(caller);
}

/** True if no further request of the connection will be answered. */
static bool drops_bytes(const http_caller_t *caller) {
    return caller->broken || caller->state == CALLER_CLOSING || caller->state == CALLER_LINGERING ||
           (caller->state == CALLER_WRITING && !caller->keep);
}

static void on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer) {
    http_caller_t *caller = stream->data;
    if (caller->state == CALLER_CLOSING || count == 0)
        return;
    if (count < 0) {
        if (count == UV_EOF)
            http_caller_input_ended(caller);
        else
            http_caller_lost(caller);
        return;
    }
    size_t done = 0;
    if (!waits_for_turn(caller))
        done = serve_bytes(caller, buffer->base, (size_t)count);
    if (drops_bytes(caller))
        return;
    http_caller_keep_ahead(caller, buffer->base + done, (size_t)count - done);
    read_on(caller);
}

http_caller_t *http_caller_new(http_listener_t *listener) {
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
    memory_account_add(listener->account, CALLER_BYTES);
    return caller;
}

void http_caller_serve(http_caller_t *caller) {
    caller->accepted_at = uv_now(caller->listener->loop);
    uv_tcp_nodelay(&caller->tcp, 1);
    http_caller_begin_wait(caller);
    http_caller_arm_timer(caller, caller->listener->limits.idle_timeout_ms);
    start_reading(caller);
    http_listener_limit_connections(caller->listener);
}

void http_caller_close_after_answer(http_caller_t *caller) {
    caller->close_after_answer = true;
}

void http_caller_set_data(http_caller_t *caller, void *data) {
    caller->data = data;
}

void *http_caller_data(const http_caller_t *caller) {
    return caller->data;
}
