/*
 * Changes of the group, one member at a time: a learner catches up before it votes, and a change
 * begins only when the one before is committed. A leader can also hand over.
 */
#include "core/replication/raft_state.h"

static bool propose_configuration(raft_t *raft, const raft_configuration_t *configuration,
                                  GPtrArray *output) {
    GBytes *payload = raft_encode_configuration(*configuration);
    raft_append_entry(raft, RAFT_ENTRY_CONFIGURATION, payload, output);
    g_bytes_unref(payload);
    return true;
}

static bool may_change_configuration(raft_t *raft, int64_t now_ms) {
    raft->now_ms = now_ms;
    return raft->role == RAFT_LEADER && raft_leader_established(raft) &&
           raft_configuration_committed(raft);
}

static void remove_member(instance_id_t *members, uint32_t *count, instance_id_t member) {
    for (uint32_t i = 0; i < *count; i++) {
        if (members[i] != member)
            continue;
        members[i] = members[*count - 1];
        (*count)--;
        return;
    }
}

bool raft_add_learner(raft_t *raft, instance_id_t member, int64_t now_ms, GPtrArray *output) {
    raft_configuration_t next = raft->configuration;
    if (!may_change_configuration(raft, now_ms) || raft_is_voter(&next, member) ||
        raft_is_learner(&next, member) || next.learner_count == RAFT_MEMBERS_MAXIMUM)
        return false;
    next.learners[next.learner_count++] = member;
    return propose_configuration(raft, &next, output);
}

bool raft_promote(raft_t *raft, instance_id_t member, int64_t now_ms, GPtrArray *output) {
    raft_configuration_t next = raft->configuration;
    if (!may_change_configuration(raft, now_ms) || !raft_is_learner(&next, member) ||
        next.voter_count == RAFT_MEMBERS_MAXIMUM || raft_match_index(raft, member) < raft->commit)
        return false;
    remove_member(next.learners, &next.learner_count, member);
    next.voters[next.voter_count++] = member;
    return propose_configuration(raft, &next, output);
}

bool raft_remove(raft_t *raft, instance_id_t member, int64_t now_ms, GPtrArray *output) {
    raft_configuration_t next = raft->configuration;
    if (!may_change_configuration(raft, now_ms))
        return false;
    remove_member(next.voters, &next.voter_count, member);
    remove_member(next.learners, &next.learner_count, member);
    bool changed = next.voter_count + next.learner_count !=
                   raft->configuration.voter_count + raft->configuration.learner_count;
    if (!changed || next.voter_count == 0)
        return false;
    return propose_configuration(raft, &next, output);
}

bool raft_transfer(raft_t *raft, instance_id_t target, GPtrArray *output) {
    const progress_t *progress = raft_find_progress(raft, target);
    if (raft->role != RAFT_LEADER || progress == NULL ||
        !raft_is_voter(&raft->configuration, target) ||
        progress->match < raft_log_last_index(&raft->log))
        return false;
    raft->transfer_until_ms = raft->now_ms + raft->options.election_timeout_ms;
    raft_send_message(raft, RAFT_REQUEST_TIMEOUT_NOW, target, output);
    return true;
}
