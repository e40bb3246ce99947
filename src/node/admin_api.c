#include "node/admin_api.h"

#include "common/event.h"
#include "common/json.h"
#include "node/backend_service.h"
#include "node/caller_api.h"
#include "node/calls.h"
#include "node/configuration_service.h"
#include "node/entries.h"
#include "node/runs.h"
#include "node/services.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum { OK_STATUS = 200, ACCEPTED_STATUS = 202, UNAVAILABLE_STATUS = 503, PROGRAMS_MAXIMUM = 10000 };

static const char admin_prefix[] = "/admin/v1/";

/** A read that the decision thread answers. */
typedef struct {
    http_request_t *request;
    char *argument;
} query_t;

static void post_query(node_t *node, http_request_t *request, task_t task, const char *argument) {
    query_t *query = g_new0(query_t, 1);
    query->request = request;
    query->argument = g_strdup(argument);
    mailbox_post(node->mailbox, task, query);
}

static void answer_query(query_t *query, json_t *body) {
    respond_json(query->request, OK_STATUS, body);
    g_free(query->argument);
    g_free(query);
}

/* --- Reads -------------------------------------------------------------------------------- */

static uint64_t resident_kilobytes(void) {
    unsigned long total = 0;
    unsigned long resident = 0;
    FILE *file = fopen("/proc/self/statm", "r");
    if (file == NULL)
        return 0;
    int read = fscanf(file, "%lu %lu", &total, &resident);
    fclose(file);
    return read == 2 ? resident * (uint64_t)sysconf(_SC_PAGESIZE) / 1024 : 0;
}

static void query_status(void *context, void *data) {
    node_t *node = context;
    configuration_t *configuration = node->configuration;
    answer_query(
        data,
        json_pack("{s:s, s:s, s:s, s:b, s:b, s:I, s:s, s:i, s:i, s:i, s:i, s:i, s:I, s:I, s:o}",
                  "node", node->settings->name, "zone", node->settings->zone, "version",
                  RUDDERWAY_VERSION, "ready", g_atomic_int_get(&node->ready) != 0, "stopping",
                  node->stopping, "revision", (json_int_t)configuration_revision(configuration),
                  "edit", configuration_edit_id(configuration), "partitions_led",
                  (int)partitions_led_count(node), "partitions_held",
                  (int)partitions_member_count(node), "calls_running", (int)runs_count(node, NULL),
                  "requests_waiting", (int)entries_count(node), "plain_requests",
                  (int)services_count(node), "program_bytes", (json_int_t)partitions_bytes(node),
                  "resident_kilobytes", (json_int_t)resident_kilobytes(), "partitions",
                  partitions_to_json(node)));
}

static const char *state_name(const member_t *member) {
    static const char *const names[] = {"alive", "suspect", "dead"};
    return member->leaving && member->state != MEMBER_DEAD ? "leaving" : names[member->state];
}

static void query_members(void *context, void *data) {
    node_t *node = context;
    const GPtrArray *members = membership_all(node->membership);
    json_t *list = json_array();
    for (guint i = 0; i < members->len; i++) {
        const member_t *member = g_ptr_array_index(members, i);
        char *instance = g_strdup_printf("%016" PRIx64, member->instance);
        json_array_append_new(list, json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:s}", "name",
                                              member->name, "zone", member->zone, "instance",
                                              instance, "address", member->address, "peer_port",
                                              (int)member->peer_port, "http_port",
                                              (int)member->http_port, "state", state_name(member)));
        g_free(instance);
    }
    answer_query(data, json_pack("{s:o}", "members", list));
}

static json_t *program_list;

static void list_group(node_t *node, group_t *group) {
    (void)node;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, program_store_all(group_store(group)));
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        if (json_array_size(program_list) < PROGRAMS_MAXIMUM)
            json_array_append_new(program_list, calls_program_to_json(value, false));
}

/** The programs that this node leads; the command line asks every node. */
static void query_programs(void *context, void *data) {
    node_t *node = context;
    program_list = json_array();
    partitions_each_led(node, list_group);
    answer_query(data, json_pack("{s:o}", "programs", program_list));
}

static void query_program(void *context, void *data) {
    node_t *node = context;
    query_t *query = data;
    char **parts = g_strsplit(query->argument, "/", 2);
    operation_t *operation = operation_new(OPERATION_HISTORY, parts[0], NULL);
    operation->program = g_strdup_printf("%s%c%s", parts[0], PROGRAM_TENANT_SEPARATOR,
                                         parts[1] != NULL ? parts[1] : "");
    operation->remaining_ms = 10000;
    g_strfreev(parts);
    entries_submit(node, query->request, operation);
    g_free(query->argument);
    g_free(query);
}

