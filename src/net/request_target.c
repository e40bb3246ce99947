#include "net/request_target.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

static const char scheme[] = "http://";
static const char digits[] = "0123456789";
static const char address_characters[] = "0123456789abcdefABCDEF:.";
/** Of a registered name (RFC 3986, 3.2.2). */
static const char name_characters[] =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~%!$&'()*+,;=";

bool request_target_is_absolute(const char *target) {
    return strncasecmp(target, scheme, sizeof scheme - 1) == 0;
}

/** Length of the host that begins @p text; 0 if none does. */
static size_t host_length(const char *text) {
    if (*text != '[')
        return strspn(text, name_characters);
    size_t length = strspn(text + 1, address_characters);
    return length > 0 && text[1 + length] == ']' ? length + 2 : 0;
}

/** Length of the port that begins @p text, with its colon; the number may be missing. */
static size_t port_length(const char *text) {
    return *text == ':' ? 1 + strspn(text + 1, digits) : 0;
}

static bool is_port(const char *text, size_t length) {
    return length <= 1 || strtoull(text + 1, NULL, 10) <= UINT16_MAX;
}

bool request_target_split(const char *target, absolute_target_t *parts) {
    const char *authority = target + sizeof scheme - 1;
    size_t host = host_length(authority);
    size_t port = port_length(authority + host);
    const char *rest = authority + host + port;
    if (host == 0 || !is_port(authority + host, port))
        return false;
    bool authority_ends = *rest == '\0' || *rest == '/' || *rest == '?';
    bool has_fragment = strchr(rest, '#') != NULL;
    if (!authority_ends || has_fragment)
        return false;
    *parts = (absolute_target_t){authority, host + port, rest};
    return true;
}
