/*
 * A report has one entry for each back end at which the sender has calls in progress or that it has
 * ejected. It is sent at once when a back end is found down; otherwise when something has changed,
 * at most once a period, and again at a longer interval. The period grows with the number of
 * gateways, so that the traffic of one gateway stays constant; it is longer while no back end is
 * half full, when loads hardly affect the choice. Reports continue without any calls, because the
 * watches of the others depend on them (watch_role.h).
 *
 * In a zone of many gateways reports arrive far more often than calls, so the loads are summed up
 * only when a choice needs them.
 */
#include "gateway/load_sharing.h"

#include "common/event.h"
#include "gateway/backend_speeds.h"
#include "gateway/crash_reports.h"
#include "gateway/load_report.h"
#include "gateway/zone_loads.h"

#include <arpa/inet.h>
#include <string.h>

enum {
    REFRESH_MS = 400,              /**< Interval of reports without a change. */
    IDLE_REFRESH_MS = 1000,        /**< The same, while there are no calls to report. */
    URGENT_INTERVAL_MIN_MS = 20,   /**< Between two urgent reports. */
    RELAY_REPORT_EXPIRY_MS = 1500, /**< Maximum age of the last report of a relay. */
    REPORT_EXPIRY_MS = 1000,       /**< The loads of an older report are ignored. */
    INCARNATION_SETTLE_MS = 1000,  /**< Time for a new incarnation to reach all gateways. */
    LIST_INTERVAL_MS = 500,        /**< Between two reports of all known crashes. */
    RETURN_MS = 3000,      /**< A peer without reports for longer may have missed crashes. */
    SOURCE_PERIODS = 2,    /**< One report may be lost before a source is considered dead. */
    SUM_INTERVAL_MS = 100, /**< Sums are recomputed after this, because reports expire. */
    /** Delay of a check after a peer's report; a reported change usually arrives here by then. */
    CHANGE_CHECK_DELAY_MS = 20,
};

typedef struct {
    struct sockaddr_in address;
    uint64_t last_received_at;
    watch_report_t watch;
    GArray *entries; /**< Of load_entry_t. */
} gateway_peer_t;

struct load_sharing {
    uv_loop_t *loop;
    uv_udp_t socket;
    uv_timer_t timer;
    struct sockaddr_in own;
    backends_t *backends;
    const load_sharing_handler_t *handler;
    void *owner;
    GPtrArray *peers;                             /**< Of gateway_peer_t. */
    zone_loads_t zone_loads;                      /**< Exchanged between zones. */
    crash_reports_t crashes;                      /**< To be reported. */
    const crash_sharing_handler_t *crash_handler; /**< NULL: crashes are not shared. */
    void *crash_owner;
    bool lists_crashes;          /**< The next report has all known crashes. */
    uint64_t asks_crashes_until; /**< Reports ask for all known crashes; 0: no peer known yet. */
    uint64_t crashes_listed_at;  /**< When all known crashes were last due; 0: never. */
    bool urgent;                 /**< A report is due as soon as URGENT_INTERVAL_MIN_MS allows. */
    bool watches_stores;         /**< Checks soon after a peer has lost the storage nodes. */
    bool below;                  /**< The peers follow gateways of another cell. */
    bool sums_stale;             /**< A report was received since the loads were summed up. */
    uint64_t changed;            /**< The latest change that any peer reported. */
    uint64_t summed_at;
    uint64_t check_at; /**< When the timer fires; UINT64_MAX: it is not running. */
    watch_report_t sent_report;
    uint64_t sent_changes;
    uint64_t sent_at;
    bool sent_any;
    control_traffic_t traffic;
};

static void free_peer(gpointer data) {
    gateway_peer_t *peer = data;
    g_array_free(peer->entries, TRUE);
    g_free(peer);
}

static bool same_address(const struct sockaddr_in *a, const struct sockaddr_in *b) {
    return a->sin_port == b->sin_port && a->sin_addr.s_addr == b->sin_addr.s_addr;
}

