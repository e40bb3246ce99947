#include "node/caller_api.h"

#include "common/json.h"
#include "core/placement/placement.h"
#include "node/entries.h"
#include "node/operation.h"
#include "node/services.h"

#include <string.h>

enum {
    PATH_PARTS_MAXIMUM = 8,
    MESSAGES_MAXIMUM = 256,
    CONTENT_MAXIMUM = 1024 * 1024,
    CALL_NUMBER_MAXIMUM = 1000000,
    TIMEOUT_DEFAULT_MS = 120000,
    TIMEOUT_MAXIMUM_MS = 3600000,
    QUERY_NUMBER_MAXIMUM = 1 << 30,
};

#define BUDGET_MAXIMUM INT64_C(1000000000000)

/** A request with what has been found out about it. */
typedef struct {
    node_t *node;
    http_request_t *request;
    configuration_t *configuration;
    const tenant_t *tenant;
    char **parts; /**< Path split at slashes, without the leading "v1". */
    size_t part_count;
} context_t;

char *caller_api_token(const http_request_t *request) {
    static const char prefix[] = "Bearer ";
    const char *header = http_request_header(request, "Authorization");
    if (header == NULL || !g_str_has_prefix(header, prefix))
        return NULL;
    return g_compute_checksum_for_string(G_CHECKSUM_SHA256, header + strlen(prefix), -1);
}

static void refuse(const context_t *context, error_code_t error) {
    respond_error(context->request, error, NULL, 0);
}

static bool method_is(const context_t *context, const char *method) {
    return strcmp(http_request_method(context->request), method) == 0;
}

static json_t *parse_body(const http_request_t *request, GError **error) {
    size_t length;
    const char *text = g_bytes_get_data(http_request_body(request), &length);
    return json_parse(text != NULL ? text : "", length, error);
}

/** The client's id of a program, perhaps of a sub-agent: NAME or NAME~N~M. */
static bool client_id_is_valid(const char *id) {
    char *copy = g_strdup(id);
    char *separator = strchr(copy, PLACEMENT_PROGRAM_SEPARATOR);
    if (separator != NULL)
        *separator = '\0';
    bool valid = configuration_name_valid(copy);
    for (const char *c = separator != NULL ? separator + 1 : ""; *c != '\0'; c++)
        valid = valid && (g_ascii_isdigit(*c) || *c == PLACEMENT_PROGRAM_SEPARATOR);
    g_free(copy);
    return valid;
}

static char *full_id(const tenant_t *tenant, const char *client_id) {
    return g_strdup_printf("%s%c%s", tenant->name, PROGRAM_TENANT_SEPARATOR, client_id);
}

static bool parse_number(const char *text, uint64_t maximum, uint64_t *number) {
    return g_ascii_string_to_unsigned(text, 10, 0, maximum, number, NULL);
}

/* --- Programs ----------------------------------------------------------------------------- */

/** Fills @p start from the template and what the caller asked for; budgets only shrink. */
static bool fill_start(const context_t *context, json_reader_t *reader, program_start_t *start) {
    const char *name = json_reader_text(reader, "template", true, 1, 64);
    const json_t *parameters = json_reader_value(reader, "parameters", JSON_OBJECT, false);
    int64_t budget = json_reader_integer(reader, "budget_tokens", 0, BUDGET_MAXIMUM, 0);
    int64_t deadline_ms = json_reader_integer(reader, "deadline_ms", 0, INT32_MAX, 0);
    if (reader->failed)
        return false;
    const template_t *program_template = configuration_template(context->configuration, name);
    if (program_template == NULL) {
        error_set(reader->error, RUDDERWAY_ERROR_NO_SUCH_TEMPLATE, "%s", name);
        reader->failed = true;
        return false;
    }
    json_t *merged = configuration_parameters(context->tenant, name, parameters);
    start->tenant = g_strdup(context->tenant->name);
    start->template_name = g_strdup(name);
    start->parameters = json_to_text(merged);
    start->prompt = configuration_prompt(program_template, merged);
    start->model = g_strdup(program_template->model);
    start->batch = program_template->batch;
    start->limits = program_template->limits;
    if (budget > 0)
        start->limits.budget = MIN(start->limits.budget, (uint64_t)budget);
    if (deadline_ms > 0)
        start->limits.wall_ms = MIN(start->limits.wall_ms, deadline_ms);
    json_decref(merged);
    return true;
}

static void start_program(const context_t *context) {
    GError *error = NULL;
    json_t *body = parse_body(context->request, &error);
    if (body == NULL) {
        respond_gerror(context->request, error);
        return;
    }
    json_reader_t reader;
    json_reader_start(&reader, body, "", &error);
    const char *id = json_reader_text(&reader, "id", true, 1, 64);
    if (id != NULL && !configuration_name_valid(id))
        json_reader_fail(&reader, "id", "is not a name (A-Z a-z 0-9 . _ -)");
    operation_t *operation = operation_new(OPERATION_START, context->tenant->name, NULL);
    fill_start(context, &reader, &operation->start);
    if (json_reader_finish(&reader)) {
        operation->program = full_id(context->tenant, id);
        operation->remaining_ms = TIMEOUT_DEFAULT_MS;
        entries_submit(context->node, context->request, operation);
    } else {
        operation_free(operation);
        respond_gerror(context->request, error);
    }
    json_decref(body);
}

