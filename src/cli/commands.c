/**
 * @file commands.c
 * The commands that read and change a cluster.
 */
#include "cli/cli.h"

#include "core/configuration/configuration.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    EDIT_TIMEOUT_MS = 12000,
    NODE_TIMEOUT_MS = 3000,
    WAIT_TIMEOUT_MS = 10000,
    SUCCESS_CLASS = 2,
    STATUS_CLASS = 100
};

/* --- Objects in files --------------------------------------------------------------------- */

/** A configuration file: {"template/NAME": {...}, "tenant/NAME": {...} or null to delete}. */
static json_t *load_file(const char *file, char **text) {
    GError *error = NULL;
    json_t *objects = NULL;
    if (g_file_get_contents(file, text, NULL, &error))
        objects = json_parse(*text, strlen(*text), &error);
    if (objects != NULL && json_is_object(objects))
        return objects;
    fprintf(stderr, "rudderway: %s: %s\n", file,
            error != NULL ? error->message : "not an object of objects");
    json_decref(objects);
    g_clear_error(&error);
    return NULL;
}

static char *object_text(const json_t *value) {
    if (json_is_null(value))
        return g_strdup("");
    char *text = json_dumps(value, JSON_INDENT(2));
    char *copy = g_strdup(text != NULL ? text : "");
    free(text);
    return copy;
}

static const json_t *find_object(const json_t *configuration, const char *key) {
    const json_t *objects = json_object_get(configuration, "objects");
    for (size_t i = 0; i < json_array_size(objects); i++) {
        const json_t *object = json_array_get(objects, i);
        if (strcmp(json_string_value(json_object_get(object, "key")), key) == 0)
            return object;
    }
    return NULL;
}

/** True if the file's object is the one in force, whatever its layout. */
static bool is_same(const json_t *object, const json_t *value) {
    const char *text = json_string_value(json_object_get(object, "text"));
    if (text == NULL)
        return json_is_null(value);
    json_t *known = json_loads(text, 0, NULL);
    bool same = known != NULL && json_equal(known, value);
    json_decref(known);
    return same;
}

/** Asks every live member; the answers go to @p visit. False if no node could be asked. */
static bool ask_members(const cli_t *cli, const char *path,
                        void (*visit)(const json_t *member, const json_t *answer, void *data),
                        void *data) {
    json_t *members = cli_get(cli, "/admin/v1/members");
    if (members == NULL)
        return false;
    const json_t *list = json_object_get(members, "members");
    for (size_t i = 0; i < json_array_size(list); i++) {
        const json_t *member = json_array_get(list, i);
        if (strcmp(json_string_value(json_object_get(member, "state")), "dead") == 0)
            continue;
        cli_node_t node = {.address = (char *)json_string_value(json_object_get(member, "address")),
                           .port =
                               (uint32_t)json_integer_value(json_object_get(member, "http_port"))};
        cli_request_t request = {
            .method = "GET", .path = path, .timeout_ms = NODE_TIMEOUT_MS, .repeatable = true};
        unsigned status = 0;
        json_t *answer = cli_ask_node(cli, &node, &request, &status, NULL);
        visit(member, answer, data);
        json_decref(answer);
    }
    json_decref(members);
    return true;
}

/* --- Waiting until an edit is in force -------------------------------------------------------- */

typedef struct {
    json_int_t revision;
    unsigned nodes;
    unsigned behind;
} progress_t;

static void count_behind(const json_t *member, const json_t *answer, void *data) {
    (void)member;
    progress_t *progress = data;
    progress->nodes++;
    if (answer == NULL ||
        json_integer_value(json_object_get(answer, "revision")) < progress->revision)
        progress->behind++;
}

