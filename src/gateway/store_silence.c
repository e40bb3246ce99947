/*
 * Design. Connections to members behind a cut stay open for seconds, so members are known by what
 * is heard of them. Two looks: every member that answers nothing is left after a while for another
 * way to it (in any deployment); and, if asked for, whether the whole zone is cut off, which is
 * found sooner and holds longer (core/isolation/zone_silence.h). Nobody is asked while no operation
 * waits, so that a calm gateway sends nothing for it.
 */
#include "gateway/store_client_state.h"

#include "common/event.h"

#include <string.h>

enum {
    SILENT_MS = 400,   /**< Members that answer nothing for so long may be out of reach. */
    SILENT_ROUNDS = 2, /**< Looks in a row, since a process that was frozen hears late itself. */
    DOUBT_MS = 1000,   /**< A neighbour's word is looked into for so long. */
};

static member_t *member_at(const store_client_t *client, unsigned index) {
    return g_ptr_array_index(client->members, index);
}

bool store_silence_counts(const store_client_t *client, const member_t *member) {
    return member->link->open && (member->link->heard || !client->watches_zone);
}

static unsigned count_heard(const store_client_t *client, uint64_t since) {
    unsigned heard = 0;
    for (guint i = 0; i < client->members->len; i++) {
        const member_t *member = member_at(client, i);
        heard += store_silence_counts(client, member) && member->link->heard_at >= since;
    }
    return heard;
}

static bool any_operation_waits(const store_client_t *client, uint64_t wait_ms) {
    uint64_t now = uv_now(client->loop);
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, client->operations);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        if (now >= ((const store_operation_t *)value)->begun_at + wait_ms)
            return true;
    return false;
}

/** Ends connections on which nothing was heard; other gateways may reach those members. */
static void drop_silent_links(const store_client_t *client, uint64_t since) {
    for (guint i = 0; i < client->members->len; i++) {
        const member_t *member = member_at(client, i);
        if (member->link->open && member->link->heard_at < since)
            store_link_drop(member->link);
    }
}

static void set_silent(store_client_t *client, bool silent) {
    if (client->silent == silent)
        return;
    client->silent = silent;
    event_log(GATEWAY_STORES_SILENT, silent ? "yes" : "no");
}

static GBytes *status_request(void) {
    message_t request;
    message_init(&request, REQUEST_STATUS);
    GBytes *bytes = message_encode(&request);
    message_clear(&request);
    return bytes;
}

static void ask_members(const store_client_t *client) {
    GBytes *bytes = status_request();
    for (guint i = 0; i < client->members->len; i++) {
        const member_t *member = member_at(client, i);
        if (member->link->open)
            store_link_send(member->link, g_bytes_ref(bytes));
    }
    g_bytes_unref(bytes);
}

/** While an operation waits, a quorum must be heard of; while none is, it is asked. */
static void look_for_silence(store_client_t *client) {
    uint64_t now = uv_now(client->loop);
    uint64_t since = now > SILENT_MS ? now - SILENT_MS : 0;
    bool heard = count_heard(client, since) >= store_write_quorum(client->members->len);
    if (heard || (!client->silent && !any_operation_waits(client, SILENT_MS))) {
        client->silent_rounds = 0;
        set_silent(client, false);
        return;
    }
    client->silent_rounds++;
    if (client->silent_rounds >= SILENT_ROUNDS) {
        set_silent(client, true);
        drop_silent_links(client, since);
    }
    ask_members(client);
}

/* The zone. */

static bool quorum_counts(const store_client_t *client) {
    unsigned counted = 0;
    for (guint i = 0; i < client->members->len; i++)
        counted += store_silence_counts(client, member_at(client, i));
    return counted >= store_write_quorum(client->members->len);
}

/** True while a neighbour's word holds: until a quorum has answered since, or for a while. */
static bool doubted(store_client_t *client, uint64_t now) {
    if (client->doubted_at == 0)
        return false;
    unsigned heard = 0;
    for (guint i = 0; i < client->members->len; i++)
        heard += member_at(client, i)->signs.heard_at > client->doubted_at;
    if (heard >= store_write_quorum(client->members->len) || now >= client->doubted_at + DOUBT_MS)
        client->doubted_at = 0;
    return client->doubted_at > 0;
}

static void ask_zone(const store_client_t *client, uint64_t now) {
    for (guint i = 0; i < client->members->len; i++) {
        zone_member_t *signs = &member_at(client, i)->signs;
        signs->asked_at = signs->asked_at == 0 ? now : signs->asked_at;
    }
    ask_members(client);
}

