/**
 * @file key_value.c
 * Stand-in for the platform's key-value service: versions, compare-and-swap, leases, watches.
 *
 *   GET    /v1/kv?prefix=P&after=V&wait_ms=T   entries changed after version V; waits up to T
 *   PUT    /v1/kv/KEY  {"value": s, "expected_version": n, "lease": id}  0: must not exist
 *   POST   /v1/leases  {"ttl_ms": n}            a lease id; POST /v1/leases/ID renews
 *   DELETE /v1/kv/KEY
 */
#include "standin/standin.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

enum { WATCH_POLL_MS = 5, WAIT_MAXIMUM_MS = 60000 };

typedef struct {
    char *value;
    int64_t version;
    int64_t lease;
} entry_t;

typedef struct {
    const standin_options_t *options;
    pthread_mutex_t lock;
    GTree *entries;     /**< key → entry_t. */
    GHashTable *leases; /**< id → end in ms. */
    int64_t version;
    int64_t next_lease;
} key_value_t;

typedef struct {
    key_value_t *store;
    http_request_t *request;
    char *prefix;
    int64_t after;
    int64_t until_ms;
    json_t *found;
} watch_t;

static void entry_free(gpointer data) {
    entry_t *entry = data;
    g_free(entry->value);
    g_free(entry);
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer context) {
    (void)context;
    return strcmp(a, b);
}

static bool lease_is_valid(const key_value_t *store, int64_t lease) {
    if (lease == 0)
        return true;
    const int64_t *until = g_hash_table_lookup(store->leases, &lease);
    return until != NULL && *until > standin_now_ms();
}

static gboolean collect(gpointer key, gpointer value, gpointer data) {
    watch_t *watch = data;
    const entry_t *entry = value;
    if (g_str_has_prefix(key, watch->prefix) && entry->version > watch->after &&
        lease_is_valid(watch->store, entry->lease))
        json_array_append_new(watch->found,
                              json_pack("{s:s, s:s, s:I}", "key", (const char *)key, "value",
                                        entry->value, "version", (json_int_t)entry->version));
    return FALSE;
}

static void look(void *data) {
    watch_t *watch = data;
    key_value_t *store = watch->store;
    pthread_mutex_lock(&store->lock);
    watch->found = json_array();
    g_tree_foreach(store->entries, collect, watch);
    int64_t version = store->version;
    pthread_mutex_unlock(&store->lock);
    if (json_array_size(watch->found) == 0 && standin_now_ms() < watch->until_ms) {
        json_decref(watch->found);
        standin_after(WATCH_POLL_MS, look, watch);
        return;
    }
    standin_respond(
        watch->request, 200,
        json_pack("{s:o, s:I}", "entries", watch->found, "version", (json_int_t)version));
    g_free(watch->prefix);
    g_free(watch);
}

static int64_t query_integer(const http_request_t *request, const char *name) {
    const char *text = http_request_query(request, name);
    return text != NULL ? strtoll(text, NULL, 10) : 0;
}

static void start_watch(key_value_t *store, http_request_t *request) {
    const char *prefix = http_request_query(request, "prefix");
    watch_t *watch = g_new0(watch_t, 1);
    watch->store = store;
    watch->request = request;
    watch->prefix = g_strdup(prefix != NULL ? prefix : "");
    watch->after = query_integer(request, "after");
    watch->until_ms = standin_now_ms() + MIN(query_integer(request, "wait_ms"), WAIT_MAXIMUM_MS);
    look(watch);
}

static json_t *parse_body(const http_request_t *request) {
    size_t length;
    const char *text = g_bytes_get_data(http_request_body(request), &length);
    return json_parse(text != NULL ? text : "", length, NULL);
}

