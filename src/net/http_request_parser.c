#include "net/http_caller.h"
#include "net/request_target.h"

#include <strings.h>

enum { FIELD_BYTES = 16 }; /**< Of a piece of a field besides its text, at most. */

/** Counts bytes that are about to be kept; false if they can't be, and the request is refused. */
static bool hold(http_caller_t *caller, size_t length) {
    caller->out_of_memory = !http_caller_hold(caller, length);
    return !caller->out_of_memory;
}

/** Result of a callback that has added to the head; the parser's error would not tell why. */
static int check_head_size(http_caller_t *caller) {
    size_t size = caller->target->len + caller->headers.text->len;
    caller->head_too_large = size > caller->listener->limits.header_bytes;
    return caller->head_too_large ? -1 : 0;
}

static int on_url(http_parser *parser, const char *data, size_t length) {
    http_caller_t *caller = parser->data;
    if (!hold(caller, length))
        return -1;
    g_string_append_len(caller->target, data, (gssize)length);
    return check_head_size(caller);
}

static int on_header_field(http_parser *parser, const char *data, size_t length) {
    http_caller_t *caller = parser->data;
    if (!hold(caller, length + FIELD_BYTES))
        return -1;
    http_headers_name_piece(&caller->headers, data, length);
    return check_head_size(caller);
}

static int on_header_value(http_parser *parser, const char *data, size_t length) {
    http_caller_t *caller = parser->data;
    if (!hold(caller, length))
        return -1;
    http_headers_value_piece(&caller->headers, data, length);
    return check_head_size(caller);
}

/**
 * Makes path and query of an absolute target the request's target, and its authority the Host,
 * whatever the caller has sent as Host (RFC 9112, 3.2.2). False if it is malformed.
 */
static bool resolve_target(http_caller_t *caller) {
    const http_parser *parser = &caller->parser;
    if (!request_target_is_absolute(caller->target->str))
        return true;
    absolute_target_t parts;
    if (!request_target_split(caller->target->str, &parts))
        return false;
    bool needs_host = parser->http_major == 1 && parser->http_minor >= 1;
    if (needs_host && http_headers_find(&caller->headers, "Host") == NULL)
        return false;
    char *authority = g_strndup(parts.authority, parts.authority_length);
    http_headers_replace(&caller->headers, "Host", authority);
    g_free(authority);
    g_string_erase(caller->target, 0, parts.path_and_query - caller->target->str);
    if (caller->target->str[0] != '/')
        g_string_prepend_c(caller->target, '/');
    return true;
}

static int on_headers_complete(http_parser *parser) {
    http_caller_t *caller = parser->data;
    const http_limits_t *limits = &caller->listener->limits;
    http_headers_finish(&caller->headers);
    if (parser->content_length != ULLONG_MAX && parser->content_length > limits->body_bytes) {
        caller->too_large = true;
        return -1;
    }
    if (parser->content_length != ULLONG_MAX &&
        !http_caller_may_hold(caller, parser->content_length)) {
        caller->out_of_memory = true;
        return -1;
    }
    if (!resolve_target(caller))
        return -1;
    const char *expect = http_headers_find(&caller->headers, "Expect");
    if (expect != NULL && strcasecmp(expect, "100-continue") == 0)
        http_caller_write(caller, g_string_new("HTTP/1.1 100 Continue\r\n\r\n"));
    return 0;
}

static int on_body(http_parser *parser, const char *data, size_t length) {
    http_caller_t *caller = parser->data;
    if (caller->body->len + length > caller->listener->limits.body_bytes) {
        caller->too_large = true;
        return -1;
    }
    caller->out_of_memory = !http_caller_hold_body(caller, length);
    if (caller->out_of_memory)
        return -1;
    g_string_append_len(caller->body, data, (gssize)length);
    return 0;
}

static int on_message_complete(http_parser *parser) {
    http_parser_pause(parser, 1);
    return 0;
}

const http_parser_settings http_request_parser_settings = {
    .on_url = on_url,
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};
