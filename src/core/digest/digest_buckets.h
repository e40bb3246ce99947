/**
 * @file digest_buckets.h
 * Buckets of records by a hash of their key. A bucket's digest is the sum (by exclusive or) of its
 * records' hashes, so that a table can keep it up to date as records come and go: to compute it
 * anew, a replica of 90,000 records would hash all of them for each page of an index.
 *
 * Decision code: no I/O, clock or thread.
 */
#ifndef RUDDERWAY_CORE_DIGEST_DIGEST_BUCKETS_H
#define RUDDERWAY_CORE_DIGEST_DIGEST_BUCKETS_H

#include <stdint.h>

/**
 * With some ten records that differ, a table of 10,000 sends some 200 of them instead of all; the
 * digests themselves take 4 KB.
 */
enum { DIGEST_BUCKETS = 512 };

typedef struct {
    uint64_t digests[DIGEST_BUCKETS];
    uint32_t records[DIGEST_BUCKETS]; /**< How many lie in each bucket. */
} digest_buckets_t;

/** The bucket of the record with @p key. */
uint16_t digest_bucket_of(const char *key);
/** Hash of a record: of its key, and of @p state if records change. */
uint64_t digest_of_record(const char *key, uint64_t state);

#endif
