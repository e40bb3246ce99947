/**
 * @file call_planning.h
 * Where a call is to run, and what it may cost at most: fills in the intent that goes into the log.
 *
 * Thread safety: decision thread only.
 */
#ifndef RUDDERWAY_NODE_CALL_PLANNING_H
#define RUDDERWAY_NODE_CALL_PLANNING_H

#include "node/operation.h"
#include "node/partitions.h"

/** Of a call's request; a second one with the same number must have the same. */
uint64_t call_planning_digest(const operation_t *operation);
/** The first attempt of a call, of any kind. */
error_code_t call_planning_first(node_t *node, const program_t *program,
                                 const operation_t *operation, command_t *intent);
/** Chooses the back end of a model call other than @p avoid, and what it may cost at most. */
error_code_t call_planning_model(node_t *node, const program_t *program, command_t *intent,
                                 uint32_t output_tokens, const char *avoid);
/** Chooses the back end of a tool call other than @p avoid. */
error_code_t call_planning_tool(node_t *node, const program_t *program, command_t *intent,
                                const char *service, const char *avoid);

#endif
