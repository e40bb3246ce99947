/**
 * @file store_peer.h
 * A connection of this storage node to another one, opened again when it ends, and what the
 * other last said of itself.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_STORE_STORE_PEER_H
#define RUDDERWAY_STORE_STORE_PEER_H

#include "store/store.h"

typedef struct {
    store_t *store;
    char *name;
    struct sockaddr_in address;
    frame_connection_t *connection; /**< NULL between two tries. */
    uint64_t unanswered_since; /**< The first poll since it last told its status, ms; 0: none. */
    uint64_t answered_at;      /**< When it last told its status; 0: never. */
    uint64_t complete_in;      /**< What it said then. */
    /** A message that is not a status or a group; NULL if none is expected. */
    void (*on_message)(void *owner, message_t *message);
    /** The connection ended; requests on it are lost. May be NULL. */
    void (*on_lost)(void *owner);
    void *owner;
} store_peer_t;

store_peer_t *store_peer_new(store_t *store, const char *name, const char *address);
void store_peer_free(store_peer_t *peer);
/** Connects if need be and asks for the peer's status. */
void store_peer_poll(store_peer_t *peer);
void store_peer_send(store_peer_t *peer, message_t *message);
/** How long the peer has left a poll without an answer, in ms; 0: there is none. */
uint64_t store_peer_silence(const store_peer_t *peer);

#endif
