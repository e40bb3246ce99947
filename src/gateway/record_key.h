/**
 * @file record_key.h
 * Keys under which storage nodes keep what callers name. A caller may choose names as long as its
 * header fields may be; a record with a long one would be mostly its name, and so would each of the
 * tables that it is in.
 *
 * Thread safety: functions without state.
 */
#ifndef RUDDERWAY_GATEWAY_RECORD_KEY_H
#define RUDDERWAY_GATEWAY_RECORD_KEY_H

/** Longer names, in bytes, are represented by a digest. */
enum { RECORD_KEY_MAX_BYTES = 128 };

/**
 * The key for @p name, the same at all gateways: NULL if @p name can be the key itself, else its
 * SHA-256 as text, to be freed with g_free().
 */
char *record_key_of_long_name(const char *name);

#endif
