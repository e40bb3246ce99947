#include "core/quota/quota_split.h"

#include <math.h>

enum {
    MS_PER_S = 1000,
    ADVANCE_MIN_MS = 300,  /**< Shorter than the restart of a member. */
    ADVANCE_MAX_MS = 2000, /**< Beyond this, the caller should retry instead. */
};

/* Fractions of the allowance; see the header. */
static const double OVERLAP_FRACTION = 0.25;
static const double RESTART_FRACTION = 0.05;
/** Fraction of the overage for tokens used some time after their grant; sets the grant lifetime. */
static const double GRANT_LIFETIME_FRACTION = 0.25;

/** Tokens of a window within the limit. */
static double window_tokens(const quota_bounds_t *bounds, const quota_limit_t *limit) {
    return (double)limit->rate * bounds->window_ms / MS_PER_S + limit->burst;
}

/** Tokens of a window that are permitted beyond the limit. */
static double allowance(const quota_bounds_t *bounds, const quota_limit_t *limit) {
    return bounds->overage * window_tokens(bounds, limit) + bounds->slack;
}

unsigned quota_split_count(const quota_bounds_t *bounds, const quota_limit_t *limit,
                           unsigned members) {
    double per_member = OVERLAP_FRACTION * allowance(bounds, limit);
    if (members <= 1 || window_tokens(bounds, limit) >= per_member * members)
        return members == 0 ? 1 : members;
    double count = ceil(window_tokens(bounds, limit) / per_member);
    return count < 1 ? 1 : (unsigned)count;
}

static double total_initial_tokens(const quota_bounds_t *bounds, const quota_limit_t *limit) {
    return RESTART_FRACTION * allowance(bounds, limit);
}

/** Part of the allowance that raises callers' rate and burst, with @p count shares. */
static double caller_allowance(const quota_bounds_t *bounds, const quota_limit_t *limit,
                               unsigned count, unsigned members) {
    double all = window_tokens(bounds, limit) + allowance(bounds, limit);
    double overlap = count < members ? (double)(count + 1) / count : 1;
    double use = (double)quota_split_grant_lifetime_ms(bounds) / bounds->window_ms;
    double used_late = (double)limit->rate * quota_split_grant_lifetime_ms(bounds) / MS_PER_S;
    double rest = all / overlap - total_initial_tokens(bounds, limit) -
                  window_tokens(bounds, limit) - used_late;
    /* Half of the result raises the rate, and so the tokens used late:
       rest = result + use * result / 2. */
    return fmax(rest / (1 + use / 2), 0);
}

quota_share_t quota_split_share(const quota_bounds_t *bounds, const quota_limit_t *limit,
                                unsigned members) {
    unsigned count = quota_split_count(bounds, limit, members);
    double extra = caller_allowance(bounds, limit, count, members);
    double max_tokens = (limit->burst + extra / 2) / count;
    double per_ms = (double)limit->rate / MS_PER_S + extra / 2 / bounds->window_ms;
    quota_share_t share = {
        .tokens_per_ms = per_ms / count,
        .max_tokens =
            fmax(max_tokens, 1), /* A bucket smaller than one token would never grant any. */
    };
    share.initial_tokens = fmin(total_initial_tokens(bounds, limit) / count, share.max_tokens);
    return share;
}

uint32_t quota_split_grant_lifetime_ms(const quota_bounds_t *bounds) {
    return (uint32_t)(GRANT_LIFETIME_FRACTION * bounds->overage * bounds->window_ms);
}

uint32_t quota_split_max_advance_ms(const quota_share_t *share) {
    return (uint32_t)fmin(fmax(ceil(1 / share->tokens_per_ms), ADVANCE_MIN_MS), ADVANCE_MAX_MS);
}
