#include "gateway/backend_paces.h"

#include "common/event.h"
#include "core/routing/backend_speed.h"

#include <xxhash.h>

enum {
    MS_PER_S = 1000,
    UNIT_US = 1000,          /**< A plain call that takes as long as usual on its route. */
    ROUTE_TIMES_NEEDED = 16, /**< A gateway that has just started knows no usual time. */
    MEASURABLE_MS = 5,       /**< Shorter answers are too few ticks of the loop's clock. */
    REFRESH_MS = 500,        /**< Speeds are computed anew after this. */
    ENTRY_BYTES = 19,        /**< The longest load_entry_t. */
    TELL_MOST = 16,          /**< Entries of one datagram. */
    ROUTES_MOST = 1000,      /**< Of which the usual time is known. */
    LOGGED_MOST = 16,        /**< Lines of one refresh, */
    LOG_PAUSE_MS = 5000,     /**< and time between two of one back end. */
    SLOW_PERCENT = 50,
    FAST_PERCENT = 200,
    /* A class is entered beyond the first figure and left within the second. */
    SLOW_BELOW_PERCENT = 67,
    SLOW_UNTIL_PERCENT = 80,
    FAST_ABOVE_PERCENT = 150,
    FAST_UNTIL_PERCENT = 125,
};

typedef enum { SPEED_TYPICAL, SPEED_SLOW, SPEED_FAST } speed_class_t;

/** What is known of all back ends of a service. */
typedef struct {
    work_slowdown_t slowdown;
    recent_times_t spread;
    recent_times_t answers_ms;
    uint32_t usual_answer_ms; /**< Their median, when speeds were last computed. */
    GArray *works_us;         /**< Of the back ends of known pace; for the typical one. */
    uint32_t typical_us;
} service_pace_t;

typedef struct {
    uint64_t teller;
    backend_pace_t pace;
} told_pace_t;

/** What is known of one life of a back end. */
typedef struct backend_life_pace {
    service_pace_t *service;
    backend_samples_t own;
    uint32_t latest_us; /**< The sample before, as it was measured; 0: none. */
    unsigned latest_load;
    uint32_t latest_alone_us; /**< The same without other calls. */
    told_pace_t told[BACKEND_TELLERS_MOST];
    backend_pace_t joined;
    unsigned gateways; /**< From which it is joined. */
    unsigned percent;
    speed_class_t speed_class;
    uint64_t logged_at;
    bool to_tell; /**< Stands in the queue. */
} life_pace_t;

struct backend_paces {
    GHashTable *by_life;  /**< Id of a back end's life to backend_t. */
    GHashTable *measured; /**< Set of backend_t with a life_pace_t. */
    GHashTable *services; /**< Name to service_pace_t. */
    GHashTable *routes;   /**< Name to recent_times_t: ms of the answers. */
    GQueue to_tell;       /**< Of backend_t, with samples that the others don't know. */
    uint64_t told_at;
    uint64_t credit_bytes;
    uint64_t refreshed_at;
    backend_pace_counts_t counts;
};

static void free_service(gpointer data) {
    service_pace_t *service = data;
    g_array_free(service->works_us, TRUE);
    g_free(service);
}

backend_paces_t *backend_paces_new(void) {
    backend_paces_t *paces = g_new0(backend_paces_t, 1);
    paces->by_life = g_hash_table_new(g_int64_hash, g_int64_equal);
    paces->measured = g_hash_table_new(NULL, NULL);
    paces->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_service);
    paces->routes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_queue_init(&paces->to_tell);
    return paces;
}

void backend_paces_free(backend_paces_t *paces) {
    g_hash_table_destroy(paces->by_life);
    g_hash_table_destroy(paces->measured);
    g_hash_table_destroy(paces->services);
    g_hash_table_destroy(paces->routes);
    g_queue_clear(&paces->to_tell);
    g_free(paces);
}

