/*
 * Design. The parser is Debian's libhttp-parser, which is lenient about heads: each line of a head
 * is checked here before it is parsed (common/answer_syntax.h). Else this file moves bytes and
 * keeps the rules of kept connections: an answer is complete by its length, its last chunk, or a
 * clean end of the connection; bytes after a complete answer make the connection unusable; a
 * connection whose request has not left entirely when its answer is complete is not used again,
 * since the rest of that body would still be due.
 *
 * A connection that is not up soon is given up: a machine without power does not refuse it, and the
 * kernel would ask it again only after a second.
 *
 * Failures. A reset leaves an answer incomplete, also one that may end with its connection. A
 * server that falls silent is found by TCP_USER_TIMEOUT and keep-alive probes while bytes or an
 * answer are outstanding; how long an answer may take is the caller's to say.
 */
#include "net/http_client.h"

#include "common/answer_syntax.h"
#include "net/answer_limits.h"

#include <http_parser.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum {
    READ_BUFFER_BYTES = 65536,
    CONNECT_MS = 300,      /**< For a new connection to come up. */
    SILENT_PEER_MS = 2000, /**< Unacknowledged bytes for so long end a connection. */
    PROBE_SECONDS = 1,     /**< Idle time before, and pause between, keep-alive probes. */
    PROBES = 2,
    IDLE_DEFAULT_MS = 4000, /**< Kept so long if the server does not say. */
    IDLE_MARGIN_MS = 700,   /**< Left unused of the time that the server tells. */
};

typedef enum { STATE_CONNECTING, STATE_IDLE, STATE_BUSY, STATE_CLOSED } client_state_t;

struct http_client {
    uv_tcp_t tcp;
    uv_timer_t timer; /**< Ends an attempt to connect, or an idle connection. */
    unsigned open_handles;
    uv_connect_t connect_request;
    uv_write_t write_request;
    client_state_t state;
    bool connected;
    bool write_pending;
    bool any_sent;
    bool any_received;
    bool head_request;
    bool head_complete;
    size_t head_bytes;    /**< Read before the head was complete, with interim heads. */
    GString *line;        /**< Of a head, as far as it was read. */
    bool malformed;       /**< A line of the head is malformed. */
    bool status_line_due; /**< The next line that is not empty begins a head. */
    bool message_complete;
    bool ended_by_close; /**< The end of its connection was the end of the answer. */
    bool stopped;        /**< Closed by a callback while its bytes were parsed. */
    bool reusable;
    uint64_t idle_until;
    uint64_t first_received_at; /**< Loop time; 0: nothing was received yet. */
    GString *request;           /**< The request or its head; NULL when all is written. */
    GPtrArray *body;            /**< Of GBytes: the request's body; NULL: none. */
    http_parser parser;
    http_headers_t headers;
    const http_exchange_handler_t *handler;
    void *user;
    void (*on_idle_closed)(void *owner, http_client_t *client);
    void *owner;
};

static char read_buffer[READ_BUFFER_BYTES];

static void free_request(http_client_t *client) {
    if (client->request != NULL)
        g_string_free(client->request, TRUE);
    client->request = NULL;
    g_clear_pointer(&client->body, g_ptr_array_unref);
}

static void free_client(http_client_t *client) {
    free_request(client);
    http_headers_clear(&client->headers);
    g_string_free(client->line, TRUE);
    g_free(client);
}

static void on_handle_closed(uv_handle_t *handle) {
    http_client_t *client = handle->data;
    if (--client->open_handles == 0)
        free_client(client);
}

void http_client_close(http_client_t *client) {
    if (client->state == STATE_CLOSED)
        return;
    client->state = STATE_CLOSED;
    client->stopped = true;
    client->handler = NULL;
    uv_close((uv_handle_t *)&client->timer, on_handle_closed);
    uv_close((uv_handle_t *)&client->tcp, on_handle_closed);
}

/** Ends the exchange, or the idle connection, after the peer or the network ended it. */
static void connection_lost(http_client_t *client) {
    const http_exchange_handler_t *handler = client->handler;
    void *user = client->user;
    http_failure_t failure = HTTP_FAILURE_NO_ANSWER;
    if (!client->any_sent)
        failure = HTTP_FAILURE_NOT_SENT;
    else if (client->head_bytes > ANSWER_HEAD_MAX_BYTES)
        failure = HTTP_FAILURE_TOO_LONG;
    else if (client->any_received)
        failure = HTTP_FAILURE_BROKEN;
    bool idle = handler == NULL;
    if (idle && client->on_idle_closed != NULL)
        client->on_idle_closed(client->owner, client);
    http_client_close(client);
    if (!idle)
        handler->on_failed(user, failure);
}

