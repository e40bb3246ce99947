/*
 * Design. Each send goes to one back end and names the expected instance, because the address may
 * have been reassigned. Whether the call may be resent depends on its kind and on the outcome of
 * the last send: not sent, refused as not run, or unknown.
 *
 * Failures. A response with the id of another call, a success without the back end's signature, and
 * a truncated response are treated as no response; none of their bytes are forwarded. So is one
 * that exceeds a bound of net/answer_limits.h: its connection is closed at once, and if it may go
 * on without end, its back end is avoided for a while. Only what a caller can use counts as
 * progress of a call; any bytes show that the back end is alive.
 *
 * The end of its connection is the end of a stream without a length, once it has brought an event.
 * A stream that ends so before its first event, or before its next one if it goes on with an
 * earlier send, is no answer: a back end that has finished can't be told from one that broke off. A
 * stream whose length or last chunk came is whole even without an event.
 */
#include "gateway/call.h"

#include "common/event.h"
#include "gateway/backend_probe.h"
#include "gateway/backend_survival.h"
#include "gateway/backend_versions.h"
#include "gateway/call_placement.h"
#include "net/answer_limits.h"

#include <string.h>
#include <strings.h>
#include <xxhash.h>

enum {
    STATUS_OK = 200,
    STATUS_MULTIPLE_CHOICES = 300,
    STATUS_NOT_MODIFIED = 304,
    STATUS_MISDIRECTED = 421, /**< The address belongs to another instance. */
    STATUS_SERVER_ERROR = 500,
    STATUS_UNAVAILABLE = 503,
    /** Events that a caller leaves unread hold its back end up beyond this. */
    UNREAD_EVENTS_BYTES = 64 * 1024,
    KEPT_BODY_BYTES = 4096, /**< A buffer of up to this size is used for the next send. */
};

static void release_backend(call_t *call) {
    stall_watch_remove(&call->gateway->stall_watch, call);
    if (call->backend != NULL) {
        call->backend->suspects -= call->suspect;
        backend_request_ended(call->backend, &call->sent_at);
        backend_release(call->backend);
    }
    call->suspect = false;
    call->backend = NULL;
}

void call_close_client(call_t *call) {
    if (call->client != NULL) {
        if (http_client_connected(call->client))
            crash_watch_give_up(call->gateway->crashes, call->request_id, call->backend,
                                call_time_left(call), call->program == NULL);
        http_client_close(call->client);
    }
    call->client = NULL;
}

void call_cancel_exchange(call_t *call) {
    call_close_client(call);
    release_backend(call);
}

void call_exclude_backend(call_t *call) {
    backend_t *backend = call->backend;
    backend->references++;
    g_ptr_array_add(call->tried, backend);
    release_backend(call);
}

static bool is_field(const char *name, call_field_t field) {
    return strcasecmp(name, call_field_name(field)) == 0;
}

/** Appends the caller's header fields except hop-by-hop fields and those that the gateway sets. */
static void append_fields(const call_t *call, GString *request) {
    const http_headers_t *headers = call->request->headers;
    GHashTable *options = http_headers_connection_options(headers);
    bool resumes = call->events.events > 0;
    bool strips_key = call->configuration->tenancy != NULL;
    for (size_t i = 0; i < http_headers_count(headers); i++) {
        const char *name = http_headers_name(headers, i);
        bool skip = !http_header_is_end_to_end(name, options) || call_field_is_gateway_only(name) ||
                    (strips_key && is_field(name, FIELD_KEY)) ||
                    (resumes && is_field(name, FIELD_LAST_EVENT));
        if (!skip)
            g_string_append_printf(request, "%s: %s\r\n", name, http_headers_value(headers, i));
    }
    g_clear_pointer(&options, g_hash_table_unref);
}

static size_t body_length(const call_t *call) {
    size_t length = call->request->body_length;
    for (guint i = 0; i < call->prompt->len; i++)
        length += g_bytes_get_size(g_ptr_array_index(call->prompt, i));
    return length;
}

static void unref_bytes(gpointer bytes) {
    g_bytes_unref(bytes);
}

GPtrArray *call_build_body(const call_t *call) {
    if (body_length(call) == 0)
        return NULL;
    GPtrArray *body = g_ptr_array_new_full(call->prompt->len + 1, unref_bytes);
    for (guint i = 0; i < call->prompt->len; i++)
        g_ptr_array_add(body, g_bytes_ref(g_ptr_array_index(call->prompt, i)));
    if (call->request->body_bytes != NULL)
        g_ptr_array_add(body, g_bytes_ref(call->request->body_bytes));
    return body;
}

