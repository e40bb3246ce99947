#include "store/gateway_directory.h"

#include <string.h>

typedef struct {
    char *address;
    char *zone;
} gateway_entry_t;

static void free_entry(gpointer data) {
    gateway_entry_t *entry = data;
    g_free(entry->address);
    g_free(entry->zone);
    g_free(entry);
}

void gateway_directory_init(gateway_directory_t *directory) {
    directory->gateways = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_entry);
    directory->addresses = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void gateway_directory_clear(gateway_directory_t *directory) {
    g_hash_table_destroy(directory->gateways);
    g_hash_table_destroy(directory->addresses);
}

unsigned gateway_directory_count(const gateway_directory_t *directory) {
    return g_hash_table_size(directory->gateways);
}

static void add_connection(gateway_directory_t *directory, const char *address) {
    unsigned *count = g_hash_table_lookup(directory->addresses, address);
    if (count == NULL) {
        count = g_new0(unsigned, 1);
        g_hash_table_insert(directory->addresses, g_strdup(address), count);
    }
    (*count)++;
}

static void drop_connection(gateway_directory_t *directory, const char *address) {
    unsigned *count = g_hash_table_lookup(directory->addresses, address);
    if (--*count == 0)
        g_hash_table_remove(directory->addresses, address);
}

void gateway_directory_add(gateway_directory_t *directory, const uint64_t *serial,
                           const char *address, const char *zone) {
    gateway_directory_remove(directory, serial);
    gateway_entry_t *entry = g_new0(gateway_entry_t, 1);
    entry->address = g_strdup(address);
    entry->zone = g_strdup(zone);
    g_hash_table_insert(directory->gateways, (gpointer)serial, entry);
    add_connection(directory, address);
}

bool gateway_directory_remove(gateway_directory_t *directory, const uint64_t *serial) {
    const gateway_entry_t *entry = g_hash_table_lookup(directory->gateways, serial);
    if (entry == NULL)
        return false;
    drop_connection(directory, entry->address);
    return g_hash_table_remove(directory->gateways, serial);
}

bool gateway_directory_has(const gateway_directory_t *directory, const char *address) {
    return g_hash_table_contains(directory->addresses, address);
}

GPtrArray *gateway_directory_known(const gateway_directory_t *directory, const char *zone) {
    GPtrArray *addresses = g_ptr_array_new_with_free_func(g_free);
    bool all = gateway_directory_count(directory) <= GATEWAYS_FEW;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, directory->gateways);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const gateway_entry_t *entry = value;
        if (all || strcmp(entry->zone, zone) == 0)
            g_ptr_array_add(addresses, g_strdup(entry->address));
    }
    return addresses;
}

void gateway_directory_each(const gateway_directory_t *directory,
                            void (*visit)(void *user, const uint64_t *serial, const char *zone),
                            void *user) {
    GHashTableIter iterator;
    gpointer serial;
    gpointer value;
    g_hash_table_iter_init(&iterator, directory->gateways);
    while (g_hash_table_iter_next(&iterator, &serial, &value))
        visit(user, serial, ((const gateway_entry_t *)value)->zone);
}
