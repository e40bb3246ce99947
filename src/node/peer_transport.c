#include "node/peer_transport.h"

#include "common/event.h"
#include "node/peer_frame.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    EVENTS_PER_WAIT = 64,
    READ_BLOCK_BYTES = 64 * 1024,
    QUEUE_BYTES_MAXIMUM = 64 * 1024 * 1024, /**< Waiting for one peer. */
    HANDSHAKE_MS = 2000,                    /**< For a connection and its nonce. */
    IDLE_MS = 60 * 1000,
    SWEEP_MS = 500,
    CONNECTIONS_MAXIMUM = 8192,
    MICROSECONDS_PER_MILLISECOND = 1000,
};

typedef enum {
    LINK_LISTENER,
    LINK_DATAGRAMS,
    LINK_WAKEUP,
    LINK_INCOMING,
    LINK_OUTGOING
} link_kind_t;

/** One socket; only the transport's thread touches it. */
typedef struct {
    link_kind_t kind;
    int descriptor;
    char *name; /**< "address:port". */
    peer_frame_state_t frames;
    GByteArray *input;
    GByteArray *output;
    size_t output_sent;
    GPtrArray *unsent; /**< Of GBytes, until the nonce has come. */
    size_t unsent_bytes;
    bool ready;        /**< Outgoing: the nonce has come. */
    bool awaits_space; /**< The kernel's send buffer is full. */
    bool broken;
    int64_t active_ms;
} link_t;

/** A message on its way to the transport's thread. */
typedef struct {
    char *address;
    uint32_t port;
    GBytes *content;
    bool datagram;
} parcel_t;

struct peer_transport {
    peer_receiver_t receiver;
    void *context;
    uint8_t key[PEER_KEY_BYTES];
    uint16_t port;
    int epoll;
    link_t *listener;
    link_t *datagrams;
    link_t *wakeup;
    GHashTable *outgoing; /**< "address:port" → link_t. */
    GPtrArray *incoming;  /**< Of link_t. */
    pthread_mutex_t lock; /**< Guards the parcels. */
    GQueue *parcels;      /**< Of parcel_t. */
    GPtrArray *broken;    /**< Links to close after the current round. */
    peer_transport_counters_t counters;
    gint stopping;
    pthread_t thread;
};

/** Counters are written by the transport's thread alone and read by any. */
static void count(uint64_t *counter, uint64_t amount) {
    __atomic_fetch_add(counter, amount, __ATOMIC_RELAXED);
}

static uint64_t read_counter(const uint64_t *counter) {
    return __atomic_load_n(counter, __ATOMIC_RELAXED);
}

static int64_t now_ms(void) {
    return g_get_monotonic_time() / MICROSECONDS_PER_MILLISECOND;
}

static void parcel_free(parcel_t *parcel) {
    g_free(parcel->address);
    g_bytes_unref(parcel->content);
    g_free(parcel);
}

static link_t *link_new(peer_transport_t *transport, link_kind_t kind, int descriptor, char *name,
                        uint32_t events) {
    link_t *link = g_new0(link_t, 1);
    link->kind = kind;
    link->descriptor = descriptor;
    link->name = name;
    link->input = g_byte_array_new();
    link->output = g_byte_array_new();
    link->unsent = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
    link->active_ms = now_ms();
    memcpy(link->frames.key, transport->key, PEER_KEY_BYTES);
    struct epoll_event event = {.events = events, .data.ptr = link};
    epoll_ctl(transport->epoll, EPOLL_CTL_ADD, descriptor, &event);
    return link;
}

static void link_free(link_t *link) {
    close(link->descriptor);
    g_free(link->name);
    g_byte_array_unref(link->input);
    g_byte_array_unref(link->output);
    g_ptr_array_unref(link->unsent);
    g_free(link);
}

static void watch(const peer_transport_t *transport, link_t *link, uint32_t events) {
    struct epoll_event event = {.events = events, .data.ptr = link};
    epoll_ctl(transport->epoll, EPOLL_CTL_MOD, link->descriptor, &event);
}

