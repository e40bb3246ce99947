/**
 * @file store_link.h
 * A gateway's link to one storage node: a direct connection or, while the node is unreachable, one
 * relayed by another gateway (gateway/store_relay.h).
 *
 * Failures: a machine without power does not refuse connections, so connecting has a timeout; an
 * established connection across a network partition stays open for seconds, so the owner reconnects
 * an unresponsive one. Attempts alternate between direct and relayed. While the link is relayed, a
 * direct connection is attempted periodically beside it.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_STORE_LINK_H
#define RUDDERWAY_GATEWAY_STORE_LINK_H

#include "net/frame_connection.h"

typedef struct store_link store_link_t;

typedef struct {
    /** The link was established, for the first time or again. */
    void (*on_open)(void *owner, store_link_t *link);
    void (*on_frame)(void *owner, store_link_t *link, const uint8_t *data, size_t length);
    /** Finds a gateway that may reach the storage node; false: none. */
    bool (*find_relay)(void *owner, struct sockaddr_in *address);
} store_link_handler_t;

struct store_link {
    uv_loop_t *loop;
    const store_link_handler_t *handler;
    void *owner;
    char *name;
    char *zone;
    struct sockaddr_in address;
    frame_connection_t *connection;
    frame_connection_t *direct; /**< Direct attempt beside a relayed connection. */
    uint64_t connecting_since;
    uint64_t direct_since;
    uint64_t last_received_at; /**< Time of the last frame, or of opening. */
    bool has_received;         /**< A frame has arrived since the link was last lost. */
    bool open;
    bool relayed;      /**< The connection goes through another gateway. */
    bool refused;      /**< Its machine has ended or refused the last direct connection. */
    unsigned failures; /**< Consecutive connections that were lost or timed out. */
};

store_link_t *store_link_new(uv_loop_t *loop, const char *name, const char *zone,
                             const char *address, const store_link_handler_t *handler, void *owner);
void store_link_free(store_link_t *link);
/** Connects if not connected and ends attempts that timed out; call it about every 150 ms. */
void store_link_maintain(store_link_t *link);
/** Sends one frame if the link is open, else discards it; takes ownership of @p payload. */
void store_link_send(const store_link_t *link, GBytes *payload);
/** Closes an unresponsive connection and connects by the alternate path. */
void store_link_reconnect(store_link_t *link);

#endif