static operation_t *program_operation(const context_t *context, operation_kind_t kind) {
    char *id = full_id(context->tenant, context->parts[1]);
    operation_t *operation = operation_new(kind, context->tenant->name, id);
    operation->remaining_ms = TIMEOUT_DEFAULT_MS;
    g_free(id);
    return operation;
}

static void handle_program(const context_t *context) {
    if (method_is(context, "GET"))
        entries_submit(context->node, context->request,
                       program_operation(context, OPERATION_HISTORY));
    else if (method_is(context, "DELETE"))
        entries_submit(context->node, context->request, program_operation(context, OPERATION_END));
    else
        refuse(context, RUDDERWAY_ERROR_METHOD_NOT_ALLOWED);
}

/* --- Calls -------------------------------------------------------------------------------- */

static void check_message(json_reader_t *parent, const json_t *value) {
    json_reader_t reader;
    json_reader_start(&reader, value, "messages.", parent->error);
    const char *role = json_reader_text(&reader, "role", true, 1, 16);
    json_reader_text(&reader, "content", true, 0, CONTENT_MAXIMUM);
    static const char *const roles[] = {"user", "system", "assistant", "tool", NULL};
    if (role != NULL && !g_strv_contains(roles, role))
        json_reader_fail(&reader, "role", "is not user, system, assistant or tool");
    parent->failed = !json_reader_finish(&reader) || parent->failed;
}

static void read_model_call(json_reader_t *reader, operation_t *operation) {
    const json_t *messages = json_reader_value(reader, "messages", JSON_ARRAY, true);
    operation->output_tokens = (uint32_t)json_reader_integer(reader, "max_tokens", 1, 32768, 256);
    if (reader->failed)
        return;
    if (json_array_size(messages) == 0 || json_array_size(messages) > MESSAGES_MAXIMUM)
        json_reader_fail(reader, "messages", "length out of range");
    for (size_t i = 0; i < json_array_size(messages) && !reader->failed; i++)
        check_message(reader, json_array_get(messages, i));
    operation->body = json_to_bytes(messages);
}

static void read_tool_call(json_reader_t *reader, operation_t *operation) {
    const char *tool = json_reader_text(reader, "tool", true, 1, 64);
    const json_t *arguments = json_reader_value(reader, "arguments", JSON_OBJECT, false);
    if (tool != NULL && !configuration_name_valid(tool))
        json_reader_fail(reader, "tool", "is not a name (A-Z a-z 0-9 . _ -)");
    operation->service = g_strdup(tool);
    operation->body =
        arguments != NULL ? json_to_bytes(arguments) : g_bytes_new_static("{}", strlen("{}"));
}

static void read_subagent_call(const context_t *context, json_reader_t *reader,
                               operation_t *operation) {
    if (!fill_start(context, reader, &operation->start))
        return;
    operation->body = g_bytes_new(operation->start.parameters, strlen(operation->start.parameters));
}

static void read_call_kind(const context_t *context, json_reader_t *reader,
                           operation_t *operation) {
    const char *kind = json_reader_text(reader, "kind", true, 1, 16);
    if (kind == NULL)
        return;
    if (strcmp(kind, "model") == 0) {
        operation->call_kind = CALL_MODEL;
        read_model_call(reader, operation);
    } else if (strcmp(kind, "tool") == 0) {
        operation->call_kind = CALL_TOOL;
        read_tool_call(reader, operation);
    } else if (strcmp(kind, "subagent") == 0) {
        operation->call_kind = CALL_SUBAGENT;
        read_subagent_call(context, reader, operation);
    } else {
        json_reader_fail(reader, "kind", "is not model, tool or subagent");
    }
}

static void issue_call(const context_t *context, uint32_t number) {
    GError *error = NULL;
    json_t *body = parse_body(context->request, &error);
    if (body == NULL) {
        respond_gerror(context->request, error);
        return;
    }
    json_reader_t reader;
    json_reader_start(&reader, body, "", &error);
    operation_t *operation = program_operation(context, OPERATION_CALL);
    operation->call = number;
    read_call_kind(context, &reader, operation);
    operation->repeatable = json_reader_bool(&reader, "repeatable", false);
    operation->stream = json_reader_bool(&reader, "stream", false);
    operation->remaining_ms =
        json_reader_integer(&reader, "timeout_ms", 1, TIMEOUT_MAXIMUM_MS, TIMEOUT_DEFAULT_MS);
    if (operation->stream && !reader.failed && operation->call_kind != CALL_MODEL)
        json_reader_fail(&reader, "stream", "only model calls are streamed");
    if (json_reader_finish(&reader)) {
        entries_submit(context->node, context->request, operation);
    } else {
        operation_free(operation);
        respond_gerror(context->request, error);
    }
    json_decref(body);
}

