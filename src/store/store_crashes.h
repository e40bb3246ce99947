/**
 * @file store_crashes.h
 * Passes on to all gateways the crashes of back ends under a request (core/retry/crash_history.h),
 * once gateways have reported two of them: load reports do not reach all gateways of a large fleet
 * (gateway_registry.h), and a caller's attempts may go to any. A request that met one crash, as all
 * do that a back end takes along, costs no message to others.
 *
 * Gateways and storage nodes send each other what they know of such requests when a connection
 * opens, so that it outlasts a restart of all gateways, and one of all storage nodes. For one of
 * all nodes, each change goes to the log, with the time of the log (core/turns/record_clock.h).
 *
 * Sends that gateways register (gateway/send_registry.h) count as crashes for the caller's next
 * attempt while they are open; see core/retry/open_sends.h. Those of a request under which a back
 * end has ended go to the log as well, and are answered once they are on disk, so that its next end
 * is known though all nodes are lost with it. A first send is in memory only.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_STORE_STORE_CRASHES_H
#define RUDDERWAY_STORE_STORE_CRASHES_H

#include "store/store.h"

/** Sends a gateway that has connected the requests that are stopped, or about to be. */
void store_send_crashes(const store_t *store, frame_connection_t *connection);
/**
 * Handles a MESSAGE_CRASH, MESSAGE_CRASH_KNOWN, MESSAGE_CRASH_SILENT, MESSAGE_CRASH_WITHDRAWN or
 * MESSAGE_REQUEST_STOPPED of a gateway.
 */
void store_handle_crash(store_t *store, const message_t *message);

/** Registers a send that a call of a gateway has left, MESSAGE_SEND_LEFT. */
void store_handle_send_left(store_t *store, const frame_connection_t *connection,
                            const message_t *message);
/** Registers a send of a gateway, REQUEST_SEND, and tells it what is known of the request. */
void store_handle_send(store_t *store, frame_connection_t *connection, const message_t *request);
/** All sends of a caller's attempt have ended; @p send: its hash. */
void store_end_send(store_t *store, uint64_t send);
/** Reads a RECORD_CRASH of the log. */
void store_replay_crash(store_t *store, uint32_t segment, const message_t *record);
/** The log was read, so that the age of its records is known. */
void store_crashes_replayed(store_t *store);

#endif
