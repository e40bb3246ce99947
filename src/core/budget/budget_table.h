/**
 * @file budget_table.h
 * What the calls of each program may have spent of its budget. A call reserves the most it can
 * make before it is sent to an engine, and is settled with what it made. A call whose end is
 * unknown keeps its reserve. Each replica decides on its own table; a reserve holds once a
 * majority of replicas granted it, and any two majorities share one that sees both.
 *
 * Decision code: no I/O, clock or thread; times are milliseconds of the caller's steady clock.
 */
#ifndef RUDDERWAY_CORE_BUDGET_BUDGET_TABLE_H
#define RUDDERWAY_CORE_BUDGET_BUDGET_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** One call's part of its program's budget, in tokens. */
typedef struct {
    char *program;
    char *call; /**< Id of the call's attempt. */
    uint64_t most;
    uint64_t spent; /**< What it made; only if settled. */
    bool settled;
} budget_charge_t;

typedef struct {
    GHashTable *programs; /**< Program id to its charges. */
} budget_table_t;

void budget_charge_clear(budget_charge_t *charge);

void budget_table_init(budget_table_t *table);
void budget_table_clear(budget_table_t *table);

/**
 * Reserves @p most tokens for @p call if the program's charges and these stay within @p budget.
 * A call that holds a reserve already keeps it. False: the budget does not hold them.
 */
bool budget_table_reserve(budget_table_t *table, const char *program, const char *call,
                          uint64_t most, uint64_t budget, uint64_t now);
/** Replaces the reserve of @p call by what it made. */
void budget_table_settle(budget_table_t *table, const char *program, const char *call,
                         uint64_t spent, uint64_t now);
/** Takes over a charge that another replica holds. */
void budget_table_merge(budget_table_t *table, const budget_charge_t *charge, uint64_t now);
/** True if merging @p charge would change nothing. */
bool budget_table_covers(const budget_table_t *table, const budget_charge_t *charge);
/** Sum of what the program's calls made or may still make. */
uint64_t budget_table_charged(const budget_table_t *table, const char *program);
/** Forgets programs without a charge since @p before. */
void budget_table_expire(budget_table_t *table, uint64_t before);
/** Calls @p visit with each charge. */
void budget_table_each(const budget_table_t *table,
                       void (*visit)(void *user, const budget_charge_t *charge), void *user);

#endif
