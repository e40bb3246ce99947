#include "gateway/store_client.h"

#include "cluster/service_directory.h"
#include "common/event.h"
#include "gateway/store_client_state.h"

#include <string.h>
#include <xxhash.h>

enum {
    RECONNECT_INTERVAL_MS = 150,
};

/* Connections. */

unsigned store_client_member_index(const store_client_t *client, const member_t *member) {
    guint index = 0;
    g_ptr_array_find(client->members, member, &index);
    return index;
}

static void send_group(const store_client_t *client, const member_t *member) {
    message_t message;
    message_init(&message, MESSAGE_GROUP);
    message.generation = client->group->generation;
    message.group = store_group_encode(client->group);
    store_link_send(member->link, message_encode(&message));
    message_clear(&message);
}

static void send_own_address(const store_client_t *client, const member_t *member) {
    message_t message;
    message_init(&message, MESSAGE_GATEWAY);
    g_ptr_array_add(message.ids, g_strdup(client->own_address));
    g_ptr_array_add(message.ids, g_strdup(client->zone));
    store_link_send(member->link, message_encode(&message));
    message_clear(&message);
}

static void on_link_open(void *owner, store_link_t *link) {
    member_t *member = owner;
    store_client_t *client = member->client;
    (void)link;
    send_group(client, member);
    send_own_address(client, member);
    store_health_on_link_open(client, member);
    client->links_opened++;
    for (guint i = 0; i < member->backlog->len; i++)
        store_link_send(member->link, g_bytes_ref(g_ptr_array_index(member->backlog, i)));
    g_ptr_array_set_size(member->backlog, 0);
    unsigned index = store_client_member_index(client, member);
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, client->operations);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        store_operation_t *operation = value;
        if (operation->generation == client->group->generation &&
            store_operation_awaits(operation, index))
            store_operation_send(operation, member);
    }
    if (client->handler->on_member_open != NULL)
        client->handler->on_member_open(client->owner, index);
}

static void on_frame(void *owner, store_link_t *link, const uint8_t *data, size_t length);

static bool find_relay(void *owner, struct sockaddr_in *address) {
    const store_client_t *client = ((const member_t *)owner)->client;
    return client->handler->find_relay != NULL &&
           client->handler->find_relay(client->owner, address);
}

static const store_link_handler_t link_handler = {on_link_open, on_frame, find_relay};

static void connect_members(store_client_t *client) {
    for (guint i = 0; i < client->members->len; i++)
        store_link_maintain(((const member_t *)g_ptr_array_index(client->members, i))->link);
}

static void on_reconnect(uv_timer_t *timer) {
    connect_members(timer->data);
    store_health_check(timer->data);
}

static void free_member(gpointer data) {
    member_t *member = data;
    store_link_free(member->link);
    g_ptr_array_free(member->backlog, TRUE);
    g_free(member);
}

static member_t *new_member(store_client_t *client, const store_member_t *record) {
    member_t *member = g_new0(member_t, 1);
    member->client = client;
    member->backlog = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
    member->observation.local = strcmp(record->zone, client->zone) == 0;
    member->link = store_link_new(client->loop, record->name, record->zone, record->address,
                                  &link_handler, member);
    return member;
}

store_client_t *store_client_new(uv_loop_t *loop, const char *zone, const char *own_address,
                                 const store_client_handler_t *handler, void *owner) {
    store_client_t *client = g_new0(store_client_t, 1);
    client->loop = loop;
    client->zone = g_strdup(zone);
    client->own_address = g_strdup(own_address);
    client->handler = handler;
    client->owner = owner;
    client->group = store_group_new();
    client->members = g_ptr_array_new_with_free_func(free_member);
    client->operations = g_hash_table_new(g_int64_hash, g_int64_equal);
    uv_timer_init(loop, &client->reconnect_timer);
    client->reconnect_timer.data = client;
    store_health_init(client);
    return client;
}

void store_client_set_account(store_client_t *client, memory_account_t *account) {
    client->account = account;
}

