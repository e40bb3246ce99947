/**
 * @file store_directory.h
 * What a storage node keeps for gateways that start, whether the key-value service is away or not:
 * the newest directory snapshot of a gateway, and the addresses of the gateways. Both stand in the
 * state file. A gateway that is known and not connected is told of this node for a while, since it
 * may have started again and know nobody.
 *
 * Failures. A snapshot is a hint about the past: a gateway uses it only until the service confirms
 * it. One that is lost with the disk is offered again.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_STORE_STORE_DIRECTORY_H
#define RUDDERWAY_STORE_STORE_DIRECTORY_H

#include "common/codec.h"
#include "store/store.h"

/** Encodes or decodes what stands in the state file. */
void store_directory_codec(codec_t *codec, store_directory_t *directory);
store_directory_t *store_directory_new(store_t *store);
/**
 * The gateway of a connection knows the directory up to @p revision: it is asked for it if that is
 * newer, one gateway at a time (core/configuration/directory_pace.h).
 */
void store_directory_offered(store_directory_t *directory, const frame_connection_t *connection,
                             uint64_t revision);
/** Takes a gateway's snapshot if it is newer than the one known. */
void store_directory_take(store_directory_t *directory, const message_t *message);
/** Sends the snapshot; nothing if none is known, or too much waits to be sent already. */
void store_directory_send(store_directory_t *directory, frame_connection_t *connection);
/** A gateway at "IP:PORT" has connected. */
void store_directory_gateway_seen(store_directory_t *directory, const char *address);
/** Begins to tell gateways that are not connected of this node. */
void store_directory_start(store_directory_t *directory);

#endif
