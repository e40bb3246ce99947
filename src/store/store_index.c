/*
 * Design. A member in catch-up sends a digest of the records on its disk
 * (core/digest/record_digest.h). For the buckets that differ it receives the ids of the turns, and
 * the charges themselves. The index is requested in pages of whole buckets, which bounds the
 * buffers on both sides: the index of 70,000 charges, sent at once by six members, took 16 MB each
 * of a member's 58 MB. Ids come from callers and may be long, so that a page is bounded in bytes as
 * well. Records added to a bucket after its page was sent need no second page:
 * gateways write them to the requesting node as well, since it already is a member.
 */
#include "store/store.h"

#include "core/digest/record_digest.h"

#include <string.h>

/** Maxima of a page; a page of a single bucket may exceed them. */
enum {
    INDEX_PAGE_MAX_RECORDS = 2000, /**< Some 150 KB; 90,000 records take 45 pages. */
    INDEX_PAGE_MAX_BYTES = 1024 * 1024,
    CHARGE_OVERHEAD_BYTES = 40, /**< Estimated, of an encoded charge without its ids. */
    ID_OVERHEAD_BYTES = 5,      /**< Estimated, of an encoded id. */
};

/** A response under construction and the digests that select its records. */
typedef struct {
    store_t *store;
    message_t response;
    record_digest_t local;
    record_digest_t remote;
    uint64_t bytes[DIGEST_BUCKETS]; /**< Estimated, of the records that differ, encoded. */
    unsigned first;                 /**< First bucket of the page. */
    unsigned end;                   /**< Bucket after the last of the page. */
} index_t;

static bool turns_differ(const index_t *index, unsigned bucket) {
    return index->local.turns[bucket] != index->remote.turns[bucket];
}

static bool charges_differ(const index_t *index, unsigned bucket) {
    return index->local.charges[bucket] != index->remote.charges[bucket];
}

static unsigned differing_records(const index_t *index, unsigned bucket) {
    unsigned records = 0;
    if (turns_differ(index, bucket))
        records += index->store->turns.buckets->records[bucket];
    if (charges_differ(index, bucket))
        records += index->store->budgets.buckets->records[bucket];
    return records;
}

static void measure_charge(void *user, const budget_charge_t *charge) {
    index_t *index = user;
    if (charges_differ(index, charge->bucket))
        index->bytes[charge->bucket] +=
            CHARGE_OVERHEAD_BYTES + strlen(charge->program) + strlen(charge->call);
}

static void measure_turns(index_t *index, unsigned bucket) {
    const GPtrArray *entries = index->store->turns.by_bucket[bucket];
    for (guint i = 0; i < entries->len; i++) {
        const turn_entry_t *entry = g_ptr_array_index(entries, i);
        index->bytes[bucket] += ID_OVERHEAD_BYTES + strlen(entry->turn.id);
    }
}

/** Estimates the size of the records that differ, by bucket from @p first on. */
static void measure_buckets(index_t *index, unsigned first) {
    bool any_charge = false;
    for (unsigned bucket = first; bucket < DIGEST_BUCKETS; bucket++) {
        if (turns_differ(index, bucket))
            measure_turns(index, bucket);
        any_charge = any_charge || charges_differ(index, bucket);
    }
    if (any_charge)
        budget_table_each(&index->store->budgets, NULL, measure_charge, index);
}

/** Determines the buckets of the page; returns the number of its records. Page 0: all buckets. */
static unsigned choose_page(index_t *index, const message_t *request) {
    bool unpaged = request->page == 0;
    unsigned records = 0;
    uint64_t bytes = 0;
    index->first = unpaged ? 0 : request->page - 1;
    measure_buckets(index, index->first);
    for (index->end = index->first; index->end < DIGEST_BUCKETS; index->end++) {
        unsigned more = differing_records(index, index->end);
        uint64_t more_bytes = index->bytes[index->end];
        bool fits =
            records + more <= INDEX_PAGE_MAX_RECORDS && bytes + more_bytes <= INDEX_PAGE_MAX_BYTES;
        if (!unpaged && records > 0 && !fits)
            break;
        records += more;
        bytes += more_bytes;
    }
    index->response.page = index->end < DIGEST_BUCKETS ? index->end + 1 : 0;
    return records;
}

static bool in_page(const index_t *index, unsigned bucket) {
    return bucket >= index->first && bucket < index->end;
}

static void add_charge(void *user, const budget_charge_t *charge) {
    index_t *index = user;
    if (!in_page(index, charge->bucket) || !charges_differ(index, charge->bucket))
        return;
    budget_charge_t copy = budget_charge_copy(charge);
    g_array_append_val(index->response.charges, copy);
}

static void add_turns(index_t *index, unsigned bucket) {
    const GPtrArray *entries = index->store->turns.by_bucket[bucket];
    for (guint i = 0; i < entries->len; i++) {
        const turn_entry_t *entry = g_ptr_array_index(entries, i);
        g_ptr_array_add(index->response.ids, g_strdup(entry->turn.id));
    }
}

static void add_records(index_t *index) {
    bool any_charge = false;
    for (unsigned bucket = index->first; bucket < index->end; bucket++) {
        if (turns_differ(index, bucket))
            add_turns(index, bucket);
        any_charge = any_charge || charges_differ(index, bucket);
    }
    if (any_charge)
        budget_table_each(&index->store->budgets, NULL, add_charge, index);
}

void store_send_index(store_t *store, frame_connection_t *connection, const message_t *request) {
    if (request->page <= 1)
        store_remove_expired(store);
    index_t index = {.store = store};
    message_init(&index.response, RESPONSE_INDEX);
    index.response.number = request->number;
    index.response.generation = store->complete_generation;
    record_digest_compute(&index.local, &store->turns, &store->budgets);
    record_digest_decode(&index.remote, request->digest);
    if (choose_page(&index, request) > 0)
        add_records(&index);
    frame_connection_send(connection, message_encode(&index.response));
    message_clear(&index.response);
}
