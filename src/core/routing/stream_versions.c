#include "core/routing/stream_versions.h"

#include <string.h>
#include <xxhash.h>

typedef struct {
    uint64_t stream;
    software_version_t version;
    uint64_t recorded_at;
    GList link; /**< In stream_versions_t.order. */
} entry_t;

software_version_t software_version(const char *name) {
    if (name == NULL || *name == '\0')
        return VERSION_UNNAMED;
    uint64_t hash = XXH64(name, strlen(name), 0);
    return CLAMP(hash, VERSION_UNNAMED + 1, VERSION_UNKNOWN - 1);
}

uint64_t stream_version_key(const char *tenant, const char *attempt) {
    uint64_t seed = tenant == NULL ? 0 : XXH64(tenant, strlen(tenant), 0);
    return XXH64(attempt, strlen(attempt), seed);
}

void stream_versions_init(stream_versions_t *versions, unsigned max) {
    versions->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    versions->max = max;
    g_queue_init(&versions->order);
}

void stream_versions_clear(stream_versions_t *versions) {
    g_hash_table_destroy(versions->entries);
}

static void remove_oldest(stream_versions_t *versions) {
    entry_t *oldest = g_queue_peek_head(&versions->order);
    g_queue_unlink(&versions->order, &oldest->link);
    g_hash_table_remove(versions->entries, &oldest->stream);
}

static void limit_entries(stream_versions_t *versions, uint64_t now) {
    const entry_t *oldest;
    while ((oldest = g_queue_peek_head(&versions->order)) != NULL &&
           (now >= oldest->recorded_at + STREAM_VERSION_RETENTION_MS ||
            g_hash_table_size(versions->entries) >= versions->max))
        remove_oldest(versions);
}

void stream_versions_record(stream_versions_t *versions, uint64_t stream,
                            software_version_t version, uint64_t now) {
    entry_t *entry = g_hash_table_lookup(versions->entries, &stream);
    if (entry != NULL) {
        g_queue_unlink(&versions->order, &entry->link);
    } else {
        limit_entries(versions, now);
        entry = g_new0(entry_t, 1);
        entry->stream = stream;
        entry->link.data = entry;
        g_hash_table_insert(versions->entries, &entry->stream, entry);
    }
    entry->version = version;
    entry->recorded_at = now;
    g_queue_push_tail_link(&versions->order, &entry->link);
}

software_version_t stream_versions_find(const stream_versions_t *versions, uint64_t stream,
                                        uint64_t now) {
    const entry_t *entry = g_hash_table_lookup(versions->entries, &stream);
    bool kept = entry != NULL && now < entry->recorded_at + STREAM_VERSION_RETENTION_MS;
    return kept ? entry->version : VERSION_ANY;
}
