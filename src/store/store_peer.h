/**
 * @file store_peer.h
 * Connection of this storage node to another one, with the status last received from it. A lost
 * connection is opened again by the next poll.
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
    frame_connection_t *connection; /**< NULL if not connected. */
    uint64_t unanswered_since;      /**< First poll after the last status, ms; 0: none. */
    uint64_t answered_at;           /**< When the last status was received, ms; 0: never. */
    uint64_t complete_generation;   /**< As of the last status. */
    /** Receives all valid messages except MESSAGE_GROUP. May be NULL. */
    void (*on_message)(void *owner, message_t *message);
    /** The connection was closed; pending requests are lost. May be NULL. */
    void (*on_lost)(void *owner);
    void *owner;
} store_peer_t;

store_peer_t *store_peer_new(store_t *store, const char *name, const char *address);
void store_peer_free(store_peer_t *peer);
/** Requests the peer's status; connects first if necessary. */
void store_peer_poll(store_peer_t *peer);
/** Sends @p message; does nothing if not connected. */
void store_peer_send(store_peer_t *peer, message_t *message);
/** Time since the first unanswered poll, in ms; 0: no poll is unanswered. */
uint64_t store_peer_unanswered_ms(const store_peer_t *peer);

#endif
