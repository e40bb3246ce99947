/**
 * @file partitions.h
 * The replication groups that this node is a member of, and where the others are led.
 *
 * A group joins the agreement protocol (raft.h) with the programs of a partition (program.h).
 * The leader of a group also repairs it: it asks placement for the next single change and
 * proposes it, so a group comes back to full strength without any outside service. Nodes hear
 * of leaders by notices, which leaders send on change and to every member that appears; a
 * stale notice costs one extra hop. Founding a cluster is the only step that needs the
 * key-value service (bootstrap.h).
 *
 * Thread safety: decision thread only.
 */
#ifndef RUDDERWAY_NODE_PARTITIONS_H
#define RUDDERWAY_NODE_PARTITIONS_H

#include "node/node.h"

typedef struct group group_t;

/** Hears the fate of a proposal: applied with @p error, or NOT_LEADER if it may be lost. */
typedef void (*proposal_done_t)(node_t *node, group_t *group, const command_t *command,
                                error_code_t error, void *data);
/** Hears that the state is current (NONE), or that this node does not lead (NOT_LEADER). */
typedef void (*barrier_done_t)(node_t *node, group_t *group, error_code_t error, void *data);

partitions_t *partitions_new(const node_t *node);
void partitions_free(partitions_t *partitions);
void partitions_tick(node_t *node);
void partitions_receive(node_t *node, const raft_message_t *message);
void partitions_receive_notice(node_t *node, const partition_notice_t *notice);
/** Tells @p asker who leads and belongs to @p partition, if this node leads it. */
void partitions_answer_notice(node_t *node, instance_id_t asker, uint32_t partition);
void partitions_member_changed(node_t *node, const member_t *member);

/** Founds the groups of a new cluster out of @p members (of member_t). */
void partitions_bootstrap(node_t *node, const GPtrArray *members);
/** True once any leader of any partition has been heard of. */
bool partitions_any_leader(const node_t *node);
/** True if a leader of every partition is known. */
bool partitions_all_led(const node_t *node);

uint32_t partitions_of_program(const node_t *node, const char *program);
/** The group of @p partition if this node leads it and its state is current, else NULL. */
group_t *partitions_led_group(const node_t *node, uint32_t partition);
/** The members of @p partition if this node leads it, else NULL. */
const raft_configuration_t *partitions_led_configuration(const node_t *node, uint32_t partition);
/** Who probably leads @p partition; 0 if nobody is known to. */
instance_id_t partitions_leader(const node_t *node, uint32_t partition);
/** Some live member of @p partition other than the leader, to ask for the leader; 0 if none. */
instance_id_t partitions_any_voter(const node_t *node, uint32_t partition);

/** Proposes @p command, which it consumes; @p done hears of it unless NULL. */
void partitions_propose(node_t *node, group_t *group, command_t *command, proposal_done_t done,
                        void *data);
void partitions_barrier(node_t *node, group_t *group, barrier_done_t done, void *data);

uint32_t group_partition(const group_t *group);
program_store_t *group_store(const group_t *group);
/** Calls @p visit for each group this node leads. */
void partitions_each_led(node_t *node, void (*visit)(node_t *node, group_t *group));
/** Bytes of program state held, in all roles. */
uint64_t partitions_bytes(const node_t *node);
unsigned partitions_led_count(const node_t *node);
unsigned partitions_member_count(const node_t *node);
/** Hands leadership of every group to others; true once this node leads and votes in none. */
bool partitions_hand_off(node_t *node);
/** Groups as JSON, for the administration API. */
json_t *partitions_to_json(const node_t *node);

#endif
