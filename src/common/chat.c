#include "common/chat.h"

void chat_append(GString *prompt, const char *role, const char *content) {
    g_string_append_printf(prompt, "<%s>", role);
    g_string_append(prompt, content);
    g_string_append_c(prompt, '\n');
}

GString *chat_prompt(const json_t *messages) {
    GString *prompt = g_string_new(NULL);
    for (size_t i = 0; i < json_array_size(messages); i++) {
        const json_t *message = json_array_get(messages, i);
        const char *role = json_string_value(json_object_get(message, "role"));
        const char *content = json_string_value(json_object_get(message, "content"));
        chat_append(prompt, role != NULL ? role : "", content != NULL ? content : "");
    }
    return prompt;
}

uint64_t chat_tokens(uint64_t bytes) {
    return (bytes + CHAT_BYTES_PER_TOKEN - 1) / CHAT_BYTES_PER_TOKEN;
}
