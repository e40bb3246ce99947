#include "cluster/service_directory.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum { ADDRESS_BYTES = 64, PORT_MAXIMUM = 65535 };

static void clear_part(gpointer data) {
    g_free(((route_part_t *)data)->service);
}

route_t *directory_route_new(void) {
    route_t *route = g_new0(route_t, 1);
    route->parts = g_array_new(FALSE, TRUE, sizeof(route_part_t));
    g_array_set_clear_func(route->parts, clear_part);
    return route;
}

static void free_route(gpointer data) {
    route_t *route = data;
    g_free(route->name);
    g_free(route->host);
    g_free(route->path_prefix);
    g_array_free(route->parts, TRUE);
    g_free(route);
}

static void free_service(gpointer data) {
    service_t *service = data;
    g_free(service->name);
    g_free(service);
}

directory_configuration_t *directory_configuration_new(void) {
    directory_configuration_t *configuration = g_new0(directory_configuration_t, 1);
    configuration->references = 1;
    configuration->routes = g_ptr_array_new_with_free_func(free_route);
    configuration->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_service);
    return configuration;
}

directory_configuration_t *directory_configuration_ref(directory_configuration_t *configuration) {
    g_atomic_int_inc(&configuration->references);
    return configuration;
}

void directory_configuration_unref(directory_configuration_t *configuration) {
    if (configuration == NULL || !g_atomic_int_dec_and_test(&configuration->references))
        return;
    g_ptr_array_free(configuration->routes, TRUE);
    g_hash_table_destroy(configuration->services);
    tenancy_free(configuration->tenancy);
    g_free(configuration);
}

/** True if @p host, which may end with a port, is the host of @p route. */
static bool host_matches(const route_t *route, const char *host) {
    size_t length = strcspn(host, ":");
    return strlen(route->host) == length && strncasecmp(route->host, host, length) == 0;
}

const route_t *directory_find_route(const directory_configuration_t *configuration,
                                    const char *host, const char *path) {
    const route_t *best = NULL;
    size_t best_length = 0;
    for (guint i = 0; i < configuration->routes->len; i++) {
        const route_t *route = g_ptr_array_index(configuration->routes, i);
        size_t length = strlen(route->path_prefix);
        if (best != NULL && length <= best_length)
            continue;
        if (!host_matches(route, host) || strncmp(path, route->path_prefix, length) != 0)
            continue;
        best = route;
        best_length = length;
    }
    return best;
}

const service_t *directory_find_service(const directory_configuration_t *configuration,
                                        const char *name) {
    return g_hash_table_lookup(configuration->services, name);
}

void backend_record_free(backend_record_t *backend) {
    if (backend == NULL)
        return;
    g_free(backend->instance);
    g_free(backend->service);
    g_free(backend->zone);
    g_free(backend);
}

bool parse_socket_address(const char *text, struct sockaddr_in *address) {
    const char *colon = text == NULL ? NULL : strrchr(text, ':');
    char host[ADDRESS_BYTES];
    if (colon == NULL || (size_t)(colon - text) >= sizeof host)
        return false;
    g_strlcpy(host, text, (gsize)(colon - text) + 1);
    char *end;
    unsigned long port = strtoul(colon + 1, &end, 10);
    if (*end != '\0' || end == colon + 1 || port > PORT_MAXIMUM)
        return false;
    *address = (struct sockaddr_in){.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
    return inet_pton(AF_INET, host, &address->sin_addr) == 1;
}
