#include "core/quorum/copy_claims.h"

#include <stdbool.h>

enum { NOBODY = -1 };

/** A record that some source has named. */
typedef struct {
    char *id;
    uint64_t holders; /**< One bit for each source that holds it. */
    int asked_of;     /**< The source that was asked for it; NOBODY. */
    bool here;
} claim_t;

typedef struct {
    GQueue *queue; /**< Of claim_t: named by it and not looked at yet; a record may stand twice. */
    unsigned left;
} source_t;

struct copy_claims {
    GHashTable *claims; /**< Id to claim_t, which it owns. */
    unsigned count;
    source_t sources[COPY_SOURCES_MAXIMUM];
    uint64_t looks;
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
    claim->asked_of = NOBODY;
    g_hash_table_insert(claims->claims, claim->id, claim);
    return claim;
}

void copy_claims_add(copy_claims_t *claims, unsigned source, const char *id) {
    claim_t *claim = obtain_claim(claims, id);
    claims->looks++;
    if (claim->here || holds(claim, source))
        return;
    claim->holders |= (uint64_t)1 << source;
    claims->sources[source].left++;
    g_queue_push_tail(claims->sources[source].queue, claim);
}

const char *copy_claims_take(copy_claims_t *claims, unsigned source) {
    GQueue *queue = claims->sources[source].queue;
    while (!g_queue_is_empty(queue)) {
        claim_t *claim = g_queue_pop_head(queue);
        claims->looks++;
        if (claim->here || claim->asked_of != NOBODY || !holds(claim, source))
            continue;
        claim->asked_of = (int)source;
        return claim->id;
    }
    return NULL;
}

void copy_claims_arrived(copy_claims_t *claims, const char *id) {
    claim_t *claim = g_hash_table_lookup(claims->claims, id);
    if (claim == NULL || claim->here)
        return;
    claim->here = true;
    for (unsigned i = 0; i < claims->count; i++)
        claims->sources[i].left -= holds(claim, i);
}

/** The source holds the record no more. */
static void drop_holder(copy_claims_t *claims, claim_t *claim, unsigned source) {
    if (claim->here || !holds(claim, source))
        return;
    claim->holders &= ~((uint64_t)1 << source);
    claims->sources[source].left--;
}

/** Lets any of its holders be asked for a record again. */
static void reopen(copy_claims_t *claims, claim_t *claim) {
    claim->asked_of = NOBODY;
    for (unsigned i = 0; i < claims->count && !claim->here; i++)
        if (holds(claim, i))
            g_queue_push_tail(claims->sources[i].queue, claim);
}

void copy_claims_lacks(copy_claims_t *claims, unsigned source, const char *id) {
    claim_t *claim = g_hash_table_lookup(claims->claims, id);
    if (claim == NULL)
        return;
    drop_holder(claims, claim, source);
    if (claim->asked_of == (int)source)
        reopen(claims, claim);
}

void copy_claims_reset(copy_claims_t *claims, unsigned source) {
    g_queue_clear(claims->sources[source].queue);
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, claims->claims);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        claim_t *claim = value;
        claims->looks++;
        drop_holder(claims, claim, source);
        if (claim->asked_of == (int)source)
            reopen(claims, claim);
    }
}

unsigned copy_claims_left(const copy_claims_t *claims, unsigned source) {
    return claims->sources[source].left;
}

uint64_t copy_claims_looks(const copy_claims_t *claims) {
    return claims->looks;
}
