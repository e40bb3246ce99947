/*
 * Design. A caller gets exactly one final response: the back end's complete response, its stream
 * forwarded event by event, a refusal that guarantees that the call has not run and will not run
 * (429, 503, 402, 404, 408), or a failure that guarantees nothing (502, 504, or an aborted
 * connection). `may_have_run` selects between the last two.
 */
#include "gateway/call.h"

#include "common/event.h"
#include "core/retry/retry_after.h"
#include "gateway/record_key.h"
#include "gateway/split.h"

#include <stdlib.h>
#include <string.h>

enum {
    STATUS_BAD_REQUEST = 400,
    STATUS_UNAUTHORIZED = 401,
    STATUS_NOT_FOUND = 404,
    STATUS_TOO_MANY = 429,
    STATUS_BAD_GATEWAY = 502,
    STATUS_UNAVAILABLE = 503,
    STATUS_TIMED_OUT = 504,
    MS_PER_S = 1000,
    CALL_BYTES = 3072, /**< Of a call that has only begun. */
    DEFAULT_DEADLINE_MS = 60000,
};

static const char *const reason_names[CALL_REASON_COUNT] = {
    "answered",        "no_configuration",   "no_route",     "malformed",      "no_backend",
    "backend_refused", "backend_lost",       "bad_answer",   "timed_out",      "over_budget",
    "budget_unsure",   "budget_not_durable", "no_such_turn", "turn_unsure",    "turn_not_kept",
    "no_room",         "disks_lag",          "caller_gone",  "stopping",       "unknown_key",
    "other_tenant",    "over_quota",         "quota_unsure", "backends_ended", "version_unknown",
    "version_gone",    "turn_too_large",     "no_memory",
};

static const char *const affinity_names[AFFINITY_COUNT] = {"-", "new", "kept", "moved"};

const char *call_field(const call_t *call, call_field_t field) {
    return http_headers_find(call->request->headers, call_field_name(field));
}

uint64_t call_time_left(const call_t *call) {
    uint64_t now = uv_now(call->gateway->loop);
    return call->deadline > now ? call->deadline - now : 0;
}

uint64_t call_hold_time(const route_t *route) {
    return route->timeout_ms > 0 ? route->timeout_ms : DEFAULT_DEADLINE_MS;
}

uint64_t call_hold_time_left(const call_t *call) {
    uint64_t now = uv_now(call->gateway->loop);
    uint64_t until = call->arrived_at + call_hold_time(call->route);
    return until > now ? until - now : 0;
}

static void log_end(call_t *call, unsigned status, call_reason_t reason) {
    gateway_counters_t *counters = &call->gateway->counters;
    uint64_t ms = uv_now(call->gateway->loop) - call->arrived_at;
    const char *resumed = call_field(call, FIELD_RESUMES);
    if (call->route != NULL)
        latency_histogram_add(&counters->latency[call->route->kind], ms);
    counters->stopped += reason == CALL_BACKENDS_ENDED;
    switch (reason) {
    case CALL_ANSWERED:
        counters->answered++;
        break;
    case CALL_CALLER_DISCONNECTED:
        counters->callers_gone++;
        break;
    default:
        if (status == 0 || status == STATUS_BAD_GATEWAY || status == STATUS_TIMED_OUT)
            counters->failed++;
        else
            counters->refused++;
    }
    event_log(GATEWAY_CALL, call->id, call->route == NULL ? "-" : call->route->name,
              call->tenant == NULL ? "-" : call->tenant->name,
              call->program == NULL ? "-" : call->program, status, reason_names[reason],
              call->backend == NULL ? "-" : call->backend->record->instance,
              affinity_names[call->affinity], call->sends, call->repeats, call->request_id,
              crash_watch_count(call->gateway->crashes, call->request_id),
              call->backend == NULL ? "-" : backend_version_name(call->backend),
              resumed == NULL ? "-" : resumed, ms,
              call->configuration == NULL ? 0 : call->configuration->version);
}

