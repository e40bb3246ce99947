#include "common/json.h"

#include <stdlib.h>
#include <string.h>

/** Refuses deep nesting before the parser recurses into it. */
static bool depth_is_allowed(const char *text, size_t length) {
    int depth = 0;
    bool in_string = false;
    for (size_t i = 0; i < length; i++) {
        char c = text[i];
        if (in_string) {
            if (c == '\\')
                i++;
            else if (c == '"')
                in_string = false;
            continue;
        }
        if (c == '"')
            in_string = true;
        else if (c == '{' || c == '[')
            depth++;
        else if (c == '}' || c == ']')
            depth--;
        if (depth > JSON_DEPTH_MAXIMUM)
            return false;
    }
    return true;
}

json_t *json_parse(const char *text, size_t length, GError **error) {
    if (!depth_is_allowed(text, length)) {
        error_set(error, RUDDERWAY_ERROR_BAD_JSON, "nesting deeper than %d", JSON_DEPTH_MAXIMUM);
        return NULL;
    }
    json_error_t problem;
    json_t *value = json_loadb(text, length, JSON_REJECT_DUPLICATES, &problem);
    if (value == NULL)
        error_set(error, RUDDERWAY_ERROR_BAD_JSON, "line %d, column %d: %s", problem.line,
                  problem.column, problem.text);
    return value;
}

char *json_to_text(const json_t *value) {
    char *text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
    char *copy = g_strdup(text);
    free(text);
    return copy;
}

GBytes *json_to_bytes(const json_t *value) {
    char *text = json_to_text(value);
    return g_bytes_new_take(text, strlen(text));
}

void json_reader_start(json_reader_t *reader, const json_t *value, const char *path,
                       GError **error) {
    *reader = (json_reader_t){.object = value, .path = path, .error = error};
    if (!json_is_object(value)) {
        reader->failed = true;
        error_set(error, RUDDERWAY_ERROR_BAD_FIELD, "%s is not an object",
                  *path != '\0' ? path : "the body");
    }
}

void json_reader_fail(json_reader_t *reader, const char *key, const char *reason) {
    if (!reader->failed)
        error_set(reader->error, RUDDERWAY_ERROR_BAD_FIELD, "%s%s: %s", reader->path, key, reason);
    reader->failed = true;
}

const json_t *json_reader_value(json_reader_t *reader, const char *key, json_type type,
                                bool required) {
    g_assert(reader->known_count < JSON_FIELDS_MAXIMUM);
    reader->known[reader->known_count++] = key;
    if (reader->failed)
        return NULL;
    const json_t *value = json_object_get(reader->object, key);
    bool boolean = type == JSON_TRUE && json_is_boolean(value);
    if (value == NULL && required)
        json_reader_fail(reader, key, "missing");
    if (value != NULL && json_typeof(value) != type && !boolean)
        json_reader_fail(reader, key, "wrong type");
    return reader->failed ? NULL : value;
}

const char *json_reader_text(json_reader_t *reader, const char *key, bool required, size_t minimum,
                             size_t maximum) {
    const json_t *value = json_reader_value(reader, key, JSON_STRING, required);
    if (value == NULL)
        return NULL;
    size_t length = json_string_length(value);
    if (length < minimum || length > maximum)
        json_reader_fail(reader, key, "length out of range");
    if (memchr(json_string_value(value), '\0', length) != NULL)
        json_reader_fail(reader, key, "holds a zero byte");
    return reader->failed ? NULL : json_string_value(value);
}

int64_t json_reader_integer(json_reader_t *reader, const char *key, int64_t minimum,
                            int64_t maximum, int64_t fallback) {
    const json_t *value = json_reader_value(reader, key, JSON_INTEGER, fallback < minimum);
    if (value == NULL)
        return fallback;
    int64_t number = json_integer_value(value);
    if (number < minimum || number > maximum) {
        json_reader_fail(reader, key, "out of range");
        return fallback;
    }
    return number;
}

bool json_reader_bool(json_reader_t *reader, const char *key, bool fallback) {
    const json_t *value = json_reader_value(reader, key, JSON_TRUE, false);
    return value != NULL ? json_is_true(value) : fallback;
}

bool json_reader_finish(json_reader_t *reader) {
    const char *key;
    json_t *value;
    json_object_foreach((json_t *)reader->object, key, value) {
        bool known = false;
        for (size_t i = 0; i < reader->known_count; i++)
            known = known || strcmp(reader->known[i], key) == 0;
        if (known || reader->failed)
            continue;
        error_set(reader->error, RUDDERWAY_ERROR_UNKNOWN_FIELD, "%s%s", reader->path, key);
        reader->failed = true;
    }
    return !reader->failed;
}
