/*
 * Design. After a send without a response, core/retry/resend.h decides where the call goes next.
 * After an unknown outcome only a repeatable call is resent. A stream resumes after the last event
 * that its caller received.
 *
 * Failures. A back end that received the call and then refuses connections has ended. One failed
 * connection is not enough, since a busy back end resets some connections. One whose connections
 * time out may run the call: it is left out of the route's limit only once probes have found it
 * unreachable while another back end is not (backend_probe.c).
 */
#include "gateway/call.h"

#include "common/event.h"
#include "core/retry/resend.h"
#include "gateway/backend_probe.h"
#include "gateway/backend_versions.h"
#include "gateway/call_placement.h"

enum {
    MAX_CONNECT_FAILURES = 4,
    MAX_REPEAT_CONNECT_FAILURES = 2, /**< After these, if refused, the back end has ended. */
    MAX_TIMED_ROUTES = 10000,        /**< Routes with recorded response times. */
    MIN_TIME_LEFT_MS = 5,            /**< Minimum time left for a resend. */
};

bool call_repeatable(const call_t *call) {
    return call->route->kind == CALL_REPEATABLE ||
           (call->route->kind == CALL_STREAM && call->route->resumable);
}

void call_log_send_failed(const call_t *call, const char *reason) {
    event_log(GATEWAY_SEND_FAILED, call->id, call->backend->record->instance, reason, call->sends,
              call->request_id, crash_watch_count(call->gateway->crashes, call->request_id),
              backend_version_name(call->backend), call->events.events);
}

/** Back ends other than the current one that count as ended, or as such that may yet end. */
static unsigned crash_exposure(const call_t *call) {
    return crash_watch_exposure(call->gateway->crashes, call->request_id, call->backend);
}

bool call_crash_limit_reached(const call_t *call) {
    const crash_watch_t *crashes = call->gateway->crashes;
    return crash_watch_count(crashes, call->request_id) >= CRASHES_MAX ||
           (call->backend != NULL && crash_exposure(call) >= CRASHES_MAX);
}

void call_log_withheld(const call_t *call) {
    const crash_watch_t *crashes = call->gateway->crashes;
    unsigned ended = crash_watch_count(crashes, call->request_id);
    if (ended < CRASHES_MAX)
        event_log(GATEWAY_SEND_WITHHELD, call->id, call->request_id,
                  call->backend == NULL ? "-" : call->backend->record->instance, ended,
                  crash_exposure(call), crash_watch_wait_ms(crashes, call->request_id));
}

static resend_state_t describe_sends(const call_t *call) {
    bool usable = call->backend != NULL && !call->backend->removed &&
                  !call->backend->record->leaving && call_version_served_by_backend(call);
    unsigned crashes = crash_exposure(call);
    return (resend_state_t){
        .attempts = call->route->attempts,
        .backends = call->backends_sent,
        .ended = call->backends_ended,
        .crashes = crashes,
        .current_may_end =
            crash_watch_exposure(call->gateway->crashes, call->request_id, NULL) > crashes,
        .repeats = call->repeats,
        .time_left = call_time_left(call) > MIN_TIME_LEFT_MS,
        .same_usable = usable,
    };
}

/* Responses that may be lost. Late ones of repeatable calls; for stalls see core/retry/stall.h. */

static resend_t decide_on_suspicion(const call_t *call) {
    resend_state_t state = describe_sends(call);
    state.other_usable = call_has_other_backend(call);
    state.current_may_end = state.crashes > 0; /* Once the call has left it. */
    return resend_after_suspicion(&state);
}

bool call_may_resend_on_suspicion(const call_t *call) {
    return decide_on_suspicion(call) != RESEND_NO;
}

static bool is_plain_repeatable(const call_t *call) {
    return call->route->kind == CALL_REPEATABLE;
}

void call_record_answer_time(const call_t *call) {
    gateway_t *gateway = call->gateway;
    if (!is_plain_repeatable(call))
        return;
    answer_time_t *times = g_hash_table_lookup(gateway->answer_times, call->route->name);
    if (times == NULL) {
        if (g_hash_table_size(gateway->answer_times) >= MAX_TIMED_ROUTES)
            g_hash_table_remove_all(gateway->answer_times);
        times = g_new0(answer_time_t, 1);
        g_hash_table_insert(gateway->answer_times, g_strdup(call->route->name), times);
    }
    answer_time_record(times, (uint32_t)(uv_now(gateway->loop) - call->sent_at));
    retry_budget_record_first_attempt(&gateway->late_budget);
}

bool call_take_late_retry(call_t *call, uint64_t now) {
    gateway_t *gateway = call->gateway;
    if (!is_plain_repeatable(call) || call->answered)
        return false;
    const answer_time_t *times = g_hash_table_lookup(gateway->answer_times, call->route->name);
    if (times == NULL || now - call->sent_at < answer_time_late_ms(times))
        return false;
    return call_may_resend_on_suspicion(call) && retry_budget_take(&gateway->late_budget);
}