static void query_backends(void *context, void *data) {
    answer_query(data, json_pack("{s:o}", "backends", backend_service_to_json(context)));
}

static void query_history(void *context, void *data) {
    answer_query(data, json_pack("{s:o}", "edits", configuration_service_history(context)));
}

static void query_metrics(void *context, void *data) {
    node_t *node = context;
    query_t *query = data;
    GString *text = g_string_new(NULL);
    peer_transport_counters_t peers = peer_transport_counters(node->transport);
    metrics_render(&node->metrics, text);
    metric_render(text, "revision", "gauge", "Configuration revision in force.",
                  configuration_revision(node->configuration));
    metric_render(text, "calls_running", "gauge", "Calls executing now.", runs_count(node, NULL));
    metric_render(text, "calls_waiting", "gauge", "Calls that callers wait for or that are held.",
                  calls_waiting(node));
    metric_render(text, "requests_waiting", "gauge", "Callers' requests not answered yet.",
                  entries_count(node));
    metric_render(text, "mailbox_length", "gauge", "Tasks of the decision thread.",
                  mailbox_length(node->mailbox));
    metric_render(text, "program_bytes", "gauge", "Program state held.", partitions_bytes(node));
    metric_render(text, "partitions_led", "gauge", "Partitions led.", partitions_led_count(node));
    metric_render(text, "peer_bytes_sent_total", "counter", "Bytes sent to other nodes.",
                  peers.bytes_sent);
    metric_render(text, "peer_frames_sent_total", "counter", "Frames sent to other nodes.",
                  peers.frames_sent);
    metric_render(text, "peer_frames_dropped_total", "counter", "Frames that could not be sent.",
                  peers.frames_dropped);
    metric_render(text, "peer_frames_rejected_total", "counter",
                  "Frames that were malformed or not authentic.", peers.frames_rejected);
    metric_render(text, "peer_datagrams_sent_total", "counter", "Datagrams sent.",
                  peers.datagrams_sent);
    http_respond(query->request, OK_STATUS, "text/plain; version=0.0.4",
                 g_string_free_to_bytes(text), 0);
    g_free(query->argument);
    g_free(query);
}

/* --- Configuration ------------------------------------------------------------------------ */

static json_t *object_to_json(const configuration_object_t *object) {
    return json_pack("{s:s, s:I, s:s}", "key", object->key, "revision",
                     (json_int_t)object->revision, "text", object->text);
}

static void get_configuration(node_t *node, http_request_t *request) {
    configuration_t *configuration = node_configuration(node);
    GPtrArray *objects = configuration_list(configuration);
    json_t *list = json_array();
    for (guint i = 0; i < objects->len; i++)
        json_array_append_new(list, object_to_json(g_ptr_array_index(objects, i)));
    respond_json(request, OK_STATUS,
                 json_pack("{s:I, s:s, s:o}", "revision",
                           (json_int_t)configuration_revision(configuration), "edit",
                           configuration_edit_id(configuration), "objects", list));
    g_ptr_array_unref(objects);
    configuration_unref(configuration);
}

static json_t *parse_body(const http_request_t *request, GError **error) {
    size_t length;
    const char *text = g_bytes_get_data(http_request_body(request), &length);
    return json_parse(text != NULL ? text : "", length, error);
}

static void post_edit(node_t *node, http_request_t *request) {
    GError *error = NULL;
    json_t *body = parse_body(request, &error);
    edit_t *edit = body != NULL ? edit_from_json(body, &error) : NULL;
    json_decref(body);
    if (edit == NULL) {
        respond_gerror(request, error);
        return;
    }
    edit->time_ms = g_get_real_time() / 1000;
    configuration_service_submit(node, request, edit);
}

typedef struct {
    http_request_t *request;
    char *id;
    uint64_t revision;
} rollback_t;

static void run_rollback(void *context, void *data) {
    node_t *node = context;
    rollback_t *rollback = data;
    GError *error = NULL;
    edit_t *edit = configuration_service_rollback(node, rollback->revision, rollback->id, &error);
    if (edit != NULL)
        configuration_service_submit(node, rollback->request, edit);
    else
        respond_gerror(rollback->request, error);
    g_free(rollback->id);
    g_free(rollback);
}

