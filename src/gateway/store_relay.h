/**
 * @file store_relay.h
 * Passes frames between a gateway that is cut off from the storage nodes and a storage node to
 * which this gateway is connected itself. The other gateway connects to this one's peer address and
 * names the storage node in its first frame; from then on every frame goes on as it is.
 *
 * A gateway that wants to follow this one's view of the key-value service connects here as well;
 * see directory_feed.h.
 *
 * A storage node connects here too, to tell its group to a gateway that may have started while the
 * key-value service is away, and would not find the storage nodes by itself.
 *
 * Failures. If this gateway has no connection of its own to that node, or either side ends or does
 * not read, both connections are closed: the other gateway tries another way. A relay leads to
 * storage nodes of the group only.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_STORE_RELAY_H
#define RUDDERWAY_GATEWAY_STORE_RELAY_H

#include "gateway/directory_feed.h"
#include "gateway/store_client.h"

typedef struct store_relay store_relay_t;

/**
 * Listens at @p address; gateways that ask to follow are given to @p feed (NULL: refused).
 * NULL if it can't.
 */
store_relay_t *store_relay_open(uv_loop_t *loop, const struct sockaddr_in *address,
                                store_client_t *stores, directory_feed_t *feed);
/** Gateways' connections to storage nodes that go through here now. */
unsigned store_relay_count(const store_relay_t *relay);

#endif
