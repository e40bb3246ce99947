/*
 * The users' platform as far as gateways and storage nodes see it, for tests with real processes:
 * its store (listings, watches, conditional writes), one model server and one plain server.
 *
 *   platform_standin KEY_VALUE_PORT ENGINE_PORT SERVICE_PORT
 *
 * The model server answers with EVENTS events; each says the hash of the body that it got.
 */
#include "net/http_listener.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum { EVENTS = 4, EVENT_PAUSE_MS = 3, WATCH_MS = 1000 };

typedef struct {
    char *key;
    char *value; /* base64 */
    json_int_t revision;
} item_t;

static GPtrArray *items; /* In the order of their last change. */
static json_int_t revision;
static uv_loop_t *loop;

typedef struct {
    http_caller_t *caller;
    char *prefix;
    json_int_t after;
    uv_timer_t timer;
    bool over;
} watch_t;

static GPtrArray *watches;

static json_t *list_items(const char *prefix, json_int_t after) {
    json_t *list = json_array();
    for (guint i = 0; i < items->len; i++) {
        const item_t *item = g_ptr_array_index(items, i);
        if (item->revision > after && g_str_has_prefix(item->key, prefix))
            json_array_append_new(list, json_pack("{s:s,s:s,s:I,s:I,s:i}", "private-key", item->key,
                                                  "value", item->value, "revision", item->revision,
                                                  "made", item->revision, "lease", 0));
    }
    return list;
}

static void answer_json(http_caller_t *caller, unsigned status, json_t *body) {
    char *text = json_dumps(body, JSON_COMPACT);
    http_caller_answer(caller, status, "Content-Type: application/json\r\n", text, strlen(text));
    free(text);
    json_decref(body);
}

static char *query_value(const char *target, const char *name) {
    char *start = g_strdup_printf("%s=", name);
    const char *found = strstr(target, start);
    char *value = g_strdup("");
    if (found != NULL) {
        g_free(value);
        found += strlen(start);
        char *raw = g_strndup(found, strcspn(found, "&"));
        value = g_uri_unescape_string(raw, NULL);
        g_free(raw);
    }
    g_free(start);
    return value;
}

static void finish_watch(watch_t *watch) {
    if (watch->over)
        return;
    watch->over = true;
    uv_timer_stop(&watch->timer);
    g_ptr_array_remove(watches, watch);
    if (watch->caller != NULL)
        answer_json(watch->caller, 200,
                    json_pack("{s:o,s:I}", "events", list_items(watch->prefix, watch->after), "at",
                              revision));
}

static void on_watch_timer(uv_timer_t *timer) {
    finish_watch(timer->data);
}

static void begin_watch(http_caller_t *caller, const char *target) {
    watch_t *watch = g_new0(watch_t, 1);
    char *after = query_value(target, "after");
    watch->caller = caller;
    watch->prefix = query_value(target, "path-prefix");
    watch->after = strtoll(after, NULL, 10);
    g_free(after);
    uv_timer_init(loop, &watch->timer);
    watch->timer.data = watch;
    uv_timer_start(&watch->timer, on_watch_timer, WATCH_MS, 0);
    g_ptr_array_add(watches, watch);
    http_caller_set_data(caller, watch);
    json_t *seen = list_items(watch->prefix, watch->after);
    if (json_array_size(seen) > 0)
        finish_watch(watch);
    json_decref(seen);
}

static void put_item(const char *key, const char *value) {
    for (guint i = 0; i < items->len; i++)
        if (strcmp(((item_t *)g_ptr_array_index(items, i))->key, key) == 0)
            g_ptr_array_remove_index(items, i--);
    item_t *item = g_new0(item_t, 1);
    item->key = g_strdup(key);
    item->value = g_strdup(value);
    item->revision = ++revision;
    g_ptr_array_add(items, item);
    for (guint i = watches->len; i > 0; i--) {
        watch_t *watch = g_ptr_array_index(watches, i - 1);
        if (g_str_has_prefix(key, watch->prefix))
            finish_watch(watch);
    }
}