GString *call_build_head(const call_t *call) {
    const http_request_t *caller = call->request;
    size_t length = body_length(call);
    GString *request = g_string_sized_new(1024);
    g_string_append_printf(request, "%s %s HTTP/1.1\r\n", caller->method, caller->target);
    append_fields(call, request);
    g_string_append_printf(request, "%s: %" G_GUINT64_FORMAT "\r\n",
                           call_field_name(FIELD_DEADLINE_MS), (guint64)call_time_left(call));
    g_string_append_printf(request, "%s: %s\r\n", call_field_name(FIELD_EXPECT_INSTANCE),
                           call->backend->record->instance);
    if (call->tenant != NULL)
        g_string_append_printf(request, "%s: %s\r\n", call_field_name(FIELD_TENANT),
                               call->tenant->name);
    if (call->events.events > 0)
        g_string_append_printf(request, "%s: %s\r\n", call_field_name(FIELD_LAST_EVENT),
                               call->events.last_id->str);
    if (length > 0 || strcmp(caller->method, "GET") != 0)
        g_string_append_printf(request, "Content-Length: %zu\r\n", length);
    g_string_append(request, "\r\n");
    return request;
}

/* The response. */

static void copy_fields(call_t *call, const http_headers_t *headers) {
    GHashTable *options = http_headers_connection_options(headers);
    g_string_truncate(call->fields, 0);
    for (size_t i = 0; i < http_headers_count(headers); i++) {
        const char *name = http_headers_name(headers, i);
        if (http_header_is_end_to_end(name, options))
            g_string_append_printf(call->fields, "%s: %s\r\n", name,
                                   http_headers_value(headers, i));
    }
    g_clear_pointer(&options, g_hash_table_unref);
}

static bool is_success(unsigned status) {
    return status >= STATUS_OK && status < STATUS_MULTIPLE_CHOICES;
}

static bool answer_is_valid(const call_t *call, const http_answer_head_t *head) {
    const char *id = http_headers_find(head->headers, call_field_name(FIELD_CALL_ID));
    if (id == NULL || strcmp(id, call->id) != 0)
        return false;
    if (!is_success(head->status))
        return true;
    return http_headers_find(head->headers, call_field_name(FIELD_SIGNATURE)) != NULL &&
           http_headers_find(head->headers, "Content-Encoding") == NULL;
}

static void record_received(const call_t *call) {
    call->backend->observed.last_received_at = uv_now(call->gateway->loop);
}

/** Records a valid answer, or a part of it. */
static void record_answer(const call_t *call) {
    backend_record_survival(call->backend, http_client_first_received_at(call->client));
}

static void record_progress(call_t *call) {
    call->last_received_at = uv_now(call->gateway->loop);
}

void call_clear_body(call_t *call) {
    memory_account_release(&call->gateway->memory, call->held_bytes);
    call->held_bytes = 0;
    if (call->body->allocated_len <= KEPT_BODY_BYTES) {
        g_string_truncate(call->body, 0);
        return;
    }
    g_string_free(call->body, TRUE);
    call->body = g_string_new(NULL);
}

/** Appends to the body; false if the account is short. */
static bool hold_body(call_t *call, const char *data, size_t length) {
    size_t size = call->body->len + length;
    if (!memory_account_take(&call->gateway->memory, length, size))
        return false;
    g_string_append_len(call->body, data, (gssize)length);
    call->held_bytes += length;
    return true;
}

/** Content-Length of a response with a body; 0: none, or unknown. */
static uint64_t body_length_of_answer(const call_t *call, const http_answer_head_t *head) {
    if (strcmp(call->request->method, "HEAD") == 0 || head->status == STATUS_NOT_MODIFIED)
        return 0;
    const char *length = http_headers_find(head->headers, "Content-Length");
    return length == NULL ? 0 : strtoull(length, NULL, 10);
}

/** The answer exceeds a bound. Called from the parser of its connection. */
static void reject_answer(call_t *call, const char *reason) {
    call_log_send_failed(call, reason);
    http_client_close(call->client);
    call->client = NULL;
    if (!call->streaming)
        call_clear_body(call);
    call_handle_unknown_outcome(call, CALL_BAD_ANSWER);
}

/**
 * Fails a call whose response does not fit into the memory account. It is not resent, since another
 * response would not fit either, and its back end is not ejected. Called from the parser of its
 * connection.
 */
