/*
 * Elections. A replica asks for votes before it raises its term (pre-vote), so that one that was
 * cut off does not disturb a group that is led. A vote is granted only to a log that is as complete
 * as the voter's own.
 */
#include "core/replication/raft_state.h"

void raft_arm_election(raft_t *raft) {
    int64_t base = raft->options.election_timeout_ms;
    raft->election_at_ms = raft->now_ms + base + g_rand_int_range(raft->random, 0, (gint32)base);
}

void raft_become_follower(raft_t *raft, uint64_t term, instance_id_t leader) {
    if (term > raft->term) {
        raft->term = term;
        raft->voted_for = 0;
    }
    raft->role = RAFT_FOLLOWER;
    raft->leader = leader;
    raft->pending_since_ms = 0;
    raft->transfer_until_ms = 0;
    g_ptr_array_set_size(raft->progress, 0);
    g_hash_table_remove_all(raft->votes);
    if (leader != 0)
        raft->election_at_ms = 0;
    else
        raft_arm_election(raft);
}

void raft_become_leader(raft_t *raft, GPtrArray *output) {
    raft->role = RAFT_LEADER;
    raft->leader = raft->self;
    raft->election_at_ms = 0;
    raft->transfer_until_ms = 0;
    g_ptr_array_set_size(raft->progress, 0);
    raft_track_configuration(raft);
    raft->term_start = raft_log_last_index(&raft->log) + 1;
    raft_append_entry(raft, RAFT_ENTRY_NOOP, NULL, output);
}

void raft_start_vote(raft_t *raft, bool pre_vote, bool transfer, GPtrArray *output) {
    raft->role = pre_vote ? RAFT_PRE_CANDIDATE : RAFT_CANDIDATE;
    raft->leader = 0;
    if (!pre_vote) {
        raft->term++;
        raft->voted_for = raft->self;
    }
    g_hash_table_remove_all(raft->votes);
    g_hash_table_add(raft->votes, &raft->self);
    raft_arm_election(raft);
    if (raft_quorum(raft) == 1) {
        if (pre_vote)
            raft_start_vote(raft, false, transfer, output);
        else
            raft_become_leader(raft, output);
        return;
    }
    for (uint32_t i = 0; i < raft->configuration.voter_count; i++) {
        instance_id_t voter = raft->configuration.voters[i];
        if (voter == raft->self)
            continue;
        raft_message_t *message = raft_send_message(raft, RAFT_REQUEST_VOTE, voter, output);
        message->term = pre_vote ? raft->term + 1 : raft->term;
        message->pre_vote = pre_vote;
        message->transfer = transfer;
        message->previous_index = raft_log_last_index(&raft->log);
        message->previous_term = raft_log_term(&raft->log, message->previous_index);
    }
}

static bool log_is_current(const raft_t *raft, const raft_message_t *message) {
    uint64_t last_index = raft_log_last_index(&raft->log);
    uint64_t last_term = raft_log_term(&raft->log, last_index);
    if (message->previous_term != last_term)
        return message->previous_term > last_term;
    return message->previous_index >= last_index;
}

/** True if a leader was heard so recently that an election would only disturb. */
static bool leader_is_recent(const raft_t *raft) {
    if (raft->role == RAFT_LEADER)
        return raft->pending_since_ms == 0;
    return raft->leader != 0 &&
           raft->now_ms - raft->leader_heard_ms < raft->options.election_timeout_ms;
}

void raft_receive_vote_request(raft_t *raft, const raft_message_t *message, GPtrArray *output) {
    bool grant;
    if (message->pre_vote) {
        grant =
            message->term > raft->term && log_is_current(raft, message) && !leader_is_recent(raft);
    } else {
        grant = message->term == raft->term && log_is_current(raft, message) &&
                (raft->voted_for == 0 || raft->voted_for == message->from);
        if (grant) {
            raft->voted_for = message->from;
            raft_arm_election(raft);
        }
    }
    raft_message_t *answer = raft_send_message(raft, RAFT_RESPONSE_VOTE, message->from, output);
    answer->pre_vote = message->pre_vote;
    answer->success = grant;
    if (message->pre_vote && grant)
        answer->term = message->term;
}

void raft_receive_vote_response(raft_t *raft, const raft_message_t *message, GPtrArray *output) {
    raft_role_t expected = message->pre_vote ? RAFT_PRE_CANDIDATE : RAFT_CANDIDATE;
    uint64_t expected_term = message->pre_vote ? raft->term + 1 : raft->term;
    if (raft->role != expected || message->term != expected_term || !message->success)
        return;
    for (uint32_t i = 0; i < raft->configuration.voter_count; i++)
        if (raft->configuration.voters[i] == message->from)
            g_hash_table_add(raft->votes, &raft->configuration.voters[i]);
    if (g_hash_table_size(raft->votes) < raft_quorum(raft))
        return;
    if (message->pre_vote)
        raft_start_vote(raft, false, false, output);
    else
        raft_become_leader(raft, output);
}

void raft_leader_lost(raft_t *raft, int64_t now_ms) {
    raft->now_ms = now_ms;
    if (raft->role == RAFT_LEADER || raft->election_at_ms != 0)
        return;
    raft->leader = 0;
    raft_arm_election(raft);
}
