#include "gateway/directory_follow.h"

#include "cluster/directory_changes.h"
#include "cluster/service_directory.h"
#include "common/error.h"
#include "common/event.h"
#include "net/frame_connection.h"

enum {
    /**
     * Connection timeout: a machine without power does not refuse the connection, and the kernel
     * retransmits only after a second.
     */
    CONNECT_MS = 300,
    ACCEPT_MS = 500, /**< Timeout for the source to accept. */
    VIEW_MS = 8000, /**< Timeout for the source's view, which shares its link with other traffic. */
    REFUSED_PAUSE_MIN_MS = 300, /**< Minimum pause after a refusal. */
};

struct directory_follow {
    uv_loop_t *loop;
    uv_timer_t timer; /**< Runs until the source's view has been received. */
    const directory_follow_handler_t *handler;
    void *owner;
    frame_connection_t *connection; /**< NULL: no source. */
    struct sockaddr_in source;
    bool current;
    uint64_t requested_view; /**< Digest of this gateway's view as sent in the request. */
    uint64_t last_received_at;
    uint32_t answer_age; /**< As reported by the source at last_received_at. */
    uint64_t refused_pause_ms;
    uint64_t refused_at;
    uint64_t pause_until;       /**< After a refusal, no source is followed before this time. */
    struct sockaddr_in avoided; /**< The source that failed last. */
    uint64_t avoided_until;     /**< `avoided` is not followed before this time. */
};

static bool same_address(const struct sockaddr_in *a, const struct sockaddr_in *b) {
    return a->sin_port == b->sin_port && a->sin_addr.s_addr == b->sin_addr.s_addr;
}

/** Does not follow the current source again for @p ms. */
static void avoid_source(directory_follow_t *follow, uint64_t ms) {
    follow->avoided = follow->source;
    follow->avoided_until = uv_now(follow->loop) + ms;
}

static void log_follows(const directory_follow_t *follow, const char *follows, const char *reason,
                        uint64_t revision) {
    char source[SOCKET_ADDRESS_BYTES];
    format_socket_address(&follow->source, source);
    event_log(GATEWAY_DIRECTORY_FOLLOWS, follows, source, reason, revision);
}

void directory_follow_end(directory_follow_t *follow, const char *reason, uint64_t avoid_ms) {
    if (follow->connection == NULL)
        return;
    log_follows(follow, "no", reason, follow->handler->revision(follow->owner));
    uv_timer_stop(&follow->timer);
    frame_connection_close(follow->connection);
    follow->connection = NULL;
    follow->current = false;
    if (avoid_ms > 0)
        avoid_source(follow, avoid_ms);
}

static void record_refusal(directory_follow_t *follow) {
    follow->refused_at = uv_now(follow->loop);
    follow->pause_until = follow->refused_at + follow->refused_pause_ms;
}

void directory_follow_reset_backoff(directory_follow_t *follow) {
    follow->avoided_until = 0;
    follow->pause_until = MIN(follow->pause_until, follow->refused_at + REFUSED_PAUSE_MIN_MS);
}

static void fail_source(directory_follow_t *follow, const char *reason) {
    directory_follow_end(follow, reason, DIRECTORY_AVOID_MS);
    follow->handler->on_lost(follow->owner);
}

static void on_timeout(uv_timer_t *timer) {
    fail_source(timer->data, "late");
}

static void on_open(void *owner, frame_connection_t *connection) {
    directory_follow_t *follow = owner;
    uv_timer_start(&follow->timer, on_timeout, ACCEPT_MS, 0);
    message_t request;
    message_init(&request, REQUEST_FOLLOW);
    request.revision = follow->handler->revision(follow->owner);
    request.view = follow->handler->view_digest(follow->owner);
    follow->requested_view = request.view;
    frame_connection_send(connection, message_encode(&request));
    message_clear(&request);
}

/** Handles the source's complete view; NULL: it is the same as this gateway's. */
static void become_current(directory_follow_t *follow, const directory_snapshot_t *snapshot,
                           const message_t *message) {
    uv_timer_stop(&follow->timer);
    if (!follow->current)
        log_follows(follow, "yes", snapshot == NULL ? "same" : "view", message->revision);
    follow->current = true;
    follow->handler->on_directory(follow->owner, snapshot, message->revision);
}

/** Returns false if @p message holds no directory. */
static bool handle_directory(directory_follow_t *follow, const message_t *message) {
    directory_snapshot_t snapshot;
    directory_snapshot_init(&snapshot);
    bool valid =
        message->directory != NULL && directory_snapshot_decode(&snapshot, message->directory);
    if (valid)
        become_current(follow, &snapshot, message);
    directory_snapshot_clear(&snapshot);
    return valid;
}

