/**
 * @file send_registry.h
 * Registers sends of requests at the storage nodes that keep the request's crashes, so that these
 * know of a send whose gateway is lost or stands still (core/retry/open_sends.h).
 *
 * A program's turn is registered before its first send, without a wait: its reserve follows on the
 * same connections, and what storage nodes know of the request comes before their verdicts. Any
 * other call is registered once a back end has ended under its request, and each resend waits for
 * the answer of one node, at most REGISTRATION_TIMEOUT_MS; so the gateway knows what others have
 * found, and the node knows what this one has.
 *
 * Failures: a call of no program whose gateway is lost at its first send is not known to others.
 * If no storage node answers, the send goes ahead.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_SEND_REGISTRY_H
#define RUDDERWAY_GATEWAY_SEND_REGISTRY_H

#include "gateway/key_requests.h"

enum { REGISTRATION_TIMEOUT_MS = 100 };

typedef struct send_registry send_registry_t;

send_registry_t *send_registry_new(uv_loop_t *loop, store_client_t *stores);
/** Registers a send. @p send: hash of the caller's attempt. */
void send_registry_begin(const send_registry_t *registry, uint64_t request, uint64_t send);
/** Registers a send and calls @p done once a node has answered; NULL if none is connected. */
key_request_t *send_registry_request(const send_registry_t *registry, uint64_t request,
                                     uint64_t send, key_request_done_t done, void *owner);
/** All sends of the attempt have ended. A settled reserve tells that as well. */
void send_registry_end(const send_registry_t *registry, uint64_t request, uint64_t send);
/** Processes a RESPONSE_SEND. */
void send_registry_handle_response(const send_registry_t *registry, const message_t *message);

#endif
