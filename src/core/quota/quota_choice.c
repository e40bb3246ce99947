#include "core/quota/quota_choice.h"

bool quota_holds_share(const quota_member_t *members, unsigned count, unsigned shares,
                       unsigned index) {
    if (!members[index].reachable)
        return false;
    unsigned before = 0;
    for (unsigned i = 0; i < count; i++)
        before += members[i].reachable && members[i].rank < members[index].rank;
    return before < shares;
}

static bool may_have_token(const quota_member_t *member, uint64_t now) {
    return !member->asked && member->empty_until <= now;
}

/** Result if no member may have a token: names the first that will have one. */
static quota_decision_t refuse(const quota_member_t *members, unsigned count, unsigned shares,
                               uint64_t now) {
    quota_decision_t decision = {.step = QUOTA_UNREACHABLE};
    for (unsigned i = 0; i < count; i++) {
        if (!quota_holds_share(members, count, shares, i) || members[i].empty_until <= now)
            continue;
        uint32_t wait_ms = (uint32_t)(members[i].empty_until - now);
        if (decision.step == QUOTA_REFUSE && wait_ms >= decision.wait_ms)
            continue;
        decision = (quota_decision_t){.step = QUOTA_REFUSE, .member = i, .wait_ms = wait_ms};
    }
    return decision;
}

/** Index of a member that may have a token, after skipping @p skip such members. */
static unsigned nth_with_token(const quota_member_t *members, unsigned count, unsigned shares,
                               uint64_t now, unsigned skip) {
    unsigned index = 0;
    for (unsigned i = 0; i < count; i++) {
        if (!quota_holds_share(members, count, shares, i) || !may_have_token(&members[i], now))
            continue;
        index = i;
        if (skip == 0)
            break;
        skip--;
    }
    return index;
}

quota_decision_t quota_choose(const quota_member_t *members, unsigned count, unsigned shares,
                              uint64_t now, uint32_t random) {
    unsigned found = 0;
    for (unsigned i = 0; i < count; i++)
        found += quota_holds_share(members, count, shares, i) && may_have_token(&members[i], now);
    if (found == 0)
        return refuse(members, count, shares, now);
    unsigned index = nth_with_token(members, count, shares, now, random % found);
    return (quota_decision_t){.step = QUOTA_ASK, .member = index};
}
