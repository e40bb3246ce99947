#include "gateway/backends.h"

#include "common/event.h"
#include "gateway/backend_probe.h"

#include <string.h>
#include <xxhash.h>

enum {
    OVERDUE_LEAST_MS = 400, /**< A call without a word of an answer is overdue after this, */
    OVERDUE_TIMES = 5,      /**< or after so many times the usual. */
    SILENT_MS = 300,        /**< A back end that is up says something within this. */
    UNREACHABLE_MS = 1000,  /**< What a probe found counts for so long. */
    OVERDUE_TOLD_MS = 600,  /**< The others hear of it for so long, and again while it lasts. */
    SMOOTHING = 8,          /**< One answer moves the usual time by one part in so many. */
    IDLE_MAXIMUM = 32,
    SLOTS_USUAL = 12,
    /* Expected delay, in units of 0.1 ms. */
    AVOIDED_COST = 100000,    /**< Only if there is no other. */
    DOUBTED_COST = 500,       /**< The same, if so many are that the sign is doubtful. */
    NEW_CONNECTION_COST = 60, /**< It takes time, and is paid for. */
    SERVICE_SHARE_COST = 50,
    SERVICE_QUEUE_COST = 400,
    SERVICE_FAR_COST = 80,
    AVOIDED_SHARE = 3, /**< The sign is doubtful if more than one in so many are avoided. */
};

void backends_init(backends_t *backends, uv_loop_t *loop, const char *zone) {
    backends->loop = loop;
    backends->zone = g_strdup(zone);
    backends->by_instance = g_hash_table_new(g_str_hash, g_str_equal);
    backends->by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
    backends->connections_opened = 0;
    backends->changes = 0;
}

static void close_idle(backend_t *backend) {
    while (backend->idle->len > 0)
        http_client_close(g_ptr_array_steal_index(backend->idle, backend->idle->len - 1));
}

static void unref(backend_t *backend) {
    if (--backend->references > 0)
        return;
    backend_probe_stop(backend);
    close_idle(backend);
    g_queue_clear(&backend->unanswered);
    g_ptr_array_free(backend->idle, TRUE);
    backend_record_free(backend->record);
    g_free(backend);
}

void backend_release(backend_t *backend) {
    backend->under_way--;
    backend->owner->changes++;
    if (backend->gone || backend->record->leaving)
        close_idle(backend);
    unref(backend);
}

void backends_update(backends_t *backends, backend_record_t *record) {
    backend_t *backend = g_hash_table_lookup(backends->by_instance, record->instance);
    if (backend == NULL) {
        backend = g_new0(backend_t, 1);
        backend->loop = backends->loop;
        backend->references = 1;
        backend->idle = g_ptr_array_new();
        g_queue_init(&backend->unanswered);
        backend->record = record;
        backend->owner = backends;
        backend->id_hash = XXH64(record->instance, strlen(record->instance), 0);
        g_hash_table_insert(backends->by_instance, record->instance, backend);
        g_hash_table_insert(backends->by_hash, &backend->id_hash, backend);
        return;
    }
    g_hash_table_steal(backends->by_instance, record->instance);
    backend_record_free(backend->record);
    backend->record = record;
    g_hash_table_insert(backends->by_instance, record->instance, backend);
    if (record->leaving)
        close_idle(backend);
}

void backends_remove(backends_t *backends, const char *instance) {
    backend_t *backend = g_hash_table_lookup(backends->by_instance, instance);
    if (backend == NULL)
        return;
    g_hash_table_remove(backends->by_instance, instance);
    g_hash_table_remove(backends->by_hash, &backend->id_hash);
    backend->gone = true;
    close_idle(backend);
    unref(backend);
}

void backends_retain(backends_t *backends, GHashTable *instances) {
    GList *known = g_hash_table_get_keys(backends->by_instance);
    for (GList *item = known; item != NULL; item = item->next)
        if (!g_hash_table_contains(instances, item->data))
            backends_remove(backends, item->data);
    g_list_free(known);
}

backend_t *backends_find_hash(const backends_t *backends, uint64_t id_hash) {
    return g_hash_table_lookup(backends->by_hash, &id_hash);
}

