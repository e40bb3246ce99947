/*
 * Design. Only the gateways on duty (watch_duty.h) watch the key-value service. The others follow
 * one of them (directory_feed.h, directory_follow.h): their own watches rest, and begin again from
 * what they know when there is no gateway to follow, or when another one knows of a change that did
 * not come this way. A gateway that rests can't be followed, so that there are no circles.
 */
#include "gateway/gateway.h"

enum {
    PEER_NEWS_MS = 1000,      /**< What a gateway told counts for so long. */
    FAILED_LATELY_MS = 10000, /**< A gateway on duty that follows tries the service again then. */
    FOLLOW_LAG_MS = 1500,     /**< A followed gateway notices within this that it lags. */
    /** A watch on duty is answered every 3 s (WATCH_WAIT_RENEWING_MS); later, news may be missed.
     */
    CURRENT_MS = WATCH_WAIT_RENEWING_MS + 1000,
};

/* Gateways that follow this one. */

static void read_feed_state(void *owner, directory_feed_state_t *state) {
    const gateway_t *gateway = owner;
    state->snapshot = &gateway->snapshot;
    state->group = gateway->group;
    bool watches = gateway->watch != NULL && key_value_watch_listed(gateway->watch);
    state->known = watches ? key_value_watch_changed(gateway->watch) : 0;
    state->watching = gateway->watch != NULL && !key_value_watch_rests(gateway->watch);
}

/* The gateway that this one follows. */

static uint64_t followed_known(void *owner) {
    return key_value_watch_changed(((const gateway_t *)owner)->watch);
}

static void on_followed_directory(void *owner, const directory_snapshot_t *snapshot,
                                  uint64_t known) {
    gateway_t *gateway = owner;
    GHashTableIter iterator;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iterator, snapshot->items);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        key_value_item_t item = {.key = key, .value = value, .revision = snapshot->revision};
        gateway_take_item(gateway, &item);
    }
    gateway_retain_items(gateway, snapshot->items);
    key_value_watch_advance(gateway->watch, known);
    gateway->backends_listed = true;
    gateway->directory_confirmed = true;
    directory_feed_listed(gateway->feed);
    gateway_check_ready(gateway);
}

static void on_followed_changes(void *owner, const GArray *changes, uint64_t known) {
    gateway_t *gateway = owner;
    for (guint i = 0; i < changes->len; i++)
        gateway_take_item(gateway, &g_array_index(changes, key_value_item_t, i));
    key_value_watch_advance(gateway->watch, known);
}

static void on_followed_group(void *owner, const message_t *message) {
    const gateway_t *gateway = owner;
    store_client_take_group(gateway->stores, message);
}

static void on_followed_lost(void *owner) {
    const gateway_t *gateway = owner;
    if (key_value_watch_rests(gateway->watch))
        key_value_watch_renew(gateway->watch);
}

static const directory_follow_handler_t follow_handler = {
    followed_known, on_followed_directory, on_followed_changes, on_followed_group, on_followed_lost,
};

void gateway_open_directory(gateway_t *gateway) {
    directory_snapshot_init(&gateway->snapshot);
    gateway->feed = directory_feed_new(gateway->loop, read_feed_state, gateway);
    gateway->follow = directory_follow_new(gateway->loop, &follow_handler, gateway);
}

/* Gateways share the duty of asking anew; see core/configuration/watch_duty.h. */

static void tell(void *owner, watch_report_t *report) {
    const gateway_t *gateway = owner;
    const key_value_watch_t *watch = gateway->watch;
    report->has_stores = store_client_connected_directly(gateway->stores);
    report->answer_age = UINT32_MAX;
    if (watch == NULL)
        return;
    report->answer_age = watch_answer_age(key_value_watch_answered_at(watch),
                                          key_value_watch_failed_at(watch), uv_now(gateway->loop));
    report->changed = key_value_watch_changed(watch);
    report->renews = gateway->on_duty && gateway->directory_confirmed &&
                     !key_value_watch_rests(watch) && key_value_watch_failed_at(watch) == 0;
}

/** Notes whether another gateway reaches storage nodes that this one does not. */
static void look_at_peers(gateway_t *gateway, const GArray *reports) {
    gateway->others_have_stores = false;
    for (guint i = 0; i < reports->len; i++) {
        const watch_report_t *report = &g_array_index(reports, watch_report_t, i);
        bool lately = uv_now(gateway->loop) < report->heard_at + PEER_NEWS_MS;
        bool since = report->heard_at > gateway->stores_lost_at;
        if (lately && since && report->has_stores)
            gateway->others_have_stores = true;
    }
}