static bool handle_changes(const directory_follow_t *follow, const message_t *message) {
    GArray *changes =
        message->directory == NULL ? NULL : directory_changes_decode(message->directory);
    if (changes == NULL)
        return false;
    follow->handler->on_changes(follow->owner, changes, message->revision);
    g_array_free(changes, TRUE);
    return true;
}

/** Handles a response without a view; false if this gateway's own view has changed meanwhile. */
static bool handle_unchanged_view(directory_follow_t *follow, const message_t *message) {
    if (follow->requested_view == 0 ||
        follow->requested_view != follow->handler->view_digest(follow->owner))
        return false;
    become_current(follow, NULL, message);
    return true;
}

static bool handle_message(directory_follow_t *follow, const message_t *message) {
    if (message->type == MESSAGE_GROUP) {
        follow->handler->on_group(follow->owner, message);
        return true;
    }
    if (message->type == MESSAGE_DIRECTORY_KNOWN) {
        if (!follow->current)
            uv_timer_start(&follow->timer, on_timeout, VIEW_MS, 0);
        return true;
    }
    follow->last_received_at = uv_now(follow->loop);
    follow->answer_age = message->answer_age;
    if (message->type == MESSAGE_DIRECTORY)
        return handle_directory(follow, message);
    if (message->type == MESSAGE_DIRECTORY_CHANGES)
        return follow->current ? handle_changes(follow, message)
                               : handle_unchanged_view(follow, message);
    return true;
}

static void on_frame(void *owner, frame_connection_t *connection, const uint8_t *data,
                     size_t length) {
    directory_follow_t *follow = owner;
    message_t message;
    (void)connection;
    bool valid = message_decode(&message, data, length);
    bool has_view = message.type == MESSAGE_DIRECTORY || message.type == MESSAGE_DIRECTORY_CHANGES;
    bool behind = valid && has_view && message.revision < follow->handler->revision(follow->owner);
    if (behind)
        fail_source(follow, "behind");
    else if (valid)
        valid = handle_message(follow, &message);
    message_clear(&message);
    if (!valid)
        fail_source(follow, error_name(RUDDERWAY_ERROR_FRAME_INVALID));
}

static void on_closed(void *owner, frame_connection_t *connection) {
    directory_follow_t *follow = owner;
    (void)connection;
    /* The connection is closed already. */
    follow->connection = NULL;
    if (follow->current)
        avoid_source(follow, DIRECTORY_AVOID_MS);
    else
        record_refusal(follow);
    follow->current = false;
    uv_timer_stop(&follow->timer);
    log_follows(follow, "no", "closed", follow->handler->revision(follow->owner));
    follow->handler->on_lost(follow->owner);
}

static const frame_handler_t source_handler = {on_open, on_frame, on_closed};

directory_follow_t *directory_follow_new(uv_loop_t *loop, const directory_follow_handler_t *handler,
                                         void *owner) {
    directory_follow_t *follow = g_new0(directory_follow_t, 1);
    follow->loop = loop;
    follow->handler = handler;
    follow->owner = owner;
    uv_timer_init(loop, &follow->timer);
    follow->timer.data = follow;
    return follow;
}

void directory_follow_begin(directory_follow_t *follow, const struct sockaddr_in *source,
                            uint64_t refused_pause_ms) {
    uint64_t now = uv_now(follow->loop);
    bool avoided = now < follow->avoided_until && same_address(source, &follow->avoided);
    if (follow->connection != NULL || now < follow->pause_until || avoided)
        return;
    follow->refused_pause_ms = refused_pause_ms;
    follow->answer_age = UINT32_MAX;
    follow->source = *source;
    follow->connection = frame_connection_open(follow->loop, source, &source_handler, follow);
    if (follow->connection != NULL)
        uv_timer_start(&follow->timer, on_timeout, CONNECT_MS, 0);
}

bool directory_follow_active(const directory_follow_t *follow) {
    return follow->connection != NULL;
}

bool directory_follow_current(const directory_follow_t *follow) {
    return follow->current;
}

uint32_t directory_follow_answer_age(const directory_follow_t *follow) {
    if (!follow->current || follow->answer_age == UINT32_MAX)
        return UINT32_MAX;
    return (uint32_t)(uv_now(follow->loop) - follow->last_received_at) + follow->answer_age;
}

const struct sockaddr_in *directory_follow_source(const directory_follow_t *follow) {
    return &follow->source;
}
