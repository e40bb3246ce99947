#include "store/store_directory.h"

#include "cluster/service_directory.h"
#include "common/event.h"
#include "core/configuration/directory_pacing.h"

#include <string.h>
#include <xxhash.h>

enum {
    CHECK_INTERVAL_MS = 150,
    /** After a disconnect, a gateway is contacted at every check for this long. */
    FREQUENT_ANNOUNCE_PERIOD_MS = 4000,
    ANNOUNCE_INTERVAL_MS = 1000,   /**< Interval between later announcements. */
    GATEWAY_RETENTION_MS = 120000, /**< A gateway disconnected for longer is removed. */
    CONNECT_TIMEOUT_MS = 450,
    /**
     * Gateways contacted at the same time. With more of them disconnected, the interval grows, so
     * that connection attempts do not use up the processor time needed to replay the log: after a
     * loss of power, 865 attempts every 450 ms to machines that are not up yet did.
     */
    ANNOUNCE_CONCURRENCY = 64,
    GATEWAYS_MAX = 10000,
    MEGABYTE = 1024 * 1024,
    STATE_WRITE_INTERVAL_MS = 1000, /**< Minimum interval. */
};

/** A gateway that is or was connected. */
typedef struct {
    store_directory_t *directory;
    char *address;
    uint64_t disconnected_at; /**< When its disconnect was seen; 0: connected. */
    uint64_t announced_at;    /**< Start of the last announcement. */
    uint64_t hash;            /**< Of its address and this node's name; adds jitter. */
    frame_connection_t *connection;
} known_gateway_t;

