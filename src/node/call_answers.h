/**
 * @file call_answers.h
 * What the owner of a program tells the entries: answers, refusals, pieces of running calls, and
 * who waits for which call. An answer for the own node goes by the mailbox too, so that nothing
 * is freed under the one who answers.
 *
 * Thread safety: decision thread only.
 */
#ifndef RUDDERWAY_NODE_CALL_ANSWERS_H
#define RUDDERWAY_NODE_CALL_ANSWERS_H

#include "node/operation.h"
#include "node/partitions.h"

call_answers_t *call_answers_new(void);
void call_answers_free(call_answers_t *answers);

/** Refuses @p operation, with a hint when to come back where that makes sense. */
void call_answers_refuse(node_t *node, const operation_t *operation, error_code_t error);
/** Answers with @p body, which it consumes. */
void call_answers_json(node_t *node, const operation_t *operation, json_t *body);
/** Answers with a settled call. */
void call_answers_call(node_t *node, const operation_t *operation, const program_t *program,
                       const call_t *call);
/** Lets the operation wait for a running call; its text so far is sent if it streams. */
void call_answers_wait(node_t *node, const operation_t *operation);
/** Answers everybody who waits for @p call, which is settled. */
void call_answers_settled(node_t *node, const program_t *program, const call_t *call);
/** Sends those who wait for calls of @p group elsewhere: this node leads it no more. */
void call_answers_drop(node_t *node, const group_t *group);
/** Calls that somebody waits for. */
unsigned call_answers_waiting(const node_t *node);

#endif