/** Writes if the version matches; returns the HTTP status and the version in force. */
static unsigned write_entry(key_value_t *store, const char *key, const json_t *body,
                            int64_t *version) {
    const char *value = json_string_value(json_object_get(body, "value"));
    int64_t expected = json_integer_value(json_object_get(body, "expected_version"));
    int64_t lease = json_integer_value(json_object_get(body, "lease"));
    const entry_t *known = g_tree_lookup(store->entries, key);
    bool live = known != NULL && lease_is_valid(store, known->lease);
    *version = live ? known->version : 0;
    if (value == NULL || !lease_is_valid(store, lease))
        return 400;
    if (*version != expected)
        return 409;
    entry_t *entry = g_new0(entry_t, 1);
    entry->value = g_strdup(value);
    entry->version = ++store->version;
    entry->lease = lease;
    *version = entry->version;
    g_tree_replace(store->entries, g_strdup(key), entry);
    return 200;
}

static void put(key_value_t *store, http_request_t *request, const char *key, bool lose_answer) {
    json_t *body = parse_body(request);
    int64_t version;
    pthread_mutex_lock(&store->lock);
    unsigned status = write_entry(store, key, body, &version);
    pthread_mutex_unlock(&store->lock);
    standin_record(json_pack("{s:s, s:s, s:i, s:I}", "event", "put", "key", key, "status",
                             (int)status, "version", (json_int_t)version));
    json_decref(body);
    if (!lose_answer)
        standin_respond(request, status, json_pack("{s:I}", "version", (json_int_t)version));
}

static void grant_lease(key_value_t *store, http_request_t *request, int64_t id) {
    json_t *body = parse_body(request);
    int64_t *key = g_new(int64_t, 1);
    int64_t *until = g_new(int64_t, 1);
    pthread_mutex_lock(&store->lock);
    *key = id != 0 ? id : ++store->next_lease;
    *until = standin_now_ms() + json_integer_value(json_object_get(body, "ttl_ms"));
    bool lapsed = id != 0 && !lease_is_valid(store, id);
    json_t *answer = json_pack("{s:I}", "lease", (json_int_t)*key);
    if (lapsed) {
        g_free(key);
        g_free(until);
    } else {
        g_hash_table_replace(store->leases, key, until);
    }
    pthread_mutex_unlock(&store->lock);
    json_decref(body);
    standin_respond(request, lapsed ? 410 : 200, answer);
}

static void delete_entry(key_value_t *store, http_request_t *request, const char *key) {
    pthread_mutex_lock(&store->lock);
    g_tree_remove(store->entries, key);
    pthread_mutex_unlock(&store->lock);
    standin_respond(request, 200, json_object());
}

static void on_request(void *context, http_request_t *request) {
    static const char entry_prefix[] = "/v1/kv/";
    static const char lease_prefix[] = "/v1/leases";
    key_value_t *store = context;
    const char *path = http_request_path(request);
    const char *method = http_request_method(request);
    fault_t fault = standin_next_fault();
    if (fault == FAULT_OUTAGE || fault == FAULT_FAIL)
        standin_respond_text(request, 503, "outage");
    else if (fault == FAULT_HANG)
        return;
    else if (!standin_within_rate(store->options->rate))
        standin_respond_text(request, 429, "rate_limited");
    else if (g_str_has_prefix(path, lease_prefix))
        grant_lease(
            store, request,
            strlen(path) > sizeof lease_prefix ? strtoll(path + sizeof lease_prefix, NULL, 10) : 0);
    else if (strcmp(path, "/v1/kv") == 0)
        start_watch(store, request);
    else if (!g_str_has_prefix(path, entry_prefix))
        standin_respond_text(request, 404, "no_such_path");
    else if (strcmp(method, "PUT") == 0)
        put(store, request, path + strlen(entry_prefix), fault == FAULT_LOSE_ANSWER);
    else
        delete_entry(store, request, path + strlen(entry_prefix));
}

standin_role_t key_value_role_start(const standin_options_t *options) {
    key_value_t *store = g_new0(key_value_t, 1);
    store->options = options;
    pthread_mutex_init(&store->lock, NULL);
    store->entries = g_tree_new_full(compare_keys, NULL, g_free, entry_free);
    store->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    return (standin_role_t){.handler = on_request, .context = store};
}