static bool address_precedes(const struct sockaddr_in *a, const struct sockaddr_in *b) {
    uint32_t host_a = ntohl(a->sin_addr.s_addr);
    uint32_t host_b = ntohl(b->sin_addr.s_addr);
    return host_a != host_b ? host_a < host_b : ntohs(a->sin_port) < ntohs(b->sin_port);
}

static gateway_peer_t *find_peer(const load_sharing_t *sharing, const struct sockaddr_in *address) {
    for (guint i = 0; i < sharing->peers->len; i++) {
        gateway_peer_t *peer = g_ptr_array_index(sharing->peers, i);
        if (same_address(&peer->address, address))
            return peer;
    }
    return NULL;
}

/** Logs that a back end is ejected because of the reports of others. */
static void log_ejection(backend_t *backend, uint64_t now) {
    bool ejected_by_peers = ejection_is_reported(&backend->ejection, now);
    if (ejected_by_peers && !backend->ejected_by_peers)
        event_log(BACKEND_EJECTED, backend->record->instance,
                  (unsigned)(backend->ejection.reported_until - now), "gateways");
    backend->ejected_by_peers = ejected_by_peers;
}

static void reset_reported(GHashTable *reported_by_peers) {
    GHashTableIter iterator;
    gpointer key;
    g_hash_table_iter_init(&iterator, reported_by_peers);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        backend_t *backend = key;
        backend->peer_calls = 0;
        ejection_clear_reports(&backend->ejection);
    }
}

static void add_reported(load_sharing_t *sharing, const gateway_peer_t *peer, uint64_t now) {
    for (guint i = 0; i < peer->entries->len; i++) {
        const load_entry_t *entry = &g_array_index(peer->entries, load_entry_t, i);
        backend_t *backend = backends_find_hash(sharing->backends, entry->backend);
        if (backend == NULL)
            continue;
        if (backend->incarnation_since > peer->last_received_at)
            continue;
        backend->peer_calls += entry->under_way;
        /* An earlier report may be about the previous incarnation. */
        if (backend->incarnation_since == 0 ||
            peer->last_received_at >= backend->incarnation_since + INCARNATION_SETTLE_MS)
            ejection_add_report(&backend->ejection, peer->last_received_at + entry->ejected_ms,
                                now);
        g_hash_table_add(sharing->backends->reported_by_peers, backend);
    }
}

/** Logs changes, and stops tracking back ends that no report mentions any more. */
static void update_reported(GHashTable *reported_by_peers, uint64_t now) {
    GHashTableIter iterator;
    gpointer key;
    g_hash_table_iter_init(&iterator, reported_by_peers);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        backend_t *backend = key;
        log_ejection(backend, now);
        if (backend->peer_calls == 0 && backend->ejection.reported_until <= now)
            g_hash_table_iter_remove(&iterator);
    }
}

/** Sets the calls that other gateways have in progress at each back end, and which they eject. */
static void sum_peers(load_sharing_t *sharing) {
    uint64_t now = uv_now(sharing->loop);
    sharing->sums_stale = false;
    sharing->summed_at = now;
    reset_reported(sharing->backends->reported_by_peers);
    for (guint i = 0; i < sharing->peers->len; i++) {
        const gateway_peer_t *peer = g_ptr_array_index(sharing->peers, i);
        if (now <= peer->last_received_at + REPORT_EXPIRY_MS)
            add_reported(sharing, peer, now);
    }
    zone_loads_add_remote(&sharing->zone_loads, sharing->backends, now);
    update_reported(sharing->backends->reported_by_peers, now);
}

static void on_timer(uv_timer_t *timer);

/** Schedules a check within @p ms, unless one is due earlier. */
static void check_within(load_sharing_t *sharing, uint64_t ms) {
    uint64_t at = uv_now(sharing->loop) + ms;
    if (at >= sharing->check_at)
        return;
    sharing->check_at = at;
    uv_timer_start(&sharing->timer, on_timer, ms, 0);
}

