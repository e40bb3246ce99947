/*
 * Design. A call is registered at storage nodes so that they count its send if this gateway is lost
 * or stands still meanwhile; see send_registry.h. Each resend after a crash waits for them, since
 * other gateways may have found crashes under the same request while this one could not know.
 */
#include "gateway/call.h"

#include <string.h>
#include <xxhash.h>

static uint64_t send_hash(const call_t *call) {
    return XXH64(call->id, strlen(call->id), 0);
}

void call_registration_begin(call_t *call) {
    call->registration.registered = true;
    send_registry_begin(call->gateway->sends, call->request_id, send_hash(call));
}

static void on_registered(void *owner, const message_t *answer) {
    call_t *call = owner;
    (void)answer;
    call->registration.pending = NULL;
    call->registration.then(call);
}

bool call_registration_await(call_t *call, void (*then)(call_t *call)) {
    gateway_t *gateway = call->gateway;
    if (crash_watch_count(gateway->crashes, call->request_id) == 0)
        return false;
    call->registration.pending = send_registry_request(gateway->sends, call->request_id,
                                                       send_hash(call), on_registered, call);
    if (call->registration.pending == NULL)
        return false;
    call->registration.registered = true;
    call->registration.then = then;
    return true;
}

void call_registration_pause(call_t *call) {
    if (call->registration.registered)
        send_registry_end(call->gateway->sends, call->request_id, send_hash(call));
    call->registration.registered = false;
}

void call_registration_end(call_t *call) {
    if (call->registration.pending != NULL)
        key_request_cancel(call->registration.pending);
    call->registration.pending = NULL;
    if (call->registration.registered && !call->turn.reserved)
        send_registry_end(call->gateway->sends, call->request_id, send_hash(call));
    call->registration.registered = false;
}
