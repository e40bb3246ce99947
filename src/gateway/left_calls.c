#include "gateway/left_calls.h"

#include <xxhash.h>

struct left_calls {
    uv_loop_t *loop;
    store_client_t *stores; /**< NULL: storage nodes are not told. */
    uint64_t seed;          /**< So that the sends of each process are its own. */
    left_sends_t *own;
    left_sends_t *doubted; /**< Of these, those whose back ends may have ended. */
    left_sends_t *others;
};

static uint64_t now(const left_calls_t *calls) {
    return uv_now(calls->loop);
}

/** Describes a send that was left: one for each request at each back end. */
static void init_message(const left_calls_t *calls, message_t *message, message_type_t type,
                         const left_send_t *send) {
    const uint64_t pair[] = {send->request, send->backend};
    message_init(message, type);
    message->crash.request = send->request;
    message->crash.backend = (uint16_t)send->backend;
    message->send = XXH64(pair, sizeof pair, calls->seed);
}

static uint32_t run_ms(const left_calls_t *calls, const left_send_t *send) {
    uint64_t until = send->until + LEFT_SEND_MARGIN_MS;
    uint64_t left_ms = until > now(calls) ? until - now(calls) : 0;
    return (uint32_t)MIN(left_ms, UINT32_MAX);
}

/** Storage nodes count what this gateway's calls have left if it is lost meanwhile. */
static void send_to_stores(const left_calls_t *calls, message_type_t type,
                           const left_send_t *send) {
    if (calls->stores == NULL)
        return;
    message_t message;
    init_message(calls, &message, type, send);
    message.wait_ms = run_ms(calls, send);
    store_client_send_for_key(calls->stores, send->request, &message);
    message_clear(&message);
}

static void on_settled(void *owner, const left_send_t *send) {
    send_to_stores(owner, MESSAGE_SEND_ENDED, send);
}

left_calls_t *left_calls_new(uv_loop_t *loop, store_client_t *stores, uint64_t seed) {
    left_calls_t *calls = g_new0(left_calls_t, 1);
    calls->loop = loop;
    calls->stores = stores;
    calls->seed = seed;
    calls->own = left_sends_new(on_settled, calls);
    calls->doubted = left_sends_new(on_settled, calls);
    calls->others = left_sends_new(NULL, NULL);
    return calls;
}

void left_calls_add(left_calls_t *calls, uint64_t request, uint64_t backend, uint64_t run_ms) {
    left_sends_move(calls->doubted, calls->own, request, (uint16_t)backend, now(calls));
    const left_send_t left = left_sends_add(calls->own, request, backend, run_ms, now(calls));
    send_to_stores(calls, MESSAGE_SEND_LEFT, &left);
}

void left_calls_handle_message(left_calls_t *calls, const message_t *message) {
    uint32_t left_ms = message->wait_ms;
    left_sends_add(calls->others, message->crash.request, message->crash.backend,
                   left_ms > LEFT_SEND_MARGIN_MS ? left_ms - LEFT_SEND_MARGIN_MS : 0, now(calls));
}

void left_calls_remove(left_calls_t *calls, uint64_t request, uint16_t backend) {
    left_sends_remove(calls->own, request, backend);
    left_sends_remove(calls->doubted, request, backend);
    left_sends_remove(calls->others, request, backend);
}

void left_calls_forget(left_calls_t *calls, uint64_t request) {
    left_sends_forget(calls->own, request);
    left_sends_forget(calls->doubted, request);
    left_sends_forget(calls->others, request);
}

void left_calls_doubt(left_calls_t *calls, uint64_t backend, GArray *doubted) {
    left_sends_take(calls->own, backend, now(calls), doubted);
    for (guint i = 0; i < doubted->len; i++)
        left_sends_put(calls->doubted, &g_array_index(doubted, left_send_t, i), now(calls));
}

void left_calls_trust(left_calls_t *calls, uint64_t request, uint16_t backend) {
    left_sends_move(calls->doubted, calls->own, request, backend, now(calls));
}

void left_calls_list_backend(const left_calls_t *calls, uint64_t backend, GArray *list) {
    left_sends_list_backend(calls->own, backend, now(calls), list);
}

void left_calls_list(const left_calls_t *calls, uint64_t request, GArray *list) {
    left_sends_list_request(calls->own, request, now(calls), list);
    left_sends_list_request(calls->doubted, request, now(calls), list);
    left_sends_list_request(calls->others, request, now(calls), list);
}

void left_calls_send_to_member(const left_calls_t *calls, unsigned member) {
    GArray *sends = g_array_new(FALSE, FALSE, sizeof(left_send_t));
    left_sends_list(calls->own, now(calls), sends);
    left_sends_list(calls->doubted, now(calls), sends);
    for (guint i = 0; i < sends->len; i++) {
        const left_send_t *send = &g_array_index(sends, left_send_t, i);
        if (!store_client_keeps_key(calls->stores, member, send->request))
            continue;
        message_t message;
        init_message(calls, &message, MESSAGE_SEND_LEFT, send);
        message.wait_ms = run_ms(calls, send);
        store_client_send_member(calls->stores, member, &message);
    }
    g_array_free(sends, TRUE);
}
