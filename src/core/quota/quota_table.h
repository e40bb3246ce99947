/**
 * @file quota_table.h
 * A member's shares of the tenants' limits: one token bucket each. The state is in memory only;
 * quota_split.h explains why it may be lost.
 *
 * Decision code: no I/O, clock or threads. Times are ms of the caller's steady clock.
 */
#ifndef RUDDERWAY_CORE_QUOTA_QUOTA_TABLE_H
#define RUDDERWAY_CORE_QUOTA_QUOTA_TABLE_H

#include "core/quota/quota_split.h"

#include <glib.h>
#include <stdbool.h>

typedef struct {
    quota_bounds_t bounds;
    GHashTable *buckets; /**< Tenant to its bucket. */
    uint64_t granted;    /**< Tokens, of all tenants. */
    uint64_t refused;    /**< Requests without a token. */
    uint64_t charged;    /**< Tokens used without a request. */
} quota_table_t;

typedef struct {
    bool granted;
    /** Granted: time until the token may be used. Refused: time until the next token. */
    uint32_t wait_ms;
} quota_answer_t;

/** A member's state of a tenant's limit. */
typedef struct {
    quota_limit_t limit;
    quota_share_t share;
    double tokens; /**< Negative: in debt. */
} quota_view_t;

void quota_table_init(quota_table_t *table, const quota_bounds_t *bounds);
void quota_table_clear(quota_table_t *table);
/**
 * Takes a token of @p tenant, whose limit is split among @p members, if one is available or will
 * be within @p timeout_ms. In the latter case the bucket goes into debt and the call waits.
 */
quota_answer_t quota_table_take(quota_table_t *table, const char *tenant,
                                const quota_limit_t *limit, unsigned members, uint32_t timeout_ms,
                                uint64_t now);
/** Reads the state of @p tenant's limit; false if there are too many tenants. */
bool quota_table_view(quota_table_t *table, const char *tenant, const quota_limit_t *limit,
                      unsigned members, uint64_t now, quota_view_t *view);
/** Takes a token that has already been used; the bucket may go into debt. */
void quota_table_charge(quota_table_t *table, const char *tenant, const quota_limit_t *limit,
                        unsigned members, uint64_t now);
/**
 * Discards all buckets; new ones are nearly empty. Required if this node may have been out of the
 * group for some time: another member may have granted the tokens of its share, and granting them
 * again would exceed the permitted tokens of a window, with full buckets by a tenth.
 */
void quota_table_restart(quota_table_t *table);
/** Removes tenants without a request since @p before. */
void quota_table_expire(quota_table_t *table, uint64_t before);

#endif
