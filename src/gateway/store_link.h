/**
 * @file store_link.h
 * A gateway's way to one storage node: a connection of its own or, while the node is out of its
 * reach, one through another gateway that reaches the node (gateway/store_relay.h).
 *
 * Failures. A machine without power refuses nothing, and a connection behind a cut stays open
 * for seconds: one that is not up soon is begun anew, and the owner drops one that has fallen
 * silent. Each attempt after a failure takes the other way. While the link is relayed, the direct
 * way is tried from time to time beside it.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_STORE_LINK_H
#define RUDDERWAY_GATEWAY_STORE_LINK_H

#include "net/frame_connection.h"

typedef struct store_link store_link_t;

typedef struct {
    /** The link is up, for the first time or again. */
    void (*on_open)(void *owner, store_link_t *link);
    void (*on_frame)(void *owner, store_link_t *link, const uint8_t *data, size_t length);
    /** The address of a gateway that may reach what this one does not; false: none is known. */
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
    frame_connection_t *direct; /**< Being tried beside a relayed connection. */
    uint64_t connecting_since;
    uint64_t direct_since;
    uint64_t heard_at; /**< When the connection opened, or a frame came. */
    bool heard;        /**< A frame has come since the link was last lost. */
    bool open;
    bool relayed;      /**< The connection goes through another gateway. */
    unsigned failures; /**< Connections in a row that were lost or not up in time. */
};

store_link_t *store_link_new(uv_loop_t *loop, const char *name, const char *zone,
                             const char *address, const store_link_handler_t *handler, void *owner);
void store_link_free(store_link_t *link);
/** Connects if need be, and gives up what is not up in time; call it every 150 ms or so. */
void store_link_upkeep(store_link_t *link);
/** Sends one frame if the link is open; takes over @p payload. */
void store_link_send(const store_link_t *link, GBytes *payload);
/** The node answers nothing on this connection: ends it, so that the other way is tried. */
void store_link_drop(store_link_t *link);

#endif
