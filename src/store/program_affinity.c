#include "store/program_affinity.h"

/** Once the table is full, new programs are not recorded. */
enum { AFFINITY_ENTRIES_MAX = 200000 };

typedef struct {
    uint64_t backend;
    uint64_t recorded_at;
} affinity_entry_t;

void program_affinity_init(program_affinity_t *affinity) {
    affinity->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void program_affinity_clear(program_affinity_t *affinity) {
    g_hash_table_destroy(affinity->entries);
}

void program_affinity_record(program_affinity_t *affinity, const char *program, uint64_t backend,
                             uint64_t now) {
    affinity_entry_t *entry = g_hash_table_lookup(affinity->entries, program);
    if (entry == NULL) {
        if (g_hash_table_size(affinity->entries) >= AFFINITY_ENTRIES_MAX)
            return;
        entry = g_new0(affinity_entry_t, 1);
        g_hash_table_insert(affinity->entries, g_strdup(program), entry);
    }
    entry->backend = backend;
    entry->recorded_at = now;
}

uint64_t program_affinity_find(const program_affinity_t *affinity, const char *program) {
    const affinity_entry_t *entry = g_hash_table_lookup(affinity->entries, program);
    return entry == NULL ? 0 : entry->backend;
}

void program_affinity_expire(program_affinity_t *affinity, uint64_t before) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, affinity->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        if (((const affinity_entry_t *)value)->recorded_at < before)
            g_hash_table_iter_remove(&iterator);
}
