#include "node/adapters/platform.h"

#include "common/json.h"

#include <string.h>

enum { TIMEOUT_MS = 2000, OK_STATUS = 200, TEXT_MAXIMUM = 64, PORT_MAXIMUM = 65535 };

static json_t *get_json(http_client_t *client, const char *address, uint32_t port, const char *path,
                        GError **error) {
    http_call_t call = {.address = address,
                        .port = port,
                        .method = "GET",
                        .path = path,
                        .timeout_ms = TIMEOUT_MS,
                        .repeatable = true};
    http_answer_t answer = {0};
    json_t *value = NULL;
    if (http_client_call(client, &call, &answer, error)) {
        size_t length;
        const char *text = g_bytes_get_data(answer.body, &length);
        if (answer.status == OK_STATUS)
            value = json_parse(text != NULL ? text : "", length, error);
        else
            error_set(error, RUDDERWAY_ERROR_BACKEND_FAILED, "status %u", answer.status);
    }
    http_answer_clear(&answer);
    return value;
}

/** NULL for machines of other kinds and for entries that make no sense. */
static backend_record_t *read_machine(const json_t *value) {
    json_reader_t reader;
    json_reader_start(&reader, value, "machines.", NULL);
    const char *kind = json_reader_text(&reader, "kind", true, 1, TEXT_MAXIMUM);
    const char *name = json_reader_text(&reader, "name", true, 1, TEXT_MAXIMUM);
    const char *offers = json_reader_text(&reader, "offers", true, 1, TEXT_MAXIMUM);
    const char *zone = json_reader_text(&reader, "zone", true, 1, TEXT_MAXIMUM);
    const char *address = json_reader_text(&reader, "address", true, 1, TEXT_MAXIMUM);
    int64_t port = json_reader_integer(&reader, "port", 1, PORT_MAXIMUM, 0);
    bool leaving = json_reader_bool(&reader, "leaving", false);
    if (reader.failed)
        return NULL;
    bool engine = strcmp(kind, "engine") == 0;
    if (!engine && strcmp(kind, "service") != 0)
        return NULL;
    const backend_record_t record = {.kind = engine ? BACKEND_ENGINE : BACKEND_SERVICE,
                                     .name = (char *)name,
                                     .offers = (char *)offers,
                                     .zone = (char *)zone,
                                     .address = (char *)address,
                                     .port = (uint32_t)port,
                                     .leaving = leaving};
    return backend_record_copy(&record);
}

GPtrArray *machine_list_read(http_client_t *client, const char *address, uint32_t port,
                             GError **error) {
    json_t *value = get_json(client, address, port, "/v1/machines", error);
    if (value == NULL)
        return NULL;
    GPtrArray *records = g_ptr_array_new_with_free_func((GDestroyNotify)backend_record_free);
    const json_t *machines = json_object_get(value, "machines");
    for (size_t i = 0; i < json_array_size(machines); i++) {
        backend_record_t *record = read_machine(json_array_get(machines, i));
        if (record != NULL)
            g_ptr_array_add(records, record);
    }
    json_decref(value);
    return records;
}

uint64_t weight_store_size(http_client_t *client, const char *address, uint32_t port,
                           const char *model, const char *version, GError **error) {
    char *path = g_strdup_printf("/v1/weights/%s/%s", model, version);
    json_t *value = get_json(client, address, port, path, error);
    uint64_t size = (uint64_t)json_integer_value(json_object_get(value, "bytes"));
    json_decref(value);
    g_free(path);
    return size;
}