/** Records the speeds in a peer's report and removes them from its entries; its loads stay. */
static void take_speeds(const load_sharing_t *sharing, gateway_peer_t *peer) {
    const struct sockaddr_in *address = &peer->address;
    uint64_t reporter = (uint64_t)address->sin_addr.s_addr << 16 | address->sin_port;
    for (guint i = peer->entries->len; i > 0; i--) {
        const load_entry_t *entry = &g_array_index(peer->entries, load_entry_t, i - 1);
        if (backend_speeds_record_report(sharing->backends, entry, reporter))
            g_array_remove_index_fast(peer->entries, i - 1);
    }
}

static GArray *list_crashes(const load_sharing_t *sharing, uint64_t request) {
    GArray *crashes = g_array_new(FALSE, FALSE, sizeof(crash_report_t));
    if (sharing->crash_handler != NULL)
        sharing->crash_handler->list_crashes(sharing->crash_owner, request, crashes);
    return crashes;
}

/** Makes the crashes under @p request due; 0: those under all requests about to be stopped. */
static void report_crashes(load_sharing_t *sharing, uint64_t request, unsigned audience) {
    GArray *crashes = list_crashes(sharing, request);
    for (guint i = 0; i < crashes->len; i++)
        crash_reports_add(&sharing->crashes, &g_array_index(crashes, crash_report_t, i), audience,
                          CONTROL_PRESSING, uv_now(sharing->loop));
    g_array_free(crashes, TRUE);
}

/** True if a list of known crashes may be due again. */
static bool may_list_crashes(const load_sharing_t *sharing) {
    return sharing->crash_handler != NULL &&
           uv_now(sharing->loop) >= sharing->crashes_listed_at + LIST_INTERVAL_MS;
}

/**
 * A gateway that has started asks for all known crashes; true if a report with them is due now. It
 * asks several times, and most gateways know none: reports that only say so would add up while all
 * gateways start.
 */
static bool answer_crash_request(load_sharing_t *sharing) {
    if (!may_list_crashes(sharing))
        return false;
    GArray *crashes = list_crashes(sharing, 0);
    sharing->lists_crashes |= crashes->len > 0;
    g_array_free(crashes, TRUE);
    return sharing->lists_crashes;
}

/** Handles a reported crash; true if a report is due now. */
static bool take_crash(load_sharing_t *sharing, const crash_report_t *crash,
                       crash_audience_t audience) {
    if (crash->request == 0)
        return answer_crash_request(sharing);
    crash_news_t news = sharing->crash_handler->on_crash(sharing->crash_owner, crash);
    bool relays = audience == CRASH_TO_CELL || sharing->zone_loads.gateways->len > 0;
    if (news != CRASH_NEAR_LIMIT || !relays)
        return false;
    if (crash->cleared)
        crash_reports_add(&sharing->crashes, crash, audience, CONTROL_PRESSING,
                          uv_now(sharing->loop));
    else
        report_crashes(sharing, crash->request, audience);
    sharing->traffic.counts.crashes_passed++;
    return true;
}

/** Passes on the crashes in a received report; new ones are relayed to @p audience. */
static void take_crashes(load_sharing_t *sharing, GArray *entries, crash_audience_t audience) {
    GArray *crashes = g_array_new(FALSE, FALSE, sizeof(crash_report_t));
    crash_reports_extract(entries, uv_now(sharing->loop), crashes);
    bool any = false;
    for (guint i = 0; i < crashes->len && sharing->crash_handler != NULL; i++)
        any |= take_crash(sharing, &g_array_index(crashes, crash_report_t, i), audience);
    g_array_free(crashes, TRUE);
    if (any)
        load_sharing_report_now(sharing, CONTROL_PRESSING);
}

