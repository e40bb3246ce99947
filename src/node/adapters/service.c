#include "node/adapters/service.h"

enum { SUCCESS_CLASS = 2, STATUS_CLASS = 100 };

bool service_request(http_client_t *client, const service_call_t *call, GBytes **answer,
                     GError **error) {
    size_t length;
    const char *body = g_bytes_get_data(call->body, &length);
    http_call_t request = {.address = call->address,
                           .port = call->port,
                           .method = "POST",
                           .path = call->path,
                           .request_id = call->request_id,
                           .body = body != NULL ? body : "",
                           .body_length = length,
                           .timeout_ms = call->timeout_ms,
                           .repeatable = call->repeatable};
    http_answer_t reply = {0};
    bool answered = http_client_call(client, &request, &reply, error);
    if (!answered) {
        http_answer_clear(&reply);
        return false;
    }
    *answer = g_steal_pointer(&reply.body);
    if (reply.status / STATUS_CLASS == SUCCESS_CLASS)
        return true;
    error_set(error, RUDDERWAY_ERROR_BACKEND_FAILED, "status %u", reply.status);
    return false;
}
