/*
 * Design. A frame is a big-endian 32-bit length and that many bytes. Small outgoing frames gather
 * in a buffer; a prepare handle, which libuv runs before it waits, hands each buffer to the kernel.
 * A large payload is not copied but queued by reference, so that one directory on its way to
 * hundreds of gateways is in memory once. Buffers that had to grow for one large frame are given
 * back when they are empty: with 865 connections a storage node otherwise kept 66 MB and more of
 * them (resident memory of the process), and ended once its machine's 180 MB were full. A silent
 * peer is found by TCP_USER_TIMEOUT and keep-alive probes within about two seconds.
 */
#include "net/frame_connection.h"

#include "common/event.h"

#include <inttypes.h>
#include <netinet/tcp.h>
#include <string.h>

enum {
    LENGTH_BYTES = 4,
    READ_BUFFER_BYTES = 262144,
    BACKLOG = 4096, /**< After a loss of power all gateways connect to a storage node at once. */
    SILENT_PEER_MS = 1500,
    SHARED_LEAST_BYTES = 16384, /**< A payload of so many bytes is queued by reference. */
    CHUNKS_AT_ONCE = 16,        /**< Handed to the kernel in one call. */
};

struct frame_listener {
    uv_tcp_t tcp;
    uv_loop_t *loop;
    const frame_handler_t *handler;
    void *owner;
};

struct frame_connection {
    uv_tcp_t tcp;
    uv_connect_t connect_request;
    uv_write_t write_request;
    const frame_handler_t *handler;
    void *owner;
    uint64_t serial;
    bool open;
    bool closed;
    bool refused; /**< See frame_connection_refused. */
    bool queued;  /**< Stands in the list of connections to flush. */
    GByteArray *input;
    guint input_peak; /**< Most bytes that the input has held, and so keeps allocated. */
    GByteArray *output;
    guint output_peak;
    GQueue *chunks;     /**< Older than the output: of GBytes, first to leave first. */
    size_t chunk_bytes; /**< In all chunks. */
    GPtrArray *writing; /**< Taken over by the kernel in part, of GBytes; NULL if none. */
    size_t writing_bytes;
};

static uv_prepare_t flusher;
static GPtrArray *unflushed;
static uint64_t last_serial;
static char read_buffer[READ_BUFFER_BYTES];

static void unref_chunk(gpointer chunk) {
    g_bytes_unref(chunk);
}

static void free_connection(uv_handle_t *handle) {
    frame_connection_t *connection = handle->data;
    g_byte_array_unref(connection->input);
    g_byte_array_unref(connection->output);
    g_queue_free_full(connection->chunks, unref_chunk);
    if (connection->writing != NULL)
        g_ptr_array_unref(connection->writing);
    g_free(connection);
}

/** Gives an empty buffer's memory back if it has held much. */
static void shrink(GByteArray **buffer, guint *peak) {
    if ((*buffer)->len > 0 || *peak <= FRAME_BUFFER_KEPT_BYTES)
        return;
    g_byte_array_unref(*buffer);
    *buffer = g_byte_array_new();
    *peak = 0;
}

void frame_connection_close(frame_connection_t *connection) {
    if (connection->closed)
        return;
    connection->closed = true;
    if (connection->queued)
        g_ptr_array_remove_fast(unflushed, connection);
    uv_close((uv_handle_t *)&connection->tcp, free_connection);
}

/** Ends a connection on which an operation has failed with @p status of libuv. */
static void connection_lost(frame_connection_t *connection, int status) {
    if (connection->closed)
        return;
    connection->refused = status == UV_EOF || status == UV_ECONNRESET ||
                          status == UV_ECONNREFUSED || status == UV_EPIPE;
    connection->handler->on_closed(connection->owner, connection);
    frame_connection_close(connection);
}

static void flush(frame_connection_t *connection);
static void write_failed(frame_connection_t *connection, int status);

static void on_written(uv_write_t *request, int status) {
    frame_connection_t *connection = request->data;
    if (connection->closed)
        return;
    g_ptr_array_unref(connection->writing);
    connection->writing = NULL;
    connection->writing_bytes = 0;
    if (status != 0)
        write_failed(connection, status);
    else
        flush(connection);
}

/** Moves what has gathered in the output behind the chunks that wait. */
static void seal_output(frame_connection_t *connection) {
    if (connection->output->len == 0)
        return;
    connection->chunk_bytes += connection->output->len;
    g_queue_push_tail(connection->chunks, g_byte_array_free_to_bytes(connection->output));
    connection->output = g_byte_array_new();
    connection->output_peak = 0;
}