/** True if the gateway that is followed lags and seems to be up: it will notice by itself. */
static bool source_finds_out(const gateway_t *gateway, uint64_t period_ms) {
    uint64_t behind_since = gateway->watch_state.behind_since;
    uint64_t heard_at;
    if (!directory_follow_current(gateway->follow) ||
        !load_sharing_look_at_source(gateway->load_sharing,
                                     directory_follow_source(gateway->follow), &heard_at))
        return false;
    uint64_t patience = heard_at > behind_since ? FOLLOW_LAG_MS : WATCH_LAG_MS + period_ms;
    return uv_now(gateway->loop) < behind_since + patience;
}

/** True if this gateway failed to reach the key-value service not long ago. */
static bool service_failed_lately(const gateway_t *gateway) {
    uint64_t failed_at = key_value_watch_failed_at(gateway->watch);
    return failed_at > 0 && uv_now(gateway->loop) < failed_at + FAILED_LATELY_MS;
}

bool gateway_directory_current(const gateway_t *gateway) {
    if (!gateway->directory_confirmed || gateway->watch == NULL)
        return false;
    uint64_t answered_at = key_value_watch_answered_at(gateway->watch);
    bool answered = answered_at > 0 && uv_now(gateway->loop) < answered_at + CURRENT_MS;
    return answered || directory_follow_current(gateway->follow);
}

/** Follows another gateway if this one need not watch itself, or can't. */
static void look_whether_to_follow(gateway_t *gateway, bool rests, bool renew) {
    directory_follow_t *follow = gateway->follow;
    bool failed = service_failed_lately(gateway);
    bool may_rest = gateway->directory_confirmed && rests;
    bool wanted = (may_rest || failed) && !renew && gateway->stores_lost_at == 0;
    struct sockaddr_in source;
    uint64_t heard_at;
    if (!wanted) {
        directory_follow_end(follow, renew ? "behind" : "duty",
                             renew ? DIRECTORY_FOLLOW_PAUSE_MS : 0);
    } else if (directory_follow_active(follow) &&
               !load_sharing_look_at_source(gateway->load_sharing, directory_follow_source(follow),
                                            &heard_at)) {
        directory_follow_end(follow, "source", 0);
    }
    if (wanted && !directory_follow_active(follow) &&
        load_sharing_find_source(gateway->load_sharing, &source))
        directory_follow_begin(follow, &source);
    /* Its own watch rests from the beginning: else it would soon know more than the source. */
    bool follows = directory_follow_active(follow);
    if (follows && !key_value_watch_rests(gateway->watch))
        key_value_watch_rest(gateway->watch);
    else if (!follows && (renew || key_value_watch_rests(gateway->watch)))
        key_value_watch_renew(gateway->watch);
    key_value_watch_set_pause(gateway->watch, rests ? WATCH_RESTING_PAUSE_MS : 0);
}

/** The first gateways of a zone that are up tell storage nodes the directory. */
static void look_whether_to_tell(gateway_t *gateway, bool first) {
    bool begins = gateway->tells_directory_since == 0 || !gateway->reports_seen;
    gateway->reports_seen = true;
    if (!first)
        gateway->tells_directory_since = 0;
    else if (begins)
        gateway->tells_directory_since = uv_now(gateway->loop);
}

static void on_reports(void *owner, const GArray *reports, uint64_t period_ms) {
    gateway_t *gateway = owner;
    if (gateway->watch == NULL)
        return;
    watch_state_t *own = &gateway->watch_state;
    own->known = key_value_watch_known(gateway->watch);
    own->answered_at = key_value_watch_answered_at(gateway->watch);
    own->begun_at = key_value_watch_begun_at(gateway->watch);
    watch_decision_t decision = watch_duty_decide(own, (const watch_report_t *)reports->data,
                                                  reports->len, period_ms, uv_now(gateway->loop));
    key_value_watch_set_wait(gateway->watch, decision.wait_ms);
    key_value_watch_set_patient(gateway->watch, decision.patient);
    gateway->on_duty = decision.wait_ms == WATCH_WAIT_RENEWING_MS;
    look_whether_to_tell(gateway, decision.first);
    bool renew = decision.renew && !source_finds_out(gateway, period_ms);
    look_whether_to_follow(gateway, !gateway->on_duty, renew);
    look_at_peers(gateway, reports);
    gateway_check_ready(gateway);
}

const load_sharing_handler_t gateway_watch_sharing = {tell, on_reports};