static void break_link(peer_transport_t *transport, link_t *link, const char *reason) {
    if (link->broken)
        return;
    link->broken = true;
    g_ptr_array_add(transport->broken, link);
    if (reason != NULL)
        event_log(PEER_CONNECTION_LOST, link->name, reason);
}

static void close_broken(peer_transport_t *transport) {
    for (guint i = 0; i < transport->broken->len; i++) {
        link_t *link = g_ptr_array_index(transport->broken, i);
        count(&transport->counters.frames_dropped, link->unsent->len);
        if (link->kind == LINK_OUTGOING)
            g_hash_table_remove(transport->outgoing, link->name);
        else
            g_ptr_array_remove_fast(transport->incoming, link);
        link_free(link);
    }
    g_ptr_array_set_size(transport->broken, 0);
}

/* --- Sending ------------------------------------------------------------------------------ */

static void write_output(peer_transport_t *transport, link_t *link) {
    while (link->output_sent < link->output->len) {
        ssize_t written = send(link->descriptor, link->output->data + link->output_sent,
                               link->output->len - link->output_sent, MSG_NOSIGNAL);
        if (written < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            watch(transport, link, EPOLLIN | EPOLLOUT);
            link->awaits_space = true;
            return;
        }
        if (written < 0) {
            break_link(transport, link, g_strerror(errno));
            return;
        }
        link->output_sent += (size_t)written;
        count(&transport->counters.bytes_sent, (uint64_t)written);
        link->active_ms = now_ms();
    }
    g_byte_array_set_size(link->output, 0);
    link->output_sent = 0;
    if (link->awaits_space)
        watch(transport, link, EPOLLIN);
    link->awaits_space = false;
}

static void flush_unsent(peer_transport_t *transport, link_t *link) {
    for (guint i = 0; i < link->unsent->len; i++) {
        peer_frame_append(&link->frames, link->output, g_ptr_array_index(link->unsent, i));
        count(&transport->counters.frames_sent, 1);
    }
    g_ptr_array_set_size(link->unsent, 0);
    link->unsent_bytes = 0;
    write_output(transport, link);
}

static bool fill_address(const char *address, uint32_t port, struct sockaddr_in *result) {
    *result = (struct sockaddr_in){.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
    return inet_pton(AF_INET, address, &result->sin_addr) == 1;
}

static link_t *open_link(peer_transport_t *transport, const parcel_t *parcel, char *name) {
    struct sockaddr_in address;
    int descriptor = -1;
    if (fill_address(parcel->address, parcel->port, &address))
        descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        g_free(name);
        return NULL;
    }
    int one = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (connect(descriptor, (struct sockaddr *)&address, sizeof address) != 0 &&
        errno != EINPROGRESS) {
        close(descriptor);
        g_free(name);
        return NULL;
    }
    link_t *link = link_new(transport, LINK_OUTGOING, descriptor, name, EPOLLIN);
    g_hash_table_insert(transport->outgoing, link->name, link);
    return link;
}

static void send_frame(peer_transport_t *transport, const parcel_t *parcel) {
    char *name = g_strdup_printf("%s:%u", parcel->address, parcel->port);
    link_t *link = g_hash_table_lookup(transport->outgoing, name);
    if (link != NULL)
        g_free(name);
    else
        link = open_link(transport, parcel, name);
    size_t length = g_bytes_get_size(parcel->content);
    if (link == NULL || link->broken ||
        link->unsent_bytes + link->output->len + length > QUEUE_BYTES_MAXIMUM) {
        count(&transport->counters.frames_dropped, 1);
        return;
    }
    g_ptr_array_add(link->unsent, g_bytes_ref(parcel->content));
    link->unsent_bytes += length;
    if (link->ready)
        flush_unsent(transport, link);
}

