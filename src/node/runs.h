/**
 * @file runs.h
 * The runner's side of calls: attempts that this node executes, and their outcomes until the
 * partition's leader has taken them over.
 *
 * An attempt starts when its intent, which this node has proposed, is applied for the first
 * time; nothing else starts one. A node that left a group and joins it again applies old
 * intents once more, and those must not run a second time: so each proposal is expected once.
 * It runs on a pool thread against one back end. Its outcome is proposed here or sent to
 * the leader, again and again, until the log has it.
 *
 * Thread safety: decision thread only.
 */
#ifndef RUDDERWAY_NODE_RUNS_H
#define RUDDERWAY_NODE_RUNS_H

#include "node/calls.h"

runs_t *runs_new(void);
void runs_free(runs_t *runs);
void runs_tick(node_t *node);

/** Expects the intent that is about to be proposed; only expected attempts are started. */
void runs_expect(node_t *node, const command_t *intent);
/** Starts the attempt that @p intent (applied) names. */
void runs_start(node_t *node, const group_t *group, const command_t *intent);
/** True if this node executes the attempt or holds its unsettled outcome. */
bool runs_has(const node_t *node, const char *program, uint32_t call, uint32_t attempt);
/** Text so far of a running attempt, or NULL; @p attempt receives which. */
const GString *runs_text(const node_t *node, const char *program, uint32_t call, uint32_t *attempt);
/** Gives up the running attempts of @p program and its sub-agents. */
void runs_cancel(node_t *node, const char *program);
/** The log has settled the attempt: forget it. */
void runs_settled(node_t *node, const char *program, uint32_t call, uint32_t attempt);
/** A leader has acknowledged the outcome @p id. */
void runs_acknowledged(node_t *node, uint64_t id);
/** Attempts executing now, of one tenant or, if NULL, of all. */
unsigned runs_count(const node_t *node, const char *tenant);

#endif
