#include "gateway/backends.h"

#include "common/event.h"
#include "gateway/backend_speeds.h"
#include "gateway/backend_probe.h"
#include "gateway/backend_versions.h"
#include "gateway/process_check.h"

#include <string.h>
#include <xxhash.h>

enum {
    OVERDUE_MIN_MS = 400,  /**< A request without a response is overdue after this, */
    OVERDUE_FACTOR = 5,    /**< or after this multiple of the average response time. */
    UNRESPONSIVE_MS = 300, /**< A back end that sends no bytes for this long is unresponsive. */
    UNREACHABLE_VALID_MS = 1000, /**< Validity of a failed probe. */
    OVERDUE_REPORT_MS = 600,     /**< Reported ejection time; renewed while a request is overdue. */
    SMOOTHING_DIVISOR = 8,       /**< EWMA weight of a response time is 1 / this. */
    IDLE_CONNECTIONS_MAX = 32,
    DEFAULT_SLOTS = 12,
};

static void free_members(gpointer data) {
    service_members_t *members = data;
    g_ptr_array_free(members->local, TRUE);
    g_ptr_array_free(members->remote, TRUE);
    g_array_free(members->versions, TRUE);
    g_free(members);
}

static service_members_t *find_or_add_service(backends_t *backends, const char *service) {
    service_members_t *members = g_hash_table_lookup(backends->by_service, service);
    if (members != NULL)
        return members;
    members = g_new0(service_members_t, 1);
    members->local = g_ptr_array_new();
    members->remote = g_ptr_array_new();
    members->versions = g_array_new(FALSE, FALSE, sizeof(version_count_t));
    g_hash_table_insert(backends->by_service, g_strdup(service), members);
    return members;
}

/** The counter that includes a back end with this record; NULL: none, since it is leaving. */
static unsigned *start_time_counter(service_members_t *members, const backend_record_t *record) {
    if (record->leaving)
        return NULL;
    return record->born == 0 ? &members->without_start_time : &members->with_start_time;
}

static GSList **id_bucket(backends_t *backends, uint16_t id_bits) {
    return &backends->by_id_bits[id_bits % BACKEND_ID_BUCKETS];
}

static void add_to_id_bits(backends_t *backends, backend_t *backend) {
    GSList **bucket = id_bucket(backends, (uint16_t)backend->id_hash);
    *bucket = g_slist_prepend(*bucket, backend);
}

static void remove_from_id_bits(backends_t *backends, backend_t *backend) {
    GSList **bucket = id_bucket(backends, (uint16_t)backend->id_hash);
    *bucket = g_slist_remove(*bucket, backend);
}

static void add_to_index(backends_t *backends, backend_t *backend) {
    service_members_t *members = find_or_add_service(backends, backend->record->service);
    unsigned *counter = start_time_counter(members, backend->record);
    if (counter != NULL)
        ++*counter;
    backend->version = software_version(backend->record->version);
    backend_versions_add(backends, members, backend->version);
    backend->local = strcmp(backend->record->zone, backends->zone) == 0;
    backend->list = backend->local ? members->local : members->remote;
    backend->list_index = backend->list->len;
    g_ptr_array_add(backend->list, backend);
}

void backends_doubt_version(backends_t *backends, uint16_t id_bits) {
    for (GSList *item = *id_bucket(backends, id_bits); item != NULL; item = item->next) {
        backend_t *backend = item->data;
        if ((uint16_t)backend->id_hash == id_bits)
            backend_doubt_version(backend, 0);
    }
}

/** Removes a back end from the list of its service; the last element moves to its index. */
static void remove_from_index(backend_t *backend) {
    backend_t *last = g_ptr_array_index(backend->list, backend->list->len - 1);
    last->list_index = backend->list_index;
    g_ptr_array_remove_index_fast(backend->list, backend->list_index);
    backend->list = NULL;
    service_members_t *members = find_or_add_service(backend->owner, backend->record->service);
    backend_versions_remove(backend->owner, members, backend->version);
    unsigned *counter = start_time_counter(members, backend->record);
    if (counter != NULL)
        --*counter;
}

