#include "common/answer_syntax.h"

#include <glib.h>
#include <string.h>
#include <strings.h>

enum { STATUS_DIGITS = 3, DELETE_CHARACTER = 0x7f, FIRST_PRINTABLE = 0x20 };

static bool is_token_character(char character) {
    return g_ascii_isalnum(character) ||
           (character != '\0' && strchr("!#$%&'*+-.^_`|~", character) != NULL);
}

bool answer_field_name_valid(const char *name, size_t length) {
    for (size_t i = 0; i < length; i++)
        if (!is_token_character(name[i]))
            return false;
    return length > 0;
}

/** True for text of a field's value or a reason: no control character but a tab. */
static bool is_text(const char *text, size_t length) {
    for (size_t i = 0; i < length; i++) {
        unsigned char character = (unsigned char)text[i];
        if ((character < FIRST_PRINTABLE && character != '\t') || character == DELETE_CHARACTER)
            return false;
    }
    return true;
}

bool answer_status_line_valid(const char *line, size_t length) {
    static const char version[] = "HTTP/1.";
    const size_t digits_at = sizeof version - 1 + 2; /* Behind the minor version and a space. */
    const size_t reason_at = digits_at + STATUS_DIGITS;
    if (length < reason_at || memcmp(line, version, sizeof version - 1) != 0 ||
        !g_ascii_isdigit(line[digits_at - 2]) || line[digits_at - 1] != ' ')
        return false;
    unsigned status = 0;
    for (size_t i = digits_at; i < reason_at; i++) {
        if (!g_ascii_isdigit(line[i]))
            return false;
        status = 10 * status + (unsigned)(line[i] - '0');
    }
    bool ends = length == reason_at || line[reason_at] == ' ';
    return ends && status >= ANSWER_STATUS_LEAST && status <= ANSWER_STATUS_MOST &&
           is_text(line + reason_at, length - reason_at);
}

bool answer_field_line_valid(const char *line, size_t length) {
    const char *colon = memchr(line, ':', length);
    if (colon == NULL)
        return false;
    size_t name_length = (size_t)(colon - line);
    return answer_field_name_valid(line, name_length) &&
           is_text(colon + 1, length - name_length - 1);
}

bool answer_coding_known(const char *value) {
    static const char coding[] = "chunked";
    value += strspn(value, " \t");
    if (strncasecmp(value, coding, sizeof coding - 1) != 0)
        return false;
    value += sizeof coding - 1;
    return value[strspn(value, " \t")] == '\0';
}
