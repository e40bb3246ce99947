#include "gateway/backend_speeds.h"

#include "common/event.h"
#include "core/routing/backend_speed.h"

#include <xxhash.h>

enum {
    MS_PER_S = 1000,
    UNIT_US = 1000,         /**< Work of a plain call that takes the median time of its route. */
    ROUTE_SAMPLES_MIN = 16, /**< Samples before a route has a median, e.g. after a restart. */
    MEASURABLE_MIN_MS = 5,  /**< Minimum median time of a route; the clock has 1 ms resolution. */
    REFRESH_INTERVAL_MS = 500, /**< Interval between computations of speeds. */
    ENTRY_BYTES = 19,          /**< Maximum encoded size of a load_entry_t. */
    REPORT_ENTRIES_MAX = 16,   /**< Entries per datagram. */
    ROUTES_MAX = 1000,         /**< Routes with recorded response times. */
    LOG_LINES_MAX = 16,        /**< Maximum number of log lines per refresh. */
    LOG_INTERVAL_MS = 5000,    /**< Minimum time between two log lines of one back end. */
    SLOW_PERCENT = 50,
    FAST_PERCENT = 200,
    /* Hysteresis: a class is entered beyond the first limit and left within the second. */
    SLOW_BELOW_PERCENT = 67,
    SLOW_UNTIL_PERCENT = 80,
    FAST_ABOVE_PERCENT = 150,
    FAST_UNTIL_PERCENT = 125,
};

typedef enum { SPEED_TYPICAL, SPEED_SLOW, SPEED_FAST } speed_class_t;

/** Measurements of all back ends of a service. */
typedef struct {
    load_slowdown_t slowdown;
    sample_window_t spread;
    sample_window_t answers_ms;
    uint32_t typical_answer_ms; /**< Median of answers_ms at the latest refresh. */
    GArray *works_us;           /**< Work times of its back ends with usable estimates. */
    uint32_t typical_us;
} service_speed_t;

typedef struct {
    uint64_t sender;
    speed_estimate_t estimate;
} reported_speed_t;

/** Measurements of one incarnation of a back end. */
typedef struct incarnation_speed {
    service_speed_t *service;
    backend_samples_t own;
    uint32_t previous_us; /**< Previous sample, not corrected for load; 0: none. */
    unsigned previous_load;
    uint32_t previous_alone_us; /**< Previous sample, corrected for load; 0: none. */
    reported_speed_t reported[BACKEND_REPORTERS_MAX];
    speed_estimate_t merged;
    unsigned gateways; /**< Number of gateways whose estimates have a weight in `merged`. */
    unsigned percent;
    speed_class_t speed_class;
    uint64_t logged_at;
    bool to_report; /**< In the queue of back ends to report. */
} incarnation_speed_t;

struct backend_speeds {
    GHashTable *by_incarnation; /**< Incarnation id to backend_t. */
    GHashTable *measured;       /**< Set of backend_t with an incarnation_speed_t. */
    GHashTable *services;       /**< Name to service_speed_t. */
    GHashTable *routes;         /**< Name to sample_window_t of response times in ms. */
    GQueue to_report;           /**< Of backend_t, with samples not yet reported. */
    uint64_t credited_at;
    uint64_t credit_bytes;
    uint64_t refreshed_at;
    backend_speed_counts_t counts;
};

static void free_service(gpointer data) {
    service_speed_t *service = data;
    g_array_free(service->works_us, TRUE);
    g_free(service);
}

backend_speeds_t *backend_speeds_new(void) {
    backend_speeds_t *speeds = g_new0(backend_speeds_t, 1);
    speeds->by_incarnation = g_hash_table_new(g_int64_hash, g_int64_equal);
    speeds->measured = g_hash_table_new(NULL, NULL);
    speeds->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_service);
    speeds->routes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_queue_init(&speeds->to_report);
    return speeds;
}

void backend_speeds_free(backend_speeds_t *speeds) {
    g_hash_table_destroy(speeds->by_incarnation);
    g_hash_table_destroy(speeds->measured);
    g_hash_table_destroy(speeds->services);
    g_hash_table_destroy(speeds->routes);
    g_queue_clear(&speeds->to_report);
    g_free(speeds);
}