void backends_init(backends_t *backends, uv_loop_t *loop, const char *zone, const char *gateway) {
    backends->loop = loop;
    backends->opened_at = uv_now(loop);
    backends->confirmed_at = 0;
    backends->zone = g_strdup(zone);
    backends->by_instance = g_hash_table_new(g_str_hash, g_str_equal);
    backends->by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
    memset(backends->by_id_bits, 0, sizeof backends->by_id_bits);
    backends->by_service = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_members);
    backends->reported_by_peers = g_hash_table_new(NULL, NULL);
    backends->expired = g_hash_table_new(NULL, NULL);
    backends->to_report = g_hash_table_new(NULL, NULL);
    backends->speeds = backend_speeds_new();
    backends->seed = XXH64(gateway, strlen(gateway), 0);
    backends->connections_opened = 0;
    backends->changes = 0;
    backends->on_process_doubted = NULL;
    backends->on_entry_gone = NULL;
    backends->process_owner = NULL;
}

static void close_idle(backend_t *backend) {
    while (backend->idle->len > 0)
        http_client_close(g_ptr_array_steal_index(backend->idle, backend->idle->len - 1));
}

static void unref(backend_t *backend) {
    if (--backend->references > 0)
        return;
    backend_probe_stop(backend);
    process_check_stop(backend);
    close_idle(backend);
    g_queue_clear(&backend->unanswered);
    g_ptr_array_free(backend->idle, TRUE);
    backend_record_free(backend->record);
    g_free(backend);
}

void backend_release(backend_t *backend) {
    backend->under_way--;
    backend->owner->changes++;
    if (backend->removed || backend->record->leaving)
        close_idle(backend);
    unref(backend);
}

/** True if @p record has a different start time; an unknown start time counts as unchanged. */
static bool has_restarted(const backend_t *backend, const backend_record_t *record) {
    uint16_t before = backend_record_life(backend->record);
    uint16_t start = backend_record_life(record);
    return before != 0 && start != 0 && start != before;
}

/** Discards the state of the previous incarnation; its active calls keep their references. */
static void start_incarnation(backend_t *backend) {
    event_log(BACKEND_RESTARTED, backend->record->instance, backend->under_way,
              backend_speed(backend));
    backend->incarnation_since = uv_now(backend->loop);
    backend->observed = (backend_activity_t){0};
    backend->ejection = (ejection_t){0};
    backend->ejected_by_peers = false;
    backend->peer_calls = 0;
    backend->overdue = false;
    backend->unreachable_at = 0;
    backend->survived_from = 0;
    backend->survived_until = 0;
    g_queue_clear(&backend->unanswered);
    backend_probe_stop(backend);
    process_check_stop(backend);
    close_idle(backend);
    const backends_t *backends = backend->owner;
    if (backends->on_process_doubted != NULL)
        backends->on_process_doubted(backends->process_owner, backend);
}

void backends_update(backends_t *backends, backend_record_t *record) {
    backend_t *backend = g_hash_table_lookup(backends->by_instance, record->instance);
    if (backend == NULL) {
        backend = g_new0(backend_t, 1);
        backend->loop = backends->loop;
        backend->added_at = uv_now(backends->loop);
        backend->references = 1;
        backend->idle = g_ptr_array_new();
        g_queue_init(&backend->unanswered);
        backend->record = record;
        backend->owner = backends;
        backend->id_hash = XXH64(record->instance, strlen(record->instance), 0);
        g_hash_table_insert(backends->by_instance, record->instance, backend);
        g_hash_table_insert(backends->by_hash, &backend->id_hash, backend);
        add_to_id_bits(backends, backend);
        add_to_index(backends, backend);
        backend_speeds_update_incarnation(backend);
        return;
    }
    backend->expiry_grace_end = 0;
    backend->version_updated_at = uv_now(backend->loop);
    g_hash_table_remove(backends->expired, backend);
    if (has_restarted(backend, record))
        start_incarnation(backend);
    remove_from_index(backend);
    g_hash_table_steal(backends->by_instance, record->instance);
    backend_record_free(backend->record);
    backend->record = record;
    g_hash_table_insert(backends->by_instance, record->instance, backend);
    add_to_index(backends, backend);
    backend_speeds_update_incarnation(backend);
    if (record->leaving)
        close_idle(backend);
}

static void report_entry_gone(backend_t *backend) {
    const backends_t *backends = backend->owner;
    if (!backend->record->leaving && backends->on_entry_gone != NULL)
        backends->on_entry_gone(backends->process_owner, backend);
}

