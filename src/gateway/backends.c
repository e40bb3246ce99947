#include "gateway/backends.h"

#include <string.h>
#include <xxhash.h>

enum {
    AVOID_FIRST_MS = 250,
    AVOID_MOST_MS = 2000,
    IDLE_MAXIMUM = 32,
    OTHER_ZONE_PENALTY = 3, /**< Calls under way that another zone must be better by. */
    SLOTS_USUAL = 12,
};

void backends_init(backends_t *backends, uv_loop_t *loop, const char *zone) {
    backends->loop = loop;
    backends->zone = g_strdup(zone);
    backends->by_instance = g_hash_table_new(g_str_hash, g_str_equal);
    backends->connections_opened = 0;
}

static void close_idle(backend_t *backend) {
    while (backend->idle->len > 0)
        http_client_close(g_ptr_array_steal_index(backend->idle, backend->idle->len - 1));
}

static void unref(backend_t *backend) {
    if (--backend->references > 0)
        return;
    close_idle(backend);
    g_ptr_array_free(backend->idle, TRUE);
    backend_record_free(backend->record);
    g_free(backend);
}

void backend_release(backend_t *backend) {
    backend->under_way--;
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
        backend->record = record;
        g_hash_table_insert(backends->by_instance, record->instance, backend);
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

unsigned backends_count(const backends_t *backends) {
    return g_hash_table_size(backends->by_instance);
}

static bool usable(const backends_t *backends, const backend_t *backend,
                   const backend_choice_t *choice) {
    if (backend->record->leaving || strcmp(backend->record->service, choice->service) != 0)
        return false;
    (void)backends;
    return choice->excluded == NULL ||
           !g_ptr_array_find((GPtrArray *)choice->excluded, backend, NULL);
}

static bool in_zone(const backends_t *backends, const backend_t *backend) {
    return strcmp(backend->record->zone, backends->zone) == 0;
}

/** Rank of a back end for a program: the same at each gateway. */
static uint64_t affinity(const backend_t *backend, const char *program) {
    uint64_t seed = XXH64(program, strlen(program), 0);
    return XXH64(backend->record->instance, strlen(backend->record->instance), seed);
}

/** How undesirable a back end is; the lowest is chosen, and the highest rank among equals. */
typedef struct {
    unsigned cost;
    uint64_t rank;
} preference_t;

static preference_t prefer(const backends_t *backends, const backend_t *backend,
                           const backend_choice_t *choice) {
    bool avoided = uv_now(backends->loop) < backend->avoid_until;
    unsigned far = in_zone(backends, backend) ? 0 : OTHER_ZONE_PENALTY;
    unsigned cost = avoided ? 1000 : 0;
    if (choice->program == NULL) {
        cost += backend->under_way + far;
        /* Among equals one with a kept connection: a new one costs time and money. */
        uint64_t kept = backend->idle->len > 0 ? (uint64_t)1 << 32 : 0;
        return (preference_t){cost, kept | g_random_int()};
    }
    /* Below its slots an engine costs nothing more for another call. */
    unsigned slots = choice->slots == 0 ? SLOTS_USUAL : choice->slots;
    unsigned beyond = backend->under_way >= slots ? backend->under_way - slots + 1 : 0;
    cost += beyond + far;
    return (preference_t){cost, affinity(backend, choice->program)};
}

backend_t *backends_choose(backends_t *backends, const backend_choice_t *choice) {
    backend_t *best = NULL;
    preference_t best_preference = {0};
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, backends->by_instance);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        backend_t *backend = value;
        if (!usable(backends, backend, choice))
            continue;
        preference_t preference = prefer(backends, backend, choice);
        bool better = best == NULL || preference.cost < best_preference.cost ||
                      (preference.cost == best_preference.cost &&
                       preference.rank > best_preference.rank);
        if (!better)
            continue;
        best = backend;
        best_preference = preference;
    }
    if (best != NULL) {
        best->references++;
        best->under_way++;
    }
    return best;
}

void backend_note_success(backend_t *backend) {
    backend->failures = 0;
    backend->avoid_until = 0;
}

void backend_note_failure(backend_t *backend) {
    uint64_t pause = (uint64_t)AVOID_FIRST_MS << MIN(backend->failures, 3);
    backend->failures++;
    backend->avoid_until = uv_now(backend->loop) + MIN(pause, AVOID_MOST_MS);
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
