/*
 * Decides whether this gateway watches the key-value service itself or follows the view of another
 * gateway (directory_feed.h, directory_follow.h).
 *
 * Only the gateways with the watch role (watch_role.h) watch the service. The others follow one of
 * them while their own watches are suspended. A suspended watch resumes from the latest revision
 * seen when there is no gateway to follow, or when another gateway reports a change that the source
 * did not deliver. Only watching gateways can be followed, which rules out cycles.
 *
 * In a large zone this applies to the root cell (store/gateway_registry.h). In each other cell the
 * first few live gateways follow a gateway of the root cell, one of their *sources*, whether that
 * one watches the service or follows another one, and the rest of the cell follows them. A source
 * whose view becomes stale, or that lacks a change known elsewhere, is replaced by the next one.
 * Such a gateway queries the service only if no source is usable, and the service may drop the
 * query without a response. Every view carries the time since the service last confirmed it, so a
 * cycle caused by temporarily inconsistent lists of gateways ends as the view ages.
 */
#include "gateway/gateway.h"

#include "common/event.h"

enum {
    PEER_REPORT_EXPIRY_MS = 1000, /**< Older reports of peers are ignored. */
    /**
     * Time after a failure of the service during which a gateway with the watch role may follow
     * another one instead of trying the service again.
     */
    SERVICE_RETRY_MS = 2000,
    SERVICE_RETRY_PROBED_MS = 10000, /**< The same, if enough others probe the service. */
    SOURCE_RETRY_MS = 300, /**< Delay before another source is tried; doubled with each refusal. */
    SOURCE_RETRY_DOUBLINGS_MAX = 4, /**< Maximum number of doublings. */
    /**
     * A gateway with the watch role gets a response every WATCH_WAIT_RENEWING_MS; after a longer
     * time without one changes may be missing.
     */
    VIEW_CURRENT_MS = WATCH_WAIT_RENEWING_MS + 1000,
};

/* Sources: gateways of the root cell that this one may follow. */

void gateway_update_peers(void *owner, const GPtrArray *addresses, const GPtrArray *sources) {
    gateway_t *gateway = owner;
    if (gateway->gateways_received_at == 0)
        gateway->gateways_received_at = MAX(1, uv_now(gateway->loop));
    g_array_set_size(gateway->sources, 0);
    for (guint i = 0; i < sources->len; i++) {
        struct sockaddr_in address;
        if (parse_socket_address(g_ptr_array_index(sources, i), &address))
            g_array_append_val(gateway->sources, address);
    }
    load_sharing_set_gateways(gateway->load_sharing, addresses, gateway->sources->len > 0);
}

/** True if the gateway that is followed, or being connected to, belongs to the root cell. */
static bool follows_root_cell(const gateway_t *gateway) {
    if (!directory_follow_active(gateway->follow))
        return false;
    const struct sockaddr_in *followed = directory_follow_source(gateway->follow);
    for (guint i = 0; i < gateway->sources->len; i++) {
        const struct sockaddr_in *source = &g_array_index(gateway->sources, struct sockaddr_in, i);
        if (source->sin_port == followed->sin_port &&
            source->sin_addr.s_addr == followed->sin_addr.s_addr)
            return true;
    }
    return false;
}

/** True if this gateway belongs to the root cell, so that gateways of other cells may follow it. */
static bool in_root_cell(const gateway_t *gateway) {
    return gateway->sources->len == 0 && gateway->gateways_received_at > 0;
}

/** True if the view comes from a gateway of the root cell. */
static bool has_root_cell_view(const gateway_t *gateway) {
    return directory_follow_current(gateway->follow) && follows_root_cell(gateway);
}

uint32_t gateway_directory_age(const gateway_t *gateway) {
    const key_value_watch_t *watch = gateway->watch;
    if (has_root_cell_view(gateway) || key_value_watch_rests(watch))
        return directory_follow_answer_age(gateway->follow);
    return watch_answer_age(key_value_watch_answered_at(watch), key_value_watch_failed_at(watch),
                            uv_now(gateway->loop));
}

void gateway_update_confirmation(gateway_t *gateway) {
    uint32_t age = gateway->watch == NULL ? UINT32_MAX : gateway_directory_age(gateway);
    uint64_t now = uv_now(gateway->loop);
    if (age < now)
        gateway->backends.confirmed_at = now - age;
}

/* Feed: gateways that follow this one. */

