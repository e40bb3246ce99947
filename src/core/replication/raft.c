#include "core/replication/raft.h"

#include "core/replication/raft_log.h"

#include <string.h>

const raft_options_t raft_default_options = {
    .election_timeout_ms = 400,
    .retransmit_ms = 100,
    .commit_delay_ms = 20,
    .log_entries_retained = 128,
};

/** What the leader knows of one member. */
typedef struct {
    instance_id_t member;
    uint64_t match;           /**< Highest index known to be replicated. */
    uint64_t next;            /**< Next index to send. */
    uint64_t sent_commit;     /**< Commit index last sent. */
    uint64_t acked_sequence;  /**< Highest append sequence answered. */
    int64_t sent_at_ms;       /**< Time of the last append or chunk. */
    int64_t acked_at_ms;      /**< Time of the last answer. */
    GBytes *snapshot;         /**< Being sent, or NULL. */
    uint64_t snapshot_index;  /**< Index the snapshot stands for. */
    uint64_t snapshot_offset; /**< Bytes acknowledged. */
} progress_t;

struct raft {
    uint32_t partition;
    instance_id_t self;
    raft_options_t options;
    raft_state_machine_t machine;
    GRand *random;
    int64_t now_ms;

    raft_role_t role;
    uint64_t term;
    instance_id_t voted_for;
    instance_id_t leader;
    int64_t leader_heard_ms;
    int64_t election_at_ms; /**< 0: no election is due. */
    GHashTable *votes;      /**< Members that granted the current (pre-)vote. */

    raft_log_t log;
    uint64_t commit;
    uint64_t applied;
    raft_configuration_t configuration;
    uint64_t configuration_index;

    GPtrArray *progress; /**< Of progress_t; leader only. */
    uint64_t term_start; /**< Index of the leader's first entry. */
    uint64_t sequence;
    int64_t pending_since_ms; /**< When the leader began to wait for a quorum; 0: it does not. */
    int64_t commit_changed_ms;
    int64_t transfer_until_ms;
    GByteArray *incoming_snapshot;
};

static void become_follower(raft_t *raft, uint64_t term, instance_id_t leader);
static void send_append(raft_t *raft, progress_t *progress, GPtrArray *output);
static void advance_commit(raft_t *raft, GPtrArray *output);

static void progress_free(progress_t *progress) {
    g_clear_pointer(&progress->snapshot, g_bytes_unref);
    g_free(progress);
}

