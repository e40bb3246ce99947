/**
 * @file reconciliation.h
 * When a complete member of the store group compares its records with those of other members and
 * copies what it lacks.
 *
 * A quorum acknowledges a record that the other members may have missed: they were down, cut off
 * or had no space. Quorums of later operations make up for that, except for the expiry of a chain:
 * a new turn extends the expiry of its ancestors only on members that have all turns between. A
 * member therefore compares its records after each event that may have made it miss some, and as
 * long as it knows of a missing ancestor. Without either it sends nothing.
 *
 * Decision code: no I/O, clock or thread; times are in ms of the caller's steady clock.
 */
#ifndef RUDDERWAY_CORE_QUORUM_RECONCILIATION_H
#define RUDDERWAY_CORE_QUORUM_RECONCILIATION_H

#include <stdbool.h>
#include <stdint.h>

/** Why a member may lack records. */
typedef enum {
    RECONCILE_RESTARTED,
    RECONCILE_GATEWAY_CONNECTED, /**< It may have been out of reach before. */
    RECONCILE_WRITE_FAILED,
    RECONCILE_NO_SPACE,         /**< A turn was refused. */
    RECONCILE_ANCESTOR_MISSING, /**< A stored turn's parent is missing. */
    RECONCILE_REASONS,
} reconcile_reason_t;

typedef struct {
    bool requested;
    reconcile_reason_t requested_reason; /**< Of the earliest request. */
    bool running;
    reconcile_reason_t reason; /**< Of the latest run. */
    uint64_t started_at;       /**< Of the latest run; 0: none yet. */
    uint64_t ended_at;         /**< Of the latest run; 0: none yet. */
    uint64_t missing_since;    /**< An ancestor has been missing since then; 0: none is. */
} reconciliation_t;

/** Name of a reason, for logs. */
const char *reconcile_reason_name(reconcile_reason_t reason);
/** Requests a run; one that is under way may have compared too early. */
void reconciliation_request(reconciliation_t *reconciliation, reconcile_reason_t reason);
/** Records whether an ancestor of a stored turn is missing. */
void reconciliation_observe(reconciliation_t *reconciliation, bool ancestor_missing, uint64_t now);
/** True if a run should start. */
bool reconciliation_is_due(const reconciliation_t *reconciliation, uint64_t now);
void reconciliation_start(reconciliation_t *reconciliation, uint64_t now);
void reconciliation_end(reconciliation_t *reconciliation, uint64_t now);

#endif
