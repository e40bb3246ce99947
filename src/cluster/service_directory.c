#include "cluster/service_directory.h"

#include "common/codec.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum {
    ADDRESS_BYTES = 64,
    PORT_MAXIMUM = 65535,
    PORT_BITS = 16,
    LIVES = 65535, /**< That can be told apart. */
};

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
    configuration->by_prefix = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    configuration->prefix_lengths = g_array_new(FALSE, FALSE, sizeof(size_t));
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
    g_hash_table_destroy(configuration->by_prefix);
    g_array_free(configuration->prefix_lengths, TRUE);
    g_ptr_array_free(configuration->routes, TRUE);
    g_hash_table_destroy(configuration->services);
    tenancy_free(configuration->tenancy);
    g_free(configuration);
}

/* Routes are found by hash, one look-up for each length that a prefix has: with 1,672 routes 0.2 us
 * a call where comparing with each took 35 us (the benchmark test of the gateway's unit tests). */

/** What a route is found by; the host may end with a port, and its case does not count. */
static char *route_key(const char *host, const char *path, size_t length) {
    size_t host_length = strcspn(host, ":");
    char *key = g_malloc(host_length + 1 + length + 1);
    for (size_t i = 0; i < host_length; i++)
        key[i] = g_ascii_tolower(host[i]);
    key[host_length] = '\n';
    memcpy(key + host_length + 1, path, length);
    key[host_length + 1 + length] = '\0';
    return key;
}

static void add_length(GArray *lengths, size_t length) {
    guint place = 0;
    while (place < lengths->len && g_array_index(lengths, size_t, place) > length)
        place++;
    bool known = place < lengths->len && g_array_index(lengths, size_t, place) == length;
    if (!known)
        g_array_insert_val(lengths, place, length);
}

void directory_add_route(directory_configuration_t *configuration, route_t *route) {
    size_t length = strlen(route->path_prefix);
    char *key = route_key(route->host, route->path_prefix, length);
    g_ptr_array_add(configuration->routes, route);
    add_length(configuration->prefix_lengths, length);
    if (g_hash_table_contains(configuration->by_prefix, key))
        g_free(key);
    else
        g_hash_table_insert(configuration->by_prefix, key, route);
}

const route_t *directory_find_route(const directory_configuration_t *configuration,
                                    const char *host, const char *path) {
    size_t path_length = strlen(path);
    const route_t *route = NULL;
    for (guint i = 0; i < configuration->prefix_lengths->len && route == NULL; i++) {
        size_t length = g_array_index(configuration->prefix_lengths, size_t, i);
        if (length > path_length)
            continue;
        char *key = route_key(host, path, length);
        route = g_hash_table_lookup(configuration->by_prefix, key);
        g_free(key);
    }
    return route;
}

const service_t *directory_find_service(const directory_configuration_t *configuration,
                                        const char *name) {
    return g_hash_table_lookup(configuration->services, name);
}

const char *backend_entry_fault_name(backend_entry_fault_t fault) {
    static const char *const names[BACKEND_ENTRY_FAULT_COUNT] = {
        "none", "unreadable", "service", "address", "zone", "slots", "state", "other"};
    return names[fault];
}

void backend_record_free(backend_record_t *backend) {
    if (backend == NULL)
        return;
    g_free(backend->instance);
    g_free(backend->service);
    g_free(backend->zone);
    g_free(backend->version);
    g_free(backend);
}

uint16_t backend_record_life(const backend_record_t *backend) {
    if (backend->born <= LIVES)
        return (uint16_t)backend->born;
    return (uint16_t)(1 + backend->born % LIVES);
}

/**
 * The life stands above the port's bits, where earlier versions, which reject a record with a field
 * too many, don't look. The address stands last: all else is the same for many back ends
 * (directory_snapshot.c).
 */
static void record_codec(codec_t *codec, backend_record_t *backend) {
    uint32_t host = ntohl(backend->address.sin_addr.s_addr);
    uint32_t port = ntohs(backend->address.sin_port);
    port |= (uint32_t)backend_record_life(backend) << PORT_BITS;
    codec_text(codec, &backend->service);
    codec_text(codec, &backend->zone);
    codec_uint32(codec, &backend->slots);
    codec_bool(codec, &backend->leaving);
    codec_uint32(codec, &host);
    codec_uint32(codec, &port);
    backend->address.sin_family = AF_INET;
    backend->address.sin_addr.s_addr = htonl(host);
    backend->address.sin_port = htons((uint16_t)port);
    backend->born = port >> PORT_BITS;
}

GBytes *backend_record_encode(const backend_record_t *backend) {
    backend_record_t copy = *backend;
    codec_t codec;
    codec_start_encoding(&codec);
    record_codec(&codec, &copy);
    return codec_finish(&codec);
}

backend_record_t *backend_record_decode(const char *instance, const void *data, size_t length) {
    backend_record_t *backend = g_new0(backend_record_t, 1);
    codec_t codec;
    codec_start_decoding(&codec, data, length);
    record_codec(&codec, backend);
    backend->instance = g_strdup(instance);
    if (codec_complete(&codec))
        return backend;
    backend_record_free(backend);
    return NULL;
}

bool parse_socket_address(const char *text, struct sockaddr_in *address) {
    const char *colon = text == NULL ? NULL : strrchr(text, ':');
    char host[ADDRESS_BYTES];
    if (colon == NULL || (size_t)(colon - text) >= sizeof host)
        return false;
    g_strlcpy(host, text, (gsize)(colon - text) + 1);
    char *end;
    unsigned long port = strtoul(colon + 1, &end, 10);
    if (!g_ascii_isdigit(colon[1]) || *end != '\0' || port > PORT_MAXIMUM)
        return false;
    *address = (struct sockaddr_in){.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
    return inet_pton(AF_INET, host, &address->sin_addr) == 1;
}

void format_socket_address(const struct sockaddr_in *address, char text[SOCKET_ADDRESS_BYTES]) {
    char host[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &address->sin_addr, host, sizeof host);
    g_snprintf(text, SOCKET_ADDRESS_BYTES, "%s:%u", host, ntohs(address->sin_port));
}