/** Fields behind the body are checked and discarded. */
static int on_header_field(http_parser *parser, const char *data, size_t length) {
    http_client_t *client = parser->data;
    if (client->head_complete)
        return answer_field_name_valid(data, length) ? 0 : -1;
    http_headers_name_piece(&client->headers, data, length);
    return 0;
}

static int on_header_value(http_parser *parser, const char *data, size_t length) {
    http_client_t *client = parser->data;
    if (!client->head_complete)
        http_headers_value_piece(&client->headers, data, length);
    return 0;
}

/** True if the body's end can be told: it has no coding, or the one that is known. */
static bool framing_known(const http_parser *parser, const http_headers_t *headers) {
    unsigned codings = 0;
    size_t count = http_headers_count(headers);
    for (size_t i = 0; i < count; i++) {
        if (strcasecmp(http_headers_name(headers, i), "Transfer-Encoding") != 0)
            continue;
        if (codings++ > 0 || !answer_coding_known(http_headers_value(headers, i)))
            return false;
    }
    bool has_codings = parser->http_minor > 0; /* HTTP/1.0 has none. */
    return codings == 0 || has_codings;
}

static int on_headers_complete(http_parser *parser) {
    http_client_t *client = parser->data;
    http_headers_finish(&client->headers);
    /* A change of protocol is never asked for. */
    if (parser->status_code == HTTP_STATUS_SWITCHING_PROTOCOLS ||
        !framing_known(parser, &client->headers))
        return -1;
    if (parser->status_code / 100 == 1)
        return 0;
    client->head_complete = true;
    http_answer_head_t head = {.status = parser->status_code, .headers = &client->headers};
    bool wanted = client->handler->on_head(client->user, &head);
    if (client->stopped)
        return -1;
    if (!wanted) {
        http_client_close(client);
        return -1;
    }
    return client->head_request ? 1 : 0;
}

static int on_body(http_parser *parser, const char *data, size_t length) {
    http_client_t *client = parser->data;
    client->handler->on_body(client->user, data, length);
    return client->stopped ? -1 : 0;
}

static int on_message_complete(http_parser *parser) {
    http_client_t *client = parser->data;
    if (parser->status_code / 100 == 1) {
        http_headers_reset(&client->headers);
        client->status_line_due = true;
        return 0;
    }
    client->message_complete = true;
    client->reusable = http_should_keep_alive(parser) != 0;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

/** Reads "timeout=N" of a Keep-Alive field into the time until which the connection is kept. */
static void note_idle_time(http_client_t *client) {
    uint64_t allowed = IDLE_DEFAULT_MS;
    const char *field = http_headers_find(&client->headers, "Keep-Alive");
    const char *timeout = field == NULL ? NULL : strstr(field, "timeout=");
    if (timeout != NULL)
        allowed = strtoull(timeout + strlen("timeout="), NULL, 10) * 1000;
    allowed = allowed > IDLE_MARGIN_MS ? allowed - IDLE_MARGIN_MS : 0;
    client->idle_until = uv_now(client->tcp.loop) + allowed;
}

static void finish_exchange(http_client_t *client, bool trailing_bytes) {
    const http_exchange_handler_t *handler = client->handler;
    void *user = client->user;
    client->handler = NULL;
    if (trailing_bytes || client->write_pending || client->request != NULL)
        client->reusable = false;
    note_idle_time(client);
    client->state = STATE_IDLE;
    if (!client->reusable)
        http_client_close(client);
    handler->on_complete(user);
}

/**
 * True if the server has closed the connection, false if it was reset. libuv reports both as an end
 * when bytes came just before, and the kernel reports a reset as an error once, perhaps to the
 * write of the request. The state of the connection tells them apart at any time: after a reset it
 * has none left.
 */
static bool ended_cleanly(const http_client_t *client) {
    uv_os_fd_t descriptor;
    if (uv_fileno((const uv_handle_t *)&client->tcp, &descriptor) != 0)
        return false;
    struct tcp_info info;
    socklen_t length = sizeof info;
    return getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &length) == 0 &&
           info.tcpi_state == TCP_CLOSE_WAIT;
}

/** Counts @p count more bytes; true if the head is still not complete after all that it may hold.
 */
static bool head_is_too_long(http_client_t *client, size_t count) {
    if (!client->head_complete)
        client->head_bytes += count;
    return client->head_bytes > ANSWER_HEAD_MAX_BYTES;
}

/** True if the line, which was read whole, is well-formed. */
static bool line_valid(http_client_t *client) {
    const GString *line = client->line;
    size_t length = line->len - 1;
    if (length > 0 && line->str[length - 1] == '\r')
        length--;
    if (length == 0)
        return true;
    if (!client->status_line_due)
        return answer_field_line_valid(line->str, length);
    client->status_line_due = false;
    return answer_status_line_valid(line->str, length);
}

/**
 * Parses the line, or the part of one, that @p data begins with; returns the bytes used, fewer than
 * the line has if it is malformed or the parser has stopped.
 */
