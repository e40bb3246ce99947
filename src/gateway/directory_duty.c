/*
 * Design. Only the gateways on duty (watch_duty.h) watch the key-value service. The others follow
 * one of them (directory_feed.h, directory_follow.h): their own watches rest, and begin again from
 * what they know when there is no gateway to follow, or when another one knows of a change that did
 * not come this way. They follow only those that watch, so that there are no circles.
 *
 * In a large zone that is so within its root cell (store/gateway_directory.h). Of each other cell
 * the first few gateways that are up follow some gateway of the root cell, one of their *sources*,
 * whether that one watches or follows itself, and the others follow them. A source whose view grows
 * old, or that lacks a change known elsewhere, is left for the next; only if none of them will do a
 * gateway asks the service itself, which may turn it away without a word. With each view goes how
 * long ago the service confirmed it, so that a circle, which lists of gateways that differ for a
 * moment could make, would end as its view grows old.
 */
#include "gateway/gateway.h"

#include "common/event.h"

enum {
    PEER_NEWS_MS = 1000, /**< What a gateway told counts for so long. */
    /** A gateway on duty that follows, as the service failed it, tries the service again after
       this, */
    FAILED_LATELY_MS = 2000,
    FAILED_LATELY_PATIENT_MS = 10000, /**< or after this if enough others do. */
    SOURCE_REFUSED_MS = 300, /**< Before another source is tried; doubled with each that refuses. */
    SOURCE_REFUSED_TIMES = 4, /**< So often. */
    /** A watch on duty is answered every 3 s (WATCH_WAIT_RENEWING_MS); later, news may be missed.
     */
    CURRENT_MS = WATCH_WAIT_RENEWING_MS + 1000,
};

/* Gateways of the root cell that this one may follow. */

void gateway_take_gateways(void *owner, const GPtrArray *addresses, const GPtrArray *sources) {
    gateway_t *gateway = owner;
    if (gateway->gateways_told_at == 0)
        gateway->gateways_told_at = MAX(1, uv_now(gateway->loop));
    g_array_set_size(gateway->sources, 0);
    for (guint i = 0; i < sources->len; i++) {
        struct sockaddr_in address;
        if (parse_socket_address(g_ptr_array_index(sources, i), &address))
            g_array_append_val(gateway->sources, address);
    }
    load_sharing_set_gateways(gateway->load_sharing, addresses, gateway->sources->len > 0);
}