void backends_clear(backends_t *backends) {
    GHashTable *none = g_hash_table_new(g_str_hash, g_str_equal);
    backends_retain(backends, none);
    g_hash_table_destroy(none);
    g_hash_table_destroy(backends->by_instance);
    g_hash_table_destroy(backends->by_hash);
    g_free(backends->zone);
}

unsigned backends_count(const backends_t *backends) {
    return g_hash_table_size(backends->by_instance);
}

bool backends_half_full(const backends_t *backends) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, backends->by_instance);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const backend_t *backend = value;
        unsigned slots = backend->record->slots > 0 ? backend->record->slots : SLOTS_USUAL;
        if (2 * (backend->under_way + backend->elsewhere) >= slots)
            return true;
    }
    return false;
}

static bool usable(const backend_t *backend, const backend_choice_t *choice) {
    if (backend->record->leaving || strcmp(backend->record->service, choice->service) != 0)
        return false;
    return choice->excluded == NULL ||
           !g_ptr_array_find((GPtrArray *)choice->excluded, backend, NULL);
}

static bool in_zone(const backends_t *backends, const backend_t *backend) {
    return strcmp(backend->record->zone, backends->zone) == 0;
}

/** True if some call has waited too long for the first word of its answer. */
static bool overdue(backend_t *backend, uint64_t now) {
    const uint64_t *oldest = g_queue_peek_head(&backend->unanswered);
    uint64_t patience = MAX(OVERDUE_LEAST_MS, OVERDUE_TIMES * (uint64_t)backend->signs.answer_ms);
    bool late = oldest != NULL && now > *oldest + patience;
    if (late && !backend->overdue)
        event_log(BACKEND_EJECTED, backend->record->instance, 0U, "overdue");
    backend->overdue = late;
    return late;
}

uint32_t backend_tell_out_ms(backend_t *backend) {
    uint64_t now = uv_now(backend->loop);
    uint32_t told = ejection_tell_ms(&backend->ejection, now);
    return overdue(backend, now) ? MAX(told, OVERDUE_TOLD_MS) : told;
}

/** True if it can't be connected to, or owes an answer and says nothing at all. */
static bool down(backend_t *backend, uint64_t now) {
    bool unreachable = backend->unreachable_at > backend->signs.heard_at &&
                       now < backend->unreachable_at + UNREACHABLE_MS;
    bool silent = now > backend->signs.heard_at + SILENT_MS;
    return unreachable || (silent && overdue(backend, now));
}

static bool avoided(const backends_t *backends, backend_t *backend) {
    uint64_t now = uv_now(backends->loop);
    return ejection_is_out(&backend->ejection, now) || down(backend, now) || overdue(backend, now);
}

/** What a back end that is avoided costs now. */
static unsigned avoided_cost(const backends_t *backends, const backend_choice_t *choice) {
    unsigned usable_count = 0;
    unsigned avoided_count = 0;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, backends->by_instance);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        if (!usable(value, choice))
            continue;
        usable_count++;
        avoided_count += avoided(backends, value);
    }
    return avoided_count * AVOIDED_SHARE > usable_count ? DOUBTED_COST : AVOIDED_COST;
}

static unsigned slots_of(const backend_t *backend, const backend_choice_t *choice) {
    unsigned slots = backend->record->slots > 0 ? backend->record->slots : choice->slots;
    return slots > 0 ? slots : SLOTS_USUAL;
}

static unsigned load_of(const backend_t *backend) {
    return backend->under_way + backend->elsewhere;
}

/** Expected delay at a back end, in 0.1 ms. */
static unsigned load_cost(const backends_t *backends, const backend_t *backend,
                          const backend_choice_t *choice) {
    unsigned slots = slots_of(backend, choice);
    unsigned calls = load_of(backend);
    unsigned beyond = calls >= slots ? calls - slots + 1 : 0;
    unsigned cost = calls * SERVICE_SHARE_COST + beyond * SERVICE_QUEUE_COST;
    if (backend->idle->len == 0)
        cost += NEW_CONNECTION_COST;
    if (!in_zone(backends, backend))
        cost += SERVICE_FAR_COST;
    return cost;
}

