#include "node/prompt.h"

#include "common/chat.h"

static json_t *parse(GBytes *bytes) {
    size_t length;
    const char *text = g_bytes_get_data(bytes, &length);
    return text != NULL ? json_loadb(text, length, 0, NULL) : NULL;
}

static void append_message(json_t *messages, const char *role, const char *content) {
    json_array_append_new(
        messages, json_pack("{s:s, s:s}", "role", role, "content", content != NULL ? content : ""));
}

static const char *answer_content(const json_t *answer) {
    const json_t *choice = json_array_get(json_object_get(answer, "choices"), 0);
    return json_string_value(json_object_get(json_object_get(choice, "message"), "content"));
}

static void append_model_call(json_t *messages, const call_t *call) {
    json_t *request = parse(call->request);
    json_t *answer = parse(call->answer);
    json_array_extend(messages, request);
    append_message(messages, "assistant", answer_content(answer));
    json_decref(request);
    json_decref(answer);
}

static void append_tool_call(json_t *messages, const call_t *call) {
    size_t length;
    const char *text = g_bytes_get_data(call->answer, &length);
    json_array_append_new(messages,
                          json_pack("{s:s, s:s%}", "role", "tool", "content",
                                    text != NULL ? text : "", text != NULL ? length : (size_t)0));
}

static void append_call(json_t *messages, const call_t *call) {
    if (call->state == CALL_OK && call->kind == CALL_MODEL)
        append_model_call(messages, call);
    else if (call->state == CALL_OK)
        append_tool_call(messages, call);
    else if (call->kind != CALL_MODEL)
        append_message(messages, "tool", error_name((error_code_t)call->error));
}

static json_t *history_messages(const program_t *program, uint32_t number) {
    json_t *messages = json_array();
    append_message(messages, "system", program->start.prompt);
    for (uint32_t i = 1; i < number; i++) {
        const call_t *call = program_call(program, i);
        if (call != NULL)
            append_call(messages, call);
    }
    return messages;
}

json_t *prompt_messages(const program_t *program, uint32_t number, GBytes *body) {
    json_t *messages = history_messages(program, number);
    json_t *own = parse(body);
    json_array_extend(messages, own);
    json_decref(own);
    return messages;
}

uint64_t prompt_history_tokens(const program_t *program, uint32_t number) {
    json_t *messages = history_messages(program, number);
    GString *text = chat_prompt(messages);
    uint64_t tokens = chat_tokens(text->len);
    g_string_free(text, TRUE);
    json_decref(messages);
    return tokens;
}
