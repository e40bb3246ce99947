/**
 * @file calls.h
 * The owner's side of operations: programs whose partition this node leads.
 *
 * An operation is checked against the replicated state, proposed, and answered once the log
 * has applied it. A call goes through two log entries: the intent, before any byte leaves for
 * a back end, and the result. Between them the runner named in the intent, usually this node,
 * executes it (runs.h). Callers that ask for a call that is under way wait for the same
 * result; a call number that comes before its turn is held for a while.
 *
 * What happens when things fail between the two entries:
 *  - the leader is lost: the new leader waits for the runner, which reports to whoever leads;
 *  - the runner is lost: a repeatable call gets a new attempt, any other an unknown outcome;
 *  - no connection came about: provably not run, so any call may be tried elsewhere.
 *
 * Thread safety: decision thread only.
 */
#ifndef RUDDERWAY_NODE_CALLS_H
#define RUDDERWAY_NODE_CALLS_H

#include "node/operation.h"
#include "node/partitions.h"

calls_t *calls_new(void);
void calls_free(calls_t *calls);
void calls_tick(node_t *node);

/** Handles an operation; it stays the caller's. The answer goes to its entry. */
void calls_receive(node_t *node, const operation_t *operation);
/** True if the log of @p group still waits for the outcome that @p result reports. */
bool calls_is_open(const group_t *group, const command_t *result);
/** Handles the outcome of an attempt, for this node as leader; consumes @p result. */
void calls_settle(node_t *node, group_t *group, command_t *result);
/** Passes a piece of a running call's answer on to whoever waits for it. */
void calls_chunk(node_t *node, const char *program, uint32_t call, uint32_t attempt,
                 uint64_t offset, const char *data, size_t length);

/** Hears of every command that the log of @p group applied. */
void calls_applied(node_t *node, group_t *group, const command_t *command, error_code_t error);
void calls_leadership_gained(node_t *node, group_t *group);
void calls_leadership_lost(node_t *node, const group_t *group);
/** Looks for calls whose runner is gone. */
void calls_runner_lost(node_t *node, group_t *group);

/** The program as JSON, with its calls if @p whole. */
json_t *calls_program_to_json(const program_t *program, bool whole);
unsigned calls_waiting(const node_t *node);

#endif
