#include "core/quorum/store_group_choice.h"

#include <string.h>

enum {
    CONCURRENT_REPLACEMENTS = 1, /**< Replacements tolerated in addition to the losses. */
};

unsigned store_group_size(unsigned tolerated_losses) {
    return 2 * (tolerated_losses + CONCURRENT_REPLACEMENTS) + 1;
}

unsigned store_group_minimum(unsigned tolerated_losses) {
    return 2 * tolerated_losses + 1;
}

static unsigned count_in_zone(const GArray *members, const char *zone) {
    unsigned count = 0;
    for (guint i = 0; i < members->len; i++)
        count += strcmp(g_array_index(members, store_member_t, i).zone, zone) == 0;
    return count;
}

/** True if @p a joins a group of @p members before @p b. */
static bool precedes(const GArray *members, const store_member_t *a, const store_member_t *b) {
    unsigned in_zone_a = count_in_zone(members, a->zone);
    unsigned in_zone_b = count_in_zone(members, b->zone);
    return in_zone_a != in_zone_b ? in_zone_a < in_zone_b : strcmp(a->name, b->name) < 0;
}

static const store_member_t *next_candidate(const GArray *members, const GArray *candidates) {
    const store_member_t *best = NULL;
    for (guint i = 0; i < candidates->len; i++) {
        const store_member_t *candidate = &g_array_index(candidates, store_member_t, i);
        if (store_group_find(members, candidate->name) != NULL)
            continue;
        if (best == NULL || precedes(members, candidate, best))
            best = candidate;
    }
    return best;
}

void store_group_fill(GArray *members, const GArray *candidates, unsigned size) {
    while (members->len < size) {
        const store_member_t *next = next_candidate(members, candidates);
        if (next == NULL)
            return;
        store_group_add(members, next->name, next->address, next->zone);
    }
}

unsigned store_group_standby_rank(const GArray *members, const GArray *candidates,
                                  const char *name) {
    const store_member_t *own = store_group_find(candidates, name);
    unsigned rank = 0;
    for (guint i = 0; own != NULL && i < candidates->len; i++) {
        const store_member_t *candidate = &g_array_index(candidates, store_member_t, i);
        bool is_spare = store_group_find(members, candidate->name) == NULL;
        rank += is_spare && precedes(members, candidate, own);
    }
    return rank;
}
