#include "gateway/store_relay.h"

#include "common/event.h"
#include "net/frame_connection.h"

/** Bytes that may wait for one side; beyond it both connections end. */
enum { BACKLOG_MOST_BYTES = 4 * 1024 * 1024 };

/** One gateway's way through here. */
typedef struct {
    store_relay_t *relay;
    frame_connection_t *gateway; /**< The connection that asked. */
    frame_connection_t *store;   /**< To the storage node; NULL before it is named. */
    bool follows;                /**< It asked to follow the directory instead. */
} relayed_t;

struct store_relay {
    uv_loop_t *loop;
    store_client_t *stores;
    directory_feed_t *feed;
    frame_listener_t *listener;
    GHashTable *relayed; /**< Serial number of the asking connection to relayed_t. */
};

static void end_relayed(relayed_t *relayed) {
    const uint64_t *serial = frame_connection_serial(relayed->gateway);
    if (relayed->follows)
        directory_feed_remove(relayed->relay->feed, serial);
    g_hash_table_remove(relayed->relay->relayed, serial);
    frame_connection_close(relayed->gateway);
    if (relayed->store != NULL)
        frame_connection_close(relayed->store);
    g_free(relayed);
}

static void pass_on(relayed_t *relayed, frame_connection_t *to, const uint8_t *data,
                    size_t length) {
    if (frame_connection_backlog(to) > BACKLOG_MOST_BYTES)
        end_relayed(relayed);
    else
        frame_connection_send(to, g_bytes_new(data, length));
}

/* The storage node's side. */

static void on_store_open(void *owner, frame_connection_t *connection) {
    (void)owner;
    (void)connection;
}

static void on_store_frame(void *owner, frame_connection_t *connection, const uint8_t *data,
                           size_t length) {
    relayed_t *relayed = owner;
    (void)connection;
    pass_on(relayed, relayed->gateway, data, length);
}

static void on_store_closed(void *owner, frame_connection_t *connection) {
    relayed_t *relayed = owner;
    (void)connection;
    relayed->store = NULL;
    end_relayed(relayed);
}

static const frame_handler_t store_handler = {on_store_open, on_store_frame, on_store_closed};

/* The other gateway's side. */

static void begin_relayed(relayed_t *relayed, const message_t *message) {
    store_relay_t *relay = relayed->relay;
    const char *name = message->ids->len == 1 ? g_ptr_array_index(message->ids, 0) : "";
    struct sockaddr_in address;
    bool reached = store_client_reaches(relay->stores, name, &address);
    event_log(GATEWAY_RELAY, name, reached ? "begun" : "refused");
    if (reached)
        relayed->store = frame_connection_open(relay->loop, &address, &store_handler, relayed);
    if (relayed->store == NULL)
        end_relayed(relayed);
}

static void on_open(void *owner, frame_connection_t *connection) {
    store_relay_t *relay = owner;
    relayed_t *relayed = g_new0(relayed_t, 1);
    relayed->relay = relay;
    relayed->gateway = connection;
    g_hash_table_insert(relay->relayed, (gpointer)frame_connection_serial(connection), relayed);
}

static void on_frame(void *owner, frame_connection_t *connection, const uint8_t *data,
                     size_t length) {
    const store_relay_t *relay = owner;
    relayed_t *relayed = g_hash_table_lookup(relay->relayed, frame_connection_serial(connection));
    if (relayed == NULL)
        return;
    if (relayed->store != NULL) {
        pass_on(relayed, relayed->store, data, length);
        return;
    }
    message_t message;
    bool valid = message_decode(&message, data, length);
    if (valid && message.type == MESSAGE_GROUP)
        store_client_take_group(relay->stores, &message);
    if (valid && message.type == MESSAGE_RELAY) {
        begin_relayed(relayed, &message);
    } else if (valid && message.type == REQUEST_FOLLOW && relay->feed != NULL &&
               !relayed->follows) {
        relayed->follows =
            directory_feed_add(relay->feed, connection, message.revision, message.view);
        if (!relayed->follows)
            end_relayed(relayed);
    } else {
        end_relayed(relayed);
    }
    message_clear(&message);
}

static void on_closed(void *owner, frame_connection_t *connection) {
    const store_relay_t *relay = owner;
    relayed_t *relayed = g_hash_table_lookup(relay->relayed, frame_connection_serial(connection));
    if (relayed != NULL)
        end_relayed(relayed);
}

static const frame_handler_t gateway_handler = {on_open, on_frame, on_closed};

store_relay_t *store_relay_open(uv_loop_t *loop, const struct sockaddr_in *address,
                                store_client_t *stores, directory_feed_t *feed) {
    store_relay_t *relay = g_new0(store_relay_t, 1);
    relay->loop = loop;
    relay->stores = stores;
    relay->feed = feed;
    relay->relayed = g_hash_table_new(g_int64_hash, g_int64_equal);
    relay->listener = frame_listener_open(loop, address, &gateway_handler, relay);
    if (relay->listener != NULL)
        return relay;
    g_hash_table_destroy(relay->relayed);
    g_free(relay);
    return NULL;
}

unsigned store_relay_count(const store_relay_t *relay) {
    unsigned count = 0;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, relay->relayed);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        count += !((const relayed_t *)value)->follows;
    return count;
}
