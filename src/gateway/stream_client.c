#include "gateway/stream_client.h"

enum {
    STREAMS_MAX = 10000,       /**< Kept by this gateway; below 1 MB. */
    RESPONSE_TIMEOUT_MS = 300, /**< The caller still has time for another attempt. */
};

struct stream_client {
    uv_loop_t *loop;
    store_client_t *stores;
    stream_versions_t versions;
    GHashTable *pending; /**< Number to stream_request_t. */
};

struct stream_request {
    stream_client_t *client;
    uint64_t number;
    unsigned awaited; /**< Members that have not answered. */
    uv_timer_t timer;
    stream_version_done_t done;
    void *owner;
};

stream_client_t *stream_client_new(uv_loop_t *loop, store_client_t *stores) {
    stream_client_t *client = g_new0(stream_client_t, 1);
    client->loop = loop;
    client->stores = stores;
    client->pending = g_hash_table_new(g_int64_hash, g_int64_equal);
    stream_versions_init(&client->versions, STREAMS_MAX);
    return client;
}

void stream_client_record(stream_client_t *client, uint64_t stream, software_version_t version) {
    stream_versions_record(&client->versions, stream, version, uv_now(client->loop));
    message_t message;
    message_init(&message, MESSAGE_STREAM);
    message.stream = stream;
    message.version = version;
    store_client_send_for_key(client->stores, stream, &message);
    message_clear(&message);
}

static void free_request(uv_handle_t *handle) {
    g_free(handle->data);
}

void stream_request_cancel(stream_request_t *request) {
    g_hash_table_remove(request->client->pending, &request->number);
    uv_close((uv_handle_t *)&request->timer, free_request);
}

static void conclude(stream_request_t *request, software_version_t version) {
    stream_version_done_t done = request->done;
    void *owner = request->owner;
    stream_request_cancel(request);
    done(owner, version);
}

static void on_timer(uv_timer_t *timer) {
    conclude(timer->data, VERSION_UNKNOWN);
}

/** Asks the stream's members; returns the number of those that are connected. */
static unsigned request_version(const stream_client_t *client, uint64_t stream, uint64_t number) {
    message_t message;
    message_init(&message, REQUEST_STREAM);
    message.number = number;
    message.stream = stream;
    unsigned asked = store_client_send_for_key(client->stores, stream, &message);
    message_clear(&message);
    return asked;
}

stream_request_t *stream_client_find(stream_client_t *client, uint64_t stream,
                                     software_version_t *version, stream_version_done_t done,
                                     void *owner) {
    *version = stream_versions_find(&client->versions, stream, uv_now(client->loop));
    if (*version != VERSION_ANY)
        return NULL;
    uint64_t number = store_client_next_number(client->stores);
    unsigned awaited = request_version(client, stream, number);
    if (awaited == 0) {
        *version = VERSION_UNKNOWN;
        return NULL;
    }
    stream_request_t *request = g_new0(stream_request_t, 1);
    request->client = client;
    request->number = number;
    request->awaited = awaited;
    request->done = done;
    request->owner = owner;
    uv_timer_init(client->loop, &request->timer);
    request->timer.data = request;
    uv_timer_start(&request->timer, on_timer, RESPONSE_TIMEOUT_MS, 0);
    g_hash_table_insert(client->pending, &request->number, request);
    return request;
}

void stream_client_handle_response(stream_client_t *client, const message_t *message) {
    stream_request_t *request = g_hash_table_lookup(client->pending, &message->number);
    if (request == NULL || message->type != RESPONSE_STREAM)
        return;
    request->awaited--;
    if (message->version != VERSION_ANY)
        conclude(request, message->version);
    else if (request->awaited == 0)
        conclude(request, VERSION_UNKNOWN);
}
