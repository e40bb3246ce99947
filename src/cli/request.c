#include "cli/cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { ADMIN_TIMEOUT_MS = 10000, SUCCESS_CLASS = 2, STATUS_CLASS = 100, CELL_MAXIMUM = 256 };

json_t *cli_ask_node(const cli_t *cli, const cli_node_t *node, const cli_request_t *request,
                     unsigned *status, GError **error) {
    http_call_t call = {.address = node->address,
                        .port = node->port,
                        .method = request->method,
                        .path = request->path,
                        .authorization = request->token != NULL ? request->token : cli->token,
                        .body = request->body,
                        .body_length = request->body != NULL ? strlen(request->body) : 0,
                        .timeout_ms = request->timeout_ms,
                        .repeatable = request->repeatable};
    http_answer_t answer = {0};
    json_t *value = NULL;
    if (http_client_call(cli->client, &call, &answer, error)) {
        size_t length;
        const char *text = g_bytes_get_data(answer.body, &length);
        *status = answer.status;
        value = json_parse(text != NULL ? text : "", length, error);
    }
    http_answer_clear(&answer);
    return value;
}

json_t *cli_ask(const cli_t *cli, const cli_request_t *request, unsigned *status, GError **error) {
    for (guint i = 0; i < cli->nodes->len; i++) {
        g_clear_error(error);
        json_t *value =
            cli_ask_node(cli, &g_array_index(cli->nodes, cli_node_t, i), request, status, error);
        bool try_next = value == NULL && (*error)->code == RUDDERWAY_ERROR_CANNOT_CONNECT;
        if (!try_next)
            return value;
    }
    return NULL;
}

cli_status_t cli_fail(const json_t *answer, unsigned status) {
    const json_t *error = json_object_get(answer, "error");
    const char *code = json_string_value(json_object_get(error, "code"));
    const char *message = json_string_value(json_object_get(error, "message"));
    fprintf(stderr, "rudderway: %s: %s\n", code != NULL ? code : "error",
            message != NULL ? message : "no message");
    error_code_t known = code != NULL ? error_from_name(code) : RUDDERWAY_ERROR_SYSTEM;
    if (known == RUDDERWAY_ERROR_EDIT_CONFLICT)
        return CLI_CONFLICT;
    if (known == RUDDERWAY_ERROR_EDIT_UNKNOWN)
        return CLI_UNKNOWN;
    (void)status;
    return CLI_FAILED;
}

json_t *cli_get(const cli_t *cli, const char *path) {
    GError *error = NULL;
    unsigned status = 0;
    cli_request_t request = {
        .method = "GET", .path = path, .timeout_ms = ADMIN_TIMEOUT_MS, .repeatable = true};
    json_t *value = cli_ask(cli, &request, &status, &error);
    if (value == NULL) {
        fprintf(stderr, "rudderway: %s\n", error != NULL ? error->message : "no node");
        g_clear_error(&error);
        return NULL;
    }
    if (status / STATUS_CLASS == SUCCESS_CLASS)
        return value;
    cli_fail(value, status);
    json_decref(value);
    return NULL;
}

void cli_print_json(const json_t *value) {
    char *text = json_dumps(value, JSON_INDENT(2) | JSON_ENCODE_ANY);
    puts(text);
    free(text);
}

static void format_cell(const json_t *value, char *cell) {
    if (json_is_string(value))
        g_strlcpy(cell, json_string_value(value), CELL_MAXIMUM);
    else if (json_is_integer(value))
        g_snprintf(cell, CELL_MAXIMUM, "%" JSON_INTEGER_FORMAT, json_integer_value(value));
    else if (json_is_real(value))
        g_snprintf(cell, CELL_MAXIMUM, "%.3f", json_real_value(value));
    else if (json_is_boolean(value))
        g_strlcpy(cell, json_is_true(value) ? "yes" : "no", CELL_MAXIMUM);
    else
        g_strlcpy(cell, "-", CELL_MAXIMUM);
}

static int column_width(const json_t *rows, const char *column) {
    char cell[CELL_MAXIMUM];
    size_t width = strlen(column);
    for (size_t i = 0; i < json_array_size(rows); i++) {
        format_cell(json_object_get(json_array_get(rows, i), column), cell);
        width = MAX(width, strlen(cell));
    }
    return (int)width;
}

static void print_row(const json_t *rows, const char *const *columns, const json_t *row) {
    char cell[CELL_MAXIMUM];
    for (const char *const *column = columns; *column != NULL; column++) {
        if (row != NULL)
            format_cell(json_object_get(row, *column), cell);
        else
            g_strlcpy(cell, *column, CELL_MAXIMUM);
        printf("%-*s%s", column_width(rows, *column), cell, column[1] != NULL ? "  " : "\n");
    }
}

void cli_print_table(const cli_t *cli, const json_t *rows, const char *const *columns) {
    if (cli->json) {
        cli_print_json(rows);
        return;
    }
    print_row(rows, columns, NULL);
    for (size_t i = 0; i < json_array_size(rows); i++)
        print_row(rows, columns, json_array_get(rows, i));
}
