#include "cluster/directory_snapshot.h"

#include "common/codec.h"

enum { ITEMS_MAXIMUM = 1000000 };

void directory_snapshot_init(directory_snapshot_t *snapshot) {
    snapshot->revision = 0;
    snapshot->items =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
}

void directory_snapshot_clear(directory_snapshot_t *snapshot) {
    g_hash_table_destroy(snapshot->items);
}

void directory_snapshot_note(directory_snapshot_t *snapshot, const key_value_item_t *item) {
    snapshot->revision = MAX(snapshot->revision, item->revision);
    if (item->value == NULL)
        g_hash_table_remove(snapshot->items, item->key);
    else
        g_hash_table_replace(snapshot->items, g_strdup(item->key), g_bytes_ref(item->value));
}

static gboolean is_gone(gpointer key, gpointer value, gpointer keys) {
    (void)value;
    return !g_hash_table_contains(keys, key);
}

void directory_snapshot_retain(directory_snapshot_t *snapshot, GHashTable *keys) {
    g_hash_table_foreach_remove(snapshot->items, is_gone, keys);
}

GBytes *directory_snapshot_encode(const directory_snapshot_t *snapshot) {
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
    return codec_finish(&codec);
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
        if (key != NULL && value != NULL && !codec.failed) {
            g_hash_table_replace(snapshot->items, key, value);
            continue;
        }
        g_free(key);
        if (value != NULL)
            g_bytes_unref(value);
    }
    return codec_complete(&codec);
}
