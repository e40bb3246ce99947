#include "gateway/key_requests.h"

struct key_requests {
    uv_loop_t *loop;
    store_client_t *stores;
    uint64_t timeout_ms;
    key_answer_decides_t decides;
    GHashTable *pending; /**< Number to key_request_t. */
};

struct key_request {
    key_requests_t *requests;
    uint64_t number;
    unsigned awaited; /**< Nodes that have not answered. */
    uv_timer_t timer;
    key_request_done_t done;
    void *owner;
};

key_requests_t *key_requests_new(uv_loop_t *loop, store_client_t *stores, uint64_t timeout_ms,
                                 key_answer_decides_t decides) {
    key_requests_t *requests = g_new0(key_requests_t, 1);
    requests->loop = loop;
    requests->stores = stores;
    requests->timeout_ms = timeout_ms;
    requests->decides = decides;
    requests->pending = g_hash_table_new(g_int64_hash, g_int64_equal);
    return requests;
}

static void free_request(uv_handle_t *handle) {
    g_free(handle->data);
}

void key_request_cancel(key_request_t *request) {
    g_hash_table_remove(request->requests->pending, &request->number);
    uv_close((uv_handle_t *)&request->timer, free_request);
}

static void conclude(key_request_t *request, const message_t *answer) {
    key_request_done_t done = request->done;
    void *owner = request->owner;
    key_request_cancel(request);
    done(owner, answer);
}

static void on_timer(uv_timer_t *timer) {
    conclude(timer->data, NULL);
}

key_request_t *key_requests_send(key_requests_t *requests, uint64_t key, message_t *message,
                                 key_request_done_t done, void *owner) {
    message->number = store_client_next_number(requests->stores);
    unsigned awaited = store_client_send_for_key(requests->stores, key, message);
    if (awaited == 0)
        return NULL;
    key_request_t *request = g_new0(key_request_t, 1);
    request->requests = requests;
    request->number = message->number;
    request->awaited = awaited;
    request->done = done;
    request->owner = owner;
    uv_timer_init(requests->loop, &request->timer);
    request->timer.data = request;
    uv_timer_start(&request->timer, on_timer, requests->timeout_ms, 0);
    g_hash_table_insert(requests->pending, &request->number, request);
    return request;
}

void key_requests_handle_answer(key_requests_t *requests, const message_t *answer) {
    key_request_t *request = g_hash_table_lookup(requests->pending, &answer->number);
    if (request == NULL)
        return;
    request->awaited--;
    if (requests->decides(answer))
        conclude(request, answer);
    else if (request->awaited == 0)
        conclude(request, NULL);
}
