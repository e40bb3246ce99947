#include "store/store_directory.h"

#include "cluster/service_directory.h"
#include "common/event.h"
#include "core/configuration/directory_pace.h"

enum {
    LOOK_MS = 150,
    OFTEN_MS = 4000,    /**< A gateway is told at each look for so long after it was lost, */
    SELDOM_MS = 1000,   /**< then once in so long, */
    FORGET_MS = 120000, /**< and after this it is forgotten. */
    CONNECT_MS = 450,   /**< A connection that is not up by then is given up. */
    GATEWAYS_MAXIMUM = 10000,
    MEGABYTE = 1024 * 1024,
    WRITE_EACH_MS = 1000, /**< The state file is written at most this often for the directory. */
};

/** A gateway that was connected once. */
typedef struct {
    store_directory_t *directory;
    char *address;
    uint64_t lost_at; /**< Since when it is not connected; 0: it is. */
    uint64_t told_at; /**< When the present or last attempt to tell it began. */
    frame_connection_t *connection;
} known_gateway_t;

struct store_directory {
    store_t *store;
    GBytes *snapshot; /**< An encoded directory_snapshot_t; NULL: none. */
    uint64_t revision;
    GHashTable *gateways; /**< Address to known_gateway_t. */
    uv_timer_t timer;
    bool changed; /**< Not in the state file yet. */
    uint64_t written_at;
};

static uint64_t now(const store_directory_t *directory) {
    return uv_now(directory->store->loop);
}

static void free_gateway(gpointer data) {
    known_gateway_t *gateway = data;
    if (gateway->connection != NULL)
        frame_connection_close(gateway->connection);
    g_free(gateway->address);
    g_free(gateway);
}

static known_gateway_t *obtain_gateway(store_directory_t *directory, const char *address) {
    known_gateway_t *gateway = g_hash_table_lookup(directory->gateways, address);
    if (gateway != NULL || g_hash_table_size(directory->gateways) >= GATEWAYS_MAXIMUM)
        return gateway;
    gateway = g_new0(known_gateway_t, 1);
    gateway->directory = directory;
    gateway->address = g_strdup(address);
    g_hash_table_insert(directory->gateways, gateway->address, gateway);
    directory->changed = true;
    return gateway;
}

static void decode_gateways(codec_t *codec, store_directory_t *directory, uint32_t count) {
    for (uint32_t i = 0; i < count && !codec->failed; i++) {
        char *address = NULL;
        codec_text(codec, &address);
        known_gateway_t *gateway = address == NULL ? NULL : obtain_gateway(directory, address);
        if (gateway != NULL)
            gateway->lost_at = MAX(1, now(directory));
        g_free(address);
    }
}

static void encode_gateways(codec_t *codec, const store_directory_t *directory) {
    GHashTableIter iterator;
    gpointer key;
    g_hash_table_iter_init(&iterator, directory->gateways);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        char *address = key;
        codec_text(codec, &address);
    }
}

void store_directory_codec(codec_t *codec, store_directory_t *directory) {
    uint32_t count = g_hash_table_size(directory->gateways);
    codec_uint64(codec, &directory->revision);
    codec_bytes(codec, &directory->snapshot);
    codec_count(codec, &count, GATEWAYS_MAXIMUM);
    if (codec->decoding)
        decode_gateways(codec, directory, count);
    else
        encode_gateways(codec, directory);
}

store_directory_t *store_directory_new(store_t *store) {
    store_directory_t *directory = g_new0(store_directory_t, 1);
    directory->store = store;
    directory->gateways = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_gateway);
    return directory;
}

void store_directory_take(store_directory_t *directory, const message_t *message) {
    bool empty = message->directory == NULL || g_bytes_get_size(message->directory) == 0;
    if (empty || message->revision <= directory->revision)
        return;
    if (directory->snapshot != NULL)
        g_bytes_unref(directory->snapshot);
    directory->snapshot = g_bytes_ref(message->directory);
    directory->revision = message->revision;
    directory->changed = true;
}

/** Bytes that wait to be sent on all connections. */
static size_t waiting_bytes(const store_t *store) {
    size_t waiting = 0;
    GHashTableIter iterator;
    gpointer connection;
    g_hash_table_iter_init(&iterator, store->connections);
    while (g_hash_table_iter_next(&iterator, NULL, &connection))
        waiting += frame_connection_backlog(connection);
    return waiting;
}

