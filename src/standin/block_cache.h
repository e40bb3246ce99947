/**
 * @file block_cache.h
 * The prefix cache of the engine stand-in: blocks of prompt text with the programs that hold
 * them, least recently used out first. Thread safety: none; the engine's lock guards it.
 */
#ifndef RUDDERWAY_STANDIN_BLOCK_CACHE_H
#define RUDDERWAY_STANDIN_BLOCK_CACHE_H

#include "core/routing/routing.h"

#include <jansson.h>

typedef struct block_cache block_cache_t;

block_cache_t *block_cache_new(uint64_t capacity_blocks);
/** Leading blocks of @p prefix that are cached. */
uint32_t block_cache_lookup(const block_cache_t *cache, const prefix_t *prefix);
/** Stores the blocks for @p program, evicting others if need be. */
void block_cache_store(block_cache_t *cache, const char *program, const prefix_t *prefix);
/** Drops the blocks that only @p program holds; returns how many it held. */
uint32_t block_cache_release(block_cache_t *cache, const char *program);
uint32_t block_cache_held(const block_cache_t *cache, const char *program);
/** Events after @p from, at most the newest few thousand: older ones are lost. */
json_t *block_cache_events(const block_cache_t *cache, uint64_t from, int64_t before_ms);
uint64_t block_cache_size(const block_cache_t *cache);
/** Programs that hold blocks, as {program: blocks}. */
json_t *block_cache_holders(const block_cache_t *cache);

#endif