/** Polls every live node until @p revision is in force on all. */
static cli_status_t wait_in_force(const cli_t *cli, json_int_t revision) {
    int64_t start_us = g_get_monotonic_time();
    int64_t until_us = start_us + (int64_t)WAIT_TIMEOUT_MS * 1000;
    progress_t progress;
    do {
        progress = (progress_t){.revision = revision};
        if (!ask_members(cli, "/admin/v1/status", count_behind, &progress))
            return CLI_UNREACHABLE;
    } while (progress.behind > 0 && g_get_monotonic_time() < until_us);
    int64_t elapsed_ms = (g_get_monotonic_time() - start_us) / 1000;
    if (progress.behind > 0) {
        fprintf(stderr, "rudderway: not in force on %u of %u nodes after %d ms\n", progress.behind,
                progress.nodes, WAIT_TIMEOUT_MS);
        return CLI_FAILED;
    }
    printf("in force on %u nodes in %" G_GINT64_FORMAT " ms\n", progress.nodes, elapsed_ms);
    return CLI_OK;
}

/* --- Edits -------------------------------------------------------------------------------- */

static edit_t *build_edit(const json_t *configuration, const json_t *objects) {
    char *id = g_uuid_string_random();
    edit_t *edit = edit_new(id, g_get_user_name(), 0);
    const char *key;
    json_t *value;
    g_free(id);
    json_object_foreach((json_t *)objects, key, value) {
        const json_t *known = find_object(configuration, key);
        if (is_same(known, value))
            continue;
        char *text = object_text(value);
        edit_add(edit, key, text, (uint64_t)json_integer_value(json_object_get(known, "revision")));
        g_free(text);
    }
    return edit;
}

/** Says where in the file an invalid edit's mistake stands. */
static void point_into_file(const json_t *answer, const char *file, const char *text) {
    const json_t *error = json_object_get(answer, "error");
    const char *message = json_string_value(json_object_get(error, "message"));
    const char *place = message != NULL ? strstr(message, "template/") : NULL;
    if (place == NULL && message != NULL)
        place = strstr(message, "tenant/");
    if (place == NULL)
        return;
    char **parts = g_strsplit(place, ": ", -1);
    int line = 1;
    if (g_strv_length(parts) >= 4) {
        const char *field = strrchr(parts[3], '.');
        char *path = g_strconcat(parts[0], ".", field != NULL ? field + 1 : parts[3], NULL);
        line = configuration_find_line(text, path);
        g_free(path);
    }
    fprintf(stderr, "rudderway: see %s:%d\n", file, line);
    g_strfreev(parts);
}

static cli_status_t send_edit(const cli_t *cli, const char *path, const json_t *body,
                              json_t **answer) {
    GError *error = NULL;
    unsigned status = 0;
    char *text = json_to_text(body);
    /* The edit has a unique id, so it may be sent again. */
    cli_request_t request = {.method = "POST",
                             .path = path,
                             .body = text,
                             .timeout_ms = EDIT_TIMEOUT_MS,
                             .repeatable = true};
    *answer = cli_ask(cli, &request, &status, &error);
    g_free(text);
    if (*answer == NULL) {
        fprintf(stderr, "rudderway: %s\n", error->message);
        bool unsent = error->code == RUDDERWAY_ERROR_CANNOT_CONNECT;
        g_error_free(error);
        return unsent ? CLI_UNREACHABLE : CLI_UNKNOWN;
    }
    if (status / STATUS_CLASS != SUCCESS_CLASS)
        return cli_fail(*answer, status);
    json_int_t revision = json_integer_value(json_object_get(*answer, "revision"));
    if (cli->json)
        cli_print_json(*answer);
    else
        printf("accepted as revision %" JSON_INTEGER_FORMAT "\n", revision);
    return cli->wait ? wait_in_force(cli, revision) : CLI_OK;
}

cli_status_t command_apply(const cli_t *cli) {
    char *text = NULL;
    cli_status_t status = CLI_USAGE;
    json_t *objects = load_file(cli->arguments[0], &text);
    json_t *configuration = objects != NULL ? cli_get(cli, "/admin/v1/configuration") : NULL;
    if (objects != NULL && configuration == NULL)
        status = CLI_UNREACHABLE;
    if (configuration != NULL) {
        edit_t *edit = build_edit(configuration, objects);
        json_t *answer = NULL;
        json_t *body = edit_to_json(edit);
        if (edit->changes->len == 0) {
            printf("nothing to change\n");
            status = CLI_OK;
        } else {
            status = send_edit(cli, "/admin/v1/edits", body, &answer);
            if (status == CLI_FAILED)
                point_into_file(answer, cli->arguments[0], text);
        }
        json_decref(answer);
        json_decref(body);
        edit_free(edit);
    }
    json_decref(configuration);
    json_decref(objects);
    g_free(text);
    return status;
}