static void take_zone_report(load_sharing_t *sharing, const struct sockaddr_in *from,
                             const void *data, size_t length) {
    if (!zone_loads_receive(&sharing->zone_loads, from, data, length, uv_now(sharing->loop)))
        return;
    sharing->sums_stale = true;
    take_crashes(sharing, zone_loads_entries(&sharing->zone_loads, from), CRASH_TO_CELL);
}

static void on_datagram(uv_udp_t *socket, ssize_t count, const uv_buf_t *buffer,
                        const struct sockaddr *from, unsigned flags) {
    load_sharing_t *sharing = socket->data;
    (void)flags;
    if (count <= 0 || from == NULL)
        return;
    gateway_peer_t *peer = find_peer(sharing, (const struct sockaddr_in *)from);
    if (peer == NULL) {
        take_zone_report(sharing, (const struct sockaddr_in *)from, buffer->base, (size_t)count);
        return;
    }
    watch_report_t watch = {.last_received_at = uv_now(sharing->loop),
                            .before = peer->watch.before,
                            .rank = peer->watch.rank};
    bool had_stores = peer->watch.has_stores;
    if (load_report_decode(&watch, peer->entries, buffer->base, (size_t)count))
        peer->watch = watch;
    else
        g_array_set_size(peer->entries, 0);
    take_speeds(sharing, peer);
    take_crashes(sharing, peer->entries, CRASH_TO_ZONES);
    bool returned = uv_now(sharing->loop) > peer->last_received_at + RETURN_MS;
    sharing->lists_crashes |= returned && may_list_crashes(sharing);
    peer->last_received_at = uv_now(sharing->loop);
    sharing->sums_stale = true;
    if (sharing->watches_stores && had_stores && !peer->watch.has_stores)
        check_within(sharing, CHANGE_CHECK_DELAY_MS);
    if (watch.changed <= sharing->changed)
        return;
    /* Checks early: in a large cell the reporting period exceeds a second. */
    sharing->changed = watch.changed;
    check_within(sharing, CHANGE_CHECK_DELAY_MS);
}

void load_sharing_refresh(load_sharing_t *sharing) {
    bool expired = uv_now(sharing->loop) >= sharing->summed_at + SUM_INTERVAL_MS;
    if (sharing->sums_stale || expired)
        sum_peers(sharing);
}

static char read_buffer[65536];

static void provide_buffer(uv_handle_t *handle, size_t size, uv_buf_t *buffer) {
    (void)handle;
    (void)size;
    *buffer = uv_buf_init(read_buffer, sizeof read_buffer);
}

static GArray *own_entries(const load_sharing_t *sharing) {
    GArray *entries = g_array_new(FALSE, FALSE, sizeof(load_entry_t));
    GHashTableIter iterator;
    gpointer key;
    g_hash_table_iter_init(&iterator, sharing->backends->to_report);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        backend_t *backend = key;
        uint32_t ejected_ms = backend_ejection_report_ms(backend);
        load_entry_t entry = {backend->id_hash, backend->under_way, ejected_ms};
        bool any = backend->under_way > 0 || ejected_ms > 0;
        if (any && entries->len < LOAD_ENTRIES_MAX)
            g_array_append_val(entries, entry);
        if (!any)
            g_hash_table_iter_remove(&iterator);
    }
    return entries;
}

/** Makes known crashes due again, for a gateway that has started or was out of reach. */
static void report_known_crashes(load_sharing_t *sharing) {
    sharing->lists_crashes = false;
    sharing->crashes_listed_at = uv_now(sharing->loop);
    sharing->traffic.counts.crash_lists++;
    report_crashes(sharing, 0, CRASH_TO_CELL);
}

/**
 * Number of crashes with @p priority that the credit allows in a datagram to @p receivers, besides
 * the entries that it has.
 */
static unsigned affordable_crashes(load_sharing_t *sharing, control_priority_t priority,
                                   unsigned receivers, const GArray *entries) {
    int64_t credit = control_traffic_credit(&sharing->traffic, priority, uv_now(sharing->loop));
    int64_t used = LOAD_REPORT_BYTES + (int64_t)entries->len * LOAD_ENTRY_BYTES;
    int64_t crashes = (credit / MAX(receivers, 1) - used) / LOAD_ENTRY_BYTES;
    return (unsigned)CLAMP(crashes, 0, CRASH_REPORTS_MAX);
}