void backends_remove(backends_t *backends, const char *instance) {
    backend_t *backend = g_hash_table_lookup(backends->by_instance, instance);
    if (backend == NULL)
        return;
    report_entry_gone(backend);
    g_hash_table_remove(backends->by_instance, instance);
    g_hash_table_remove(backends->by_hash, &backend->id_hash);
    remove_from_id_bits(backends, backend);
    g_hash_table_remove(backends->reported_by_peers, backend);
    g_hash_table_remove(backends->to_report, backend);
    g_hash_table_remove(backends->expired, backend);
    backend_speeds_remove(backend);
    remove_from_index(backend);
    backend->removed = true;
    close_idle(backend);
    unref(backend);
}

bool backends_expire_entry(backends_t *backends, const char *instance, uint64_t until) {
    backend_t *backend = g_hash_table_lookup(backends->by_instance, instance);
    if (backend == NULL)
        return false;
    if (backend->record->leaving) {
        backends_remove(backends, instance);
        return false;
    }
    report_entry_gone(backend);
    if (backend->expiry_grace_end == 0)
        backend->expiry_grace_end = until;
    g_hash_table_add(backends->expired, backend);
    return true;
}

unsigned backends_remove_expired(backends_t *backends) {
    uint64_t now = uv_now(backends->loop);
    unsigned removed = 0;
    GList *expired = g_hash_table_get_keys(backends->expired);
    for (const GList *item = expired; item != NULL; item = item->next) {
        const backend_t *backend = item->data;
        if (now < backend->expiry_grace_end)
            continue;
        removed++;
        backends_remove(backends, backend->record->instance);
    }
    g_list_free(expired);
    return removed;
}

void backends_retain(backends_t *backends, GHashTable *instances) {
    GList *instances_known = g_hash_table_get_keys(backends->by_instance);
    for (GList *item = instances_known; item != NULL; item = item->next)
        if (!g_hash_table_contains(instances, item->data))
            backends_remove(backends, item->data);
    g_list_free(instances_known);
}

backend_t *backends_find_hash(const backends_t *backends, uint64_t id_hash) {
    return g_hash_table_lookup(backends->by_hash, &id_hash);
}

void backends_clear(backends_t *backends) {
    backends->on_entry_gone = NULL;
    GHashTable *none = g_hash_table_new(g_str_hash, g_str_equal);
    backends_retain(backends, none);
    g_hash_table_destroy(none);
    g_hash_table_destroy(backends->by_instance);
    g_hash_table_destroy(backends->by_hash);
    g_hash_table_destroy(backends->by_service);
    g_hash_table_destroy(backends->reported_by_peers);
    g_hash_table_destroy(backends->expired);
    g_hash_table_destroy(backends->to_report);
    backend_speeds_free(backends->speeds);
    g_free(backends->zone);
}

unsigned backends_count(const backends_t *backends) {
    return g_hash_table_size(backends->by_instance);
}

const char *backend_version_name(const backend_t *backend) {
    return backend->record->version == NULL ? "-" : backend->record->version;
}

unsigned backend_slots(const backend_t *backend, unsigned default_slots) {
    unsigned slots = backend->record->slots > 0 ? backend->record->slots : default_slots;
    return slots > 0 ? slots : DEFAULT_SLOTS;
}

/** True if a back end in @p set, of backend_t, has at least half of its slots occupied. */
static bool any_half_occupied(GHashTable *set) {
    GHashTableIter iterator;
    gpointer key;
    g_hash_table_iter_init(&iterator, set);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        const backend_t *backend = key;
        if (2 * (backend->under_way + backend->peer_calls) >= backend_slots(backend, 0))
            return true;
    }
    return false;
}

bool backends_half_full(const backends_t *backends) {
    return any_half_occupied(backends->reported_by_peers) || any_half_occupied(backends->to_report);
}

/** True if the oldest unanswered request is overdue; logs when that begins. */
static bool is_overdue(backend_t *backend, uint64_t now) {
    const uint64_t *oldest = g_queue_peek_head(&backend->unanswered);
    uint64_t timeout = MAX(OVERDUE_MIN_MS, OVERDUE_FACTOR * (uint64_t)backend->observed.answer_ms);
    bool late = oldest != NULL && now > *oldest + timeout;
    if (late && !backend->overdue)
        event_log(BACKEND_EJECTED, backend->record->instance, 0U, "overdue");
    backend->overdue = late;
    return late;
}

uint32_t backend_ejection_report_ms(backend_t *backend) {
    uint64_t now = uv_now(backend->loop);
    uint32_t ejection_ms = ejection_remaining_ms(&backend->ejection, now);
    return is_overdue(backend, now) ? MAX(ejection_ms, OVERDUE_REPORT_MS) : ejection_ms;
}

