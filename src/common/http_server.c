#include "common/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>

enum {
    STREAM_BLOCK_BYTES = 16 * 1024,
    MILLISECONDS_PER_SECOND = 1000,
};

struct http_server {
    struct MHD_Daemon *daemon;
    http_handler_t handler;
    void *context;
    size_t body_maximum;
    gint in_flight;
};

/** Who still refers to a request: the server's side and the owner's. */
enum { REQUEST_REFERENCES = 2 };

struct http_request {
    gint references;
    http_server_t *server;
    struct MHD_Connection *connection;
    char *method;
    char *path;
    GByteArray *upload;
    GBytes *body;
    bool too_large;
    bool handed_over;
    pthread_mutex_t lock; /**< Guards what follows. */
    bool closed;          /**< The client is gone or has everything. */
    bool suspended;
    struct MHD_Response *response;
    unsigned status;
    GByteArray *stream; /**< Bytes not yet sent; NULL unless streamed. */
    bool stream_finished;
};

static void request_unref(http_request_t *request) {
    if (!g_atomic_int_dec_and_test(&request->references))
        return;
    http_server_t *server = request->server;
    bool handed_over = request->handed_over;
    g_free(request->method);
    g_free(request->path);
    g_clear_pointer(&request->upload, g_byte_array_unref);
    g_clear_pointer(&request->body, g_bytes_unref);
    g_clear_pointer(&request->stream, g_byte_array_unref);
    pthread_mutex_destroy(&request->lock);
    g_free(request);
    /* Last: a stop that sees no requests frees the server. */
    if (handed_over)
        g_atomic_int_add(&server->in_flight, -1);
}

static http_request_t *request_new(http_server_t *server, struct MHD_Connection *connection,
                                   const char *method, const char *path) {
    http_request_t *request = g_new0(http_request_t, 1);
    request->references = 1;
    request->server = server;
    request->connection = connection;
    request->method = g_strdup(method);
    request->path = g_strdup(path);
    request->upload = g_byte_array_new();
    pthread_mutex_init(&request->lock, NULL);
    return request;
}

static void take_upload(http_request_t *request, const char *data, size_t length) {
    if (request->too_large || request->upload->len + length > request->server->body_maximum) {
        request->too_large = true;
        g_byte_array_set_size(request->upload, 0);
        return;
    }
    g_byte_array_append(request->upload, (const guint8 *)data, (guint)length);
}

static enum MHD_Result hand_over(http_request_t *request) {
    http_server_t *server = request->server;
    request->handed_over = true;
    request->body = g_byte_array_free_to_bytes(g_steal_pointer(&request->upload));
    g_atomic_int_set(&request->references, REQUEST_REFERENCES);
    g_atomic_int_inc(&server->in_flight);
    request->suspended = true;
    MHD_suspend_connection(request->connection);
    server->handler(server->context, request);
    return MHD_YES;
}

