/**
 * @file budget_decision.h
 * Decides whether a program's budget covers a call. Each replica may have missed different charges,
 * so it is not sufficient that one replica, or each of a majority, has a sum within the budget.
 *
 * Each replica records the reserve first and responds with a summary of its charges.
 *
 * 1. If a quorum of replicas responds with the same summary, that sum is used. Any two such
 * quorums share a replica, so of two calls the one that arrives there later counts the other.
 * 2. Otherwise the charges themselves are read from a quorum of the replicas that recorded the
 * reserve, and merged; a settled charge replaces its reserve. As they are read after the reserve
 * was recorded, they include every call recorded earlier at any of these replicas.
 *
 * Hence, among the granted calls of a program, at least one was decided with all others counted,
 * and the budget is not exceeded.
 *
 * Decision code: no I/O, clock or threads.
 */
#ifndef RUDDERWAY_CORE_BUDGET_BUDGET_DECISION_H
#define RUDDERWAY_CORE_BUDGET_BUDGET_DECISION_H

#include "core/budget/budget_table.h"

typedef enum { BUDGET_GRANTED, BUDGET_REFUSED, BUDGET_UNDECIDED } budget_decision_t;

/** Decides by the summaries of @p count replicas, each including the call's reserve. */
budget_decision_t budget_decide(const budget_summary_t *summaries, unsigned count, unsigned quorum,
                                uint64_t budget);

#endif
