/*
 * Design. A caller gets exactly one final answer, from one of four places: the back end's whole
 * answer, its stream passed on event by event, a refusal that says the call has not run and
 * never will (429, 503, 402, 404, 408), or a failure that promises nothing (502, 504, or a
 * connection that ends in the middle). Which of the last two is decided by `may_have_run`.
 */
#include "gateway/call.h"

#include "common/event.h"
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
    DEADLINE_USUAL_MS = 60000, /**< For a caller that names none. */
    COME_BACK_MS = 150,        /**< What a refused caller is told to wait. */
    ELSEWHERE_MS = 300,        /**< The same while callers are being led to other gateways. */
};

static const char *const reason_names[CALL_REASON_COUNT] = {
    "answered",        "no_configuration",   "no_route",     "malformed",   "no_backend",
    "backend_refused", "backend_lost",       "bad_answer",   "timed_out",   "over_budget",
    "budget_unsure",   "budget_not_durable", "no_such_turn", "turn_unsure", "turn_not_kept",
    "no_room",         "caller_gone",        "stopping",     "unknown_key", "other_tenant",
    "over_quota",      "quota_unsure",
};

static const char *const placing_names[PLACING_COUNT] = {"-", "new", "kept", "moved"};

const char *call_field(const call_t *call, call_field_t field) {
    return http_headers_find(call->request->headers, call_field_name(field));
}

uint64_t call_time_left(const call_t *call) {
    uint64_t now = uv_now(call->gateway->loop);
    return call->limit > now ? call->limit - now : 0;
}

static void log_end(call_t *call, unsigned status, call_reason_t reason) {
    gateway_counters_t *counters = &call->gateway->counters;
    uint64_t ms = uv_now(call->gateway->loop) - call->arrived_at;
    if (call->route != NULL)
        latency_histogram_add(&counters->latency[call->route->kind], ms);
    switch (reason) {
    case CALL_ANSWERED:
        counters->answered++;
        break;
    case CALL_CALLER_GONE:
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
              placing_names[call->placing], call->sends, call->repeats, ms,
              call->configuration == NULL ? 0 : call->configuration->version);
}

static void release_tried(gpointer data) {
    backend_t *backend = data;
    backend->under_way++;
    backend_release(backend);
}

static void free_call(uv_handle_t *handle) {
    call_t *call = handle->data;
    directory_configuration_unref(call->configuration);
    g_ptr_array_free(call->tried, TRUE);
    g_string_free(call->fields, TRUE);
    g_string_free(call->body, TRUE);
    g_string_free(call->prompt, TRUE);
    event_stream_clear(&call->events);
    g_free(call->turn.missing);
    g_free(call);
}

/** Stops all that is under way; nothing calls back any more. */
static void end_call(call_t *call, unsigned status, call_reason_t reason) {
    call->ended = true;
    log_end(call, status, reason);
    call_stop_backend(call);
    call_turn_end(call);
    call_quota_end(call);
    call->caller = NULL;
    uv_close((uv_handle_t *)&call->timer, free_call);
}

/** What a caller that is refused for @p reason is told to wait, in ms. */
static unsigned come_back_ms(call_t *call, call_reason_t reason) {
    gateway_t *gateway = call->gateway;
    outage_t *outage;
    if (reason == CALL_OVER_QUOTA)
        return call->quota.come_back_ms;
    if (gateway_isolated(gateway))
        return ELSEWHERE_MS;
    switch (reason) {
    case CALL_BUDGET_UNSURE:
    case CALL_TURN_UNSURE:
    case CALL_NO_ROOM:
    case CALL_QUOTA_UNSURE:
        outage = &gateway->store_outage;
        break;
    case CALL_NO_CONFIGURATION:
        outage = &gateway->configuration_outage;
        break;
    case CALL_BACKEND_REFUSED:
        return call->engine_free_ms > 0 ? call->engine_free_ms : COME_BACK_MS;
    default:
        return COME_BACK_MS;
    }
    outage_note(outage, call->arrived_at);
    return outage_come_back_ms(outage, uv_now(gateway->loop));
}

