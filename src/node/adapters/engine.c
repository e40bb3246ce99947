#include "node/adapters/engine.h"

#include "common/json.h"

#include <string.h>

enum {
    CONTROL_TIMEOUT_MS = 2000,
    RESUMES_MAXIMUM = 3,
    LINE_MAXIMUM = 1024 * 1024,
    OK_STATUS = 200,
    TOO_MANY_REQUESTS_STATUS = 429,
    UNAVAILABLE_STATUS = 503,
};

/** A completion's stream as it is read. */
typedef struct {
    const engine_completion_t *completion;
    engine_usage_t *usage;
    GString *line;
    uint64_t tokens; /**< Pieces received; where to resume. */
    bool finished;
    bool malformed;
    bool refused_by_reader;
} stream_t;

static void take_usage(stream_t *stream, const json_t *usage) {
    stream->usage->prompt_tokens =
        (uint64_t)json_integer_value(json_object_get(usage, "prompt_tokens"));
    stream->usage->cached_tokens =
        (uint64_t)json_integer_value(json_object_get(usage, "cached_tokens"));
    stream->usage->output_tokens =
        (uint64_t)json_integer_value(json_object_get(usage, "completion_tokens"));
}

static bool take_data(stream_t *stream, const char *data) {
    if (strcmp(data, "[DONE]") == 0) {
        stream->finished = true;
        return true;
    }
    json_t *event = json_parse(data, strlen(data), NULL);
    if (event == NULL) {
        stream->malformed = true;
        return false;
    }
    const json_t *usage = json_object_get(event, "usage");
    if (usage != NULL)
        take_usage(stream, usage);
    const json_t *choice = json_array_get(json_object_get(event, "choices"), 0);
    const json_t *text = json_object_get(json_object_get(choice, "delta"), "content");
    bool go_on = true;
    if (json_string_length(text) > 0) {
        stream->tokens++;
        go_on = stream->completion->on_text(stream->completion->context, json_string_value(text),
                                            json_string_length(text));
        stream->refused_by_reader = !go_on;
    }
    json_decref(event);
    return go_on;
}

static bool take_line(stream_t *stream) {
    static const char prefix[] = "data: ";
    bool go_on = true;
    if (g_str_has_prefix(stream->line->str, prefix))
        go_on = take_data(stream, stream->line->str + strlen(prefix));
    g_string_truncate(stream->line, 0);
    return go_on;
}

static bool on_chunk(void *context, const char *data, size_t length) {
    stream_t *stream = context;
    for (size_t i = 0; i < length; i++) {
        if (data[i] == '\n') {
            if (!take_line(stream))
                return false;
        } else if (stream->line->len < LINE_MAXIMUM) {
            g_string_append_c(stream->line, data[i]);
        }
    }
    return true;
}

static char *completion_body(const engine_completion_t *completion) {
    json_t *messages = json_loads(completion->messages, 0, NULL);
    json_t *body =
        json_pack("{s:s, s:o, s:i, s:b, s:s, s:s, s:i, s:I}", "model", completion->model,
                  "messages", messages, "max_tokens", (int)completion->max_tokens, "stream", 1,
                  "request_id", completion->request_id, "program", completion->program, "priority",
                  (int)completion->priority, "cap_tokens", (json_int_t)completion->cap_tokens);
    char *text = json_to_text(body);
    json_decref(body);
    return text;
}

static bool check_status(const http_answer_t *answer, GError **error) {
    size_t length;
    const char *text = g_bytes_get_data(answer->body, &length);
    switch (answer->status) {
    case OK_STATUS:
        return true;
    case TOO_MANY_REQUESTS_STATUS:
    case UNAVAILABLE_STATUS:
        error_set(error, RUDDERWAY_ERROR_NO_BACKEND, "engine refused with status %u",
                  answer->status);
        return false;
    default:
        error_set(error, RUDDERWAY_ERROR_BACKEND_FAILED, "status %u: %.*s", answer->status,
                  (int)MIN(length, 200), text != NULL ? text : "");
        return false;
    }
}

static bool read_stream(http_client_t *client, http_call_t *call, stream_t *stream,
                        GError **error) {
    http_answer_t answer;
    call->on_chunk = on_chunk;
    call->context = stream;
    bool read = http_client_call(client, call, &answer, error);
    read = read && check_status(&answer, error);
    http_answer_clear(&answer);
    if (read && !stream->finished) {
        error_set(error, RUDDERWAY_ERROR_CONNECTION_LOST, "the stream ended early");
        read = false;
    }
    if (stream->malformed) {
        g_clear_error(error);
        error_set(error, RUDDERWAY_ERROR_BACKEND_PROTOCOL, "an event is not JSON");
    }
    return read;
}

/** Reads on where a broken stream ended, while the engine still knows the request. */
static bool resume(http_client_t *client, engine_address_t engine, stream_t *stream,
                   int64_t deadline_us, GError **error) {
    bool read = false;
    for (int i = 0; i < RESUMES_MAXIMUM && !read && *error != NULL; i++) {
        bool worth_it = (*error)->code == RUDDERWAY_ERROR_CONNECTION_LOST &&
                        !stream->refused_by_reader && g_get_monotonic_time() < deadline_us;
        if (!worth_it)
            break;
        char *path = g_strdup_printf("/v1/requests/%s?from=%" G_GUINT64_FORMAT,
                                     stream->completion->request_id, stream->tokens);
        http_call_t call = {.address = engine.address,
                            .port = engine.port,
                            .method = "GET",
                            .path = path,
                            .timeout_ms = (deadline_us - g_get_monotonic_time()) / 1000};
        GError *problem = NULL;
        g_string_truncate(stream->line, 0);
        read = read_stream(client, &call, stream, &problem);
        g_free(path);
        if (problem != NULL && problem->code != RUDDERWAY_ERROR_CONNECTION_LOST) {
            g_error_free(problem);
            break;
        }
        g_clear_error(&problem);
        if (read)
            g_clear_error(error);
    }
    return read;
}