struct store_directory {
    store_t *store;
    GBytes *snapshot; /**< Encoded directory_snapshot_t; NULL: none. */
    uint64_t revision;
    GBytes *message; /**< Encoded message, shared by all connections; NULL: none. */
    directory_offer_t offer;
    uint64_t offered_by;  /**< Serial number of the connection that made the offer. */
    GHashTable *gateways; /**< Address to known_gateway_t. */
    uv_timer_t timer;
    bool changed; /**< The state file is out of date. */
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
    if (gateway != NULL || g_hash_table_size(directory->gateways) >= GATEWAYS_MAX)
        return gateway;
    const char *own = directory->store->settings->name;
    gateway = g_new0(known_gateway_t, 1);
    gateway->directory = directory;
    gateway->address = g_strdup(address);
    gateway->hash = XXH64(address, strlen(address), XXH64(own, strlen(own), 0));
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
            gateway->disconnected_at = MAX(1, now(directory));
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

void store_directory_state_codec(codec_t *codec, store_directory_t *directory) {
    uint32_t count = g_hash_table_size(directory->gateways);
    codec_uint64(codec, &directory->revision);
    codec_bytes(codec, &directory->snapshot);
    codec_count(codec, &count, GATEWAYS_MAX);
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

/** Requests a newer directory from the gateway that offered it, if a request is due. */
static void request_offered_directory(store_directory_t *directory) {
    directory_offer_t *offer = &directory->offer;
    offer->revision = directory->revision;
    offer->bytes = directory->snapshot == NULL ? 0 : g_bytes_get_size(directory->snapshot);
    if (!directory_pull_due(offer, now(directory)))
        return;
    frame_connection_t *connection =
        g_hash_table_lookup(directory->store->connections, &directory->offered_by);
    if (connection == NULL) {
        offer->offered_revision = 0;
        return;
    }
    event_log(STORE_DIRECTORY_ASKED, offer->revision, offer->offered_revision);
    offer->requested_at = MAX(1, now(directory));
    message_t request;
    message_init(&request, REQUEST_DIRECTORY);
    frame_connection_send(connection, message_encode(&request));
    message_clear(&request);
}

void store_directory_handle_offer(store_directory_t *directory,
                                  const frame_connection_t *connection, uint64_t revision) {
    bool offerer_disconnected =
        !g_hash_table_contains(directory->store->connections, &directory->offered_by);
    bool timed_out = directory->offer.requested_at > 0 &&
                     now(directory) >= directory->offer.requested_at + DIRECTORY_PULL_TIMEOUT_MS;
    if (revision > directory->offer.offered_revision || offerer_disconnected || timed_out) {
        directory->offer.offered_revision = revision;
        directory->offered_by = *frame_connection_serial(connection);
    }
    request_offered_directory(directory);
}

void store_directory_store_snapshot(store_directory_t *directory, const message_t *message) {
    directory->offer.requested_at = 0;
    bool empty = message->directory == NULL || g_bytes_get_size(message->directory) == 0;
    if (empty || message->revision <= directory->revision)
        return;
    if (directory->snapshot != NULL)
        g_bytes_unref(directory->snapshot);
    if (directory->message != NULL)
        g_bytes_unref(directory->message);
    directory->snapshot = g_bytes_ref(message->directory);
    directory->message = NULL;
    directory->revision = message->revision;
    directory->changed = true;
    directory->offer.received_at = MAX(1, now(directory));
}

static GBytes *obtain_message(store_directory_t *directory) {
    if (directory->message == NULL) {
        message_t message;
        message_init(&message, MESSAGE_DIRECTORY);
        message.revision = directory->revision;
        message.directory = g_bytes_ref(directory->snapshot);
        directory->message = message_encode(&message);
        message_clear(&message);
    }
    return g_bytes_ref(directory->message);
}

void store_directory_send(store_directory_t *directory, frame_connection_t *connection) {
    if (directory->revision == 0)
        return;
    size_t queued_bytes = frame_connection_backlog(connection);
    size_t held = store_connections_buffer_bytes(directory->store);
    size_t memory = directory->store->settings->memory_megabytes * MEGABYTE;
    if (!directory_response_due(queued_bytes, held, memory)) {
        event_log(STORE_DIRECTORY_DEFERRED, (uint64_t)queued_bytes, (uint64_t)held);
        return;
    }
    frame_connection_send(connection, obtain_message(directory));
}

/* Announcements to gateways that are not connected. */

static void close_announcement(known_gateway_t *gateway) {
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

static const frame_handler_t announce_handler = {on_open, on_frame, on_closed};

static void announce_to_gateway(known_gateway_t *gateway) {
    struct sockaddr_in address;
    if (!parse_socket_address(gateway->address, &address))
        return;
    gateway->announced_at = now(gateway->directory);
    gateway->connection = frame_connection_open(gateway->directory->store->loop, &address,
                                                &announce_handler, gateway);
}

static unsigned count_disconnected(const store_directory_t *directory) {
    unsigned disconnected = 0;
    GHashTableIter iterator;
    gpointer gateway;
    g_hash_table_iter_init(&iterator, directory->gateways);
    while (g_hash_table_iter_next(&iterator, NULL, &gateway))
        disconnected += ((const known_gateway_t *)gateway)->disconnected_at > 0;
    return disconnected;
}

/**
 * Interval of announcements to a gateway that disconnected @p disconnected_ms ago, while
 * @p disconnected gateways in total are not connected.
 */
static uint64_t announce_interval_ms(uint64_t disconnected_ms, unsigned disconnected) {
    uint64_t interval =
        disconnected_ms < FREQUENT_ANNOUNCE_PERIOD_MS ? CHECK_INTERVAL_MS : ANNOUNCE_INTERVAL_MS;
    return interval + disconnected / ANNOUNCE_CONCURRENCY * (uint64_t)CONNECT_TIMEOUT_MS;
}

/** Updates one gateway; @p disconnected as above. True if the gateway is to be removed. */
static bool check_gateway(known_gateway_t *gateway, unsigned disconnected) {
    const store_directory_t *directory = gateway->directory;
    if (gateway_registry_contains(&directory->store->gateways, gateway->address)) {
        gateway->disconnected_at = 0;
        close_announcement(gateway);
        return false;
    }
    if (gateway->disconnected_at == 0) {
        gateway->disconnected_at = now(directory);
        uint64_t interval = disconnected / ANNOUNCE_CONCURRENCY * (uint64_t)CONNECT_TIMEOUT_MS;
        gateway->announced_at = interval == 0 ? gateway->announced_at
                                              : gateway->disconnected_at - gateway->hash % interval;
    }
    uint64_t disconnected_ms = now(directory) - gateway->disconnected_at;
    if (disconnected_ms >= GATEWAY_RETENTION_MS)
        return true;
    if (now(directory) >= gateway->announced_at + CONNECT_TIMEOUT_MS)
        close_announcement(gateway);
    if (gateway->connection == NULL &&
        now(directory) >=
            gateway->announced_at + announce_interval_ms(disconnected_ms, disconnected))
        announce_to_gateway(gateway);
    return false;
}

static void write_if_changed(store_directory_t *directory) {
    if (!directory->changed || now(directory) < directory->written_at + STATE_WRITE_INTERVAL_MS)
        return;
    directory->changed = false;
    directory->written_at = now(directory);
    store_write_state(directory->store);
}

static void on_timer(uv_timer_t *timer) {
    store_directory_t *directory = timer->data;
    unsigned disconnected = count_disconnected(directory);
    GHashTableIter iterator;
    gpointer gateway;
    g_hash_table_iter_init(&iterator, directory->gateways);
    while (g_hash_table_iter_next(&iterator, NULL, &gateway)) {
        if (!check_gateway(gateway, disconnected))
            continue;
        g_hash_table_iter_remove(&iterator);
        directory->changed = true;
    }
    request_offered_directory(directory);
    write_if_changed(directory);
}

void store_directory_gateway_connected(store_directory_t *directory, const char *address) {
    known_gateway_t *gateway = obtain_gateway(directory, address);
    if (gateway != NULL)
        gateway->disconnected_at = 0;
}

void store_directory_start(store_directory_t *directory) {
    directory->changed = false;
    uv_timer_init(directory->store->loop, &directory->timer);
    directory->timer.data = directory;
    uv_timer_start(&directory->timer, on_timer, 0, CHECK_INTERVAL_MS);
}