static void read_feed_state(void *owner, directory_feed_state_t *state) {
    gateway_t *gateway = owner;
    state->snapshot = &gateway->snapshot;
    state->group = gateway->group;
    state->answer_age = UINT32_MAX;
    if (gateway->watch == NULL)
        return;
    bool listed = key_value_watch_listed(gateway->watch);
    bool complete = listed && gateway->directory_confirmed;
    state->revision = complete ? key_value_watch_changed(gateway->watch) : 0;
    bool follows = directory_follow_current(gateway->follow);
    state->followable = !key_value_watch_rests(gateway->watch) || has_root_cell_view(gateway) ||
                        (in_root_cell(gateway) && follows);
    state->answer_age = gateway_directory_age(gateway);
}

/* The gateway that this one follows. */

static uint64_t own_revision(void *owner) {
    return key_value_watch_changed(((const gateway_t *)owner)->watch);
}

static uint64_t own_view_digest(void *owner) {
    const gateway_t *gateway = owner;
    return gateway->backends_listed ? gateway->snapshot.digest : 0;
}

static void on_source_view(void *owner, const directory_snapshot_t *snapshot, uint64_t revision) {
    gateway_t *gateway = owner;
    GHashTableIter iterator;
    gpointer key;
    gpointer value;
    if (snapshot != NULL) {
        g_hash_table_iter_init(&iterator, snapshot->items);
        while (g_hash_table_iter_next(&iterator, &key, &value)) {
            key_value_item_t item = {.key = key, .value = value, .revision = snapshot->revision};
            gateway_apply_item(gateway, &item);
        }
        gateway_retain_items(gateway, snapshot->items);
    }
    key_value_watch_advance(gateway->watch, revision);
    gateway_on_directory_complete(gateway);
}

static void on_source_changes(void *owner, const GArray *changes, uint64_t revision) {
    gateway_t *gateway = owner;
    if (changes->len > 0)
        event_log(GATEWAY_DIRECTORY_CHANGES, changes->len, revision);
    for (guint i = 0; i < changes->len; i++)
        gateway_apply_item(gateway, &g_array_index(changes, key_value_item_t, i));
    key_value_watch_advance(gateway->watch, revision);
}

static void on_source_group(void *owner, const message_t *message) {
    const gateway_t *gateway = owner;
    store_client_apply_group_message(gateway->stores, message);
}

static void on_source_lost(void *owner) {
    gateway_t *gateway = owner;
    gateway->sources_failed =
        MIN(gateway->sources_failed + 1, (unsigned)SOURCE_RETRY_DOUBLINGS_MAX);
    if (key_value_watch_rests(gateway->watch))
        key_value_watch_renew(gateway->watch);
}

static const directory_follow_handler_t follow_handler = {
    own_revision,      own_view_digest, on_source_view,
    on_source_changes, on_source_group, on_source_lost,
};

void gateway_init_directory(gateway_t *gateway) {
    directory_snapshot_init(&gateway->snapshot);
    gateway->sources = g_array_new(FALSE, FALSE, sizeof(struct sockaddr_in));
    gateway->feed = directory_feed_new(gateway->loop, read_feed_state, gateway);
    gateway->follow = directory_follow_new(gateway->loop, &follow_handler, gateway);
}

/* Assignment of the watch role among gateways; see core/configuration/watch_role.h. */

static void fill_report(void *owner, watch_report_t *report) {
    const gateway_t *gateway = owner;
    const key_value_watch_t *watch = gateway->watch;
    report->has_stores = store_client_connected_directly(gateway->stores);
    report->answer_age = UINT32_MAX;
    if (watch == NULL)
        return;
    report->answer_age = gateway_directory_age(gateway);
    report->changed = key_value_watch_changed(watch);
    bool watches = !key_value_watch_rests(watch) && key_value_watch_failed_at(watch) == 0;
    report->renews = gateway->renewing && gateway->directory_confirmed &&
                     (watches || has_root_cell_view(gateway));
}

/**
 * Records whether other gateways reach storage nodes that this one does not. When more of them than
 * before reach none, checks this gateway's own connections: the zone may be isolated.
 */
static void check_peers(gateway_t *gateway, const GArray *reports) {
    unsigned without = 0;
    gateway->peers_reach_stores = false;
    for (guint i = 0; i < reports->len; i++) {
        const watch_report_t *report = &g_array_index(reports, watch_report_t, i);
        bool recent = uv_now(gateway->loop) < report->last_received_at + PEER_REPORT_EXPIRY_MS;
        bool since = report->last_received_at > gateway->stores_unreachable_since;
        if (recent && since && report->has_stores)
            gateway->peers_reach_stores = true;
        without += recent && !report->has_stores;
    }
    if (without > gateway->peers_without_stores)
        store_client_suspect_isolation(gateway->stores);
    gateway->peers_without_stores = without;
}

