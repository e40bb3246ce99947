/**
 * @file budget_decision.h
 * Whether a program's budget holds a call, decided over replicas that may each have missed some
 * of the program's charges. No single replica's sum will do, and neither will a majority of
 * replicas each within the budget: each may lack another charge.
 *
 * Every replica takes the reserve first and answers with its charges in short.
 *
 * 1. If a quorum of replicas answers the same summary, that is the sum. Of two calls that were
 *    both decided so, the one that came later to a replica of both quorums counts the other.
 * 2. Otherwise the charges themselves are read, from a quorum of those that took the reserve, and
 *    joined; a settled charge goes before its reserve. What is read after the reserve was taken
 *    holds every call that came before it at any of these replicas.
 *
 * So of any calls of a program, in whatever order, one counts all others that were granted.
 *
 * Decision code: no I/O, clock or thread.
 */
#ifndef RUDDERWAY_CORE_BUDGET_BUDGET_DECISION_H
#define RUDDERWAY_CORE_BUDGET_BUDGET_DECISION_H

#include "core/budget/budget_table.h"

typedef enum { BUDGET_GRANTED, BUDGET_REFUSED, BUDGET_UNDECIDED } budget_decision_t;

/** Decides by @p count replicas' summaries, each taken with the reserve in it. */
budget_decision_t budget_decide(const budget_summary_t *summaries, unsigned count, unsigned quorum,
                                uint64_t budget);

#endif