static uint64_t life_id(const backend_t *backend) {
    uint16_t life = backend_record_life(backend->record);
    return life == 0 ? 0 : XXH64(&backend->id_hash, sizeof backend->id_hash, life);
}

static void drop_pace(backend_t *backend) {
    backend_paces_t *paces = backend->owner->paces;
    if (backend->pace == NULL)
        return;
    if (backend->pace->to_tell)
        g_queue_remove(&paces->to_tell, backend);
    g_hash_table_remove(paces->measured, backend);
    g_free(backend->pace);
    backend->pace = NULL;
}

static void drop_id(backend_t *backend) {
    GHashTable *by_life = backend->owner->paces->by_life;
    if (g_hash_table_lookup(by_life, &backend->life_id) == backend)
        g_hash_table_remove(by_life, &backend->life_id);
}

void backend_paces_list(backend_t *backend) {
    uint64_t id = life_id(backend);
    if (id == backend->life_id)
        return;
    drop_id(backend);
    drop_pace(backend);
    backend->life_id = id;
    if (id != 0)
        g_hash_table_replace(backend->owner->paces->by_life, &backend->life_id, backend);
}

void backend_paces_forget(backend_t *backend) {
    drop_pace(backend);
    drop_id(backend);
    backend->life_id = 0;
}

static service_pace_t *obtain_service(backend_paces_t *paces, const char *name) {
    service_pace_t *service = g_hash_table_lookup(paces->services, name);
    if (service != NULL)
        return service;
    service = g_new0(service_pace_t, 1);
    service->works_us = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    g_hash_table_insert(paces->services, g_strdup(name), service);
    return service;
}

static life_pace_t *obtain_pace(backend_t *backend) {
    backend_paces_t *paces = backend->owner->paces;
    if (backend->pace != NULL)
        return backend->pace;
    backend->pace = g_new0(life_pace_t, 1);
    backend->pace->service = obtain_service(paces, backend->record->service);
    backend->pace->percent = BACKEND_SPEED_TYPICAL_PERCENT;
    g_hash_table_add(paces->measured, backend);
    return backend->pace;
}

/** True if what a call sent at @p sent_at shows is of this life, and of use. */
static bool measurable(const backend_t *backend, uint64_t sent_at) {
    return backend->life_id != 0 && sent_at >= backend->life_at;
}

/** @p load: the other calls that slowed it. */
static void note_sample(backend_t *backend, uint32_t work_us, unsigned load) {
    backend_paces_t *paces = backend->owner->paces;
    life_pace_t *pace = obtain_pace(backend);
    work_slowdown_t *slowdown = &pace->service->slowdown;
    if (pace->latest_us > 0)
        work_slowdown_note(slowdown, work_us, load, pace->latest_us, pace->latest_load);
    pace->latest_us = work_us;
    pace->latest_load = load;
    uint32_t alone_us = MAX(1, work_slowdown_remove(slowdown, work_us, load));
    if (pace->latest_alone_us > 0)
        work_spread_note(&pace->service->spread, alone_us, pace->latest_alone_us);
    pace->latest_alone_us = alone_us;
    backend_samples_note(&pace->own, alone_us, uv_now(backend->loop));
    if (pace->to_tell)
        return;
    pace->to_tell = true;
    g_queue_push_tail(&paces->to_tell, backend);
}

void backend_paces_note_stream(backend_t *backend, uint32_t event_us, uint64_t sent_at) {
    if (!measurable(backend, sent_at) || event_us == 0)
        return;
    unsigned calls = backend->under_way + backend->elsewhere;
    note_sample(backend, event_us, calls > 0 ? calls - 1 : 0);
}

static recent_times_t *obtain_route(backend_paces_t *paces, const char *name) {
    recent_times_t *route = g_hash_table_lookup(paces->routes, name);
    if (route != NULL)
        return route;
    if (g_hash_table_size(paces->routes) >= ROUTES_MOST)
        g_hash_table_remove_all(paces->routes);
    route = g_new0(recent_times_t, 1);
    g_hash_table_insert(paces->routes, g_strdup(name), route);
    return route;
}

