#include "core/placement/placement.h"

#include <string.h>
#include <xxhash.h>

uint32_t placement_partition(const char *program, uint32_t partition_count) {
    const char *separator = strchr(program, PLACEMENT_PROGRAM_SEPARATOR);
    size_t length = separator != NULL ? (size_t)(separator - program) : strlen(program);
    return (uint32_t)(XXH3_64bits(program, length) % partition_count);
}

static uint64_t weight(uint32_t partition, const member_t *member) {
    return XXH3_64bits_withSeed(member->name, strlen(member->name), partition);
}

static bool is_available(const member_t *member) {
    return member->state != MEMBER_DEAD && !member->leaving;
}

static const member_t *find_member(const GPtrArray *members, instance_id_t instance) {
    for (guint i = 0; i < members->len; i++) {
        const member_t *member = g_ptr_array_index(members, i);
        if (member->instance == instance)
            return member;
    }
    return NULL;
}

static bool is_chosen(const instance_id_t *chosen, uint32_t count, instance_id_t instance) {
    for (uint32_t i = 0; i < count; i++)
        if (chosen[i] == instance)
            return true;
    return false;
}

static uint32_t count_in_zone(const GPtrArray *members, const instance_id_t *chosen, uint32_t count,
                              const char *zone) {
    uint32_t in_zone = 0;
    for (uint32_t i = 0; i < count; i++) {
        const member_t *member = find_member(members, chosen[i]);
        if (member != NULL && strcmp(member->zone, zone) == 0)
            in_zone++;
    }
    return in_zone;
}

/** The best member to add to @p chosen: least crowded zone first, then highest weight. */
static const member_t *best_candidate(uint32_t partition, const GPtrArray *members,
                                      const instance_id_t *chosen, uint32_t count) {
    const member_t *best = NULL;
    uint32_t best_crowd = 0;
    for (guint i = 0; i < members->len; i++) {
        const member_t *member = g_ptr_array_index(members, i);
        if (!is_available(member) || member->state != MEMBER_ALIVE ||
            is_chosen(chosen, count, member->instance))
            continue;
        uint32_t crowd = count_in_zone(members, chosen, count, member->zone);
        bool better = best == NULL || crowd < best_crowd ||
                      (crowd == best_crowd && weight(partition, member) > weight(partition, best));
        if (!better)
            continue;
        best = member;
        best_crowd = crowd;
    }
    return best;
}

uint32_t placement_choose(uint32_t partition, const GPtrArray *members, uint32_t count,
                          instance_id_t *chosen) {
    uint32_t found = 0;
    while (found < count) {
        const member_t *best = best_candidate(partition, members, chosen, found);
        if (best == NULL)
            break;
        chosen[found++] = best->instance;
    }
    return found;
}

static uint32_t list_available_voters(const GPtrArray *members,
                                      const raft_configuration_t *configuration,
                                      instance_id_t *voters) {
    uint32_t count = 0;
    for (uint32_t i = 0; i < configuration->voter_count; i++) {
        const member_t *member = find_member(members, configuration->voters[i]);
        if (member != NULL && is_available(member))
            voters[count++] = member->instance;
    }
    return count;
}

/** A voter whose zone holds two more copies than the zone of @p candidate. */
static instance_id_t crowded_voter(const GPtrArray *members, const instance_id_t *voters,
                                   uint32_t count, const member_t *candidate) {
    uint32_t candidate_crowd = count_in_zone(members, voters, count, candidate->zone);
    for (uint32_t i = 0; i < count; i++) {
        const member_t *voter = find_member(members, voters[i]);
        if (count_in_zone(members, voters, count, voter->zone) > candidate_crowd + 1)
            return voter->instance;
    }
    return 0;
}

static placement_change_t change(placement_action_t action, instance_id_t member) {
    return (placement_change_t){.action = action, .member = member};
}

/**
 * A voter to remove that is gone or leaves. One that only seems dead stays while its place
 * cannot be filled: it may be slow, and a group that shrinks on suspicion ends with one copy.
 */
static placement_change_t remove_unavailable(const GPtrArray *members,
                                             const raft_configuration_t *configuration,
                                             bool replaced) {
    for (uint32_t i = 0; i < configuration->voter_count; i++) {
        const member_t *member = find_member(members, configuration->voters[i]);
        bool available = member != NULL && is_available(member);
        bool leaves = member != NULL && member->leaving;
        if (!available && (replaced || leaves))
            return change(PLACEMENT_REMOVE, configuration->voters[i]);
    }
    return change(PLACEMENT_KEEP, 0);
}

/**
 * Promotes a learner, or drops one that is gone. A lost voter is removed only afterwards: with six
 * voters of which one is lost, or only seems so, one or two more may go; with four, only one.
 */
static placement_change_t settle_learner(const GPtrArray *members,
                                         const raft_configuration_t *configuration) {
    const member_t *learner = find_member(members, configuration->learners[0]);
    bool available = learner != NULL && is_available(learner);
    return change(available ? PLACEMENT_PROMOTE : PLACEMENT_REMOVE, configuration->learners[0]);
}

placement_change_t placement_next_change(uint32_t partition, const GPtrArray *members,
                                         const raft_configuration_t *configuration,
                                         uint32_t voter_target) {
    instance_id_t voters[RAFT_MEMBERS_MAXIMUM] = {0};
    if (configuration->learner_count > 0)
        return settle_learner(members, configuration);
    uint32_t available = list_available_voters(members, configuration, voters);
    const member_t *candidate = best_candidate(partition, members, voters, available);
    if (available < voter_target && candidate != NULL)
        return change(PLACEMENT_ADD_LEARNER, candidate->instance);
    if (available < configuration->voter_count)
        return remove_unavailable(members, configuration, available >= voter_target);
    if (candidate != NULL && available >= voter_target) {
        instance_id_t crowded = crowded_voter(members, voters, available, candidate);
        if (crowded != 0 && available > voter_target)
            return change(PLACEMENT_REMOVE, crowded);
        if (crowded != 0)
            return change(PLACEMENT_ADD_LEARNER, candidate->instance);
    }
    if (available > voter_target) {
        instance_id_t kept[RAFT_MEMBERS_MAXIMUM] = {0};
        placement_choose(partition, members, voter_target, kept);
        for (uint32_t i = 0; i < available; i++)
            if (!is_chosen(kept, voter_target, voters[i]))
                return change(PLACEMENT_REMOVE, voters[i]);
    }
    return change(PLACEMENT_KEEP, 0);
}
