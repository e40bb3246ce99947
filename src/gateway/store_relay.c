#include "gateway/store_relay.h"

#include "common/event.h"
#include "net/frame_connection.h"

/** Send queue limit of either side; a session that exceeds it is closed. */
enum { BACKLOG_MAX_BYTES = 4 * 1024 * 1024 };

/** An incoming connection and, if relayed, its counterpart to a storage node. */
typedef struct {
    store_relay_t *relay;
    frame_connection_t *gateway; /**< The incoming connection. */
    frame_connection_t *store;   /**< To the storage node; NULL until a frame names it. */
    bool following; /**< The other gateway follows the directory here; nothing is relayed. */
} relay_session_t;

struct store_relay {
    uv_loop_t *loop;
    store_client_t *stores;
    directory_feed_t *feed;
    frame_listener_t *listener;
    GHashTable *sessions;      /**< Serial number of the incoming connection to relay_session_t. */
    memory_account_t *account; /**< For frames until they are sent; NULL: they don't count. */
};

static void close_session(relay_session_t *session) {
    const uint64_t *serial = frame_connection_serial(session->gateway);
    if (session->following)
        directory_feed_remove(session->relay->feed, serial);
    g_hash_table_remove(session->relay->sessions, serial);
    frame_connection_close(session->gateway);
    if (session->store != NULL)
        frame_connection_close(session->store);
    g_free(session);
}

static void forward_frame(relay_session_t *session, frame_connection_t *to, const uint8_t *data,
                          size_t length) {
    memory_account_t *account = session->relay->account;
    if (frame_connection_backlog(to) > BACKLOG_MAX_BYTES ||
        !memory_account_take(account, length, length))
        close_session(session);
    else
        frame_connection_send(to, memory_account_wrap(account, g_memdup2(data, length), length));
}

/* Connections to storage nodes. */

static void on_store_open(void *owner, frame_connection_t *connection) {
    (void)owner;
    (void)connection;
}

static void on_store_frame(void *owner, frame_connection_t *connection, const uint8_t *data,
                           size_t length) {
    relay_session_t *session = owner;
    (void)connection;
    forward_frame(session, session->gateway, data, length);
}

static void on_store_closed(void *owner, frame_connection_t *connection) {
    relay_session_t *session = owner;
    (void)connection;
    session->store = NULL;
    close_session(session);
}

static const frame_handler_t store_handler = {on_store_open, on_store_frame, on_store_closed};

/* Incoming connections. */

static void start_session(relay_session_t *session, const message_t *message) {
    store_relay_t *relay = session->relay;
    const char *name = message->ids->len == 1 ? g_ptr_array_index(message->ids, 0) : "";
    struct sockaddr_in address;
    bool reached = store_client_direct_address(relay->stores, name, &address);
    event_log(GATEWAY_RELAY, name, reached ? "begun" : "refused");
    if (reached)
        session->store = frame_connection_open(relay->loop, &address, &store_handler, session);
    if (session->store == NULL)
        close_session(session);
}

static void on_open(void *owner, frame_connection_t *connection) {
    store_relay_t *relay = owner;
    relay_session_t *session = g_new0(relay_session_t, 1);
    session->relay = relay;
    session->gateway = connection;
    g_hash_table_insert(relay->sessions, (gpointer)frame_connection_serial(connection), session);
}

static void on_frame(void *owner, frame_connection_t *connection, const uint8_t *data,
                     size_t length) {
    const store_relay_t *relay = owner;
    relay_session_t *session =
        g_hash_table_lookup(relay->sessions, frame_connection_serial(connection));
    if (session == NULL)
        return;
    if (session->store != NULL) {
        forward_frame(session, session->store, data, length);
        return;
    }
    message_t message;
    bool valid = message_decode(&message, data, length);
    if (valid && message.type == MESSAGE_GROUP)
        store_client_apply_group_message(relay->stores, &message);
    if (valid && message.type == MESSAGE_RELAY) {
        start_session(session, &message);
    } else if (valid && message.type == REQUEST_FOLLOW && relay->feed != NULL &&
               !session->following) {
        session->following =
            directory_feed_add(relay->feed, connection, message.revision, message.view);
        if (!session->following)
            close_session(session);
    } else {
        close_session(session);
    }
    message_clear(&message);
}

static void on_closed(void *owner, frame_connection_t *connection) {
    const store_relay_t *relay = owner;
    relay_session_t *session =
        g_hash_table_lookup(relay->sessions, frame_connection_serial(connection));
    if (session != NULL)
        close_session(session);
}

static const frame_handler_t gateway_handler = {on_open, on_frame, on_closed};

store_relay_t *store_relay_open(uv_loop_t *loop, const struct sockaddr_in *address,
                                store_client_t *stores, directory_feed_t *feed) {
    store_relay_t *relay = g_new0(store_relay_t, 1);
    relay->loop = loop;
    relay->stores = stores;
    relay->feed = feed;
    relay->sessions = g_hash_table_new(g_int64_hash, g_int64_equal);
    relay->listener = frame_listener_open(loop, address, &gateway_handler, relay);
    if (relay->listener != NULL)
        return relay;
    g_hash_table_destroy(relay->sessions);
    g_free(relay);
    return NULL;
}

void store_relay_set_account(store_relay_t *relay, memory_account_t *account) {
    relay->account = account;
}

unsigned store_relay_count(const store_relay_t *relay) {
    unsigned count = 0;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, relay->sessions);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        count += !((const relay_session_t *)value)->following;
    return count;
}