/**
 * True if the gateway that is followed may still deliver a missing change: it sees the change at
 * the same time as the others, or at most one pause between watches after its latest response from
 * the service. Whether it still sends messages does not count, because a gateway that has lost only
 * the service sends them too; with a timeout of 1.5 s and two report periods for a source that
 * still sends, changes came into force up to 2.9 s late.
 */
static bool source_may_deliver(const gateway_t *gateway) {
    uint64_t now = uv_now(gateway->loop);
    uint64_t behind_since = gateway->watch_state.behind_since;
    uint32_t age = directory_follow_answer_age(gateway->follow);
    if (behind_since == 0 || !directory_follow_current(gateway->follow))
        return false;
    return now < behind_since + WATCH_SOURCE_LAG_MAX_MS ||
           age < WATCH_PAUSE_MAX_MS + WATCH_SOURCE_LAG_MAX_MS;
}

/** True if this gateway recently failed to reach the key-value service. */
static bool service_failed_recently(const gateway_t *gateway) {
    uint64_t failed_at = key_value_watch_failed_at(gateway->watch);
    uint64_t retry_ms = gateway->slow_retry ? SERVICE_RETRY_PROBED_MS : SERVICE_RETRY_MS;
    return failed_at > 0 && uv_now(gateway->loop) < failed_at + retry_ms;
}

bool gateway_directory_current(const gateway_t *gateway) {
    if (!gateway->directory_confirmed || gateway->watch == NULL)
        return false;
    uint64_t answered_at = key_value_watch_answered_at(gateway->watch);
    bool answered = answered_at > 0 && uv_now(gateway->loop) < answered_at + VIEW_CURRENT_MS;
    return answered || directory_follow_current(gateway->follow);
}

/** True if the followed gateway is not, or is no longer, the right one to follow. */
static bool follows_wrong_source(const gateway_t *gateway, bool rests) {
    struct sockaddr_in other;
    uint64_t last_received_at;
    bool below = gateway->sources->len > 0;
    /* Without the role, it follows the root cell until it can follow a gateway of its own cell. */
    if (follows_root_cell(gateway))
        return rests && load_sharing_find_source(gateway->load_sharing, 0, &other);
    if (below && !rests)
        return true;
    return !load_sharing_may_follow(gateway->load_sharing, directory_follow_source(gateway->follow),
                                    &last_received_at);
}

/**
 * Selects a gateway of this one's cell to follow. If other gateways report a change that this one
 * lacks, prefers one that has seen the latest. Returns false if none is available.
 */
static bool find_source(const gateway_t *gateway, struct sockaddr_in *source) {
    uint64_t changed = load_sharing_latest_change(gateway->load_sharing);
    bool lacks_change = changed > key_value_watch_changed(gateway->watch);
    if (!lacks_change || !load_sharing_find_source(gateway->load_sharing, changed, source))
        return load_sharing_find_source(gateway->load_sharing, 0, source);
    /* A source that was left for being behind may have caught up. */
    directory_follow_reset_backoff(gateway->follow);
    return true;
}

static void begin_to_follow(gateway_t *gateway, bool rests) {
    struct sockaddr_in source;
    unsigned sources = gateway->sources->len;
    uint64_t pause = (uint64_t)SOURCE_RETRY_MS << gateway->sources_failed;
    if (sources > 0 && !rests) {
        source =
            g_array_index(gateway->sources, struct sockaddr_in, gateway->sources_tried++ % sources);
        directory_follow_begin(gateway->follow, &source, pause);
    } else if (find_source(gateway, &source)) {
        directory_follow_begin(gateway->follow, &source, pause);
    }
}

/** True if another gateway can be followed that may have changes that the current source lacks. */
static bool has_other_source(const gateway_t *gateway, bool rests, uint64_t changed) {
    struct sockaddr_in other;
    if (gateway->sources->len > 0 && !rests)
        return gateway->sources_failed < SOURCE_RETRY_DOUBLINGS_MAX;
    return load_sharing_find_source(gateway->load_sharing, changed, &other);
}

/**
 * Follows a gateway that may have the missing changes, in place of the current source, if any.
 * Returns false if there is none, so that this gateway has to query the service.
 */
static bool change_source(gateway_t *gateway, bool rests) {
    uint64_t changed = load_sharing_latest_change(gateway->load_sharing);
    if (!has_other_source(gateway, rests, changed))
        return false;
    if (directory_follow_active(gateway->follow)) {
        directory_follow_end(gateway->follow, "behind", 0);
        gateway->sources_failed++;
    }
    gateway->watch_state.behind_since = 0;
    begin_to_follow(gateway, rests);
    return directory_follow_active(gateway->follow);
}