static void fail_for_memory(call_t *call) {
    call_log_send_failed(call, "no_memory");
    call_close_client(call);
    call->may_have_run = true;
    call_fail(call, CALL_NO_MEMORY);
}

void call_pause_if_unread(call_t *call) {
    bool unread = http_caller_unsent_bytes(call->caller) > UNREAD_EVENTS_BYTES;
    if (!unread || call->paused || call->client == NULL)
        return;
    call->paused = true;
    call->was_paused = true;
    http_client_pause(call->client);
    /* Nothing is received while reading is paused. */
    stall_watch_remove(&call->gateway->stall_watch, call);
}

void call_resume(call_t *call) {
    if (!call->paused)
        return;
    call->paused = false;
    if (call->client == NULL)
        return;
    record_progress(call);
    record_received(call);
    if (call_repeatable(call))
        stall_watch_add(&call->gateway->stall_watch, call);
    http_client_resume(call->client);
}

/** Counts what the stream's parser holds; false if it doesn't fit. */
static bool hold_stream(call_t *call) {
    memory_account_t *memory = &call->gateway->memory;
    size_t size = call->events.partial->len + call->events.output->len;
    if (size > call->stream_bytes && !memory_account_take(memory, size - call->stream_bytes, size))
        return false;
    if (size < call->stream_bytes)
        memory_account_release(memory, call->stream_bytes - size);
    call->stream_bytes = size;
    return true;
}

static void reject_endless_answer(call_t *call) {
    backend_record_unsound(call->backend);
    load_sharing_report_now(call->gateway->load_sharing, CONTROL_CAN_WAIT);
    reject_answer(call, "answer_without_end");
}

static bool on_head(void *user, const http_answer_head_t *head) {
    call_t *call = user;
    record_received(call);
    record_progress(call);
    call->answered = true;
    backend_response_started(call->backend, &call->sent_at);
    call_record_answer_time(call);
    if (!answer_is_valid(call, head)) {
        call_log_send_failed(call, "unsound_answer");
        /* Called from the parser of this connection, which closes the connection itself. */
        call->client = NULL;
        call_handle_unknown_outcome(call, CALL_BAD_ANSWER);
        return false;
    }
    record_answer(call);
    if (is_success(head->status) && !call_version_served_by_backend(call)) {
        call_log_send_failed(call, "other_version");
        call->client = NULL;
        call_handle_unknown_outcome(call, CALL_BAD_ANSWER);
        return false;
    }
    bool streaming = call->route->kind == CALL_STREAM && is_success(head->status);
    uint64_t length = streaming ? 0 : body_length_of_answer(call, head);
    if (length > ANSWER_BODY_MAX_BYTES) {
        call_log_send_failed(call, "answer_too_long");
        call->client = NULL;
        call_handle_unknown_outcome(call, CALL_BAD_ANSWER);
        return false;
    }
    if (length > 0 && !memory_account_fits(&call->gateway->memory, (size_t)length)) {
        fail_for_memory(call);
        return false;
    }
    call_speed_record_head(call, head->status);
    call->misdirected = head->status == STATUS_MISDIRECTED;
    call->not_run = call->misdirected ||
                    http_headers_find(head->headers, call_field_name(FIELD_NOT_RUN)) != NULL;
    bool resumes = call->head_sent;
    call->streaming = streaming;
    call->events.keeps_output = call->route->keeps_turns;
    if (resumes)
        return true;
    call->status = head->status;
    copy_fields(call, head->headers);
    if (!call->not_run)
        call->may_have_run = true;
    return true;
}

/** Records the version of the back end with the first event of each send, and when it changes. */
static void record_version(call_t *call) {
    if (!call->version_recorded)
        call_version_record(call);
    else
        call_version_check(call);
    call->version_recorded = true;
}

static void on_body(void *user, const char *data, size_t length) {
    call_t *call = user;
    record_received(call);
    record_answer(call);
    if (!call->streaming) {
        record_progress(call);
        if (call->body->len + length > ANSWER_BODY_MAX_BYTES)
            reject_endless_answer(call);
        else if (!hold_body(call, data, length))
            fail_for_memory(call);
        return;
    }
    size_t before = call->body->len;
    unsigned events = call->events.events;
    bool is_first = events == 0;
    if (!event_stream_feed(&call->events, data, length, call->body)) {
        g_string_truncate(call->body, before);
        reject_endless_answer(call);
        return;
    }
    if (!hold_stream(call)) {
        g_string_truncate(call->body, before);
        fail_for_memory(call);
        return;
    }
    if (call->events.events > events)
        record_progress(call);
    call_speed_record_events(call);
    if (is_first && call->events.events > 0)
        call_placement_first_event(call);
    if (call->events.events > events)
        record_version(call);
    /* The answer begins with an event, so that until then another back end can give it. */
    if (call->body->len > before && call->events.events > 0)
        call_forward_events(call);
}

