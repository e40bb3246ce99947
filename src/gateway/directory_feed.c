#include "gateway/directory_feed.h"

#include "cluster/directory_changes.h"
#include "cluster/message.h"
#include "common/event.h"

enum {
    BACKLOG_MOST_BYTES = 4 * 1024 * 1024, /**< A follower that reads no faster is let go. */
    BEAT_MS = 1000, /**< Followers hear at least this often, so that they know how old it is. */
};

/** A gateway that follows this one. */
typedef struct {
    frame_connection_t *connection;
    uint64_t known; /**< What it knew when it came. */
    uint64_t view;  /**< Digest of the view that it had then. */
    bool told;      /**< It has the whole view; until then it gets nothing else. */
} follower_t;

struct directory_feed {
    uv_timer_t timer; /**< Runs while something is to be told. */
    uv_timer_t beat;  /**< Runs while there are followers. */
    directory_feed_read_t read;
    void *owner;
    GHashTable *followers; /**< Serial number of a connection to follower_t. */
    GArray *changes;       /**< Of key_value_item_t: noted and not told yet. */
    bool noted;            /**< There are changes, of whichever items. */
    uint64_t told;         /**< The revision that followers were last told. */
};

static directory_feed_state_t read_state(const directory_feed_t *feed) {
    directory_feed_state_t state = {0};
    feed->read(feed->owner, &state);
    return state;
}

/** The whole view; an empty one tells followers to go elsewhere. */
static GBytes *encode_all(const directory_feed_state_t *state) {
    message_t message;
    message_init(&message, MESSAGE_DIRECTORY);
    message.revision = state->known;
    message.answer_age = state->answer_age;
    if (state->watching)
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
    message.revision = state->known;
    message.answer_age = state->answer_age;
    message.directory = directory_changes_encode(changes);
    GBytes *bytes = message_encode(&message);
    message_clear(&message);
    return bytes;
}

/** Sends to each follower that has the whole view; takes over @p bytes. */
static void send_to_all(directory_feed_t *feed, GBytes *bytes) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, feed->followers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const follower_t *follower = value;
        if (!follower->told)
            continue;
        /* One that does not read misses this and hears no more: it finds another way. */
        if (frame_connection_backlog(follower->connection) > BACKLOG_MOST_BYTES)
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

/** The first frame: a view may take seconds, and the follower should not give up meanwhile. */
static GBytes *encode_accepted(const directory_feed_state_t *state) {
    message_t message;
    message_init(&message, MESSAGE_DIRECTORY_KNOWN);
    message.revision = state->known;
    GBytes *bytes = message_encode(&message);
    message_clear(&message);
    return bytes;
}

/** Gives a new follower the whole view, once that is no older than what the follower knows. */
static void welcome(directory_feed_t *feed, follower_t *follower,
                    const directory_feed_state_t *state) {
    if (follower->told || state->known == 0 || state->known < follower->known)
        return;
    follower->told = true;
    feed->told = state->known;
    frame_connection_send(follower->connection, encode_accepted(state));
    bool same = follower->view != 0 && follower->view == state->snapshot->digest;
    if (state->group != NULL)
        frame_connection_send(follower->connection, encode_group(state));
    frame_connection_send(follower->connection,
                          same ? encode_no_changes(state) : encode_all(state));
}

static void welcome_all(directory_feed_t *feed, const directory_feed_state_t *state) {
    GHashTableIter iterator;
    gpointer follower;
    g_hash_table_iter_init(&iterator, feed->followers);
    while (g_hash_table_iter_next(&iterator, NULL, &follower))
        welcome(feed, follower, state);
}

static void tell_changes(directory_feed_t *feed, const directory_feed_state_t *state) {
    feed->told = state->known;
    send_to_all(feed, encode_changes(state, feed->changes));
    g_array_set_size(feed->changes, 0);
    feed->noted = false;
}

static void on_tell(uv_timer_t *timer) {
    directory_feed_t *feed = timer->data;
    directory_feed_state_t state = read_state(feed);
    if (!state.watching) {
        send_to_all(feed, encode_all(&state));
        return;
    }
    /* While a listing goes on what it shows is told, but not that nothing is missing. A listing of
     * 10,000 back ends takes seconds; followers that heard nothing meanwhile all listed themselves,
     * and a configuration came into force only at its end. */
    bool listing = state.known == 0;
    if (listing)
        state.known = feed->told;
    if (feed->noted && state.known > 0)
        tell_changes(feed, &state);
    if (!listing)
        welcome_all(feed, &state);
}

static void on_beat(uv_timer_t *timer) {
    directory_feed_t *feed = timer->data;
    if (g_hash_table_size(feed->followers) == 0) {
        uv_timer_stop(timer);
        return;
    }
    feed->noted = true;
    on_tell(&feed->timer);
}

/** In the next turn of the loop: a watch's answer brings several items. */
static void tell_soon(directory_feed_t *feed) {
    if (g_hash_table_size(feed->followers) > 0)
        uv_timer_start(&feed->timer, on_tell, 0, 0);
}

directory_feed_t *directory_feed_new(uv_loop_t *loop, directory_feed_read_t read, void *owner) {
    directory_feed_t *feed = g_new0(directory_feed_t, 1);
    feed->read = read;
    feed->owner = owner;
    feed->followers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    feed->changes = directory_changes_new();
    uv_timer_init(loop, &feed->timer);
    feed->timer.data = feed;
    uv_timer_init(loop, &feed->beat);
    feed->beat.data = feed;
    return feed;
}

bool directory_feed_add(directory_feed_t *feed, frame_connection_t *connection, uint64_t known,
                        uint64_t view) {
    directory_feed_state_t state = read_state(feed);
    event_log(GATEWAY_DIRECTORY_FOLLOWER, g_hash_table_size(feed->followers), known, state.known);
    if (!state.watching || state.known == 0)
        return false;
    /* What is noted is in the snapshot already; followers of before get it first. */
    if (uv_is_active((uv_handle_t *)&feed->timer)) {
        uv_timer_stop(&feed->timer);
        on_tell(&feed->timer);
    }
    follower_t *follower = g_new0(follower_t, 1);
    follower->connection = connection;
    follower->known = known;
    follower->view = view;
    g_hash_table_insert(feed->followers, (gpointer)frame_connection_serial(connection), follower);
    welcome(feed, follower, &state);
    if (!uv_is_active((const uv_handle_t *)&feed->beat))
        uv_timer_start(&feed->beat, on_beat, BEAT_MS, BEAT_MS);
    return true;
}

void directory_feed_remove(directory_feed_t *feed, const uint64_t *serial) {
    g_hash_table_remove(feed->followers, serial);
}

void directory_feed_note(directory_feed_t *feed, const key_value_item_t *item) {
    if (g_hash_table_size(feed->followers) == 0)
        return;
    if (item != NULL)
        directory_changes_add(feed->changes, item);
    feed->noted = true;
    tell_soon(feed);
}

unsigned directory_feed_followers(const directory_feed_t *feed) {
    return g_hash_table_size(feed->followers);
}