static void release_tried(gpointer data) {
    backend_t *backend = data;
    backend->under_way++;
    backend_release(backend);
}

static void free_call(uv_handle_t *handle) {
    call_t *call = handle->data;
    memory_account_release(&call->gateway->memory, CALL_BYTES);
    directory_configuration_unref(call->configuration);
    g_ptr_array_free(call->tried, TRUE);
    g_string_free(call->fields, TRUE);
    g_string_free(call->body, TRUE);
    g_ptr_array_unref(call->prompt);
    g_clear_pointer(&call->long_keys, g_ptr_array_unref);
    event_stream_clear(&call->events);
    g_free(call->turn.missing_turn);
    g_free(call);
}

unsigned call_log_cut_off(const gateway_t *gateway) {
    for (GList *link = gateway->active_calls.head; link != NULL; link = link->next)
        log_end(link->data, 0, CALL_STOPPING);
    return gateway->active_calls.length;
}

/** Logs the end of the call and cancels everything in progress; no callback follows. */
static void end_call(call_t *call, unsigned status, call_reason_t reason) {
    call->ended = true;
    g_queue_unlink(&call->gateway->active_calls, &call->active_link);
    log_end(call, status, reason);
    call_cancel_exchange(call);
    call_clear_body(call);
    memory_account_release(&call->gateway->memory, call->stream_bytes);
    call->stream_bytes = 0;
    call_registration_end(call);
    call_turn_end(call);
    call_version_end(call);
    call_quota_end(call);
    call->caller = NULL;
    uv_close((uv_handle_t *)&call->deadline_timer, free_call);
}

/** Time left of the duration in a header field, in ms; UINT32_MAX if the field is absent. */
static uint32_t field_time_left(const call_t *call, call_field_t field) {
    const char *text = call_field(call, field);
    if (text == NULL)
        return UINT32_MAX;
    uint64_t given_ms = strtoull(text, NULL, 10);
    uint64_t elapsed_ms = uv_now(call->gateway->loop) - call->arrived_at;
    uint64_t left_ms = given_ms > elapsed_ms ? given_ms - elapsed_ms : 0;
    return (uint32_t)MIN(left_ms, UINT32_MAX);
}

/** The outage tracked for refusals with @p reason; NULL: none. */
static outage_t *outage_for_reason(gateway_t *gateway, call_reason_t reason) {
    switch (reason) {
    case CALL_BUDGET_UNKNOWN:
    case CALL_BUDGET_NOT_DURABLE:
    case CALL_TURN_UNKNOWN:
    case CALL_NO_SPACE:
    case CALL_DISKS_LAG:
    case CALL_QUOTA_UNKNOWN:
        return &gateway->store_outage;
    case CALL_NO_CONFIGURATION:
        return &gateway->configuration_outage;
    default:
        return NULL;
    }
}

static void describe_isolation(const call_t *call, retry_after_t *refusal) {
    const gateway_t *gateway = call->gateway;
    refusal->reason = RETRY_AFTER_ISOLATED;
    if (gateway->zone_isolated_since == 0)
        return;
    refusal->duration_ms = (uint32_t)(uv_now(gateway->loop) - gateway->zone_isolated_since);
    refusal->redirect_after_ms = GATEWAY_REDIRECT_DELAY_MS;
}

