/**
 * @file chain_cache.h
 * LRU cache of turns, bounded by memory. Turns are immutable, so cached ones are never stale;
 * missing ones are read from the storage nodes. The cache also knows until when storage nodes keep
 * a turn at least: a turn that continues one which they have removed could not be continued at
 * other gateways.
 *
 * Thread safety: an object belongs to one thread.
 */
#ifndef RUDDERWAY_GATEWAY_CHAIN_CACHE_H
#define RUDDERWAY_GATEWAY_CHAIN_CACHE_H

#include "common/memory_account.h"
#include "core/turns/turn_table.h"

typedef struct {
    GHashTable *entries; /**< Turn id to its link in the queue. */
    GQueue *recent;      /**< Of turn_t, least recently used first. */
    uint64_t bytes;
    uint64_t limit;            /**< In bytes. */
    memory_account_t *account; /**< For what turns hold besides input and output; may be NULL. */
} chain_cache_t;

void chain_cache_init(chain_cache_t *cache, uint64_t limit);
void chain_cache_clear(chain_cache_t *cache);
/**
 * Adds a turn that storage nodes keep until @p kept_until (loop time, ms) at least, and its
 * ancestors as long. Of a turn that is cached, only that time changes, to the later one.
 */
void chain_cache_add(chain_cache_t *cache, const turn_t *turn, uint64_t kept_until);
const turn_t *chain_cache_find(chain_cache_t *cache, const char *id);
/** Until when storage nodes keep the turn at least; 0 if it is not cached. */
uint64_t chain_cache_kept_until(const chain_cache_t *cache, const char *id);
/** Records that storage nodes keep the turn and its ancestors until @p kept_until at least. */
void chain_cache_extend(chain_cache_t *cache, const char *id, uint64_t kept_until);

/** Removes turns, least recently used first, until the cache has become smaller by @p bytes. */
void chain_cache_shrink(chain_cache_t *cache, size_t bytes);

/**
 * Appends the prompt made of turn @p previous and its ancestors: input and output of each, oldest
 * first, as references to the cached GBytes. Returns NULL, or the id of the first turn that is not
 * cached; then nothing is appended.
 */
const char *chain_cache_prompt(chain_cache_t *cache, const char *previous, GPtrArray *prompt);

#endif
