#include "common/event.h"

#include "common/log_output.h"

#include <log4c.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

typedef struct {
    event_id_t id;
    const char *name;
    int priority;
} event_row_t;

enum {
    LEVEL_DEBUG = LOG4C_PRIORITY_DEBUG,
    LEVEL_INFO = LOG4C_PRIORITY_INFO,
    LEVEL_NOTICE = LOG4C_PRIORITY_NOTICE,
    LEVEL_WARN = LOG4C_PRIORITY_WARN,
    LEVEL_ERROR = LOG4C_PRIORITY_ERROR,
};

static const event_row_t event_rows[] = {
#define EVENT(number, name, level, fields) {EVENT_##name, #name, LEVEL_##level},
#include "common/events.def"
#undef EVENT
};

static log4c_category_t *category;
static log_output_t output;

static int append_line(log4c_appender_t *appender, const log4c_logging_event_t *event) {
    (void)appender;
    bool urgent = event->evt_priority <= LEVEL_WARN;
    log_output_write(&output, event->evt_rendered_msg, event->evt_timestamp.tv_sec, urgent);
    return 0;
}

static const log4c_appender_type_t output_type = {
    .name = "rudderway-output",
    .append = append_line,
};

gboolean event_level_valid(const char *level) {
    static const char *const levels[] = {"debug", "info", "notice", "warn", "error", NULL};
    return g_strv_contains(levels, level);
}

void event_open(const char *program, const char *level) {
    /* The library would read a log4crc from the working directory; settings come from us alone. */
    setenv("LOG4C_RCPATH", "/nonexistent", 0);
    log4c_init();
    category = log4c_category_get(program);
    log_output_open(&output, STDOUT_FILENO);
    log4c_appender_type_set(&output_type);
    /* The appender's name begins each line. */
    log4c_appender_t *appender = log4c_appender_get("stdout");
    log4c_appender_set_type(appender, &output_type);
    log4c_appender_set_layout(appender, log4c_layout_get("dated"));
    log4c_category_set_appender(category, appender);
    log4c_category_set_additivity(category, 0);
    log4c_category_set_priority(category, log4c_priority_to_int(level));
}

void event_close(void) {
    category = NULL;
    log4c_fini();
    log_output_close(&output);
}

uint64_t event_lines_left_out(void) {
    return log_output_left_out(&output);
}

static const event_row_t *find_row(event_id_t id) {
    for (size_t i = 0; i < G_N_ELEMENTS(event_rows); i++)
        if (event_rows[i].id == id)
            return &event_rows[i];
    g_assert_not_reached();
}

void event_write(event_id_t id, const char *format, ...) {
    const event_row_t *row = find_row(id);
    if (category == NULL || !log4c_category_is_priority_enabled(category, row->priority))
        return;
    va_list arguments;
    va_start(arguments, format);
    char *fields = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    for (char *c = fields; *c != '\0'; c++)
        if (*c == '\n' || *c == '\r')
            *c = ' ';
    log4c_category_log(category, row->priority, "E%03d %s %s", (int)id, row->name, fields);
    g_free(fields);
}
