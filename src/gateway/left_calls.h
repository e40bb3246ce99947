/**
 * @file left_calls.h
 * What calls have left at back ends that may still run it (core/retry/left_sends.h): calls of this
 * gateway, which tells storage nodes so that its loss does not lose them, and those of others, as
 * far as a storage node has told them.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_LEFT_CALLS_H
#define RUDDERWAY_GATEWAY_LEFT_CALLS_H

#include "core/retry/left_sends.h"
#include "gateway/store_client.h"

typedef struct left_calls left_calls_t;

/** @p stores may be NULL. @p seed differs by gateway and by its starts: what an earlier process of
 * it has left is not this one's. */
left_calls_t *left_calls_new(uv_loop_t *loop, store_client_t *stores, uint64_t seed);
/** A call of this gateway has left the back end, which may run the request for @p run_ms more. */
void left_calls_add(left_calls_t *calls, uint64_t request, uint64_t backend, uint64_t run_ms);
/** Handles a MESSAGE_SEND_LEFT of a storage node, on a call of another gateway. */
void left_calls_handle_message(left_calls_t *calls, const message_t *message);
/** The end of the back end, given by the low bits of its hash, was counted under the request. */
void left_calls_remove(left_calls_t *calls, uint64_t request, uint16_t backend);
/** The request got a complete successful response. */
void left_calls_forget(left_calls_t *calls, uint64_t request);
/**
 * The process of the back end may have ended: appends what this gateway's calls have left there to
 * @p doubted, of left_send_t, unless that is in doubt already. Each ends by left_calls_remove or
 * left_calls_trust.
 */
void left_calls_doubt(left_calls_t *calls, uint64_t backend, GArray *doubted);
/** The back end, given by the low bits of its hash, has not ended under the request. */
void left_calls_trust(left_calls_t *calls, uint64_t request, uint16_t backend);
/** Appends what this gateway's calls have left at the back end and is not in doubt to @p list. */
void left_calls_list_backend(const left_calls_t *calls, uint64_t backend, GArray *list);
/** Appends what calls of all gateways have left of the request to @p list, of left_send_t. */
void left_calls_list(const left_calls_t *calls, uint64_t request, GArray *list);
/** Tells a storage node that has connected what this gateway's calls have left. */
void left_calls_send_to_member(const left_calls_t *calls, unsigned member);

#endif
