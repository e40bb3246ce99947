/*
 * Detects members that do not respond. A connection to an isolated member stays open for seconds,
 * so two checks use the time of the last message instead. The first runs in every deployment: while
 * an operation waits without responses from a quorum, members that do not respond are reconnected
 * by another path. The second, if enabled, determines whether the whole zone is isolated
 * (core/isolation/zone_isolation.h); it decides sooner and holds its result longer. An idle gateway
 * sends no probes.
 */
#include "gateway/store_client_state.h"

#include "common/event.h"

#include <string.h>

enum {
    RESPONSE_TIMEOUT_MS = 400,
    UNRESPONSIVE_CHECKS_MIN = 2, /**< In a row; one may fail because this process was paused. */
    SUSPICION_TIMEOUT_MS = 1000, /**< A suspicion reported by another gateway expires after this. */
};

static member_t *member_at(const store_client_t *client, unsigned index) {
    return g_ptr_array_index(client->members, index);
}

bool store_health_is_connected(const store_client_t *client, const member_t *member) {
    return member->link->open && (member->link->has_received || !client->isolation_enabled);
}

static unsigned count_responsive(const store_client_t *client, uint64_t since) {
    unsigned responsive = 0;
    for (guint i = 0; i < client->members->len; i++) {
        const member_t *member = member_at(client, i);
        responsive +=
            store_health_is_connected(client, member) && member->link->last_received_at >= since;
    }
    return responsive;
}

static bool has_waiting_operation(const store_client_t *client, uint64_t wait_ms) {
    uint64_t now = uv_now(client->loop);
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, client->operations);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        if (now >= ((const store_operation_t *)value)->started_at + wait_ms)
            return true;
    return false;
}

/** Reconnects links without a message since @p since, perhaps through another gateway. */
static void reconnect_unresponsive_links(const store_client_t *client, uint64_t since) {
    for (guint i = 0; i < client->members->len; i++) {
        const member_t *member = member_at(client, i);
        if (member->link->open && member->link->last_received_at < since)
            store_link_reconnect(member->link);
    }
}

static void set_unresponsive(store_client_t *client, bool unresponsive) {
    if (client->unresponsive == unresponsive)
        return;
    client->unresponsive = unresponsive;
    event_log(GATEWAY_STORES_UNRESPONSIVE, unresponsive ? "yes" : "no");
}

static GBytes *status_request(void) {
    message_t request;
    message_init(&request, REQUEST_STATUS);
    GBytes *bytes = message_encode(&request);
    message_clear(&request);
    return bytes;
}

static void request_status(const store_client_t *client) {
    GBytes *bytes = status_request();
    for (guint i = 0; i < client->members->len; i++) {
        const member_t *member = member_at(client, i);
        if (member->link->open)
            store_link_send(member->link, g_bytes_ref(bytes));
    }
    g_bytes_unref(bytes);
}

/**
 * Probes the members while an operation waits and no quorum has sent a message recently. After
 * UNRESPONSIVE_CHECKS_MIN such checks in a row, also marks the members as unresponsive and
 * reconnects links without a recent message, until a quorum responds.
 */
static void check_responsiveness(store_client_t *client) {
    uint64_t now = uv_now(client->loop);
    uint64_t since = now > RESPONSE_TIMEOUT_MS ? now - RESPONSE_TIMEOUT_MS : 0;
    bool responsive = count_responsive(client, since) >= store_write_quorum(client->members->len);
    if (responsive ||
        (!client->unresponsive && !has_waiting_operation(client, RESPONSE_TIMEOUT_MS))) {
        client->unresponsive_checks = 0;
        set_unresponsive(client, false);
        return;
    }
    client->unresponsive_checks++;
    if (client->unresponsive_checks >= UNRESPONSIVE_CHECKS_MIN) {
        set_unresponsive(client, true);
        reconnect_unresponsive_links(client, since);
    }
    request_status(client);
}

/* Isolation of the zone. */

static bool quorum_is_connected(const store_client_t *client) {
    unsigned counted = 0;
    for (guint i = 0; i < client->members->len; i++)
        counted += store_health_is_connected(client, member_at(client, i));
    return counted >= store_write_quorum(client->members->len);
}

/** True while a reported suspicion has neither expired nor been refuted by a quorum. */
static bool isolation_suspected(store_client_t *client, uint64_t now) {
    if (client->suspected_at == 0)
        return false;
    unsigned responsive = 0;
    for (guint i = 0; i < client->members->len; i++)
        responsive += member_at(client, i)->observation.last_received_at > client->suspected_at;
    if (responsive >= store_write_quorum(client->members->len) ||
        now >= client->suspected_at + SUSPICION_TIMEOUT_MS)
        client->suspected_at = 0;
    return client->suspected_at > 0;
}

static void probe_members(const store_client_t *client, uint64_t now) {
    for (guint i = 0; i < client->members->len; i++) {
        zone_member_t *observation = &member_at(client, i)->observation;
        observation->probed_at = observation->probed_at == 0 ? now : observation->probed_at;
    }
    request_status(client);
}

