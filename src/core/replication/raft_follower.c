/*
 * The follower's side of replication: entries are stored where the logs agree, a mismatch is
 * answered with the highest index at which they may, a snapshot replaces all.
 */
#include "core/replication/raft_state.h"

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
        raft_adopt_configuration(raft);
    return match;
}

void raft_receive_append(raft_t *raft, const raft_message_t *message, GPtrArray *output) {
    bool stale = message->term < raft->term;
    uint64_t match = 0;
    bool success = false;
    if (!stale) {
        if (raft->role != RAFT_FOLLOWER || raft->leader != message->from)
            raft_become_follower(raft, message->term, message->from);
        raft->leader_heard_ms = raft->now_ms;
        raft->election_at_ms = 0;
        success = message->previous_index <= raft->commit ||
                  (message->previous_index <= raft_log_last_index(&raft->log) &&
                   raft_log_term(&raft->log, message->previous_index) == message->previous_term);
        match = success ? store_entries(raft, message) : conflict_hint(raft, message);
    }
    if (success && message->commit_index > raft->commit) {
        raft->commit = MAX(raft->commit, MIN(message->commit_index, match));
        raft_apply_committed(raft);
    }
    raft_message_t *answer = raft_send_message(raft, RAFT_RESPONSE_APPEND, message->from, output);
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
            raft_adopt_configuration(raft);
        }
    }
    g_bytes_unref(state);
    return installed;
}

void raft_receive_snapshot(raft_t *raft, const raft_message_t *message, GPtrArray *output) {
    if (message->term < raft->term)
        return;
    if (raft->role != RAFT_FOLLOWER || raft->leader != message->from)
        raft_become_follower(raft, message->term, message->from);
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
    raft_message_t *answer = raft_send_message(raft, RAFT_RESPONSE_SNAPSHOT, message->from, output);
    answer->previous_index = message->previous_index;
    answer->snapshot_offset = received;
    answer->success = true;
}
