#include "cluster/remote_gateway.h"

#include "cluster/service_directory.h"

#include <string.h>

enum { MARK = '@' };

char *remote_gateway_format(const char *zone, const char *address) {
    return g_strdup_printf("%c%s %s", MARK, zone, address);
}

bool remote_gateway_parse(const char *text, char **zone, struct sockaddr_in *address) {
    const char *space = text[0] == MARK ? strrchr(text, ' ') : NULL;
    if (space == NULL || !parse_socket_address(space + 1, address))
        return false;
    *zone = g_strndup(text + 1, (gsize)(space - text - 1));
    return true;
}