/** Hands the first chunks to the kernel, which takes them as fast as the peer reads. */
static void write_chunks(frame_connection_t *connection) {
    uv_buf_t buffers[CHUNKS_AT_ONCE];
    connection->writing = g_ptr_array_new_with_free_func(unref_chunk);
    while (connection->writing->len < CHUNKS_AT_ONCE && !g_queue_is_empty(connection->chunks)) {
        GBytes *chunk = g_queue_pop_head(connection->chunks);
        gsize length;
        const void *data = g_bytes_get_data(chunk, &length);
        buffers[connection->writing->len] = uv_buf_init((char *)data, (unsigned)length);
        g_ptr_array_add(connection->writing, chunk);
        connection->chunk_bytes -= length;
        connection->writing_bytes += length;
    }
    connection->write_request.data = connection;
    int status = uv_write(&connection->write_request, (uv_stream_t *)&connection->tcp, buffers,
                          connection->writing->len, on_written);
    if (status != 0)
        write_failed(connection, status);
}

/** Hands the output to the kernel without a copy; false if not all of it was taken. */
static bool write_output(frame_connection_t *connection) {
    uv_stream_t *stream = (uv_stream_t *)&connection->tcp;
    uv_buf_t buffer = uv_buf_init((char *)connection->output->data, connection->output->len);
    int written = uv_try_write(stream, &buffer, 1);
    if (written == UV_EAGAIN)
        return false;
    if (written < 0) {
        write_failed(connection, written);
        return true;
    }
    g_byte_array_remove_range(connection->output, 0, (guint)written);
    shrink(&connection->output, &connection->output_peak);
    return connection->output->len == 0;
}

static void flush(frame_connection_t *connection) {
    if (!connection->open || connection->writing != NULL)
        return;
    if (g_queue_is_empty(connection->chunks) &&
        (connection->output->len == 0 || write_output(connection)))
        return;
    seal_output(connection);
    write_chunks(connection);
}

static void flush_all(uv_prepare_t *handle) {
    (void)handle;
    while (unflushed->len > 0) {
        frame_connection_t *connection = g_ptr_array_index(unflushed, unflushed->len - 1);
        g_ptr_array_set_size(unflushed, (gint)unflushed->len - 1);
        connection->queued = false;
        flush(connection);
    }
}

void frame_loop_start(uv_loop_t *loop) {
    unflushed = g_ptr_array_new();
    uv_prepare_init(loop, &flusher);
    uv_prepare_start(&flusher, flush_all);
    uv_unref((uv_handle_t *)&flusher);
}

void frame_connection_send(frame_connection_t *connection, GBytes *payload) {
    if (connection->closed) {
        g_bytes_unref(payload);
        return;
    }
    gsize length;
    const guint8 *data = g_bytes_get_data(payload, &length);
    if (length > FRAME_BYTES_MAXIMUM) {
        event_log(PEER_FRAME_TOO_LARGE, "outgoing", (uint64_t)length,
                  (unsigned)FRAME_BYTES_MAXIMUM);
        g_bytes_unref(payload);
        return;
    }
    guint32 prefix = GUINT32_TO_BE((guint32)length);
    g_byte_array_append(connection->output, (const guint8 *)&prefix, LENGTH_BYTES);
    if (length >= SHARED_LEAST_BYTES) {
        seal_output(connection);
        connection->chunk_bytes += length;
        g_queue_push_tail(connection->chunks, payload);
    } else {
        g_byte_array_append(connection->output, data, (guint)length);
        connection->output_peak = MAX(connection->output_peak, connection->output->len);
        g_bytes_unref(payload);
    }
    if (!connection->queued) {
        connection->queued = true;
        g_ptr_array_add(unflushed, connection);
    }
}

size_t frame_connection_backlog(const frame_connection_t *connection) {
    return connection->writing_bytes + connection->chunk_bytes + connection->output->len;
}

bool frame_connection_refused(const frame_connection_t *connection) {
    return connection->refused;
}

size_t frame_connection_buffer_bytes(const frame_connection_t *connection) {
    return (size_t)connection->input_peak + connection->output_peak;
}

/** Hands on the whole frames of @p data; returns the bytes used. */
static size_t deliver_frames(frame_connection_t *connection, const uint8_t *data, size_t length) {
    size_t used = 0;
    while (length - used >= LENGTH_BYTES) {
        guint32 prefix;
        memcpy(&prefix, data + used, LENGTH_BYTES);
        size_t size = GUINT32_FROM_BE(prefix);
        if (size > FRAME_BYTES_MAXIMUM) {
            event_log(PEER_FRAME_TOO_LARGE, "incoming", (uint64_t)size,
                      (unsigned)FRAME_BYTES_MAXIMUM);
            connection_lost(connection, UV_EMSGSIZE);
            return length;
        }
        if (length - used - LENGTH_BYTES < size)
            break;
        connection->handler->on_frame(connection->owner, connection, data + used + LENGTH_BYTES,
                                      size);
        if (connection->closed)
            return length;
        used += LENGTH_BYTES + size;
    }
    return used;
}

static void append_input(frame_connection_t *connection, const uint8_t *data, size_t length) {
    g_byte_array_append(connection->input, data, (guint)length);
    connection->input_peak = MAX(connection->input_peak, connection->input->len);
}

