#include "core/routing/backend.h"

#include <string.h>

enum {
    EJECTION_FAILURE_THRESHOLD = 2,
    EJECTION_BASE_MS = 500,
    EJECTION_MAX_MS = 10000,
};

struct backend_set {
    GPtrArray *backends; /**< Of backend_t, ordered by name. */
};

backend_record_t *backend_record_copy(const backend_record_t *record) {
    backend_record_t *copy = g_new0(backend_record_t, 1);
    *copy = *record;
    copy->name = g_strdup(record->name);
    copy->offers = g_strdup(record->offers);
    copy->zone = g_strdup(record->zone);
    copy->address = g_strdup(record->address);
    return copy;
}

static void clear_record(backend_record_t *record) {
    g_free(record->name);
    g_free(record->offers);
    g_free(record->zone);
    g_free(record->address);
}

void backend_record_free(backend_record_t *record) {
    clear_record(record);
    g_free(record);
}

static void backend_free(backend_t *backend) {
    clear_record(&backend->record);
    g_hash_table_unref(backend->prefixes);
    g_free(backend);
}

backend_set_t *backend_set_new(void) {
    backend_set_t *set = g_new0(backend_set_t, 1);
    set->backends = g_ptr_array_new_with_free_func((GDestroyNotify)backend_free);
    return set;
}

void backend_set_free(backend_set_t *set) {
    g_ptr_array_unref(set->backends);
    g_free(set);
}

backend_t *backend_set_find(const backend_set_t *set, const char *name) {
    for (guint i = 0; i < set->backends->len; i++) {
        backend_t *backend = g_ptr_array_index(set->backends, i);
        if (strcmp(backend->record.name, name) == 0)
            return backend;
    }
    return NULL;
}

const GPtrArray *backend_set_all(const backend_set_t *set) {
    return set->backends;
}

static gint compare_names(gconstpointer a, gconstpointer b) {
    const backend_t *left = *(const backend_t *const *)a;
    const backend_t *right = *(const backend_t *const *)b;
    return strcmp(left->record.name, right->record.name);
}

static bool is_listed(const GPtrArray *records, const backend_t *backend) {
    for (guint i = 0; i < records->len; i++) {
        const backend_record_t *record = g_ptr_array_index(records, i);
        if (strcmp(record->name, backend->record.name) == 0 &&
            strcmp(record->address, backend->record.address) == 0 &&
            record->port == backend->record.port)
            return true;
    }
    return false;
}

static void remove_unlisted(backend_set_t *set, const GPtrArray *records,
                            backend_change_t on_change, void *context) {
    for (guint i = set->backends->len; i > 0; i--) {
        const backend_t *backend = g_ptr_array_index(set->backends, i - 1);
        if (is_listed(records, backend))
            continue;
        on_change(context, backend, true);
        g_ptr_array_remove_index(set->backends, i - 1);
    }
}

static void add_backend(backend_set_t *set, const backend_record_t *record,
                        backend_change_t on_change, void *context) {
    backend_t *backend = g_new0(backend_t, 1);
    backend_record_t *copy = backend_record_copy(record);
    backend->record = *copy;
    g_free(copy);
    backend->leaving_announced = record->leaving;
    backend->prefixes = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    g_ptr_array_add(set->backends, backend);
    on_change(context, backend, false);
}

void backend_set_update(backend_set_t *set, const GPtrArray *records, backend_change_t on_change,
                        void *context) {
    remove_unlisted(set, records, on_change, context);
    for (guint i = 0; i < records->len; i++) {
        const backend_record_t *record = g_ptr_array_index(records, i);
        backend_t *existing = backend_set_find(set, record->name);
        if (existing == NULL) {
            add_backend(set, record, on_change, context);
            continue;
        }
        if (!record->leaving || existing->leaving_announced)
            continue;
        existing->leaving_announced = true;
        on_change(context, existing, false);
    }
    g_ptr_array_sort(set->backends, compare_names);
}

bool backend_is_available(const backend_t *backend, int64_t now_ms) {
    return !backend->leaving_announced && !backend->load.leaving &&
           now_ms >= backend->ejected_until_ms;
}

void backend_report_load(backend_t *backend, const load_report_t *report) {
    backend->load = *report;
    backend->sent_since_report = 0;
    backend->failures = 0;
}

void backend_call_started(backend_t *backend) {
    backend->in_flight++;
    backend->sent_since_report++;
}

void backend_unreachable(backend_t *backend, int64_t now_ms) {
    backend->failures++;
    if (backend->failures < EJECTION_FAILURE_THRESHOLD)
        return;
    unsigned doublings = MIN(backend->failures - EJECTION_FAILURE_THRESHOLD, 10U);
    backend->ejected_until_ms = now_ms + MIN(EJECTION_BASE_MS << doublings, EJECTION_MAX_MS);
}

void backend_call_finished(backend_t *backend, bool reachable, int64_t now_ms) {
    if (backend->in_flight > 0)
        backend->in_flight--;
    if (reachable)
        backend->failures = 0;
    else
        backend_unreachable(backend, now_ms);
}
