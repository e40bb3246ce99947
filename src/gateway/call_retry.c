/*
 * Design. After a send that did not bring an answer, core/retry/resend.h decides where the call
 * goes next. Only a call that may run more than once goes anywhere after an outcome that is
 * unknown. A stream goes on after the last event that its caller has.
 *
 * Failures. A back end to which nothing can be sent any more, right after it had the call, has
 * ended; one refused connection is not enough, since a busy back end resets some.
 */
#include "gateway/call.h"

#include "common/event.h"
#include "core/retry/resend.h"
#include "gateway/engine_turn.h"

enum {
    CONNECT_FAILURES_MAXIMUM = 4,
    SAME_CONNECTS_NEEDED = 2, /**< So many fail before a back end that had the call has ended. */
    ROUTES_TIMED_MAXIMUM = 10000, /**< Routes whose usual time is known, at most. */
    LEAST_MS = 5,                 /**< With less time left a call is not sent any more. */
};

bool call_repeatable(const call_t *call) {
    return call->route->kind == CALL_REPEATABLE ||
           (call->route->kind == CALL_STREAM && call->route->resumable);
}

void call_log_send_failed(const call_t *call, const char *reason) {
    event_log(GATEWAY_SEND_FAILED, call->id, call->backend->record->instance, reason, call->sends);
}

static resend_state_t state_of(const call_t *call) {
    bool usable = call->backend != NULL && !call->backend->gone && !call->backend->record->leaving;
    return (resend_state_t){
        .attempts = call->route->attempts,
        .backends = call->backends_sent,
        .ended = call->backends_ended,
        .repeats = call->repeats,
        .time_left = call_time_left(call) > LEAST_MS,
        .same_usable = usable,
    };
}

/* Late answers, of plain calls that may run again; streams have signs of their own (silence.h). */

static bool is_plain_repeatable(const call_t *call) {
    return call->route->kind == CALL_REPEATABLE;
}

void call_note_answer_time(const call_t *call) {
    gateway_t *gateway = call->gateway;
    if (!is_plain_repeatable(call))
        return;
    answer_time_t *times = g_hash_table_lookup(gateway->answer_times, call->route->name);
    if (times == NULL) {
        if (g_hash_table_size(gateway->answer_times) >= ROUTES_TIMED_MAXIMUM)
            g_hash_table_remove_all(gateway->answer_times);
        times = g_new0(answer_time_t, 1);
        g_hash_table_insert(gateway->answer_times, g_strdup(call->route->name), times);
    }
    answer_time_note(times, (uint32_t)(uv_now(gateway->loop) - call->sent_at));
    retry_budget_first_try(&gateway->late_budget);
}

bool call_answer_is_late(call_t *call, uint64_t now) {
    gateway_t *gateway = call->gateway;
    if (!is_plain_repeatable(call) || call->answered)
        return false;
    const answer_time_t *times = g_hash_table_lookup(gateway->answer_times, call->route->name);
    if (times == NULL || now - call->sent_at < answer_time_late_ms(times))
        return false;
    resend_state_t state = state_of(call);
    return resend_unknown(&state) != RESEND_NO && retry_budget_take(&gateway->late_budget);
}

bool call_may_go_elsewhere(const call_t *call) {
    resend_state_t state = state_of(call);
    return call_repeatable(call) && resend_not_run(&state) == RESEND_ELSEWHERE;
}

static void send_elsewhere(call_t *call) {
    call_leave_backend(call);
    event_stream_drop_partial(&call->events);
    call->gateway->counters.sent_again++;
    call_send(call);
}

static void send_same(call_t *call) {
    event_stream_drop_partial(&call->events);
    call->repeats++;
    call->gateway->counters.sent_same++;
    call_send_same(call);
}

static void give_up(call_t *call, call_reason_t reason) {
    call_leave_backend(call);
    call_fail(call, reason);
}

void call_outcome_unknown(call_t *call, call_reason_t reason) {
    call->may_have_run = true;
    resend_state_t state = state_of(call);
    switch (call_repeatable(call) ? resend_unknown(&state) : RESEND_NO) {
    case RESEND_ELSEWHERE:
        send_elsewhere(call);
        break;
    case RESEND_SAME:
        send_same(call);
        break;
    case RESEND_NO:
        give_up(call, reason);
        break;
    }
}

void call_not_run(call_t *call) {
    call_quota_note_not_run(call);
    bool moved = call->repeating && call->misdirected;
    call->backends_ended += moved;
    engine_turn_refused(call);
    resend_state_t state = state_of(call);
    bool again = resend_not_run(&state) == RESEND_ELSEWHERE;
    if (again && (call_repeatable(call) || !call->may_have_run))
        send_elsewhere(call);
    else
        give_up(call, CALL_BACKEND_REFUSED);
}

/** Nothing could be sent to a back end that had the call before. */
static void same_not_connected(call_t *call) {
    call->same_connects_failed++;
    if (call->same_connects_failed < SAME_CONNECTS_NEEDED) {
        call_send_same(call);
        return;
    }
    call->backends_ended++;
    send_elsewhere(call);
}

void call_not_sent(call_t *call) {
    call->sends--;
    call_quota_note_not_run(call);
    if (call->repeating) {
        same_not_connected(call);
        return;
    }
    call->backends_sent--;
    call->connects_failed++;
    if (call->connects_failed >= CONNECT_FAILURES_MAXIMUM) {
        give_up(call, CALL_NO_BACKEND);
        return;
    }
    call_leave_backend(call);
    call_send(call);
}

static void close_client(call_t *call) {
    if (call->client != NULL)
        http_client_close(call->client);
    call->client = NULL;
}

void call_lost_at_backend(call_t *call, const char *reason) {
    call_log_send_failed(call, reason);
    close_client(call);
    if (!call->streaming)
        g_string_truncate(call->body, 0);
    call_outcome_unknown(call, CALL_BACKEND_LOST);
}

void call_backend_unreachable(call_t *call) {
    call->backends_ended++;
    call_lost_at_backend(call, "unreachable");
}