/** Handles a send whose connection ended before its answer did. */
static void handle_lost_answer(call_t *call, const char *reason) {
    call_registration_pause(call);
    crash_watch_suspect(call->gateway->crashes, call->request_id, call->backend,
                        call->program == NULL);
    call_version_check_process(call);
    call_log_send_failed(call, reason);
    if (!call->streaming)
        g_string_truncate(call->body, 0);
    call_handle_unknown_outcome(call, CALL_BACKEND_LOST);
}

static void complete_stream(call_t *call, bool ended_by_close) {
    bool any_event = call->events.events > call->events_before;
    /* Nothing else says that a stream without a length was whole. */
    if (ended_by_close && !any_event) {
        handle_lost_answer(call, "stream_without_event");
        return;
    }
    call_speed_record_stream(call);
    if (!event_stream_at_boundary(&call->events)) {
        call_handle_unknown_outcome(call, CALL_BAD_ANSWER);
        return;
    }
    crash_watch_record_success(call->gateway->crashes, call->request_id);
    call_placement_completed(call);
    call_turn_stream_completed(call);
}

static void on_complete(void *user) {
    call_t *call = user;
    bool ended_by_close = http_client_answer_ended_by_close(call->client);
    if (call->paused)
        http_client_resume(call->client);
    call->paused = false;
    backend_return_connection(call->backend, call->client);
    call->client = NULL;
    /* The response is complete: the call no longer waits for the back end. */
    stall_watch_remove(&call->gateway->stall_watch, call);
    if (call->not_run) {
        call_log_send_failed(call, "not_run");
        call_clear_body(call);
        call_handle_not_run(call);
        return;
    }
    if (call->streaming) {
        complete_stream(call, ended_by_close);
        return;
    }
    bool server_error = call->status >= STATUS_SERVER_ERROR;
    if (server_error && call_may_use_other_backend(call)) {
        call_log_send_failed(call, "server_error");
        call_clear_body(call);
        call_handle_unknown_outcome(call, CALL_BAD_ANSWER);
        return;
    }
    if (call->head_sent) {
        call_fail(call, CALL_BAD_ANSWER);
        return;
    }
    if (is_success(call->status))
        crash_watch_record_success(call->gateway->crashes, call->request_id);
    call_answer(call);
}

/**
 * Clears the engine recorded for the program after a quick reset. The engine is probably down and
 * its prompt cache lost; otherwise the program would spend all its retries there.
 */
static void clear_last_engine(const call_t *call) {
    if (call->turn.budgeted)
        store_client_report_engine(call->gateway->stores, call->program, 0);
}

static void on_failed(void *user, http_failure_t failure) {
    call_t *call = user;
    call->client = NULL;
    if (failure == HTTP_FAILURE_NOT_SENT) {
        call_log_send_failed(call, "not_sent");
        call_handle_not_sent(call);
        return;
    }
    if (failure == HTTP_FAILURE_TOO_LONG) {
        backend_record_unsound(call->backend);
        load_sharing_report_now(call->gateway->load_sharing, CONTROL_CAN_WAIT);
        call_log_send_failed(call, "answer_without_end");
        call_handle_unknown_outcome(call, CALL_BAD_ANSWER);
        return;
    }
    bool quick = uv_now(call->gateway->loop) <= call->sent_at + QUICK_RESET_MS;
    if (failure == HTTP_FAILURE_NO_ANSWER && quick) {
        backend_record_reset(call->backend);
        clear_last_engine(call);
        backend_probe(call->backend);
        load_sharing_report_now(call->gateway->load_sharing, CONTROL_CAN_WAIT);
    }
    handle_lost_answer(call, failure == HTTP_FAILURE_NO_ANSWER ? "no_answer" : "broken_answer");
}

static const http_exchange_handler_t exchange_handler = {on_head, on_body, on_complete, on_failed};

/** Hash that ranks engines for a program that has none yet; see engine_choice.h. */
static uint64_t prompt_part_hash(const call_t *call) {
    const char *parts = call_field(call, FIELD_PROMPT_PARTS);
    const char *text = call->turn.budgeted ? parts : call->program;
    if (text == NULL)
        return 0;
    return XXH64(text, strcspn(text, ":"), 0);
}

