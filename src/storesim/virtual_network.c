#include "storesim/virtual_network.h"

#include "cluster/message.h"
#include "common/event.h"

#include <inttypes.h>

enum {
    LATENCY_LEAST_MS = 1,
    LATENCY_MOST_MS = 4,
    RETRY_MS = 20,
    SILENT_MS = 1500,
    OPENING_AGAIN_MS = 1000, /**< The kernel sends an unanswered opening packet again after this. */
    FIRST_GRANTS = 60,       /**< By a process whose buckets seem full, when quotas are broken. */
};

struct frame_listener {
    virtual_process_t *process;
    const frame_handler_t *handler;
    void *owner;
};

struct frame_connection {
    virtual_process_t *process;
    uint64_t incarnation;
    frame_connection_t *peer; /**< The other end; NULL until open and after its end. */
    const frame_handler_t *handler;
    void *owner;
    uint64_t serial;
    bool open;
    bool closed;
    bool refused;           /**< The other end's process has ended, or there was none. */
    GQueue *inbox;          /**< Frames on their way to this end, in order; of GBytes. */
    uint64_t stalled_since; /**< When the first of them could not get through; 0: it can. */
    GQueue *unsent;         /**< Frames from before the connection was open. */
};

static GHashTable *listeners; /**< Process to frame_listener_t. */
static GPtrArray *ends;       /**< All ends that are not closed. */
static GPtrArray *dark;       /**< Processes whose machine lost power, and may have it again. */
static uint64_t last_serial;
static size_t largest_frame;
static uint64_t delivered_bytes;
static bool empty_indexes;
static uint64_t keep_alive_ms;   /**< 0: there is none. */
static GHashTable *first_grants; /**< Set if quotas are broken: by process and start. */

void virtual_network_start(void) {
    listeners = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    ends = g_ptr_array_new();
    dark = g_ptr_array_new();
    largest_frame = 0;
    delivered_bytes = 0;
    empty_indexes = false;
    keep_alive_ms = 0;
    if (first_grants != NULL)
        g_hash_table_destroy(first_grants);
    first_grants = NULL;
}

void virtual_network_restart_serials(void) {
    last_serial = 0;
}

size_t virtual_network_largest_frame(void) {
    return largest_frame;
}

uint64_t virtual_network_delivered_bytes(void) {
    return delivered_bytes;
}

void virtual_network_keep_alive(uint64_t ms) {
    keep_alive_ms = ms;
}

void virtual_network_break_catch_up(void) {
    empty_indexes = true;
}

