/*
 * Design. A call of a rate-limited tenant needs a token before it is sent. The token is requested
 * in parallel with the budget reserve and the previous turns, so that it adds no latency to a turn.
 * A send that a back end may run uses up the token. Further sends of the same call are charged
 * without a request, since the call has been admitted.
 */
#include "gateway/call.h"

#include "common/event.h"

#include <stdlib.h>

enum { STATUS_TOO_MANY = 429, STATUS_UNAVAILABLE = 503 };

static bool is_limited(const call_t *call) {
    return call->tenant != NULL && call->tenant->rate > 0;
}

static bool has_text(const call_t *call, call_field_t field) {
    const char *value = call_field(call, field);
    return value != NULL && *value != '\0';
}

/** True if the request for a token names the call's program. */
static bool names_program(const call_t *call) {
    return call->gateway->settings->whole_programs && has_text(call, FIELD_PROGRAM);
}

/** True if the call proves that its program has had a response; false: it is unknown. */
static bool shows_program_started(const call_t *call) {
    return call->program != NULL &&
           (call->route->kind != CALL_STREAM || has_text(call, FIELD_PREVIOUS_TURN) ||
            has_text(call, FIELD_LAST_EVENT));
}

/** True if the program's deadline has passed. */
static bool is_past_program_deadline(const call_t *call) {
    return has_text(call, FIELD_PROGRAM_DEADLINE) &&
           strtod(call_field(call, FIELD_PROGRAM_DEADLINE), NULL) <= 0;
}

static void count_over_quota(call_t *call, const quota_result_t *result) {
    gateway_counters_t *counters = &call->gateway->counters;
    counters->over_quota++;
    counters->programs_not_begun += result->program_refused;
    if (result->program_refused || !shows_program_started(call))
        return;
    counters->begun_over_quota++;
    if (call->gateway->settings->whole_programs)
        event_log(GATEWAY_BEGUN_OVER_QUOTA, call->id, call->tenant->name, call->program,
                  result->wait_ms);
}

/** Applies the outcome of a request; false if the call has been refused. */
static bool apply_result(call_t *call, const quota_result_t *result) {
    call_quota_t *quota = &call->quota;
    switch (result->outcome) {
    case QUOTA_GRANTED:
        quota->token_held = true;
        quota->token_expires_at = result->until;
        return true;
    case QUOTA_PENDING:
        return true;
    case QUOTA_EXCEEDED:
        quota->retry_after_ms = result->wait_ms;
        count_over_quota(call, result);
        call_refuse(call, STATUS_TOO_MANY, CALL_OVER_QUOTA);
        return false;
    case QUOTA_UNAVAILABLE:
        break;
    }
    call_refuse(call, STATUS_UNAVAILABLE, CALL_QUOTA_UNKNOWN);
    return false;
}

static void on_result(void *owner, const quota_result_t *result) {
    call_t *call = owner;
    call->quota.pending = NULL;
    if (apply_result(call, result))
        call_turn_send_if_ready(call);
}

bool call_quota_begin(call_t *call) {
    if (!is_limited(call))
        return true;
    const quota_call_t asking = {
        .program = names_program(call) ? call->program : NULL,
        .route = call->route->name,
        .begun = shows_program_started(call),
        .late = is_past_program_deadline(call),
        .time_left_ms = (uint32_t)MIN(call_time_left(call), UINT32_MAX),
    };
    quota_result_t result =
        quota_client_acquire(call->gateway->quotas, call->tenant, call->configuration->version,
                             &asking, on_result, call, &call->quota.pending);
    return apply_result(call, &result);
}

bool call_quota_ready(call_t *call) {
    call_quota_t *quota = &call->quota;
    if (!is_limited(call))
        return true;
    if (quota->token_held && uv_now(call->gateway->loop) <= quota->token_expires_at)
        return true;
    if (quota->pending != NULL)
        return false;
    quota->token_held = false;
    return call_quota_begin(call) && quota->token_held;
}

void call_quota_record_send(call_t *call) {
    if (!is_limited(call))
        return;
    if (!call->quota.token_held)
        quota_client_charge(call->gateway->quotas, call->tenant, call->configuration->version);
    call->quota.token_held = false;
}

void call_quota_record_not_run(call_t *call) {
    call->quota.token_held = is_limited(call);
}

void call_quota_end(call_t *call) {
    call_quota_t *quota = &call->quota;
    if (quota->pending != NULL)
        quota_request_cancel(quota->pending);
    quota->pending = NULL;
    if (quota->token_held)
        quota_client_return_grant(call->gateway->quotas, call->tenant, quota->token_expires_at);
    quota->token_held = false;
}