bool engine_complete(http_client_t *client, engine_address_t engine,
                     const engine_completion_t *completion, engine_usage_t *usage, GError **error) {
    char *body = completion_body(completion);
    stream_t stream = {.completion = completion, .usage = usage, .line = g_string_new(NULL)};
    int64_t deadline_us = g_get_monotonic_time() + completion->timeout_ms * 1000;
    http_call_t call = {.address = engine.address,
                        .port = engine.port,
                        .method = "POST",
                        .path = "/v1/chat/completions",
                        .body = body,
                        .body_length = strlen(body),
                        .timeout_ms = completion->timeout_ms};
    GError *problem = NULL;
    bool read = read_stream(client, &call, &stream, &problem);
    if (!read)
        read = resume(client, engine, &stream, deadline_us, &problem);
    if (problem != NULL)
        g_propagate_error(error, problem);
    g_string_free(stream.line, TRUE);
    g_free(body);
    return read;
}

/** A short request whose repetition does no harm; @p body may be NULL. */
static bool control(http_client_t *client, engine_address_t engine, const char *method,
                    const char *path, const char *body, http_answer_t *answer, GError **error) {
    http_call_t call = {.address = engine.address,
                        .port = engine.port,
                        .method = method,
                        .path = path,
                        .body = body,
                        .body_length = body != NULL ? strlen(body) : 0,
                        .timeout_ms = CONTROL_TIMEOUT_MS,
                        .repeatable = true};
    return http_client_call(client, &call, answer, error) && check_status(answer, error);
}

static bool simple_control(http_client_t *client, engine_address_t engine, const char *method,
                           char *path, const char *body, GError **error) {
    http_answer_t answer = {0};
    bool done = control(client, engine, method, path, body, &answer, error);
    http_answer_clear(&answer);
    g_free(path);
    return done;
}

bool engine_cancel(http_client_t *client, engine_address_t engine, const char *request_id,
                   GError **error) {
    char *path = g_strdup_printf("/v1/requests/%s/cancel", request_id);
    return simple_control(client, engine, "POST", path, NULL, error);
}

bool engine_release(http_client_t *client, engine_address_t engine, const char *program,
                    GError **error) {
    char *path = g_strdup_printf("/v1/programs/%s", program);
    return simple_control(client, engine, "DELETE", path, NULL, error);
}

static json_t *get_json(http_client_t *client, engine_address_t engine, const char *path,
                        GError **error) {
    http_answer_t answer = {0};
    json_t *value = NULL;
    if (control(client, engine, "GET", path, NULL, &answer, error)) {
        size_t length;
        const char *text = g_bytes_get_data(answer.body, &length);
        value = json_parse(text != NULL ? text : "", length, error);
    }
    http_answer_clear(&answer);
    return value;
}

bool engine_load(http_client_t *client, engine_address_t engine, load_report_t *report,
                 GError **error) {
    json_t *value = get_json(client, engine, "/v1/load", error);
    if (value == NULL)
        return false;
    report->running = (uint32_t)json_integer_value(json_object_get(value, "running"));
    report->waiting = (uint32_t)json_integer_value(json_object_get(value, "waiting"));
    report->leaving = json_is_true(json_object_get(value, "leaving"));
    json_decref(value);
    return true;
}

json_t *engine_cache_events(http_client_t *client, engine_address_t engine, uint64_t from,
                            GError **error) {
    char *path = g_strdup_printf("/v1/cache/events?from=%" G_GUINT64_FORMAT, from);
    json_t *value = get_json(client, engine, path, error);
    json_t *events = json_incref(json_object_get(value, "events"));
    json_decref(value);
    g_free(path);
    return events;
}

bool engine_export(http_client_t *client, engine_address_t engine, const char *program,
                   GBytes **document, GError **error) {
    char *path = g_strdup_printf("/v1/kv/%s", program);
    http_answer_t answer = {0};
    bool done = control(client, engine, "GET", path, NULL, &answer, error);
    if (done)
        *document = g_steal_pointer(&answer.body);
    http_answer_clear(&answer);
    g_free(path);
    return done;
}

bool engine_import(http_client_t *client, engine_address_t engine, const char *program,
                   GBytes *document, GError **error) {
    size_t length;
    const char *data = g_bytes_get_data(document, &length);
    char *text = g_strndup(data, length);
    bool done =
        simple_control(client, engine, "PUT", g_strdup_printf("/v1/kv/%s", program), text, error);
    g_free(text);
    return done;
}

bool engine_order(http_client_t *client, engine_address_t engine, uint64_t fence, const char *model,
                  GError **error) {
    json_t *order = json_pack("{s:I, s:s}", "fence", (json_int_t)fence, "model", model);
    char *body = json_to_text(order);
    json_decref(order);
    bool done = simple_control(client, engine, "POST", g_strdup("/v1/orders"), body, error);
    g_free(body);
    return done;
}
