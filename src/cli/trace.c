#include "cli/trace.h"

#include <string.h>

enum { TEXT_MAXIMUM = 128, TOKENS_MAXIMUM = 200000 };

static void event_free(trace_event_t *event) {
    g_free(event->program);
    g_free(event->tenant);
    g_free(event->name);
    g_free(event);
}

static void script_free(trace_script_t *script) {
    g_ptr_array_unref(script->events);
    g_free(script);
}

static bool parse_kind(const char *name, trace_kind_t *kind) {
    static const char *const names[] = {"program", "model", "tool", "subagent", "end", "service"};
    for (unsigned i = 0; i < TRACE_KINDS; i++) {
        if (strcmp(names[i], name) != 0)
            continue;
        *kind = (trace_kind_t)i;
        return true;
    }
    return false;
}

static trace_event_t *read_event(const json_t *value, GError **error) {
    json_reader_t reader;
    trace_event_t *event = g_new0(trace_event_t, 1);
    json_reader_start(&reader, value, "", error);
    const char *kind = json_reader_text(&reader, "event", true, 1, TEXT_MAXIMUM);
    if (kind != NULL && !parse_kind(kind, &event->kind))
        json_reader_fail(&reader, "event", "is of no known kind");
    event->program = g_strdup(json_reader_text(&reader, "program", true, 1, TEXT_MAXIMUM));
    event->tenant = g_strdup(json_reader_text(&reader, "tenant", false, 1, TEXT_MAXIMUM));
    event->name = g_strdup(json_reader_text(&reader, "name", false, 1, TEXT_MAXIMUM));
    event->at_ms = json_reader_integer(&reader, "at_ms", 0, INT32_MAX, 0);
    event->pause_ms = json_reader_integer(&reader, "pause_ms", 0, INT32_MAX, 0);
    event->deadline_ms = json_reader_integer(&reader, "deadline_ms", 0, INT32_MAX, 0);
    event->prompt_tokens =
        (uint32_t)json_reader_integer(&reader, "prompt_tokens", 0, TOKENS_MAXIMUM, 0);
    event->output_tokens =
        (uint32_t)json_reader_integer(&reader, "output_tokens", 0, TOKENS_MAXIMUM, 0);
    event->repeatable = json_reader_bool(&reader, "repeatable", false);
    if (json_reader_finish(&reader))
        return event;
    event_free(event);
    return NULL;
}

static void add_event(GPtrArray *scripts, GHashTable *by_root, trace_event_t *event) {
    char **parts = g_strsplit(event->program, "~", 2);
    trace_script_t *script = g_hash_table_lookup(by_root, parts[0]);
    if (script == NULL) {
        script = g_new0(trace_script_t, 1);
        script->at_ms = event->at_ms;
        script->events = g_ptr_array_new_with_free_func((GDestroyNotify)event_free);
        g_ptr_array_add(scripts, script);
        g_hash_table_insert(by_root, g_strdup(parts[0]), script);
    }
    g_ptr_array_add(script->events, event);
    g_strfreev(parts);
}

static bool read_line(const char *line, GPtrArray *scripts, GHashTable *by_root, GError **error) {
    json_t *value = json_parse(line, strlen(line), error);
    trace_event_t *event = value != NULL ? read_event(value, error) : NULL;
    json_decref(value);
    if (event == NULL)
        return false;
    add_event(scripts, by_root, event);
    return true;
}

GPtrArray *trace_read(const char *file, GError **error) {
    char *text = NULL;
    if (!g_file_get_contents(file, &text, NULL, error))
        return NULL;
    char **lines = g_strsplit(text, "\n", -1);
    GPtrArray *scripts = g_ptr_array_new_with_free_func((GDestroyNotify)script_free);
    GHashTable *by_root = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (unsigned i = 0; lines[i] != NULL; i++) {
        if (*lines[i] == '\0' || read_line(lines[i], scripts, by_root, error))
            continue;
        g_prefix_error(error, "line %u: ", i + 1);
        g_clear_pointer(&scripts, g_ptr_array_unref);
        break;
    }
    g_hash_table_unref(by_root);
    g_strfreev(lines);
    g_free(text);
    return scripts;
}