static void send_datagram(peer_transport_t *transport, const parcel_t *parcel) {
    struct sockaddr_in address;
    peer_frame_state_t state = {0};
    GByteArray *output = g_byte_array_new();
    memcpy(state.key, transport->key, PEER_KEY_BYTES);
    peer_frame_append(&state, output, parcel->content);
    if (fill_address(parcel->address, parcel->port, &address) &&
        output->len <= PEER_DATAGRAM_MAXIMUM &&
        sendto(transport->datagrams->descriptor, output->data, output->len, MSG_NOSIGNAL,
               (struct sockaddr *)&address, sizeof address) >= 0) {
        count(&transport->counters.datagrams_sent, 1);
        count(&transport->counters.bytes_sent, output->len);
    }
    g_byte_array_unref(output);
}

static parcel_t *next_parcel(peer_transport_t *transport) {
    pthread_mutex_lock(&transport->lock);
    parcel_t *parcel = g_queue_pop_head(transport->parcels);
    pthread_mutex_unlock(&transport->lock);
    return parcel;
}

static void take_parcels(peer_transport_t *transport) {
    uint64_t count;
    if (read(transport->wakeup->descriptor, &count, sizeof count) < 0)
        return;
    parcel_t *parcel;
    while ((parcel = next_parcel(transport)) != NULL) {
        if (parcel->datagram)
            send_datagram(transport, parcel);
        else
            send_frame(transport, parcel);
        parcel_free(parcel);
    }
}

/* --- Receiving ---------------------------------------------------------------------------- */

static void deliver(peer_transport_t *transport, const char *name, const uint8_t *content,
                    size_t length, link_t *link) {
    GError *error = NULL;
    peer_message_t *message = peer_message_decode(content, length, &error);
    if (message != NULL) {
        transport->receiver(transport->context, message);
        return;
    }
    count(&transport->counters.frames_rejected, 1);
    event_log(PEER_FRAME_REJECTED, name, error->message);
    g_error_free(error);
    if (link != NULL)
        break_link(transport, link, NULL);
}

static void take_frames(peer_transport_t *transport, link_t *link) {
    const size_t head = PEER_LENGTH_BYTES + PEER_TAG_BYTES;
    size_t used = 0;
    while (!link->broken) {
        GError *error = NULL;
        gssize length = peer_frame_check(&link->frames, link->input->data + used,
                                         link->input->len - used, &error);
        if (length == 0)
            break;
        if (length < 0) {
            count(&transport->counters.frames_rejected, 1);
            event_log(PEER_FRAME_REJECTED, link->name, error->message);
            g_error_free(error);
            break_link(transport, link, NULL);
            break;
        }
        count(&transport->counters.frames_received, 1);
        deliver(transport, link->name, link->input->data + used + head, (size_t)length - head,
                link);
        used += (size_t)length;
    }
    if (used > 0)
        g_byte_array_remove_range(link->input, 0, (guint)used);
}

static void take_nonce(peer_transport_t *transport, link_t *link) {
    if (link->ready || link->input->len < PEER_NONCE_BYTES)
        return;
    memcpy(link->frames.nonce, link->input->data, PEER_NONCE_BYTES);
    link->ready = true;
    event_log(PEER_CONNECTED, link->name);
    flush_unsent(transport, link);
}