void virtual_network_break_quotas(void) {
    first_grants = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void virtual_network_cut(virtual_process_t *a, virtual_process_t *b, bool cut) {
    if (cut) {
        g_hash_table_add(a->cut_from, b);
        g_hash_table_add(b->cut_from, a);
    } else {
        g_hash_table_remove(a->cut_from, b);
        g_hash_table_remove(b->cut_from, a);
    }
}

static bool alive(const frame_connection_t *end) {
    return !end->closed && end->process->up && end->process->incarnation == end->incarnation;
}

static uint64_t latency(void) {
    return virtual_random(LATENCY_LEAST_MS, LATENCY_MOST_MS);
}

static frame_connection_t *new_end(virtual_process_t *process, const frame_handler_t *handler,
                                   void *owner) {
    frame_connection_t *end = g_new0(frame_connection_t, 1);
    end->process = process;
    end->incarnation = process->incarnation;
    end->handler = handler;
    end->owner = owner;
    end->serial = ++last_serial;
    end->inbox = g_queue_new();
    end->unsent = g_queue_new();
    g_ptr_array_add(ends, end);
    return end;
}

static void forget_end(frame_connection_t *end) {
    end->closed = true;
    if (end->peer != NULL)
        end->peer->peer = NULL;
    g_ptr_array_remove_fast(ends, end);
}

/** The connection ended by itself: tells the owner of this end. */
static void lose_end(void *data) {
    frame_connection_t *end = data;
    if (!alive(end))
        return;
    end->handler->on_closed(end->owner, end);
    if (!end->closed)
        forget_end(end);
}

/** The peer's machine says that the connection has ended. */
static void refuse_end(frame_connection_t *end) {
    end->refused = true;
    virtual_after(latency(), end->process, lose_end, end);
}

static void lose_end_after(frame_connection_t *end, uint64_t delay) {
    virtual_after(delay, end->process, lose_end, end);
}

void frame_connection_close(frame_connection_t *connection) {
    if (connection->closed)
        return;
    frame_connection_t *peer = connection->peer;
    forget_end(connection);
    if (peer != NULL)
        refuse_end(peer);
}

/** A refusal by a process that has not refused many since it started becomes a grant. */
static GBytes *grant_at_first(const frame_connection_t *sender, GBytes *frame) {
    gsize length;
    const void *data = g_bytes_get_data(frame, &length);
    message_t message;
    bool valid = message_decode(&message, data, length);
    GBytes *received = g_bytes_ref(frame);
    if (valid && message.type == RESPONSE_ALLOWANCE && message.verdict == VERDICT_NO) {
        char *key = g_strdup_printf("%s %" G_GUINT64_FORMAT, sender->process->name,
                                    (guint64)sender->incarnation);
        guint *granted = g_hash_table_lookup(first_grants, key);
        if (granted == NULL) {
            granted = g_new0(guint, 1);
            g_hash_table_insert(first_grants, g_strdup(key), granted);
        }
        g_free(key);
        if ((*granted)++ < FIRST_GRANTS) {
            message.verdict = VERDICT_YES;
            g_bytes_unref(received);
            received = message_encode(&message);
        }
    }
    message_clear(&message);
    return received;
}

/** A frame as the receiver gets it; replaced if something is broken on purpose. */
static GBytes *received_frame(const frame_connection_t *sender, GBytes *frame) {
    if (first_grants != NULL && sender != NULL)
        return grant_at_first(sender, frame);
    if (!empty_indexes)
        return g_bytes_ref(frame);
    gsize length;
    const void *data = g_bytes_get_data(frame, &length);
    message_t message;
    bool valid = message_decode(&message, data, length);
    GBytes *received = g_bytes_ref(frame);
    if (valid && message.type == RESPONSE_INDEX) {
        g_ptr_array_set_size(message.ids, 0);
        g_array_set_size(message.charges, 0);
        g_bytes_unref(received);
        received = message_encode(&message);
    }
    message_clear(&message);
    return received;
}

static void deliver(void *data) {
    frame_connection_t *end = data;
    if (!alive(end) || g_queue_is_empty(end->inbox))
        return;
    frame_connection_t *peer = end->peer;
    bool cut = peer != NULL && g_hash_table_contains(end->process->cut_from, peer->process);
    if (cut && end->stalled_since == 0)
        end->stalled_since = virtual_now();
    if (cut && virtual_now() - end->stalled_since > SILENT_MS) {
        if (peer != NULL)
            lose_end_after(peer, 0);
        lose_end(end);
        return;
    }
    if (cut) {
        virtual_after(RETRY_MS, end->process, deliver, end);
        return;
    }
    end->stalled_since = 0;
    GBytes *frame = g_queue_pop_head(end->inbox);
    if (!g_queue_is_empty(end->inbox))
        virtual_after(0, end->process, deliver, end);
    GBytes *received = received_frame(peer, frame);
    gsize length;
    const uint8_t *bytes = g_bytes_get_data(received, &length);
    largest_frame = MAX(largest_frame, length);
    delivered_bytes += length;
    end->handler->on_frame(end->owner, end, bytes, length);
    g_bytes_unref(received);
    g_bytes_unref(frame);
}

static void send_frame(frame_connection_t *end, GBytes *payload) {
    frame_connection_t *peer = end->peer;
    if (peer == NULL || !alive(peer)) {
        /* A process that ended in silence: the kernel gives up after a while. */
        g_bytes_unref(payload);
        lose_end_after(end, SILENT_MS);
        return;
    }
    g_queue_push_tail(peer->inbox, payload);
    if (g_queue_get_length(peer->inbox) == 1)
        virtual_after(latency(), peer->process, deliver, peer);
}

/** As in net/frame_connection.c, so that the simulator finds messages without a bound. */
static bool is_too_large(GBytes *payload) {
    gsize length = g_bytes_get_size(payload);
    if (length > FRAME_BYTES_MAXIMUM)
        event_log(PEER_FRAME_TOO_LARGE, "outgoing", (uint64_t)length,
                  (unsigned)FRAME_BYTES_MAXIMUM);
    return length > FRAME_BYTES_MAXIMUM;
}

void frame_connection_send(frame_connection_t *connection, GBytes *payload) {
    if (connection->closed || is_too_large(payload))
        g_bytes_unref(payload);
    else if (!connection->open)
        g_queue_push_tail(connection->unsent, payload);
    else
        send_frame(connection, payload);
}

static void opened(void *data) {
    frame_connection_t *end = data;
    if (!alive(end))
        return;
    end->open = true;
    end->handler->on_open(end->owner, end);
    while (!end->closed && !g_queue_is_empty(end->unsent))
        send_frame(end, g_queue_pop_head(end->unsent));
}

typedef struct {
    frame_connection_t *end;
    struct sockaddr_in address;
} connect_event_t;

static bool is_dark(const struct sockaddr_in *address) {
    for (guint i = 0; i < dark->len; i++) {
        const virtual_process_t *process = g_ptr_array_index(dark, i);
        if (process->dark && process->address.sin_port == address->sin_port)
            return true;
    }
    return false;
}

static void connect_arrives(void *data) {
    connect_event_t event = *(connect_event_t *)data;
    frame_connection_t *end = event.end;
    if (!alive(end)) {
        g_free(data);
        return;
    }
    if (is_dark(&event.address)) {
        virtual_after(OPENING_AGAIN_MS, NULL, connect_arrives, data);
        return;
    }
    g_free(data);
    GHashTableIter iterator;
    gpointer process;
    gpointer value;
    frame_listener_t *listener = NULL;
    g_hash_table_iter_init(&iterator, listeners);
    while (g_hash_table_iter_next(&iterator, &process, &value)) {
        const virtual_process_t *target = process;
        if (target->address.sin_port == event.address.sin_port && target->up)
            listener = value;
    }
    if (listener == NULL) {
        refuse_end(end);
        return;
    }
    if (g_hash_table_contains(end->process->cut_from, listener->process)) {
        lose_end_after(end, SILENT_MS);
        return;
    }
    frame_connection_t *accepted = new_end(listener->process, listener->handler, listener->owner);
    accepted->peer = end;
    end->peer = accepted;
    virtual_after(0, listener->process, opened, accepted);
    virtual_after(latency(), end->process, opened, end);
}

frame_connection_t *frame_connection_open(uv_loop_t *loop, const struct sockaddr_in *address,
                                          const frame_handler_t *handler, void *owner) {
    frame_connection_t *end = new_end(loop->data, handler, owner);
    connect_event_t *event = g_new0(connect_event_t, 1);
    event->end = end;
    event->address = *address;
    virtual_after(latency(), NULL, connect_arrives, event);
    return end;
}

frame_listener_t *frame_listener_open(uv_loop_t *loop, const struct sockaddr_in *address,
                                      const frame_handler_t *handler, void *owner) {
    frame_listener_t *listener = g_new0(frame_listener_t, 1);
    (void)address;
    listener->process = loop->data;
    listener->handler = handler;
    listener->owner = owner;
    g_hash_table_replace(listeners, listener->process, listener);
    return listener;
}

const uint64_t *frame_connection_serial(const frame_connection_t *connection) {
    return &connection->serial;
}

void virtual_network_process_ended(virtual_process_t *process, bool silent) {
    g_hash_table_remove(listeners, process);
    process->dark = silent;
    g_ptr_array_remove(dark, process);
    if (silent)
        g_ptr_array_add(dark, process);
    for (guint i = ends->len; i > 0; i--) {
        frame_connection_t *end = g_ptr_array_index(ends, i - 1);
        if (end->process != process)
            continue;
        frame_connection_t *peer = end->peer;
        forget_end(end);
        if (peer != NULL && !silent)
            refuse_end(peer);
        else if (peer != NULL && keep_alive_ms > 0)
            lose_end_after(peer, keep_alive_ms);
    }
}

bool frame_connection_refused(const frame_connection_t *connection) {
    return connection->refused;
}

size_t frame_connection_buffer_bytes(const frame_connection_t *connection) {
    (void)connection;
    return 0;
}

size_t frame_connection_backlog(const frame_connection_t *connection) {
    size_t bytes = 0;
    for (const GList *item = connection->unsent->head; item != NULL; item = item->next)
        bytes += g_bytes_get_size(item->data);
    return bytes;
}