static void log_isolation(const store_client_t *client, bool isolated, uint64_t duration_ms) {
    unsigned local = 0;
    unsigned unanswered = 0;
    for (guint i = 0; i < client->members->len; i++) {
        const zone_member_t *observation = &member_at(client, i)->observation;
        local += observation->local;
        unanswered += observation->probed_at > 0;
    }
    event_log(GATEWAY_ZONE_ISOLATION, isolated ? "yes" : "no", client->members->len, local,
              unanswered, g_hash_table_size(client->operations), duration_ms);
}

static void on_isolation_changed(store_client_t *client, uint64_t since) {
    bool isolated = client->isolation.isolated;
    log_isolation(client, isolated, client->isolation.since - since);
    if (client->handler->on_zone_isolation != NULL)
        client->handler->on_zone_isolation(client->owner, isolated);
    if (isolated)
        store_operation_end_undecided(client);
}

static void check_isolation(store_client_t *client) {
    uint64_t now = uv_now(client->loop);
    unsigned count = client->members->len;
    zone_member_t *members = g_new(zone_member_t, count + 1);
    for (unsigned i = 0; i < count; i++)
        members[i] = member_at(client, i)->observation;
    bool waiting = isolation_suspected(client, now) || !quorum_is_connected(client) ||
                   has_waiting_operation(client, ZONE_SUSPECT_AFTER_MS);
    zone_isolation_t before = client->isolation;
    zone_isolation_step_t step = zone_isolation_check(&client->isolation, members, count,
                                                      store_write_quorum(count), waiting, now);
    g_free(members);
    if (client->isolation.isolated != before.isolated)
        on_isolation_changed(client, before.isolated ? before.since : before.suspected_since);
    if (step == ZONE_ISOLATION_RECONNECT)
        reconnect_unresponsive_links(client, client->isolation.suspected_since);
    if (step != ZONE_ISOLATION_NO_ACTION)
        probe_members(client, now);
}

static void on_check_timer(uv_timer_t *timer);

static void schedule_check(store_client_t *client, uint64_t ms) {
    if (client->check_scheduled)
        return;
    client->check_scheduled = true;
    uv_timer_start(&client->check_timer, on_check_timer, ms, 0);
}

/** Continues checking while the zone is isolated or suspected, or an operation is pending. */
static void reschedule_check(store_client_t *client) {
    const zone_isolation_t *zone = &client->isolation;
    if (zone->isolated || zone->suspected_since > 0 || client->suspected_at > 0)
        schedule_check(client, ZONE_CHECK_INTERVAL_MS);
    else if (g_hash_table_size(client->operations) > 0)
        schedule_check(client, ZONE_SUSPECT_AFTER_MS);
}

static void on_check_timer(uv_timer_t *timer) {
    store_client_t *client = timer->data;
    client->check_scheduled = false;
    check_isolation(client);
    reschedule_check(client);
}

static void check_isolation_now(store_client_t *client) {
    if (!client->isolation_enabled || client->members->len == 0)
        return;
    check_isolation(client);
    reschedule_check(client);
}

void store_health_init(store_client_t *client) {
    uv_timer_init(client->loop, &client->check_timer);
    client->check_timer.data = client;
}

void store_health_check(store_client_t *client) {
    check_responsiveness(client);
    if (client->isolation_enabled && !quorum_is_connected(client))
        check_isolation_now(client);
}

void store_health_on_link_open(const store_client_t *client, const member_t *member) {
    if (client->isolation_enabled)
        store_link_send(member->link, status_request());
}

void store_health_record_response(member_t *member, message_type_t type) {
    switch (type) {
    case RESPONSE_RESERVE:
    case RESPONSE_DURABLE:
    case RESPONSE_CHARGES:
    case RESPONSE_CHAIN:
    case RESPONSE_STATUS:
    case RESPONSE_OLD_GENERATION:
    case RESPONSE_ALLOWANCE:
        member->observation.last_received_at = uv_now(member->client->loop);
        member->observation.probed_at = 0;
        break;
    default: /* Unsolicited messages do not prove that requests arrive. */
        break;
    }
}

void store_health_on_operation_start(store_client_t *client) {
    if (client->isolation_enabled)
        schedule_check(client, ZONE_SUSPECT_AFTER_MS);
}

void store_client_enable_isolation_check(store_client_t *client) {
    client->isolation_enabled = true;
}

bool store_client_zone_isolated(const store_client_t *client) {
    return client->isolation.isolated;
}

bool store_client_isolation_suspected(store_client_t *client) {
    check_isolation_now(client);
    return client->isolation_enabled &&
           zone_isolation_suspected(&client->isolation, uv_now(client->loop));
}

void store_client_suspect_isolation(store_client_t *client) {
    if (!client->isolation_enabled || client->isolation.isolated)
        return;
    client->suspected_at = uv_now(client->loop);
    check_isolation_now(client);
}