/** Describes a refused call for the calculation of its retry-after time. */
static retry_after_t describe_refusal(call_t *call, call_reason_t reason) {
    gateway_t *gateway = call->gateway;
    retry_after_t refusal = {
        .reason = RETRY_AFTER_TRANSIENT,
        .time_left_ms = field_time_left(call, FIELD_DEADLINE_MS),
        .program_left_ms = field_time_left(call, FIELD_PROGRAM_DEADLINE),
    };
    outage_t *outage = outage_for_reason(gateway, reason);
    bool engine_full = reason == CALL_BACKEND_REFUSED && call->engine_wait_ms > 0;
    if (reason == CALL_OVER_QUOTA || engine_full) {
        refusal.reason = RETRY_AFTER_KNOWN;
        refusal.known_wait_ms = engine_full ? call->engine_wait_ms : call->quota.retry_after_ms;
    } else if (reason == CALL_BACKENDS_ENDED) {
        refusal.reason = RETRY_AFTER_KNOWN;
        refusal.known_wait_ms = crash_watch_wait_ms(gateway->crashes, call->request_id);
    } else if (gateway_isolated(gateway)) {
        describe_isolation(call, &refusal);
    } else if (outage != NULL) {
        outage_begin(outage, call->arrived_at);
        refusal.reason = RETRY_AFTER_OUTAGE;
        refusal.duration_ms = outage_duration_ms(outage, uv_now(gateway->loop));
    }
    return refusal;
}

/** Retry-after time of a call that is refused for @p reason, in ms. */
static unsigned compute_retry_after_ms(call_t *call, call_reason_t reason) {
    retry_after_t refusal = describe_refusal(call, reason);
    unsigned retry_after_ms = retry_after_delay_ms(&refusal);
    if (refusal.redirect_after_ms == 0)
        return retry_after_ms;
    call->gateway->counters.refused_zone_cut++;
    event_log(GATEWAY_RETRY_AFTER, call->id == NULL ? "-" : call->id, reason_names[reason],
              refusal.duration_ms, refusal.redirect_after_ms, refusal.time_left_ms,
              refusal.program_left_ms, retry_after_ms);
    return retry_after_ms;
}

static void append_retry_after(GString *fields, unsigned ms) {
    g_string_append_printf(fields, "Retry-After: %u.%03u\r\n", ms / MS_PER_S, ms % MS_PER_S);
}

void call_refuse(call_t *call, unsigned status, call_reason_t reason) {
    GString *fields = g_string_new(NULL);
    if (call->id != NULL)
        g_string_append_printf(fields, "%s: %s\r\n", call_field_name(FIELD_CALL_ID), call->id);
    if (status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY)
        append_retry_after(fields, compute_retry_after_ms(call, reason));
    http_caller_t *caller = call->caller;
    if (gateway_isolated(call->gateway))
        http_caller_close_after_answer(caller);
    end_call(call, status, reason);
    http_caller_answer(caller, status, fields->str, NULL, 0);
    g_string_free(fields, TRUE);
}

/** True if some back end may have run the call, or may still run it. */
static bool may_have_run(const call_t *call) {
    return call->may_have_run || (call->client != NULL && http_client_connected(call->client));
}

void call_fail(call_t *call, call_reason_t reason) {
    if (!call->head_sent) {
        bool timed_out = reason == CALL_TIMED_OUT;
        if (!may_have_run(call))
            call_refuse(call, STATUS_UNAVAILABLE, reason);
        else
            call_refuse(call, timed_out ? STATUS_TIMED_OUT : STATUS_BAD_GATEWAY, reason);
        return;
    }
    http_caller_t *caller = call->caller;
    end_call(call, 0, reason);
    http_caller_abort(caller);
}

void call_answer(call_t *call) {
    http_caller_t *caller = call->caller;
    GString *fields = call->fields;
    GString *body = call->body;
    call->fields = g_string_new(NULL);
    call->body = g_string_new(NULL);
    unsigned status = call->status;
    end_call(call, status, CALL_ANSWERED);
    http_caller_answer_string(caller, status, fields->str, body);
    g_string_free(fields, TRUE);
}

void call_forward_events(call_t *call) {
    if (!call->head_sent) {
        call->head_sent = true;
        http_caller_begin(call->caller, call->status, call->fields->str, call->body->str,
                          call->body->len);
    } else if (call->body->len > 0) {
        http_caller_piece(call->caller, call->body->str, call->body->len);
    }
    g_string_truncate(call->body, 0);
    call_pause_if_unread(call);
}

