/**
 * @file json.h
 * Strict reading of JSON objects on jansson: every field is checked for type and range, unknown
 * fields are refused, and errors name the field. Thread safety: a reader belongs to one thread.
 */
#ifndef RUDDERWAY_COMMON_JSON_H
#define RUDDERWAY_COMMON_JSON_H

#include "common/error.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

enum { JSON_DEPTH_MAXIMUM = 32, JSON_FIELDS_MAXIMUM = 32 };

/** Parses @p length bytes; the depth is limited. NULL and @p error on malformed input. */
json_t *json_parse(const char *text, size_t length, GError **error);

/** Serialises compactly; the caller frees with g_free. */
char *json_to_text(const json_t *value);
GBytes *json_to_bytes(const json_t *value);

/** Reads the fields of one object; see json_reader_finish. */
typedef struct {
    const json_t *object;
    const char *path; /**< Prefix of keys in errors, for example "limits."; "" at the top. */
    const char *known[JSON_FIELDS_MAXIMUM];
    size_t known_count;
    GError **error;
    bool failed;
} json_reader_t;

/** Starts reading @p value, which must be an object. */
void json_reader_start(json_reader_t *reader, const json_t *value, const char *path,
                       GError **error);
/** A string of @p minimum to @p maximum bytes; NULL if optional and absent, or on error. */
const char *json_reader_text(json_reader_t *reader, const char *key, bool required, size_t minimum,
                             size_t maximum);
/** An integer in the range; @p fallback if absent, unless it is below @p minimum: then required. */
int64_t json_reader_integer(json_reader_t *reader, const char *key, int64_t minimum,
                            int64_t maximum, int64_t fallback);
bool json_reader_bool(json_reader_t *reader, const char *key, bool fallback);
/** A value of @p type; NULL if optional and absent, or on error. */
const json_t *json_reader_value(json_reader_t *reader, const char *key, json_type type,
                                bool required);
/** Refuses the object for @p key. */
void json_reader_fail(json_reader_t *reader, const char *key, const char *reason);
/** Refuses unknown fields; false if anything was wrong. */
bool json_reader_finish(json_reader_t *reader);

#endif
