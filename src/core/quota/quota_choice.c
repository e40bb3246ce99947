#include "core/quota/quota_choice.h"

/** True if the member is among the first @p shares that can be reached. */
static bool holds_share(const quota_member_t *members, unsigned count, unsigned shares,
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

/** How long until the first member with a share that is known to be empty has a token. */
static uint32_t shortest_wait(const quota_member_t *members, unsigned count, unsigned shares,
                              uint64_t now, bool *any) {
    uint64_t shortest = UINT32_MAX;
    *any = false;
    for (unsigned i = 0; i < count; i++) {
        if (!holds_share(members, count, shares, i) || members[i].empty_until <= now)
            continue;
        *any = true;
        if (members[i].empty_until - now < shortest)
            shortest = members[i].empty_until - now;
    }
    return (uint32_t)shortest;
}

/** Index of the member that comes after @p skip others of those that may have a token. */
static unsigned nth_with_token(const quota_member_t *members, unsigned count, unsigned shares,
                               uint64_t now, unsigned skip) {
    unsigned index = 0;
    for (unsigned i = 0; i < count; i++) {
        if (!holds_share(members, count, shares, i) || !may_have_token(&members[i], now))
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
        found += holds_share(members, count, shares, i) && may_have_token(&members[i], now);
    if (found == 0) {
        bool any;
        uint32_t wait_ms = shortest_wait(members, count, shares, now, &any);
        return (quota_decision_t){.step = any ? QUOTA_REFUSE : QUOTA_UNREACHABLE,
                                  .wait_ms = any ? wait_ms : 0};
    }
    unsigned index = nth_with_token(members, count, shares, now, random % found);
    return (quota_decision_t){.step = QUOTA_ASK, .member = index};
}
