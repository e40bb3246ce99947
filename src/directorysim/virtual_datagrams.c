/* Datagrams between simulated processes, in the place of libuv's: delayed, lost now and then. */
#include "directorysim/world.h"

#include <arpa/inet.h>

enum { LATENCY_LEAST_MS = 1, LATENCY_MOST_MS = 4, LOST_PERCENT = 1 };

static GHashTable *sockets; /**< Process to the uv_udp_t of its present start. */

typedef struct {
    uv_udp_t *socket;
    uint64_t incarnation;
    struct sockaddr_in from;
    GBytes *bytes;
} datagram_t;

void virtual_datagrams_start(void) {
    sockets = g_hash_table_new(NULL, NULL);
}

static void arrive(void *data) {
    datagram_t *datagram = data;
    uv_udp_t *socket = datagram->socket;
    const virtual_process_t *process = socket->loop->data;
    if (g_hash_table_lookup(sockets, process) == socket && socket->recv_cb != NULL) {
        uv_buf_t buffer = {0};
        gsize length;
        const void *bytes = g_bytes_get_data(datagram->bytes, &length);
        socket->alloc_cb((uv_handle_t *)socket, length, &buffer);
        memcpy(buffer.base, bytes, length);
        socket->recv_cb(socket, (ssize_t)length, &buffer, (struct sockaddr *)&datagram->from, 0);
    }
    g_bytes_unref(datagram->bytes);
    g_free(datagram);
}

int uv_udp_init(uv_loop_t *loop, uv_udp_t *handle) {
    handle->loop = loop;
    handle->recv_cb = NULL;
    return 0;
}

int uv_udp_bind(uv_udp_t *handle, const struct sockaddr *address, unsigned flags) {
    (void)address;
    (void)flags;
    g_hash_table_insert(sockets, handle->loop->data, handle);
    return 0;
}

int uv_udp_recv_start(uv_udp_t *handle, uv_alloc_cb provide, uv_udp_recv_cb take) {
    handle->alloc_cb = provide;
    handle->recv_cb = take;
    return 0;
}

/** The socket at @p address, if its process runs and is not cut from @p sender. */
static uv_udp_t *find_socket(const virtual_process_t *sender, const struct sockaddr_in *address) {
    GHashTableIter iterator;
    gpointer key;
    gpointer socket;
    g_hash_table_iter_init(&iterator, sockets);
    while (g_hash_table_iter_next(&iterator, &key, &socket)) {
        virtual_process_t *process = key;
        if (process->address.sin_port == address->sin_port)
            return process->up && !g_hash_table_contains(sender->cut_from, process) ? socket : NULL;
    }
    return NULL;
}

int uv_udp_try_send(uv_udp_t *handle, const uv_buf_t buffers[], unsigned count,
                    const struct sockaddr *address) {
    const virtual_process_t *sender = handle->loop->data;
    uv_udp_t *socket = find_socket(sender, (const struct sockaddr_in *)address);
    if (socket == NULL || virtual_chance(LOST_PERCENT) || count != 1)
        return 0;
    datagram_t *datagram = g_new0(datagram_t, 1);
    datagram->socket = socket;
    datagram->from = sender->address;
    datagram->bytes = g_bytes_new(buffers[0].base, buffers[0].len);
    virtual_after(virtual_random(LATENCY_LEAST_MS, LATENCY_MOST_MS), socket->loop->data, arrive,
                  datagram);
    return (int)buffers[0].len;
}
