/**
 * @file http_headers.h
 * The fields of one HTTP message in the order in which they came, in one buffer.
 *
 * Thread safety: a list belongs to one thread.
 */
#ifndef RUDDERWAY_NET_HTTP_HEADERS_H
#define RUDDERWAY_NET_HTTP_HEADERS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

typedef struct {
    GString *text;    /**< Names and values, each ended by a NUL byte. */
    GArray *offsets;  /**< Pairs of guint32: where a name and its value begin in the text. */
    bool value_begun; /**< The last field has a value; the next name piece begins a new field. */
} http_headers_t;

void http_headers_init(http_headers_t *headers);
void http_headers_clear(http_headers_t *headers);
/** Empties the list and keeps its memory. */
void http_headers_reset(http_headers_t *headers);

/** Appends a piece of a field's name or value, as a parser delivers them. */
void http_headers_name_piece(http_headers_t *headers, const char *data, size_t length);
void http_headers_value_piece(http_headers_t *headers, const char *data, size_t length);
/** Ends a value in the making; call once the head is complete. */
void http_headers_finish(http_headers_t *headers);
/** Gives the field named @p name this value in place of all that it has; adds it if need be. */
void http_headers_replace(http_headers_t *headers, const char *name, const char *value);

size_t http_headers_count(const http_headers_t *headers);
const char *http_headers_name(const http_headers_t *headers, size_t index);
const char *http_headers_value(const http_headers_t *headers, size_t index);
/** The value of the first field named @p name, in any case; NULL if there is none. */
const char *http_headers_find(const http_headers_t *headers, const char *name);
/** True for fields that concern one connection only and are never passed on. */
bool http_header_is_hop_by_hop(const char *name);
/**
 * The further fields that Connection makes hop-by-hop (RFC 9110, 7.6.1); NULL if there are none.
 * Free with g_hash_table_unref(). Host is never among them: each request needs it.
 */
GHashTable *http_headers_connection_options(const http_headers_t *headers);
/** True if an intermediary passes the field on; @p options as returned for its message. */
bool http_header_is_end_to_end(const char *name, GHashTable *options);

#endif
