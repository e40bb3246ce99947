/**
 * @file record_digest.h
 * What a replica has on disk in short, so that two replicas that hold nearly the same need exchange
 * only what differs: the digests of the buckets of both tables. Equal digests mean equal buckets.
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

/** Turns and charges of one replica. */
typedef struct {
    uint64_t turns[DIGEST_BUCKETS];
    uint64_t charges[DIGEST_BUCKETS];
} record_digest_t;

/** The digest of what the two tables hold on disk; the charges must be those of a replica. */
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
