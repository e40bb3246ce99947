/**
 * @file peer_transport.h
 * Messages between nodes: frames on TCP, datagrams on UDP, on one port.
 *
 * A node sends on connections that it opened and receives on those that others opened. Right
 * after accepting, the receiver sends a nonce; every frame then carries an HMAC-SHA-256 over
 * nonce, frame number and content under the cluster key, so frames cannot be forged, replayed
 * or reordered. A frame that is too long, not authentic or malformed closes its connection.
 * A message that cannot be sent is dropped: every protocol above repeats what matters. Queues
 * are bounded; connections without traffic are closed, so a node holds connections only to
 * nodes it works with.
 *
 * Failures: a peer that is gone, slow or cut off (its queue is dropped, nobody else waits);
 * garbage from anybody who can reach the port.
 *
 * Thread safety: peer_transport_send may be called from any thread. The receiver is called on
 * the transport's own thread and must not block.
 */
#ifndef RUDDERWAY_NODE_PEER_TRANSPORT_H
#define RUDDERWAY_NODE_PEER_TRANSPORT_H

#include "node/peer_message.h"

typedef struct peer_transport peer_transport_t;

/** Takes ownership of @p message. */
typedef void (*peer_receiver_t)(void *context, peer_message_t *message);

typedef struct {
    const char *address; /**< IP number to listen on. */
    uint16_t port;       /**< 0: the kernel chooses. */
    const uint8_t *key;  /**< PEER_KEY_BYTES bytes. */
} peer_transport_options_t;

/** Counters; each is read on its own, so they may lag by a message. */
typedef struct {
    uint64_t frames_sent;
    uint64_t frames_received;
    uint64_t frames_rejected;
    uint64_t frames_dropped;
    uint64_t datagrams_sent;
    uint64_t datagrams_received;
    uint64_t bytes_sent;
} peer_transport_counters_t;

peer_transport_t *peer_transport_start(const peer_transport_options_t *options,
                                       peer_receiver_t receiver, void *context, GError **error);
uint16_t peer_transport_port(const peer_transport_t *transport);
/** Sends over TCP, or over UDP if @p datagram; the message stays the caller's. */
void peer_transport_send(peer_transport_t *transport, const char *address, uint32_t port,
                         peer_message_t *message, bool datagram);
peer_transport_counters_t peer_transport_counters(const peer_transport_t *transport);
void peer_transport_stop(peer_transport_t *transport);

#endif