static void drop_item(const char *key) {
    for (guint i = 0; i < items->len; i++)
        if (strcmp(((item_t *)g_ptr_array_index(items, i))->key, key) == 0) {
            g_ptr_array_remove_index(items, i);
            revision++;
            return;
        }
}

static json_int_t revision_of(const char *key) {
    for (guint i = 0; i < items->len; i++) {
        const item_t *item = g_ptr_array_index(items, i);
        if (strcmp(item->key, key) == 0)
            return item->revision;
    }
    return 0;
}

static void write_items(http_caller_t *caller, const http_request_t *request) {
    json_t *body = json_loadb(request->body, request->body_length, 0, NULL);
    const json_t *conditions = json_object_get(body, "expected-revision");
    const json_t *puts = json_object_get(body, "put");
    bool holds = true;
    for (size_t i = 0; i < json_array_size(conditions); i++) {
        const json_t *row = json_array_get(conditions, i);
        holds = holds && revision_of(json_string_value(json_object_get(row, "private-key"))) ==
                             json_integer_value(json_object_get(row, "revision"));
    }
    if (!holds) {
        answer_json(caller, 412, json_pack("{s:[]}", "items"));
        json_decref(body);
        return;
    }
    for (size_t i = 0; i < json_array_size(puts); i++) {
        const json_t *row = json_array_get(puts, i);
        put_item(json_string_value(json_object_get(row, "private-key")),
                 json_string_value(json_object_get(row, "value")));
    }
    const json_t *drops = json_object_get(body, "drop");
    for (size_t i = 0; i < json_array_size(drops); i++)
        drop_item(json_string_value(json_array_get(drops, i)));
    answer_json(caller, 200, json_pack("{s:I}", "revision", revision));
    json_decref(body);
}

static void on_store_request(void *owner, http_caller_t *caller, const http_request_t *request) {
    (void)owner;
    if (g_str_has_prefix(request->target, "/-/kv-watch")) {
        begin_watch(caller, request->target);
    } else if (g_str_has_prefix(request->target, "/-/kv-range")) {
        char *prefix = query_value(request->target, "path-prefix");
        answer_json(
            caller, 200,
            json_pack("{s:o,s:b,s:I}", "items", list_items(prefix, 0), "more", 0, "at", revision));
        g_free(prefix);
    } else if (g_str_has_prefix(request->target, "/-/kv-txn")) {
        write_items(caller, request);
    } else {
        http_caller_answer(caller, 404, NULL, NULL, 0);
    }
}

static void on_store_gone(void *owner, http_caller_t *caller) {
    (void)owner;
    watch_t *watch = http_caller_data(caller);
    if (watch == NULL)
        return;
    watch->caller = NULL;
    finish_watch(watch);
}

/* Servers. */

static char *answer_fields(const http_request_t *request) {
    const char *id = http_headers_find(request->headers, "Attempt-Id");
    return g_strdup_printf("Attempt-Id: %s\r\nResponse-Signature: s.%s\r\n", id, id);
}

static bool wrong_instance(http_caller_t *caller, const http_request_t *request,
                           const char *instance) {
    const char *expected = http_headers_find(request->headers, "Expect-Instance");
    if (expected == NULL || strcmp(expected, instance) == 0)
        return false;
    http_caller_answer(caller, 421, "Not-Executed: 1\r\n", NULL, 0);
    return true;
}

typedef struct {
    http_caller_t *caller;
    uv_timer_t timer;
    char *fields;
    uint64_t hash;
    unsigned sent;
} stream_t;

static void free_stream(uv_handle_t *handle) {
    stream_t *stream = handle->data;
    g_free(stream->fields);
    g_free(stream);
}

static void on_stream_timer(uv_timer_t *timer) {
    stream_t *stream = timer->data;
    if (stream->sent == EVENTS) {
        http_caller_end(stream->caller);
        uv_close((uv_handle_t *)timer, free_stream);
        return;
    }
    stream->sent++;
    char *event = g_strdup_printf("id: %u\ndata: %016" G_GINT64_MODIFIER "x.%u\n\n", stream->sent,
                                  (guint64)stream->hash, stream->sent);
    if (stream->sent == 1)
        http_caller_begin(stream->caller, 200, stream->fields, event, strlen(event));
    else
        http_caller_piece(stream->caller, event, strlen(event));
    g_free(event);
    uv_timer_start(timer, on_stream_timer, EVENT_PAUSE_MS, 0);
}

