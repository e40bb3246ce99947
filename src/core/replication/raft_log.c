#include "core/replication/raft_log.h"

void raft_log_init(raft_log_t *log) {
    *log = (raft_log_t){0};
    log->entries = g_ptr_array_new_with_free_func((GDestroyNotify)raft_entry_free);
}

void raft_log_clear(raft_log_t *log) {
    g_clear_pointer(&log->entries, g_ptr_array_unref);
}

uint64_t raft_log_last_index(const raft_log_t *log) {
    return log->base_index + log->entries->len;
}

const raft_entry_t *raft_log_get(const raft_log_t *log, uint64_t index) {
    if (index <= log->base_index || index > raft_log_last_index(log))
        return NULL;
    return g_ptr_array_index(log->entries, index - log->base_index - 1);
}

uint64_t raft_log_term(const raft_log_t *log, uint64_t index) {
    if (index == log->base_index)
        return log->base_term;
    const raft_entry_t *entry = raft_log_get(log, index);
    return entry != NULL ? entry->term : 0;
}

void raft_log_append(raft_log_t *log, raft_entry_t *entry) {
    g_assert(entry->index == raft_log_last_index(log) + 1);
    g_ptr_array_add(log->entries, entry);
}

void raft_log_truncate(raft_log_t *log, uint64_t last_index) {
    g_assert(last_index >= log->base_index);
    if (last_index < raft_log_last_index(log))
        g_ptr_array_set_size(log->entries, (gint)(last_index - log->base_index));
}

void raft_log_compact(raft_log_t *log, uint64_t index) {
    if (index <= log->base_index)
        return;
    log->base_configuration = raft_log_configuration(log, index, NULL);
    log->base_term = raft_log_term(log, index);
    g_ptr_array_remove_range(log->entries, 0, (guint)(index - log->base_index));
    log->base_index = index;
}

void raft_log_reset(raft_log_t *log, uint64_t base_index, uint64_t base_term,
                    const raft_configuration_t *configuration) {
    g_ptr_array_set_size(log->entries, 0);
    log->base_index = base_index;
    log->base_term = base_term;
    log->base_configuration = *configuration;
}

static bool decode_configuration(GBytes *payload, raft_configuration_t *configuration) {
    codec_t codec;
    size_t length;
    const void *data = g_bytes_get_data(payload, &length);
    codec_start_decoding(&codec, data, length);
    *configuration = (raft_configuration_t){0};
    raft_configuration_codec(&codec, configuration);
    return codec_complete(&codec);
}

raft_configuration_t raft_log_configuration(const raft_log_t *log, uint64_t last_index,
                                            uint64_t *index) {
    raft_configuration_t configuration;
    for (uint64_t i = MIN(last_index, raft_log_last_index(log)); i > log->base_index; i--) {
        const raft_entry_t *entry = raft_log_get(log, i);
        if (entry->kind != RAFT_ENTRY_CONFIGURATION)
            continue;
        if (!decode_configuration(entry->payload, &configuration))
            continue;
        if (index != NULL)
            *index = i;
        return configuration;
    }
    if (index != NULL)
        *index = log->base_index;
    return log->base_configuration;
}
