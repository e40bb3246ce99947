/*
 * Design. The attempts of one caller for the same request differ in their call id. What they share
 * is the tenant, the route, the program with its session and previous turn, and the body; of a call
 * without a body, the target. Callers that belong to no program may send equal requests, which have
 * the same identity.
 */
#include "gateway/call.h"

#include <string.h>
#include <xxhash.h>

static void add_text(XXH64_state_t *state, const char *text) {
    if (text != NULL)
        XXH64_update(state, text, strlen(text));
    XXH64_update(state, "", 1);
}

uint64_t call_identity(const call_t *call) {
    const http_request_t *request = call->request;
    XXH64_state_t *state = XXH64_createState();
    XXH64_reset(state, 0);
    add_text(state, call->tenant == NULL ? NULL : call->tenant->name);
    add_text(state, call->route->name);
    add_text(state, request->method);
    add_text(state, call->program);
    add_text(state, call_field(call, FIELD_SESSION));
    add_text(state, call_field(call, FIELD_PREVIOUS_TURN));
    if (request->body_length > 0)
        XXH64_update(state, request->body, request->body_length);
    else
        add_text(state, request->target);
    uint64_t identity = XXH64_digest(state);
    XXH64_freeState(state);
    return identity;
}
