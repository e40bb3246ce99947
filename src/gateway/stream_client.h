/**
 * @file stream_client.h
 * Software versions of the back ends that began this gateway's streams, and of those of other
 * gateways: each is sent to STORE_KEY_MEMBERS storage nodes before its first event goes out, which
 * keep it in memory (core/routing/stream_versions.h), and asked for when another gateway gets the
 * caller's next attempt.
 *
 * Failures: a stream is unknown if neither this gateway nor a member that answers in time has it.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_STREAM_CLIENT_H
#define RUDDERWAY_GATEWAY_STREAM_CLIENT_H

#include "core/routing/stream_versions.h"
#include "gateway/store_client.h"

typedef struct stream_client stream_client_t;
/** A pending request. */
typedef struct stream_request stream_request_t;
/** @p version: VERSION_UNKNOWN if nobody who was asked knows the stream. */
typedef void (*stream_version_done_t)(void *owner, software_version_t version);

stream_client_t *stream_client_new(uv_loop_t *loop, store_client_t *stores);
/** Records the version of a stream here and at its members. */
void stream_client_record(stream_client_t *client, uint64_t stream, software_version_t version);
/**
 * Finds the version of a stream. Returns NULL and sets @p version if that is decided at once;
 * otherwise calls @p done once, later.
 */
stream_request_t *stream_client_find(stream_client_t *client, uint64_t stream,
                                     software_version_t *version, stream_version_done_t done,
                                     void *owner);
/** Ends a request without a callback. */
void stream_request_cancel(stream_request_t *request);
/** Processes a member's RESPONSE_STREAM. */
void stream_client_handle_response(stream_client_t *client, const message_t *message);

#endif
