/*
 * Design. A member that copies what it lacks asks what differs from what it holds on disk
 * (core/digest/record_digest.h): ids of turns, and charges whole. The answer comes in pages of
 * whole buckets, each asked for by itself, so that neither side holds more than a page of it in its
 * buffers: sent at once by six members that held 70,000 charges, it took 16 MB each of a member's
 * 58 MB. A bucket is of its time: what is written into it later is also written to the asker, which
 * is a member by then.
 */
#include "store/store.h"

#include "core/digest/record_digest.h"

/**
 * Records of a page, but for one bucket that holds more: some 150 KB, half of a millisecond of 1
 * Gbit/s, and 45 pages for 90,000 records.
 */
enum { INDEX_PAGE_RECORDS = 2000 };

/** The answer in the making, and what decides what belongs into it. */
typedef struct {
    store_t *store;
    message_t response;
    record_digest_t own;
    record_digest_t theirs;
    unsigned first; /**< Bucket. */
    unsigned end;   /**< The bucket behind the last. */
} index_t;

static bool turns_differ(const index_t *index, unsigned bucket) {
    return index->own.turns[bucket] != index->theirs.turns[bucket];
}

static bool charges_differ(const index_t *index, unsigned bucket) {
    return index->own.charges[bucket] != index->theirs.charges[bucket];
}

static unsigned differing_records(const index_t *index, unsigned bucket) {
    unsigned records = 0;
    if (turns_differ(index, bucket))
        records += index->store->turns.buckets->records[bucket];
    if (charges_differ(index, bucket))
        records += index->store->budgets.buckets->records[bucket];
    return records;
}

/** Sets where the page ends; returns the number of its records. */
static unsigned choose_page(index_t *index, const message_t *request) {
    bool whole = request->page == 0;
    unsigned records = 0;
    index->first = whole ? 0 : request->page - 1;
    for (index->end = index->first; index->end < DIGEST_BUCKETS; index->end++) {
        unsigned more = differing_records(index, index->end);
        if (!whole && records > 0 && records + more > INDEX_PAGE_RECORDS)
            break;
        records += more;
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

static void add_records(index_t *index) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, index->store->turns.entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const turn_entry_t *entry = value;
        if (in_page(index, entry->bucket) && turns_differ(index, entry->bucket))
            g_ptr_array_add(index->response.ids, g_strdup(entry->turn.id));
    }
    budget_table_each(&index->store->budgets, NULL, add_charge, index);
}

void store_send_index(store_t *store, frame_connection_t *connection, const message_t *request) {
    if (request->page <= 1)
        store_forget_expired(store);
    index_t index = {.store = store};
    message_init(&index.response, RESPONSE_INDEX);
    index.response.number = request->number;
    index.response.generation = store->complete_in;
    record_digest_compute(&index.own, &store->turns, &store->budgets);
    record_digest_decode(&index.theirs, request->digest);
    if (choose_page(&index, request) > 0)
        add_records(&index);
    frame_connection_send(connection, message_encode(&index.response));
    message_clear(&index.response);
}
