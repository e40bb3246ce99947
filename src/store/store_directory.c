#include "store/store_directory.h"

#include "cluster/service_directory.h"
#include "common/event.h"
#include "core/configuration/directory_pace.h"

#include <string.h>
#include <xxhash.h>

enum {
    LOOK_MS = 150,
    OFTEN_MS = 4000,    /**< A gateway is told at each look for so long after it was lost, */
    SELDOM_MS = 1000,   /**< then once in so long, */
    FORGET_MS = 120000, /**< and after this it is forgotten. */
    CONNECT_MS = 450,   /**< A connection that is not up by then is given up. */
    /** Lost gateways that are told at once; of more each is told the more seldom. After a loss of
     *  power 865 connections each 450 ms, to machines that were not up yet, took the processor time
     *  in which a storage node has to read its log. */
    TELL_AT_ONCE = 64,
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
    uint64_t hash;    /**< Of its address and this node's: draws when it is told first. */
    frame_connection_t *connection;
} known_gateway_t;

struct store_directory {
    store_t *store;
    GBytes *snapshot; /**< An encoded directory_snapshot_t; NULL: none. */
    uint64_t revision;
    GBytes *message; /**< The snapshot as it is sent, the same bytes to all; NULL: not sent yet. */
    directory_offer_t offer;
    uint64_t offered_by;  /**< Serial number of the connection that offers it. */
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

/** Asks the gateway that offers a newer directory for it, if it is time. */
static void look_at_offer(store_directory_t *directory) {
    directory_offer_t *offer = &directory->offer;
    offer->revision = directory->revision;
    offer->bytes = directory->snapshot == NULL ? 0 : g_bytes_get_size(directory->snapshot);
    if (!directory_pull_due(offer, now(directory)))
        return;
    frame_connection_t *connection =
        g_hash_table_lookup(directory->store->connections, &directory->offered_by);
    if (connection == NULL) {
        offer->offered = 0;
        return;
    }
    event_log(STORE_DIRECTORY_ASKED, offer->revision, offer->offered);
    offer->asked_at = MAX(1, now(directory));
    message_t request;
    message_init(&request, REQUEST_DIRECTORY);
    frame_connection_send(connection, message_encode(&request));
    message_clear(&request);
}

void store_directory_offered(store_directory_t *directory, const frame_connection_t *connection,
                             uint64_t revision) {
    bool gone = !g_hash_table_contains(directory->store->connections, &directory->offered_by);
    bool stuck = directory->offer.asked_at > 0 &&
                 now(directory) >= directory->offer.asked_at + DIRECTORY_PULL_MS;
    if (revision > directory->offer.offered || gone || stuck) {
        directory->offer.offered = revision;
        directory->offered_by = *frame_connection_serial(connection);
    }
    look_at_offer(directory);
}

void store_directory_take(store_directory_t *directory, const message_t *message) {
    directory->offer.asked_at = 0;
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
    directory->offer.taken_at = MAX(1, now(directory));
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
    size_t waiting_there = frame_connection_backlog(connection);
    size_t held = store_buffer_bytes(directory->store);
    size_t memory = directory->store->settings->memory_megabytes * MEGABYTE;
    if (!directory_answer_now(waiting_there, held, memory)) {
        event_log(STORE_DIRECTORY_DEFERRED, (uint64_t)waiting_there, (uint64_t)held);
        return;
    }
    frame_connection_send(connection, obtain_message(directory));
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

/** How many of the known gateways are not connected. */
static unsigned count_lost(const store_directory_t *directory) {
    unsigned lost = 0;
    GHashTableIter iterator;
    gpointer gateway;
    g_hash_table_iter_init(&iterator, directory->gateways);
    while (g_hash_table_iter_next(&iterator, NULL, &gateway))
        lost += ((const known_gateway_t *)gateway)->lost_at > 0;
    return lost;
}

/** Time between two attempts to tell a gateway that was lost @p lost_for ago, one of @p lost. */
static uint64_t tell_pause_ms(uint64_t lost_for, unsigned lost) {
    uint64_t pause = lost_for < OFTEN_MS ? LOOK_MS : SELDOM_MS;
    return pause + lost / TELL_AT_ONCE * (uint64_t)CONNECT_MS;
}

/** Looks at one gateway, one of @p lost that are not connected; true if it is to be forgotten. */
static bool look_at_gateway(known_gateway_t *gateway, unsigned lost) {
    const store_directory_t *directory = gateway->directory;
    if (gateway_directory_has(&directory->store->gateways, gateway->address)) {
        gateway->lost_at = 0;
        end_telling(gateway);
        return false;
    }
    if (gateway->lost_at == 0) {
        gateway->lost_at = now(directory);
        uint64_t pause = lost / TELL_AT_ONCE * (uint64_t)CONNECT_MS;
        gateway->told_at = pause == 0 ? gateway->told_at : gateway->lost_at - gateway->hash % pause;
    }
    uint64_t lost_for = now(directory) - gateway->lost_at;
    if (lost_for >= FORGET_MS)
        return true;
    if (now(directory) >= gateway->told_at + CONNECT_MS)
        end_telling(gateway);
    if (gateway->connection == NULL &&
        now(directory) >= gateway->told_at + tell_pause_ms(lost_for, lost))
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
    unsigned lost = count_lost(directory);
    GHashTableIter iterator;
    gpointer gateway;
    g_hash_table_iter_init(&iterator, directory->gateways);
    while (g_hash_table_iter_next(&iterator, NULL, &gateway)) {
        if (!look_at_gateway(gateway, lost))
            continue;
        g_hash_table_iter_remove(&iterator);
        directory->changed = true;
    }
    look_at_offer(directory);
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