static void post_rollback(node_t *node, http_request_t *request) {
    GError *error = NULL;
    json_t *body = parse_body(request, &error);
    if (body == NULL) {
        respond_gerror(request, error);
        return;
    }
    json_reader_t reader;
    json_reader_start(&reader, body, "", &error);
    const char *id = json_reader_text(&reader, "id", true, 1, 64);
    int64_t revision = json_reader_integer(&reader, "revision", 0, INT64_MAX, -1);
    if (json_reader_finish(&reader)) {
        rollback_t *rollback = g_new0(rollback_t, 1);
        rollback->request = request;
        rollback->id = g_strdup(id);
        rollback->revision = (uint64_t)revision;
        mailbox_post(node->mailbox, run_rollback, rollback);
    } else {
        respond_gerror(request, error);
    }
    json_decref(body);
}

static void post_drain(node_t *node, http_request_t *request) {
    respond_json(request, ACCEPTED_STATUS, json_pack("{s:s}", "draining", node->settings->name));
    node_request_stop(node);
}

/* --- Routes ------------------------------------------------------------------------------- */

static bool is_admin(const node_t *node, const http_request_t *request) {
    char *token = caller_api_token(request);
    bool valid = token != NULL &&
                 configuration_equal_constant_time(token, node->settings->admin_token_sha256);
    g_free(token);
    return valid;
}

static void route_get(node_t *node, http_request_t *request, const char *path) {
    static const struct {
        const char *path;
        task_t task;
    } queries[] = {
        {"status", query_status},     {"members", query_members}, {"programs", query_programs},
        {"backends", query_backends}, {"history", query_history},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(queries); i++) {
        if (strcmp(queries[i].path, path) != 0)
            continue;
        post_query(node, request, queries[i].task, "");
        return;
    }
    if (strcmp(path, "configuration") == 0)
        get_configuration(node, request);
    else if (g_str_has_prefix(path, "programs/") && strchr(path + strlen("programs/"), '/'))
        post_query(node, request, query_program, path + strlen("programs/"));
    else
        respond_error(request, RUDDERWAY_ERROR_NO_SUCH_ROUTE, NULL, 0);
}

static void route_post(node_t *node, http_request_t *request, const char *path) {
    event_log(ADMINISTRATION_REQUEST, "POST", path, OK_STATUS);
    if (strcmp(path, "edits") == 0)
        post_edit(node, request);
    else if (strcmp(path, "rollback") == 0)
        post_rollback(node, request);
    else if (strcmp(path, "drain") == 0)
        post_drain(node, request);
    else
        respond_error(request, RUDDERWAY_ERROR_NO_SUCH_ROUTE, NULL, 0);
}

static void respond_text(http_request_t *request, unsigned status, const char *text) {
    http_respond(request, status, "text/plain", g_bytes_new(text, strlen(text)), 0);
}

static void handle_open_path(node_t *node, http_request_t *request, const char *path) {
    bool ready = g_atomic_int_get(&node->ready) && !g_atomic_int_get(&node->stop_requested);
    if (strcmp(path, "/healthz") == 0)
        respond_text(request, OK_STATUS, "ok\n");
    else if (strcmp(path, "/readyz") == 0)
        respond_text(request, ready ? OK_STATUS : UNAVAILABLE_STATUS,
                     ready ? "ok\n" : "not ready\n");
    else if (strcmp(path, "/metrics") == 0)
        post_query(node, request, query_metrics, "");
    else
        respond_error(request, RUDDERWAY_ERROR_NO_SUCH_ROUTE, NULL, 0);
}

void admin_api_handle(node_t *node, http_request_t *request) {
    const char *path = http_request_path(request);
    const char *method = http_request_method(request);
    if (!g_str_has_prefix(path, admin_prefix))
        handle_open_path(node, request, path);
    else if (!is_admin(node, request))
        respond_error(request, RUDDERWAY_ERROR_UNAUTHORIZED, NULL, 0);
    else if (http_request_body_too_large(request))
        respond_error(request, RUDDERWAY_ERROR_BODY_TOO_LARGE, NULL, 0);
    else if (strcmp(method, "GET") == 0)
        route_get(node, request, path + strlen(admin_prefix));
    else if (strcmp(method, "POST") == 0)
        route_post(node, request, path + strlen(admin_prefix));
    else
        respond_error(request, RUDDERWAY_ERROR_METHOD_NOT_ALLOWED, NULL, 0);
}
