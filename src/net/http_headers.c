#include "net/http_headers.h"

#include <string.h>
#include <strings.h>

enum { OFFSETS_PER_FIELD = 2 };

void http_headers_init(http_headers_t *headers) {
    headers->text = g_string_sized_new(512);
    headers->offsets = g_array_sized_new(FALSE, FALSE, sizeof(guint32), 32);
    headers->value_begun = true;
}

void http_headers_clear(http_headers_t *headers) {
    g_string_free(headers->text, TRUE);
    g_array_free(headers->offsets, TRUE);
    headers->text = NULL;
    headers->offsets = NULL;
}

void http_headers_reset(http_headers_t *headers) {
    g_string_truncate(headers->text, 0);
    g_array_set_size(headers->offsets, 0);
    headers->value_begun = true;
}

static void begin_part(http_headers_t *headers) {
    if (headers->offsets->len > 0)
        g_string_append_c(headers->text, '\0');
    guint32 offset = (guint32)headers->text->len;
    g_array_append_val(headers->offsets, offset);
}

void http_headers_name_piece(http_headers_t *headers, const char *data, size_t length) {
    if (headers->value_begun) {
        begin_part(headers);
        headers->value_begun = false;
    }
    g_string_append_len(headers->text, data, (gssize)length);
}

void http_headers_value_piece(http_headers_t *headers, const char *data, size_t length) {
    if (!headers->value_begun) {
        begin_part(headers);
        headers->value_begun = true;
    }
    g_string_append_len(headers->text, data, (gssize)length);
}

void http_headers_finish(http_headers_t *headers) {
    if (!headers->value_begun)
        http_headers_value_piece(headers, "", 0);
}

void http_headers_replace(http_headers_t *headers, const char *name, const char *value) {
    for (size_t i = http_headers_count(headers); i > 0; i--)
        if (strcasecmp(http_headers_name(headers, i - 1), name) == 0)
            g_array_remove_range(headers->offsets, (guint)(OFFSETS_PER_FIELD * (i - 1)),
                                 OFFSETS_PER_FIELD);
    /* begin_part() ends the text before it only if the list holds a field. */
    if (headers->offsets->len == 0)
        g_string_truncate(headers->text, 0);
    http_headers_name_piece(headers, name, strlen(name));
    http_headers_value_piece(headers, value, strlen(value));
}

size_t http_headers_count(const http_headers_t *headers) {
    return headers->offsets->len / OFFSETS_PER_FIELD;
}

const char *http_headers_name(const http_headers_t *headers, size_t index) {
    return headers->text->str + g_array_index(headers->offsets, guint32, OFFSETS_PER_FIELD * index);
}

const char *http_headers_value(const http_headers_t *headers, size_t index) {
    return headers->text->str +
           g_array_index(headers->offsets, guint32, OFFSETS_PER_FIELD * index + 1);
}

const char *http_headers_find(const http_headers_t *headers, const char *name) {
    size_t count = http_headers_count(headers);
    for (size_t i = 0; i < count; i++)
        if (strcasecmp(http_headers_name(headers, i), name) == 0)
            return http_headers_value(headers, i);
    return NULL;
}

bool http_header_is_hop_by_hop(const char *name) {
    static const char *const names[] = {"connection",
                                        "keep-alive",
                                        "transfer-encoding",
                                        "content-length",
                                        "te",
                                        "trailer",
                                        "upgrade",
                                        "expect",
                                        "proxy-connection",
                                        "proxy-authenticate",
                                        "proxy-authorization"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
        if (strcasecmp(name, names[i]) == 0)
            return true;
    return false;
}

/** Adds the options of one value, in lower case; makes the set for the first. */
static void add_options(GHashTable **options, const char *value) {
    char **names = g_strsplit(value, ",", -1);
    for (char **name = names; *name != NULL; name++) {
        g_strstrip(*name);
        if (**name == '\0' || http_header_is_hop_by_hop(*name) || strcasecmp(*name, "host") == 0 ||
            strcasecmp(*name, "close") == 0)
            continue;
        if (*options == NULL)
            *options = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        g_hash_table_add(*options, g_ascii_strdown(*name, -1));
    }
    g_strfreev(names);
}

GHashTable *http_headers_connection_options(const http_headers_t *headers) {
    GHashTable *options = NULL;
    size_t count = http_headers_count(headers);
    for (size_t i = 0; i < count; i++)
        if (strcasecmp(http_headers_name(headers, i), "connection") == 0)
            add_options(&options, http_headers_value(headers, i));
    return options;
}

bool http_header_is_end_to_end(const char *name, GHashTable *options) {
    if (http_header_is_hop_by_hop(name))
        return false;
    if (options == NULL)
        return true;
    char *lower_case = g_ascii_strdown(name, -1);
    bool named = g_hash_table_contains(options, lower_case);
    g_free(lower_case);
    return !named;
}
