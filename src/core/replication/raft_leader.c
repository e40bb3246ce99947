/*
 * The leader's side of replication: what each member has, entries and snapshots sent to it, and how
 * far the log is committed. Members that have everything cost no messages.
 */
#include "core/replication/raft_state.h"

#include <string.h>

void raft_progress_free(progress_t *progress) {
    g_clear_pointer(&progress->snapshot, g_bytes_unref);
    g_free(progress);
}

progress_t *raft_find_progress(const raft_t *raft, instance_id_t member) {
    for (guint i = 0; i < raft->progress->len; i++) {
        progress_t *progress = g_ptr_array_index(raft->progress, i);
        if (progress->member == member)
            return progress;
    }
    return NULL;
}

static void track_member(raft_t *raft, instance_id_t member) {
    if (member == raft->self || raft_find_progress(raft, member) != NULL)
        return;
    progress_t *progress = g_new0(progress_t, 1);
    progress->member = member;
    progress->next = raft_log_last_index(&raft->log) + 1;
    progress->acked_at_ms = raft->now_ms;
    g_ptr_array_add(raft->progress, progress);
}

void raft_track_configuration(raft_t *raft) {
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

void raft_send_to_all(raft_t *raft, GPtrArray *output) {
    for (guint i = 0; i < raft->progress->len; i++)
        raft_send_append(raft, g_ptr_array_index(raft->progress, i), output);
}

uint64_t raft_append_entry(raft_t *raft, raft_entry_kind_t kind, GBytes *payload,
                           GPtrArray *output) {
    uint64_t index = raft_log_last_index(&raft->log) + 1;
    raft_log_append(&raft->log, raft_entry_new(index, raft->term, kind, payload));
    if (kind == RAFT_ENTRY_CONFIGURATION) {
        raft_adopt_configuration(raft);
        raft_track_configuration(raft);
    }
    if (raft->pending_since_ms == 0)
        raft->pending_since_ms = raft->now_ms;
    raft_send_to_all(raft, output);
    raft_advance_commit(raft, output);
    return index;
}

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
    raft_message_t *message =
        raft_send_message(raft, RAFT_REQUEST_SNAPSHOT, progress->member, output);
    message->previous_index = progress->snapshot_index;
    message->snapshot_offset = progress->snapshot_offset;
    message->snapshot_size = size;
    message->chunk = g_bytes_new_from_bytes(progress->snapshot, progress->snapshot_offset, length);
    progress->sent_at_ms = raft->now_ms;
}

void raft_send_append(raft_t *raft, progress_t *progress, GPtrArray *output) {
    if (progress->next <= raft->log.base_index) {
        if (progress->snapshot == NULL)
            send_snapshot_chunk(raft, progress, output);
        return;
    }
    raft_message_t *message =
        raft_send_message(raft, RAFT_REQUEST_APPEND, progress->member, output);
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

void raft_apply_committed(raft_t *raft) {
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

void raft_advance_commit(raft_t *raft, GPtrArray *output) {
    uint64_t last = raft_log_last_index(&raft->log);
    uint64_t commit = raft->commit;
    for (uint64_t index = commit + 1; index <= last; index++) {
        if (count_voters_at(raft, index) < raft_quorum(raft))
            break;
        if (raft_log_term(&raft->log, index) == raft->term)
            commit = index;
    }
    if (commit == raft->commit)
        return;
    raft->commit = commit;
    raft->commit_changed_ms = raft->now_ms;
    raft->pending_since_ms = commit < last ? raft->now_ms : 0;
    raft_apply_committed(raft);
    bool removed = !raft_is_voter(&raft->configuration, raft->self);
    if (removed && raft->configuration_index <= raft->commit) {
        raft_send_to_all(raft, output);
        raft_become_follower(raft, raft->term, 0);
        raft->election_at_ms = 0;
    }
}

uint32_t raft_count_voters_answered(const raft_t *raft, uint64_t sequence) {
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
        raft_count_voters_answered(raft, raft->sequence) >= raft_quorum(raft))
        raft->pending_since_ms = 0;
}

void raft_receive_append_response(raft_t *raft, const raft_message_t *message, GPtrArray *output) {
    progress_t *progress = raft_find_progress(raft, message->from);
    if (raft->role != RAFT_LEADER || progress == NULL)
        return;
    progress->acked_at_ms = raft->now_ms;
    progress->acked_sequence = MAX(progress->acked_sequence, message->sequence);
    if (!message->success) {
        if (message->match_index < progress->match)
            return;
        progress->next = MAX(progress->match, message->match_index) + 1;
        raft_send_append(raft, progress, output);
        return;
    }
    if (message->match_index > progress->match) {
        progress->match = message->match_index;
        progress->next = MAX(progress->next, progress->match + 1);
        raft_advance_commit(raft, output);
    }
    if (raft->role != RAFT_LEADER)
        return;
    settle_pending(raft);
    if (progress->next <= raft_log_last_index(&raft->log))
        raft_send_append(raft, progress, output);
}

void raft_receive_snapshot_response(raft_t *raft, const raft_message_t *message,
                                    GPtrArray *output) {
    progress_t *progress = raft_find_progress(raft, message->from);
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
    raft_advance_commit(raft, output);
    if (raft->role == RAFT_LEADER)
        raft_send_append(raft, progress, output);
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
        raft_send_append(raft, progress, output);
        return;
    }
    bool commit_due = raft->now_ms - raft->commit_changed_ms >= raft->options.commit_delay_ms;
    if (progress->sent_commit < raft->commit && commit_due)
        raft_send_append(raft, progress, output);
}

static bool quorum_answered_since(const raft_t *raft, int64_t since_ms) {
    uint32_t count = raft_is_voter(&raft->configuration, raft->self) ? 1 : 0;
    for (guint i = 0; i < raft->progress->len; i++) {
        const progress_t *progress = g_ptr_array_index(raft->progress, i);
        if (progress->acked_at_ms >= since_ms &&
            raft_is_voter(&raft->configuration, progress->member))
            count++;
    }
    return count >= raft_quorum(raft);
}

void raft_tick_leader(raft_t *raft, GPtrArray *output) {
    int64_t timeout = 2 * raft->options.election_timeout_ms;
    if (raft->pending_since_ms != 0 && raft->now_ms - raft->pending_since_ms > timeout) {
        if (!quorum_answered_since(raft, raft->now_ms - timeout)) {
            raft_become_follower(raft, raft->term, 0);
            return;
        }
        raft->pending_since_ms = raft->now_ms;
    }
    for (guint i = 0; i < raft->progress->len; i++)
        tick_member(raft, g_ptr_array_index(raft->progress, i), output);
}
