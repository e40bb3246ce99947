#include "standin/block_cache.h"

#include "standin/standin.h"

enum { EVENTS_KEPT = 4096, HASH_TEXT = 17 };

typedef struct {
    uint64_t hash;
    uint64_t used;    /**< Stamp of the last use. */
    uint32_t holders; /**< Programs that hold it. */
    bool shared;      /**< Was held by two programs at once: a template's prefix. */
} block_t;

typedef struct {
    uint64_t sequence;
    int64_t at_ms;
    uint64_t hash;
    bool stored;
} cache_event_t;

struct block_cache {
    uint64_t capacity;
    uint64_t stamp;
    GHashTable *blocks;   /**< hash → block_t. */
    GHashTable *programs; /**< program → set of hashes. */
    GQueue *events;       /**< Of cache_event_t. */
    uint64_t sequence;
};

block_cache_t *block_cache_new(uint64_t capacity_blocks) {
    block_cache_t *cache = g_new0(block_cache_t, 1);
    cache->capacity = capacity_blocks;
    cache->blocks = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    cache->programs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_hash_table_unref);
    cache->events = g_queue_new();
    return cache;
}

static void note_event(block_cache_t *cache, uint64_t hash, bool stored) {
    cache_event_t *event = g_new0(cache_event_t, 1);
    event->sequence = ++cache->sequence;
    event->at_ms = standin_now_ms();
    event->hash = hash;
    event->stored = stored;
    g_queue_push_tail(cache->events, event);
    if (cache->events->length > EVENTS_KEPT)
        g_free(g_queue_pop_head(cache->events));
}

uint32_t block_cache_lookup(const block_cache_t *cache, const prefix_t *prefix) {
    uint32_t count = 0;
    while (count < prefix->count && g_hash_table_contains(cache->blocks, &prefix->hashes[count]))
        count++;
    return count;
}

static void remove_block(block_cache_t *cache, uint64_t hash) {
    note_event(cache, hash, false);
    g_hash_table_remove(cache->blocks, &hash);
}

static void evict_oldest(block_cache_t *cache) {
    const block_t *oldest = NULL;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, cache->blocks);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const block_t *block = value;
        if (oldest == NULL || block->used < oldest->used)
            oldest = block;
    }
    if (oldest == NULL)
        return;
    uint64_t hash = oldest->hash;
    g_hash_table_iter_init(&iterator, cache->programs);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        g_hash_table_remove(value, &hash);
    remove_block(cache, hash);
}

static block_t *get_block(block_cache_t *cache, uint64_t hash) {
    block_t *block = g_hash_table_lookup(cache->blocks, &hash);
    if (block != NULL)
        return block;
    while (g_hash_table_size(cache->blocks) >= cache->capacity)
        evict_oldest(cache);
    block = g_new0(block_t, 1);
    block->hash = hash;
    g_hash_table_insert(cache->blocks, &block->hash, block);
    note_event(cache, hash, true);
    return block;
}

void block_cache_store(block_cache_t *cache, const char *program, const prefix_t *prefix) {
    GHashTable *held = g_hash_table_lookup(cache->programs, program);
    if (held == NULL) {
        held = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
        g_hash_table_insert(cache->programs, g_strdup(program), held);
    }
    cache->stamp++;
    for (uint32_t i = 0; i < prefix->count; i++) {
        block_t *block = get_block(cache, prefix->hashes[i]);
        block->used = cache->stamp;
        if (g_hash_table_contains(held, &block->hash))
            continue;
        uint64_t *key = g_new(uint64_t, 1);
        *key = block->hash;
        g_hash_table_add(held, key);
        block->holders++;
        block->shared = block->shared || block->holders > 1;
    }
}

uint32_t block_cache_held(const block_cache_t *cache, const char *program) {
    GHashTable *held = g_hash_table_lookup(cache->programs, program);
    return held != NULL ? g_hash_table_size(held) : 0;
}

uint32_t block_cache_release(block_cache_t *cache, const char *program) {
    GHashTable *held = g_hash_table_lookup(cache->programs, program);
    if (held == NULL)
        return 0;
    uint32_t count = g_hash_table_size(held);
    GHashTableIter iterator;
    gpointer key;
    g_hash_table_iter_init(&iterator, held);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        block_t *block = g_hash_table_lookup(cache->blocks, key);
        if (block == NULL)
            continue;
        block->holders--;
        if (block->holders == 0 && !block->shared)
            remove_block(cache, block->hash);
    }
    g_hash_table_remove(cache->programs, program);
    return count;
}

json_t *block_cache_events(const block_cache_t *cache, uint64_t from, int64_t before_ms) {
    json_t *events = json_array();
    for (const GList *link = cache->events->head; link != NULL; link = link->next) {
        const cache_event_t *event = link->data;
        if (event->sequence <= from || event->at_ms > before_ms)
            continue;
        char hash[HASH_TEXT];
        g_snprintf(hash, sizeof hash, "%016" G_GINT64_MODIFIER "x", event->hash);
        json_array_append_new(events,
                              json_pack("{s:I, s:s, s:b}", "sequence", (json_int_t)event->sequence,
                                        "hash", hash, "stored", event->stored));
    }
    return events;
}

uint64_t block_cache_size(const block_cache_t *cache) {
    return g_hash_table_size(cache->blocks);
}

json_t *block_cache_holders(const block_cache_t *cache) {
    json_t *holders = json_object();
    GHashTableIter iterator;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iterator, cache->programs);
    while (g_hash_table_iter_next(&iterator, &key, &value))
        json_object_set_new(holders, key, json_integer(g_hash_table_size(value)));
    return holders;
}
