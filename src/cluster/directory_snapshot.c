#include "cluster/directory_snapshot.h"

#include "common/codec.h"

#include <string.h>
#include <xxhash.h>

enum { ITEMS_MAXIMUM = 1000000 };

void directory_snapshot_init(directory_snapshot_t *snapshot) {
    *snapshot = (directory_snapshot_t){0};
    snapshot->items =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
}

static void drop_encoded(directory_snapshot_t *snapshot) {
    if (snapshot->encoded != NULL)
        g_bytes_unref(snapshot->encoded);
    snapshot->encoded = NULL;
}

void directory_snapshot_clear(directory_snapshot_t *snapshot) {
    drop_encoded(snapshot);
    g_hash_table_destroy(snapshot->items);
}

/** What an item adds to the digest; sums do not depend on the order. */
static uint64_t item_digest(const char *key, GBytes *value) {
    gsize length;
    const void *data = g_bytes_get_data(value, &length);
    return XXH64(data, length, XXH64(key, strlen(key), 0));
}

bool directory_snapshot_note(directory_snapshot_t *snapshot, const key_value_item_t *item) {
    GBytes *old = g_hash_table_lookup(snapshot->items, item->key);
    bool same =
        old == NULL || item->value == NULL ? old == item->value : g_bytes_equal(old, item->value);
    if (item->revision > snapshot->revision) {
        snapshot->revision = item->revision;
        drop_encoded(snapshot);
    }
    if (same)
        return false;
    drop_encoded(snapshot);
    if (old != NULL)
        snapshot->digest -= item_digest(item->key, old);
    if (item->value == NULL) {
        g_hash_table_remove(snapshot->items, item->key);
        return true;
    }
    snapshot->digest += item_digest(item->key, item->value);
    g_hash_table_replace(snapshot->items, g_strdup(item->key), g_bytes_ref(item->value));
    return true;
}

GPtrArray *directory_snapshot_missing(const directory_snapshot_t *snapshot, GHashTable *keys) {
    GPtrArray *missing = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iterator;
    gpointer key;
    g_hash_table_iter_init(&iterator, snapshot->items);
    while (g_hash_table_iter_next(&iterator, &key, NULL))
        if (!g_hash_table_contains(keys, key))
            g_ptr_array_add(missing, g_strdup(key));
    return missing;
}

GBytes *directory_snapshot_encode(directory_snapshot_t *snapshot) {
    if (snapshot->encoded != NULL)
        return g_bytes_ref(snapshot->encoded);
    codec_t codec;
    codec_start_encoding(&codec);
    uint64_t revision = snapshot->revision;
    uint32_t count = g_hash_table_size(snapshot->items);
    codec_uint64(&codec, &revision);
    codec_count(&codec, &count, ITEMS_MAXIMUM);
    GHashTableIter iterator;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iterator, snapshot->items);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        char *text = key;
        GBytes *bytes = value;
        codec_text(&codec, &text);
        codec_bytes(&codec, &bytes);
    }
    snapshot->encoded = codec_finish(&codec);
    return g_bytes_ref(snapshot->encoded);
}

bool directory_snapshot_decode(directory_snapshot_t *snapshot, GBytes *bytes) {
    gsize length;
    const void *data = g_bytes_get_data(bytes, &length);
    codec_t codec;
    uint32_t count = 0;
    codec_start_decoding(&codec, data, length);
    codec_uint64(&codec, &snapshot->revision);
    codec_count(&codec, &count, ITEMS_MAXIMUM);
    for (uint32_t i = 0; i < count && !codec.failed; i++) {
        char *key = NULL;
        GBytes *value = NULL;
        codec_text(&codec, &key);
        codec_bytes(&codec, &value);
        if (key != NULL && value != NULL && !codec.failed)
            directory_snapshot_note(snapshot, &(key_value_item_t){.key = key, .value = value});
        g_free(key);
        if (value != NULL)
            g_bytes_unref(value);
    }
    return codec_complete(&codec);
}
