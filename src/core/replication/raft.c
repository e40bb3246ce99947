/*
 * A replica of one group: its life, the messages and ticks that drive it, and what can be asked of
 * it. raft_election.c elects, raft_leader.c and raft_follower.c replicate the log,
 * raft_membership.c changes the group.
 */
#include "core/replication/raft_state.h"

const raft_options_t raft_default_options = {
    .election_timeout_ms = 400,
    .retransmit_ms = 100,
    .commit_delay_ms = 20,
    .log_entries_retained = 128,
};

raft_t *raft_new(uint32_t partition, instance_id_t self, uint64_t seed,
                 const raft_options_t *options, const raft_state_machine_t *machine) {
    raft_t *raft = g_new0(raft_t, 1);
    raft->partition = partition;
    raft->self = self;
    raft->options = *options;
    raft->machine = *machine;
    raft->random = g_rand_new_with_seed((guint32)(seed ^ (seed >> 32)));
    raft->votes = g_hash_table_new(g_int64_hash, g_int64_equal);
    raft->progress = g_ptr_array_new_with_free_func((GDestroyNotify)raft_progress_free);
    raft_log_init(&raft->log);
    return raft;
}

void raft_free(raft_t *raft) {
    g_rand_free(raft->random);
    g_hash_table_unref(raft->votes);
    g_ptr_array_unref(raft->progress);
    raft_log_clear(&raft->log);
    g_clear_pointer(&raft->incoming_snapshot, g_byte_array_unref);
    g_free(raft);
}

static bool contains(const instance_id_t *members, uint32_t count, instance_id_t member) {
    for (uint32_t i = 0; i < count; i++)
        if (members[i] == member)
            return true;
    return false;
}

bool raft_is_voter(const raft_configuration_t *configuration, instance_id_t member) {
    return contains(configuration->voters, configuration->voter_count, member);
}

bool raft_is_learner(const raft_configuration_t *configuration, instance_id_t member) {
    return contains(configuration->learners, configuration->learner_count, member);
}

uint32_t raft_quorum(const raft_t *raft) {
    return raft->configuration.voter_count / 2 + 1;
}

void raft_adopt_configuration(raft_t *raft) {
    raft->configuration =
        raft_log_configuration(&raft->log, UINT64_MAX, &raft->configuration_index);
}

GBytes *raft_encode_configuration(raft_configuration_t configuration) {
    codec_t codec;
    codec_start_encoding(&codec);
    raft_configuration_codec(&codec, &configuration);
    return codec_finish(&codec);
}

void raft_bootstrap(raft_t *raft, const raft_configuration_t *configuration) {
    if (raft_log_last_index(&raft->log) > 0)
        return;
    GBytes *payload = raft_encode_configuration(*configuration);
    raft_log_append(&raft->log, raft_entry_new(1, 1, RAFT_ENTRY_CONFIGURATION, payload));
    g_bytes_unref(payload);
    raft->term = MAX(raft->term, 1);
    raft->commit = 1;
    raft->applied = 1;
    raft_adopt_configuration(raft);
}

raft_message_t *raft_send_message(const raft_t *raft, raft_message_kind_t kind, instance_id_t to,
                                  GPtrArray *output) {
    raft_message_t *message = raft_message_new(kind);
    message->partition = raft->partition;
    message->from = raft->self;
    message->to = to;
    message->term = raft->term;
    g_ptr_array_add(output, message);
    return message;
}

void raft_receive(raft_t *raft, const raft_message_t *message, int64_t now_ms, GPtrArray *output) {
    raft->now_ms = now_ms;
    if (message->to != raft->self)
        return;
    bool pre_vote = message->pre_vote && (message->kind == RAFT_REQUEST_VOTE || message->success);
    if (message->term > raft->term && !pre_vote)
        raft_become_follower(raft, message->term, 0);
    switch (message->kind) {
    case RAFT_REQUEST_VOTE:
        raft_receive_vote_request(raft, message, output);
        break;
    case RAFT_RESPONSE_VOTE:
        raft_receive_vote_response(raft, message, output);
        break;
    case RAFT_REQUEST_APPEND:
        raft_receive_append(raft, message, output);
        break;
    case RAFT_RESPONSE_APPEND:
        if (message->term == raft->term)
            raft_receive_append_response(raft, message, output);
        break;
    case RAFT_REQUEST_SNAPSHOT:
        raft_receive_snapshot(raft, message, output);
        break;
    case RAFT_RESPONSE_SNAPSHOT:
        if (message->term == raft->term)
            raft_receive_snapshot_response(raft, message, output);
        break;
    case RAFT_REQUEST_TIMEOUT_NOW:
        if (message->term == raft->term && raft->role == RAFT_FOLLOWER &&
            raft_is_voter(&raft->configuration, raft->self))
            raft_start_vote(raft, false, true, output);
        break;
    case RAFT_MESSAGE_KINDS:
        break;
    }
}

void raft_tick(raft_t *raft, int64_t now_ms, GPtrArray *output) {
    raft->now_ms = now_ms;
    if (raft->role == RAFT_LEADER) {
        raft_tick_leader(raft, output);
        return;
    }
    if (raft->election_at_ms == 0 || now_ms < raft->election_at_ms)
        return;
    if (raft_is_voter(&raft->configuration, raft->self))
        raft_start_vote(raft, true, false, output);
    else
        raft->election_at_ms = 0;
}

uint64_t raft_propose(raft_t *raft, GBytes *command, int64_t now_ms, GPtrArray *output) {
    raft->now_ms = now_ms;
    if (raft->role != RAFT_LEADER || raft->transfer_until_ms > now_ms)
        return 0;
    return raft_append_entry(raft, RAFT_ENTRY_COMMAND, command, output);
}

uint64_t raft_barrier(raft_t *raft, int64_t now_ms, GPtrArray *output) {
    raft->now_ms = now_ms;
    if (raft->role != RAFT_LEADER)
        return 0;
    raft->sequence++;
    if (raft->pending_since_ms == 0)
        raft->pending_since_ms = now_ms;
    raft_send_to_all(raft, output);
    return raft->sequence;
}

bool raft_barrier_passed(const raft_t *raft, uint64_t ticket) {
    if (!raft_leader_established(raft))
        return false;
    return raft_count_voters_answered(raft, ticket) >= raft_quorum(raft);
}

raft_role_t raft_role(const raft_t *raft) {
    return raft->role;
}

uint64_t raft_term(const raft_t *raft) {
    return raft->term;
}

instance_id_t raft_leader(const raft_t *raft) {
    return raft->leader;
}

uint64_t raft_commit_index(const raft_t *raft) {
    return raft->commit;
}

uint64_t raft_last_index(const raft_t *raft) {
    return raft_log_last_index(&raft->log);
}

uint64_t raft_match_index(const raft_t *raft, instance_id_t member) {
    const progress_t *progress = raft_find_progress(raft, member);
    return progress != NULL ? progress->match : 0;
}

bool raft_leader_established(const raft_t *raft) {
    return raft->role == RAFT_LEADER && raft->commit >= raft->term_start;
}

const raft_configuration_t *raft_configuration(const raft_t *raft) {
    return &raft->configuration;
}

bool raft_configuration_committed(const raft_t *raft) {
    return raft->configuration_index <= raft->commit;
}
