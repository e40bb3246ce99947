/**
 * @file store_relay.h
 * Relays frames between a gateway that cannot reach a storage node and that node, to which this
 * gateway is connected directly. The other gateway connects to this one's peer address and names
 * the storage node in its first frame; all later frames are forwarded unchanged.
 *
 * The peer address also accepts gateways that follow this one's view of the key-value service (see
 * directory_feed.h), and storage nodes that send their group, which this gateway lacks if it
 * started while the key-value service was unavailable.
 *
 * Failures: if this gateway is not directly connected to the storage node, or if either side closes
 * or stops reading, both connections are closed and the other gateway takes another path. Frames
 * are relayed to storage nodes of the group only.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_STORE_RELAY_H
#define RUDDERWAY_GATEWAY_STORE_RELAY_H

#include "gateway/directory_feed.h"
#include "common/memory_account.h"
#include "gateway/store_client.h"

typedef struct store_relay store_relay_t;

/**
 * Listens at @p address. Gateways that follow the directory are added to @p feed; if it is NULL,
 * they are refused. Returns NULL if listening fails.
 */
store_relay_t *store_relay_open(uv_loop_t *loop, const struct sockaddr_in *address,
                                store_client_t *stores, directory_feed_t *feed);
/** Number of relay sessions, including those that have not named their storage node yet. */
unsigned store_relay_count(const store_relay_t *relay);
/** Counts frames until they are sent in @p account, which outlives the relay. */
void store_relay_set_account(store_relay_t *relay, memory_account_t *account);

#endif