bool call_may_use_other_backend(const call_t *call) {
    resend_state_t state = describe_sends(call);
    return call_repeatable(call) && resend_after_not_run(&state) == RESEND_ELSEWHERE;
}

static void send_to_other_backend(call_t *call) {
    call_exclude_backend(call);
    event_stream_drop_partial(&call->events);
    call->gateway->counters.sent_again++;
    call_send(call);
}

static void resend_to_same_backend(call_t *call) {
    event_stream_drop_partial(&call->events);
    call->repeats++;
    call->gateway->counters.sent_same++;
    call_send_same_backend(call);
}

static void give_up(call_t *call, call_reason_t reason) {
    bool limited = call_crash_limit_reached(call);
    if (limited)
        call_log_withheld(call);
    call_exclude_backend(call);
    call_fail(call, limited ? CALL_BACKENDS_ENDED : reason);
}

static resend_t decide_resend(const call_t *call) {
    if (!call_repeatable(call))
        return RESEND_NO;
    resend_t resend = call->left_on_suspicion ? decide_on_suspicion(call) : RESEND_NO;
    if (resend != RESEND_NO)
        return resend;
    /* A call that has left its back end on suspicion can't go back to waiting there. */
    resend_state_t state = describe_sends(call);
    return resend_after_unknown(&state);
}

static void resend_or_fail(call_t *call) {
    switch (decide_resend(call)) {
    case RESEND_ELSEWHERE:
        send_to_other_backend(call);
        break;
    case RESEND_SAME:
        resend_to_same_backend(call);
        break;
    case RESEND_NO:
        give_up(call, call->lost_reason);
        break;
    }
}

void call_handle_unknown_outcome(call_t *call, call_reason_t reason) {
    call->may_have_run = true;
    call->lost_reason = reason;
    stall_watch_remove(&call->gateway->stall_watch, call);
    bool waits = decide_resend(call) != RESEND_NO && call_registration_await(call, resend_or_fail);
    if (!waits)
        resend_or_fail(call);
}

void call_handle_not_run(call_t *call) {
    call_quota_record_not_run(call);
    bool replaced = call->repeating && call->misdirected;
    call->backends_ended += replaced;
    call_placement_refused(call);
    resend_state_t state = describe_sends(call);
    bool retry = resend_after_not_run(&state) == RESEND_ELSEWHERE;
    if (retry && (call_repeatable(call) || !call->may_have_run))
        send_to_other_backend(call);
    else
        give_up(call, CALL_BACKEND_REFUSED);
}

/**
 * Handles a failed connection to a back end that has received the call before. While connections
 * time out, the call keeps trying until one comes up, the back end is removed from the directory or
 * probes find it unreachable.
 */
static void handle_repeat_not_sent(call_t *call) {
    uint64_t now = uv_now(call->gateway->loop);
    bool refused = now < call->sent_at + CONNECTION_REFUSED_WITHIN_MS;
    if (call->repeat_connects_failed == 0)
        call->repeat_failed_at = now;
    call->repeat_connects_failed++;
    bool enough = call->repeat_connects_failed >= MAX_REPEAT_CONNECT_FAILURES;
    if (enough && (refused || call->backend->removed ||
                   backend_found_unreachable_since(call->backend, call->repeat_failed_at))) {
        call->backends_ended++;
        send_to_other_backend(call);
        return;
    }
    if (enough)
        backend_probe(call->backend);
    call_send_same_backend(call);
}

void call_handle_not_sent(call_t *call) {
    backend_doubt_version(call->backend, 0);
    call->sends--;
    call_quota_record_not_run(call);
    if (call->repeating) {
        handle_repeat_not_sent(call);
        return;
    }
    call->backends_sent--;
    call->connects_failed++;
    if (call->connects_failed >= MAX_CONNECT_FAILURES) {
        give_up(call, CALL_NO_BACKEND);
        return;
    }
    call_exclude_backend(call);
    call_send(call);
}

/** Leaves the current send, to which no response has come. */
static void leave_send(call_t *call, const char *reason) {
    call_log_send_failed(call, reason);
    call_close_client(call);
    if (!call->streaming)
        call_clear_body(call);
    call_handle_unknown_outcome(call, CALL_BACKEND_LOST);
}

void call_handle_suspicion(call_t *call, const char *reason) {
    call->left_on_suspicion = true;
    leave_send(call, reason);
}

void call_handle_backend_unreachable(call_t *call) {
    call->backends_ended++;
    crash_watch_record_unreachable(call->gateway->crashes, call->request_id, call->backend);
    leave_send(call, "unreachable");
}
