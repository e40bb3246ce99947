/* Measures back ends by the calls that they answer; see backend_paces.h. */
#include "gateway/call.h"

#include "gateway/backend_paces.h"

enum {
    US_PER_MS = 1000,
    STATUS_OK = 200,
    STATUS_MULTIPLE_CHOICES = 300,
    GAPS_NEEDED = 2, /**< Between events; one may be an accident of the network. */
};

void call_pace_note_head(const call_t *call, unsigned status) {
    bool success = status >= STATUS_OK && status < STATUS_MULTIPLE_CHOICES;
    if (success && call->route->kind != CALL_STREAM)
        backend_paces_note_answer(call->backend, call->route->name, call->sent_at);
}

void call_pace_note_events(call_t *call) {
    call_pace_t *pace = &call->pace;
    bool of_send = pace->sent_at == call->sent_at && pace->first_at > 0;
    if (call->events.events == pace->events)
        return;
    pace->events = call->events.events;
    pace->last_at = uv_now(call->gateway->loop);
    if (of_send)
        return;
    pace->sent_at = call->sent_at;
    pace->first_at = pace->last_at;
    pace->first_events = call->events.events;
}

void call_pace_note_stream(const call_t *call) {
    const call_pace_t *pace = &call->pace;
    unsigned gaps = call->events.events - pace->first_events;
    if (pace->sent_at != call->sent_at || pace->first_at == 0 || gaps < GAPS_NEEDED)
        return;
    uint64_t us = (pace->last_at - pace->first_at) * US_PER_MS / gaps;
    backend_paces_note_stream(call->backend, (uint32_t)MIN(us, UINT32_MAX), call->sent_at);
}
