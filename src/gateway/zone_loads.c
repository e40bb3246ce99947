#include "gateway/zone_loads.h"

#include "cluster/remote_gateway.h"
#include "gateway/load_report.h"

#include <arpa/inet.h>
#include <string.h>

enum { REPORT_EXPIRY_MS = 1000 /**< The loads of an older report are ignored. */ };

/** A counterpart in another zone. */
typedef struct {
    struct sockaddr_in address;
    char *zone;
    uint64_t last_received_at; /**< 0: never. */
    GArray *entries;           /**< Of load_entry_t: the sums of its zone. */
} remote_gateway_t;

static void free_gateway(gpointer data) {
    remote_gateway_t *gateway = data;
    g_free(gateway->zone);
    if (gateway->entries != NULL)
        g_array_free(gateway->entries, TRUE);
    g_free(gateway);
}

void zone_loads_init(zone_loads_t *loads) {
    loads->gateways = g_ptr_array_new_with_free_func(free_gateway);
    loads->sums = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

static bool same_address(const struct sockaddr_in *a, const struct sockaddr_in *b) {
    return a->sin_port == b->sin_port && a->sin_addr.s_addr == b->sin_addr.s_addr;
}

static remote_gateway_t *find(const GPtrArray *gateways, const struct sockaddr_in *address) {
    for (guint i = 0; i < gateways->len; i++) {
        remote_gateway_t *gateway = g_ptr_array_index(gateways, i);
        if (same_address(&gateway->address, address))
            return gateway;
    }
    return NULL;
}

/** Orders gateways by zone, then by address. */
static gint compare(gconstpointer a, gconstpointer b) {
    const remote_gateway_t *first = *(const remote_gateway_t *const *)a;
    const remote_gateway_t *second = *(const remote_gateway_t *const *)b;
    int zones = strcmp(first->zone, second->zone);
    uint32_t first_host = ntohl(first->address.sin_addr.s_addr);
    uint32_t second_host = ntohl(second->address.sin_addr.s_addr);
    if (zones != 0)
        return zones;
    if (first_host != second_host)
        return first_host < second_host ? -1 : 1;
    return (int)ntohs(first->address.sin_port) - (int)ntohs(second->address.sin_port);
}

static GPtrArray *read_gateways(const GPtrArray *texts) {
    GPtrArray *gateways = g_ptr_array_new_with_free_func(free_gateway);
    for (guint i = 0; i < texts->len; i++) {
        remote_gateway_t *gateway = g_new0(remote_gateway_t, 1);
        if (remote_gateway_parse(g_ptr_array_index(texts, i), &gateway->zone, &gateway->address))
            g_ptr_array_add(gateways, gateway);
        else
            free_gateway(gateway);
    }
    g_ptr_array_sort(gateways, compare);
    return gateways;
}

/** Number of gateways of the same zone from @p begin on. */
static unsigned zone_length(const GPtrArray *gateways, unsigned begin) {
    const remote_gateway_t *first = g_ptr_array_index(gateways, begin);
    unsigned end = begin;
    while (end < gateways->len &&
           strcmp(((remote_gateway_t *)g_ptr_array_index(gateways, end))->zone, first->zone) == 0)
        end++;
    return end - begin;
}

/** Adds a counterpart; keeps its last report if it is already among those in @p before. */
static void add_counterpart(zone_loads_t *loads, const GPtrArray *before,
                            const remote_gateway_t *listed) {
    remote_gateway_t *gateway = g_new0(remote_gateway_t, 1);
    remote_gateway_t *previous = find(before, &listed->address);
    gateway->address = listed->address;
    gateway->zone = g_strdup(listed->zone);
    gateway->entries = g_array_new(FALSE, TRUE, sizeof(load_entry_t));
    if (previous != NULL) {
        gateway->last_received_at = previous->last_received_at;
        g_array_append_vals(gateway->entries, previous->entries->data, previous->entries->len);
    }
    g_ptr_array_add(loads->gateways, gateway);
}

void zone_loads_set_gateways(zone_loads_t *loads, const GPtrArray *texts, unsigned index,
                             unsigned count) {
    GPtrArray *before = loads->gateways;
    GPtrArray *listed = read_gateways(texts);
    loads->gateways = g_ptr_array_new_with_free_func(free_gateway);
    for (unsigned begin = 0; begin < listed->len;) {
        unsigned length = zone_length(listed, begin);
        for (unsigned i = 0; i < length; i++)
            if (index % length == i || i % count == index)
                add_counterpart(loads, before, g_ptr_array_index(listed, begin + i));
        begin += length;
    }
    g_ptr_array_free(listed, TRUE);
    g_ptr_array_free(before, TRUE);
}

bool zone_loads_receive(zone_loads_t *loads, const struct sockaddr_in *from, const void *data,
                        size_t length, uint64_t now) {
    remote_gateway_t *gateway = find(loads->gateways, from);
    watch_report_t watch = {0};
    if (gateway == NULL)
        return false;
    if (!load_report_decode(&watch, gateway->entries, data, length))
        g_array_set_size(gateway->entries, 0);
    gateway->last_received_at = now;
    return true;
}

GArray *zone_loads_entries(const zone_loads_t *loads, const struct sockaddr_in *from) {
    const remote_gateway_t *gateway = find(loads->gateways, from);
    return gateway == NULL ? NULL : gateway->entries;
}

/** True if no other gateway of its zone reported later; ties go to the first one. */
static bool is_latest(const zone_loads_t *loads, guint index) {
    const remote_gateway_t *gateway = g_ptr_array_index(loads->gateways, index);
    for (guint i = 0; i < loads->gateways->len; i++) {
        const remote_gateway_t *other = g_ptr_array_index(loads->gateways, i);
        bool later = other->last_received_at > gateway->last_received_at ||
                     (other->last_received_at == gateway->last_received_at && i < index);
        if (later && strcmp(other->zone, gateway->zone) == 0)
            return false;
    }
    return true;
}

void zone_loads_add_remote(const zone_loads_t *loads, backends_t *backends, uint64_t now) {
    for (guint i = 0; i < loads->gateways->len; i++) {
        const remote_gateway_t *gateway = g_ptr_array_index(loads->gateways, i);
        if (gateway->last_received_at == 0 || now > gateway->last_received_at + REPORT_EXPIRY_MS ||
            !is_latest(loads, i))
            continue;
        for (guint j = 0; j < gateway->entries->len; j++) {
            const load_entry_t *entry = &g_array_index(gateway->entries, load_entry_t, j);
            backend_t *backend = backends_find_hash(backends, entry->backend);
            if (backend == NULL || backend->incarnation_since > gateway->last_received_at)
                continue;
            backend->peer_calls += entry->under_way;
            g_hash_table_add(backends->reported_by_peers, backend);
        }
    }
}

void zone_loads_add_local(zone_loads_t *loads, backends_t *backends, const GArray *entries) {
    for (guint i = 0; i < entries->len && loads->gateways->len > 0; i++) {
        const load_entry_t *entry = &g_array_index(entries, load_entry_t, i);
        const backend_t *backend = backends_find_hash(backends, entry->backend);
        if (backend == NULL || backend->record->born == 0 || entry->under_way == 0)
            continue;
        load_entry_t *sum = g_hash_table_lookup(loads->sums, &entry->backend);
        if (sum == NULL) {
            sum = g_new0(load_entry_t, 1);
            sum->backend = entry->backend;
            g_hash_table_insert(loads->sums, &sum->backend, sum);
        }
        sum->under_way += entry->under_way;
    }
}

static GBytes *encode_sums(const zone_loads_t *loads, const GArray *crashes) {
    GArray *entries = g_array_new(FALSE, FALSE, sizeof(load_entry_t));
    g_array_append_vals(entries, crashes->data, crashes->len);
    GHashTableIter iterator;
    gpointer sum;
    g_hash_table_iter_init(&iterator, loads->sums);
    while (g_hash_table_iter_next(&iterator, NULL, &sum) && entries->len < LOAD_ENTRIES_MAX)
        g_array_append_vals(entries, sum, 1);
    const watch_report_t watch = {.answer_age = UINT32_MAX};
    GBytes *bytes = load_report_encode(&watch, entries);
    g_array_free(entries, TRUE);
    return bytes;
}

size_t zone_loads_send(zone_loads_t *loads, const GArray *crashes, uv_udp_t *socket) {
    size_t sent = 0;
    bool any = g_hash_table_size(loads->sums) > 0 || crashes->len > 0;
    if (any || loads->sent_any) {
        GBytes *bytes = encode_sums(loads, crashes);
        gsize length;
        const void *data = g_bytes_get_data(bytes, &length);
        uv_buf_t buffer = uv_buf_init((char *)data, (unsigned)length);
        for (guint i = 0; i < loads->gateways->len; i++) {
            const remote_gateway_t *gateway = g_ptr_array_index(loads->gateways, i);
            uv_udp_try_send(socket, &buffer, 1, (const struct sockaddr *)&gateway->address);
        }
        g_bytes_unref(bytes);
        sent = length;
    }
    loads->sent_any = any;
    g_hash_table_remove_all(loads->sums);
    return sent;
}
