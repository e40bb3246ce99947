#include "core/admission/program_home.h"

#include <glib.h>
#include <xxhash.h>

enum {
    /**
     * Limit per home, in calls per second: some twenty concurrent programs of a few calls per
     * second each, so that one program hardly changes the sum.
     */
    CALLS_PER_S_PER_HOME = 100,
};

unsigned program_home_count(const quota_limit_t *limit, unsigned shares) {
    return CLAMP(limit->rate / CALLS_PER_S_PER_HOME, 1, MAX(shares, 1));
}

unsigned program_home_choose(const quota_member_t *members, unsigned count, unsigned homes,
                             uint64_t program) {
    unsigned home = count;
    uint64_t highest = 0;
    for (unsigned i = 0; i < count; i++) {
        if (!quota_holds_share(members, count, homes, i))
            continue;
        uint64_t score = XXH64(&members[i].rank, sizeof members[i].rank, program);
        if (home < count && score <= highest)
            continue;
        home = i;
        highest = score;
    }
    return home;
}
