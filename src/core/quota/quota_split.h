/**
 * @file quota_split.h
 * Splits a tenant's limit among members of the store group. Each member keeps a token bucket for
 * its share and grants tokens without coordination, so the sum cannot exceed the limit and there
 * is no owner to fail over.
 *
 * Operators allow slightly more than the limit in any window (quota_bounds_t). Most of this
 * allowance is given to callers, half as a higher rate and half as a larger burst. The rest covers:
 *
 * - a share that is granted twice, because gateways that cannot reach its member ask another one
 *   in its place (only if not all members have a share);
 * - the initial tokens of a restarted member; they are few, as its bucket starts nearly empty;
 * - the time between a grant and its use.
 *
 * Decision code: no I/O, clock or threads. Times are in ms.
 */
#ifndef RUDDERWAY_CORE_QUOTA_QUOTA_SPLIT_H
#define RUDDERWAY_CORE_QUOTA_QUOTA_SPLIT_H

#include <stdbool.h>
#include <stdint.h>

/** Limit of a tenant. */
typedef struct {
    uint64_t version; /**< Configuration version; the latest one applies. */
    uint32_t rate;    /**< Calls per second; 0: no limit. */
    uint32_t burst;   /**< Additional calls at one moment. */
} quota_limit_t;

/** Permitted tokens in any window: (rate x window + burst) x (1 + overage) + slack. */
typedef struct {
    uint32_t window_ms;
    double overage;
    uint32_t slack; /**< Calls. */
} quota_bounds_t;

/** A member's share of a limit. */
typedef struct {
    double tokens_per_ms;
    double max_tokens;     /**< Bucket size. */
    double initial_tokens; /**< Initial tokens, also after a restart. */
} quota_share_t;

/** Number of members among which the limit is split; all unless the limit is small. */
unsigned quota_split_count(const quota_bounds_t *bounds, const quota_limit_t *limit,
                           unsigned members);
quota_share_t quota_split_share(const quota_bounds_t *bounds, const quota_limit_t *limit,
                                unsigned members);
/**
 * How far in advance a token may be granted. Bounded because a member that restarts loses its
 * advance grants; at least one token may be granted in advance, whatever the rate.
 */
uint32_t quota_split_max_advance_ms(const quota_share_t *share);
/** Lifetime of a grant, from the time of the request. */
uint32_t quota_split_grant_lifetime_ms(const quota_bounds_t *bounds);

#endif
