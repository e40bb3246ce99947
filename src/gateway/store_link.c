#include "gateway/store_link.h"

#include "cluster/message.h"
#include "cluster/service_directory.h"
#include "common/event.h"

enum {
    CONNECT_TIMEOUT_MS = 250,
    DIRECT_RETRY_INTERVAL_MS = 3000, /**< Between direct attempts while relayed. */
};

static bool connect_link(store_link_t *link);

/** Sends the first frame of a relayed connection, which names the storage node. */
static void request_relay(const store_link_t *link, frame_connection_t *connection) {
    message_t message;
    message_init(&message, MESSAGE_RELAY);
    g_ptr_array_add(message.ids, g_strdup(link->name));
    frame_connection_send(connection, message_encode(&message));
    message_clear(&message);
}

static void on_open(void *owner, frame_connection_t *connection) {
    store_link_t *link = owner;
    if (connection == link->direct) {
        frame_connection_close(link->connection);
        link->connection = connection;
        link->direct = NULL;
        link->relayed = false;
    }
    link->refused = link->refused && link->relayed;
    if (link->relayed)
        request_relay(link, connection);
    link->open = true;
    link->last_received_at = uv_now(link->loop);
    event_log(GATEWAY_STORE_CONNECTED, link->name, link->relayed ? "gateway" : "direct");
    link->handler->on_open(link->owner, link);
}

static void on_frame(void *owner, frame_connection_t *connection, const uint8_t *data,
                     size_t length) {
    store_link_t *link = owner;
    if (connection != link->connection)
        return;
    link->last_received_at = uv_now(link->loop);
    link->has_received = true;
    link->failures = 0;
    link->handler->on_frame(link->owner, link, data, length);
}

static void close_direct(store_link_t *link) {
    if (link->direct != NULL)
        frame_connection_close(link->direct);
    link->direct = NULL;
}

/** Resets the link after its connection ended; a direct attempt beside it ends too. */
static void connection_ended(store_link_t *link) {
    close_direct(link);
    if (link->open)
        event_log(GATEWAY_STORE_DISCONNECTED, link->name);
    link->open = false;
    link->has_received = false;
    link->connection = NULL;
    link->failures++;
}

static void on_closed(void *owner, frame_connection_t *connection) {
    store_link_t *link = owner;
    if (connection == link->direct || !link->relayed)
        link->refused = frame_connection_refused(connection);
    if (connection == link->direct)
        link->direct = NULL;
    else if (connection == link->connection)
        connection_ended(link);
}

static const frame_handler_t connection_handler = {on_open, on_frame, on_closed};

static void close_connection(store_link_t *link) {
    if (link->connection == NULL)
        return;
    frame_connection_close(link->connection);
    link->refused = link->refused && link->relayed;
    connection_ended(link);
}

/** Alternates between a direct and a relayed connection while attempts fail. */
static bool connect_link(store_link_t *link) {
    struct sockaddr_in relay;
    link->relayed = link->failures % 2 == 1 && link->handler->find_relay(link->owner, &relay);
    link->connecting_since = uv_now(link->loop);
    link->direct_since = link->connecting_since;
    link->connection = frame_connection_open(link->loop, link->relayed ? &relay : &link->address,
                                             &connection_handler, link);
    return link->connection != NULL;
}

static void try_direct(store_link_t *link) {
    uint64_t now = uv_now(link->loop);
    if (link->direct != NULL && now >= link->direct_since + CONNECT_TIMEOUT_MS) {
        close_direct(link);
        link->refused = false;
    }
    if (link->direct != NULL || now < link->direct_since + DIRECT_RETRY_INTERVAL_MS)
        return;
    link->direct_since = now;
    link->direct = frame_connection_open(link->loop, &link->address, &connection_handler, link);
}

void store_link_maintain(store_link_t *link) {
    bool timed_out = link->connection != NULL && !link->open &&
                     uv_now(link->loop) >= link->connecting_since + CONNECT_TIMEOUT_MS;
    if (timed_out)
        close_connection(link);
    if (link->connection == NULL)
        connect_link(link);
    else if (link->relayed && link->open)
        try_direct(link);
}

void store_link_send(const store_link_t *link, GBytes *payload) {
    if (link->open)
        frame_connection_send(link->connection, payload);
    else
        g_bytes_unref(payload);
}

void store_link_reconnect(store_link_t *link) {
    close_connection(link);
    connect_link(link);
}

store_link_t *store_link_new(uv_loop_t *loop, const char *name, const char *zone,
                             const char *address, const store_link_handler_t *handler,
                             void *owner) {
    store_link_t *link = g_new0(store_link_t, 1);
    link->loop = loop;
    link->name = g_strdup(name);
    link->zone = g_strdup(zone);
    parse_socket_address(address, &link->address);
    link->handler = handler;
    link->owner = owner;
    return link;
}

void store_link_free(store_link_t *link) {
    close_direct(link);
    if (link->connection != NULL)
        frame_connection_close(link->connection);
    g_free(link->name);
    g_free(link->zone);
    g_free(link);
}