static void on_engine_request(void *owner, http_caller_t *caller, const http_request_t *request) {
    (void)owner;
    if (wrong_instance(caller, request, "i-engine"))
        return;
    stream_t *stream = g_new0(stream_t, 1);
    stream->caller = caller;
    stream->fields = answer_fields(request);
    stream->hash = XXH64(request->body, request->body_length, 0);
    http_caller_set_data(caller, stream);
    uv_timer_init(loop, &stream->timer);
    stream->timer.data = stream;
    uv_timer_start(&stream->timer, on_stream_timer, EVENT_PAUSE_MS, 0);
}

static void on_engine_gone(void *owner, http_caller_t *caller) {
    (void)owner;
    stream_t *stream = http_caller_data(caller);
    if (stream != NULL)
        uv_close((uv_handle_t *)&stream->timer, free_stream);
}

static void on_service_request(void *owner, http_caller_t *caller, const http_request_t *request) {
    (void)owner;
    if (wrong_instance(caller, request, "i-service"))
        return;
    char *fields = answer_fields(request);
    http_caller_answer(caller, 200, fields, request->body, request->body_length);
    g_free(fields);
}

static void on_service_gone(void *owner, http_caller_t *caller) {
    (void)owner;
    (void)caller;
}

static const http_listener_handler_t store_handler = {on_store_request, on_store_gone, NULL, NULL};
static const http_listener_handler_t engine_handler = {on_engine_request, on_engine_gone, NULL, NULL};
static const http_listener_handler_t service_handler = {on_service_request, on_service_gone, NULL, NULL};
static const http_limits_t limits = {65536, 1 << 26, 10000, 60000};

static void put_json(const char *key, const char *text) {
    char *encoded = g_base64_encode((const guchar *)text, strlen(text));
    put_item(key, encoded);
    g_free(encoded);
}

static void put_server(const char *instance, const char *service, const char *port) {
    char *key = g_strconcat("servers/", instance, NULL);
    char *text = g_strdup_printf("{\"service\":\"%s\",\"address\":\"127.0.0.1:%s\",\"zone\":\"a\","
                                 "\"slots\":64,\"state\":\"ready\"}",
                                 service, port);
    put_json(key, text);
    g_free(text);
    g_free(key);
}

static void listen_at(const char *port, const http_listener_handler_t *handler) {
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)atoi(port)),
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    if (http_listener_open(loop, &address, &limits, handler, NULL) == NULL) {
        fprintf(stderr, "platform_standin: cannot listen on %s\n", port);
        exit(EXIT_FAILURE);
    }
}

int main(int argc, char **argv) {
    if (argc != 4)
        return EXIT_FAILURE;
    signal(SIGPIPE, SIG_IGN);
    loop = uv_default_loop();
    items = g_ptr_array_new();
    watches = g_ptr_array_new();
    listen_at(argv[1], &store_handler);
    listen_at(argv[2], &engine_handler);
    listen_at(argv[3], &service_handler);
    put_server("i-engine", "engine", argv[2]);
    put_server("i-service", "service", argv[3]);
    put_json("op/config",
             "{\"version\":1,\"routes\":[{\"name\":\"turns\",\"host\":\"h\",\"path-prefix\":"
             "\"/turns/\",\"kind\":\"streaming\",\"timeout-ms\":5000,\"service\":\"engine\","
             "\"attempts\":1,\"stateful\":true,\"retention-s\":600},{\"name\":\"plain\",\"host\":"
             "\"h\",\"path-prefix\":\"/plain/\",\"kind\":\"unsafe\",\"timeout-ms\":2000,"
             "\"service\":\"service\",\"attempts\":1}],\"services\":[{\"name\":\"engine\","
             "\"engine\":{\"slots\":64,\"tokens-per-event\":5}},{\"name\":\"service\"}],"
             "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":1048576,"
             "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}");
    return uv_run(loop, UV_RUN_DEFAULT);
}
