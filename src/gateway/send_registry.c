#include "gateway/send_registry.h"

struct send_registry {
    store_client_t *stores;
    key_requests_t *requests;
};

static bool decides(const message_t *answer) {
    (void)answer;
    return true;
}

send_registry_t *send_registry_new(uv_loop_t *loop, store_client_t *stores) {
    send_registry_t *registry = g_new0(send_registry_t, 1);
    registry->stores = stores;
    registry->requests = key_requests_new(loop, stores, REGISTRATION_TIMEOUT_MS, decides);
    return registry;
}

static void send_message(const send_registry_t *registry, message_type_t type, uint64_t request,
                         uint64_t send) {
    message_t message;
    message_init(&message, type);
    message.crash.request = request;
    message.send = send;
    store_client_send_for_key(registry->stores, request, &message);
    message_clear(&message);
}

void send_registry_begin(const send_registry_t *registry, uint64_t request, uint64_t send) {
    send_message(registry, REQUEST_SEND, request, send);
}

void send_registry_end(const send_registry_t *registry, uint64_t request, uint64_t send) {
    send_message(registry, MESSAGE_SEND_ENDED, request, send);
}

key_request_t *send_registry_request(const send_registry_t *registry, uint64_t request,
                                     uint64_t send, key_request_done_t done, void *owner) {
    message_t message;
    message_init(&message, REQUEST_SEND);
    message.crash.request = request;
    message.send = send;
    key_request_t *pending = key_requests_send(registry->requests, request, &message, done, owner);
    message_clear(&message);
    return pending;
}

void send_registry_handle_response(const send_registry_t *registry, const message_t *message) {
    key_requests_handle_answer(registry->requests, message);
}
