#include "common/http_client.h"

#include "common/answer_syntax.h"

#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <pthread.h>
#include <string.h>

enum {
    IDLE_SESSIONS_MAXIMUM = 64, /**< Kept per address. */
    ANSWER_MAXIMUM = 64 * 1024 * 1024,
    READ_BLOCK_BYTES = 16 * 1024,
    MICROSECONDS_PER_MILLISECOND = 1000,
    MILLISECONDS_PER_SECOND = 1000,
};

struct http_client {
    pthread_mutex_t lock;
    GHashTable *idle; /**< "address:port" → GPtrArray of ne_session, guarded by lock. */
};

/** One call under way. */
typedef struct {
    const http_call_t *call;
    ne_session *session;
    int64_t deadline_us;
    bool connected;
    bool aborted;
    bool malformed; /**< The head of the response is malformed. */
    GByteArray *collected;
} exchange_t;

static void free_sessions(gpointer data) {
    GPtrArray *sessions = data;
    g_ptr_array_unref(sessions);
}

static void destroy_session(gpointer session) {
    ne_close_connection(session);
    ne_session_destroy(session);
}

http_client_t *http_client_new(void) {
    http_client_t *client = g_new0(http_client_t, 1);
    ne_sock_init();
    pthread_mutex_init(&client->lock, NULL);
    client->idle = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_sessions);
    return client;
}

void http_client_free(http_client_t *client) {
    g_hash_table_unref(client->idle);
    pthread_mutex_destroy(&client->lock);
    ne_sock_exit();
    g_free(client);
}

static ne_session *take_idle(http_client_t *client, const char *key) {
    ne_session *session = NULL;
    pthread_mutex_lock(&client->lock);
    GPtrArray *sessions = g_hash_table_lookup(client->idle, key);
    if (sessions != NULL && sessions->len > 0)
        session = g_ptr_array_steal_index(sessions, sessions->len - 1);
    pthread_mutex_unlock(&client->lock);
    return session;
}

static void put_idle(http_client_t *client, const char *key, ne_session *session) {
    pthread_mutex_lock(&client->lock);
    GPtrArray *sessions = g_hash_table_lookup(client->idle, key);
    if (sessions == NULL) {
        sessions = g_ptr_array_new_with_free_func(destroy_session);
        g_hash_table_insert(client->idle, g_strdup(key), sessions);
    }
    bool kept = sessions->len < IDLE_SESSIONS_MAXIMUM;
    if (kept)
        g_ptr_array_add(sessions, session);
    pthread_mutex_unlock(&client->lock);
    if (!kept)
        destroy_session(session);
}

static void on_status(void *context, ne_session_status status, const ne_session_status_info *info) {
    (void)info;
    exchange_t *exchange = context;
    if (status == ne_status_connected || status == ne_status_sending)
        exchange->connected = true;
}

static int64_t remaining_us(const exchange_t *exchange) {
    return exchange->deadline_us - g_get_monotonic_time();
}

/** neon counts whole seconds; the deadline itself is checked between reads. */
static int remaining_seconds(const exchange_t *exchange) {
    int64_t unit = (int64_t)MILLISECONDS_PER_SECOND * MICROSECONDS_PER_MILLISECOND;
    int64_t seconds = (remaining_us(exchange) + unit - 1) / unit;
    return (int)MAX(seconds, 1);
}

static bool take_block(exchange_t *exchange, const ne_status *status, const char *block,
                       size_t length) {
    const http_call_t *call = exchange->call;
    if (call->on_chunk != NULL && status->code == 200)
        return call->on_chunk(call->context, block, length);
    if (exchange->collected->len + length > ANSWER_MAXIMUM)
        return false;
    g_byte_array_append(exchange->collected, (const guint8 *)block, (guint)length);
    return true;
}

static int read_answer(exchange_t *exchange, ne_request *request) {
    char block[READ_BLOCK_BYTES];
    for (;;) {
        if (remaining_us(exchange) <= 0)
            return NE_TIMEOUT;
        ssize_t length = ne_read_response_block(request, block, sizeof block);
        if (length < 0)
            return NE_ERROR;
        if (length == 0)
            return ne_end_request(request);
        exchange->aborted = !take_block(exchange, ne_get_status(request), block, (size_t)length);
        if (exchange->aborted)
            return NE_ERROR;
    }
}

