#include "net/http_caller.h"

#include <errno.h>
#include <sys/resource.h>
#include <unistd.h>

enum {
    BACKLOG = 512,
    NEW_CALLER_MS = 300, /**< Until then a new connection's first request is awaited. */
    RESERVED_DESCRIPTORS_DIVISOR = 8, /**< Of the process's, this part is not for callers. */
    RESERVED_DESCRIPTORS_LEAST = 32,
};

static void on_connection(uv_stream_t *stream, int status) {
    if (status != 0)
        return;
    http_caller_t *caller = http_caller_new(stream->data);
    if (uv_accept(stream, (uv_stream_t *)&caller->tcp) == 0)
        http_caller_serve(caller);
    else
        http_caller_close(caller);
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
        http_caller_t *caller = http_caller_new(listener);
        if (uv_tcp_open(&caller->tcp, accepted) == 0) {
            http_caller_serve(caller);
        } else {
            close(accepted);
            http_caller_close(caller);
        }
    }
}

/** How many connections leave descriptors for back ends, storage nodes and files. */
static unsigned count_connections_allowed(void) {
    struct rlimit limit;
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= UINT32_MAX)
        return UINT32_MAX;
    unsigned all = (unsigned)limit.rlim_cur;
    unsigned reserved = MAX(all / RESERVED_DESCRIPTORS_DIVISOR, RESERVED_DESCRIPTORS_LEAST);
    return all > reserved ? all - reserved : 1;
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
    listener->connections_max = count_connections_allowed();
    http_listener_set_limits(listener, limits);
    int status = uv_tcp_bind(&listener->tcp, (const struct sockaddr *)address, 0);
    /* Connections inherit it; a system that does not allow it keeps its default. */
    int buffer_bytes = RECEIVE_BUFFER_BYTES;
    if (status == 0)
        (void)uv_recv_buffer_size((uv_handle_t *)&listener->tcp, &buffer_bytes);
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

void http_listener_set_account(http_listener_t *listener, memory_account_t *account) {
    listener->account = account;
}

void http_listener_set_connections(http_listener_t *listener, unsigned most) {
    listener->connections_max = MIN(listener->connections_max, most);
}

void http_listener_close_after_answers(http_listener_t *listener) {
    listener->close_after_answers = true;
}

/** True if neither a request nor an answer is under way, as far as the kernel knows. */
static bool is_idle(const http_caller_t *caller) {
    return caller->state == CALLER_READING && !caller->begun && caller->ahead->len == 0 &&
           uv_now(caller->listener->loop) - caller->accepted_at >= NEW_CALLER_MS &&
           http_caller_count_untaken(caller) == 0 && http_caller_peek(caller) <= 0;
}

void http_listener_close_idle(http_listener_t *listener) {
    GList *callers = g_hash_table_get_keys(listener->callers);
    for (GList *item = callers; item != NULL; item = item->next) {
        if (is_idle(item->data))
            http_caller_close(item->data);
    }
    g_list_free(callers);
}

void http_listener_refuse_unfinished(http_listener_t *listener, unsigned status,
                                     const char *fields) {
    GList *callers = g_hash_table_get_keys(listener->callers);
    for (GList *item = callers; item != NULL; item = item->next) {
        http_caller_t *caller = item->data;
        if (caller->state == CALLER_READING && caller->begun && !caller->broken)
            http_caller_answer(caller, status, fields, NULL, 0);
    }
    g_list_free(callers);
}

void http_listener_abort_unwritten(http_listener_t *listener) {
    GList *callers = g_hash_table_get_keys(listener->callers);
    for (GList *item = callers; item != NULL; item = item->next) {
        http_caller_t *caller = item->data;
        if (!http_caller_is_unwritten(caller))
            continue;
        if (caller->state == CALLER_ANSWERING)
            listener->handler->on_gone(listener->owner, caller);
        http_caller_end_connection(caller, true);
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

size_t http_listener_unsent_bytes(const http_listener_t *listener) {
    return listener->unsent_bytes;
}

unsigned http_listener_active(const http_listener_t *listener) {
    return listener->active;
}
