#include "node/adapters/key_value.h"

#include "common/json.h"

#include <string.h>

enum {
    WRITE_TIMEOUT_MS = 1500,
    WATCH_MARGIN_MS = 2000,
    OK_STATUS = 200,
    CONFLICT_STATUS = 409,
};

static json_t *request_json(http_client_t *client, const http_call_t *call, unsigned *status,
                            GError **error) {
    http_answer_t answer = {0};
    json_t *value = NULL;
    if (http_client_call(client, call, &answer, error)) {
        size_t length;
        const char *text = g_bytes_get_data(answer.body, &length);
        *status = answer.status;
        value = json_parse(text != NULL ? text : "", length, error);
    }
    http_answer_clear(&answer);
    return value;
}

static bool check(unsigned status, GError **error) {
    if (status == OK_STATUS)
        return true;
    if (status == CONFLICT_STATUS)
        error_set(error, RUDDERWAY_ERROR_KEY_VALUE_CONFLICT, "status %u", status);
    else
        error_set(error, RUDDERWAY_ERROR_KEY_VALUE_UNAVAILABLE, "status %u", status);
    return false;
}

bool key_value_swap(http_client_t *client, key_value_address_t service, const char *key,
                    const char *value, uint64_t expected_version, uint64_t lease, GError **error) {
    json_t *body = json_pack("{s:s, s:I, s:I}", "value", value, "expected_version",
                             (json_int_t)expected_version, "lease", (json_int_t)lease);
    char *text = json_to_text(body);
    char *path = g_strdup_printf("/v1/kv/%s", key);
    http_call_t call = {.address = service.address,
                        .port = service.port,
                        .method = "PUT",
                        .path = path,
                        .body = text,
                        .body_length = strlen(text),
                        .timeout_ms = WRITE_TIMEOUT_MS};
    unsigned status = 0;
    json_t *answer = request_json(client, &call, &status, error);
    bool written = answer != NULL && check(status, error);
    json_decref(answer);
    json_decref(body);
    g_free(path);
    g_free(text);
    return written;
}

json_t *key_value_watch(http_client_t *client, key_value_address_t service, const char *prefix,
                        uint64_t after, int64_t wait_ms, uint64_t *version, GError **error) {
    char *path =
        g_strdup_printf("/v1/kv?prefix=%s&after=%" G_GUINT64_FORMAT "&wait_ms=%" G_GINT64_FORMAT,
                        prefix, after, wait_ms);
    http_call_t call = {.address = service.address,
                        .port = service.port,
                        .method = "GET",
                        .path = path,
                        .timeout_ms = wait_ms + WATCH_MARGIN_MS,
                        .repeatable = true};
    unsigned status = 0;
    json_t *answer = request_json(client, &call, &status, error);
    json_t *entries = NULL;
    if (answer != NULL && check(status, error)) {
        entries = json_incref(json_object_get(answer, "entries"));
        *version = (uint64_t)json_integer_value(json_object_get(answer, "version"));
    }
    json_decref(answer);
    g_free(path);
    return entries;
}

uint64_t key_value_lease(http_client_t *client, key_value_address_t service, uint64_t lease,
                         int64_t ttl_ms, GError **error) {
    char *body = g_strdup_printf("{\"ttl_ms\":%" G_GINT64_FORMAT "}", ttl_ms);
    char *path = lease != 0 ? g_strdup_printf("/v1/leases/%" G_GUINT64_FORMAT, lease)
                            : g_strdup("/v1/leases");
    http_call_t call = {.address = service.address,
                        .port = service.port,
                        .method = "POST",
                        .path = path,
                        .body = body,
                        .body_length = strlen(body),
                        .timeout_ms = WRITE_TIMEOUT_MS};
    unsigned status = 0;
    json_t *answer = request_json(client, &call, &status, error);
    uint64_t granted = 0;
    if (answer != NULL && check(status, error))
        granted = (uint64_t)json_integer_value(json_object_get(answer, "lease"));
    json_decref(answer);
    g_free(path);
    g_free(body);
    return granted;
}
