/**
 * @file raft_state.h
 * What the files of this folder share: a replica's state, and the steps that one of them takes for
 * another. For this folder only; raft.h is the interface.
 *
 * Thread safety: decision code; an object belongs to one thread.
 */
#ifndef RUDDERWAY_CORE_REPLICATION_RAFT_STATE_H
#define RUDDERWAY_CORE_REPLICATION_RAFT_STATE_H

#include "core/replication/raft.h"
#include "core/replication/raft_log.h"

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

/* raft.c */

uint32_t raft_quorum(const raft_t *raft);
void raft_adopt_configuration(raft_t *raft);
GBytes *raft_encode_configuration(raft_configuration_t configuration);
raft_message_t *raft_send_message(const raft_t *raft, raft_message_kind_t kind, instance_id_t to,
                                  GPtrArray *output);

/* raft_election.c */

void raft_arm_election(raft_t *raft);
void raft_become_follower(raft_t *raft, uint64_t term, instance_id_t leader);
void raft_become_leader(raft_t *raft, GPtrArray *output);
void raft_start_vote(raft_t *raft, bool pre_vote, bool transfer, GPtrArray *output);
void raft_receive_vote_request(raft_t *raft, const raft_message_t *message, GPtrArray *output);
void raft_receive_vote_response(raft_t *raft, const raft_message_t *message, GPtrArray *output);

/* raft_leader.c */

void raft_progress_free(progress_t *progress);
progress_t *raft_find_progress(const raft_t *raft, instance_id_t member);
void raft_track_configuration(raft_t *raft);
void raft_send_to_all(raft_t *raft, GPtrArray *output);
uint64_t raft_append_entry(raft_t *raft, raft_entry_kind_t kind, GBytes *payload,
                           GPtrArray *output);
void raft_send_append(raft_t *raft, progress_t *progress, GPtrArray *output);
void raft_apply_committed(raft_t *raft);
void raft_advance_commit(raft_t *raft, GPtrArray *output);
uint32_t raft_count_voters_answered(const raft_t *raft, uint64_t sequence);
void raft_receive_append_response(raft_t *raft, const raft_message_t *message, GPtrArray *output);
void raft_receive_snapshot_response(raft_t *raft, const raft_message_t *message, GPtrArray *output);
void raft_tick_leader(raft_t *raft, GPtrArray *output);

/* raft_follower.c */

void raft_receive_append(raft_t *raft, const raft_message_t *message, GPtrArray *output);
void raft_receive_snapshot(raft_t *raft, const raft_message_t *message, GPtrArray *output);

#endif
