/**
 * @file raft.h
 * Agreement on the log of one partition among voters whose memory is all they have.
 *
 * The protocol is Raft (Ongaro and Ousterhout, 2014) with pre-vote, learners, one-at-a-time
 * membership change, leadership transfer, a read barrier, snapshots in chunks and log
 * compaction. Two things differ from the textbook:
 *
 *  - A voter that restarts has forgotten its vote and log. Its identity is therefore the
 *    random instance id of the process; a restarted process is a new instance and joins as
 *    a learner. No vote is ever written to disk, and none is ever forgotten by an identity
 *    that still takes part.
 *  - An idle group sends nothing. There is no periodic heartbeat: a leader sends only while
 *    some member lacks entries or the commit index. Whether the leader lives is told from
 *    outside (raft_leader_lost), by the node's membership. A leader that waits for
 *    acknowledgements longer than the election timeout steps down.
 *
 * Failures handled: loss, reordering and duplication of messages; crash of a minority at any
 * moment; a paused leader (fenced by its term); one-way cuts (step-down, pre-vote).
 *
 * This is decision code: no I/O, no clock, no thread. Time is an argument in milliseconds and
 * must not go backwards. Messages to send are appended to an output array.
 */
#ifndef RUDDERWAY_CORE_REPLICATION_RAFT_H
#define RUDDERWAY_CORE_REPLICATION_RAFT_H

#include "common/codec.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Identity of one run of one node; 0 means none. */
typedef uint64_t instance_id_t;

enum {
    RAFT_MEMBERS_MAXIMUM = 16,
    RAFT_APPEND_BYTES = 512 * 1024,         /**< Payload bytes in one append message. */
    RAFT_APPEND_ENTRIES = 256,              /**< Entries in one append message. */
    RAFT_SNAPSHOT_CHUNK_BYTES = 256 * 1024, /**< Bytes in one snapshot message. */
};

/** The voters and learners of a partition, changed one member at a time. */
typedef struct {
    uint32_t voter_count;
    uint32_t learner_count;
    instance_id_t voters[RAFT_MEMBERS_MAXIMUM];
    instance_id_t learners[RAFT_MEMBERS_MAXIMUM];
} raft_configuration_t;

typedef enum {
    RAFT_ENTRY_NOOP,          /**< First entry of every term. */
    RAFT_ENTRY_COMMAND,       /**< For the state machine. */
    RAFT_ENTRY_CONFIGURATION, /**< An encoded raft_configuration_t. */
    RAFT_ENTRY_KINDS
} raft_entry_kind_t;

typedef struct {
    uint64_t index;
    uint64_t term;
    raft_entry_kind_t kind;
    GBytes *payload;
} raft_entry_t;

typedef enum {
    RAFT_REQUEST_VOTE,
    RAFT_RESPONSE_VOTE,
    RAFT_REQUEST_APPEND,
    RAFT_RESPONSE_APPEND,
    RAFT_REQUEST_SNAPSHOT,
    RAFT_RESPONSE_SNAPSHOT,
    RAFT_REQUEST_TIMEOUT_NOW,
    RAFT_MESSAGE_KINDS
} raft_message_kind_t;

/** One message between two members. Fields a kind does not use are zero. */
typedef struct {
    raft_message_kind_t kind;
    uint32_t partition;
    instance_id_t from;
    instance_id_t to;
    uint64_t term;
    bool pre_vote;            /**< Vote: ask only whether a vote would be granted. */
    bool transfer;            /**< Vote: the leader asked for this election. */
    bool success;             /**< Responses. */
    uint64_t previous_index;  /**< Append and vote: last index before the entries. */
    uint64_t previous_term;   /**< Append and vote: term of that index. */
    uint64_t commit_index;    /**< Append: the leader's commit index. */
    uint64_t match_index;     /**< Append response: highest index known to match, or a hint. */
    uint64_t sequence;        /**< Append: echoed by the response; proves leadership for reads. */
    uint64_t snapshot_offset; /**< Snapshot: offset of the chunk, or bytes received so far. */
    uint64_t snapshot_size;   /**< Snapshot: total bytes. */
    GBytes *chunk;            /**< Snapshot: the chunk. */
    GPtrArray *entries;       /**< Append: of raft_entry_t, owned. */
} raft_message_t;

