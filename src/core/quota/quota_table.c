#include "core/quota/quota_table.h"

#include <math.h>

/** Maximum number of tenants; calls of further tenants are refused. */
enum { TENANTS_MAX = 10000 };

typedef struct {
    quota_limit_t limit;
    double tokens;
    uint64_t filled_at;
} bucket_t;

void quota_table_init(quota_table_t *table, const quota_bounds_t *bounds) {
    *table = (quota_table_t){.bounds = *bounds};
    table->buckets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void quota_table_clear(quota_table_t *table) {
    g_hash_table_destroy(table->buckets);
}

static void refill(bucket_t *bucket, const quota_share_t *share, uint64_t now) {
    double added = (double)(now - bucket->filled_at) * share->tokens_per_ms;
    bucket->tokens = fmin(bucket->tokens + added, share->max_tokens);
    bucket->filled_at = now;
}

/** The tenant's bucket, refilled up to @p now; NULL if there are too many tenants. */
static bucket_t *obtain_bucket(quota_table_t *table, const char *tenant, const quota_limit_t *limit,
                               unsigned members, uint64_t now, quota_share_t *share) {
    bucket_t *bucket = g_hash_table_lookup(table->buckets, tenant);
    bool exists = bucket != NULL;
    if (!exists && g_hash_table_size(table->buckets) >= TENANTS_MAX)
        return NULL;
    if (!exists) {
        bucket = g_new0(bucket_t, 1);
        bucket->filled_at = now;
        g_hash_table_insert(table->buckets, g_strdup(tenant), bucket);
    }
    if (!exists || limit->version > bucket->limit.version)
        bucket->limit = *limit;
    *share = quota_split_share(&table->bounds, &bucket->limit, members);
    if (!exists)
        bucket->tokens = share->initial_tokens;
    refill(bucket, share, now);
    return bucket;
}

static uint32_t time_until(const bucket_t *bucket, const quota_share_t *share, double tokens) {
    if (bucket->tokens >= tokens)
        return 0;
    return (uint32_t)ceil((tokens - bucket->tokens) / share->tokens_per_ms);
}

quota_answer_t quota_table_take(quota_table_t *table, const char *tenant,
                                const quota_limit_t *limit, unsigned members, uint32_t timeout_ms,
                                uint64_t now) {
    quota_share_t share;
    bucket_t *bucket = obtain_bucket(table, tenant, limit, members, now, &share);
    quota_answer_t answer = {0};
    if (bucket != NULL)
        answer.wait_ms = time_until(bucket, &share, 1);
    if (bucket != NULL && answer.wait_ms <= MIN(timeout_ms, quota_split_max_advance_ms(&share))) {
        bucket->tokens -= 1;
        answer.granted = true;
    }
    table->granted += answer.granted;
    table->refused += !answer.granted;
    return answer;
}

bool quota_table_view(quota_table_t *table, const char *tenant, const quota_limit_t *limit,
                      unsigned members, uint64_t now, quota_view_t *view) {
    const bucket_t *bucket = obtain_bucket(table, tenant, limit, members, now, &view->share);
    if (bucket == NULL)
        return false;
    view->limit = bucket->limit;
    view->tokens = bucket->tokens;
    return true;
}

void quota_table_charge(quota_table_t *table, const char *tenant, const quota_limit_t *limit,
                        unsigned members, uint64_t now) {
    quota_share_t share;
    bucket_t *bucket = obtain_bucket(table, tenant, limit, members, now, &share);
    if (bucket == NULL)
        return;
    table->charged++;
    /* A larger debt would delay callers for too long. */
    if (bucket->tokens > -share.max_tokens)
        bucket->tokens -= 1;
}

void quota_table_restart(quota_table_t *table) {
    g_hash_table_remove_all(table->buckets);
}

void quota_table_expire(quota_table_t *table, uint64_t before) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, table->buckets);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        if (((const bucket_t *)value)->filled_at < before)
            g_hash_table_iter_remove(&iterator);
}
