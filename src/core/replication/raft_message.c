#include "core/replication/raft.h"

raft_message_t *raft_message_new(raft_message_kind_t kind) {
    raft_message_t *message = g_new0(raft_message_t, 1);
    message->kind = kind;
    return message;
}

raft_entry_t *raft_entry_new(uint64_t index, uint64_t term, raft_entry_kind_t kind,
                             GBytes *payload) {
    raft_entry_t *entry = g_new0(raft_entry_t, 1);
    entry->index = index;
    entry->term = term;
    entry->kind = kind;
    entry->payload = payload != NULL ? g_bytes_ref(payload) : g_bytes_new(NULL, 0);
    return entry;
}

void raft_entry_free(raft_entry_t *entry) {
    g_bytes_unref(entry->payload);
    g_free(entry);
}

void raft_message_free(raft_message_t *message) {
    g_clear_pointer(&message->chunk, g_bytes_unref);
    g_clear_pointer(&message->entries, g_ptr_array_unref);
    g_free(message);
}

static void entry_codec(codec_t *codec, raft_entry_t *entry) {
    unsigned kind = entry->kind;
    codec_uint64(codec, &entry->index);
    codec_uint64(codec, &entry->term);
    codec_enum(codec, &kind, RAFT_ENTRY_KINDS);
    codec_bytes(codec, &entry->payload);
    entry->kind = (raft_entry_kind_t)kind;
}

static void entries_codec(codec_t *codec, raft_message_t *message) {
    uint32_t count = message->entries != NULL ? message->entries->len : 0;
    codec_count(codec, &count, RAFT_APPEND_ENTRIES);
    if (message->entries == NULL)
        message->entries = g_ptr_array_new_with_free_func((GDestroyNotify)raft_entry_free);
    for (uint32_t i = 0; i < count && !codec->failed; i++) {
        if (codec->decoding)
            g_ptr_array_add(message->entries, g_new0(raft_entry_t, 1));
        entry_codec(codec, g_ptr_array_index(message->entries, i));
    }
}

void raft_message_codec(codec_t *codec, raft_message_t *message) {
    unsigned kind = message->kind;
    codec_enum(codec, &kind, RAFT_MESSAGE_KINDS);
    message->kind = (raft_message_kind_t)kind;
    codec_uint32(codec, &message->partition);
    codec_uint64(codec, &message->from);
    codec_uint64(codec, &message->to);
    codec_uint64(codec, &message->term);
    codec_bool(codec, &message->pre_vote);
    codec_bool(codec, &message->transfer);
    codec_bool(codec, &message->success);
    codec_uint64(codec, &message->previous_index);
    codec_uint64(codec, &message->previous_term);
    codec_uint64(codec, &message->commit_index);
    codec_uint64(codec, &message->match_index);
    codec_uint64(codec, &message->sequence);
    codec_uint64(codec, &message->snapshot_offset);
    codec_uint64(codec, &message->snapshot_size);
    codec_bytes(codec, &message->chunk);
    entries_codec(codec, message);
}

static void members_codec(codec_t *codec, uint32_t *count, instance_id_t *members) {
    codec_count(codec, count, RAFT_MEMBERS_MAXIMUM);
    for (uint32_t i = 0; i < *count; i++)
        codec_uint64(codec, &members[i]);
}

void raft_configuration_codec(codec_t *codec, raft_configuration_t *configuration) {
    members_codec(codec, &configuration->voter_count, configuration->voters);
    members_codec(codec, &configuration->learner_count, configuration->learners);
}