static uint64_t compute_incarnation_id(const backend_t *backend) {
    uint16_t start = backend_record_life(backend->record);
    return start == 0 ? 0 : XXH64(&backend->id_hash, sizeof backend->id_hash, start);
}

static void drop_speed(backend_t *backend) {
    backend_speeds_t *speeds = backend->owner->speeds;
    if (backend->speed == NULL)
        return;
    if (backend->speed->to_report)
        g_queue_remove(&speeds->to_report, backend);
    g_hash_table_remove(speeds->measured, backend);
    g_free(backend->speed);
    backend->speed = NULL;
}

static void drop_id(backend_t *backend) {
    GHashTable *by_incarnation = backend->owner->speeds->by_incarnation;
    if (g_hash_table_lookup(by_incarnation, &backend->incarnation_id) == backend)
        g_hash_table_remove(by_incarnation, &backend->incarnation_id);
}

void backend_speeds_update_incarnation(backend_t *backend) {
    uint64_t id = compute_incarnation_id(backend);
    if (id == backend->incarnation_id)
        return;
    drop_id(backend);
    drop_speed(backend);
    backend->incarnation_id = id;
    if (id != 0)
        g_hash_table_replace(backend->owner->speeds->by_incarnation, &backend->incarnation_id,
                             backend);
}

void backend_speeds_remove(backend_t *backend) {
    drop_speed(backend);
    drop_id(backend);
    backend->incarnation_id = 0;
}

static service_speed_t *obtain_service(backend_speeds_t *speeds, const char *name) {
    service_speed_t *service = g_hash_table_lookup(speeds->services, name);
    if (service != NULL)
        return service;
    service = g_new0(service_speed_t, 1);
    service->works_us = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    g_hash_table_insert(speeds->services, g_strdup(name), service);
    return service;
}

static incarnation_speed_t *obtain_speed(backend_t *backend) {
    backend_speeds_t *speeds = backend->owner->speeds;
    if (backend->speed != NULL)
        return backend->speed;
    backend->speed = g_new0(incarnation_speed_t, 1);
    backend->speed->service = obtain_service(speeds, backend->record->service);
    backend->speed->percent = BACKEND_SPEED_TYPICAL_PERCENT;
    g_hash_table_add(speeds->measured, backend);
    return backend->speed;
}

/** True if a call sent at @p sent_at is a measurement of the current incarnation. */
static bool measurable(const backend_t *backend, uint64_t sent_at) {
    return backend->incarnation_id != 0 && sent_at >= backend->incarnation_since;
}

/** Records a sample; @p load: other concurrent calls at the back end. */
static void record_sample(backend_t *backend, uint32_t work_us, unsigned load) {
    backend_speeds_t *speeds = backend->owner->speeds;
    incarnation_speed_t *speed = obtain_speed(backend);
    load_slowdown_t *slowdown = &speed->service->slowdown;
    if (speed->previous_us > 0)
        load_slowdown_add_pair(slowdown, work_us, load, speed->previous_us, speed->previous_load);
    speed->previous_us = work_us;
    speed->previous_load = load;
    uint32_t alone_us = MAX(1, load_slowdown_normalize(slowdown, work_us, load));
    if (speed->previous_alone_us > 0)
        work_spread_record(&speed->service->spread, alone_us, speed->previous_alone_us);
    speed->previous_alone_us = alone_us;
    backend_samples_add(&speed->own, alone_us, uv_now(backend->loop));
    if (speed->to_report)
        return;
    speed->to_report = true;
    g_queue_push_tail(&speeds->to_report, backend);
}

void backend_speeds_record_stream(backend_t *backend, uint32_t event_us, uint64_t sent_at) {
    if (!measurable(backend, sent_at) || event_us == 0)
        return;
    unsigned calls = backend->under_way + backend->peer_calls;
    record_sample(backend, event_us, calls > 0 ? calls - 1 : 0);
}

