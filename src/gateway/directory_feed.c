#include "gateway/directory_feed.h"

#include "cluster/directory_changes.h"
#include "cluster/message.h"
#include "common/event.h"

enum {
    BACKLOG_MAX_BYTES = 4 * 1024 * 1024, /**< A follower with more unsent data is dropped. */
    HEARTBEAT_MS = 1000, /**< Interval of messages without changes; they carry the view's age. */
};

typedef struct {
    frame_connection_t *connection;
    uint64_t revision; /**< Revision of its view when it connected. */
    uint64_t view;     /**< Digest of its view at that time. */
    bool complete;     /**< It has the complete view; no changes are sent before that. */
} follower_t;

struct directory_feed {
    uv_timer_t timer;     /**< Runs while a message is due. */
    uv_timer_t heartbeat; /**< Runs while there are followers. */
    directory_feed_read_t read;
    void *owner;
    GHashTable *followers;  /**< Connection serial number to follower_t. */
    GArray *changes;        /**< Of key_value_item_t: not sent yet. */
    bool pending;           /**< A message is due, with or without changed items. */
    uint64_t sent_revision; /**< Latest revision sent to followers. */
};

static directory_feed_state_t read_state(const directory_feed_t *feed) {
    directory_feed_state_t state = {0};
    feed->read(feed->owner, &state);
    return state;
}

/** Encodes the complete view; a message without a directory makes followers leave. */
static GBytes *encode_all(const directory_feed_state_t *state) {
    message_t message;
    message_init(&message, MESSAGE_DIRECTORY);
    message.revision = state->revision;
    message.answer_age = state->answer_age;
    if (state->followable)
        message.directory = directory_snapshot_encode(state->snapshot);
    GBytes *bytes = message_encode(&message);
    message_clear(&message);
    return bytes;
}

static GBytes *encode_group(const directory_feed_state_t *state) {
    message_t message;
    message_init(&message, MESSAGE_GROUP);
    message.group = g_bytes_ref(state->group);
    GBytes *bytes = message_encode(&message);
    message_clear(&message);
    return bytes;
}

static GBytes *encode_changes(const directory_feed_state_t *state, const GArray *changes) {
    message_t message;
    message_init(&message, MESSAGE_DIRECTORY_CHANGES);
    message.revision = state->revision;
    message.answer_age = state->answer_age;
    message.directory = directory_changes_encode(changes);
    GBytes *bytes = message_encode(&message);
    message_clear(&message);
    return bytes;
}

/** Sends to each follower that has the complete view; takes ownership of @p bytes. */
static void send_to_all(directory_feed_t *feed, GBytes *bytes) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, feed->followers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const follower_t *follower = value;
        if (!follower->complete)
            continue;
        /* A follower that does not read is dropped; it leaves once its view is stale. */
        if (frame_connection_backlog(follower->connection) > BACKLOG_MAX_BYTES)
            g_hash_table_iter_remove(&iterator);
        else
            frame_connection_send(follower->connection, g_bytes_ref(bytes));
    }
    g_bytes_unref(bytes);
}

static GBytes *encode_no_changes(const directory_feed_state_t *state) {
    GArray *none = directory_changes_new();
    GBytes *bytes = encode_changes(state, none);
    g_array_free(none, TRUE);
    return bytes;
}

/** Encodes the first message, which prevents a timeout of the follower during a large view. */
static GBytes *encode_accepted(const directory_feed_state_t *state) {
    message_t message;
    message_init(&message, MESSAGE_DIRECTORY_KNOWN);
    message.revision = state->revision;
    GBytes *bytes = message_encode(&message);
    message_clear(&message);
    return bytes;
}

/** Sends a new follower the complete view, once that is at least as recent as its own. */
static void send_initial(directory_feed_t *feed, follower_t *follower,
                         const directory_feed_state_t *state) {
    if (follower->complete || state->revision == 0 || state->revision < follower->revision)
        return;
    follower->complete = true;
    feed->sent_revision = state->revision;
    frame_connection_send(follower->connection, encode_accepted(state));
    bool same = follower->view != 0 && follower->view == state->snapshot->digest;
    if (state->group != NULL)
        frame_connection_send(follower->connection, encode_group(state));
    frame_connection_send(follower->connection,
                          same ? encode_no_changes(state) : encode_all(state));
}

