#include "store/gateway_registry.h"

#include "cluster/remote_gateway.h"
#include "cluster/service_directory.h"

#include <string.h>
#include <xxhash.h>

enum { SOURCES_SEED = 1, PORT_BITS = 16, REMOTE_SEED = 2 };

typedef struct {
    char *address;
    char *zone;
    uint64_t hash;            /**< Of the address. */
    uint64_t order;           /**< Sort key: address and port as a number. */
    uint64_t notified_digest; /**< Digest of the last list it was notified of; 0: none. */
} gateway_entry_t;

typedef struct {
    gateway_peer_list_t list;
    GPtrArray *entries; /**< Of gateway_entry_t. */
} cell_t;

/** The gateways and cells of a zone, rebuilt for each notification. */
typedef struct {
    GPtrArray *entries; /**< Of gateway_entry_t. */
    cell_t *cells;
    unsigned cell_count;
} zone_t;

static void free_entry(gpointer data) {
    gateway_entry_t *entry = data;
    g_free(entry->address);
    g_free(entry->zone);
    g_free(entry);
}

void gateway_registry_init(gateway_registry_t *registry) {
    registry->gateways = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_entry);
    registry->addresses = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void gateway_registry_clear(gateway_registry_t *registry) {
    g_hash_table_destroy(registry->gateways);
    g_hash_table_destroy(registry->addresses);
}

unsigned gateway_registry_count(const gateway_registry_t *registry) {
    return g_hash_table_size(registry->gateways);
}

static void add_connection(gateway_registry_t *registry, const char *address) {
    unsigned *count = g_hash_table_lookup(registry->addresses, address);
    if (count == NULL) {
        count = g_new0(unsigned, 1);
        g_hash_table_insert(registry->addresses, g_strdup(address), count);
    }
    (*count)++;
}

static void remove_connection(gateway_registry_t *registry, const char *address) {
    unsigned *count = g_hash_table_lookup(registry->addresses, address);
    if (--*count == 0)
        g_hash_table_remove(registry->addresses, address);
}

static uint64_t address_order(const char *address) {
    struct sockaddr_in parsed;
    if (!parse_socket_address(address, &parsed))
        return 0;
    uint64_t host = ntohl(parsed.sin_addr.s_addr);
    return (host << PORT_BITS) | ntohs(parsed.sin_port);
}

void gateway_registry_add(gateway_registry_t *registry, const uint64_t *serial, const char *address,
                          const char *zone) {
    gateway_registry_remove(registry, serial);
    gateway_entry_t *entry = g_new0(gateway_entry_t, 1);
    entry->address = g_strdup(address);
    entry->zone = g_strdup(zone);
    entry->hash = XXH64(address, strlen(address), 0);
    entry->order = address_order(address);
    g_hash_table_insert(registry->gateways, (gpointer)serial, entry);
    add_connection(registry, address);
}

bool gateway_registry_remove(gateway_registry_t *registry, const uint64_t *serial) {
    const gateway_entry_t *entry = g_hash_table_lookup(registry->gateways, serial);
    if (entry == NULL)
        return false;
    remove_connection(registry, entry->address);
    return g_hash_table_remove(registry->gateways, serial);
}

bool gateway_registry_contains(const gateway_registry_t *registry, const char *address) {
    return g_hash_table_contains(registry->addresses, address);
}

unsigned gateway_registry_cell_count(unsigned gateways) {
    unsigned cells = 1;
    while (cells * GATEWAYS_CELL_MEAN_MAX < gateways)
        cells *= 2;
    return cells;
}

/* Zones and cells. */

static void free_zone(gpointer data) {
    zone_t *zone = data;
    for (unsigned i = 0; i < zone->cell_count; i++) {
        g_ptr_array_unref(zone->cells[i].entries);
        g_ptr_array_unref(zone->cells[i].list.known);
        g_ptr_array_unref(zone->cells[i].list.sources);
        g_ptr_array_unref(zone->cells[i].list.remote);
    }
    g_free(zone->cells);
    g_ptr_array_unref(zone->entries);
    g_free(zone);
}

static zone_t *obtain_zone(GHashTable *zones, const char *name) {
    zone_t *zone = g_hash_table_lookup(zones, name);
    if (zone != NULL)
        return zone;
    zone = g_new0(zone_t, 1);
    zone->entries = g_ptr_array_new();
    g_hash_table_insert(zones, (gpointer)name, zone);
    return zone;
}

static cell_t *cell_of(const zone_t *zone, const gateway_entry_t *entry) {
    return &zone->cells[entry->hash & (zone->cell_count - 1)];
}