/** Follows another gateway if this one need not, or can't, watch the service itself. */
static void update_following(gateway_t *gateway, bool rests, bool renew) {
    directory_follow_t *follow = gateway->follow;
    bool below = gateway->sources->len > 0;
    /* In the root cell, the watch role requires querying the service unless that just failed. */
    bool may_follow = rests || below || service_failed_recently(gateway);
    renew = renew && !(may_follow && change_source(gateway, rests));
    bool held = key_value_watch_held_since(gateway->watch) > 0;
    bool may_rest = (gateway->directory_confirmed || held) && (rests || below);
    bool wanted = (may_rest || service_failed_recently(gateway)) && !renew &&
                  gateway->stores_unreachable_since == 0;
    if (!wanted)
        directory_follow_end(follow, renew ? "behind" : "duty", renew ? DIRECTORY_AVOID_MS : 0);
    else if (directory_follow_active(follow) && follows_wrong_source(gateway, rests))
        directory_follow_end(follow, "source", 0);
    if (wanted && !directory_follow_active(follow))
        begin_to_follow(gateway, rests);
    /* Suspends its own watch at once; it would otherwise soon be ahead of the source. */
    bool follows = directory_follow_active(follow);
    if (follows && !key_value_watch_rests(gateway->watch))
        key_value_watch_rest(gateway->watch);
    else if (!follows && (renew || key_value_watch_rests(gateway->watch)))
        key_value_watch_renew(gateway->watch);
    key_value_watch_set_pause(gateway->watch, rests ? WATCH_RESTING_PAUSE_MS : 0);
}

/** The first live gateways of a root cell offer the directory to storage nodes. */
static void update_offering(gateway_t *gateway, bool first) {
    bool begins = gateway->offers_directory_since == 0 || !gateway->peers_seen;
    gateway->peers_seen = true;
    if (!first)
        gateway->offers_directory_since = 0;
    else if (begins)
        gateway->offers_directory_since = uv_now(gateway->loop);
}

/** Updates the watch state from this gateway's watch or the followed root cell gateway. */
static void update_watch_state(gateway_t *gateway) {
    watch_state_t *own = &gateway->watch_state;
    uint64_t now = uv_now(gateway->loop);
    own->below = gateway->sources->len > 0;
    own->known = key_value_watch_known(gateway->watch);
    own->answered_at = key_value_watch_answered_at(gateway->watch);
    own->started_at = key_value_watch_begun_at(gateway->watch);
    uint32_t age = directory_follow_answer_age(gateway->follow);
    if (has_root_cell_view(gateway) && age != UINT32_MAX)
        own->answered_at = MAX(own->answered_at, now > age ? now - age : 0);
    if (age <= VIEW_CURRENT_MS)
        gateway->sources_failed = 0;
    /* While another source is being tried, the wait for a response starts again. */
    if (follows_root_cell(gateway) && !directory_follow_current(gateway->follow))
        own->started_at = now;
    /* A held listing waits for other gateways and does not time out. */
    if (key_value_watch_held_since(gateway->watch) > 0)
        own->started_at = now;
}

/** Leaves a source as soon as it reports that its view is unconfirmed: the next may be usable. */
static void leave_unconfirmed_source(gateway_t *gateway) {
    if (!has_root_cell_view(gateway) || directory_follow_answer_age(gateway->follow) != UINT32_MAX)
        return;
    change_source(gateway, false);
}

static uint64_t on_reports(void *owner, const GArray *reports, uint64_t period_ms,
                           uint64_t renewing_period_ms) {
    gateway_t *gateway = owner;
    if (gateway->watch == NULL)
        return UINT64_MAX;
    leave_unconfirmed_source(gateway);
    update_watch_state(gateway);
    watch_decision_t decision =
        watch_role_decide(&gateway->watch_state, (const watch_report_t *)reports->data,
                          reports->len, period_ms, renewing_period_ms, uv_now(gateway->loop));
    key_value_watch_set_wait(gateway->watch, decision.wait_ms);
    key_value_watch_set_patient(gateway->watch, decision.slow_retry);
    gateway->slow_retry = decision.slow_retry;
    gateway->renewing = decision.renewing;
    update_offering(gateway, decision.first && gateway->sources->len == 0);
    bool behind = gateway->watch_state.behind_since > 0;
    bool lacks_change = behind && directory_follow_current(gateway->follow);
    bool renew = (decision.renew || lacks_change) && !source_may_deliver(gateway);
    update_following(gateway, !gateway->renewing, renew);
    check_peers(gateway, reports);
    gateway_check_ready(gateway);
    return gateway->watch_state.behind_since > 0 ? WATCH_BEHIND_CHECK_INTERVAL_MS : UINT64_MAX;
}

const load_sharing_handler_t gateway_load_sharing_handler = {fill_report, on_reports};