void call_finish_stream(call_t *call) {
    call_forward_events(call);
    http_caller_t *caller = call->caller;
    end_call(call, call->status, CALL_ANSWERED);
    http_caller_end(caller);
}

unsigned call_end_all(const gateway_t *gateway) {
    unsigned ended = 0;
    GList *calls = g_list_copy(gateway->active_calls.head);
    for (GList *item = calls; item != NULL; item = item->next) {
        call_t *call = item->data;
        if (call->ended)
            continue;
        if (!call_turn_expire(call))
            call_fail(call, CALL_STOPPING);
        ended++;
    }
    g_list_free(calls);
    return ended;
}

static void on_deadline(uv_timer_t *timer) {
    call_t *call = timer->data;
    /* The end is delivered late to a caller that is still connected. */
    if (call_turn_only_end_missing(call) && call_hold_time_left(call) > 0) {
        uv_timer_start(timer, on_deadline, call_hold_time_left(call), 0);
        return;
    }
    if (!call_turn_expire(call))
        call_fail(call, CALL_TIMED_OUT);
}

/** The earlier of the caller's deadline and the route's timeout, in ms of loop time. */
static uint64_t compute_deadline(const call_t *call) {
    uint64_t allowed = DEFAULT_DEADLINE_MS;
    const char *deadline = call_field(call, FIELD_DEADLINE_MS);
    if (deadline != NULL)
        allowed = strtoull(deadline, NULL, 10);
    if (call->route->timeout_ms > 0)
        allowed = MIN(allowed, call->route->timeout_ms);
    return call->arrived_at + allowed;
}

static void refuse_without_route(call_t *call, const char *host) {
    if (host == NULL)
        call_refuse(call, STATUS_BAD_REQUEST, CALL_NO_ROUTE);
    else if (call->gateway->directory_confirmed)
        call_refuse(call, STATUS_NOT_FOUND, CALL_NO_ROUTE);
    else /* The route may be in a newer configuration that this gateway has not received. */
        call_refuse(call, STATUS_UNAVAILABLE, CALL_NO_CONFIGURATION);
}

/**
 * Identifies the tenant by its key; false if the call has been refused. While the configuration may
 * be stale, an unknown key may be a new one, so the refusal is temporary (503, not 401).
 */
static bool identify_tenant(call_t *call) {
    const tenancy_t *tenancy = call->configuration->tenancy;
    if (tenancy == NULL)
        return true;
    const char *key = call_field_parse_key(call_field(call, FIELD_KEY));
    if (key != NULL)
        call->tenant = tenancy_find(tenancy, key);
    if (call->tenant != NULL || call->route->open_to_all)
        return true;
    if (gateway_directory_current(call->gateway))
        call_refuse(call, STATUS_UNAUTHORIZED, CALL_UNKNOWN_KEY);
    else
        call_refuse(call, STATUS_UNAVAILABLE, CALL_NO_CONFIGURATION);
    return false;
}

/** False if the call might be cut off by the end of the process; see shutdown_schedule.h. */
static bool may_begin_in_shutdown(const call_t *call) {
    const gateway_t *gateway = call->gateway;
    uint64_t since = gateway->stopping_since;
    uint64_t deadline_ms = call->deadline > since ? call->deadline - since : 0;
    return shutdown_accepts_call(&gateway->shutdown, uv_now(gateway->loop) - since, deadline_ms,
                                 call_repeatable(call));
}

/** The key for what the caller calls @p name; NULL if it does not. */
static const char *key_of(call_t *call, const char *name) {
    char *key = name == NULL ? NULL : record_key_of_long_name(name);
    if (key == NULL)
        return name;
    if (call->long_keys == NULL)
        call->long_keys = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(call->long_keys, key);
    return key;
}

