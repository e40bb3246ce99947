#include "gateway/directory_follow.h"

#include "cluster/directory_changes.h"
#include "cluster/service_directory.h"
#include "common/error.h"
#include "common/event.h"
#include "net/frame_connection.h"

enum {
    /** A connection must be up within this, in ms: a machine without power does not refuse it, and
     * the kernel would ask again only after a second. */
    CONNECT_MS = 300,
    ACCEPT_MS = 500, /**< Then the source must have accepted within this, */
    VIEW_MS = 8000,  /**< and its view have come, which shares the source's link with others. */
    REFUSED_LEAST_MS = 300, /**< Pause after a refusal, whatever other sources know. */
};

struct directory_follow {
    uv_loop_t *loop;
    uv_timer_t timer; /**< Runs until the source's view has come. */
    const directory_follow_handler_t *handler;
    void *owner;
    frame_connection_t *connection; /**< NULL: no source. */
    struct sockaddr_in source;
    bool current;
    uint64_t asked_view; /**< Digest of the view that the source was told this gateway has. */
    uint64_t heard_at;
    uint32_t answer_age; /**< As the source told it then. */
    uint64_t refused_pause_ms;
    uint64_t refused_at;
    uint64_t pause_until;       /**< None is followed before; one has refused. */
    struct sockaddr_in avoided; /**< The source that proved of no use last, */
    uint64_t avoided_until;     /**< which is not followed before. */
};

static bool same_address(const struct sockaddr_in *a, const struct sockaddr_in *b) {
    return a->sin_port == b->sin_port && a->sin_addr.s_addr == b->sin_addr.s_addr;
}

/** Does not follow the present source again before @p ms are over. */
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
    log_follows(follow, "no", reason, follow->handler->known(follow->owner));
    uv_timer_stop(&follow->timer);
    frame_connection_close(follow->connection);
    follow->connection = NULL;
    follow->current = false;
    if (avoid_ms > 0)
        avoid_source(follow, avoid_ms);
}

static void note_refusal(directory_follow_t *follow) {
    follow->refused_at = uv_now(follow->loop);
    follow->pause_until = follow->refused_at + follow->refused_pause_ms;
}

void directory_follow_forgive(directory_follow_t *follow) {
    follow->avoided_until = 0;
    follow->pause_until = MIN(follow->pause_until, follow->refused_at + REFUSED_LEAST_MS);
}

static void lose_source(directory_follow_t *follow, const char *reason) {
    directory_follow_end(follow, reason, DIRECTORY_AVOID_MS);
    follow->handler->on_lost(follow->owner);
}

static void on_time_over(uv_timer_t *timer) {
    lose_source(timer->data, "late");
}

static void on_open(void *owner, frame_connection_t *connection) {
    directory_follow_t *follow = owner;
    uv_timer_start(&follow->timer, on_time_over, ACCEPT_MS, 0);
    message_t request;
    message_init(&request, REQUEST_FOLLOW);
    request.revision = follow->handler->known(follow->owner);
    request.view = follow->handler->view(follow->owner);
    follow->asked_view = request.view;
    frame_connection_send(connection, message_encode(&request));
    message_clear(&request);
}

/** The source's whole view, or with NULL that it is this gateway's own one. */
static void become_current(directory_follow_t *follow, const directory_snapshot_t *snapshot,
                           const message_t *message) {
    uv_timer_stop(&follow->timer);
    if (!follow->current)
        log_follows(follow, "yes", snapshot == NULL ? "same" : "view", message->revision);
    follow->current = true;
    follow->handler->on_directory(follow->owner, snapshot, message->revision);
}

/** False if @p message holds no directory. */
static bool take_directory(directory_follow_t *follow, const message_t *message) {
    directory_snapshot_t snapshot;
    directory_snapshot_init(&snapshot);
    bool valid =
        message->directory != NULL && directory_snapshot_decode(&snapshot, message->directory);
    if (valid)
        become_current(follow, &snapshot, message);
    directory_snapshot_clear(&snapshot);
    return valid;
}

static bool take_changes(const directory_follow_t *follow, const message_t *message) {
    GArray *changes =
        message->directory == NULL ? NULL : directory_changes_decode(message->directory);
    if (changes == NULL)
        return false;
    follow->handler->on_changes(follow->owner, changes, message->revision);
    g_array_free(changes, TRUE);
    return true;
}

/** In place of the whole view: false if this gateway's own has changed since it was told. */
static bool take_same(directory_follow_t *follow, const message_t *message) {
    if (follow->asked_view == 0 || follow->asked_view != follow->handler->view(follow->owner))
        return false;
    become_current(follow, NULL, message);
    return true;
}

static bool take_message(directory_follow_t *follow, const message_t *message) {
    if (message->type == MESSAGE_GROUP) {
        follow->handler->on_group(follow->owner, message);
        return true;
    }
    if (message->type == MESSAGE_DIRECTORY_KNOWN) {
        if (!follow->current)
            uv_timer_start(&follow->timer, on_time_over, VIEW_MS, 0);
        return true;
    }
    follow->heard_at = uv_now(follow->loop);
    follow->answer_age = message->answer_age;
    if (message->type == MESSAGE_DIRECTORY)
        return take_directory(follow, message);
    if (message->type == MESSAGE_DIRECTORY_CHANGES)
        return follow->current ? take_changes(follow, message) : take_same(follow, message);
    return true;
}

static void on_frame(void *owner, frame_connection_t *connection, const uint8_t *data,
                     size_t length) {
    directory_follow_t *follow = owner;
    message_t message;
    (void)connection;
    bool valid = message_decode(&message, data, length);
    bool view = message.type == MESSAGE_DIRECTORY || message.type == MESSAGE_DIRECTORY_CHANGES;
    bool behind = valid && view && message.revision < follow->handler->known(follow->owner);
    if (behind)
        lose_source(follow, "behind");
    else if (valid)
        valid = take_message(follow, &message);
    message_clear(&message);
    if (!valid)
        lose_source(follow, error_name(RUDDERWAY_ERROR_FRAME_INVALID));
}

static void on_closed(void *owner, frame_connection_t *connection) {
    directory_follow_t *follow = owner;
    (void)connection;
    /* Gone already: nothing is left to close. */
    follow->connection = NULL;
    if (follow->current)
        avoid_source(follow, DIRECTORY_AVOID_MS);
    else
        note_refusal(follow);
    follow->current = false;
    uv_timer_stop(&follow->timer);
    log_follows(follow, "no", "closed", follow->handler->known(follow->owner));
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
        uv_timer_start(&follow->timer, on_time_over, CONNECT_MS, 0);
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
    return (uint32_t)(uv_now(follow->loop) - follow->heard_at) + follow->answer_age;
}

const struct sockaddr_in *directory_follow_source(const directory_follow_t *follow) {
    return &follow->source;
}