static bool query_number(const context_t *context, const char *name, uint64_t *number) {
    const char *text = http_request_query(context->request, name);
    *number = 0;
    return text == NULL || parse_number(text, QUERY_NUMBER_MAXIMUM, number);
}

static void fetch_call(const context_t *context, uint32_t number) {
    uint64_t stream;
    uint64_t attempt;
    uint64_t from;
    if (!query_number(context, "stream", &stream) || !query_number(context, "attempt", &attempt) ||
        !query_number(context, "from", &from)) {
        respond_error(context->request, RUDDERWAY_ERROR_BAD_FIELD,
                      "stream, attempt and from are numbers", 0);
        return;
    }
    operation_t *operation = program_operation(context, OPERATION_FETCH);
    operation->call = number;
    operation->stream = stream != 0;
    operation->from_attempt = (uint32_t)attempt;
    operation->from_offset = attempt != 0 ? from : 0;
    entries_submit(context->node, context->request, operation);
}

static void handle_call(const context_t *context) {
    uint64_t number;
    if (!parse_number(context->parts[3], CALL_NUMBER_MAXIMUM, &number) || number == 0) {
        respond_error(context->request, RUDDERWAY_ERROR_BAD_FIELD,
                      "the call number is a number from 1", 0);
        return;
    }
    if (method_is(context, "POST"))
        issue_call(context, (uint32_t)number);
    else if (method_is(context, "GET"))
        fetch_call(context, (uint32_t)number);
    else
        refuse(context, RUDDERWAY_ERROR_METHOD_NOT_ALLOWED);
}

/* --- Services ----------------------------------------------------------------------------- */

static void handle_service(const context_t *context) {
    const char *service = context->parts[1];
    if (!method_is(context, "POST")) {
        refuse(context, RUDDERWAY_ERROR_METHOD_NOT_ALLOWED);
        return;
    }
    if (!g_strv_contains((const char *const *)context->tenant->services, service)) {
        refuse(context, RUDDERWAY_ERROR_NO_SUCH_SERVICE);
        return;
    }
    const char *repeatable = http_request_header(context->request, "X-Rudderway-Repeatable");
    char *rest = g_strjoinv("/", context->parts + 2);
    char *path = g_strconcat("/", rest, NULL);
    services_submit(context->node, context->request, context->tenant->name, service, path,
                    g_strcmp0(repeatable, "true") == 0);
    g_free(rest);
    g_free(path);
}

/* --- Routes ------------------------------------------------------------------------------- */

static void route(const context_t *context) {
    char **parts = context->parts;
    size_t count = context->part_count;
    bool programs = count > 0 && strcmp(parts[0], "programs") == 0;
    if (programs && count == 1) {
        if (method_is(context, "POST"))
            start_program(context);
        else
            refuse(context, RUDDERWAY_ERROR_METHOD_NOT_ALLOWED);
    } else if (programs && !client_id_is_valid(parts[1])) {
        refuse(context, RUDDERWAY_ERROR_NO_SUCH_PROGRAM);
    } else if (programs && count == 2) {
        handle_program(context);
    } else if (programs && count == 4 && strcmp(parts[2], "calls") == 0) {
        handle_call(context);
    } else if (count >= 2 && strcmp(parts[0], "services") == 0) {
        handle_service(context);
    } else {
        refuse(context, RUDDERWAY_ERROR_NO_SUCH_ROUTE);
    }
}

static const tenant_t *find_tenant(const http_request_t *request,
                                   const configuration_t *configuration) {
    char *token = caller_api_token(request);
    const tenant_t *tenant =
        token != NULL ? configuration_tenant_by_token(configuration, token) : NULL;
    g_free(token);
    return tenant;
}

void caller_api_handle(node_t *node, http_request_t *request) {
    context_t context = {.node = node, .request = request};
    context.configuration = node_configuration(node);
    context.tenant = find_tenant(request, context.configuration);
    context.parts =
        g_strsplit(http_request_path(request) + strlen("/v1/"), "/", PATH_PARTS_MAXIMUM);
    context.part_count = g_strv_length(context.parts);
    if (context.tenant == NULL)
        refuse(&context, RUDDERWAY_ERROR_UNAUTHORIZED);
    else if (http_request_body_too_large(request))
        refuse(&context, RUDDERWAY_ERROR_BODY_TOO_LARGE);
    else if (g_atomic_int_get(&node->stop_requested))
        refuse(&context, RUDDERWAY_ERROR_STOPPING);
    else if (!g_atomic_int_get(&node->ready))
        refuse(&context, RUDDERWAY_ERROR_NOT_READY);
    else
        route(&context);
    g_strfreev(context.parts);
    configuration_unref(context.configuration);
}