cli_status_t command_rollback(const cli_t *cli) {
    guint64 revision;
    if (!g_ascii_string_to_unsigned(cli->arguments[0], 10, 0, INT64_MAX, &revision, NULL)) {
        fprintf(stderr, "rudderway: the revision is a number\n");
        return CLI_USAGE;
    }
    char *id = g_uuid_string_random();
    json_t *body = json_pack("{s:s, s:I}", "id", id, "revision", (json_int_t)revision);
    json_t *answer = NULL;
    cli_status_t status = send_edit(cli, "/admin/v1/rollback", body, &answer);
    json_decref(answer);
    json_decref(body);
    g_free(id);
    return status;
}

cli_status_t command_get(const cli_t *cli) {
    json_t *configuration = cli_get(cli, "/admin/v1/configuration");
    if (configuration == NULL)
        return CLI_UNREACHABLE;
    cli_status_t status = CLI_OK;
    if (cli->argument_count == 1) {
        const json_t *object = find_object(configuration, cli->arguments[0]);
        if (object != NULL)
            puts(json_string_value(json_object_get(object, "text")));
        else
            status = CLI_FAILED;
    } else {
        static const char *const columns[] = {"key", "revision", NULL};
        cli_print_table(cli, json_object_get(configuration, "objects"), columns);
    }
    json_decref(configuration);
    return status;
}

cli_status_t command_diff(const cli_t *cli) {
    char *text = NULL;
    json_t *objects = load_file(cli->arguments[0], &text);
    g_free(text);
    if (objects == NULL)
        return CLI_USAGE;
    json_t *configuration = cli_get(cli, "/admin/v1/configuration");
    if (configuration == NULL) {
        json_decref(objects);
        return CLI_UNREACHABLE;
    }
    cli_status_t status = CLI_OK;
    const char *key;
    json_t *value;
    json_object_foreach(objects, key, value) {
        const json_t *known = find_object(configuration, key);
        if (is_same(known, value))
            continue;
        status = CLI_DIFFERENT;
        char *now = object_text(value);
        const char *sign = known == NULL ? "+" : (json_is_null(value) ? "-" : "~");
        printf("%s %s\n", sign, key);
        if (known != NULL)
            printf("--- in force\n%s\n", json_string_value(json_object_get(known, "text")));
        if (!json_is_null(value))
            printf("+++ file\n%s\n", now);
        g_free(now);
    }
    json_decref(configuration);
    json_decref(objects);
    return status;
}

/* --- Reads -------------------------------------------------------------------------------- */

static cli_status_t print_list(const cli_t *cli, const char *path, const char *field,
                               const char *const *columns) {
    json_t *value = cli_get(cli, path);
    if (value == NULL)
        return CLI_UNREACHABLE;
    cli_print_table(cli, json_object_get(value, field), columns);
    json_decref(value);
    return CLI_OK;
}

cli_status_t command_history(const cli_t *cli) {
    static const char *const columns[] = {"revision", "id", "author", "time_ms", NULL};
    return print_list(cli, "/admin/v1/history", "edits", columns);
}

cli_status_t command_members(const cli_t *cli) {
    static const char *const columns[] = {"name",      "zone",      "state",    "address",
                                          "http_port", "peer_port", "instance", NULL};
    return print_list(cli, "/admin/v1/members", "members", columns);
}

cli_status_t command_backends(const cli_t *cli) {
    static const char *const columns[] = {"name",      "kind",    "offers",  "zone", "state",
                                          "in_flight", "running", "waiting", NULL};
    return print_list(cli, "/admin/v1/backends", "backends", columns);
}

static void collect_status(const json_t *member, const json_t *answer, void *data) {
    json_t *row = answer != NULL ? json_deep_copy(answer)
                                 : json_pack("{s:O, s:O}", "node", json_object_get(member, "name"),
                                             "zone", json_object_get(member, "zone"));
    if (answer == NULL)
        json_object_set_new(row, "edit", json_string("(no answer)"));
    json_array_append_new(data, row);
}