static void log_zone(const store_client_t *client, bool cut, uint64_t lasted_ms) {
    unsigned near = 0;
    unsigned silent = 0;
    for (guint i = 0; i < client->members->len; i++) {
        const zone_member_t *signs = &member_at(client, i)->signs;
        near += signs->near;
        silent += signs->asked_at > 0;
    }
    event_log(GATEWAY_ZONE_CUT, cut ? "yes" : "no", client->members->len, near, silent,
              g_hash_table_size(client->operations), lasted_ms);
}

static void zone_changed(store_client_t *client, uint64_t since) {
    bool cut = client->zone_silence.cut;
    log_zone(client, cut, client->zone_silence.since - since);
    if (client->handler->on_zone_cut != NULL)
        client->handler->on_zone_cut(client->owner, cut);
    if (cut)
        store_operation_end_undecided(client);
}

static void look_at_zone(store_client_t *client) {
    uint64_t now = uv_now(client->loop);
    unsigned count = client->members->len;
    zone_member_t *members = g_new(zone_member_t, count + 1);
    for (unsigned i = 0; i < count; i++)
        members[i] = member_at(client, i)->signs;
    bool waiting =
        doubted(client, now) || !quorum_counts(client) || any_operation_waits(client, ZONE_WAIT_MS);
    zone_silence_t before = client->zone_silence;
    zone_silence_step_t step = zone_silence_look(&client->zone_silence, members, count,
                                                 store_write_quorum(count), waiting, now);
    g_free(members);
    if (client->zone_silence.cut != before.cut)
        zone_changed(client, before.cut ? before.since : before.doubt_since);
    if (step == ZONE_SILENCE_RECONNECT)
        drop_silent_links(client, client->zone_silence.doubt_since);
    if (step != ZONE_SILENCE_NOTHING)
        ask_zone(client, now);
}

static void on_look(uv_timer_t *timer);

static void look_within(store_client_t *client, uint64_t ms) {
    if (client->look_due)
        return;
    client->look_due = true;
    uv_timer_start(&client->look, on_look, ms, 0);
}

/** Goes on while there is something to find out, or an operation that may come to wait. */
static void look_again(store_client_t *client) {
    const zone_silence_t *zone = &client->zone_silence;
    if (zone->cut || zone->doubt_since > 0 || client->doubted_at > 0)
        look_within(client, ZONE_LOOK_MS);
    else if (g_hash_table_size(client->operations) > 0)
        look_within(client, ZONE_WAIT_MS);
}

static void on_look(uv_timer_t *timer) {
    store_client_t *client = timer->data;
    client->look_due = false;
    look_at_zone(client);
    look_again(client);
}

static void look_now(store_client_t *client) {
    if (!client->watches_zone || client->members->len == 0)
        return;
    look_at_zone(client);
    look_again(client);
}

void store_silence_init(store_client_t *client) {
    uv_timer_init(client->loop, &client->look);
    client->look.data = client;
}

void store_silence_upkeep(store_client_t *client) {
    look_for_silence(client);
    if (client->watches_zone && !quorum_counts(client))
        look_now(client);
}

void store_silence_link_opened(const store_client_t *client, const member_t *member) {
    if (client->watches_zone)
        store_link_send(member->link, status_request());
}

void store_silence_note_answer(member_t *member, message_type_t type) {
    switch (type) {
    case RESPONSE_RESERVE:
    case RESPONSE_DURABLE:
    case RESPONSE_CHARGES:
    case RESPONSE_CHAIN:
    case RESPONSE_STATUS:
    case RESPONSE_OLD_GENERATION:
    case RESPONSE_ALLOWANCE:
        member->signs.heard_at = uv_now(member->client->loop);
        member->signs.asked_at = 0;
        break;
    default: /* What is told without being asked for says nothing of the way there. */
        break;
    }
}

void store_silence_note_operation(store_client_t *client) {
    if (client->watches_zone)
        look_within(client, ZONE_WAIT_MS);
}

void store_client_watch_zone(store_client_t *client) {
    client->watches_zone = true;
}

bool store_client_zone_cut(const store_client_t *client) {
    return client->zone_silence.cut;
}

bool store_client_in_doubt(store_client_t *client) {
    look_now(client);
    return client->watches_zone &&
           zone_silence_in_doubt(&client->zone_silence, uv_now(client->loop));
}

void store_client_doubt(store_client_t *client) {
    if (!client->watches_zone || client->zone_silence.cut)
        return;
    client->doubted_at = uv_now(client->loop);
    look_now(client);
}