static sample_window_t *obtain_route(backend_speeds_t *speeds, const char *name) {
    sample_window_t *route = g_hash_table_lookup(speeds->routes, name);
    if (route != NULL)
        return route;
    if (g_hash_table_size(speeds->routes) >= ROUTES_MAX)
        g_hash_table_remove_all(speeds->routes);
    route = g_new0(sample_window_t, 1);
    g_hash_table_insert(speeds->routes, g_strdup(name), route);
    return route;
}

void backend_speeds_record_answer(backend_t *backend, const char *route, uint64_t sent_at) {
    if (!measurable(backend, sent_at))
        return;
    backend_speeds_t *speeds = backend->owner->speeds;
    uint32_t ms = (uint32_t)MAX(1, uv_now(backend->loop) - sent_at);
    sample_window_t *times = obtain_route(speeds, route);
    sample_window_add(times, ms);
    sample_window_add(&obtain_service(speeds, backend->record->service)->answers_ms, ms);
    uint32_t route_ms = sample_window_median(times);
    if (times->total_samples >= ROUTE_SAMPLES_MIN && route_ms >= MEASURABLE_MIN_MS)
        record_sample(backend, (uint32_t)MIN(UINT32_MAX, (uint64_t)ms * UNIT_US / route_ms), 0);
}

/* Reports between gateways. */

/** Refills the token bucket of report bytes; its capacity is one full datagram to each gateway. */
static void refill_credit(backend_speeds_t *speeds, unsigned gateways, uint64_t now) {
    uint64_t max_bytes = (uint64_t)REPORT_ENTRIES_MAX * ENTRY_BYTES * gateways;
    uint64_t earned = (now - speeds->credited_at) * BACKEND_SPEEDS_BYTES_PER_S / MS_PER_S;
    speeds->credited_at = now;
    speeds->credit_bytes = MIN(max_bytes, speeds->credit_bytes + earned);
}

void backend_speeds_append_report(backends_t *backends, GArray *entries, unsigned gateways) {
    backend_speeds_t *speeds = backends->speeds;
    uint64_t now = uv_now(backends->loop);
    uint64_t bytes = (uint64_t)ENTRY_BYTES * gateways;
    refill_credit(speeds, gateways, now);
    while (speeds->credit_bytes >= bytes && entries->len < LOAD_ENTRIES_MAX) {
        backend_t *backend = g_queue_pop_head(&speeds->to_report);
        if (backend == NULL)
            return;
        backend->speed->to_report = false;
        speed_estimate_t estimate = backend_samples_estimate(&backend->speed->own);
        load_entry_t entry = load_entry_from_speed(backend->incarnation_id, &estimate, now);
        g_array_append_val(entries, entry);
        speeds->credit_bytes -= bytes;
    }
}

/** The slot for the estimate of @p sender: its previous one, or else the least recent slot. */
static reported_speed_t *find_report_slot(incarnation_speed_t *speed, uint64_t sender) {
    reported_speed_t *oldest = &speed->reported[0];
    for (unsigned i = 0; i < BACKEND_REPORTERS_MAX; i++) {
        reported_speed_t *reported = &speed->reported[i];
        if (reported->sender == sender)
            return reported;
        if (reported->estimate.at < oldest->estimate.at)
            oldest = reported;
    }
    return oldest;
}

bool backend_speeds_record_report(backends_t *backends, const load_entry_t *entry,
                                  uint64_t sender) {
    backend_t *backend = g_hash_table_lookup(backends->speeds->by_incarnation, &entry->backend);
    if (backend == NULL)
        return false;
    speed_estimate_t estimate = load_entry_speed(entry, uv_now(backends->loop));
    reported_speed_t *reported = find_report_slot(obtain_speed(backend), sender);
    if (reported->sender != sender || estimate.at >= reported->estimate.at)
        *reported = (reported_speed_t){sender, estimate};
    return true;
}

/* Speeds. */

static void merge(incarnation_speed_t *speed, uint64_t now) {
    speed_estimate_t estimates[BACKEND_REPORTERS_MAX + 1];
    estimates[0] = backend_samples_estimate(&speed->own);
    for (unsigned i = 0; i < BACKEND_REPORTERS_MAX; i++)
        estimates[i + 1] = speed->reported[i].estimate;
    speed->merged = speed_estimate_merge(estimates, BACKEND_REPORTERS_MAX + 1, now);
    speed->gateways = 0;
    for (unsigned i = 0; i <= BACKEND_REPORTERS_MAX; i++)
        speed->gateways += speed_estimate_weight(&estimates[i], now) > 0;
}

