/**
 * @file peer_frame.h
 * Framing and authentication of peer messages: length (4 bytes, big endian, of what follows),
 * tag (PEER_TAG_BYTES), content. Thread safety: all functions may be called from any thread.
 */
#ifndef RUDDERWAY_NODE_PEER_FRAME_H
#define RUDDERWAY_NODE_PEER_FRAME_H

#include "node/peer_message.h"

enum { PEER_LENGTH_BYTES = 4 };

/** What a frame's tag covers besides its content. */
typedef struct {
    uint8_t key[PEER_KEY_BYTES];
    uint8_t nonce[PEER_NONCE_BYTES]; /**< Of the connection; zero on datagrams. */
    uint64_t number;                 /**< Of the next frame on the connection. */
} peer_frame_state_t;

/** Appends a frame with @p content to @p output and counts it. */
void peer_frame_append(peer_frame_state_t *state, GByteArray *output, GBytes *content);

/**
 * Looks at the start of @p data. Returns the frame's whole length if it is complete, 0 if more
 * is needed, -1 and FRAME_INVALID if it is too long or not authentic. The content begins
 * PEER_LENGTH_BYTES + PEER_TAG_BYTES into the frame.
 */
gssize peer_frame_check(peer_frame_state_t *state, const uint8_t *data, size_t length,
                        GError **error);

#endif
