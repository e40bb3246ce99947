/**
 * @file machines.c
 * Stand-ins for the machine list, which shows its content with a lag, and the weight store,
 * which serves at a limited rate.
 *
 *   GET /v1/machines          {"machines": [{"name", "kind", "offers", "zone", "address", "port",
 *                              "leaving"}]}
 *   PUT /standin/machines     replaces the list; it shows after the lag
 *   GET /v1/weights/M/V       {"model", "version", "bytes"}
 */
#include "standin/standin.h"

#include <pthread.h>
#include <string.h>

enum { WEIGHT_BYTES = 1 << 30 };

typedef struct {
    const standin_options_t *options;
    pthread_mutex_t lock;
    json_t *shown;
} machines_t;

typedef struct {
    machines_t *machines;
    json_t *list;
} replacement_t;

static void show(void *data) {
    replacement_t *replacement = data;
    machines_t *machines = replacement->machines;
    pthread_mutex_lock(&machines->lock);
    json_decref(machines->shown);
    machines->shown = replacement->list;
    pthread_mutex_unlock(&machines->lock);
    g_free(replacement);
}

static void replace_list(machines_t *machines, http_request_t *request) {
    size_t length;
    const char *text = g_bytes_get_data(http_request_body(request), &length);
    replacement_t *replacement = g_new0(replacement_t, 1);
    replacement->machines = machines;
    replacement->list = json_parse(text != NULL ? text : "", length, NULL);
    standin_after(machines->options->lag_ms, show, replacement);
    standin_respond(request, 200, json_object());
}

static void on_machines_request(void *context, http_request_t *request) {
    machines_t *machines = context;
    if (strcmp(http_request_method(request), "PUT") == 0) {
        replace_list(machines, request);
        return;
    }
    if (standin_next_fault() != FAULT_NONE) {
        standin_respond_text(request, 503, "outage");
        return;
    }
    pthread_mutex_lock(&machines->lock);
    json_t *copy = json_deep_copy(machines->shown);
    pthread_mutex_unlock(&machines->lock);
    standin_respond(request, 200, copy);
}

standin_role_t machines_role_start(const standin_options_t *options) {
    machines_t *machines = g_new0(machines_t, 1);
    machines->options = options;
    pthread_mutex_init(&machines->lock, NULL);
    if (options->machines_file != NULL)
        machines->shown = json_load_file(options->machines_file, 0, NULL);
    if (machines->shown == NULL)
        machines->shown = json_pack("{s:[]}", "machines");
    return (standin_role_t){.handler = on_machines_request, .context = machines};
}

static void on_weights_request(void *context, http_request_t *request) {
    const standin_options_t *options = context;
    const char *path = http_request_path(request);
    if (standin_next_fault() != FAULT_NONE)
        standin_respond_text(request, 503, "outage");
    else if (!standin_within_rate(options->rate))
        standin_respond_text(request, 429, "rate_limited");
    else {
        standin_record(json_pack("{s:s, s:s}", "event", "fetched", "path", path));
        standin_respond(request, 200, json_pack("{s:s, s:i}", "path", path, "bytes", WEIGHT_BYTES));
    }
}

standin_role_t weights_role_start(const standin_options_t *options) {
    return (standin_role_t){.handler = on_weights_request, .context = (void *)options};
}