bool backend_is_down(backend_t *backend) {
    uint64_t now = uv_now(backend->loop);
    bool unreachable = backend->unreachable_at > backend->observed.last_received_at &&
                       now < backend->unreachable_at + UNREACHABLE_VALID_MS;
    bool unresponsive = now > backend->observed.last_received_at + UNRESPONSIVE_MS;
    return unreachable || (unresponsive && is_overdue(backend, now));
}

/** Puts @p other into its place among the @p count latest senders; returns how many they are. */
static unsigned insert_sender(backend_t **senders, unsigned count, unsigned max, backend_t *other) {
    unsigned place = count;
    while (place > 0 &&
           other->observed.last_received_at > senders[place - 1]->observed.last_received_at)
        place--;
    if (place == max)
        return count;
    unsigned kept = MIN(count, max - 1);
    for (unsigned i = kept; i > place; i--)
        senders[i] = senders[i - 1];
    senders[place] = other;
    return kept + 1;
}

unsigned backends_latest_senders(const backends_t *backends, const backend_t *backend,
                                 backend_t **senders, unsigned max) {
    unsigned count = 0;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, backends->by_instance);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        backend_t *other = value;
        if (other != backend && !backend_is_down(other))
            count = insert_sender(senders, count, max, other);
    }
    return count;
}

bool backend_is_avoided(backend_t *backend) {
    uint64_t now = uv_now(backend->loop);
    return ejection_is_active(&backend->ejection, now) || backend_is_down(backend) ||
           is_overdue(backend, now);
}

/** Includes the back end in reports to other gateways until there is nothing left to report. */
static void mark_for_report(backend_t *backend) {
    if (!backend->removed)
        g_hash_table_add(backend->owner->to_report, backend);
    backend->owner->changes++;
}

void backend_acquire(backend_t *backend) {
    backend->references++;
    backend->under_way++;
    mark_for_report(backend);
}

void backend_request_sent(backend_t *backend, const uint64_t *sent_at) {
    g_queue_push_tail(&backend->unanswered, (gpointer)sent_at);
}

void backend_request_ended(backend_t *backend, const uint64_t *sent_at) {
    g_queue_remove(&backend->unanswered, sent_at);
}

void backend_response_started(backend_t *backend, const uint64_t *sent_at) {
    backend_request_ended(backend, sent_at);
    if (*sent_at < backend->incarnation_since)
        return;
    backend->observed.answered_sent_at = MAX(backend->observed.answered_sent_at, *sent_at);
    uint32_t ms = (uint32_t)(uv_now(backend->loop) - *sent_at);
    if (backend->observed.answer_ms == 0)
        backend->observed.answer_ms = ms;
    else
        backend->observed.answer_ms =
            (backend->observed.answer_ms * (SMOOTHING_DIVISOR - 1) + ms) / SMOOTHING_DIVISOR;
}

void backend_record_reset(backend_t *backend) {
    uint64_t now = uv_now(backend->loop);
    ejection_record_reset(&backend->ejection, now);
    event_log(BACKEND_EJECTED, backend->record->instance,
              ejection_remaining_ms(&backend->ejection, now), "reset");
    /* If the back end is down, its idle connections are dead as well. */
    close_idle(backend);
    mark_for_report(backend);
}

void backend_record_unsound(backend_t *backend) {
    uint64_t now = uv_now(backend->loop);
    ejection_record_reset(&backend->ejection, now);
    event_log(BACKEND_EJECTED, backend->record->instance,
              ejection_remaining_ms(&backend->ejection, now), "unsound");
    mark_for_report(backend);
}

static void on_idle_closed(void *owner, http_client_t *client) {
    backend_t *backend = owner;
    if (uv_now(backend->loop) < http_client_idle_until(client))
        backend_doubt_version(backend, uv_now(backend->loop));
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

void backend_return_connection(backend_t *backend, http_client_t *client) {
    bool keep = http_client_reusable(client) && !backend->removed && !backend->record->leaving &&
                backend->idle->len < IDLE_CONNECTIONS_MAX;
    if (!keep) {
        http_client_close(client);
        return;
    }
    g_ptr_array_add(backend->idle, client);
    http_client_limit_idle_time(client);
}

void backend_adopt_connection(backend_t *backend, http_client_t *client) {
    http_client_keep(client, on_idle_closed, backend);
    backend_return_connection(backend, client);
}
