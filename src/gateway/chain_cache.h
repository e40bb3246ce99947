/**
 * @file chain_cache.h
 * Turns that this gateway has seen lately, within a bound of memory. Turns never change, so what
 * is here is right; what is not must be read from the storage nodes.
 *
 * Thread safety: an object belongs to one thread.
 */
#ifndef RUDDERWAY_GATEWAY_CHAIN_CACHE_H
#define RUDDERWAY_GATEWAY_CHAIN_CACHE_H

#include "core/turns/turn_table.h"

typedef struct {
    GHashTable *entries; /**< Turn id to its place in the queue. */
    GQueue *recent;      /**< Of turn_t, the least recently used first. */
    uint64_t bytes;
    uint64_t limit;
} chain_cache_t;

void chain_cache_init(chain_cache_t *cache, uint64_t limit);
void chain_cache_clear(chain_cache_t *cache);
void chain_cache_add(chain_cache_t *cache, const turn_t *turn);
const turn_t *chain_cache_find(chain_cache_t *cache, const char *id);

/**
 * Appends the prompt that turn @p previous and those before it make: of each, oldest first, its
 * input and output. If a turn is missing, appends nothing and returns its id.
 */
const char *chain_cache_prompt(chain_cache_t *cache, const char *previous, GString *prompt);

#endif