static void build_cells(zone_t *zone, bool full_mesh) {
    zone->cell_count = full_mesh ? 1 : gateway_registry_cell_count(zone->entries->len);
    zone->cells = g_new0(cell_t, zone->cell_count);
    for (unsigned i = 0; i < zone->cell_count; i++) {
        zone->cells[i].entries = g_ptr_array_new();
        zone->cells[i].list.known = g_ptr_array_new();
        zone->cells[i].list.sources = g_ptr_array_new();
        zone->cells[i].list.remote = g_ptr_array_new_with_free_func(g_free);
    }
    for (guint i = 0; i < zone->entries->len; i++) {
        gateway_entry_t *entry = g_ptr_array_index(zone->entries, i);
        g_ptr_array_add(cell_of(zone, entry)->entries, entry);
    }
}

static gint compare_entries(gconstpointer a, gconstpointer b) {
    const gateway_entry_t *first = *(const gateway_entry_t *const *)a;
    const gateway_entry_t *second = *(const gateway_entry_t *const *)b;
    return first->order < second->order ? -1 : first->order > second->order;
}

/** Returns the first cell that has a gateway. */
static const cell_t *root_cell(const zone_t *zone) {
    unsigned root = 0;
    while (root + 1 < zone->cell_count && zone->cells[root].entries->len == 0)
        root++;
    return &zone->cells[root];
}

static void build_list(cell_t *cell, const cell_t *root) {
    gateway_peer_list_t *list = &cell->list;
    for (guint i = 0; i < cell->entries->len; i++) {
        const gateway_entry_t *entry = g_ptr_array_index(cell->entries, i);
        g_ptr_array_add(list->known, entry->address);
        list->digest += entry->hash;
    }
    for (guint i = 0; cell != root && i < MIN(root->entries->len, GATEWAYS_SOURCES_MAX); i++) {
        const gateway_entry_t *entry = g_ptr_array_index(root->entries, i);
        g_ptr_array_add(list->sources, entry->address);
        list->digest += XXH64(&entry->hash, sizeof entry->hash, SOURCES_SEED);
    }
}

static void build_lists(zone_t *zone) {
    const cell_t *root = root_cell(zone);
    g_ptr_array_sort(root->entries, compare_entries);
    for (unsigned i = 0; i < zone->cell_count; i++)
        build_list(&zone->cells[i], root);
}

/** Adds the gateways of all other zones with a single cell to a zone's only list. */
static void add_remote(GHashTable *zones, const zone_t *zone) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, zones);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const zone_t *other = value;
        if (other == zone || other->cell_count > 1)
            continue;
        for (guint i = 0; i < other->entries->len; i++) {
            const gateway_entry_t *entry = g_ptr_array_index(other->entries, i);
            gateway_peer_list_t *list = &zone->cells[0].list;
            g_ptr_array_add(list->remote, remote_gateway_format(entry->zone, entry->address));
            list->digest += XXH64(&entry->hash, sizeof entry->hash, REMOTE_SEED);
        }
    }
}

static void add_all_remote(GHashTable *zones) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, zones);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const zone_t *zone = value;
        if (zone->cell_count == 1)
            add_remote(zones, zone);
    }
}

static GHashTable *build_zones(const gateway_registry_t *registry) {
    bool full_mesh = gateway_registry_count(registry) <= GATEWAYS_FULL_MESH_MAX;
    GHashTable *zones = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_zone);
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, registry->gateways);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        gateway_entry_t *entry = value;
        g_ptr_array_add(obtain_zone(zones, full_mesh ? "" : entry->zone)->entries, entry);
    }
    g_hash_table_iter_init(&iterator, zones);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        build_cells(value, full_mesh);
        build_lists(value);
    }
    if (!full_mesh && gateway_registry_count(registry) <= GATEWAYS_REMOTE_MAX)
        add_all_remote(zones);
    return zones;
}

void gateway_registry_notify(gateway_registry_t *registry,
                             void (*notify)(void *user, const uint64_t *serial,
                                            const gateway_peer_list_t *list),
                             void *user) {
    bool full_mesh = gateway_registry_count(registry) <= GATEWAYS_FULL_MESH_MAX;
    GHashTable *zones = build_zones(registry);
    GHashTableIter iterator;
    gpointer serial;
    gpointer value;
    g_hash_table_iter_init(&iterator, registry->gateways);
    while (g_hash_table_iter_next(&iterator, &serial, &value)) {
        gateway_entry_t *entry = value;
        const zone_t *zone = g_hash_table_lookup(zones, full_mesh ? "" : entry->zone);
        const gateway_peer_list_t *list = &cell_of(zone, entry)->list;
        if (entry->notified_digest == list->digest)
            continue;
        entry->notified_digest = list->digest;
        notify(user, serial, list);
    }
    g_hash_table_destroy(zones);
}
