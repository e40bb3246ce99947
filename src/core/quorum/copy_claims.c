#include "core/quorum/copy_claims.h"

#include <stdbool.h>

enum { NO_SOURCE = -1 };

/** A record that at least one source listed. */
typedef struct {
    char *id;
    uint64_t holders;   /**< Bit set of the sources that hold it. */
    int requested_from; /**< The source that it is requested from, or NO_SOURCE. */
    bool arrived;
} claim_t;

typedef struct {
    GQueue *queue;    /**< Of claim_t: listed records to examine; may contain duplicates. */
    unsigned missing; /**< Listed records that have not arrived yet. */
} source_t;

struct copy_claims {
    GHashTable *claims; /**< Id to claim_t; owns the values. */
    unsigned count;
    source_t sources[COPY_SOURCES_MAXIMUM];
    uint64_t examined;
};

static void free_claim(gpointer data) {
    claim_t *claim = data;
    g_free(claim->id);
    g_free(claim);
}

copy_claims_t *copy_claims_new(unsigned sources) {
    copy_claims_t *claims = g_new0(copy_claims_t, 1);
    claims->claims = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_claim);
    claims->count = MIN(sources, (unsigned)COPY_SOURCES_MAXIMUM);
    for (unsigned i = 0; i < claims->count; i++)
        claims->sources[i].queue = g_queue_new();
    return claims;
}

void copy_claims_free(copy_claims_t *claims) {
    for (unsigned i = 0; i < claims->count; i++)
        g_queue_free(claims->sources[i].queue);
    g_hash_table_destroy(claims->claims);
    g_free(claims);
}

static bool holds(const claim_t *claim, unsigned source) {
    return (claim->holders >> source & 1) != 0;
}

static claim_t *obtain_claim(copy_claims_t *claims, const char *id) {
    claim_t *claim = g_hash_table_lookup(claims->claims, id);
    if (claim != NULL)
        return claim;
    claim = g_new0(claim_t, 1);
    claim->id = g_strdup(id);
    claim->requested_from = NO_SOURCE;
    g_hash_table_insert(claims->claims, claim->id, claim);
    return claim;
}

void copy_claims_add(copy_claims_t *claims, unsigned source, const char *id) {
    claim_t *claim = obtain_claim(claims, id);
    claims->examined++;
    if (claim->arrived || holds(claim, source))
        return;
    claim->holders |= (uint64_t)1 << source;
    claims->sources[source].missing++;
    g_queue_push_tail(claims->sources[source].queue, claim);
}

const char *copy_claims_take(copy_claims_t *claims, unsigned source) {
    GQueue *queue = claims->sources[source].queue;
    while (!g_queue_is_empty(queue)) {
        claim_t *claim = g_queue_pop_head(queue);
        claims->examined++;
        if (claim->arrived || claim->requested_from != NO_SOURCE || !holds(claim, source))
            continue;
        claim->requested_from = (int)source;
        return claim->id;
    }
    return NULL;
}

void copy_claims_arrived(copy_claims_t *claims, const char *id) {
    claim_t *claim = g_hash_table_lookup(claims->claims, id);
    if (claim == NULL || claim->arrived)
        return;
    claim->arrived = true;
    for (unsigned i = 0; i < claims->count; i++)
        claims->sources[i].missing -= holds(claim, i);
}

/** Removes the source from the holders of a record that has not arrived. */
static void drop_holder(copy_claims_t *claims, claim_t *claim, unsigned source) {
    if (claim->arrived || !holds(claim, source))
        return;
    claim->holders &= ~((uint64_t)1 << source);
    claims->sources[source].missing--;
}

/** Makes a record available to all its holders again. */
static void requeue(copy_claims_t *claims, claim_t *claim) {
    claim->requested_from = NO_SOURCE;
    for (unsigned i = 0; i < claims->count && !claim->arrived; i++)
        if (holds(claim, i))
            g_queue_push_tail(claims->sources[i].queue, claim);
}

void copy_claims_lacks(copy_claims_t *claims, unsigned source, const char *id) {
    claim_t *claim = g_hash_table_lookup(claims->claims, id);
    if (claim == NULL)
        return;
    drop_holder(claims, claim, source);
    if (claim->requested_from == (int)source)
        requeue(claims, claim);
}

void copy_claims_reset(copy_claims_t *claims, unsigned source) {
    g_queue_clear(claims->sources[source].queue);
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, claims->claims);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        claim_t *claim = value;
        claims->examined++;
        drop_holder(claims, claim, source);
        if (claim->requested_from == (int)source)
            requeue(claims, claim);
    }
}

unsigned copy_claims_left(const copy_claims_t *claims, unsigned source) {
    return claims->sources[source].missing;
}

uint64_t copy_claims_looks(const copy_claims_t *claims) {
    return claims->examined;
}
