/**
 * @file codec.h
 * CBOR encoding and decoding of records, on libcbor's streaming interface.
 *
 * One function describes a record in both directions: it calls codec_* on each field,
 * which appends the field when encoding and fills it when decoding. So an encoder and
 * its decoder cannot drift apart. Decoding never allocates more than the input holds:
 * lengths are checked against what is left before memory is taken. After the first
 * malformed item codec_t.failed is set and every later field decodes as zero or NULL.
 *
 * Thread safety: a codec_t belongs to one thread.
 */
#ifndef RUDDERWAY_COMMON_CODEC_H
#define RUDDERWAY_COMMON_CODEC_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
    bool decoding;
    bool failed;
    GByteArray *output;  /**< Encoded bytes; only when encoding. */
    const uint8_t *data; /**< Input; only when decoding. */
    size_t length;
    size_t position;
} codec_t;

/** Starts encoding into a new buffer. */
void codec_start_encoding(codec_t *codec);

/** While decoding: true if nothing is left to read, so that fields added later are not there. */
bool codec_at_end(const codec_t *codec);

/** Starts decoding @p length bytes at @p data, which must outlive the codec. */
void codec_start_decoding(codec_t *codec, const void *data, size_t length);

/** Ends encoding; the caller owns the bytes. */
GBytes *codec_finish(codec_t *codec);

/** True if decoding met no malformed item and used all input. */
bool codec_complete(const codec_t *codec);

void codec_uint64(codec_t *codec, uint64_t *value);
void codec_uint32(codec_t *codec, uint32_t *value);
/** Non-negative int64 such as a time in milliseconds. */
void codec_int64(codec_t *codec, int64_t *value);
void codec_bool(codec_t *codec, bool *value);
/** An enum stored in an unsigned; decoding fails at @p limit and above. */
void codec_enum(codec_t *codec, unsigned *value, unsigned limit);
/** UTF-8 text; NULL is encoded as "" and decoded as "". The caller owns the decoded text. */
void codec_text(codec_t *codec, char **value);
/** A byte string; NULL is encoded as empty. The caller owns the decoded bytes. */
void codec_bytes(codec_t *codec, GBytes **value);
/**
 * The length of an array whose items follow; decoding fails above @p limit or above
 * the number of bytes left.
 */
void codec_count(codec_t *codec, uint32_t *value, uint32_t limit);

#endif