static size_t parse_line(http_client_t *client, const char *data, size_t length) {
    const char *end = memchr(data, '\n', length);
    size_t piece = end == NULL ? length : (size_t)(end - data) + 1;
    g_string_append_len(client->line, data, (gssize)piece);
    if (end != NULL && !line_valid(client)) {
        client->malformed = true;
        return 0;
    }
    if (end != NULL)
        g_string_truncate(client->line, 0);
    return http_parser_execute(&client->parser, &parser_settings, data, piece);
}

/** True while the parser takes more bytes of the answer. */
static bool parses_on(const http_client_t *client) {
    return client->state != STATE_CLOSED && !client->malformed && !client->message_complete &&
           HTTP_PARSER_ERRNO(&client->parser) == HPE_OK;
}

/** Returns the bytes of @p data that belong to the answer. */
static size_t parse_answer(http_client_t *client, const char *data, size_t length) {
    size_t used = 0;
    while (used < length && parses_on(client) && !client->head_complete)
        used += parse_line(client, data + used, length - used);
    if (used < length && parses_on(client))
        used += http_parser_execute(&client->parser, &parser_settings, data + used, length - used);
    return used;
}

static void on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer) {
    http_client_t *client = stream->data;
    if (client->state == STATE_CLOSED || count == 0)
        return;
    if (client->handler == NULL) {
        connection_lost(client);
        return;
    }
    if (count < 0) {
        /* A clean end may complete an answer without a length. */
        if (count == UV_EOF && client->any_received && ended_cleanly(client)) {
            http_parser_execute(&client->parser, &parser_settings, NULL, 0);
            if (client->state == STATE_CLOSED)
                return;
            if (client->message_complete) {
                client->ended_by_close = true;
                client->reusable = false;
                finish_exchange(client, false);
                return;
            }
        }
        connection_lost(client);
        return;
    }
    client->any_received = true;
    if (client->first_received_at == 0)
        client->first_received_at = uv_now(client->tcp.loop);
    size_t parsed = parse_answer(client, buffer->base, (size_t)count);
    if (client->state == STATE_CLOSED)
        return;
    if (client->message_complete)
        finish_exchange(client, parsed < (size_t)count);
    else if (!parses_on(client) || head_is_too_long(client, (size_t)count))
        connection_lost(client);
}

static void provide_buffer(uv_handle_t *handle, size_t size, uv_buf_t *buffer) {
    (void)handle;
    (void)size;
    *buffer = uv_buf_init(read_buffer, sizeof read_buffer);
}

static void on_written(uv_write_t *request, int status) {
    http_client_t *client = request->data;
    client->write_pending = false;
    if (client->state == STATE_CLOSED)
        return;
    free_request(client);
    /* After a failed write the reading side still has what the server sent before its end. */
    (void)status;
}

/** The request's parts, in an array of which @p count are in use. Free with g_free(). */
static uv_buf_t *list_parts(const http_client_t *client, unsigned *count) {
    unsigned parts = client->body == NULL ? 0 : client->body->len;
    uv_buf_t *buffers = g_new(uv_buf_t, parts + 1);
    buffers[0] = uv_buf_init(client->request->str, (unsigned)client->request->len);
    for (unsigned i = 0; i < parts; i++) {
        gsize length;
        const void *data = g_bytes_get_data(g_ptr_array_index(client->body, i), &length);
        buffers[i + 1] = uv_buf_init((char *)data, (unsigned)length);
    }
    *count = parts + 1;
    return buffers;
}

/** Removes @p written bytes from the begin of the buffers; returns how many of them are done. */
static unsigned skip_written(uv_buf_t *buffers, unsigned count, size_t written) {
    unsigned done = 0;
    while (done < count && written >= buffers[done].len)
        written -= buffers[done++].len;
    if (done < count) {
        buffers[done].base += written;
        buffers[done].len -= written;
    }
    return done;
}

/** Writes the parts; false if the connection is lost. */
static bool write_parts(http_client_t *client, uv_buf_t *buffers, unsigned count) {
    uv_stream_t *stream = (uv_stream_t *)&client->tcp;
    int written = uv_try_write(stream, buffers, count);
    if (written == UV_EAGAIN)
        written = 0;
    if (written < 0)
        return false;
    client->any_sent = true;
    unsigned done = skip_written(buffers, count, (size_t)written);
    if (done == count) {
        free_request(client);
        return true;
    }
    client->write_request.data = client;
    client->write_pending =
        uv_write(&client->write_request, stream, buffers + done, count - done, on_written) == 0;
    return client->write_pending;
}

static void write_request(http_client_t *client) {
    unsigned count;
    uv_buf_t *buffers = list_parts(client, &count);
    bool written = write_parts(client, buffers, count);
    g_free(buffers);
    if (!written)
        connection_lost(client);
}