static enum MHD_Result queue_answer(http_request_t *request) {
    pthread_mutex_lock(&request->lock);
    struct MHD_Response *response = g_steal_pointer(&request->response);
    pthread_mutex_unlock(&request->lock);
    if (response == NULL)
        return MHD_YES;
    enum MHD_Result result = MHD_queue_response(request->connection, request->status, response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result on_access(void *context, struct MHD_Connection *connection, const char *url,
                                 const char *method, const char *version, const char *data,
                                 size_t *length, void **state) {
    (void)version;
    http_request_t *request = *state;
    if (request == NULL) {
        *state = request_new(context, connection, method, url);
        return MHD_YES;
    }
    if (*length > 0) {
        take_upload(request, data, *length);
        *length = 0;
        return MHD_YES;
    }
    return request->handed_over ? queue_answer(request) : hand_over(request);
}

static void on_completed(void *context, struct MHD_Connection *connection, void **state,
                         enum MHD_RequestTerminationCode code) {
    (void)context;
    (void)connection;
    (void)code;
    http_request_t *request = *state;
    if (request == NULL)
        return;
    *state = NULL;
    pthread_mutex_lock(&request->lock);
    request->closed = true;
    pthread_mutex_unlock(&request->lock);
    request_unref(request);
}

http_server_t *http_server_start(const http_server_options_t *options, http_handler_t handler,
                                 void *context, GError **error) {
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(options->port)};
    if (inet_pton(AF_INET, options->address, &address.sin_addr) != 1) {
        error_set(error, RUDDERWAY_ERROR_SYSTEM, "%s is no IPv4 address", options->address);
        return NULL;
    }
    http_server_t *server = g_new0(http_server_t, 1);
    server->handler = handler;
    server->context = context;
    server->body_maximum = options->body_maximum;
    server->daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, options->port, NULL, NULL,
        on_access, server, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_THREAD_POOL_SIZE,
        options->threads, MHD_OPTION_CONNECTION_LIMIT, options->connections_maximum,
        MHD_OPTION_CONNECTION_TIMEOUT, options->idle_seconds, MHD_OPTION_NOTIFY_COMPLETED,
        on_completed, NULL, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
    if (server->daemon == NULL) {
        error_set(error, RUDDERWAY_ERROR_SYSTEM, "cannot listen on %s:%u: %s", options->address,
                  options->port, g_strerror(errno));
        g_free(server);
        return NULL;
    }
    return server;
}

uint16_t http_server_port(const http_server_t *server) {
    return MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

unsigned http_server_in_flight(const http_server_t *server) {
    return (unsigned)g_atomic_int_get(&server->in_flight);
}

void http_server_quiesce(http_server_t *server) {
    /* MHD_quiesce_daemon and a busy thread of the pool may both remove the socket: MHD aborts. */
    shutdown(MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd, SHUT_RD);
}

void http_server_stop(http_server_t *server) {
    MHD_stop_daemon(server->daemon);
    g_free(server);
}

const char *http_request_method(const http_request_t *request) {
    return request->method;
}

const char *http_request_path(const http_request_t *request) {
    return request->path;
}

const char *http_request_query(const http_request_t *request, const char *name) {
    return MHD_lookup_connection_value(request->connection, MHD_GET_ARGUMENT_KIND, name);
}

const char *http_request_header(const http_request_t *request, const char *name) {
    return MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND, name);
}

GBytes *http_request_body(const http_request_t *request) {
    return request->body;
}

bool http_request_body_too_large(const http_request_t *request) {
    return request->too_large;
}

/** Lets the server look at the request again; the lock is held. */
static void wake(http_request_t *request) {
    if (!request->suspended || request->closed)
        return;
    request->suspended = false;
    MHD_resume_connection(request->connection);
}

static void set_response(http_request_t *request, unsigned status, struct MHD_Response *response) {
    request->status = status;
    request->response = response;
    wake(request);
}

void http_respond(http_request_t *request, unsigned status, const char *content_type, GBytes *body,
                  int64_t retry_after_ms) {
    size_t length;
    const void *data = g_bytes_get_data(body, &length);
    struct MHD_Response *response =
        MHD_create_response_from_buffer(length, (void *)data, MHD_RESPMEM_MUST_COPY);
    g_bytes_unref(body);
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, content_type);
    if (retry_after_ms > 0) {
        int64_t seconds = (retry_after_ms + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND;
        char *value = g_strdup_printf("%" G_GINT64_FORMAT, seconds);
        MHD_add_response_header(response, MHD_HTTP_HEADER_RETRY_AFTER, value);
        g_free(value);
    }
    pthread_mutex_lock(&request->lock);
    set_response(request, status, response);
    pthread_mutex_unlock(&request->lock);
    request_unref(request);
}

static ssize_t read_stream(void *context, uint64_t position, char *buffer, size_t maximum) {
    (void)position;
    http_request_t *request = context;
    pthread_mutex_lock(&request->lock);
    ssize_t result = 0;
    if (request->stream->len > 0) {
        guint length = (guint)MIN(maximum, request->stream->len);
        memcpy(buffer, request->stream->data, length);
        g_byte_array_remove_range(request->stream, 0, length);
        result = (ssize_t)length;
    } else if (request->stream_finished) {
        result = MHD_CONTENT_READER_END_OF_STREAM;
    } else {
        request->suspended = true;
        MHD_suspend_connection(request->connection);
    }
    pthread_mutex_unlock(&request->lock);
    return result;
}

void http_stream_start(http_request_t *request, const char *content_type) {
    struct MHD_Response *response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, read_stream, request, NULL);
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, content_type);
    MHD_add_response_header(response, MHD_HTTP_HEADER_CACHE_CONTROL, "no-store");
    pthread_mutex_lock(&request->lock);
    request->stream = g_byte_array_new();
    set_response(request, MHD_HTTP_OK, response);
    pthread_mutex_unlock(&request->lock);
}

bool http_stream_write(http_request_t *request, const void *data, size_t length) {
    pthread_mutex_lock(&request->lock);
    bool open = !request->closed;
    if (open) {
        g_byte_array_append(request->stream, data, (guint)length);
        wake(request);
    }
    pthread_mutex_unlock(&request->lock);
    return open;
}

void http_stream_finish(http_request_t *request) {
    pthread_mutex_lock(&request->lock);
    request->stream_finished = true;
    wake(request);
    pthread_mutex_unlock(&request->lock);
    request_unref(request);
}
