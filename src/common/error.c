#include "common/error.h"

#include <string.h>

typedef struct {
    const char *name;
    unsigned http_status;
    outcome_t outcome;
    const char *text;
} error_row_t;

static const error_row_t error_rows[] = {
#define X(name, code, status, outcome, text) {code, status, OUTCOME_##outcome, text},
    ERROR_TABLE(X)
#undef X
};

GQuark rudderway_error_quark(void) {
    return g_quark_from_static_string("rudderway-error");
}

static const error_row_t *error_row(error_code_t code) {
    g_assert(code < RUDDERWAY_ERROR_COUNT);
    return &error_rows[code];
}

const char *error_name(error_code_t code) {
    return error_row(code)->name;
}

unsigned error_http_status(error_code_t code) {
    return error_row(code)->http_status;
}

outcome_t error_outcome(error_code_t code) {
    return error_row(code)->outcome;
}

const char *error_text(error_code_t code) {
    return error_row(code)->text;
}

error_code_t error_from_name(const char *name) {
    for (unsigned code = 0; code < RUDDERWAY_ERROR_COUNT; code++)
        if (strcmp(error_rows[code].name, name) == 0)
            return (error_code_t)code;
    return RUDDERWAY_ERROR_SYSTEM;
}

const char *outcome_name(outcome_t outcome) {
    static const char *const names[] = {"not_run", "unknown", "failed"};
    return names[outcome];
}

void error_set(GError **error, error_code_t code, const char *format, ...) {
    va_list arguments;
    va_start(arguments, format);
    char *detail = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    g_set_error(error, RUDDERWAY_ERROR, (int)code, "%s: %s", error_text(code), detail);
    g_free(detail);
}