static void read_link(peer_transport_t *transport, link_t *link) {
    uint8_t block[READ_BLOCK_BYTES];
    ssize_t length = recv(link->descriptor, block, sizeof block, 0);
    if (length < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        return;
    if (length <= 0) {
        break_link(transport, link, length < 0 ? g_strerror(errno) : NULL);
        return;
    }
    link->active_ms = now_ms();
    g_byte_array_append(link->input, block, (guint)length);
    if (link->kind == LINK_INCOMING)
        take_frames(transport, link);
    else
        take_nonce(transport, link);
}

static void accept_links(peer_transport_t *transport) {
    for (;;) {
        struct sockaddr_in address = {0};
        socklen_t length = sizeof address;
        int descriptor = accept4(transport->listener->descriptor, (struct sockaddr *)&address,
                                 &length, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0)
            return;
        if (transport->incoming->len >= CONNECTIONS_MAXIMUM) {
            close(descriptor);
            continue;
        }
        char text[INET_ADDRSTRLEN] = "";
        inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
        char *name = g_strdup_printf("%s:%u", text, ntohs(address.sin_port));
        link_t *link = link_new(transport, LINK_INCOMING, descriptor, name, EPOLLIN);
        g_ptr_array_add(transport->incoming, link);
        if (getentropy(link->frames.nonce, PEER_NONCE_BYTES) != 0)
            break_link(transport, link, g_strerror(errno));
        g_byte_array_append(link->output, link->frames.nonce, PEER_NONCE_BYTES);
        write_output(transport, link);
    }
}

static void read_datagrams(peer_transport_t *transport) {
    uint8_t block[PEER_DATAGRAM_MAXIMUM];
    for (;;) {
        ssize_t length = recv(transport->datagrams->descriptor, block, sizeof block, MSG_DONTWAIT);
        if (length < 0)
            return;
        peer_frame_state_t state = {0};
        GError *error = NULL;
        memcpy(state.key, transport->key, PEER_KEY_BYTES);
        gssize whole = peer_frame_check(&state, block, (size_t)length, &error);
        g_clear_error(&error);
        if (whole != length) {
            count(&transport->counters.frames_rejected, 1);
            continue;
        }
        count(&transport->counters.datagrams_received, 1);
        const size_t head = PEER_LENGTH_BYTES + PEER_TAG_BYTES;
        deliver(transport, "datagram", block + head, (size_t)length - head, NULL);
    }
}

/* --- The thread --------------------------------------------------------------------------- */

static void sweep_link(peer_transport_t *transport, link_t *link, int64_t time_ms) {
    bool handshaking = link->kind == LINK_OUTGOING && !link->ready;
    if (handshaking && time_ms - link->active_ms > HANDSHAKE_MS)
        break_link(transport, link, "no handshake");
    else if (time_ms - link->active_ms > IDLE_MS)
        break_link(transport, link, NULL);
}

static void sweep(peer_transport_t *transport) {
    int64_t time_ms = now_ms();
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, transport->outgoing);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        sweep_link(transport, value, time_ms);
    for (guint i = 0; i < transport->incoming->len; i++)
        sweep_link(transport, g_ptr_array_index(transport->incoming, i), time_ms);
}

static void handle_link(peer_transport_t *transport, link_t *link, uint32_t events) {
    switch (link->kind) {
    case LINK_LISTENER:
        accept_links(transport);
        return;
    case LINK_DATAGRAMS:
        read_datagrams(transport);
        return;
    case LINK_WAKEUP:
        take_parcels(transport);
        return;
    case LINK_INCOMING:
    case LINK_OUTGOING:
        break;
    }
    if (!link->broken && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
        read_link(transport, link);
    if (!link->broken && (events & EPOLLOUT) != 0)
        write_output(transport, link);
}

static void *run_transport(void *argument) {
    peer_transport_t *transport = argument;
    struct epoll_event events[EVENTS_PER_WAIT];
    int64_t next_sweep_ms = now_ms() + SWEEP_MS;
    while (!g_atomic_int_get(&transport->stopping)) {
        int count = epoll_wait(transport->epoll, events, EVENTS_PER_WAIT, SWEEP_MS);
        for (int i = 0; i < count; i++)
            handle_link(transport, events[i].data.ptr, events[i].events);
        if (now_ms() >= next_sweep_ms) {
            sweep(transport);
            next_sweep_ms = now_ms() + SWEEP_MS;
        }
        close_broken(transport);
    }
    return NULL;
}

static int bind_socket(int type, const char *address, uint16_t port, GError **error) {
    struct sockaddr_in socket_address;
    int one = 1;
    int descriptor = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor >= 0)
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (descriptor >= 0 && fill_address(address, port, &socket_address) &&
        bind(descriptor, (struct sockaddr *)&socket_address, sizeof socket_address) == 0)
        return descriptor;
    error_set(error, RUDDERWAY_ERROR_SYSTEM, "cannot bind %s:%u: %s", address, port,
              g_strerror(errno));
    if (descriptor >= 0)
        close(descriptor);
    return -1;
}

