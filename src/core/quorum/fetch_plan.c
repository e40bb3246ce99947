#include "core/quorum/fetch_plan.h"

#include <stdbool.h>

enum { NO_SOURCE = -1 };

/** A record that at least one source listed. */
typedef struct {
    char *id;
    uint64_t holders;   /**< Bit set of the sources that hold it. */
    int requested_from; /**< The source that it is requested from, or NO_SOURCE. */
    bool arrived;
} fetch_record_t;

typedef struct {
    GQueue *queue;    /**< Of fetch_record_t: listed records to examine; may contain duplicates. */
    unsigned missing; /**< Listed records that have not arrived yet. */
} source_t;

struct fetch_plan {
    GHashTable *records; /**< Id to fetch_record_t; owns the values. */
    unsigned count;
    source_t sources[FETCH_SOURCES_MAX];
    uint64_t examined;
};

static void free_record(gpointer data) {
    fetch_record_t *record = data;
    g_free(record->id);
    g_free(record);
}

fetch_plan_t *fetch_plan_new(unsigned sources) {
    fetch_plan_t *plan = g_new0(fetch_plan_t, 1);
    plan->records = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_record);
    plan->count = MIN(sources, (unsigned)FETCH_SOURCES_MAX);
    for (unsigned i = 0; i < plan->count; i++)
        plan->sources[i].queue = g_queue_new();
    return plan;
}

void fetch_plan_free(fetch_plan_t *plan) {
    for (unsigned i = 0; i < plan->count; i++)
        g_queue_free(plan->sources[i].queue);
    g_hash_table_destroy(plan->records);
    g_free(plan);
}

static bool has_holder(const fetch_record_t *record, unsigned source) {
    return (record->holders >> source & 1) != 0;
}

static fetch_record_t *obtain_record(fetch_plan_t *plan, const char *id) {
    fetch_record_t *record = g_hash_table_lookup(plan->records, id);
    if (record != NULL)
        return record;
    record = g_new0(fetch_record_t, 1);
    record->id = g_strdup(id);
    record->requested_from = NO_SOURCE;
    g_hash_table_insert(plan->records, record->id, record);
    return record;
}

void fetch_plan_add(fetch_plan_t *plan, unsigned source, const char *id) {
    fetch_record_t *record = obtain_record(plan, id);
    plan->examined++;
    if (record->arrived || has_holder(record, source))
        return;
    record->holders |= (uint64_t)1 << source;
    plan->sources[source].missing++;
    g_queue_push_tail(plan->sources[source].queue, record);
}

const char *fetch_plan_next(fetch_plan_t *plan, unsigned source) {
    GQueue *queue = plan->sources[source].queue;
    while (!g_queue_is_empty(queue)) {
        fetch_record_t *record = g_queue_pop_head(queue);
        plan->examined++;
        if (record->arrived || record->requested_from != NO_SOURCE || !has_holder(record, source))
            continue;
        record->requested_from = (int)source;
        return record->id;
    }
    return NULL;
}

void fetch_plan_arrived(fetch_plan_t *plan, const char *id) {
    fetch_record_t *record = g_hash_table_lookup(plan->records, id);
    if (record == NULL || record->arrived)
        return;
    record->arrived = true;
    for (unsigned i = 0; i < plan->count; i++)
        plan->sources[i].missing -= has_holder(record, i);
}

/** Removes the source from the holders of a record that has not arrived. */
static void drop_holder(fetch_plan_t *plan, fetch_record_t *record, unsigned source) {
    if (record->arrived || !has_holder(record, source))
        return;
    record->holders &= ~((uint64_t)1 << source);
    plan->sources[source].missing--;
}

/** Makes a record available to all its holders again. */
static void requeue(fetch_plan_t *plan, fetch_record_t *record) {
    record->requested_from = NO_SOURCE;
    for (unsigned i = 0; i < plan->count && !record->arrived; i++)
        if (has_holder(record, i))
            g_queue_push_tail(plan->sources[i].queue, record);
}

void fetch_plan_not_found(fetch_plan_t *plan, unsigned source, const char *id) {
    fetch_record_t *record = g_hash_table_lookup(plan->records, id);
    if (record == NULL)
        return;
    drop_holder(plan, record, source);
    if (record->requested_from == (int)source)
        requeue(plan, record);
}

void fetch_plan_postpone(fetch_plan_t *plan, unsigned source, const char *id) {
    fetch_record_t *record = g_hash_table_lookup(plan->records, id);
    if (record != NULL && record->requested_from == (int)source)
        requeue(plan, record);
}

void fetch_plan_reset(fetch_plan_t *plan, unsigned source) {
    g_queue_clear(plan->sources[source].queue);
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, plan->records);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        fetch_record_t *record = value;
        plan->examined++;
        drop_holder(plan, record, source);
        if (record->requested_from == (int)source)
            requeue(plan, record);
    }
}

unsigned fetch_plan_missing(const fetch_plan_t *plan, unsigned source) {
    return plan->sources[source].missing;
}

uint64_t fetch_plan_examined(const fetch_plan_t *plan) {
    return plan->examined;
}