raft_t *raft_new(uint32_t partition, instance_id_t self, uint64_t seed,
                 const raft_options_t *options, const raft_state_machine_t *machine) {
    raft_t *raft = g_new0(raft_t, 1);
    raft->partition = partition;
    raft->self = self;
    raft->options = *options;
    raft->machine = *machine;
    raft->random = g_rand_new_with_seed((guint32)(seed ^ (seed >> 32)));
    raft->votes = g_hash_table_new(g_int64_hash, g_int64_equal);
    raft->progress = g_ptr_array_new_with_free_func((GDestroyNotify)progress_free);
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

static uint32_t quorum(const raft_t *raft) {
    return raft->configuration.voter_count / 2 + 1;
}

static void adopt_configuration(raft_t *raft) {
    raft->configuration =
        raft_log_configuration(&raft->log, UINT64_MAX, &raft->configuration_index);
}

static GBytes *encode_configuration(raft_configuration_t configuration) {
    codec_t codec;
    codec_start_encoding(&codec);
    raft_configuration_codec(&codec, &configuration);
    return codec_finish(&codec);
}

void raft_bootstrap(raft_t *raft, const raft_configuration_t *configuration) {
    if (raft_log_last_index(&raft->log) > 0)
        return;
    GBytes *payload = encode_configuration(*configuration);
    raft_log_append(&raft->log, raft_entry_new(1, 1, RAFT_ENTRY_CONFIGURATION, payload));
    g_bytes_unref(payload);
    raft->term = MAX(raft->term, 1);
    raft->commit = 1;
    raft->applied = 1;
    adopt_configuration(raft);
}

static raft_message_t *send_message(const raft_t *raft, raft_message_kind_t kind, instance_id_t to,
                                    GPtrArray *output) {
    raft_message_t *message = raft_message_new(kind);
    message->partition = raft->partition;
    message->from = raft->self;
    message->to = to;
    message->term = raft->term;
    g_ptr_array_add(output, message);
    return message;
}

/* --- Elections ------------------------------------------------------------------------- */

static void arm_election(raft_t *raft) {
    int64_t base = raft->options.election_timeout_ms;
    raft->election_at_ms = raft->now_ms + base + g_rand_int_range(raft->random, 0, (gint32)base);
}

static void become_follower(raft_t *raft, uint64_t term, instance_id_t leader) {
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
        arm_election(raft);
}

static progress_t *find_progress(const raft_t *raft, instance_id_t member) {
    for (guint i = 0; i < raft->progress->len; i++) {
        progress_t *progress = g_ptr_array_index(raft->progress, i);
        if (progress->member == member)
            return progress;
    }
    return NULL;
}

static void track_member(raft_t *raft, instance_id_t member) {
    if (member == raft->self || find_progress(raft, member) != NULL)
        return;
    progress_t *progress = g_new0(progress_t, 1);
    progress->member = member;
    progress->next = raft_log_last_index(&raft->log) + 1;
    progress->acked_at_ms = raft->now_ms;
    g_ptr_array_add(raft->progress, progress);
}

static void track_configuration(raft_t *raft) {
    const raft_configuration_t *configuration = &raft->configuration;
    for (guint i = raft->progress->len; i > 0; i--) {
        const progress_t *progress = g_ptr_array_index(raft->progress, i - 1);
        if (!raft_is_voter(configuration, progress->member) &&
            !raft_is_learner(configuration, progress->member))
            g_ptr_array_remove_index(raft->progress, i - 1);
    }
    for (uint32_t i = 0; i < configuration->voter_count; i++)
        track_member(raft, configuration->voters[i]);
    for (uint32_t i = 0; i < configuration->learner_count; i++)
        track_member(raft, configuration->learners[i]);
}

static void send_to_all(raft_t *raft, GPtrArray *output) {
    for (guint i = 0; i < raft->progress->len; i++)
        send_append(raft, g_ptr_array_index(raft->progress, i), output);
}

static uint64_t append_entry(raft_t *raft, raft_entry_kind_t kind, GBytes *payload,
                             GPtrArray *output) {
    uint64_t index = raft_log_last_index(&raft->log) + 1;
    raft_log_append(&raft->log, raft_entry_new(index, raft->term, kind, payload));
    if (kind == RAFT_ENTRY_CONFIGURATION) {
        adopt_configuration(raft);
        track_configuration(raft);
    }
    if (raft->pending_since_ms == 0)
        raft->pending_since_ms = raft->now_ms;
    send_to_all(raft, output);
    advance_commit(raft, output);
    return index;
}

static void become_leader(raft_t *raft, GPtrArray *output) {
    raft->role = RAFT_LEADER;
    raft->leader = raft->self;
    raft->election_at_ms = 0;
    raft->transfer_until_ms = 0;
    g_ptr_array_set_size(raft->progress, 0);
    track_configuration(raft);
    raft->term_start = raft_log_last_index(&raft->log) + 1;
    append_entry(raft, RAFT_ENTRY_NOOP, NULL, output);
}

static void start_vote(raft_t *raft, bool pre_vote, bool transfer, GPtrArray *output) {
    raft->role = pre_vote ? RAFT_PRE_CANDIDATE : RAFT_CANDIDATE;
    raft->leader = 0;
    if (!pre_vote) {
        raft->term++;
        raft->voted_for = raft->self;
    }
    g_hash_table_remove_all(raft->votes);
    g_hash_table_add(raft->votes, &raft->self);
    arm_election(raft);
    if (quorum(raft) == 1) {
        if (pre_vote)
            start_vote(raft, false, transfer, output);
        else
            become_leader(raft, output);
        return;
    }
    for (uint32_t i = 0; i < raft->configuration.voter_count; i++) {
        instance_id_t voter = raft->configuration.voters[i];
        if (voter == raft->self)
            continue;
        raft_message_t *message = send_message(raft, RAFT_REQUEST_VOTE, voter, output);
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

static void receive_vote_request(raft_t *raft, const raft_message_t *message, GPtrArray *output) {
    bool grant;
    if (message->pre_vote) {
        grant =
            message->term > raft->term && log_is_current(raft, message) && !leader_is_recent(raft);
    } else {
        grant = message->term == raft->term && log_is_current(raft, message) &&
                (raft->voted_for == 0 || raft->voted_for == message->from);
        if (grant) {
            raft->voted_for = message->from;
            arm_election(raft);
        }
    }
    raft_message_t *answer = send_message(raft, RAFT_RESPONSE_VOTE, message->from, output);
    answer->pre_vote = message->pre_vote;
    answer->success = grant;
    if (message->pre_vote && grant)
        answer->term = message->term;
}

static void receive_vote_response(raft_t *raft, const raft_message_t *message, GPtrArray *output) {
    raft_role_t expected = message->pre_vote ? RAFT_PRE_CANDIDATE : RAFT_CANDIDATE;
    uint64_t expected_term = message->pre_vote ? raft->term + 1 : raft->term;
    if (raft->role != expected || message->term != expected_term || !message->success)
        return;
    for (uint32_t i = 0; i < raft->configuration.voter_count; i++)
        if (raft->configuration.voters[i] == message->from)
            g_hash_table_add(raft->votes, &raft->configuration.voters[i]);
    if (g_hash_table_size(raft->votes) < quorum(raft))
        return;
    if (message->pre_vote)
        start_vote(raft, false, false, output);
    else
        become_leader(raft, output);
}

void raft_leader_lost(raft_t *raft, int64_t now_ms) {
    raft->now_ms = now_ms;
    if (raft->role == RAFT_LEADER || raft->election_at_ms != 0)
        return;
    raft->leader = 0;
    arm_election(raft);
}

/* --- Log replication: leader ------------------------------------------------------------ */

static void start_snapshot(raft_t *raft, progress_t *progress) {
    codec_t codec;
    GBytes *state = raft->machine.save(raft->machine.state);
    uint64_t index = raft->applied;
    uint64_t term = raft_log_term(&raft->log, index);
    raft_configuration_t configuration = raft_log_configuration(&raft->log, index, NULL);
    codec_start_encoding(&codec);
    codec_uint64(&codec, &index);
    codec_uint64(&codec, &term);
    raft_configuration_codec(&codec, &configuration);
    codec_bytes(&codec, &state);
    g_bytes_unref(state);
    progress->snapshot = codec_finish(&codec);
    progress->snapshot_index = index;
    progress->snapshot_offset = 0;
}

static void send_snapshot_chunk(raft_t *raft, progress_t *progress, GPtrArray *output) {
    if (progress->snapshot == NULL)
        start_snapshot(raft, progress);
    size_t size = g_bytes_get_size(progress->snapshot);
    size_t length = MIN(size - progress->snapshot_offset, (size_t)RAFT_SNAPSHOT_CHUNK_BYTES);
    raft_message_t *message = send_message(raft, RAFT_REQUEST_SNAPSHOT, progress->member, output);
    message->previous_index = progress->snapshot_index;
    message->snapshot_offset = progress->snapshot_offset;
    message->snapshot_size = size;
    message->chunk = g_bytes_new_from_bytes(progress->snapshot, progress->snapshot_offset, length);
    progress->sent_at_ms = raft->now_ms;
}

static void send_append(raft_t *raft, progress_t *progress, GPtrArray *output) {
    if (progress->next <= raft->log.base_index) {
        if (progress->snapshot == NULL)
            send_snapshot_chunk(raft, progress, output);
        return;
    }
    raft_message_t *message = send_message(raft, RAFT_REQUEST_APPEND, progress->member, output);
    message->previous_index = progress->next - 1;
    message->previous_term = raft_log_term(&raft->log, progress->next - 1);
    message->commit_index = raft->commit;
    message->sequence = raft->sequence;
    message->entries = g_ptr_array_new_with_free_func((GDestroyNotify)raft_entry_free);
    size_t bytes = 0;
    while (progress->next <= raft_log_last_index(&raft->log) &&
           message->entries->len < RAFT_APPEND_ENTRIES && bytes < RAFT_APPEND_BYTES) {
        const raft_entry_t *entry = raft_log_get(&raft->log, progress->next);
        bytes += g_bytes_get_size(entry->payload);
        g_ptr_array_add(message->entries,
                        raft_entry_new(entry->index, entry->term, entry->kind, entry->payload));
        progress->next++;
    }
    progress->sent_commit = raft->commit;
    progress->sent_at_ms = raft->now_ms;
}

static void apply_committed(raft_t *raft) {
    while (raft->applied < raft->commit) {
        raft->applied++;
        const raft_entry_t *entry = raft_log_get(&raft->log, raft->applied);
        if (entry->kind == RAFT_ENTRY_COMMAND)
            raft->machine.apply(raft->machine.state, entry->index, entry->term, entry->payload);
    }
    uint64_t retained = raft->options.log_entries_retained;
    if (raft->applied > raft->log.base_index + 2 * retained)
        raft_log_compact(&raft->log, raft->applied - retained);
}

static uint32_t count_voters_at(const raft_t *raft, uint64_t index) {
    uint32_t count = raft_is_voter(&raft->configuration, raft->self) ? 1 : 0;
    for (guint i = 0; i < raft->progress->len; i++) {
        const progress_t *progress = g_ptr_array_index(raft->progress, i);
        if (progress->match >= index && raft_is_voter(&raft->configuration, progress->member))
            count++;
    }
    return count;
}

static void advance_commit(raft_t *raft, GPtrArray *output) {
    uint64_t last = raft_log_last_index(&raft->log);
    uint64_t commit = raft->commit;
    for (uint64_t index = commit + 1; index <= last; index++) {
        if (count_voters_at(raft, index) < quorum(raft))
            break;
        if (raft_log_term(&raft->log, index) == raft->term)
            commit = index;
    }
    if (commit == raft->commit)
        return;
    raft->commit = commit;
    raft->commit_changed_ms = raft->now_ms;
    raft->pending_since_ms = commit < last ? raft->now_ms : 0;
    apply_committed(raft);
    bool removed = !raft_is_voter(&raft->configuration, raft->self);
    if (removed && raft->configuration_index <= raft->commit) {
        send_to_all(raft, output);
        become_follower(raft, raft->term, 0);
        raft->election_at_ms = 0;
    }
}

static uint32_t count_voters_answered(const raft_t *raft, uint64_t sequence) {
    uint32_t count = raft_is_voter(&raft->configuration, raft->self) ? 1 : 0;
    for (guint i = 0; i < raft->progress->len; i++) {
        const progress_t *progress = g_ptr_array_index(raft->progress, i);
        if (progress->acked_sequence >= sequence &&
            raft_is_voter(&raft->configuration, progress->member))
            count++;
    }
    return count;
}

/** Stops waiting for a quorum once every entry and read barrier has one. */
static void settle_pending(raft_t *raft) {
    if (raft->commit == raft_log_last_index(&raft->log) &&
        count_voters_answered(raft, raft->sequence) >= quorum(raft))
        raft->pending_since_ms = 0;
}

static void receive_append_response(raft_t *raft, const raft_message_t *message,
                                    GPtrArray *output) {
    progress_t *progress = find_progress(raft, message->from);
    if (raft->role != RAFT_LEADER || progress == NULL)
        return;
    progress->acked_at_ms = raft->now_ms;
    progress->acked_sequence = MAX(progress->acked_sequence, message->sequence);
    if (!message->success) {
        if (message->match_index < progress->match)
            return;
        progress->next = MAX(progress->match, message->match_index) + 1;
        send_append(raft, progress, output);
        return;
    }
    if (message->match_index > progress->match) {
        progress->match = message->match_index;
        progress->next = MAX(progress->next, progress->match + 1);
        advance_commit(raft, output);
    }
    if (raft->role != RAFT_LEADER)
        return;
    settle_pending(raft);
    if (progress->next <= raft_log_last_index(&raft->log))
        send_append(raft, progress, output);
}

static void receive_snapshot_response(raft_t *raft, const raft_message_t *message,
                                      GPtrArray *output) {
    progress_t *progress = find_progress(raft, message->from);
    if (raft->role != RAFT_LEADER || progress == NULL || progress->snapshot == NULL ||
        message->previous_index != progress->snapshot_index)
        return;
    progress->acked_at_ms = raft->now_ms;
    progress->snapshot_offset = message->snapshot_offset;
    if (progress->snapshot_offset < g_bytes_get_size(progress->snapshot)) {
        send_snapshot_chunk(raft, progress, output);
        return;
    }
    g_clear_pointer(&progress->snapshot, g_bytes_unref);
    progress->match = MAX(progress->match, progress->snapshot_index);
    progress->next = progress->match + 1;
    advance_commit(raft, output);
    if (raft->role == RAFT_LEADER)
        send_append(raft, progress, output);
}

/* --- Log replication: follower ----------------------------------------------------------- */

/** The highest index at which the leader may find agreement after a mismatch. */
static uint64_t conflict_hint(const raft_t *raft, const raft_message_t *message) {
    uint64_t last = raft_log_last_index(&raft->log);
    if (last < message->previous_index)
        return last;
    uint64_t term = raft_log_term(&raft->log, message->previous_index);
    uint64_t hint = message->previous_index - 1;
    while (hint > raft->commit && raft_log_term(&raft->log, hint) == term)
        hint--;
    return hint;
}

/** Appends what is new; returns the last index that now matches the leader. */
static uint64_t store_entries(raft_t *raft, const raft_message_t *message) {
    uint64_t match = message->previous_index;
    bool changed = false;
    for (guint i = 0; i < message->entries->len; i++) {
        const raft_entry_t *entry = g_ptr_array_index(message->entries, i);
        if (entry->index != match + 1)
            break;
        match = entry->index;
        if (entry->index <= raft->log.base_index ||
            raft_log_term(&raft->log, entry->index) == entry->term)
            continue;
        if (entry->index <= raft->commit)
            break;
        raft_log_truncate(&raft->log, entry->index - 1);
        raft_log_append(&raft->log,
                        raft_entry_new(entry->index, entry->term, entry->kind, entry->payload));
        changed = true;
    }
    if (changed)
        adopt_configuration(raft);
    return match;
}

static void receive_append(raft_t *raft, const raft_message_t *message, GPtrArray *output) {
    bool stale = message->term < raft->term;
    uint64_t match = 0;
    bool success = false;
    if (!stale) {
        if (raft->role != RAFT_FOLLOWER || raft->leader != message->from)
            become_follower(raft, message->term, message->from);
        raft->leader_heard_ms = raft->now_ms;
        raft->election_at_ms = 0;
        success = message->previous_index <= raft->commit ||
                  (message->previous_index <= raft_log_last_index(&raft->log) &&
                   raft_log_term(&raft->log, message->previous_index) == message->previous_term);
        match = success ? store_entries(raft, message) : conflict_hint(raft, message);
    }
    if (success && message->commit_index > raft->commit) {
        raft->commit = MAX(raft->commit, MIN(message->commit_index, match));
        apply_committed(raft);
    }
    raft_message_t *answer = send_message(raft, RAFT_RESPONSE_APPEND, message->from, output);
    answer->success = success;
    answer->match_index = match;
    answer->sequence = stale ? 0 : message->sequence;
}

static bool install_snapshot(raft_t *raft) {
    codec_t codec;
    uint64_t index;
    uint64_t term;
    raft_configuration_t configuration = {0};
    GBytes *state;
    codec_start_decoding(&codec, raft->incoming_snapshot->data, raft->incoming_snapshot->len);
    codec_uint64(&codec, &index);
    codec_uint64(&codec, &term);
    raft_configuration_codec(&codec, &configuration);
    codec_bytes(&codec, &state);
    bool installed = codec_complete(&codec);
    if (installed && index > raft->commit) {
        installed = raft->machine.load(raft->machine.state, state);
        if (installed) {
            raft_log_reset(&raft->log, index, term, &configuration);
            raft->commit = index;
            raft->applied = index;
            adopt_configuration(raft);
        }
    }
    g_bytes_unref(state);
    return installed;
}

static void receive_snapshot(raft_t *raft, const raft_message_t *message, GPtrArray *output) {
    if (message->term < raft->term)
        return;
    if (raft->role != RAFT_FOLLOWER || raft->leader != message->from)
        become_follower(raft, message->term, message->from);
    raft->leader_heard_ms = raft->now_ms;
    if (message->snapshot_offset == 0) {
        g_clear_pointer(&raft->incoming_snapshot, g_byte_array_unref);
        raft->incoming_snapshot = g_byte_array_new();
    }
    if (raft->incoming_snapshot == NULL)
        return;
    if (raft->incoming_snapshot->len == message->snapshot_offset) {
        size_t length;
        const void *data = g_bytes_get_data(message->chunk, &length);
        g_byte_array_append(raft->incoming_snapshot, data, (guint)length);
    }
    uint64_t received = raft->incoming_snapshot->len;
    if (received == message->snapshot_size) {
        bool installed = install_snapshot(raft);
        g_clear_pointer(&raft->incoming_snapshot, g_byte_array_unref);
        if (!installed)
            return;
    }
    raft_message_t *answer = send_message(raft, RAFT_RESPONSE_SNAPSHOT, message->from, output);
    answer->previous_index = message->previous_index;
    answer->snapshot_offset = received;
    answer->success = true;
}

/* --- Entry points ------------------------------------------------------------------------- */

void raft_receive(raft_t *raft, const raft_message_t *message, int64_t now_ms, GPtrArray *output) {
    raft->now_ms = now_ms;
    if (message->to != raft->self)
        return;
    bool pre_vote = message->pre_vote && (message->kind == RAFT_REQUEST_VOTE || message->success);
    if (message->term > raft->term && !pre_vote)
        become_follower(raft, message->term, 0);
    switch (message->kind) {
    case RAFT_REQUEST_VOTE:
        receive_vote_request(raft, message, output);
        break;
    case RAFT_RESPONSE_VOTE:
        receive_vote_response(raft, message, output);
        break;
    case RAFT_REQUEST_APPEND:
        receive_append(raft, message, output);
        break;
    case RAFT_RESPONSE_APPEND:
        if (message->term == raft->term)
            receive_append_response(raft, message, output);
        break;
    case RAFT_REQUEST_SNAPSHOT:
        receive_snapshot(raft, message, output);
        break;
    case RAFT_RESPONSE_SNAPSHOT:
        if (message->term == raft->term)
            receive_snapshot_response(raft, message, output);
        break;
    case RAFT_REQUEST_TIMEOUT_NOW:
        if (message->term == raft->term && raft->role == RAFT_FOLLOWER &&
            raft_is_voter(&raft->configuration, raft->self))
            start_vote(raft, false, true, output);
        break;
    case RAFT_MESSAGE_KINDS:
        break;
    }
}

/** True if @p progress still lacks entries, the commit index or a read barrier's round. */
static bool member_lags(const raft_t *raft, const progress_t *progress) {
    if (progress->match < raft_log_last_index(&raft->log) || progress->snapshot != NULL)
        return true;
    return raft->pending_since_ms != 0 && progress->acked_sequence < raft->sequence;
}

static void tick_member(raft_t *raft, progress_t *progress, GPtrArray *output) {
    bool silent = raft->now_ms - progress->sent_at_ms >= raft->options.retransmit_ms;
    if (member_lags(raft, progress) && silent) {
        if (progress->snapshot != NULL) {
            send_snapshot_chunk(raft, progress, output);
            return;
        }
        progress->next = progress->match + 1;
        send_append(raft, progress, output);
        return;
    }
    bool commit_due = raft->now_ms - raft->commit_changed_ms >= raft->options.commit_delay_ms;
    if (progress->sent_commit < raft->commit && commit_due)
        send_append(raft, progress, output);
}

static bool quorum_answered_since(const raft_t *raft, int64_t since_ms) {
    uint32_t count = raft_is_voter(&raft->configuration, raft->self) ? 1 : 0;
    for (guint i = 0; i < raft->progress->len; i++) {
        const progress_t *progress = g_ptr_array_index(raft->progress, i);
        if (progress->acked_at_ms >= since_ms &&
            raft_is_voter(&raft->configuration, progress->member))
            count++;
    }
    return count >= quorum(raft);
}

static void tick_leader(raft_t *raft, GPtrArray *output) {
    int64_t timeout = 2 * raft->options.election_timeout_ms;
    if (raft->pending_since_ms != 0 && raft->now_ms - raft->pending_since_ms > timeout) {
        if (!quorum_answered_since(raft, raft->now_ms - timeout)) {
            become_follower(raft, raft->term, 0);
            return;
        }
        raft->pending_since_ms = raft->now_ms;
    }
    for (guint i = 0; i < raft->progress->len; i++)
        tick_member(raft, g_ptr_array_index(raft->progress, i), output);
}

void raft_tick(raft_t *raft, int64_t now_ms, GPtrArray *output) {
    raft->now_ms = now_ms;
    if (raft->role == RAFT_LEADER) {
        tick_leader(raft, output);
        return;
    }
    if (raft->election_at_ms == 0 || now_ms < raft->election_at_ms)
        return;
    if (raft_is_voter(&raft->configuration, raft->self))
        start_vote(raft, true, false, output);
    else
        raft->election_at_ms = 0;
}

uint64_t raft_propose(raft_t *raft, GBytes *command, int64_t now_ms, GPtrArray *output) {
    raft->now_ms = now_ms;
    if (raft->role != RAFT_LEADER || raft->transfer_until_ms > now_ms)
        return 0;
    return append_entry(raft, RAFT_ENTRY_COMMAND, command, output);
}

static bool propose_configuration(raft_t *raft, const raft_configuration_t *configuration,
                                  GPtrArray *output) {
    GBytes *payload = encode_configuration(*configuration);
    append_entry(raft, RAFT_ENTRY_CONFIGURATION, payload, output);
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

uint64_t raft_barrier(raft_t *raft, int64_t now_ms, GPtrArray *output) {
    raft->now_ms = now_ms;
    if (raft->role != RAFT_LEADER)
        return 0;
    raft->sequence++;
    if (raft->pending_since_ms == 0)
        raft->pending_since_ms = now_ms;
    send_to_all(raft, output);
    return raft->sequence;
}

bool raft_barrier_passed(const raft_t *raft, uint64_t ticket) {
    if (!raft_leader_established(raft))
        return false;
    return count_voters_answered(raft, ticket) >= quorum(raft);
}

bool raft_transfer(raft_t *raft, instance_id_t target, GPtrArray *output) {
    const progress_t *progress = find_progress(raft, target);
    if (raft->role != RAFT_LEADER || progress == NULL ||
        !raft_is_voter(&raft->configuration, target) ||
        progress->match < raft_log_last_index(&raft->log))
        return false;
    raft->transfer_until_ms = raft->now_ms + raft->options.election_timeout_ms;
    send_message(raft, RAFT_REQUEST_TIMEOUT_NOW, target, output);
    return true;
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
    const progress_t *progress = find_progress(raft, member);
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
