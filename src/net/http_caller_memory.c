/*
 * Design. All that callers send is counted in the account before it is kept. When the account is
 * exhausted, the unfinished request whose latest progress is oldest is refused with 503, which is
 * correct because it was never delivered. If all requests make progress, the one that needs more
 * memory is refused: those that began earlier are closer to completion.
 *
 * Descriptors: above a limit that leaves some for back ends, a new connection replaces the one that
 * has been idle, or has had an incomplete request, for longest.
 *
 * A body is kept once: first in the connection's buffer, then as GBytes that the connection, the
 * exchange with a back end and a stored turn share.
 */
#include "net/http_caller.h"

#include <netinet/tcp.h>

enum {
    /** A request that receives less than PROGRESS_BYTES in this time may be refused. */
    STALLED_MS = 500,
    PROGRESS_BYTES = 4096,
    LARGE_BODY_BYTES = 8 * 1024,    /**< Held bytes at which the receive buffer is enlarged. */
    LARGE_BUFFER_BYTES = 32 * 1024, /**< 6 MB/s at a round trip of 5 ms. */
    LARGE_BUFFER_COST = 2 * LARGE_BUFFER_BYTES, /**< Linux allocates twice the value. */
    FIRST_BUFFER_BYTES = 64,
    LARGEST_HEAP_BLOCK_BYTES = 64 * 1024, /**< Larger blocks are mapped. */
    KEPT_BYTES = 4096, /**< A buffer of up to this size is used for the next request. */
    RETRY_LEAST_MS = 250,
    RETRY_MOST_MS = 1000, /**< By then stalled requests have given their memory back. */
    MS_PER_S = 1000,
};

static void leave_queue(http_caller_t *caller) {
    if (caller->is_unfinished)
        g_queue_unlink(&caller->listener->unfinished, &caller->unfinished_link);
    caller->is_unfinished = false;
}

/** Moves the caller to the end of the queue if it has sent enough since it last was moved there. */
static void note_progress(http_caller_t *caller) {
    if (caller->held < caller->progress_held + PROGRESS_BYTES)
        return;
    leave_queue(caller);
    caller->unfinished_link.data = caller;
    g_queue_push_tail_link(&caller->listener->unfinished, &caller->unfinished_link);
    caller->is_unfinished = true;
    caller->progress_held = caller->held;
    caller->progressed_at = uv_now(caller->listener->loop);
}

void http_caller_begin_wait(http_caller_t *caller) {
    http_caller_end_wait(caller);
    caller->waiting_link.data = caller;
    g_queue_push_tail_link(&caller->listener->waiting, &caller->waiting_link);
    caller->is_waiting = true;
}

void http_caller_end_wait(http_caller_t *caller) {
    if (caller->is_waiting)
        g_queue_unlink(&caller->listener->waiting, &caller->waiting_link);
    caller->is_waiting = false;
}

void http_listener_limit_connections(http_listener_t *listener) {
    while (g_hash_table_size(listener->callers) > listener->connections_max &&
           !g_queue_is_empty(&listener->waiting))
        http_caller_close(g_queue_peek_head(&listener->waiting));
}

char *http_caller_retry_fields(void) {
    unsigned ms = (unsigned)g_random_int_range(RETRY_LEAST_MS, RETRY_MOST_MS);
    return g_strdup_printf("Retry-After: %u.%03u\r\n", ms / MS_PER_S, ms % MS_PER_S);
}

/** Refuses the request whose latest progress is oldest; false if all make progress. */
static bool refuse_stalled(const http_caller_t *for_caller) {
    http_listener_t *listener = for_caller->listener;
    http_caller_t *stalled = g_queue_peek_head(&listener->unfinished);
    if (stalled == NULL || stalled == for_caller ||
        uv_now(listener->loop) < stalled->progressed_at + STALLED_MS)
        return false;
    char *fields = http_caller_retry_fields();
    http_caller_answer(stalled, 503, fields, NULL, 0);
    g_free(fields);
    return true;
}

static void set_receive_buffer(http_caller_t *caller, int bytes) {
    uv_os_fd_t descriptor;
    if (uv_fileno((const uv_handle_t *)&caller->tcp, &descriptor) != 0)
        return;
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
    setsockopt(descriptor, IPPROTO_TCP, TCP_WINDOW_CLAMP, &bytes, sizeof bytes);
}

