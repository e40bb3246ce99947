/*
 * What the directory code of a gateway calls of the rest of the gateway, of storage nodes and of
 * the adapter, in short: storage nodes that are always reached and keep what gateways offer, back
 * ends that are counted at most, a configuration that is its version's number.
 */
#include "gateway/backend_speeds.h"
#include "directorysim/world.h"

#include <stdlib.h>

enum { ASK_LATENCY_MS = 20, PULL_LATENCY_MS = 10 };

/* gateway/store_client.h */

struct store_client {
    world_gateway_t *gateway;
    uint64_t offered; /**< Revision of the directory that was pulled last. */
};

store_client_t *stub_store_client_new(world_gateway_t *gateway) {
    store_client_t *client = g_new0(store_client_t, 1);
    client->gateway = gateway;
    return client;
}

typedef struct {
    world_gateway_t *gateway;
    GBytes *bytes;
} kept_answer_t;

static void kept_directory_arrives(void *data) {
    kept_answer_t answer = *(kept_answer_t *)data;
    g_free(data);
    if (answer.gateway->gateway != NULL)
        gateway_apply_stored_directory(answer.gateway->gateway, answer.bytes);
    g_bytes_unref(answer.bytes);
}

bool store_client_request_directory(store_client_t *client) {
    world_gateway_t *gateway = client->gateway;
    if (gateway->listed_as == 0)
        return false;
    GBytes *bytes = world_kept_directory();
    if (bytes != NULL) {
        kept_answer_t *answer = g_new0(kept_answer_t, 1);
        *answer = (kept_answer_t){gateway, g_bytes_ref(bytes)};
        virtual_after(ASK_LATENCY_MS, gateway->process, kept_directory_arrives, answer);
    }
    return true;
}

static void pull_directory(void *data) {
    store_client_t *client = data;
    gateway_t *gateway = client->gateway->gateway;
    if (gateway == NULL || gateway->stores != client)
        return;
    uint64_t revision = 0;
    GBytes *bytes = gateway_encode_directory(gateway, &revision);
    if (bytes != NULL)
        world_keep_directory(bytes);
}

void store_client_announce_directory(const store_client_t *client, uint64_t revision) {
    (void)revision;
    virtual_after(PULL_LATENCY_MS, client->gateway->process, pull_directory, (void *)client);
}

unsigned store_client_links_opened(const store_client_t *client) {
    return client->gateway->listed_as > 0;
}

bool store_client_connected(const store_client_t *client) {
    return client->gateway->listed_as > 0;
}

bool store_client_connected_directly(const store_client_t *client) {
    return client->gateway->listed_as > 0;
}

void store_client_suspect_isolation(store_client_t *client) {
    (void)client;
}

uint64_t store_client_generation(const store_client_t *client) {
    (void)client;
    return 1;
}

void store_client_set_group(store_client_t *client, const store_group_t *group) {
    (void)client;
    (void)group;
}

void store_client_apply_group_message(store_client_t *client, const message_t *message) {
    (void)client;
    (void)message;
}

bool store_client_direct_address(const store_client_t *client, const char *name,
                                 struct sockaddr_in *address) {
    (void)client;
    (void)name;
    (void)address;
    return false;
}

/* gateway/backends.h */

/** One that every gateway has a call at, if there are calls. */
static backend_t some_backend = {.under_way = 1};

void backends_init(backends_t *backends, uv_loop_t *loop, const char *zone, const char *gateway) {
    (void)zone;
    (void)gateway;
    backends->loop = loop;
    backends->to_report = g_hash_table_new(NULL, NULL);
    backends->reported_by_peers = g_hash_table_new(NULL, NULL);
    if (world.load != LOAD_IDLE)
        g_hash_table_add(backends->to_report, &some_backend);
}

void backends_update(backends_t *backends, backend_record_t *record) {
    (void)backends;
    backend_record_free(record);
}

void backends_remove(backends_t *backends, const char *instance) {
    (void)backends;
    (void)instance;
}

bool backends_expire_entry(backends_t *backends, const char *instance, uint64_t until) {
    (void)backends;
    (void)instance;
    (void)until;
    return true;
}

unsigned backends_remove_expired(backends_t *backends) {
    (void)backends;
    return 0;
}

backend_t *backends_find_hash(const backends_t *backends, uint64_t id_hash) {
    (void)backends;
    (void)id_hash;
    return NULL;
}

unsigned backends_count(const backends_t *backends) {
    (void)backends;
    return 0;
}

bool backends_half_full(const backends_t *backends) {
    (void)backends;
    return world.load == LOAD_HEAVY;
}

void backend_speeds_append_report(backends_t *backends, GArray *entries, unsigned gateways) {
    (void)backends;
    (void)entries;
    (void)gateways;
}

bool backend_speeds_record_report(backends_t *backends, const load_entry_t *entry,
                                  uint64_t teller) {
    (void)backends;
    (void)entry;
    (void)teller;
    return false;
}

uint32_t backend_ejection_report_ms(backend_t *backend) {
    (void)backend;
    return 0;
}

/* gateway/gateway.h, net/http_listener.h */

void gateway_check_ready(gateway_t *gateway) {
    (void)gateway;
}

void http_listener_set_limits(http_listener_t *listener, const http_limits_t *limits) {
    (void)listener;
    (void)limits;
}

/* What the adapter implements of cluster/service_directory.h. */

GBytes *directory_redact_configuration(GBytes *value) {
    return g_bytes_ref(value);
}

directory_configuration_t *directory_parse_configuration(const char *data, size_t length) {
    char *text = g_strndup(data, length);
    char *end;
    uint64_t version = strtoull(text, &end, 10);
    bool valid = end != text && *end == '\0';
    g_free(text);
    if (!valid)
        return NULL;
    directory_configuration_t *configuration = directory_configuration_new();
    configuration->version = version;
    return configuration;
}

backend_record_t *directory_read_backend(const char *instance, const char *data, size_t length,
                                         backend_entry_fault_t *fault) {
    *fault = BACKEND_ENTRY_SOUND;
    backend_record_t *record = g_new0(backend_record_t, 1);
    record->instance = g_strdup(instance);
    record->service = g_strndup(data, length);
    record->zone = g_strdup("zone-0");
    return record;
}

GBytes *directory_write_backend(const backend_record_t *backend) {
    return backend_record_encode(backend);
}

/* libuv */

int uv_is_active(const uv_handle_t *handle) {
    return virtual_timer_runs((const uv_timer_t *)handle);
}

void uv_timer_set_repeat(uv_timer_t *handle, uint64_t repeat) {
    handle->repeat = repeat;
}