/** True if the gateway that is followed, or being connected to, is of the root cell. */
static bool follows_root(const gateway_t *gateway) {
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

/** True if gateways of other cells may follow this one, which is of the root cell. */
static bool is_root(const gateway_t *gateway) {
    return gateway->sources->len == 0 && gateway->gateways_told_at > 0;
}

/** True if the view comes from a gateway of the root cell. */
static bool views_root(const gateway_t *gateway) {
    return directory_follow_current(gateway->follow) && follows_root(gateway);
}

uint32_t gateway_directory_age(const gateway_t *gateway) {
    const key_value_watch_t *watch = gateway->watch;
    if (views_root(gateway) || key_value_watch_rests(watch))
        return directory_follow_answer_age(gateway->follow);
    return watch_answer_age(key_value_watch_answered_at(watch), key_value_watch_failed_at(watch),
                            uv_now(gateway->loop));
}

/* Gateways that follow this one. */

static void read_feed_state(void *owner, directory_feed_state_t *state) {
    gateway_t *gateway = owner;
    state->snapshot = &gateway->snapshot;
    state->group = gateway->group;
    state->answer_age = UINT32_MAX;
    if (gateway->watch == NULL)
        return;
    bool listed = key_value_watch_listed(gateway->watch);
    bool sure = listed && gateway->directory_confirmed;
    state->known = sure ? key_value_watch_changed(gateway->watch) : 0;
    bool follows = directory_follow_current(gateway->follow);
    state->watching = !key_value_watch_rests(gateway->watch) || views_root(gateway) ||
                      (is_root(gateway) && follows);
    state->answer_age = gateway_directory_age(gateway);
}

/* The gateway that this one follows. */

static uint64_t followed_known(void *owner) {
    return key_value_watch_changed(((const gateway_t *)owner)->watch);
}

static uint64_t followed_view(void *owner) {
    const gateway_t *gateway = owner;
    return gateway->backends_listed ? gateway->snapshot.digest : 0;
}

static void on_followed_directory(void *owner, const directory_snapshot_t *snapshot,
                                  uint64_t known) {
    gateway_t *gateway = owner;
    GHashTableIter iterator;
    gpointer key;
    gpointer value;
    if (snapshot != NULL) {
        g_hash_table_iter_init(&iterator, snapshot->items);
        while (g_hash_table_iter_next(&iterator, &key, &value)) {
            key_value_item_t item = {.key = key, .value = value, .revision = snapshot->revision};
            gateway_take_item(gateway, &item);
        }
        gateway_retain_items(gateway, snapshot->items);
    }
    key_value_watch_advance(gateway->watch, known);
    gateway_note_listed(gateway);
}

static void on_followed_changes(void *owner, const GArray *changes, uint64_t known) {
    gateway_t *gateway = owner;
    if (changes->len > 0)
        event_log(GATEWAY_DIRECTORY_CHANGES, changes->len, known);
    for (guint i = 0; i < changes->len; i++)
        gateway_take_item(gateway, &g_array_index(changes, key_value_item_t, i));
    key_value_watch_advance(gateway->watch, known);
}

static void on_followed_group(void *owner, const message_t *message) {
    const gateway_t *gateway = owner;
    store_client_take_group(gateway->stores, message);
}

static void on_followed_lost(void *owner) {
    gateway_t *gateway = owner;
    gateway->sources_failed = MIN(gateway->sources_failed + 1, (unsigned)SOURCE_REFUSED_TIMES);
    if (key_value_watch_rests(gateway->watch))
        key_value_watch_renew(gateway->watch);
}

static const directory_follow_handler_t follow_handler = {
    followed_known,      followed_view,     on_followed_directory,
    on_followed_changes, on_followed_group, on_followed_lost,
};

void gateway_open_directory(gateway_t *gateway) {
    directory_snapshot_init(&gateway->snapshot);
    gateway->sources = g_array_new(FALSE, FALSE, sizeof(struct sockaddr_in));
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
    report->answer_age = gateway_directory_age(gateway);
    report->changed = key_value_watch_changed(watch);
    bool watches = !key_value_watch_rests(watch) && key_value_watch_failed_at(watch) == 0;
    report->renews =
        gateway->on_duty && gateway->directory_confirmed && (watches || views_root(gateway));
}

/**
 * Notes whether another gateway reaches storage nodes that this one does not. One that reaches none
 * any more may be the first to notice a cut.
 */
static void look_at_peers(gateway_t *gateway, const GArray *reports) {
    unsigned without = 0;
    gateway->others_have_stores = false;
    for (guint i = 0; i < reports->len; i++) {
        const watch_report_t *report = &g_array_index(reports, watch_report_t, i);
        bool lately = uv_now(gateway->loop) < report->heard_at + PEER_NEWS_MS;
        bool since = report->heard_at > gateway->stores_lost_at;
        if (lately && since && report->has_stores)
            gateway->others_have_stores = true;
        without += lately && !report->has_stores;
    }
    if (without > gateway->peers_without_stores)
        store_client_doubt(gateway->stores);
    gateway->peers_without_stores = without;
}

/**
 * True if a change that is missing may yet come from the gateway that is followed: it sees it when
 * others do, or a pause after its latest answer. Whether it is heard does not matter: one that was
 * cut off from the service is, and knows no better; with 1.5 s of patience then, and twice a period
 * of reports besides, changes came into force up to 2.9 s late.
 */
static bool source_may_tell(const gateway_t *gateway) {
    uint64_t now = uv_now(gateway->loop);
    uint64_t behind_since = gateway->watch_state.behind_since;
    uint32_t age = directory_follow_answer_age(gateway->follow);
    if (behind_since == 0 || !directory_follow_current(gateway->follow))
        return false;
    return now < behind_since + WATCH_SOURCE_LAG_MS ||
           age < WATCH_GATHER_MOST_MS + WATCH_SOURCE_LAG_MS;
}

/** True if this gateway failed to reach the key-value service not long ago. */
static bool service_failed_lately(const gateway_t *gateway) {
    uint64_t failed_at = key_value_watch_failed_at(gateway->watch);
    uint64_t lately_ms = gateway->patient ? FAILED_LATELY_PATIENT_MS : FAILED_LATELY_MS;
    return failed_at > 0 && uv_now(gateway->loop) < failed_at + lately_ms;
}

bool gateway_directory_current(const gateway_t *gateway) {
    if (!gateway->directory_confirmed || gateway->watch == NULL)
        return false;
    uint64_t answered_at = key_value_watch_answered_at(gateway->watch);
    bool answered = answered_at > 0 && uv_now(gateway->loop) < answered_at + CURRENT_MS;
    return answered || directory_follow_current(gateway->follow);
}

/** True if the gateway that is followed is not, or no longer, the one to follow. */
static bool follows_wrong_one(const gateway_t *gateway, bool rests) {
    struct sockaddr_in other;
    uint64_t heard_at;
    bool below = gateway->sources->len > 0;
    if (follows_root(gateway)) /* The first of a cell do; one that became another may go on. */
        return rests && load_sharing_find_source(gateway->load_sharing, 0, &other);
    if (below && !rests)
        return true;
    return !load_sharing_look_at_source(gateway->load_sharing,
                                        directory_follow_source(gateway->follow), &heard_at);
}

/**
 * Finds a gateway of this one's cell to follow: one that has seen the latest change known, or
 * without any that this one lacks, whichever there is. False: none will do.
 */
static bool find_source(const gateway_t *gateway, struct sockaddr_in *source) {
    uint64_t changed = load_sharing_changed(gateway->load_sharing);
    bool lacking = changed > key_value_watch_changed(gateway->watch);
    if (!lacking || !load_sharing_find_source(gateway->load_sharing, changed, source))
        return load_sharing_find_source(gateway->load_sharing, 0, source);
    /* One that was left because it was behind no longer is. */
    directory_follow_forgive(gateway->follow);
    return true;
}

static void begin_to_follow(gateway_t *gateway, bool rests) {
    struct sockaddr_in source;
    unsigned sources = gateway->sources->len;
    uint64_t pause = (uint64_t)SOURCE_REFUSED_MS << gateway->sources_failed;
    if (sources > 0 && !rests) {
        source =
            g_array_index(gateway->sources, struct sockaddr_in, gateway->sources_tried++ % sources);
        directory_follow_begin(gateway->follow, &source, pause);
    } else if (find_source(gateway, &source)) {
        directory_follow_begin(gateway->follow, &source, pause);
    }
}

/** True if there is another gateway to follow that may know more than the one followed now. */
static bool has_other_source(const gateway_t *gateway, bool rests, uint64_t changed) {
    struct sockaddr_in other;
    if (gateway->sources->len > 0 && !rests)
        return gateway->sources_failed < SOURCE_REFUSED_TIMES;
    return load_sharing_find_source(gateway->load_sharing, changed, &other);
}

/**
 * Follows a gateway that may know what this one lacks, in place of the one that is followed, if
 * any; false if there is none and this gateway has to ask the service.
 */
static bool change_source(gateway_t *gateway, bool rests) {
    uint64_t changed = load_sharing_changed(gateway->load_sharing);
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

/** Follows another gateway if this one need not watch itself, or can't. */
static void look_whether_to_follow(gateway_t *gateway, bool rests, bool renew) {
    directory_follow_t *follow = gateway->follow;
    bool below = gateway->sources->len > 0;
    /* One on duty at the root has to ask the service, unless that has just failed it. */
    bool may_follow = rests || below || service_failed_lately(gateway);
    renew = renew && !(may_follow && change_source(gateway, rests));
    bool held = key_value_watch_held_since(gateway->watch) > 0;
    bool may_rest = (gateway->directory_confirmed || held) && (rests || below);
    bool wanted =
        (may_rest || service_failed_lately(gateway)) && !renew && gateway->stores_lost_at == 0;
    if (!wanted)
        directory_follow_end(follow, renew ? "behind" : "duty", renew ? DIRECTORY_AVOID_MS : 0);
    else if (directory_follow_active(follow) && follows_wrong_one(gateway, rests))
        directory_follow_end(follow, "source", 0);
    if (wanted && !directory_follow_active(follow))
        begin_to_follow(gateway, rests);
    /* Its own watch rests from the beginning: else it would soon know more than the source. */
    bool follows = directory_follow_active(follow);
    if (follows && !key_value_watch_rests(gateway->watch))
        key_value_watch_rest(gateway->watch);
    else if (!follows && (renew || key_value_watch_rests(gateway->watch)))
        key_value_watch_renew(gateway->watch);
    key_value_watch_set_pause(gateway->watch, rests ? WATCH_RESTING_PAUSE_MS : 0);
}

/** The first gateways of a root cell that are up offer storage nodes the directory. */
static void look_whether_to_offer(gateway_t *gateway, bool first) {
    bool begins = gateway->offers_directory_since == 0 || !gateway->reports_seen;
    gateway->reports_seen = true;
    if (!first)
        gateway->offers_directory_since = 0;
    else if (begins)
        gateway->offers_directory_since = uv_now(gateway->loop);
}

/** What this gateway's own watch, or the root cell's that it follows, has shown. */
static void note_own_watch(gateway_t *gateway) {
    watch_state_t *own = &gateway->watch_state;
    uint64_t now = uv_now(gateway->loop);
    own->below = gateway->sources->len > 0;
    own->known = key_value_watch_known(gateway->watch);
    own->answered_at = key_value_watch_answered_at(gateway->watch);
    own->begun_at = key_value_watch_begun_at(gateway->watch);
    uint32_t age = directory_follow_answer_age(gateway->follow);
    if (views_root(gateway) && age != UINT32_MAX)
        own->answered_at = MAX(own->answered_at, now > age ? now - age : 0);
    if (age <= CURRENT_MS)
        gateway->sources_failed = 0;
    /* While another source is tried it is not asked for more. */
    if (follows_root(gateway) && !directory_follow_current(gateway->follow))
        own->begun_at = now;
    /* A listing that is held waits for others; it is not given up. */
    if (key_value_watch_held_since(gateway->watch) > 0)
        own->begun_at = now;
}

/** A source whose own watch fails is left at once: the next may be in order. */
static void leave_unconfirmed_source(gateway_t *gateway) {
    if (!views_root(gateway) || directory_follow_answer_age(gateway->follow) != UINT32_MAX)
        return;
    change_source(gateway, false);
}

static uint64_t on_reports(void *owner, const GArray *reports, uint64_t period_ms,
                           uint64_t renewing_period_ms) {
    gateway_t *gateway = owner;
    if (gateway->watch == NULL)
        return UINT64_MAX;
    leave_unconfirmed_source(gateway);
    note_own_watch(gateway);
    watch_decision_t decision =
        watch_duty_decide(&gateway->watch_state, (const watch_report_t *)reports->data,
                          reports->len, period_ms, renewing_period_ms, uv_now(gateway->loop));
    key_value_watch_set_wait(gateway->watch, decision.wait_ms);
    key_value_watch_set_patient(gateway->watch, decision.patient);
    gateway->patient = decision.patient;
    gateway->on_duty = decision.on_duty;
    look_whether_to_offer(gateway, decision.first && gateway->sources->len == 0);
    bool behind = gateway->watch_state.behind_since > 0;
    bool lacks_change = behind && directory_follow_current(gateway->follow);
    bool renew = (decision.renew || lacks_change) && !source_may_tell(gateway);
    look_whether_to_follow(gateway, !gateway->on_duty, renew);
    look_at_peers(gateway, reports);
    gateway_check_ready(gateway);
    return gateway->watch_state.behind_since > 0 ? WATCH_LOOK_BEHIND_MS : UINT64_MAX;
}

const load_sharing_handler_t gateway_watch_sharing = {tell, on_reports};