void backend_paces_note_answer(backend_t *backend, const char *route, uint64_t sent_at) {
    if (!measurable(backend, sent_at))
        return;
    backend_paces_t *paces = backend->owner->paces;
    uint32_t ms = (uint32_t)MAX(1, uv_now(backend->loop) - sent_at);
    recent_times_t *times = obtain_route(paces, route);
    recent_times_note(times, ms);
    recent_times_note(&obtain_service(paces, backend->record->service)->answers_ms, ms);
    uint32_t usual_ms = recent_times_median(times);
    if (times->noted >= ROUTE_TIMES_NEEDED && usual_ms >= MEASURABLE_MS)
        note_sample(backend, (uint32_t)MIN(UINT32_MAX, (uint64_t)ms * UNIT_US / usual_ms), 0);
}

/* What gateways tell one another. */

/** Bytes that may be told now; the unused ones of some time ago are not saved up. */
static void earn_credit(backend_paces_t *paces, unsigned gateways, uint64_t now) {
    uint64_t most = (uint64_t)TELL_MOST * ENTRY_BYTES * gateways;
    uint64_t earned = (now - paces->told_at) * BACKEND_PACES_BYTES_A_S / MS_PER_S;
    paces->told_at = now;
    paces->credit_bytes = MIN(most, paces->credit_bytes + earned);
}

void backend_paces_tell(backends_t *backends, GArray *entries, unsigned gateways) {
    backend_paces_t *paces = backends->paces;
    uint64_t now = uv_now(backends->loop);
    uint64_t bytes = (uint64_t)ENTRY_BYTES * gateways;
    earn_credit(paces, gateways, now);
    while (paces->credit_bytes >= bytes && entries->len < LOAD_ENTRIES_MAXIMUM) {
        backend_t *backend = g_queue_pop_head(&paces->to_tell);
        if (backend == NULL)
            return;
        backend->pace->to_tell = false;
        backend_pace_t pace = backend_samples_pace(&backend->pace->own);
        load_entry_t entry = load_entry_of_pace(backend->life_id, &pace, now);
        g_array_append_val(entries, entry);
        paces->credit_bytes -= bytes;
    }
}

/** Where a teller's pace is kept: instead of its last one, or else of the oldest. */
static told_pace_t *place_of(life_pace_t *pace, uint64_t teller) {
    told_pace_t *oldest = &pace->told[0];
    for (unsigned i = 0; i < BACKEND_TELLERS_MOST; i++) {
        told_pace_t *told = &pace->told[i];
        if (told->teller == teller)
            return told;
        if (told->pace.at < oldest->pace.at)
            oldest = told;
    }
    return oldest;
}

bool backend_paces_note_told(backends_t *backends, const load_entry_t *entry, uint64_t teller) {
    backend_t *backend = g_hash_table_lookup(backends->paces->by_life, &entry->backend);
    if (backend == NULL)
        return false;
    backend_pace_t pace = load_entry_pace(entry, uv_now(backends->loop));
    told_pace_t *told = place_of(obtain_pace(backend), teller);
    if (told->teller != teller || pace.at >= told->pace.at)
        *told = (told_pace_t){teller, pace};
    return true;
}

/* Speeds. */

static void join(life_pace_t *pace, uint64_t now) {
    backend_pace_t paces[BACKEND_TELLERS_MOST + 1];
    paces[0] = backend_samples_pace(&pace->own);
    for (unsigned i = 0; i < BACKEND_TELLERS_MOST; i++)
        paces[i + 1] = pace->told[i].pace;
    pace->joined = backend_pace_join(paces, BACKEND_TELLERS_MOST + 1, now);
    pace->gateways = 0;
    for (unsigned i = 0; i <= BACKEND_TELLERS_MOST; i++)
        pace->gateways += backend_pace_weight(&paces[i], now) > 0;
}

