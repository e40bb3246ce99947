/**
 * @file frame_connection.h
 * Frames (length and payload) over TCP between Rudderway's own processes, on the event loop.
 * Frames written in one turn of the loop leave in one system call.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_NET_FRAME_CONNECTION_H
#define RUDDERWAY_NET_FRAME_CONNECTION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

typedef struct frame_connection frame_connection_t;
typedef struct frame_listener frame_listener_t;

/** Largest payload in bytes. A longer one is not sent; if one arrives, it ends its connection. */
enum { FRAME_BYTES_MAXIMUM = 32 * 1024 * 1024 };

/** A connection's buffer that has held more is given back once it is empty. */
enum { FRAME_BUFFER_KEPT_BYTES = 8192 };

typedef struct {
    void (*on_open)(void *owner, frame_connection_t *connection);
    void (*on_frame)(void *owner, frame_connection_t *connection, const uint8_t *data,
                     size_t length);
    /** The connection ended or never came up; it is gone after this call. */
    void (*on_closed)(void *owner, frame_connection_t *connection);
} frame_handler_t;

/** Once a loop, before anything else here. */
void frame_loop_start(uv_loop_t *loop);

frame_listener_t *frame_listener_open(uv_loop_t *loop, const struct sockaddr_in *address,
                                      const frame_handler_t *handler, void *owner);
/** Connects; a silent peer ends the connection. NULL if it cannot even be tried. */
frame_connection_t *frame_connection_open(uv_loop_t *loop, const struct sockaddr_in *address,
                                          const frame_handler_t *handler, void *owner);
/**
 * Queues one frame; takes over the reference to @p payload. A large one is not copied: many
 * connections may send the same. Nothing happens once the connection is closed. A payload of more
 * than FRAME_BYTES_MAXIMUM is logged and discarded, so that other requests on the connection do not
 * fail with it.
 */
void frame_connection_send(frame_connection_t *connection, GBytes *payload);
/** Bytes queued and not yet taken by the kernel. */
size_t frame_connection_backlog(const frame_connection_t *connection);
/** Bytes of memory that the connection's own buffers hold; large payloads are not in there. */
size_t frame_connection_buffer_bytes(const frame_connection_t *connection);
/**
 * True if the peer's machine has ended or refused the connection, false if it fell silent; tells
 * this during on_closed.
 */
bool frame_connection_refused(const frame_connection_t *connection);
/** Closes without on_closed. */
void frame_connection_close(frame_connection_t *connection);
/** A number that no other connection of this process has or had; lies in the connection. */
const uint64_t *frame_connection_serial(const frame_connection_t *connection);

#endif
