#include "gateway/chain_cache.h"

void chain_cache_init(chain_cache_t *cache, uint64_t limit) {
    cache->entries = g_hash_table_new(g_str_hash, g_str_equal);
    cache->recent = g_queue_new();
    cache->bytes = 0;
    cache->limit = limit;
}

static void evict_oldest(chain_cache_t *cache) {
    turn_t *turn = g_queue_pop_head(cache->recent);
    g_hash_table_remove(cache->entries, turn->id);
    cache->bytes -= turn_memory_bytes(turn);
    turn_clear(turn);
    g_free(turn);
}

void chain_cache_clear(chain_cache_t *cache) {
    while (!g_queue_is_empty(cache->recent))
        evict_oldest(cache);
    g_hash_table_destroy(cache->entries);
    g_queue_free(cache->recent);
}

void chain_cache_add(chain_cache_t *cache, const turn_t *turn) {
    if (g_hash_table_contains(cache->entries, turn->id))
        return;
    turn_t *copy = g_new0(turn_t, 1);
    turn_copy(copy, turn);
    g_queue_push_tail(cache->recent, copy);
    g_hash_table_insert(cache->entries, copy->id, g_queue_peek_tail_link(cache->recent));
    cache->bytes += turn_memory_bytes(copy);
    while (cache->bytes > cache->limit && g_queue_get_length(cache->recent) > 1)
        evict_oldest(cache);
}

const turn_t *chain_cache_find(chain_cache_t *cache, const char *id) {
    GList *link = g_hash_table_lookup(cache->entries, id);
    if (link == NULL)
        return NULL;
    g_queue_unlink(cache->recent, link);
    g_queue_push_tail_link(cache->recent, link);
    return link->data;
}

static void append_bytes(GString *prompt, GBytes *bytes) {
    gsize length;
    const char *data = g_bytes_get_data(bytes, &length);
    g_string_append_len(prompt, data, (gssize)length);
}

const char *chain_cache_prompt(chain_cache_t *cache, const char *previous, GString *prompt) {
    GPtrArray *chain = g_ptr_array_new();
    const char *missing = NULL;
    for (const char *id = previous; *id != '\0';) {
        const turn_t *turn = chain_cache_find(cache, id);
        if (turn == NULL) {
            missing = id;
            break;
        }
        g_ptr_array_add(chain, (gpointer)turn);
        id = turn->parent;
    }
    for (guint i = chain->len; missing == NULL && i > 0; i--) {
        const turn_t *turn = g_ptr_array_index(chain, i - 1);
        append_bytes(prompt, turn->input);
        append_bytes(prompt, turn->output);
    }
    g_ptr_array_free(chain, TRUE);
    return missing;
}
