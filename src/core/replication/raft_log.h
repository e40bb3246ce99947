/**
 * @file raft_log.h
 * The in-memory log of one partition: entries above a compacted prefix.
 * Thread safety: none; a log belongs to its raft_t.
 */
#ifndef RUDDERWAY_CORE_REPLICATION_RAFT_LOG_H
#define RUDDERWAY_CORE_REPLICATION_RAFT_LOG_H

#include "core/replication/raft.h"

typedef struct {
    uint64_t base_index; /**< Last index that was compacted away; 0 if none. */
    uint64_t base_term;
    raft_configuration_t base_configuration; /**< In force at base_index. */
    GPtrArray *entries;                      /**< Of raft_entry_t, from base_index + 1. */
} raft_log_t;

void raft_log_init(raft_log_t *log);
void raft_log_clear(raft_log_t *log);
uint64_t raft_log_last_index(const raft_log_t *log);
/** Term of the entry at @p index; 0 if the log does not hold it. */
uint64_t raft_log_term(const raft_log_t *log, uint64_t index);
/** The entry at @p index, or NULL if it is compacted or not there yet. */
const raft_entry_t *raft_log_get(const raft_log_t *log, uint64_t index);
/** Appends @p entry, which must follow the last index; takes ownership. */
void raft_log_append(raft_log_t *log, raft_entry_t *entry);
/** Drops the entries above @p last_index. */
void raft_log_truncate(raft_log_t *log, uint64_t last_index);
/** Drops the entries up to @p index from memory. */
void raft_log_compact(raft_log_t *log, uint64_t index);
/** Forgets everything and continues after a snapshot. */
void raft_log_reset(raft_log_t *log, uint64_t base_index, uint64_t base_term,
                    const raft_configuration_t *configuration);
/** The newest configuration at or below @p last_index and, unless NULL, where it stands. */
raft_configuration_t raft_log_configuration(const raft_log_t *log, uint64_t last_index,
                                            uint64_t *index);

#endif