/**
 * Appends the crashes that are due: those that are pressing as the credit allows, and a few in any
 * case, so that they reach the others while credit is short.
 */
static unsigned append_due_crashes(load_sharing_t *sharing, unsigned audience, unsigned receivers,
                                   unsigned waiting, GArray *entries) {
    unsigned pressing = affordable_crashes(sharing, CONTROL_PRESSING, receivers, entries);
    return crash_reports_append(&sharing->crashes, audience, MAX(pressing, CRASH_REPORTS_MIN),
                                waiting, uv_now(sharing->loop), entries);
}

/** Returns how many crashes were appended. */
static unsigned append_crashes(load_sharing_t *sharing, GArray *entries) {
    if (sharing->lists_crashes)
        report_known_crashes(sharing);
    if (uv_now(sharing->loop) < sharing->asks_crashes_until) {
        load_entry_t request = load_entry_crash_request();
        g_array_append_val(entries, request);
    }
    unsigned receivers = sharing->peers->len;
    unsigned waiting = affordable_crashes(sharing, CONTROL_CAN_WAIT, receivers, entries);
    sharing->traffic.counts.crashes_held += waiting == 0;
    return append_due_crashes(sharing, CRASH_TO_CELL, receivers, waiting, entries);
}

static void send_reports(load_sharing_t *sharing) {
    GArray *entries = own_entries(sharing);
    watch_report_t watch = {0};
    sharing->handler->fill_report(sharing->owner, &watch);
    sharing->sent_report = watch;
    sharing->urgent = false;
    sharing->sent_any = entries->len > 0;
    backend_speeds_append_report(sharing->backends, entries, sharing->peers->len);
    unsigned crashes = append_crashes(sharing, entries);
    GBytes *bytes = load_report_encode(&watch, entries);
    gsize length;
    const void *data = g_bytes_get_data(bytes, &length);
    uv_buf_t buffer = uv_buf_init((char *)data, (unsigned)length);
    for (guint i = 0; i < sharing->peers->len; i++) {
        const gateway_peer_t *peer = g_ptr_array_index(sharing->peers, i);
        uv_udp_try_send(&sharing->socket, &buffer, 1, (const struct sockaddr *)&peer->address);
    }
    control_traffic_record(&sharing->traffic, sharing->peers->len, length, crashes,
                           uv_now(sharing->loop));
    g_bytes_unref(bytes);
    g_array_free(entries, TRUE);
}

/** Sends this zone's loads to other zones. */
static void send_zone_loads(load_sharing_t *sharing) {
    uint64_t now = uv_now(sharing->loop);
    GArray *entries = own_entries(sharing);
    zone_loads_add_local(&sharing->zone_loads, sharing->backends, entries);
    g_array_free(entries, TRUE);
    for (guint i = 0; i < sharing->peers->len; i++) {
        const gateway_peer_t *peer = g_ptr_array_index(sharing->peers, i);
        if (now <= peer->last_received_at + REPORT_EXPIRY_MS)
            zone_loads_add_local(&sharing->zone_loads, sharing->backends, peer->entries);
    }
    GArray *crashes = g_array_new(FALSE, FALSE, sizeof(load_entry_t));
    unsigned receivers = sharing->zone_loads.gateways->len;
    append_due_crashes(sharing, CRASH_TO_ZONES, receivers, 0, crashes);
    size_t sent = zone_loads_send(&sharing->zone_loads, crashes, &sharing->socket);
    control_traffic_record(&sharing->traffic, sent > 0 ? receivers : 0, sent, crashes->len, now);
    g_array_free(crashes, TRUE);
}

