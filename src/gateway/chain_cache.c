#include "gateway/chain_cache.h"

typedef struct {
    turn_t turn;
    uint64_t kept_until; /**< See chain_cache_kept_until. */
} cached_turn_t;

void chain_cache_init(chain_cache_t *cache, uint64_t limit) {
    cache->entries = g_hash_table_new(g_str_hash, g_str_equal);
    cache->recent = g_queue_new();
    cache->bytes = 0;
    cache->limit = limit;
    cache->account = NULL;
}

/** What a cached turn holds besides input and output, which its owners count. */
static size_t entry_bytes(const turn_t *turn) {
    return turn_memory_bytes(turn) - g_bytes_get_size(turn->input) - g_bytes_get_size(turn->output);
}

static void evict_oldest(chain_cache_t *cache) {
    cached_turn_t *cached = g_queue_pop_head(cache->recent);
    g_hash_table_remove(cache->entries, cached->turn.id);
    cache->bytes -= turn_memory_bytes(&cached->turn);
    memory_account_release(cache->account, entry_bytes(&cached->turn));
    turn_clear(&cached->turn);
    g_free(cached);
}

void chain_cache_clear(chain_cache_t *cache) {
    while (!g_queue_is_empty(cache->recent))
        evict_oldest(cache);
    g_hash_table_destroy(cache->entries);
    g_queue_free(cache->recent);
}

static cached_turn_t *find_cached(const chain_cache_t *cache, const char *id) {
    const GList *link = g_hash_table_lookup(cache->entries, id);
    return link == NULL ? NULL : link->data;
}

uint64_t chain_cache_kept_until(const chain_cache_t *cache, const char *id) {
    const cached_turn_t *cached = find_cached(cache, id);
    return cached == NULL ? 0 : cached->kept_until;
}

void chain_cache_extend(chain_cache_t *cache, const char *id, uint64_t kept_until) {
    cached_turn_t *cached = find_cached(cache, id);
    /* Ancestors are kept at least as long as the turn. */
    while (cached != NULL && cached->kept_until < kept_until) {
        cached->kept_until = kept_until;
        cached = find_cached(cache, cached->turn.parent);
    }
}

void chain_cache_add(chain_cache_t *cache, const turn_t *turn, uint64_t kept_until) {
    if (find_cached(cache, turn->id) == NULL) {
        cached_turn_t *cached = g_new0(cached_turn_t, 1);
        turn_copy(&cached->turn, turn);
        g_queue_push_tail(cache->recent, cached);
        g_hash_table_insert(cache->entries, cached->turn.id, g_queue_peek_tail_link(cache->recent));
        cache->bytes += turn_memory_bytes(&cached->turn);
        memory_account_add(cache->account, entry_bytes(&cached->turn));
    }
    chain_cache_extend(cache, turn->id, kept_until);
    while (cache->bytes > cache->limit && g_queue_get_length(cache->recent) > 1)
        evict_oldest(cache);
}

const turn_t *chain_cache_find(chain_cache_t *cache, const char *id) {
    GList *link = g_hash_table_lookup(cache->entries, id);
    if (link == NULL)
        return NULL;
    g_queue_unlink(cache->recent, link);
    g_queue_push_tail_link(cache->recent, link);
    return &((const cached_turn_t *)link->data)->turn;
}

void chain_cache_shrink(chain_cache_t *cache, size_t bytes) {
    uint64_t target = cache->bytes > bytes ? cache->bytes - bytes : 0;
    while (cache->bytes > target)
        evict_oldest(cache);
}

const char *chain_cache_prompt(chain_cache_t *cache, const char *previous, GPtrArray *prompt) {
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
        g_ptr_array_add(prompt, g_bytes_ref(turn->input));
        g_ptr_array_add(prompt, g_bytes_ref(turn->output));
    }
    g_ptr_array_free(chain, TRUE);
    return missing;
}
