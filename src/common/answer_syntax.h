/**
 * @file answer_syntax.h
 * Syntax of the head of an HTTP/1 response (RFC 9112, 4, 5 and 6.1; RFC 9110, 5.1, 5.5 and 15),
 * where parsers accept more. A response that readers may interpret differently is refused.
 *
 * Thread safety: the functions are pure.
 */
#ifndef RUDDERWAY_COMMON_ANSWER_SYNTAX_H
#define RUDDERWAY_COMMON_ANSWER_SYNTAX_H

#include <stdbool.h>
#include <stddef.h>

/** Statuses that a response may have. */
enum { ANSWER_STATUS_LEAST = 100, ANSWER_STATUS_MOST = 599 };

/** True if the line, without its end, is a status line of HTTP/1 with such a status. */
bool answer_status_line_valid(const char *line, size_t length);
/**
 * True if the line, without its end, is a field: a token, a colon directly behind it, and a value
 * without control characters. Folded lines are refused.
 */
bool answer_field_line_valid(const char *line, size_t length);
/** True if all of it may be part of a field's name. */
bool answer_field_name_valid(const char *name, size_t length);
/** True if the value of a Transfer-Encoding names the one coding that is known, "chunked". */
bool answer_coding_known(const char *value);

#endif
