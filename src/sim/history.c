#include "sim/history.h"

#include "common/json.h"

#include <string.h>

enum { TEXT_MAXIMUM = 1 << 20 };

static const char *const kind_names[HISTORY_KINDS] = {
    "start", "invoke", "ok",      "not_run", "unknown",  "failed", "executed", "read",
    "end",   "held",   "leaving", "edit",    "in_force", "lags",   "stopped",  "fault"};

static void record_free(gpointer data) {
    history_record_t *record = data;
    g_free(record->program);
    g_free(record->place);
    g_free(record->text);
    g_free(record);
}

history_t *history_new(void) {
    history_t *history = g_new0(history_t, 1);
    history->records = g_ptr_array_new_with_free_func(record_free);
    return history;
}

void history_free(history_t *history) {
    g_ptr_array_unref(history->records);
    g_free(history);
}

static char *copy_text(const char *text) {
    return g_strdup(text != NULL ? text : "");
}

void history_add(history_t *history, const history_record_t *record) {
    history_record_t *copy = g_new0(history_record_t, 1);
    *copy = *record;
    copy->program = copy_text(record->program);
    copy->place = copy_text(record->place);
    copy->text = copy_text(record->text);
    g_ptr_array_add(history->records, copy);
}

void history_write(const history_t *history, FILE *output) {
    for (guint i = 0; i < history->records->len; i++) {
        const history_record_t *record = g_ptr_array_index(history->records, i);
        json_t *line = json_pack(
            "{s:s, s:I, s:s, s:i, s:i, s:b, s:s, s:s, s:I}", "event", kind_names[record->kind],
            "time_ms", (json_int_t)record->time_ms, "program", record->program, "call",
            (int)record->call, "attempt", (int)record->attempt, "repeatable", record->repeatable,
            "place", record->place, "text", record->text, "number", (json_int_t)record->number);
        char *text = json_to_text(line);
        fprintf(output, "%s\n", text);
        g_free(text);
        json_decref(line);
    }
}

static bool parse_kind(const char *name, history_kind_t *kind) {
    for (unsigned i = 0; i < HISTORY_KINDS; i++) {
        if (strcmp(kind_names[i], name) != 0)
            continue;
        *kind = (history_kind_t)i;
        return true;
    }
    return false;
}

static bool read_line(history_t *history, const char *line, GError **error) {
    json_t *value = json_parse(line, strlen(line), error);
    if (value == NULL)
        return false;
    json_reader_t reader;
    history_record_t record = {0};
    json_reader_start(&reader, value, "", error);
    const char *kind = json_reader_text(&reader, "event", true, 1, TEXT_MAXIMUM);
    if (kind != NULL && !parse_kind(kind, &record.kind))
        json_reader_fail(&reader, "event", "is of no known kind");
    record.time_ms = json_reader_integer(&reader, "time_ms", 0, INT64_MAX, -1);
    record.program = (char *)json_reader_text(&reader, "program", false, 0, TEXT_MAXIMUM);
    record.call = (uint32_t)json_reader_integer(&reader, "call", 0, INT32_MAX, 0);
    record.attempt = (uint32_t)json_reader_integer(&reader, "attempt", 0, INT32_MAX, 0);
    record.repeatable = json_reader_bool(&reader, "repeatable", false);
    record.place = (char *)json_reader_text(&reader, "place", false, 0, TEXT_MAXIMUM);
    record.text = (char *)json_reader_text(&reader, "text", false, 0, TEXT_MAXIMUM);
    record.number = (uint64_t)json_reader_integer(&reader, "number", 0, INT64_MAX, 0);
    bool valid = json_reader_finish(&reader);
    if (valid)
        history_add(history, &record);
    json_decref(value);
    return valid;
}

history_t *history_read(const char *file, GError **error) {
    char *text = NULL;
    if (!g_file_get_contents(file, &text, NULL, error))
        return NULL;
    history_t *history = history_new();
    char **lines = g_strsplit(text, "\n", -1);
    for (unsigned i = 0; lines[i] != NULL; i++) {
        if (*lines[i] == '\0' || read_line(history, lines[i], error))
            continue;
        g_prefix_error(error, "line %u: ", i + 1);
        g_clear_pointer(&history, history_free);
        break;
    }
    g_strfreev(lines);
    g_free(text);
    return history;
}