/** Gateways that watch on behalf of others check more often whether a report is due. */
static uint64_t renewing_period_ms(const load_sharing_t *sharing) {
    return load_report_period_ms(sharing->peers->len, false);
}

static uint64_t period_ms(const load_sharing_t *sharing) {
    return load_report_period_ms(sharing->peers->len, !backends_half_full(sharing->backends));
}

/** True if a report is due. */
static bool report_due(const load_sharing_t *sharing, uint64_t now) {
    watch_report_t watch = {0};
    sharing->handler->fill_report(sharing->owner, &watch);
    /*
     * Followers receive a change by themselves, so only a gateway that watches reports it early. It
     * also reports each response to its watch at once: the others' timeout is hardly longer than a
     * watch and its pauses, and a report a second late would make all of them take over the watch
     * role.
     */
    bool answered = watch.answer_age != UINT32_MAX && now - watch.answer_age > sharing->sent_at;
    bool change = watch.changed != sharing->sent_report.changed;
    bool urgent = sharing->urgent || (watch.renews && (change || answered)) ||
                  watch.has_stores != sharing->sent_report.has_stores ||
                  watch.renews != sharing->sent_report.renews;
    uint64_t refresh_ms = sharing->sent_any ? REFRESH_MS : IDLE_REFRESH_MS;
    return urgent || sharing->backends->changes != sharing->sent_changes ||
           now >= sharing->sent_at + refresh_ms;
}

/** Passes on the reports of the others; returns the time in ms until this is due again. */
static uint64_t deliver_reports(const load_sharing_t *sharing) {
    GArray *reports = g_array_new(FALSE, FALSE, sizeof(watch_report_t));
    for (guint i = 0; i < sharing->peers->len; i++) {
        const gateway_peer_t *peer = g_ptr_array_index(sharing->peers, i);
        if (peer->watch.last_received_at > 0)
            g_array_append_val(reports, peer->watch);
    }
    uint64_t next_ms = sharing->handler->on_reports(sharing->owner, reports, period_ms(sharing),
                                                    renewing_period_ms(sharing));
    g_array_free(reports, TRUE);
    return next_ms;
}

static void arm_timer(load_sharing_t *sharing) {
    bool renews = sharing->sent_report.renews;
    check_within(sharing, renews ? renewing_period_ms(sharing) : period_ms(sharing));
}

static void on_timer(uv_timer_t *timer) {
    load_sharing_t *sharing = timer->data;
    uint64_t now = uv_now(sharing->loop);
    uint64_t changes = sharing->backends->changes;
    sharing->check_at = UINT64_MAX;
    if (report_due(sharing, now)) {
        sharing->sent_changes = changes;
        sharing->sent_at = now;
        send_reports(sharing);
    }
    if (sharing->zone_loads.gateways->len > 0)
        send_zone_loads(sharing);
    sum_peers(sharing);
    uint64_t next_ms = deliver_reports(sharing);
    arm_timer(sharing);
    if (next_ms != UINT64_MAX)
        check_within(sharing, next_ms);
}

void load_sharing_check_soon(load_sharing_t *sharing) {
    if (sharing->peers->len > 0)
        check_within(sharing, 0);
}

void load_sharing_report_now(load_sharing_t *sharing, control_priority_t priority) {
    uint64_t now = uv_now(sharing->loop);
    if (sharing->peers->len == 0)
        return;
    if (control_traffic_credit(&sharing->traffic, priority, now) <= 0) {
        sharing->urgent = true;
        sharing->traffic.counts.deferred++;
        return;
    }
    if (now < sharing->sent_at + URGENT_INTERVAL_MIN_MS) {
        sharing->urgent = true;
        check_within(sharing, sharing->sent_at + URGENT_INTERVAL_MIN_MS - now);
        return;
    }
    sharing->sent_changes = sharing->backends->changes;
    sharing->sent_at = now;
    sharing->traffic.counts.urgent_reports++;
    send_reports(sharing);
    if (sharing->zone_loads.gateways->len > 0)
        send_zone_loads(sharing);
}