/** Merges all estimates and collects the usable ones by service; drops expired ones. */
static void merge_all(backend_speeds_t *speeds, uint64_t now) {
    GHashTableIter iterator;
    gpointer key;
    g_hash_table_iter_init(&iterator, speeds->services);
    for (gpointer service; g_hash_table_iter_next(&iterator, NULL, &service);)
        g_array_set_size(((service_speed_t *)service)->works_us, 0);
    g_hash_table_iter_init(&iterator, speeds->measured);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        backend_t *backend = key;
        incarnation_speed_t *speed = backend->speed;
        merge(speed, now);
        if (speed_estimate_is_usable(&speed->merged, now))
            g_array_append_val(speed->service->works_us, speed->merged.work_us);
        if (speed->merged.samples > 0 || speed->to_report)
            continue;
        g_hash_table_iter_remove(&iterator);
        g_clear_pointer(&backend->speed, g_free);
    }
}

static speed_class_t class_of(unsigned percent, speed_class_t before) {
    if (percent < (before == SPEED_SLOW ? SLOW_UNTIL_PERCENT : SLOW_BELOW_PERCENT))
        return SPEED_SLOW;
    if (percent > (before == SPEED_FAST ? FAST_UNTIL_PERCENT : FAST_ABOVE_PERCENT))
        return SPEED_FAST;
    return SPEED_TYPICAL;
}

/** Logs a change of a back end's class; returns the number of lines written. */
static unsigned log_class(const backend_t *backend, uint64_t now) {
    incarnation_speed_t *speed = backend->speed;
    speed_class_t speed_class = class_of(speed->percent, speed->speed_class);
    bool paused = speed->logged_at > 0 && now < speed->logged_at + LOG_INTERVAL_MS;
    if (speed_class == speed->speed_class || paused)
        return 0;
    speed->speed_class = speed_class;
    speed->logged_at = now;
    event_log(BACKEND_SPEED, backend->record->instance, speed->percent, speed->merged.samples,
              speed->gateways);
    return 1;
}

static void compute_typical(backend_speeds_t *speeds) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, speeds->services);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        service_speed_t *service = value;
        uint32_t *works_us = (uint32_t *)service->works_us->data;
        service->typical_answer_ms = sample_window_median(&service->answers_ms);
        service->typical_us = backend_speed_typical_us(works_us, service->works_us->len);
    }
}

static void refresh(backend_speeds_t *speeds, uint64_t now) {
    if (now < speeds->refreshed_at + REFRESH_INTERVAL_MS)
        return;
    speeds->refreshed_at = now;
    merge_all(speeds, now);
    compute_typical(speeds);
    speeds->counts = (backend_speed_counts_t){.measured = g_hash_table_size(speeds->measured)};
    unsigned logged = 0;
    GHashTableIter iterator;
    gpointer key;
    g_hash_table_iter_init(&iterator, speeds->measured);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        const backend_t *backend = key;
        incarnation_speed_t *speed = backend->speed;
        const service_speed_t *service = speed->service;
        speed->percent =
            backend_speed_percent(&speed->merged, service->typical_us, &service->spread, now);
        speeds->counts.slow += speed->percent < SLOW_PERCENT;
        speeds->counts.fast += speed->percent > FAST_PERCENT;
        if (logged < LOG_LINES_MAX)
            logged += log_class(backend, now);
    }
}

unsigned backend_speed(backend_t *backend) {
    if (backend->speed != NULL)
        refresh(backend->owner->speeds, uv_now(backend->loop));
    return backend->speed == NULL ? BACKEND_SPEED_TYPICAL_PERCENT : backend->speed->percent;
}

unsigned backend_typical_answer_ms(const backend_t *backend) {
    return backend->speed == NULL ? 0 : backend->speed->service->typical_answer_ms;
}

backend_speed_counts_t backend_speeds_count(backends_t *backends) {
    refresh(backends->speeds, uv_now(backends->loop));
    return backends->speeds->counts;
}
