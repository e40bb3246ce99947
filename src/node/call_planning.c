#include "node/call_planning.h"

#include "common/chat.h"
#include "node/backend_service.h"
#include "node/prompt.h"

#include <string.h>
#include <xxhash.h>

uint64_t call_planning_digest(const operation_t *operation) {
    size_t length;
    const void *body = g_bytes_get_data(operation->body, &length);
    XXH3_state_t *state = XXH3_createState();
    XXH3_64bits_reset(state);
    const uint32_t numbers[] = {operation->call_kind, operation->repeatable,
                                operation->output_tokens};
    XXH3_64bits_update(state, numbers, sizeof numbers);
    const char *service = operation->service != NULL ? operation->service : "";
    XXH3_64bits_update(state, service, strlen(service) + 1);
    if (operation->start.template_name != NULL)
        XXH3_64bits_update(state, operation->start.template_name,
                           strlen(operation->start.template_name));
    if (length > 0)
        XXH3_64bits_update(state, body, length);
    uint64_t digest = XXH3_64bits_digest(state);
    XXH3_freeState(state);
    return digest;
}

error_code_t call_planning_model(node_t *node, const program_t *program, command_t *intent,
                                 uint32_t output_tokens, const char *avoid) {
    json_t *messages = prompt_messages(program, intent->call, intent->body);
    GString *text = chat_prompt(messages);
    prefix_t *prefix = g_new(prefix_t, 1);
    prefix_compute(prefix, text->str, text->len);
    routing_request_t request = {.kind = BACKEND_ENGINE,
                                 .offers = program->start.model,
                                 .program = program->id,
                                 .zone = node->settings->zone,
                                 .prefix = prefix,
                                 .avoid = avoid};
    const backend_t *backend =
        routing_choose(&node->routing, node->backends, &request, node->now_ms);
    intent->reserve = chat_tokens(text->len) + output_tokens;
    intent->output_tokens = output_tokens;
    g_free(intent->backend);
    intent->backend = backend != NULL ? g_strdup(backend->record.name) : NULL;
    g_free(prefix);
    g_string_free(text, TRUE);
    json_decref(messages);
    return backend != NULL ? RUDDERWAY_ERROR_NONE : RUDDERWAY_ERROR_NO_BACKEND;
}

error_code_t call_planning_tool(node_t *node, const program_t *program, command_t *intent,
                                const char *service, const char *avoid) {
    routing_request_t request = {.kind = BACKEND_SERVICE,
                                 .offers = service,
                                 .program = program->id,
                                 .zone = node->settings->zone,
                                 .avoid = avoid};
    const backend_t *backend =
        routing_choose(&node->routing, node->backends, &request, node->now_ms);
    g_free(intent->backend);
    intent->backend = backend != NULL ? g_strdup(backend->record.name) : NULL;
    if (backend != NULL)
        return RUDDERWAY_ERROR_NONE;
    return backend_service_offers(node, service) ? RUDDERWAY_ERROR_NO_BACKEND
                                                 : RUDDERWAY_ERROR_NO_SUCH_SERVICE;
}

/** True if the program's template lists @p service among its tools. */
static bool may_use_tool(node_t *node, const program_t *program, const char *service) {
    configuration_t *configuration = node_configuration(node);
    const template_t *program_template =
        configuration_template(configuration, program->start.template_name);
    bool allowed = program_template != NULL &&
                   g_strv_contains((const char *const *)program_template->tools, service);
    configuration_unref(configuration);
    return allowed;
}

error_code_t call_planning_first(node_t *node, const program_t *program,
                                 const operation_t *operation, command_t *intent) {
    switch (operation->call_kind) {
    case CALL_MODEL:
        return call_planning_model(node, program, intent, operation->output_tokens, NULL);
    case CALL_TOOL:
        if (!may_use_tool(node, program, operation->service))
            return RUDDERWAY_ERROR_NO_SUCH_SERVICE;
        return call_planning_tool(node, program, intent, operation->service, NULL);
    case CALL_SUBAGENT:
        program_start_copy(&intent->start, &operation->start);
        intent->reserve = operation->start.limits.budget;
        intent->backend = g_strdup("");
        return RUDDERWAY_ERROR_NONE;
    case CALL_KINDS:
        break;
    }
    return RUDDERWAY_ERROR_BAD_REQUEST;
}
