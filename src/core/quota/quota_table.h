/**
 * @file quota_table.h
 * A member's shares of the tenants' limits: one token bucket each. In memory only; see
 * quota_split.h for why nothing of it needs to be kept.
 *
 * Decision code: no I/O, clock or thread. Times are milliseconds of the caller's steady clock.
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
    uint64_t refused;    /**< Requests for one that found none. */
    uint64_t charged;    /**< Tokens that were used without asking. */
} quota_table_t;

typedef struct {
    bool granted;
    /** Granted: the token may be used after this. Not: until the next one is there. */
    uint32_t wait_ms;
} quota_answer_t;

/** What a member holds of a tenant's limit. */
typedef struct {
    quota_limit_t limit; /**< The latest known. */
    quota_share_t share;
    double tokens; /**< Negative: in debt. */
} quota_view_t;

void quota_table_init(quota_table_t *table, const quota_bounds_t *bounds);
void quota_table_clear(quota_table_t *table);
/**
 * Takes a token of @p tenant, whose limit is split among @p members, if there is one, or will be
 * within @p patience_ms: then the bucket is left in debt, and the call waits.
 */
quota_answer_t quota_table_take(quota_table_t *table, const char *tenant,
                                const quota_limit_t *limit, unsigned members, uint32_t patience_ms,
                                uint64_t now);
/** Fills in what is held of @p tenant's limit; false if there are too many tenants. */
bool quota_table_view(quota_table_t *table, const char *tenant, const quota_limit_t *limit,
                      unsigned members, uint64_t now, quota_view_t *view);
/** Takes a token that has been used already: the bucket may be left in debt. */
void quota_table_charge(quota_table_t *table, const char *tenant, const quota_limit_t *limit,
                        unsigned members, uint64_t now);
/**
 * Forgets what it held: what it may grant has been another's meanwhile, and it begins nearly empty.
 * A member that kept its full buckets while another had its place granted a tenth too much.
 */
void quota_table_restart(quota_table_t *table);
/** Forgets tenants of which nothing was heard since @p before. */
void quota_table_expire(quota_table_t *table, uint64_t before);

#endif
