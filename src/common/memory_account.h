/**
 * @file memory_account.h
 * One bound on what others can make a process hold: parts of requests and responses, queued writes,
 * and caches. Holders take bytes from the account before they keep data, and release them when the
 * data is freed.
 *
 * Part of the limit is kept for small holders, so that ordinary requests are served while large
 * ones use up the rest. Before it refuses, the account asks its reclaimer to evict cached data.
 *
 * Thread safety: an account belongs to one thread. The bytes of memory_account_wrap() must be freed
 * on that thread.
 */
#ifndef RUDDERWAY_COMMON_MEMORY_ACCOUNT_H
#define RUDDERWAY_COMMON_MEMORY_ACCOUNT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Sizes of holders, in bytes. */
enum {
    MEMORY_SMALL_BYTES = 4 * 1024,   /**< May use the whole limit. */
    MEMORY_MEDIUM_BYTES = 64 * 1024, /**< May use 7/8 of it; larger holders 3/4. */
};

typedef struct {
    size_t limit; /**< In bytes; 0: unlimited. */
    size_t held;
    size_t peak;       /**< Most that was held since memory was last given back to the system. */
    size_t trim_bytes; /**< Decrease from the peak that triggers this; 0: never. */
    uint64_t refused;
    /** Frees cached data of about @p bytes. */
    void (*reclaim)(void *owner, size_t bytes);
    void *owner;
} memory_account_t;

/**
 * Takes @p bytes for a holder that will have @p size bytes then; false if they don't fit. Without
 * an account (NULL) everything fits; so for the functions below.
 */
bool memory_account_take(memory_account_t *account, size_t bytes, size_t size);
/** Takes bytes that are in memory already, whether they fit or not. */
void memory_account_add(memory_account_t *account, size_t bytes);
void memory_account_release(memory_account_t *account, size_t bytes);
/** True if a holder of @p size bytes would fit; may reclaim memory. */
bool memory_account_fits(memory_account_t *account, size_t size);

/**
 * Wraps @p data, of which the account holds @p length bytes already: they are released when the
 * last reference is gone. Takes over @p data, which g_free() frees.
 */
GBytes *memory_account_wrap(memory_account_t *account, char *data, size_t length);
/** As memory_account_wrap() for the text of @p string, which is freed, without its spare capacity.
 */
GBytes *memory_account_wrap_string(memory_account_t *account, GString *string);
/** Bytes that refer to @p bytes, and count in the account for as long; whether they fit or not. */
GBytes *memory_account_wrap_bytes(memory_account_t *account, GBytes *bytes);

#endif