static void start_call(call_t *call) {
    gateway_t *gateway = call->gateway;
    call->id = call_field(call, FIELD_CALL_ID);
    call->record_id = key_of(call, call->id);
    if (gateway->configuration == NULL) {
        call_refuse(call, STATUS_UNAVAILABLE, CALL_NO_CONFIGURATION);
        return;
    }
    call->configuration = directory_configuration_ref(gateway->configuration);
    const char *host = http_headers_find(call->request->headers, "Host");
    if (host != NULL)
        call->route = directory_find_route(call->configuration, host, call->request->target);
    if (call->route == NULL) {
        refuse_without_route(call, host);
        return;
    }
    if (call->id == NULL) {
        call_refuse(call, STATUS_BAD_REQUEST, CALL_MALFORMED);
        return;
    }
    if (!identify_tenant(call))
        return;
    call->service_name = split_next(gateway->split_state, call->route);
    call->service = directory_find_service(call->configuration, call->service_name);
    call->program = key_of(call, call_field(call, FIELD_PROGRAM));
    call->previous = key_of(call, call_field(call, FIELD_PREVIOUS_TURN));
    call->request_id = call_identity(call);
    call->deadline = compute_deadline(call);
    if (gateway->stopping && !may_begin_in_shutdown(call)) {
        call_refuse(call, STATUS_UNAVAILABLE, CALL_STOPPING);
        return;
    }
    uv_timer_start(&call->deadline_timer, on_deadline, call_time_left(call), 0);
    if (call_crash_limit_reached(call)) {
        /* Equal requests of callers without a program may be of many, most of them new. */
        if (call->program != NULL)
            crash_watch_record_refused(gateway->crashes, call->request_id);
        call_refuse(call, STATUS_UNAVAILABLE, CALL_BACKENDS_ENDED);
        return;
    }
    if (call_turn_refuse_if_isolated(call))
        return;
    if (call_version_begin(call) && call_quota_begin(call))
        call_turn_begin(call);
}

static void unref_bytes(gpointer bytes) {
    g_bytes_unref(bytes);
}

static void on_request(void *owner, http_caller_t *caller, const http_request_t *request) {
    gateway_t *gateway = owner;
    call_t *call = g_new0(call_t, 1);
    call->gateway = gateway;
    call->caller = caller;
    call->request = request;
    call->arrived_at = request->begun_at;
    call->tried = g_ptr_array_new_with_free_func(release_tried);
    call->fields = g_string_new(NULL);
    call->body = g_string_new(NULL);
    call->prompt = g_ptr_array_new_with_free_func(unref_bytes);
    event_stream_init(&call->events);
    uv_timer_init(gateway->loop, &call->deadline_timer);
    call->deadline_timer.data = call;
    call->active_link.data = call;
    g_queue_push_tail_link(&gateway->active_calls, &call->active_link);
    http_caller_set_data(caller, call);
    gateway->counters.calls++;
    memory_account_add(&gateway->memory, CALL_BYTES);
    start_call(call);
}

static void on_disconnect(void *owner, http_caller_t *caller) {
    (void)owner;
    call_t *call = http_caller_data(caller);
    if (call != NULL)
        end_call(call, 0, CALL_CALLER_DISCONNECTED);
}

static void on_input_ended(void *owner, http_caller_t *caller) {
    gateway_t *gateway = owner;
    const call_t *call = http_caller_data(caller);
    if (call == NULL)
        return;
    gateway->counters.callers_input_ended++;
    event_log(GATEWAY_INPUT_ENDED, call->id == NULL ? "-" : call->id, call->sends,
              call->events.events, uv_now(gateway->loop) - call->arrived_at);
}

static void on_drained(void *owner, http_caller_t *caller) {
    (void)owner;
    call_t *call = http_caller_data(caller);
    if (call != NULL)
        call_resume(call);
}

const http_listener_handler_t call_listener_handler = {on_request, on_disconnect, on_input_ended,
                                                       on_drained};