const control_counts_t *load_sharing_counts(const load_sharing_t *sharing) {
    return &sharing->traffic.counts;
}

void load_sharing_share_crashes(load_sharing_t *sharing, const crash_sharing_handler_t *handler,
                                void *owner) {
    sharing->crash_handler = handler;
    sharing->crash_owner = owner;
}

void load_sharing_report_crash(load_sharing_t *sharing, const crash_report_t *crash,
                               crash_news_t news) {
    sharing->traffic.counts.crashes_found++;
    if (news == CRASH_NEAR_LIMIT)
        report_crashes(sharing, crash->request, CRASH_TO_CELL | CRASH_TO_ZONES);
    if (news == CRASH_FIRST || crash->cleared)
        crash_reports_add(&sharing->crashes, crash,
                          news == CRASH_FIRST ? CRASH_TO_CELL : CRASH_TO_CELL | CRASH_TO_ZONES,
                          news == CRASH_FIRST ? CONTROL_CAN_WAIT : CONTROL_PRESSING,
                          uv_now(sharing->loop));
}

bool load_sharing_find_relay(const load_sharing_t *sharing, struct sockaddr_in *address) {
    uint64_t now = uv_now(sharing->loop);
    unsigned found = 0;
    for (guint i = 0; i < sharing->peers->len; i++) {
        const gateway_peer_t *peer = g_ptr_array_index(sharing->peers, i);
        bool recent = now < peer->last_received_at + RELAY_REPORT_EXPIRY_MS;
        if (!recent || !peer->watch.has_stores)
            continue;
        /* Each candidate has the same probability. */
        found++;
        if (g_random_int_range(0, (gint32)found) == 0)
            *address = peer->address;
    }
    return found > 0;
}

/** True if others may follow this peer's view of the key-value service. */
static bool may_be_followed(const load_sharing_t *sharing, const gateway_peer_t *peer) {
    uint64_t now = uv_now(sharing->loop);
    bool recent =
        now < peer->last_received_at + IDLE_REFRESH_MS + SOURCE_PERIODS * period_ms(sharing);
    bool watch_works =
        sharing->below || watch_report_healthy(&peer->watch, renewing_period_ms(sharing), now);
    return recent && peer->watch.renews && watch_works;
}

/** Number of other gateways that may be followed and come before @p peer by address. */
static unsigned sources_before(const load_sharing_t *sharing, const gateway_peer_t *peer) {
    unsigned before = 0;
    for (guint i = 0; i < sharing->peers->len; i++) {
        const gateway_peer_t *other = g_ptr_array_index(sharing->peers, i);
        before +=
            may_be_followed(sharing, other) && address_precedes(&other->address, &peer->address);
    }
    return before;
}

uint64_t load_sharing_latest_change(const load_sharing_t *sharing) {
    uint64_t changed = 0;
    for (guint i = 0; i < sharing->peers->len; i++) {
        const gateway_peer_t *peer = g_ptr_array_index(sharing->peers, i);
        changed = MAX(changed, peer->watch.changed);
    }
    return changed;
}

bool load_sharing_find_source(const load_sharing_t *sharing, uint64_t changed,
                              struct sockaddr_in *address) {
    unsigned found = 0;
    for (guint i = 0; i < sharing->peers->len; i++) {
        const gateway_peer_t *peer = g_ptr_array_index(sharing->peers, i);
        /* Peers after the first WATCH_RENEWING will suspend their own watches. */
        if (!may_be_followed(sharing, peer) || peer->watch.changed < changed ||
            sources_before(sharing, peer) >= WATCH_RENEWING)
            continue;
        /* Each candidate has the same probability. */
        found++;
        if (g_random_int_range(0, (gint32)found) == 0)
            *address = peer->address;
    }
    return found > 0;
}

