/**
 * @file record_digest.h
 * A set of records in short, so that two replicas that hold nearly the same need exchange only
 * what differs: records fall into buckets by a hash of their key, and a bucket's digest is the sum
 * (by exclusive or) of its records' hashes. Equal digests mean equal buckets.
 *
 * Decision code: no I/O, clock or thread.
 */
#ifndef RUDDERWAY_CORE_DIGEST_RECORD_DIGEST_H
#define RUDDERWAY_CORE_DIGEST_RECORD_DIGEST_H

#include "core/budget/budget_table.h"
#include "core/turns/turn_table.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * With some ten records that differ, a table of 10,000 sends some 200 of them instead of all; the
 * digests themselves take 8 KB.
 */
enum { DIGEST_BUCKETS = 512 };

/** Turns and charges of one replica. */
typedef struct {
    uint64_t turns[DIGEST_BUCKETS];
    uint64_t charges[DIGEST_BUCKETS];
} record_digest_t;

/** The digest of what the two tables hold. */
void record_digest_compute(record_digest_t *digest, const turn_table_t *turns,
                           const budget_table_t *budgets);
/** True if the bucket of turn @p id is the same in both. */
bool record_digest_same_turns(const record_digest_t *a, const record_digest_t *b, const char *id);
/** True if the bucket of call @p call is the same in both. */
bool record_digest_same_charges(const record_digest_t *a, const record_digest_t *b,
                                const char *call);

GBytes *record_digest_encode(const record_digest_t *digest);
/** False if @p bytes is no digest; @p digest is then that of empty tables. */
bool record_digest_decode(record_digest_t *digest, GBytes *bytes);

#endif