static uint16_t bound_port(int descriptor) {
    struct sockaddr_in address = {0};
    socklen_t length = sizeof address;
    getsockname(descriptor, (struct sockaddr *)&address, &length);
    return ntohs(address.sin_port);
}

peer_transport_t *peer_transport_start(const peer_transport_options_t *options,
                                       peer_receiver_t receiver, void *context, GError **error) {
    int listener = bind_socket(SOCK_STREAM, options->address, options->port, error);
    if (listener < 0)
        return NULL;
    uint16_t port = bound_port(listener);
    int datagrams = bind_socket(SOCK_DGRAM, options->address, port, error);
    if (datagrams < 0 || listen(listener, SOMAXCONN) != 0) {
        close(listener);
        return NULL;
    }
    peer_transport_t *transport = g_new0(peer_transport_t, 1);
    transport->receiver = receiver;
    transport->context = context;
    transport->port = port;
    memcpy(transport->key, options->key, PEER_KEY_BYTES);
    transport->epoll = epoll_create1(EPOLL_CLOEXEC);
    transport->outgoing = g_hash_table_new(g_str_hash, g_str_equal);
    transport->incoming = g_ptr_array_new();
    transport->broken = g_ptr_array_new();
    transport->parcels = g_queue_new();
    pthread_mutex_init(&transport->lock, NULL);
    transport->listener =
        link_new(transport, LINK_LISTENER, listener, g_strdup("listener"), EPOLLIN);
    transport->datagrams =
        link_new(transport, LINK_DATAGRAMS, datagrams, g_strdup("datagrams"), EPOLLIN);
    transport->wakeup = link_new(transport, LINK_WAKEUP, eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC),
                                 g_strdup("wakeup"), EPOLLIN);
    pthread_create(&transport->thread, NULL, run_transport, transport);
    return transport;
}

uint16_t peer_transport_port(const peer_transport_t *transport) {
    return transport->port;
}

static void wake(peer_transport_t *transport) {
    uint64_t one = 1;
    if (write(transport->wakeup->descriptor, &one, sizeof one) < 0)
        return; /* The counter is full: the thread is about to wake anyway. */
}

void peer_transport_send(peer_transport_t *transport, const char *address, uint32_t port,
                         peer_message_t *message, bool datagram) {
    parcel_t *parcel = g_new0(parcel_t, 1);
    parcel->address = g_strdup(address);
    parcel->port = port;
    parcel->content = peer_message_encode(message);
    parcel->datagram = datagram;
    pthread_mutex_lock(&transport->lock);
    g_queue_push_tail(transport->parcels, parcel);
    pthread_mutex_unlock(&transport->lock);
    wake(transport);
}

peer_transport_counters_t peer_transport_counters(const peer_transport_t *transport) {
    const peer_transport_counters_t *counters = &transport->counters;
    return (peer_transport_counters_t){
        .frames_sent = read_counter(&counters->frames_sent),
        .frames_received = read_counter(&counters->frames_received),
        .frames_rejected = read_counter(&counters->frames_rejected),
        .frames_dropped = read_counter(&counters->frames_dropped),
        .datagrams_sent = read_counter(&counters->datagrams_sent),
        .datagrams_received = read_counter(&counters->datagrams_received),
        .bytes_sent = read_counter(&counters->bytes_sent),
    };
}

void peer_transport_stop(peer_transport_t *transport) {
    g_atomic_int_set(&transport->stopping, 1);
    wake(transport);
    pthread_join(transport->thread, NULL);
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, transport->outgoing);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        link_free(value);
    for (guint i = 0; i < transport->incoming->len; i++)
        link_free(g_ptr_array_index(transport->incoming, i));
    link_free(transport->listener);
    link_free(transport->datagrams);
    link_free(transport->wakeup);
    g_hash_table_unref(transport->outgoing);
    g_ptr_array_unref(transport->incoming);
    g_ptr_array_unref(transport->broken);
    g_queue_free_full(transport->parcels, (GDestroyNotify)parcel_free);
    pthread_mutex_destroy(&transport->lock);
    close(transport->epoll);
    g_free(transport);
}
