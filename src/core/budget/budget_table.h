/**
 * @file budget_table.h
 * One replica's view of the charges to each program's budget. A call reserves the maximum number
 * of tokens that it can generate before it is sent to an engine, and is settled with the tokens
 * that it generated. A call whose end is unknown keeps its reserve. Replicas record every reserve;
 * whether the budget covers it is decided over a quorum, see budget_decision.h.
 *
 * Decision code: no I/O, clock or threads; times are ms of the caller's steady clock.
 */
#ifndef RUDDERWAY_CORE_BUDGET_BUDGET_TABLE_H
#define RUDDERWAY_CORE_BUDGET_BUDGET_TABLE_H

#include "core/digest/digest_buckets.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Charge of one call to its program's budget, in tokens. */
typedef struct {
    char *program;
    char *call;     /**< Call id; identifies one attempt of a caller. */
    uint64_t most;  /**< Maximum tokens that the call can generate. */
    uint64_t spent; /**< Tokens generated; only if settled. */
    bool settled;
    bool durable;    /**< Replicas only: on disk in its current state. */
    uint16_t bucket; /**< Replicas only: digest bucket of the call; see digest_buckets.h. */
} budget_charge_t;

typedef struct {
    GHashTable *programs; /**< Program id to its charges. */
    digest_buckets_t
        *buckets;     /**< Replicas only. Counts of all charges, digests of those on disk. */
    uint64_t charges; /**< Of all programs. */
} budget_table_t;

void budget_charge_clear(budget_charge_t *charge);
/** Deep copy. */
budget_charge_t budget_charge_copy(const budget_charge_t *charge);

void budget_table_init(budget_table_t *table);
/** As budget_table_init, for a table that other replicas copy from. */
void budget_table_init_replica(budget_table_t *table);
void budget_table_clear(budget_table_t *table);

/** Summary of a program's charges: equal tables have equal summaries. */
typedef struct {
    uint64_t charged; /**< Sum of the reserves and the settled charges. */
    uint64_t digest;  /**< Of the set of charges. */
} budget_summary_t;

/**
 * Records a reserve of @p most tokens for @p call; an existing charge is not changed. Returns the
 * program's summary including it.
 */
budget_summary_t budget_table_reserve(budget_table_t *table, const char *program, const char *call,
                                      uint64_t most, uint64_t now);
/** Replaces the reserve of @p call by the tokens spent. */
void budget_table_settle(budget_table_t *table, const char *program, const char *call,
                         uint64_t spent, uint64_t now);
/** Merges a charge of another replica. */
void budget_table_merge(budget_table_t *table, const budget_charge_t *other, uint64_t now);
/**
 * Records that the state @p written is on disk. A charge that is only in memory, because its write
 * is pending or has failed, is not included in digests, and budget_table_covers() is false for it.
 */
void budget_table_mark_durable(budget_table_t *table, const budget_charge_t *written);
/**
 * True if merging @p charge would change nothing; in a replica's table the charge must be on disk
 * as well.
 */
bool budget_table_covers(const budget_table_t *table, const budget_charge_t *charge);
/**
 * True if records of the program's charges may have been written before @p before; these charges
 * must be written again, and count as written at @p now.
 */
bool budget_table_begin_rewrite(budget_table_t *table, const char *program, uint64_t before,
                                uint64_t now);
/** A charge of the program could not be written: begin_rewrite is due. */
void budget_table_rewrite_failed(budget_table_t *table, const char *program);
bool budget_table_contains(const budget_table_t *table, const char *program, const char *call);
/** Estimated memory use of the charges. */
uint64_t budget_table_bytes(const budget_table_t *table);
/** Sum of the reserves and the settled charges of the program. */
uint64_t budget_table_charged(const budget_table_t *table, const char *program);
/** Removes programs without a change since @p before. */
void budget_table_expire(budget_table_t *table, uint64_t before);
/** Calls @p visit with each charge of @p program, or of all if it is NULL. */
void budget_table_each(const budget_table_t *table, const char *program,
                       void (*visit)(void *user, const budget_charge_t *charge), void *user);

#endif