static void append_come_back(GString *fields, unsigned ms) {
    g_string_append_printf(fields, "Retry-After: %u.%03u\r\n", ms / MS_PER_S, ms % MS_PER_S);
}

void call_refuse(call_t *call, unsigned status, call_reason_t reason) {
    GString *fields = g_string_new(NULL);
    if (call->id != NULL)
        g_string_append_printf(fields, "%s: %s\r\n", call_field_name(FIELD_CALL_ID), call->id);
    if (status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY)
        append_come_back(fields, come_back_ms(call, reason));
    http_caller_t *caller = call->caller;
    if (gateway_isolated(call->gateway))
        http_caller_close_after_answer(caller);
    end_call(call, status, reason);
    http_caller_answer(caller, status, fields->str, NULL, 0);
    g_string_free(fields, TRUE);
}

/** True if some back end may have run the call, or may run it yet. */
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
    http_caller_answer(caller, status, fields->str, body->str, body->len);
    g_string_free(fields, TRUE);
    g_string_free(body, TRUE);
}

void call_pass_events(call_t *call) {
    if (call->turn.counted && !call->turn.durable)
        return;
    if (!call->head_sent) {
        call->head_sent = true;
        http_caller_begin(call->caller, call->status, call->fields->str, call->body->str,
                          call->body->len);
    } else if (call->body->len > 0) {
        http_caller_piece(call->caller, call->body->str, call->body->len);
    }
    g_string_truncate(call->body, 0);
}

void call_finish_stream(call_t *call) {
    call_pass_events(call);
    http_caller_t *caller = call->caller;
    end_call(call, call->status, CALL_ANSWERED);
    http_caller_end(caller);
}

static void on_time_over(uv_timer_t *timer) {
    call_fail(timer->data, CALL_TIMED_OUT);
}

/** The caller's time and the route's, whichever ends first. */
static uint64_t find_limit(const call_t *call) {
    uint64_t allowed = DEADLINE_USUAL_MS;
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
    else /* The configuration in force may be a later one, and have the route. */
        call_refuse(call, STATUS_UNAVAILABLE, CALL_NO_CONFIGURATION);
}

/**
 * Finds whose call it is; false if it has been refused. A key that is not known here may be a new
 * one, as long as the configuration in force can't be told: then the caller is not turned away for
 * good.
 */
static bool find_tenant(call_t *call) {
    const tenancy_t *tenancy = call->configuration->tenancy;
    if (tenancy == NULL)
        return true;
    const char *key = call_key(call_field(call, FIELD_KEY));
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

static void start_call(call_t *call) {
    gateway_t *gateway = call->gateway;
    call->id = call_field(call, FIELD_CALL_ID);
    if (gateway->refusing) {
        call_refuse(call, STATUS_UNAVAILABLE, CALL_STOPPING);
        return;
    }
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
    if (!find_tenant(call))
        return;
    call->service_name = split_next(gateway->split_credits, call->route);
    call->service = directory_find_service(call->configuration, call->service_name);
    call->program = call_field(call, FIELD_PROGRAM);
    call->limit = find_limit(call);
    uv_timer_start(&call->timer, on_time_over, call_time_left(call), 0);
    if (call_quota_begin(call))
        call_turn_begin(call);
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
    call->prompt = g_string_new(NULL);
    event_stream_init(&call->events);
    uv_timer_init(gateway->loop, &call->timer);
    call->timer.data = call;
    http_caller_set_data(caller, call);
    gateway->counters.calls++;
    start_call(call);
}

static void on_gone(void *owner, http_caller_t *caller) {
    (void)owner;
    call_t *call = http_caller_data(caller);
    if (call != NULL)
        end_call(call, 0, CALL_CALLER_GONE);
}

const http_listener_handler_t call_listener_handler = {on_request, on_gone};