void store_directory_send(const store_directory_t *directory, frame_connection_t *connection) {
    if (directory->revision == 0)
        return;
    size_t waiting_there = frame_connection_backlog(connection);
    size_t waiting_all = waiting_bytes(directory->store);
    size_t memory = directory->store->settings->memory_megabytes * MEGABYTE;
    if (!directory_answer_now(waiting_there, waiting_all, memory)) {
        event_log(STORE_DIRECTORY_DEFERRED, (uint64_t)waiting_there, (uint64_t)waiting_all);
        return;
    }
    message_t message;
    message_init(&message, MESSAGE_DIRECTORY);
    message.revision = directory->revision;
    message.directory = g_bytes_ref(directory->snapshot);
    frame_connection_send(connection, message_encode(&message));
    message_clear(&message);
}

/* Telling gateways of this node. */

static void end_telling(known_gateway_t *gateway) {
    if (gateway->connection != NULL)
        frame_connection_close(gateway->connection);
    gateway->connection = NULL;
}

static void on_open(void *owner, frame_connection_t *connection) {
    const known_gateway_t *gateway = owner;
    store_send_group(gateway->directory->store, connection);
}

static void on_frame(void *owner, frame_connection_t *connection, const uint8_t *data,
                     size_t length) {
    (void)owner;
    (void)connection;
    (void)data;
    (void)length;
}

static void on_closed(void *owner, frame_connection_t *connection) {
    known_gateway_t *gateway = owner;
    (void)connection;
    gateway->connection = NULL;
}

static const frame_handler_t tell_handler = {on_open, on_frame, on_closed};

static void tell_gateway(known_gateway_t *gateway) {
    struct sockaddr_in address;
    if (!parse_socket_address(gateway->address, &address))
        return;
    gateway->told_at = now(gateway->directory);
    gateway->connection =
        frame_connection_open(gateway->directory->store->loop, &address, &tell_handler, gateway);
}

/** Looks at one gateway; true if it is to be forgotten. */
static bool look_at_gateway(known_gateway_t *gateway) {
    const store_directory_t *directory = gateway->directory;
    if (gateway_directory_has(&directory->store->gateways, gateway->address)) {
        gateway->lost_at = 0;
        end_telling(gateway);
        return false;
    }
    if (gateway->lost_at == 0)
        gateway->lost_at = now(directory);
    uint64_t lost_for = now(directory) - gateway->lost_at;
    if (lost_for >= FORGET_MS)
        return true;
    if (now(directory) >= gateway->told_at + CONNECT_MS)
        end_telling(gateway);
    uint64_t pause = lost_for < OFTEN_MS ? LOOK_MS : SELDOM_MS;
    if (gateway->connection == NULL && now(directory) >= gateway->told_at + pause)
        tell_gateway(gateway);
    return false;
}

static void write_if_changed(store_directory_t *directory) {
    if (!directory->changed || now(directory) < directory->written_at + WRITE_EACH_MS)
        return;
    if (!store_state_settled(directory->store))
        return;
    directory->changed = false;
    directory->written_at = now(directory);
    store_write_state(directory->store);
}

static void on_look(uv_timer_t *timer) {
    store_directory_t *directory = timer->data;
    GHashTableIter iterator;
    gpointer gateway;
    g_hash_table_iter_init(&iterator, directory->gateways);
    while (g_hash_table_iter_next(&iterator, NULL, &gateway)) {
        if (!look_at_gateway(gateway))
            continue;
        g_hash_table_iter_remove(&iterator);
        directory->changed = true;
    }
    write_if_changed(directory);
}

void store_directory_gateway_seen(store_directory_t *directory, const char *address) {
    known_gateway_t *gateway = obtain_gateway(directory, address);
    if (gateway != NULL)
        gateway->lost_at = 0;
}

void store_directory_start(store_directory_t *directory) {
    directory->changed = false;
    uv_timer_init(directory->store->loop, &directory->timer);
    directory->timer.data = directory;
    uv_timer_start(&directory->timer, on_look, 0, LOOK_MS);
}