typedef enum { RAFT_FOLLOWER, RAFT_PRE_CANDIDATE, RAFT_CANDIDATE, RAFT_LEADER } raft_role_t;

/** What the log drives. All functions are deterministic and free of I/O. */
typedef struct {
    void (*apply)(void *state, uint64_t index, uint64_t term, GBytes *command);
    GBytes *(*save)(void *state);
    bool (*load)(void *state, GBytes *snapshot);
    void *state;
} raft_state_machine_t;

typedef struct {
    int64_t election_timeout_ms;   /**< Base; each election waits up to twice as long. */
    int64_t retransmit_ms;         /**< Between resent appends to a silent member. */
    int64_t commit_delay_ms;       /**< How long a commit index may wait for the next append. */
    uint64_t log_entries_retained; /**< Applied entries kept for members that lag. */
} raft_options_t;

extern const raft_options_t raft_default_options;

typedef struct raft raft_t;

/** A member of @p partition that knows nothing yet: it votes once it holds a configuration. */
raft_t *raft_new(uint32_t partition, instance_id_t self, uint64_t seed,
                 const raft_options_t *options, const raft_state_machine_t *machine);
void raft_free(raft_t *raft);

/**
 * Installs the first configuration of a new group; call it with the same configuration on
 * every first voter, and never on an instance that may join later.
 */
void raft_bootstrap(raft_t *raft, const raft_configuration_t *configuration);

/** Advances time to @p now_ms and sends what is due. */
void raft_tick(raft_t *raft, int64_t now_ms, GPtrArray *output);

/** Handles @p message, which stays the caller's. */
void raft_receive(raft_t *raft, const raft_message_t *message, int64_t now_ms, GPtrArray *output);

/** Appends a command; returns its index, or 0 if this member is not the leader. */
uint64_t raft_propose(raft_t *raft, GBytes *command, int64_t now_ms, GPtrArray *output);

/**
 * Proposes to add (as learner), promote or remove one member. False if this member is not
 * the leader, a change is in progress, or the change is not valid now.
 */
bool raft_add_learner(raft_t *raft, instance_id_t member, int64_t now_ms, GPtrArray *output);
bool raft_promote(raft_t *raft, instance_id_t member, int64_t now_ms, GPtrArray *output);
bool raft_remove(raft_t *raft, instance_id_t member, int64_t now_ms, GPtrArray *output);

/**
 * Starts a read barrier; returns a ticket, or 0 if this member is not the leader. State read
 * once raft_barrier_passed(ticket) holds every write acknowledged before this call.
 */
uint64_t raft_barrier(raft_t *raft, int64_t now_ms, GPtrArray *output);
bool raft_barrier_passed(const raft_t *raft, uint64_t ticket);

/** Asks @p target, an up-to-date voter, to take over. False if it lags or is no voter. */
bool raft_transfer(raft_t *raft, instance_id_t target, GPtrArray *output);

/** Tells that the known leader is gone; an election follows after a random delay. */
void raft_leader_lost(raft_t *raft, int64_t now_ms);

raft_role_t raft_role(const raft_t *raft);
uint64_t raft_term(const raft_t *raft);
instance_id_t raft_leader(const raft_t *raft);
uint64_t raft_commit_index(const raft_t *raft);
/** The last index of the log. */
uint64_t raft_last_index(const raft_t *raft);
/** The leader's knowledge of how far @p member has got; 0 if unknown. */
uint64_t raft_match_index(const raft_t *raft, instance_id_t member);
/** True once the leader has committed an entry of its own term, so that its state is current. */
bool raft_leader_established(const raft_t *raft);
const raft_configuration_t *raft_configuration(const raft_t *raft);
bool raft_configuration_committed(const raft_t *raft);
bool raft_is_voter(const raft_configuration_t *configuration, instance_id_t member);
bool raft_is_learner(const raft_configuration_t *configuration, instance_id_t member);

raft_message_t *raft_message_new(raft_message_kind_t kind);
void raft_message_free(raft_message_t *message);
/** Encodes or decodes a message (see codec.h). */
void raft_message_codec(codec_t *codec, raft_message_t *message);
raft_entry_t *raft_entry_new(uint64_t index, uint64_t term, raft_entry_kind_t kind,
                             GBytes *payload);
void raft_entry_free(raft_entry_t *entry);
void raft_configuration_codec(codec_t *codec, raft_configuration_t *configuration);

#endif
