/**
 * @file digest_buckets.h
 * Divides records into buckets by a hash of their key. A bucket's digest is the exclusive or of its
 * records' hashes, so that a table can update it incrementally as records are added and removed
 * instead of hashing all records for each comparison.
 *
 * Decision code: no I/O, clock or thread.
 */
#ifndef RUDDERWAY_CORE_DIGEST_DIGEST_BUCKETS_H
#define RUDDERWAY_CORE_DIGEST_DIGEST_BUCKETS_H

#include <stdint.h>

/**
 * With more buckets, fewer equal records share a bucket with a differing one and are exchanged
 * needlessly, but each bucket adds 8 bytes to a digest. With 512, a table of 10,000 records of
 * which ten differ sends some 200 instead of all, and its digest takes 4 KB.
 */
enum { DIGEST_BUCKETS = 512 };

typedef struct {
    uint64_t digests[DIGEST_BUCKETS];
    uint32_t records[DIGEST_BUCKETS]; /**< Number of records by bucket. */
} digest_buckets_t;

uint16_t digest_bucket_of(const char *key);
/** Hash of a record by its key and, for mutable records, its @p state. */
uint64_t digest_of_record(const char *key, uint64_t state);

#endif