/** True if a write quorum of members is connected; @p direct_only leaves out relayed links. */
static bool has_quorum(const store_client_t *client, bool direct_only) {
    unsigned open = 0;
    for (guint i = 0; i < client->members->len; i++) {
        const member_t *member = g_ptr_array_index(client->members, i);
        open +=
            store_health_is_connected(client, member) && !(direct_only && member->link->relayed);
    }
    return client->members->len > 0 && open >= store_write_quorum(client->members->len);
}

bool store_client_restarting(const store_client_t *client) {
    unsigned found = 0;
    for (guint i = 0; i < client->members->len; i++) {
        const member_t *member = g_ptr_array_index(client->members, i);
        found += member->link->refused || store_health_is_connected(client, member);
    }
    return client->members->len > 0 && found >= store_write_quorum(client->members->len) &&
           !client->isolation.isolated;
}

bool store_client_connected(const store_client_t *client) {
    return has_quorum(client, false) && !client->unresponsive && !client->isolation.isolated;
}

bool store_client_connected_directly(const store_client_t *client) {
    return has_quorum(client, true) && !client->unresponsive && !client->isolation.isolated;
}

bool store_client_direct_address(const store_client_t *client, const char *name,
                                 struct sockaddr_in *address) {
    for (guint i = 0; i < client->members->len; i++) {
        const store_link_t *link = ((const member_t *)g_ptr_array_index(client->members, i))->link;
        if (strcmp(link->name, name) != 0)
            continue;
        *address = link->address;
        return link->open && !link->relayed;
    }
    return false;
}

/** Keeps the connection and the backlog of a member whose name and address are unchanged. */
static member_t *reuse_or_create_member(store_client_t *client, GPtrArray *old,
                                        const store_member_t *record) {
    struct sockaddr_in address;
    parse_socket_address(record->address, &address);
    for (guint i = 0; i < old->len; i++) {
        member_t *member = g_ptr_array_index(old, i);
        const store_link_t *link = member->link;
        if (strcmp(link->name, record->name) == 0 && link->address.sin_port == address.sin_port &&
            link->address.sin_addr.s_addr == address.sin_addr.s_addr)
            return g_ptr_array_steal_index(old, i);
    }
    return new_member(client, record);
}

void store_client_set_group(store_client_t *client, const store_group_t *group) {
    if (group->generation <= client->group->generation)
        return;
    event_log(GATEWAY_GROUP_CHANGED, group->generation, group->members->len);
    store_group_free(client->group);
    client->group = store_group_copy(group);
    GPtrArray *old = client->members;
    client->members = g_ptr_array_new_with_free_func(free_member);
    for (guint i = 0; i < group->members->len; i++) {
        const store_member_t *record = &g_array_index(group->members, store_member_t, i);
        member_t *member = reuse_or_create_member(client, old, record);
        bool local = strcmp(record->zone, client->zone) == 0;
        g_ptr_array_insert(client->members, local ? 0 : -1, member);
        if (member->link->open)
            send_group(client, member);
    }
    g_ptr_array_free(old, TRUE);
    connect_members(client);
    uv_timer_start(&client->reconnect_timer, on_reconnect, RECONNECT_INTERVAL_MS,
                   RECONNECT_INTERVAL_MS);
    GList *operations = g_hash_table_get_values(client->operations);
    for (GList *item = operations; item != NULL; item = item->next)
        store_operation_restart(item->data);
    g_list_free(operations);
}

void store_client_apply_group_message(store_client_t *client, const message_t *message) {
    gsize length;
    const void *data = g_bytes_get_data(message->group, &length);
    store_group_t *group = store_group_decode(data, length);
    if (group != NULL)
        store_client_set_group(client, group);
    store_group_free(group);
}

static void send_directory(const store_client_t *client, const member_t *member) {
    message_t message;
    message_init(&message, MESSAGE_DIRECTORY);
    message.directory = client->handler->encode_directory(client->owner, &message.revision);
    if (message.directory != NULL)
        store_link_send(member->link, message_encode(&message));
    message_clear(&message);
}

