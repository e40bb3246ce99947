#include "core/digest/record_digest.h"

#include <string.h>

void record_digest_compute(record_digest_t *digest, const turn_table_t *turns,
                           const budget_table_t *budgets) {
    memcpy(digest->turns, turns->buckets->digests, sizeof digest->turns);
    memcpy(digest->charges, budgets->buckets->digests, sizeof digest->charges);
}

bool record_digest_same_turns(const record_digest_t *a, const record_digest_t *b, const char *id) {
    unsigned bucket = digest_bucket_of(id);
    return a->turns[bucket] == b->turns[bucket];
}

bool record_digest_same_charges(const record_digest_t *a, const record_digest_t *b,
                                const char *call) {
    unsigned bucket = digest_bucket_of(call);
    return a->charges[bucket] == b->charges[bucket];
}

/** Big-endian, so that the encoding is the same on all architectures. */
static void put_words(uint8_t *out, const uint64_t *words) {
    for (unsigned i = 0; i < DIGEST_BUCKETS; i++) {
        uint64_t word = GUINT64_TO_BE(words[i]);
        memcpy(out + i * sizeof word, &word, sizeof word);
    }
}

static void get_words(uint64_t *words, const uint8_t *in) {
    for (unsigned i = 0; i < DIGEST_BUCKETS; i++) {
        uint64_t word;
        memcpy(&word, in + i * sizeof word, sizeof word);
        words[i] = GUINT64_FROM_BE(word);
    }
}

GBytes *record_digest_encode(const record_digest_t *digest) {
    uint8_t *out = g_malloc(sizeof *digest);
    put_words(out, digest->turns);
    put_words(out + sizeof digest->turns, digest->charges);
    return g_bytes_new_take(out, sizeof *digest);
}

bool record_digest_decode(record_digest_t *digest, GBytes *bytes) {
    *digest = (record_digest_t){0};
    gsize length = 0;
    const uint8_t *in = bytes == NULL ? NULL : g_bytes_get_data(bytes, &length);
    if (length != sizeof *digest)
        return false;
    get_words(digest->turns, in);
    get_words(digest->charges, in + sizeof digest->turns);
    return true;
}
