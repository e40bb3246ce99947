/**
 * @file store_directory.h
 * Data that a storage node keeps so that gateways can start without the key-value service: the
 * newest directory snapshot received from a gateway, and the addresses of gateways. Both are kept
 * in the state file. After a gateway disconnects, the node announces itself to the gateway for a
 * while by connecting to it, since a restarted gateway may not know any storage node.
 *
 * Failures. A snapshot may be stale; a gateway uses it only until the service confirms it. A
 * snapshot that is lost with the disk is offered again by gateways.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_STORE_STORE_DIRECTORY_H
#define RUDDERWAY_STORE_STORE_DIRECTORY_H

#include "common/codec.h"
#include "store/store.h"

/** Encodes or decodes the part of the state file that belongs to the directory. */
void store_directory_state_codec(codec_t *codec, store_directory_t *directory);
store_directory_t *store_directory_new(store_t *store);
/**
 * Handles the announcement that the gateway of @p connection holds the directory at @p revision. A
 * newer one is requested from one gateway at a time (core/configuration/directory_pacing.h).
 */
void store_directory_handle_offer(store_directory_t *directory,
                                  const frame_connection_t *connection, uint64_t revision);
/** Stores a gateway's snapshot if it is newer than the current one. */
void store_directory_store_snapshot(store_directory_t *directory, const message_t *message);
/** Sends the snapshot; does nothing if there is none or too many bytes are queued already. */
void store_directory_send(store_directory_t *directory, frame_connection_t *connection);
/** Records that the gateway at @p address ("IP:PORT") has connected. */
void store_directory_gateway_connected(store_directory_t *directory, const char *address);
/** Starts announcing this node to gateways that are not connected. */
void store_directory_start(store_directory_t *directory);

#endif
