/**
 * @file record_digest.h
 * Summary of the records that a replica has on disk: the bucket digests of its turns and charges.
 * Two replicas compare their summaries and exchange only the records of buckets that differ.
 *
 * Decision code: no I/O, clock or thread.
 */
#ifndef RUDDERWAY_CORE_DIGEST_RECORD_DIGEST_H
#define RUDDERWAY_CORE_DIGEST_RECORD_DIGEST_H

#include "core/budget/budget_table.h"
#include "core/digest/digest_buckets.h"
#include "core/turns/turn_table.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
    uint64_t turns[DIGEST_BUCKETS];
    uint64_t charges[DIGEST_BUCKETS];
} record_digest_t;

/** Digest of the records on disk; @p budgets must come from budget_table_init_replica. */
void record_digest_compute(record_digest_t *digest, const turn_table_t *turns,
                           const budget_table_t *budgets);
/** True if the bucket of turn @p id is equal in both. */
bool record_digest_same_turns(const record_digest_t *a, const record_digest_t *b, const char *id);
/** True if the bucket of the charge of call @p call is equal in both. */
bool record_digest_same_charges(const record_digest_t *a, const record_digest_t *b,
                                const char *call);

GBytes *record_digest_encode(const record_digest_t *digest);
/** False if @p bytes is not a digest; @p digest is then that of empty tables. */
bool record_digest_decode(record_digest_t *digest, GBytes *bytes);

#endif