void backend_take(backend_t *backend) {
    backend->references++;
    backend->under_way++;
    backend->owner->changes++;
}

backend_t *backends_choose(backends_t *backends, const backend_choice_t *choice) {
    unsigned cost_of_avoided = avoided_cost(backends, choice);
    backend_t *best = NULL;
    unsigned best_cost = 0;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, backends->by_instance);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        backend_t *backend = value;
        if (!usable(backend, choice))
            continue;
        unsigned cost = load_cost(backends, backend, choice);
        if (avoided(backends, backend))
            cost += cost_of_avoided;
        if (best != NULL && cost >= best_cost)
            continue;
        best = backend;
        best_cost = cost;
    }
    if (best != NULL)
        backend_take(best);
    return best;
}

backend_t *backends_choose_engine(backends_t *backends, const backend_choice_t *choice,
                                  const engine_request_t *request) {
    engine_candidate_t *candidates = g_new(engine_candidate_t, backends_count(backends) + 1);
    backend_t **engines = g_new(backend_t *, backends_count(backends) + 1);
    unsigned count = 0;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, backends->by_instance);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        backend_t *backend = value;
        if (!usable(backend, choice))
            continue;
        candidates[count] = (engine_candidate_t){
            .id = backend->id_hash,
            .load = load_of(backend),
            .slots = slots_of(backend, choice),
            .near = in_zone(backends, backend),
            .avoided = avoided(backends, backend),
            .down = down(backend, uv_now(backends->loop)),
        };
        engines[count++] = backend;
    }
    unsigned index = 0;
    bool found = engine_choose(candidates, count, request, &index);
    backend_t *chosen = found ? engines[index] : NULL;
    if (found)
        backend_take(chosen);
    g_free((gpointer)engines);
    g_free(candidates);
    return chosen;
}

void backend_send_begun(backend_t *backend, const uint64_t *sent_at) {
    g_queue_push_tail(&backend->unanswered, (gpointer)sent_at);
}

void backend_send_ended(backend_t *backend, const uint64_t *sent_at) {
    g_queue_remove(&backend->unanswered, sent_at);
}

void backend_send_answered(backend_t *backend, const uint64_t *sent_at) {
    backend_send_ended(backend, sent_at);
    backend->signs.answered_sent_at = MAX(backend->signs.answered_sent_at, *sent_at);
    uint32_t ms = (uint32_t)(uv_now(backend->loop) - *sent_at);
    if (backend->signs.answer_ms == 0)
        backend->signs.answer_ms = ms;
    else
        backend->signs.answer_ms = (backend->signs.answer_ms * (SMOOTHING - 1) + ms) / SMOOTHING;
}

void backend_note_reset(backend_t *backend) {
    uint64_t now = uv_now(backend->loop);
    ejection_note_reset(&backend->ejection, now);
    event_log(BACKEND_EJECTED, backend->record->instance, ejection_tell_ms(&backend->ejection, now),
              "reset");
    /* Kept connections to a back end that is down are dead as well. */
    close_idle(backend);
    backend->owner->changes++;
}

static void on_idle_closed(void *owner, http_client_t *client) {
    backend_t *backend = owner;
    g_ptr_array_remove(backend->idle, client);
}

http_client_t *backend_connect(backends_t *backends, backend_t *backend) {
    while (backend->idle->len > 0) {
        http_client_t *client = g_ptr_array_steal_index(backend->idle, backend->idle->len - 1);
        if (http_client_reusable(client) && uv_now(backend->loop) < http_client_idle_until(client))
            return client;
        http_client_close(client);
    }
    backends->connections_opened++;
    return http_client_open(backend->loop, &backend->record->address, on_idle_closed, backend);
}

void backend_keep(backend_t *backend, http_client_t *client) {
    bool keep = http_client_reusable(client) && !backend->gone && !backend->record->leaving &&
                backend->idle->len < IDLE_MAXIMUM;
    if (keep)
        g_ptr_array_add(backend->idle, client);
    else
        http_client_close(client);
}