static void take_bytes(frame_connection_t *connection, const uint8_t *data, size_t length) {
    if (connection->input->len == 0) {
        size_t used = deliver_frames(connection, data, length);
        if (!connection->closed)
            append_input(connection, data + used, length - used);
        return;
    }
    append_input(connection, data, length);
    size_t used = deliver_frames(connection, connection->input->data, connection->input->len);
    if (connection->closed || used == 0)
        return;
    g_byte_array_remove_range(connection->input, 0, (guint)used);
    shrink(&connection->input, &connection->input_peak);
}

static void on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer) {
    frame_connection_t *connection = stream->data;
    if (connection->closed || count == 0)
        return;
    if (count < 0)
        connection_lost(connection, (int)count);
    else
        take_bytes(connection, (const uint8_t *)buffer->base, (size_t)count);
}

/** A write has failed with @p status of libuv: delivers what the peer sent before. */
static void write_failed(frame_connection_t *connection, int status) {
    uv_os_fd_t descriptor;
    ssize_t count = uv_fileno((uv_handle_t *)&connection->tcp, &descriptor);
    while (count >= 0 && !connection->closed) {
        count = recv(descriptor, read_buffer, sizeof read_buffer, MSG_DONTWAIT);
        if (count <= 0)
            break;
        take_bytes(connection, (const uint8_t *)read_buffer, (size_t)count);
    }
    connection_lost(connection, status);
}

static void provide_buffer(uv_handle_t *handle, size_t size, uv_buf_t *buffer) {
    (void)handle;
    (void)size;
    *buffer = uv_buf_init(read_buffer, sizeof read_buffer);
}

static void set_socket_options(uv_tcp_t *tcp) {
    uv_tcp_nodelay(tcp, 1);
    uv_os_fd_t descriptor;
    if (uv_fileno((uv_handle_t *)tcp, &descriptor) != 0)
        return;
    int one = 1;
    unsigned silent = SILENT_PEER_MS;
    setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof one);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &one, sizeof one);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &one, sizeof one);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &one, sizeof one);
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &silent, sizeof silent);
}

static frame_connection_t *new_connection(const frame_handler_t *handler, void *owner) {
    frame_connection_t *connection = g_new0(frame_connection_t, 1);
    connection->serial = ++last_serial;
    connection->handler = handler;
    connection->owner = owner;
    connection->input = g_byte_array_new();
    connection->output = g_byte_array_new();
    connection->chunks = g_queue_new();
    connection->connect_request.data = connection;
    return connection;
}

static void start_reading(frame_connection_t *connection) {
    connection->open = true;
    uv_read_start((uv_stream_t *)&connection->tcp, provide_buffer, on_read);
    connection->handler->on_open(connection->owner, connection);
    if (!connection->closed)
        flush(connection);
}

static void on_connected(uv_connect_t *request, int status) {
    frame_connection_t *connection = request->data;
    if (connection->closed)
        return;
    if (status != 0)
        connection_lost(connection, status);
    else
        start_reading(connection);
}

frame_connection_t *frame_connection_open(uv_loop_t *loop, const struct sockaddr_in *address,
                                          const frame_handler_t *handler, void *owner) {
    frame_connection_t *connection = new_connection(handler, owner);
    /* The socket must exist for its options. */
    if (uv_tcp_init_ex(loop, &connection->tcp, AF_INET) != 0) {
        g_free(connection);
        return NULL;
    }
    connection->tcp.data = connection;
    set_socket_options(&connection->tcp);
    if (uv_tcp_connect(&connection->connect_request, &connection->tcp,
                       (const struct sockaddr *)address, on_connected) != 0) {
        frame_connection_close(connection);
        return NULL;
    }
    return connection;
}

static void on_connection(uv_stream_t *stream, int status) {
    frame_listener_t *listener = stream->data;
    if (status != 0)
        return;
    frame_connection_t *connection = new_connection(listener->handler, listener->owner);
    uv_tcp_init(listener->loop, &connection->tcp);
    connection->tcp.data = connection;
    if (uv_accept(stream, (uv_stream_t *)&connection->tcp) != 0) {
        frame_connection_close(connection);
        return;
    }
    set_socket_options(&connection->tcp);
    start_reading(connection);
}

static void free_listener(uv_handle_t *handle) {
    g_free(handle->data);
}

frame_listener_t *frame_listener_open(uv_loop_t *loop, const struct sockaddr_in *address,
                                      const frame_handler_t *handler, void *owner) {
    frame_listener_t *listener = g_new0(frame_listener_t, 1);
    listener->loop = loop;
    listener->handler = handler;
    listener->owner = owner;
    uv_tcp_init(loop, &listener->tcp);
    listener->tcp.data = listener;
    int status = uv_tcp_bind(&listener->tcp, (const struct sockaddr *)address, 0);
    if (status == 0)
        status = uv_listen((uv_stream_t *)&listener->tcp, BACKLOG, on_connection);
    if (status == 0)
        return listener;
    uv_close((uv_handle_t *)&listener->tcp, free_listener);
    return NULL;
}

const uint64_t *frame_connection_serial(const frame_connection_t *connection) {
    return &connection->serial;
}