/** Enlarges the receive buffer for a large body, if the account allows it. */
static void enlarge_buffer(http_caller_t *caller) {
    if (caller->has_large_buffer || caller->held < LARGE_BODY_BYTES)
        return;
    size_t size = caller->held + LARGE_BUFFER_COST;
    if (!memory_account_take(caller->listener->account, LARGE_BUFFER_COST, size))
        return;
    caller->held += LARGE_BUFFER_COST;
    caller->progress_held += LARGE_BUFFER_COST;
    caller->has_large_buffer = true;
    set_receive_buffer(caller, LARGE_BUFFER_BYTES);
}

/** Undoes enlarge_buffer() once the body is complete or dropped. */
static void restore_buffer(http_caller_t *caller) {
    if (!caller->has_large_buffer)
        return;
    caller->has_large_buffer = false;
    caller->held -= LARGE_BUFFER_COST;
    memory_account_release(caller->listener->account, LARGE_BUFFER_COST);
    if (caller->state != CALLER_CLOSING)
        set_receive_buffer(caller, RECEIVE_BUFFER_BYTES);
}

/** What the request itself holds. */
static size_t request_bytes(const http_caller_t *caller) {
    return caller->held - (caller->has_large_buffer ? LARGE_BUFFER_COST : 0);
}

bool http_caller_may_hold(http_caller_t *caller, uint64_t bytes) {
    memory_account_t *account = caller->listener->account;
    while (!memory_account_fits(account, (size_t)MIN(bytes, (uint64_t)SIZE_MAX / 2)))
        if (!refuse_stalled(caller))
            return false;
    return true;
}

bool http_caller_hold(http_caller_t *caller, size_t bytes) {
    memory_account_t *account = caller->listener->account;
    while (!memory_account_take(account, bytes, request_bytes(caller) + bytes))
        if (!refuse_stalled(caller))
            return false;
    caller->held += bytes;
    note_progress(caller);
    enlarge_buffer(caller);
    return true;
}

/**
 * What a body of @p length bytes takes: a buffer doubles as it grows, and of a small one all is in
 * memory. Of a large one only what has been written is.
 */
static size_t body_cost(size_t length) {
    size_t cost = FIRST_BUFFER_BYTES;
    while (cost <= length && cost < LARGEST_HEAP_BLOCK_BYTES)
        cost *= 2;
    return length == 0 ? 0 : MAX(cost, length);
}

bool http_caller_hold_body(http_caller_t *caller, size_t length) {
    size_t before = caller->body->len;
    return http_caller_hold(caller, body_cost(before + length) - body_cost(before));
}

void http_caller_keep_body(http_caller_t *caller) {
    leave_queue(caller);
    restore_buffer(caller);
    size_t length = caller->body->len;
    if (length == 0)
        return;
    /* Its spare capacity is given back as it is wrapped. */
    memory_account_release(caller->listener->account, body_cost(length) - length);
    caller->held -= body_cost(length);
    caller->body_bytes = memory_account_wrap_string(caller->listener->account, caller->body);
    caller->body = g_string_new(NULL);
}

/** Empties a buffer; gives its memory back if it has held much. */
static void empty(GString **buffer) {
    if ((*buffer)->allocated_len <= KEPT_BYTES) {
        g_string_truncate(*buffer, 0);
        return;
    }
    g_string_free(*buffer, TRUE);
    *buffer = g_string_new(NULL);
}

void http_caller_drop_request(http_caller_t *caller) {
    leave_queue(caller);
    restore_buffer(caller);
    g_clear_pointer(&caller->body_bytes, g_bytes_unref);
    empty(&caller->body);
    empty(&caller->target);
    if (caller->headers.text->allocated_len > KEPT_BYTES) {
        http_headers_clear(&caller->headers);
        http_headers_init(&caller->headers);
    } else {
        http_headers_reset(&caller->headers);
    }
    memory_account_release(caller->listener->account, caller->held);
    caller->held = 0;
    caller->progress_held = 0;
}

void http_caller_keep_ahead(http_caller_t *caller, const char *data, size_t length) {
    if (caller->drops_ahead || length == 0)
        return;
    size_t size = caller->ahead->len + length;
    if (!memory_account_take(caller->listener->account, length, size)) {
        caller->drops_ahead = true;
        http_caller_drop_ahead(caller, caller->ahead->len);
        return;
    }
    caller->ahead_held += length;
    g_string_append_len(caller->ahead, data, (gssize)length);
}

void http_caller_drop_ahead(http_caller_t *caller, size_t length) {
    if (length < caller->ahead->len)
        g_string_erase(caller->ahead, 0, (gssize)length);
    else
        empty(&caller->ahead);
    memory_account_release(caller->listener->account, caller->ahead_held - caller->ahead->len);
    caller->ahead_held = caller->ahead->len;
}
