/*
 * Design. A call of a tenant with a limit needs a token before it goes to a back end. It is asked
 * for beside the program's budget and the turns before, so that a turn waits for it no longer. A
 * token is used up by a send that a back end may run; a further send of the same call is charged
 * without asking, since the call has been let in.
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

/** True if the call asks as one of a program. */
static bool names_program(const call_t *call) {
    return call->gateway->settings->whole_programs && has_text(call, FIELD_PROGRAM);
}

/** True if the call shows that its program has had an answer; one that doesn't may have, too. */
static bool shows_begun(const call_t *call) {
    return call->program != NULL &&
           (call->route->kind != CALL_STREAM || has_text(call, FIELD_PREVIOUS_TURN) ||
            has_text(call, FIELD_LAST_EVENT));
}

/** True if the time by which the call's program should have ended is over. */
static bool is_late(const call_t *call) {
    return has_text(call, FIELD_PROGRAM_DEADLINE) &&
           strtod(call_field(call, FIELD_PROGRAM_DEADLINE), NULL) <= 0;
}

static void note_over(call_t *call, const quota_result_t *result) {
    gateway_counters_t *counters = &call->gateway->counters;
    counters->over_quota++;
    counters->programs_not_begun += result->not_begun;
    if (result->not_begun || !shows_begun(call))
        return;
    counters->begun_over_quota++;
    if (call->gateway->settings->whole_programs)
        event_log(GATEWAY_BEGUN_OVER_QUOTA, call->id, call->tenant->name, call->program,
                  result->wait_ms);
}

/** Takes an outcome; false if the call has been refused. */
static bool take_result(call_t *call, const quota_result_t *result) {
    call_quota_t *quota = &call->quota;
    switch (result->outcome) {
    case QUOTA_GRANTED:
        quota->granted = true;
        quota->until = result->until;
        return true;
    case QUOTA_WAITING:
        return true;
    case QUOTA_OVER:
        quota->come_back_ms = result->wait_ms;
        note_over(call, result);
        call_refuse(call, STATUS_TOO_MANY, CALL_OVER_QUOTA);
        return false;
    case QUOTA_UNSURE:
        break;
    }
    call_refuse(call, STATUS_UNAVAILABLE, CALL_QUOTA_UNSURE);
    return false;
}

static void on_result(void *owner, const quota_result_t *result) {
    call_t *call = owner;
    call->quota.ask = NULL;
    if (take_result(call, result))
        call_turn_send_if_ready(call);
}

bool call_quota_begin(call_t *call) {
    if (!is_limited(call))
        return true;
    const quota_call_t asking = {
        .program = names_program(call) ? call->program : NULL,
        .route = call->route->name,
        .begun = shows_begun(call),
        .late = is_late(call),
        .time_left_ms = (uint32_t)MIN(call_time_left(call), UINT32_MAX),
    };
    quota_result_t result =
        quota_client_ask(call->gateway->quotas, call->tenant, call->configuration->version, &asking,
                         on_result, call, &call->quota.ask);
    return take_result(call, &result);
}

bool call_quota_ready(call_t *call) {
    call_quota_t *quota = &call->quota;
    if (!is_limited(call))
        return true;
    if (quota->granted && uv_now(call->gateway->loop) <= quota->until)
        return true;
    if (quota->ask != NULL)
        return false;
    quota->granted = false;
    return call_quota_begin(call) && quota->granted;
}

void call_quota_note_send(call_t *call) {
    if (!is_limited(call))
        return;
    if (!call->quota.granted)
        quota_client_charge(call->gateway->quotas, call->tenant, call->configuration->version);
    call->quota.granted = false;
}

void call_quota_note_not_run(call_t *call) {
    call->quota.granted = is_limited(call);
}

void call_quota_end(call_t *call) {
    call_quota_t *quota = &call->quota;
    if (quota->ask != NULL)
        quota_ask_cancel(quota->ask);
    quota->ask = NULL;
    if (quota->granted)
        quota_client_give_back(call->gateway->quotas, call->tenant, quota->until);
    quota->granted = false;
}
