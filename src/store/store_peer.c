#include "store/store_peer.h"

#include "cluster/service_directory.h"

static void on_open(void *owner, frame_connection_t *connection) {
    store_peer_t *peer = owner;
    store_send_group(peer->store, connection);
    message_t request;
    message_init(&request, REQUEST_STATUS);
    store_peer_send(peer, &request);
    message_clear(&request);
}

static void adopt_group(const store_peer_t *peer, const message_t *message) {
    gsize length;
    const void *data = g_bytes_get_data(message->group, &length);
    store_group_t *group = store_group_decode(data, length);
    if (group != NULL)
        store_adopt_group(peer->store, group);
    store_group_free(group);
}

static void on_frame(void *owner, frame_connection_t *connection, const uint8_t *data,
                     size_t length) {
    store_peer_t *peer = owner;
    message_t message;
    (void)connection;
    bool valid = message_decode(&message, data, length);
    if (valid && message.type == RESPONSE_STATUS) {
        peer->answered_at = uv_now(peer->store->loop);
        peer->unanswered_since = 0;
        peer->complete_generation = message.generation;
    }
    /* Must come last: adopting a group may free this peer. */
    if (valid && message.type == MESSAGE_GROUP)
        adopt_group(peer, &message);
    else if (valid && peer->on_message != NULL)
        peer->on_message(peer->owner, &message);
    message_clear(&message);
}

static void on_closed(void *owner, frame_connection_t *connection) {
    store_peer_t *peer = owner;
    (void)connection;
    peer->connection = NULL;
    if (peer->on_lost != NULL)
        peer->on_lost(peer->owner);
}

static const frame_handler_t peer_handler = {on_open, on_frame, on_closed};

store_peer_t *store_peer_new(store_t *store, const char *name, const char *address) {
    store_peer_t *peer = g_new0(store_peer_t, 1);
    peer->store = store;
    peer->name = g_strdup(name);
    parse_socket_address(address, &peer->address);
    return peer;
}

void store_peer_free(store_peer_t *peer) {
    if (peer->connection != NULL)
        frame_connection_close(peer->connection);
    g_free(peer->name);
    g_free(peer);
}

void store_peer_poll(store_peer_t *peer) {
    if (peer->unanswered_since == 0)
        peer->unanswered_since = uv_now(peer->store->loop);
    if (peer->connection == NULL) {
        peer->connection =
            frame_connection_open(peer->store->loop, &peer->address, &peer_handler, peer);
        return;
    }
    message_t request;
    message_init(&request, REQUEST_STATUS);
    store_peer_send(peer, &request);
    message_clear(&request);
}

void store_peer_send(store_peer_t *peer, message_t *message) {
    if (peer->connection != NULL)
        frame_connection_send(peer->connection, message_encode(message));
}

uint64_t store_peer_unanswered_ms(const store_peer_t *peer) {
    return peer->unanswered_since == 0 ? 0 : uv_now(peer->store->loop) - peer->unanswered_since;
}
