#include "core/digest/digest_buckets.h"

#include <string.h>
#include <xxhash.h>

enum { BUCKET_SEED = 1, RECORD_SEED = 2 };

uint16_t digest_bucket_of(const char *key) {
    return (uint16_t)(XXH64(key, strlen(key), BUCKET_SEED) % DIGEST_BUCKETS);
}

uint64_t digest_of_record(const char *key, uint64_t state) {
    return XXH64(key, strlen(key), RECORD_SEED + state);
}