static void send_initial_to_all(directory_feed_t *feed, const directory_feed_state_t *state) {
    GHashTableIter iterator;
    gpointer follower;
    g_hash_table_iter_init(&iterator, feed->followers);
    while (g_hash_table_iter_next(&iterator, NULL, &follower))
        send_initial(feed, follower, state);
}

static void send_changes(directory_feed_t *feed, const directory_feed_state_t *state) {
    feed->sent_revision = state->revision;
    send_to_all(feed, encode_changes(state, feed->changes));
    g_array_set_size(feed->changes, 0);
    feed->pending = false;
}

static void on_send(uv_timer_t *timer) {
    directory_feed_t *feed = timer->data;
    directory_feed_state_t state = read_state(feed);
    if (!state.followable) {
        send_to_all(feed, encode_all(&state));
        return;
    }
    /*
     * During a listing changes are sent, but the revision does not advance. Without them followers
     * would consider the source failed during a long listing (seconds for 10,000 back ends) and
     * list the service themselves, and a new configuration would be delayed until its end.
     */
    bool listing = state.revision == 0;
    if (listing)
        state.revision = feed->sent_revision;
    if (feed->pending && state.revision > 0)
        send_changes(feed, &state);
    if (!listing)
        send_initial_to_all(feed, &state);
}

static void on_heartbeat(uv_timer_t *timer) {
    directory_feed_t *feed = timer->data;
    if (g_hash_table_size(feed->followers) == 0) {
        uv_timer_stop(timer);
        return;
    }
    feed->pending = true;
    on_send(&feed->timer);
}

/** Sends in the next loop iteration, because one response to a watch contains several items. */
static void send_soon(directory_feed_t *feed) {
    if (g_hash_table_size(feed->followers) > 0)
        uv_timer_start(&feed->timer, on_send, 0, 0);
}

directory_feed_t *directory_feed_new(uv_loop_t *loop, directory_feed_read_t read, void *owner) {
    directory_feed_t *feed = g_new0(directory_feed_t, 1);
    feed->read = read;
    feed->owner = owner;
    feed->followers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    feed->changes = directory_changes_new();
    uv_timer_init(loop, &feed->timer);
    feed->timer.data = feed;
    uv_timer_init(loop, &feed->heartbeat);
    feed->heartbeat.data = feed;
    return feed;
}

bool directory_feed_add(directory_feed_t *feed, frame_connection_t *connection, uint64_t revision,
                        uint64_t view) {
    directory_feed_state_t state = read_state(feed);
    event_log(GATEWAY_DIRECTORY_FOLLOWER, g_hash_table_size(feed->followers), revision,
              state.revision);
    if (!state.followable || state.revision == 0)
        return false;
    /* Pending changes are in the snapshot already; existing followers must receive them first. */
    if (uv_is_active((uv_handle_t *)&feed->timer)) {
        uv_timer_stop(&feed->timer);
        on_send(&feed->timer);
    }
    follower_t *follower = g_new0(follower_t, 1);
    follower->connection = connection;
    follower->revision = revision;
    follower->view = view;
    g_hash_table_insert(feed->followers, (gpointer)frame_connection_serial(connection), follower);
    send_initial(feed, follower, &state);
    if (!uv_is_active((const uv_handle_t *)&feed->heartbeat))
        uv_timer_start(&feed->heartbeat, on_heartbeat, HEARTBEAT_MS, HEARTBEAT_MS);
    return true;
}

void directory_feed_remove(directory_feed_t *feed, const uint64_t *serial) {
    g_hash_table_remove(feed->followers, serial);
}

void directory_feed_notify(directory_feed_t *feed, const key_value_item_t *item) {
    if (g_hash_table_size(feed->followers) == 0)
        return;
    if (item != NULL)
        directory_changes_add(feed->changes, item);
    feed->pending = true;
    send_soon(feed);
}

unsigned directory_feed_followers(const directory_feed_t *feed) {
    return g_hash_table_size(feed->followers);
}
