#include "cluster/directory_changes.h"

#include "common/codec.h"

enum { ITEMS_MAXIMUM = 1000000 };

static void clear_item(gpointer data) {
    key_value_item_t *item = data;
    g_free(item->key);
    if (item->value != NULL)
        g_bytes_unref(item->value);
}

GArray *directory_changes_new(void) {
    GArray *changes = g_array_new(FALSE, TRUE, sizeof(key_value_item_t));
    g_array_set_clear_func(changes, clear_item);
    return changes;
}

void directory_changes_add(GArray *changes, const key_value_item_t *item) {
    key_value_item_t copy = {
        .key = g_strdup(item->key),
        .value = item->value == NULL ? NULL : g_bytes_ref(item->value),
        .revision = item->revision,
    };
    g_array_append_val(changes, copy);
}

static void item_codec(codec_t *codec, key_value_item_t *item) {
    bool gone = item->value == NULL;
    codec_text(codec, &item->key);
    codec_uint64(codec, &item->revision);
    codec_bool(codec, &gone);
    if (!gone)
        codec_bytes(codec, &item->value);
}

GBytes *directory_changes_encode(const GArray *changes) {
    codec_t codec;
    uint32_t count = changes->len;
    codec_start_encoding(&codec);
    codec_count(&codec, &count, ITEMS_MAXIMUM);
    for (guint i = 0; i < changes->len; i++)
        item_codec(&codec, &g_array_index(changes, key_value_item_t, i));
    return codec_finish(&codec);
}

GArray *directory_changes_decode(GBytes *bytes) {
    gsize length;
    const void *data = g_bytes_get_data(bytes, &length);
    codec_t codec;
    uint32_t count = 0;
    GArray *changes = directory_changes_new();
    codec_start_decoding(&codec, data, length);
    codec_count(&codec, &count, ITEMS_MAXIMUM);
    for (uint32_t i = 0; i < count && !codec.failed; i++) {
        key_value_item_t item = {0};
        item_codec(&codec, &item);
        g_array_append_val(changes, item);
    }
    if (codec_complete(&codec))
        return changes;
    g_array_free(changes, TRUE);
    return NULL;
}
