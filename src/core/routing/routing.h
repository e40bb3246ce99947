/**
 * @file routing.h
 * Which back end takes a call. Decision code: no I/O, clock or thread.
 *
 * The default policy estimates, for each engine, when the call could be done: work ahead of it
 * (the engine's last load report plus what this node sent since) and the part of the prompt
 * that the engine does not hold in its prefix cache. The cache view is optimistic, from what
 * was sent; nothing depends on its being right. Three baselines stay for comparison.
 */
#ifndef RUDDERWAY_CORE_ROUTING_ROUTING_H
#define RUDDERWAY_CORE_ROUTING_ROUTING_H

#include "core/routing/backend.h"

typedef enum {
    POLICY_PREFIX_AND_LOAD,
    POLICY_LEAST_LOAD,
    POLICY_ROUND_ROBIN,
    POLICY_STICKY,
    POLICY_COUNT
} routing_policy_t;

enum {
    PREFIX_BLOCK_BYTES = 512, /**< Prompt text that one block hash covers. */
    PREFIX_BLOCKS_MAXIMUM = 2048,
};

/** Chained hashes of a prompt's blocks: block i's hash covers blocks 0 to i. */
typedef struct {
    uint32_t count;
    uint64_t hashes[PREFIX_BLOCKS_MAXIMUM];
} prefix_t;

typedef struct {
    backend_kind_t kind;
    const char *offers;     /**< Model or service. */
    const char *program;    /**< For the sticky baseline; may be NULL. */
    const char *zone;       /**< Of this node. */
    const prefix_t *prefix; /**< NULL for services. */
    const char *avoid;      /**< A back end that just failed, or NULL. */
} routing_request_t;

typedef struct {
    routing_policy_t policy;
    uint64_t round_robin;
} routing_t;

/** NULL if no available back end offers what is asked. */
backend_t *routing_choose(routing_t *routing, const backend_set_t *set,
                          const routing_request_t *request, int64_t now_ms);

/** Names of policies in settings: "prefix_and_load", "least_load", "round_robin", "sticky". */
const char *routing_policy_name(routing_policy_t policy);

void prefix_compute(prefix_t *prefix, const char *text, size_t length);
/** How many leading blocks @p backend probably caches. */
uint32_t prefix_cached_blocks(const backend_t *backend, const prefix_t *prefix);
/** Notes that @p backend has just been sent the prompt. */
void prefix_note_sent(backend_t *backend, const prefix_t *prefix);

#endif
