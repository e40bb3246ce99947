/**
 * @file calls_state.h
 * What calls.c and call_outcomes.c share; for these two only.
 *
 * Thread safety: decision thread only.
 */
#ifndef RUDDERWAY_NODE_CALLS_STATE_H
#define RUDDERWAY_NODE_CALLS_STATE_H

#include "node/partitions.h"

/** Another attempt of a call, due later. */
typedef struct {
    command_t *intent;
    int64_t due_ms;
} delayed_retry_t;

struct calls {
    GPtrArray *held;    /**< Of held_t. */
    GPtrArray *retries; /**< Of delayed_retry_t. */
    retry_budget_t retry_budget;
    int64_t next_scan_ms;
};

void calls_retry_free(gpointer data);
/** Proposes the attempts that are due. */
void calls_propose_due_retries(node_t *node);

#endif
