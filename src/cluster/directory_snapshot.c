#include "cluster/directory_snapshot.h"

#include "common/codec.h"

#include <string.h>
#include <xxhash.h>
#include <zlib.h>

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

/* Encoding. Keys come sorted, each as how many bytes it shares with the one before and the rest.
 * Values that differ in their ends only, as back ends of one service and zone do in their
 * addresses, share a head. The whole is compressed: 10,000 back ends with scattered names and
 * addresses took 174 kB with shared heads and prefixes and 112 kB compressed. Hundreds of gateways
 * that start get this from a few storage nodes, whose links bound how fast. */

enum {
    FORMAT = 2, /**< Of the encoding; others are not read. */
    COMPRESSION_LEVEL = 3,
    EXPANDED_MAXIMUM = 64 * 1024 * 1024, /**< Bytes; longer ones are not read. */
    LENGTH_BYTES = 4,
    TAIL_BYTES = 8, /**< A value's end, which is not shared: an address and its port. */
    HEADS_MAXIMUM = 4096,
};

/** The length of the plain bytes, big-endian, and what zlib makes of them. */
static GBytes *deflate_bytes(GBytes *plain) {
    gsize length;
    const Bytef *data = g_bytes_get_data(plain, &length);
    uLongf room = compressBound(length);
    GByteArray *output = g_byte_array_sized_new((guint)(LENGTH_BYTES + room));
    g_byte_array_set_size(output, (guint)(LENGTH_BYTES + room));
    guint32 prefix = GUINT32_TO_BE((guint32)length);
    memcpy(output->data, &prefix, LENGTH_BYTES);
    int status = compress2(output->data + LENGTH_BYTES, &room, data, length, COMPRESSION_LEVEL);
    g_assert(status == Z_OK); /* There is room, and the level is a valid one. */
    g_byte_array_set_size(output, (guint)(LENGTH_BYTES + room));
    return g_byte_array_free_to_bytes(output);
}

/** NULL if @p bytes were not made by deflate_bytes. */
static GBytes *inflate_bytes(GBytes *bytes) {
    gsize length;
    const Bytef *data = g_bytes_get_data(bytes, &length);
    guint32 prefix;
    if (length < LENGTH_BYTES)
        return NULL;
    memcpy(&prefix, data, LENGTH_BYTES);
    uLongf expanded = GUINT32_FROM_BE(prefix);
    if (expanded > EXPANDED_MAXIMUM)
        return NULL;
    guint8 *plain = g_malloc(expanded);
    int status = uncompress(plain, &expanded, data + LENGTH_BYTES, length - LENGTH_BYTES);
    if (status == Z_OK && expanded == GUINT32_FROM_BE(prefix))
        return g_bytes_new_take(plain, expanded);
    g_free(plain);
    return NULL;
}

