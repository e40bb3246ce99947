/**
 * @file budget_table.h
 * What the calls of each program may have spent of its budget, as one replica knows it. A call
 * reserves the most it can make before it is sent to an engine, and is settled with what it made.
 * A call whose end is unknown keeps its reserve. Replicas take every reserve; whether the budget
 * holds it is decided over a quorum of them, see budget_decision.h.
 *
 * Decision code: no I/O, clock or thread; times are milliseconds of the caller's steady clock.
 */
#ifndef RUDDERWAY_CORE_BUDGET_BUDGET_TABLE_H
#define RUDDERWAY_CORE_BUDGET_BUDGET_TABLE_H

#include "core/digest/digest_buckets.h"

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
    bool kept;       /**< In a replica's table: it is on disk as it stands. */
    uint16_t bucket; /**< In a replica's table: of its call; see digest_buckets.h. */
} budget_charge_t;

typedef struct {
    GHashTable *programs;      /**< Program id to its charges. */
    digest_buckets_t *buckets; /**< A replica's: records are all, digests those of kept charges. */
    uint64_t charges;          /**< Of all programs. */
} budget_table_t;

void budget_charge_clear(budget_charge_t *charge);
/** A copy with strings of its own. */
budget_charge_t budget_charge_copy(const budget_charge_t *charge);

void budget_table_init(budget_table_t *table);
/** As budget_table_init, for a table that other replicas copy from. */
void budget_table_init_replica(budget_table_t *table);
void budget_table_clear(budget_table_t *table);

/** A program's charges in short: equal tables have equal summaries. */
typedef struct {
    uint64_t charged; /**< Sum of what the calls made or may still make. */
    uint64_t digest;  /**< Of the set of charges. */
} budget_summary_t;

/**
 * Takes a reserve of @p most tokens for @p call; a call that is known already stays as it is.
 * Returns the program's charges with it.
 */
budget_summary_t budget_table_reserve(budget_table_t *table, const char *program, const char *call,
                                      uint64_t most, uint64_t now);
/** Replaces the reserve of @p call by what it made. */
void budget_table_settle(budget_table_t *table, const char *program, const char *call,
                         uint64_t spent, uint64_t now);
/** Takes over a charge that another replica holds. */
void budget_table_merge(budget_table_t *table, const budget_charge_t *other, uint64_t now);
/**
 * Charge @p written is on disk now, or was read from there. What is only in memory, because its
 * write is under way or has failed, is no copy that counts: it is in no digest, and is not covered.
 */
void budget_table_note_kept(budget_table_t *table, const budget_charge_t *written);
/** True if merging @p charge would change nothing, and a replica's own is on disk. */
bool budget_table_covers(const budget_table_t *table, const budget_charge_t *charge);
bool budget_table_knows(const budget_table_t *table, const char *program, const char *call);
/** Memory that the charges take, roughly. */
uint64_t budget_table_bytes(const budget_table_t *table);
/** Sum of what the program's calls made or may still make. */
uint64_t budget_table_charged(const budget_table_t *table, const char *program);
/** Forgets programs without a charge since @p before. */
void budget_table_expire(budget_table_t *table, uint64_t before);
/** Calls @p visit with each charge of @p program, or of all if it is NULL. */
void budget_table_each(const budget_table_t *table, const char *program,
                       void (*visit)(void *user, const budget_charge_t *charge), void *user);

#endif
