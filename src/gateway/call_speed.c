/* Measures the speed of back ends from responses; see backend_speeds.h. */
#include "gateway/call.h"

#include "gateway/backend_speeds.h"

enum {
    US_PER_MS = 1000,
    STATUS_OK = 200,
    STATUS_MULTIPLE_CHOICES = 300,
    MIN_EVENT_GAPS = 2, /**< Between events; a single gap may be network jitter. */
};

void call_speed_record_head(const call_t *call, unsigned status) {
    bool success = status >= STATUS_OK && status < STATUS_MULTIPLE_CHOICES;
    if (success && call->route->kind != CALL_STREAM)
        backend_speeds_record_answer(call->backend, call->route->name, call->sent_at);
}

void call_speed_record_events(call_t *call) {
    call_speed_t *speed = &call->speed;
    bool of_send = speed->sent_at == call->sent_at && speed->first_at > 0;
    if (call->events.events == speed->events)
        return;
    speed->events = call->events.events;
    speed->last_at = uv_now(call->gateway->loop);
    if (of_send)
        return;
    speed->sent_at = call->sent_at;
    speed->first_at = speed->last_at;
    speed->first_events = call->events.events;
}

void call_speed_record_stream(const call_t *call) {
    const call_speed_t *speed = &call->speed;
    unsigned gaps = call->events.events - speed->first_events;
    if (call->was_paused || speed->sent_at != call->sent_at || speed->first_at == 0 ||
        gaps < MIN_EVENT_GAPS)
        return;
    uint64_t us = (speed->last_at - speed->first_at) * US_PER_MS / gaps;
    backend_speeds_record_stream(call->backend, (uint32_t)MIN(us, UINT32_MAX), call->sent_at);
}