static gint compare_keys(gconstpointer a, gconstpointer b) {
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static GPtrArray *sorted_keys(const directory_snapshot_t *snapshot) {
    GPtrArray *keys = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer key;
    g_hash_table_iter_init(&iterator, snapshot->items);
    while (g_hash_table_iter_next(&iterator, &key, NULL))
        g_ptr_array_add(keys, key);
    g_ptr_array_sort(keys, compare_keys);
    return keys;
}

static uint32_t shared_bytes(const char *a, const char *b) {
    uint32_t shared = 0;
    while (a[shared] != '\0' && a[shared] == b[shared])
        shared++;
    return shared;
}

static GBytes *head_of(GBytes *value) {
    gsize length = g_bytes_get_size(value);
    return g_bytes_new_from_bytes(value, 0, length > TAIL_BYTES ? length - TAIL_BYTES : 0);
}

static GBytes *tail_of(GBytes *value) {
    gsize length = g_bytes_get_size(value);
    gsize head = length > TAIL_BYTES ? length - TAIL_BYTES : 0;
    return g_bytes_new_from_bytes(value, head, length - head);
}

static void unref_bytes(gpointer bytes) {
    g_bytes_unref(bytes);
}

/** Writes the number of a value's head; a new one is written after its number. */
static void encode_head(codec_t *codec, GHashTable *heads, GBytes *value) {
    GBytes *head = head_of(value);
    const uint32_t *known = g_hash_table_lookup(heads, head);
    uint32_t number = known != NULL ? *known : g_hash_table_size(heads);
    codec_uint32(codec, &number);
    if (known == NULL)
        codec_bytes(codec, &head);
    if (known == NULL && number < HEADS_MAXIMUM) {
        uint32_t *kept = g_new(uint32_t, 1);
        *kept = number;
        g_hash_table_insert(heads, g_bytes_ref(head), kept);
    }
    g_bytes_unref(head);
}

static void encode_item(codec_t *codec, GHashTable *heads, const char *before, const char *key,
                        GBytes *value) {
    uint32_t shared = shared_bytes(before, key);
    char *rest = (char *)key + shared;
    GBytes *tail = tail_of(value);
    codec_uint32(codec, &shared);
    codec_text(codec, &rest);
    encode_head(codec, heads, value);
    codec_bytes(codec, &tail);
    g_bytes_unref(tail);
}

GBytes *directory_snapshot_encode(directory_snapshot_t *snapshot) {
    if (snapshot->encoded != NULL)
        return g_bytes_ref(snapshot->encoded);
    codec_t codec;
    codec_start_encoding(&codec);
    uint32_t format = FORMAT;
    uint64_t revision = snapshot->revision;
    GPtrArray *keys = sorted_keys(snapshot);
    uint32_t count = keys->len;
    codec_uint32(&codec, &format);
    codec_uint64(&codec, &revision);
    codec_count(&codec, &count, ITEMS_MAXIMUM);
    GHashTable *heads = g_hash_table_new_full(g_bytes_hash, g_bytes_equal, unref_bytes, g_free);
    const char *before = "";
    for (guint i = 0; i < keys->len; i++) {
        const char *key = g_ptr_array_index(keys, i);
        encode_item(&codec, heads, before, key, g_hash_table_lookup(snapshot->items, key));
        before = key;
    }
    g_hash_table_destroy(heads);
    g_ptr_array_free(keys, TRUE);
    GBytes *plain = codec_finish(&codec);
    snapshot->encoded = deflate_bytes(plain);
    g_bytes_unref(plain);
    return g_bytes_ref(snapshot->encoded);
}

/** The head that comes next; NULL if @p codec holds none. Belongs to @p heads. */
static GBytes *decode_head(codec_t *codec, GPtrArray *heads) {
    uint32_t number = 0;
    codec_uint32(codec, &number);
    if (codec->failed || number > MIN(heads->len, HEADS_MAXIMUM))
        return NULL;
    if (number < MIN(heads->len, HEADS_MAXIMUM))
        return g_ptr_array_index(heads, number);
    GBytes *head = NULL;
    codec_bytes(codec, &head);
    if (head != NULL)
        g_ptr_array_add(heads, head);
    return head;
}

/** Appends the bytes to the value in the making. */
static void append_bytes(GByteArray *value, GBytes *bytes) {
    gsize length;
    const void *data = g_bytes_get_data(bytes, &length);
    if (length > 0)
        g_byte_array_append(value, data, (guint)length);
}

static GBytes *join(GBytes *head, GBytes *tail) {
    GByteArray *value = g_byte_array_sized_new((guint)(g_bytes_get_size(head) + TAIL_BYTES));
    append_bytes(value, head);
    append_bytes(value, tail);
    return g_byte_array_free_to_bytes(value);
}

/** What the items of a snapshot are read into, one after the other. */
typedef struct {
    GPtrArray *heads; /**< Of GBytes. */
    GString *key;     /**< Of the latest item. */
    void (*take)(void *owner, const char *key, GBytes *value);
    void *owner;
} reading_t;

static bool read_item(codec_t *codec, reading_t *reading) {
    uint32_t shared = 0;
    char *rest = NULL;
    GBytes *tail = NULL;
    codec_uint32(codec, &shared);
    codec_text(codec, &rest);
    GBytes *head = decode_head(codec, reading->heads);
    codec_bytes(codec, &tail);
    bool valid = !codec->failed && rest != NULL && head != NULL && tail != NULL &&
                 shared <= reading->key->len;
    if (valid) {
        g_string_truncate(reading->key, shared);
        g_string_append(reading->key, rest);
        GBytes *value = join(head, tail);
        reading->take(reading->owner, reading->key->str, value);
        g_bytes_unref(value);
    }
    g_free(rest);
    if (tail != NULL)
        g_bytes_unref(tail);
    return valid;
}

static bool read_plain(GBytes *bytes, uint64_t *revision,
                       void (*take)(void *owner, const char *key, GBytes *value), void *owner) {
    gsize length;
    const void *data = g_bytes_get_data(bytes, &length);
    codec_t codec;
    uint32_t format = 0;
    uint32_t count = 0;
    codec_start_decoding(&codec, data, length);
    codec_uint32(&codec, &format);
    codec_uint64(&codec, revision);
    codec_count(&codec, &count, ITEMS_MAXIMUM);
    bool valid = !codec.failed && format == FORMAT;
    reading_t reading = {g_ptr_array_new_with_free_func(unref_bytes), g_string_new(NULL), take,
                         owner};
    for (uint32_t i = 0; i < count && valid; i++)
        valid = read_item(&codec, &reading);
    g_string_free(reading.key, TRUE);
    g_ptr_array_free(reading.heads, TRUE);
    return valid && codec_complete(&codec);
}

bool directory_snapshot_read(GBytes *bytes, uint64_t *revision,
                             void (*take)(void *owner, const char *key, GBytes *value),
                             void *owner) {
    GBytes *plain = inflate_bytes(bytes);
    bool valid = plain != NULL && read_plain(plain, revision, take, owner);
    if (plain != NULL)
        g_bytes_unref(plain);
    return valid;
}

static void note_item(void *owner, const char *key, GBytes *value) {
    directory_snapshot_note(owner, &(key_value_item_t){.key = (char *)key, .value = value});
}

bool directory_snapshot_decode(directory_snapshot_t *snapshot, GBytes *bytes) {
    uint64_t revision = 0;
    bool valid = directory_snapshot_read(bytes, &revision, note_item, snapshot);
    snapshot->revision = revision;
    return valid;
}
