#include "core/quota/quota_split.h"

#include <math.h>

enum {
    MS_PER_S = 1000,
    PROMISE_LEAST_MS = 300, /**< A member takes longer to come back without its memory. */
    PROMISE_MOST_MS = 2000, /**< Beyond this a caller is better told to come back. */
};

/* Parts of the allowance; see the header. */
static const double EXTRA_PART = 0.25;
static const double FORGOTTEN_PART = 0.05;
/** Of the overage alone: the time between a grant and its use, as a part of the window. */
static const double USE_PART = 0.25;

/** What a tenant may use in a window without any allowance. */
static double in_window(const quota_bounds_t *bounds, const quota_limit_t *limit) {
    return (double)limit->rate * bounds->window_ms / MS_PER_S + limit->burst;
}

static double allowance(const quota_bounds_t *bounds, const quota_limit_t *limit) {
    return bounds->overage * in_window(bounds, limit) + bounds->slack;
}

unsigned quota_split_count(const quota_bounds_t *bounds, const quota_limit_t *limit,
                           unsigned members) {
    double room = EXTRA_PART * allowance(bounds, limit);
    if (members <= 1 || in_window(bounds, limit) >= room * members)
        return members == 0 ? 1 : members;
    double count = ceil(in_window(bounds, limit) / room);
    return count < 1 ? 1 : (unsigned)count;
}

/** Tokens of all members together with which they begin. */
static double forgotten(const quota_bounds_t *bounds, const quota_limit_t *limit) {
    return FORGOTTEN_PART * allowance(bounds, limit);
}

/** What is left of the allowance for callers if the limit is split among @p count members. */
static double for_callers(const quota_bounds_t *bounds, const quota_limit_t *limit, unsigned count,
                          unsigned members) {
    double all = in_window(bounds, limit) + allowance(bounds, limit);
    double counted = count < members ? (double)(count + 1) / count : 1;
    double use = (double)quota_split_grant_ms(bounds) / bounds->window_ms;
    double used_late = (double)limit->rate * quota_split_grant_ms(bounds) / MS_PER_S;
    double rest = all / counted - forgotten(bounds, limit) - in_window(bounds, limit) - used_late;
    /* Half of it becomes a rate, and so more that is used late. */
    return fmax(rest / (1 + use / 2), 0);
}

quota_share_t quota_split_share(const quota_bounds_t *bounds, const quota_limit_t *limit,
                                unsigned members) {
    unsigned count = quota_split_count(bounds, limit, members);
    double more = for_callers(bounds, limit, count, members);
    double most = (limit->burst + more / 2) / count;
    double per_ms = (double)limit->rate / MS_PER_S + more / 2 / bounds->window_ms;
    quota_share_t share = {
        .tokens_per_ms = per_ms / count,
        .most = fmax(most, 1), /* Less than a whole token would never be granted. */
    };
    share.first = fmin(forgotten(bounds, limit) / count, share.most);
    return share;
}

uint32_t quota_split_grant_ms(const quota_bounds_t *bounds) {
    return (uint32_t)(USE_PART * bounds->overage * bounds->window_ms);
}

uint32_t quota_split_promise_ms(const quota_share_t *share) {
    return (uint32_t)fmin(fmax(ceil(1 / share->tokens_per_ms), PROMISE_LEAST_MS), PROMISE_MOST_MS);
}
