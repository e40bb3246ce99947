/**
 * @file key_requests.h
 * Requests to the storage nodes that keep something under a key (STORE_KEY_MEMBERS), each of which
 * ends with the first answer that decides it, or without one once all have answered or the time is
 * over.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_KEY_REQUESTS_H
#define RUDDERWAY_GATEWAY_KEY_REQUESTS_H

#include "gateway/store_client.h"

typedef struct key_requests key_requests_t;
/** A pending request. */
typedef struct key_request key_request_t;
/** True if no other answer is needed. */
typedef bool (*key_answer_decides_t)(const message_t *answer);
/** @p answer: NULL if none decided the request. */
typedef void (*key_request_done_t)(void *owner, const message_t *answer);

key_requests_t *key_requests_new(uv_loop_t *loop, store_client_t *stores, uint64_t timeout_ms,
                                 key_answer_decides_t decides);
/**
 * Sends @p message, with a number of its own, and calls @p done once, later; NULL and no call if no
 * node for @p key is connected.
 */
key_request_t *key_requests_send(key_requests_t *requests, uint64_t key, message_t *message,
                                 key_request_done_t done, void *owner);
/** Ends a request without a callback. */
void key_request_cancel(key_request_t *request);
void key_requests_handle_answer(key_requests_t *requests, const message_t *answer);

#endif