static void on_connected(uv_connect_t *request, int status) {
    http_client_t *client = request->data;
    if (client->state == STATE_CLOSED)
        return;
    if (status != 0) {
        connection_lost(client);
        return;
    }
    client->connected = true;
    uv_timer_stop(&client->timer);
    uv_read_start((uv_stream_t *)&client->tcp, provide_buffer, on_read);
    if (client->handler == NULL) {
        client->state = STATE_IDLE;
        return;
    }
    client->state = STATE_BUSY;
    write_request(client);
}

static void on_time_over(uv_timer_t *timer) {
    connection_lost(timer->data);
}

static void set_socket_options(uv_tcp_t *tcp) {
    uv_tcp_nodelay(tcp, 1);
    uv_os_fd_t descriptor;
    if (uv_fileno((uv_handle_t *)tcp, &descriptor) != 0)
        return;
    int on = 1;
    int idle = PROBE_SECONDS;
    int probes = PROBES;
    unsigned silent = SILENT_PEER_MS;
    setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &idle, sizeof idle);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &silent, sizeof silent);
}

http_client_t *http_client_open(uv_loop_t *loop, const struct sockaddr_in *address,
                                void (*on_idle_closed)(void *owner, http_client_t *client),
                                void *owner) {
    http_client_t *client = g_new0(http_client_t, 1);
    http_headers_init(&client->headers);
    client->line = g_string_new(NULL);
    /* Opens the socket, which needs a descriptor; a handle without one must not be closed. */
    if (uv_tcp_init_ex(loop, &client->tcp, AF_INET) != 0) {
        free_client(client);
        return NULL;
    }
    client->tcp.data = client;
    uv_timer_init(loop, &client->timer);
    client->timer.data = client;
    client->open_handles = 2;
    client->connect_request.data = client;
    client->on_idle_closed = on_idle_closed;
    client->owner = owner;
    client->state = STATE_CONNECTING;
    set_socket_options(&client->tcp);
    int status = uv_tcp_connect(&client->connect_request, &client->tcp,
                                (const struct sockaddr *)address, on_connected);
    if (status != 0) {
        http_client_close(client);
        return NULL;
    }
    uv_timer_start(&client->timer, on_time_over, CONNECT_MS, 0);
    return client;
}

void http_client_keep(http_client_t *client,
                      void (*on_idle_closed)(void *owner, http_client_t *client), void *owner) {
    client->on_idle_closed = on_idle_closed;
    client->owner = owner;
    client->reusable = true;
    client->idle_until = uv_now(client->tcp.loop) + IDLE_DEFAULT_MS - IDLE_MARGIN_MS;
}

void http_client_pause(http_client_t *client) {
    uv_read_stop((uv_stream_t *)&client->tcp);
}

void http_client_resume(http_client_t *client) {
    if (client->state != STATE_CLOSED)
        uv_read_start((uv_stream_t *)&client->tcp, provide_buffer, on_read);
}

void http_client_send(http_client_t *client, GString *request, bool head_request,
                      const http_exchange_handler_t *handler, void *user) {
    http_client_send_parts(client, request, NULL, head_request, handler, user);
}

void http_client_send_parts(http_client_t *client, GString *head, GPtrArray *body,
                            bool head_request, const http_exchange_handler_t *handler, void *user) {
    http_parser_init(&client->parser, HTTP_RESPONSE);
    client->parser.data = client;
    http_headers_reset(&client->headers);
    client->request = head;
    client->body = body;
    client->head_request = head_request;
    client->handler = handler;
    client->user = user;
    client->any_sent = false;
    client->any_received = false;
    client->head_complete = false;
    client->head_bytes = 0;
    g_string_truncate(client->line, 0);
    client->malformed = false;
    client->status_line_due = true;
    client->message_complete = false;
    client->ended_by_close = false;
    client->reusable = false;
    if (client->state == STATE_CONNECTING)
        return;
    uv_timer_stop(&client->timer);
    client->state = STATE_BUSY;
    write_request(client);
}

bool http_client_connected(const http_client_t *client) {
    return client->connected;
}

bool http_client_reusable(const http_client_t *client) {
    return client->state == STATE_IDLE && client->reusable;
}

bool http_client_answer_ended_by_close(const http_client_t *client) {
    return client->ended_by_close;
}

uint64_t http_client_first_received_at(const http_client_t *client) {
    return client->first_received_at;
}

uint64_t http_client_idle_until(const http_client_t *client) {
    return client->idle_until;
}

void http_client_limit_idle_time(http_client_t *client) {
    uint64_t now = uv_now(client->tcp.loop);
    uint64_t left = client->idle_until > now ? client->idle_until - now : 0;
    if (client->state == STATE_IDLE)
        uv_timer_start(&client->timer, on_time_over, left, 0);
}