/** One more back end that ends under the request should take few other calls along. */
static bool choose_for_suspect(call_t *call, const backend_choice_t *choice) {
    call->backend = backends_choose_for_suspect(&call->gateway->backends, choice, call->request_id);
    if (call->backend == NULL)
        return false;
    call->suspect = true;
    call->backend->suspects++;
    return true;
}

static backend_choice_t describe_choice(const call_t *call) {
    return (backend_choice_t){
        .service = call->service_name,
        .excluded = call->tried,
        .slots = call->service == NULL ? 0 : call->service->slots,
        .version = call->stream.version,
        .certain = backends_versions_differ(&call->gateway->backends, call->service_name),
    };
}

bool call_has_other_backend(const call_t *call) {
    backend_choice_t choice = describe_choice(call);
    return backends_have_other(&call->gateway->backends, &choice, call->backend);
}

static bool choose_backend(call_t *call) {
    backends_t *backends = &call->gateway->backends;
    load_sharing_refresh(call->gateway->load_sharing);
    gateway_update_confirmation(call->gateway);
    backend_choice_t choice = describe_choice(call);
    engine_request_t request = {.place = call->last_engine, .part = prompt_part_hash(call)};
    if (crash_watch_count(call->gateway->crashes, call->request_id) == CRASHES_NEAR_MAX)
        return choose_for_suspect(call, &choice);
    if (call_placement_by_cost(call))
        return call_placement_choose(call, &choice, request.part);
    bool engine = call->service != NULL && call->service->engine;
    call->backend = engine ? backends_choose_engine(backends, &choice, &request)
                           : backends_choose(backends, &choice);
    return call->backend != NULL;
}

/** Records the chosen engine and reports a change to the storage nodes for other gateways. */
static void record_engine(call_t *call) {
    bool known = call->last_engine == call->backend->id_hash;
    if (call->service == NULL || !call->service->engine)
        return;
    call->affinity = known ? AFFINITY_KEPT : call->last_engine == 0 ? AFFINITY_NEW : AFFINITY_MOVED;
    if (known || !call->turn.budgeted)
        return;
    call->last_engine = call->backend->id_hash;
    store_client_report_engine(call->gateway->stores, call->program, call->last_engine);
}

/** Sends the call to its back end, where it is already counted as in progress. */
static void send_to_backend(call_t *call) {
    gateway_t *gateway = call->gateway;
    if (call_crash_limit_reached(call)) {
        call_log_withheld(call);
        call_exclude_backend(call);
        call_fail(call, CALL_BACKENDS_ENDED);
        return;
    }
    /* A process that has stood still must not send on for callers that have left meanwhile. */
    if (call->sends > 0 && http_caller_may_be_gone(call->caller)) {
        call_exclude_backend(call);
        call_fail(call, CALL_CALLER_DISCONNECTED);
        return;
    }
    call->client = backend_connect(&gateway->backends, call->backend);
    if (call->client == NULL) {
        call_exclude_backend(call);
        call_fail(call, CALL_NO_BACKEND);
        return;
    }
    if (!call->head_sent)
        call_clear_body(call);
    call->not_run = false;
    call->answered = false;
    call->paused = false;
    call->was_paused = false;
    call->version_recorded = false;
    call->left_on_suspicion = false;
    call->events_before = call->events.events;
    call->sent_at = uv_now(gateway->loop);
    call->last_received_at = call->sent_at;
    call->sends++;
    call_quota_record_send(call);
    gateway->counters.sends++;
    backend_request_sent(call->backend, &call->sent_at);
    if (call_repeatable(call))
        stall_watch_add(&gateway->stall_watch, call);
    bool head_request = strcmp(call->request->method, "HEAD") == 0;
    http_client_send_parts(call->client, call_build_head(call), call_build_body(call), head_request,
                           &exchange_handler, call);
}

void call_send(call_t *call) {
    if (!choose_backend(call)) {
        call_fail(call, call->engine_wait_ms > 0 ? CALL_BACKEND_REFUSED : CALL_NO_BACKEND);
        return;
    }
    call->backends_sent++;
    call->repeat_connects_failed = 0;
    call->repeating = false;
    record_engine(call);
    send_to_backend(call);
}

void call_send_same_backend(call_t *call) {
    backend_t *backend = call->backend;
    backend_acquire(backend);
    release_backend(call);
    call->backend = backend;
    call->repeating = true;
    send_to_backend(call);
}