/** Joins all paces, and lists the known ones by service; those that have faded are dropped. */
static void join_all(backend_paces_t *paces, uint64_t now) {
    GHashTableIter iterator;
    gpointer key;
    g_hash_table_iter_init(&iterator, paces->services);
    for (gpointer service; g_hash_table_iter_next(&iterator, NULL, &service);)
        g_array_set_size(((service_pace_t *)service)->works_us, 0);
    g_hash_table_iter_init(&iterator, paces->measured);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        backend_t *backend = key;
        life_pace_t *pace = backend->pace;
        join(pace, now);
        if (backend_pace_known(&pace->joined, now))
            g_array_append_val(pace->service->works_us, pace->joined.work_us);
        if (pace->joined.samples > 0 || pace->to_tell)
            continue;
        g_hash_table_iter_remove(&iterator);
        g_clear_pointer(&backend->pace, g_free);
    }
}

static speed_class_t class_of(unsigned percent, speed_class_t before) {
    if (percent < (before == SPEED_SLOW ? SLOW_UNTIL_PERCENT : SLOW_BELOW_PERCENT))
        return SPEED_SLOW;
    if (percent > (before == SPEED_FAST ? FAST_UNTIL_PERCENT : FAST_ABOVE_PERCENT))
        return SPEED_FAST;
    return SPEED_TYPICAL;
}

/** Logs that a back end's class has changed; returns lines written. */
static unsigned log_class(const backend_t *backend, uint64_t now) {
    life_pace_t *pace = backend->pace;
    speed_class_t speed_class = class_of(pace->percent, pace->speed_class);
    bool paused = pace->logged_at > 0 && now < pace->logged_at + LOG_PAUSE_MS;
    if (speed_class == pace->speed_class || paused)
        return 0;
    pace->speed_class = speed_class;
    pace->logged_at = now;
    event_log(BACKEND_SPEED, backend->record->instance, pace->percent, pace->joined.samples,
              pace->gateways);
    return 1;
}

static void compute_typical(backend_paces_t *paces) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, paces->services);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        service_pace_t *service = value;
        uint32_t *works_us = (uint32_t *)service->works_us->data;
        service->usual_answer_ms = recent_times_median(&service->answers_ms);
        service->typical_us = backend_speed_typical_us(works_us, service->works_us->len);
    }
}

static void refresh(backend_paces_t *paces, uint64_t now) {
    if (now < paces->refreshed_at + REFRESH_MS)
        return;
    paces->refreshed_at = now;
    join_all(paces, now);
    compute_typical(paces);
    paces->counts = (backend_pace_counts_t){.measured = g_hash_table_size(paces->measured)};
    unsigned logged = 0;
    GHashTableIter iterator;
    gpointer key;
    g_hash_table_iter_init(&iterator, paces->measured);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        const backend_t *backend = key;
        life_pace_t *pace = backend->pace;
        const service_pace_t *service = pace->service;
        pace->percent =
            backend_speed_percent(&pace->joined, service->typical_us, &service->spread, now);
        paces->counts.slow += pace->percent < SLOW_PERCENT;
        paces->counts.fast += pace->percent > FAST_PERCENT;
        if (logged < LOGGED_MOST)
            logged += log_class(backend, now);
    }
}

unsigned backend_speed(backend_t *backend) {
    if (backend->pace != NULL)
        refresh(backend->owner->paces, uv_now(backend->loop));
    return backend->pace == NULL ? BACKEND_SPEED_TYPICAL_PERCENT : backend->pace->percent;
}

unsigned backend_usual_answer_ms(const backend_t *backend) {
    return backend->pace == NULL ? 0 : backend->pace->service->usual_answer_ms;
}

backend_pace_counts_t backend_paces_count(backends_t *backends) {
    refresh(backends->paces, uv_now(backends->loop));
    return backends->paces->counts;
}