/** True if the head is well-formed. neon skips some malformed lines, which can't be found here. */
static bool head_valid(ne_request *request) {
    int status = ne_get_status(request)->code;
    const char *coding = ne_get_response_header(request, "Transfer-Encoding");
    if (status < ANSWER_STATUS_LEAST || status > ANSWER_STATUS_MOST ||
        (coding != NULL && !answer_coding_known(coding)))
        return false;
    const char *name;
    const char *value;
    void *cursor = NULL;
    while ((cursor = ne_response_header_iterate(request, cursor, &name, &value)) != NULL)
        if (!answer_field_name_valid(name, strlen(name)))
            return false;
    return true;
}

/** Sends the request and reads the head. */
static int begin_request(exchange_t *exchange, ne_request *request) {
    int result = ne_begin_request(request);
    exchange->malformed = result == NE_OK && !head_valid(request);
    return exchange->malformed ? NE_ERROR : result;
}

static int run_request(exchange_t *exchange, ne_request *request) {
    const http_call_t *call = exchange->call;
    ne_add_request_header(request, "Content-Type", "application/json");
    if (call->authorization != NULL)
        ne_print_request_header(request, "Authorization", "Bearer %s", call->authorization);
    if (call->request_id != NULL)
        ne_add_request_header(request, "X-Request-Id", call->request_id);
    if (call->body != NULL)
        ne_set_request_body_buffer(request, call->body, call->body_length);
    int result = begin_request(exchange, request);
    while (result == NE_OK) {
        result = read_answer(exchange, request);
        if (result != NE_RETRY)
            return result;
        result = begin_request(exchange, request);
    }
    return result;
}

static const char *failure_text(const exchange_t *exchange) {
    if (exchange->aborted)
        return "given up by the receiver";
    return exchange->malformed ? "malformed head" : ne_get_error(exchange->session);
}

static void set_failure(const exchange_t *exchange, int result, GError **error) {
    const http_call_t *call = exchange->call;
    error_code_t code = RUDDERWAY_ERROR_CONNECTION_LOST;
    if (!exchange->connected)
        code = RUDDERWAY_ERROR_CANNOT_CONNECT;
    else if (exchange->malformed)
        code = RUDDERWAY_ERROR_BACKEND_PROTOCOL;
    else if (result == NE_TIMEOUT || remaining_us(exchange) <= 0)
        code = RUDDERWAY_ERROR_TIMED_OUT;
    error_set(error, code, "%s %s at %s:%u: %s", call->method, call->path, call->address,
              call->port, failure_text(exchange));
}

bool http_client_call(http_client_t *client, const http_call_t *call, http_answer_t *answer,
                      GError **error) {
    char *key = g_strdup_printf("%s:%u", call->address, call->port);
    exchange_t exchange = {.call = call, .collected = g_byte_array_new()};
    exchange.deadline_us = g_get_monotonic_time() + call->timeout_ms * MICROSECONDS_PER_MILLISECOND;
    if (call->repeatable)
        exchange.session = take_idle(client, key);
    if (exchange.session != NULL)
        exchange.connected = true;
    else
        exchange.session = ne_session_create("http", call->address, call->port);
    ne_set_session_flag(exchange.session, NE_SESSFLAG_PERSIST, call->repeatable);
    ne_set_connect_timeout(exchange.session, remaining_seconds(&exchange));
    ne_set_read_timeout(exchange.session, remaining_seconds(&exchange));
    ne_set_notifier(exchange.session, on_status, &exchange);
    ne_request *request = ne_request_create(exchange.session, call->method, call->path);
    int result = run_request(&exchange, request);
    bool answered = result == NE_OK;
    answer->status = answered ? (unsigned)ne_get_status(request)->code : 0;
    answer->body = g_byte_array_free_to_bytes(exchange.collected);
    if (!answered)
        set_failure(&exchange, result, error);
    ne_request_destroy(request);
    ne_set_notifier(exchange.session, NULL, NULL);
    if (answered && call->repeatable)
        put_idle(client, key, exchange.session);
    else
        destroy_session(exchange.session);
    g_free(key);
    return answered;
}

void http_answer_clear(http_answer_t *answer) {
    g_clear_pointer(&answer->body, g_bytes_unref);
}
