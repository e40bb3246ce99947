#include "core/routing/routing.h"

#include <string.h>
#include <xxhash.h>

/* Weights of the cost estimate; they match the simulated engine of src/standin. */
enum {
    COST_PER_QUEUED_CALL_MS = 60,
    COST_PER_RUNNING_CALL_MS = 6,
    COST_PER_UNCACHED_BLOCK_MS = 8,
    COST_OTHER_ZONE_MS = 3,
    MAX_PREFIXES_PER_BACKEND = 16384,
};

const char *routing_policy_name(routing_policy_t policy) {
    static const char *const names[] = {"prefix_and_load", "least_load", "round_robin", "sticky"};
    return names[policy];
}

void prefix_compute(prefix_t *prefix, const char *text, size_t length) {
    uint64_t hash = 0;
    prefix->count = 0;
    for (size_t offset = 0; offset + PREFIX_BLOCK_BYTES <= length; offset += PREFIX_BLOCK_BYTES) {
        if (prefix->count == PREFIX_BLOCKS_MAXIMUM)
            return;
        hash = XXH3_64bits_withSeed(text + offset, PREFIX_BLOCK_BYTES, hash);
        prefix->hashes[prefix->count++] = hash;
    }
}

uint32_t prefix_cached_blocks(const backend_t *backend, const prefix_t *prefix) {
    uint32_t count = 0;
    while (count < prefix->count &&
           g_hash_table_contains(backend->prefixes, &prefix->hashes[count]))
        count++;
    return count;
}

static gboolean is_older_than(gpointer key, gpointer value, gpointer limit) {
    (void)key;
    return *(const uint64_t *)value < *(const uint64_t *)limit;
}

void prefix_record_sent(backend_t *backend, const prefix_t *prefix) {
    backend->prefix_stamp++;
    for (uint32_t i = 0; i < prefix->count; i++) {
        uint64_t *key = g_new(uint64_t, 1);
        uint64_t *stamp = g_new(uint64_t, 1);
        *key = prefix->hashes[i];
        *stamp = backend->prefix_stamp;
        g_hash_table_replace(backend->prefixes, key, stamp);
    }
    /* Evict the least recently sent blocks until the table is within its limit. */
    uint64_t limit = backend->prefix_stamp / 2;
    while (g_hash_table_size(backend->prefixes) > MAX_PREFIXES_PER_BACKEND &&
           limit < backend->prefix_stamp) {
        g_hash_table_foreach_remove(backend->prefixes, is_older_than, &limit);
        limit += (backend->prefix_stamp - limit + 1) / 2;
    }
}

static uint32_t estimated_load(const backend_t *backend) {
    uint32_t reported = backend->load.running + backend->load.waiting;
    return MAX(reported + backend->sent_since_report, backend->in_flight);
}

static int64_t estimated_cost(const backend_t *backend, const routing_request_t *request) {
    int64_t cost = (int64_t)backend->load.waiting * COST_PER_QUEUED_CALL_MS;
    cost += (int64_t)estimated_load(backend) * COST_PER_RUNNING_CALL_MS;
    if (strcmp(backend->record.zone, request->zone) != 0)
        cost += COST_OTHER_ZONE_MS;
    if (request->prefix != NULL) {
        uint32_t uncached = request->prefix->count - prefix_cached_blocks(backend, request->prefix);
        cost += (int64_t)uncached * COST_PER_UNCACHED_BLOCK_MS;
    }
    return cost;
}

static GPtrArray *list_candidates(const backend_set_t *set, const routing_request_t *request,
                                  int64_t now_ms) {
    const GPtrArray *all = backend_set_all(set);
    GPtrArray *candidates = g_ptr_array_new();
    for (guint i = 0; i < all->len; i++) {
        backend_t *backend = g_ptr_array_index(all, i);
        bool matches = backend->record.kind == request->kind &&
                       strcmp(backend->record.offers, request->offers) == 0;
        if (matches && backend_is_available(backend, now_ms))
            g_ptr_array_add(candidates, backend);
    }
    if (candidates->len > 1 && request->avoid != NULL)
        for (guint i = 0; i < candidates->len; i++) {
            const backend_t *backend = g_ptr_array_index(candidates, i);
            if (strcmp(backend->record.name, request->avoid) != 0)
                continue;
            g_ptr_array_remove_index(candidates, i);
            break;
        }
    return candidates;
}

static int64_t candidate_score(const routing_t *routing, const backend_t *backend,
                               const routing_request_t *request) {
    switch (routing->policy) {
    case POLICY_LEAST_LOAD:
        return (int64_t)backend->load.running + backend->load.waiting;
    case POLICY_STICKY: {
        const char *name = backend->record.name;
        const char *program = request->program != NULL ? request->program : "";
        uint64_t seed = XXH3_64bits(program, strlen(program));
        return (int64_t)(XXH3_64bits_withSeed(name, strlen(name), seed) >> 1);
    }
    case POLICY_PREFIX_AND_LOAD:
    case POLICY_ROUND_ROBIN:
    case POLICY_COUNT:
        break;
    }
    return estimated_cost(backend, request);
}

backend_t *routing_choose(routing_t *routing, const backend_set_t *set,
                          const routing_request_t *request, int64_t now_ms) {
    GPtrArray *candidates = list_candidates(set, request, now_ms);
    backend_t *best = NULL;
    int64_t best_score = 0;
    guint start = candidates->len > 0 ? (guint)(routing->round_robin % candidates->len) : 0;
    for (guint i = 0; i < candidates->len; i++) {
        backend_t *backend = g_ptr_array_index(candidates, (start + i) % candidates->len);
        if (routing->policy == POLICY_ROUND_ROBIN) {
            best = backend;
            break;
        }
        int64_t score = candidate_score(routing, backend, request);
        if (best != NULL && score >= best_score)
            continue;
        best = backend;
        best_score = score;
    }
    routing->round_robin++;
    g_ptr_array_unref(candidates);
    return best;
}