bool load_sharing_may_follow(const load_sharing_t *sharing, const struct sockaddr_in *address,
                             uint64_t *last_received_at) {
    const gateway_peer_t *peer = find_peer(sharing, address);
    *last_received_at = peer == NULL ? 0 : peer->last_received_at;
    return peer != NULL && may_be_followed(sharing, peer);
}

load_sharing_t *load_sharing_open(uv_loop_t *loop, const struct sockaddr_in *address,
                                  backends_t *backends, const load_sharing_handler_t *handler,
                                  void *owner) {
    load_sharing_t *sharing = g_new0(load_sharing_t, 1);
    sharing->handler = handler;
    sharing->owner = owner;
    sharing->loop = loop;
    sharing->own = *address;
    sharing->check_at = UINT64_MAX;
    sharing->backends = backends;
    sharing->peers = g_ptr_array_new_with_free_func(free_peer);
    zone_loads_init(&sharing->zone_loads);
    crash_reports_init(&sharing->crashes);
    uv_udp_init(loop, &sharing->socket);
    uv_timer_init(loop, &sharing->timer);
    sharing->socket.data = sharing;
    sharing->timer.data = sharing;
    if (uv_udp_bind(&sharing->socket, (const struct sockaddr *)address, 0) != 0 ||
        uv_udp_recv_start(&sharing->socket, provide_buffer, on_datagram) != 0)
        return NULL;
    return sharing;
}

void load_sharing_watch_stores(load_sharing_t *sharing) {
    sharing->watches_stores = true;
}

unsigned load_sharing_rank(const load_sharing_t *sharing) {
    unsigned rank = 0;
    for (guint i = 0; i < sharing->peers->len; i++)
        rank += ((const gateway_peer_t *)g_ptr_array_index(sharing->peers, i))->watch.before;
    return rank;
}

static void rank_peers(const load_sharing_t *sharing) {
    for (guint i = 0; i < sharing->peers->len; i++) {
        gateway_peer_t *peer = g_ptr_array_index(sharing->peers, i);
        peer->watch.rank = 0;
        for (guint j = 0; j < sharing->peers->len; j++) {
            const gateway_peer_t *other = g_ptr_array_index(sharing->peers, j);
            peer->watch.rank += address_precedes(&other->address, &peer->address);
        }
    }
}

void load_sharing_set_gateways(load_sharing_t *sharing, const GPtrArray *addresses, bool below) {
    sharing->below = below;
    GPtrArray *old = sharing->peers;
    sharing->peers = g_ptr_array_new_with_free_func(free_peer);
    for (guint i = 0; i < addresses->len; i++) {
        struct sockaddr_in address;
        if (!parse_socket_address(g_ptr_array_index(addresses, i), &address) ||
            same_address(&address, &sharing->own) || find_peer(sharing, &address) != NULL)
            continue;
        gateway_peer_t *peer = g_new0(gateway_peer_t, 1);
        peer->address = address;
        peer->watch.before = address_precedes(&address, &sharing->own);
        peer->entries = g_array_new(FALSE, TRUE, sizeof(load_entry_t));
        g_ptr_array_add(sharing->peers, peer);
        for (guint j = 0; j < old->len; j++) {
            gateway_peer_t *before = g_ptr_array_index(old, j);
            if (!same_address(&before->address, &address))
                continue;
            peer->last_received_at = before->last_received_at;
            peer->watch = before->watch;
            g_array_append_vals(peer->entries, before->entries->data, before->entries->len);
        }
    }
    g_ptr_array_free(old, TRUE);
    rank_peers(sharing);
    unsigned before = load_sharing_rank(sharing);
    zone_loads_set_gateways(&sharing->zone_loads, addresses, before, sharing->peers->len + 1);
    if (sharing->peers->len > 0 && sharing->asks_crashes_until == 0) {
        sharing->asks_crashes_until = uv_now(sharing->loop) + CRASH_REPEAT_MS;
        load_sharing_report_now(sharing, CONTROL_CAN_WAIT);
    }
    if (sharing->peers->len > 0)
        arm_timer(sharing);
}
