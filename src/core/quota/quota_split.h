/**
 * @file quota_split.h
 * How a tenant's limit is held by a whole fleet: it is split among members of the store group, each
 * of which keeps a token bucket for its share and asks nobody. Whoever grants what to whom, the sum
 * can't exceed the limit; there is no owner to lose, and nothing to hand over.
 *
 * The operators allow a little more than the limit in any window (quota_bounds_t). Callers come in
 * crowds: of that allowance most goes to them, half as a higher rate and half as a larger burst.
 * The rest covers what the members can't know: a member that counts twice, because some gateways
 * can't reach it and go to one more in its place (only where fewer members than all have a share);
 * what a member that has lost its memory grants at once; and the time between a grant and its use.
 * A member that has lost its memory begins nearly empty, so that whatever it had granted, no window
 * exceeds what is allowed.
 *
 * Decision code: no I/O, clock or thread. Times are in ms.
 */
#ifndef RUDDERWAY_CORE_QUOTA_QUOTA_SPLIT_H
#define RUDDERWAY_CORE_QUOTA_QUOTA_SPLIT_H

#include <stdbool.h>
#include <stdint.h>

/** What a tenant may use. */
typedef struct {
    uint64_t version; /**< Of the configuration that says so: a later one holds. */
    uint32_t rate;    /**< Calls a second; 0: no limit. */
    uint32_t burst;   /**< Calls on top of it at one moment. */
} quota_limit_t;

/** What is judged: (rate x window + burst) x (1 + overage) + slack in any window. */
typedef struct {
    uint32_t window_ms;
    double overage;
    uint32_t slack; /**< Calls. */
} quota_bounds_t;

/** One member's part of a limit. */
typedef struct {
    double tokens_per_ms;
    double most;  /**< Tokens that it holds at most. */
    double first; /**< Tokens with which it begins, having forgotten what it granted. */
} quota_share_t;

/** Among how many of @p members the limit is split; all of them unless the limit is small. */
unsigned quota_split_count(const quota_bounds_t *bounds, const quota_limit_t *limit,
                           unsigned members);
quota_share_t quota_split_share(const quota_bounds_t *bounds, const quota_limit_t *limit,
                                unsigned members);
/**
 * How long before it is there a token may be promised: what has been promised is forgotten by a
 * member that restarts. One token may be, however rare they are.
 */
uint32_t quota_split_promise_ms(const quota_share_t *share);
/** How long a grant may be used, counted from when it was asked for. */
uint32_t quota_split_grant_ms(const quota_bounds_t *bounds);

#endif
