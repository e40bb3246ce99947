#include "gateway/stream_client.h"

#include "gateway/key_requests.h"

enum {
    STREAMS_MAX = 10000,       /**< Kept by this gateway; below 1 MB. */
    RESPONSE_TIMEOUT_MS = 300, /**< The caller still has time for another attempt. */
};

struct stream_client {
    uv_loop_t *loop;
    store_client_t *stores;
    stream_versions_t versions;
    key_requests_t *requests;
};

struct stream_request {
    key_request_t *pending;
    stream_version_done_t done;
    void *owner;
};

static bool names_version(const message_t *answer) {
    return answer->version != VERSION_ANY;
}

stream_client_t *stream_client_new(uv_loop_t *loop, store_client_t *stores) {
    stream_client_t *client = g_new0(stream_client_t, 1);
    client->loop = loop;
    client->stores = stores;
    client->requests = key_requests_new(loop, stores, RESPONSE_TIMEOUT_MS, names_version);
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

void stream_request_cancel(stream_request_t *request) {
    key_request_cancel(request->pending);
    g_free(request);
}

static void on_answer(void *owner, const message_t *answer) {
    stream_request_t *request = owner;
    stream_version_done_t done = request->done;
    void *request_owner = request->owner;
    g_free(request);
    done(request_owner, answer == NULL ? VERSION_UNKNOWN : answer->version);
}

stream_request_t *stream_client_find(stream_client_t *client, uint64_t stream,
                                     software_version_t *version, stream_version_done_t done,
                                     void *owner) {
    *version = stream_versions_find(&client->versions, stream, uv_now(client->loop));
    if (*version != VERSION_ANY)
        return NULL;
    message_t message;
    message_init(&message, REQUEST_STREAM);
    message.stream = stream;
    stream_request_t *request = g_new0(stream_request_t, 1);
    request->done = done;
    request->owner = owner;
    request->pending = key_requests_send(client->requests, stream, &message, on_answer, request);
    message_clear(&message);
    if (request->pending != NULL)
        return request;
    g_free(request);
    *version = VERSION_UNKNOWN;
    return NULL;
}

void stream_client_handle_response(stream_client_t *client, const message_t *message) {
    key_requests_handle_answer(client->requests, message);
}
