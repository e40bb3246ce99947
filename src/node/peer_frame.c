#include "node/peer_frame.h"

#include <string.h>

static void compute_tag(const peer_frame_state_t *state, const uint8_t *content, size_t length,
                        uint8_t *tag) {
    uint64_t number = GUINT64_TO_BE(state->number);
    gsize tag_length = PEER_TAG_BYTES;
    GHmac *hmac = g_hmac_new(G_CHECKSUM_SHA256, state->key, PEER_KEY_BYTES);
    g_hmac_update(hmac, state->nonce, PEER_NONCE_BYTES);
    g_hmac_update(hmac, (const guchar *)&number, sizeof number);
    g_hmac_update(hmac, content, (gssize)length);
    g_hmac_get_digest(hmac, tag, &tag_length);
    g_hmac_unref(hmac);
}

static bool tags_equal(const uint8_t *left, const uint8_t *right) {
    volatile uint8_t difference = 0;
    for (size_t i = 0; i < PEER_TAG_BYTES; i++)
        difference |= left[i] ^ right[i];
    return difference == 0;
}

void peer_frame_append(peer_frame_state_t *state, GByteArray *output, GBytes *content) {
    size_t length;
    const uint8_t *data = g_bytes_get_data(content, &length);
    uint32_t head = GUINT32_TO_BE((uint32_t)(length + PEER_TAG_BYTES));
    uint8_t tag[PEER_TAG_BYTES];
    compute_tag(state, data, length, tag);
    g_byte_array_append(output, (const guint8 *)&head, PEER_LENGTH_BYTES);
    g_byte_array_append(output, tag, PEER_TAG_BYTES);
    g_byte_array_append(output, data, (guint)length);
    state->number++;
}

gssize peer_frame_check(peer_frame_state_t *state, const uint8_t *data, size_t length,
                        GError **error) {
    uint32_t head;
    uint8_t tag[PEER_TAG_BYTES];
    if (length < PEER_LENGTH_BYTES)
        return 0;
    memcpy(&head, data, PEER_LENGTH_BYTES);
    size_t rest = GUINT32_FROM_BE(head);
    if (rest < PEER_TAG_BYTES || rest > PEER_FRAME_MAXIMUM) {
        error_set(error, RUDDERWAY_ERROR_FRAME_INVALID, "length %zu", rest);
        return -1;
    }
    if (length < PEER_LENGTH_BYTES + rest)
        return 0;
    const uint8_t *content = data + PEER_LENGTH_BYTES + PEER_TAG_BYTES;
    compute_tag(state, content, rest - PEER_TAG_BYTES, tag);
    if (!tags_equal(tag, data + PEER_LENGTH_BYTES)) {
        error_set(error, RUDDERWAY_ERROR_FRAME_INVALID, "wrong tag");
        return -1;
    }
    state->number++;
    return (gssize)(PEER_LENGTH_BYTES + rest);
}