static void print_slowest(const json_t *rows) {
    json_int_t lowest = -1;
    json_int_t highest = 0;
    const char *slowest = "";
    for (size_t i = 0; i < json_array_size(rows); i++) {
        const json_t *row = json_array_get(rows, i);
        json_int_t revision = json_integer_value(json_object_get(row, "revision"));
        highest = MAX(highest, revision);
        if (lowest >= 0 && revision >= lowest)
            continue;
        lowest = revision;
        slowest = json_string_value(json_object_get(row, "node"));
    }
    if (lowest == highest)
        printf("revision %" JSON_INTEGER_FORMAT " is in force on every node\n", highest);
    else
        printf("slowest: %s at revision %" JSON_INTEGER_FORMAT " of %" JSON_INTEGER_FORMAT "\n",
               slowest, lowest, highest);
}

cli_status_t command_status(const cli_t *cli) {
    static const char *const columns[] = {
        "node",          "zone",          "ready",           "revision",           "partitions_led",
        "calls_running", "program_bytes", "partitions_held", "resident_kilobytes", NULL};
    json_t *rows = json_array();
    if (!ask_members(cli, "/admin/v1/status", collect_status, rows)) {
        json_decref(rows);
        return CLI_UNREACHABLE;
    }
    cli_print_table(cli, rows, columns);
    if (!cli->json)
        print_slowest(rows);
    json_decref(rows);
    return CLI_OK;
}

static void collect_programs(const json_t *member, const json_t *answer, void *data) {
    (void)member;
    json_array_extend(data, json_object_get(answer, "programs"));
}

cli_status_t command_programs(const cli_t *cli) {
    static const char *const columns[] = {"tenant", "program",      "template",      "calls",
                                          "ended",  "spent_tokens", "budget_tokens", NULL};
    json_t *rows = json_array();
    if (!ask_members(cli, "/admin/v1/programs", collect_programs, rows)) {
        json_decref(rows);
        return CLI_UNREACHABLE;
    }
    cli_print_table(cli, rows, columns);
    json_decref(rows);
    return CLI_OK;
}

cli_status_t command_program(const cli_t *cli) {
    char *path = g_strdup_printf("/admin/v1/programs/%s", cli->arguments[0]);
    json_t *value = cli_get(cli, path);
    g_free(path);
    if (value == NULL)
        return CLI_FAILED;
    cli_print_json(value);
    json_decref(value);
    return CLI_OK;
}

cli_status_t command_drain(const cli_t *cli) {
    json_t *members = cli_get(cli, "/admin/v1/members");
    if (members == NULL)
        return CLI_UNREACHABLE;
    cli_status_t result = CLI_FAILED;
    const json_t *list = json_object_get(members, "members");
    for (size_t i = 0; i < json_array_size(list); i++) {
        const json_t *member = json_array_get(list, i);
        const char *name = json_string_value(json_object_get(member, "name"));
        const char *state = json_string_value(json_object_get(member, "state"));
        if (strcmp(name, cli->arguments[0]) != 0 || strcmp(state, "dead") == 0)
            continue;
        cli_node_t node = {.address = (char *)json_string_value(json_object_get(member, "address")),
                           .port =
                               (uint32_t)json_integer_value(json_object_get(member, "http_port"))};
        cli_request_t request = {
            .method = "POST", .path = "/admin/v1/drain", .timeout_ms = NODE_TIMEOUT_MS};
        unsigned status = 0;
        json_t *answer = cli_ask_node(cli, &node, &request, &status, NULL);
        result = answer != NULL && status / STATUS_CLASS == SUCCESS_CLASS ? CLI_OK : CLI_FAILED;
        json_decref(answer);
    }
    json_decref(members);
    if (result == CLI_OK)
        printf("%s is draining\n", cli->arguments[0]);
    else
        fprintf(stderr, "rudderway: %s could not be told to drain\n", cli->arguments[0]);
    return result;
}