static void on_frame(void *owner, store_link_t *link, const uint8_t *data, size_t length) {
    member_t *member = owner;
    store_client_t *client = member->client;
    message_t message;
    (void)link;
    bool valid = message_decode(&message, data, length);
    if (valid) {
        store_health_record_response(member, message.type);
        store_lag_record(member, &message);
    }
    if (valid && message.type == MESSAGE_GROUP)
        store_client_apply_group_message(client, &message);
    else if (valid && message.type == MESSAGE_GATEWAYS)
        client->handler->on_gateways(client->owner, message.ids, message.sources);
    else if (valid && message.type == REQUEST_DIRECTORY)
        send_directory(client, member);
    else if (valid && message.type == MESSAGE_DIRECTORY && message.directory != NULL)
        client->handler->on_directory(client->owner, message.directory);
    else if (valid && !store_operation_take_answer(member, &message))
        client->handler->on_answer(client->owner, store_client_member_index(client, member),
                                   &message);
    message_clear(&message);
}

/* Requests to single members. */

static const store_link_t *member_link(const store_client_t *client, unsigned member) {
    return ((const member_t *)g_ptr_array_index(client->members, member))->link;
}

uint64_t store_client_generation(const store_client_t *client) {
    return client->group->generation;
}

unsigned store_client_member_count(const store_client_t *client) {
    return client->members->len;
}

const char *store_client_member_name(const store_client_t *client, unsigned member) {
    return member_link(client, member)->name;
}

bool store_client_member_open(const store_client_t *client, unsigned member) {
    return store_health_is_connected(client, g_ptr_array_index(client->members, member));
}

uint64_t store_client_next_number(store_client_t *client) {
    return ++client->last_number;
}

void store_client_send_member(const store_client_t *client, unsigned member, message_t *request) {
    request->generation = client->group->generation;
    store_link_send(member_link(client, member), message_encode(request));
    message_clear(request);
}

static uint64_t member_rank(const store_client_t *client, unsigned member, uint64_t key) {
    const char *name = store_client_member_name(client, member);
    return XXH64(name, strlen(name), key);
}

bool store_client_keeps_key(const store_client_t *client, unsigned member, uint64_t key) {
    uint64_t rank = member_rank(client, member, key);
    unsigned before = 0;
    for (unsigned i = 0; i < client->members->len; i++)
        before += member_rank(client, i, key) > rank;
    return before < STORE_KEY_MEMBERS;
}

unsigned store_client_send_for_key(const store_client_t *client, uint64_t key, message_t *message) {
    message->generation = client->group->generation;
    GBytes *bytes = message_encode(message);
    unsigned sent = 0;
    for (unsigned i = 0; i < client->members->len; i++) {
        if (!store_client_member_open(client, i) || !store_client_keeps_key(client, i, key))
            continue;
        store_link_send(member_link(client, i), g_bytes_ref(bytes));
        sent++;
    }
    g_bytes_unref(bytes);
    return sent;
}

/* Messages to all members. */

/** Sends @p message, which has no response, to all connected members; clears it. */
static void broadcast(const store_client_t *client, message_t *message) {
    GBytes *bytes = message_encode(message);
    for (guint i = 0; i < client->members->len; i++)
        store_link_send(((const member_t *)g_ptr_array_index(client->members, i))->link,
                        g_bytes_ref(bytes));
    g_bytes_unref(bytes);
    message_clear(message);
}

void store_client_report_engine(store_client_t *client, const char *program, uint64_t engine) {
    message_t message;
    message_init(&message, MESSAGE_PLACE);
    message.charge.program = g_strdup(program);
    message.place = engine;
    broadcast(client, &message);
}

void store_client_announce_directory(const store_client_t *client, uint64_t revision) {
    message_t message;
    message_init(&message, MESSAGE_DIRECTORY_KNOWN);
    message.revision = revision;
    broadcast(client, &message);
}

bool store_client_request_directory(store_client_t *client) {
    for (guint i = 0; i < client->members->len; i++) {
        guint index = client->directory_requests++ % client->members->len;
        const member_t *member = g_ptr_array_index(client->members, index);
        if (!member->link->open)
            continue;
        message_t message;
        message_init(&message, REQUEST_DIRECTORY);
        store_link_send(member->link, message_encode(&message));
        message_clear(&message);
        return true;
    }
    return false;
}

unsigned store_client_links_opened(const store_client_t *client) {
    return client->links_opened;
}
