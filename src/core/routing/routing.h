/**
 * @file routing.h
 * Chooses the back end for a call.
 *
 * The default policy minimizes the estimated time to completion, from the engine's last load
 * report, the calls that this node has sent since, and the part of the prompt that is not in the
 * engine's prefix cache. The view of that cache is derived from the prompts sent and may be wrong;
 * it only affects the estimate. Three simpler policies serve as baselines for comparison.
 *
 * Decision code: no I/O, clock or thread.
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
    PREFIX_BLOCK_BYTES = 512, /**< Prompt text covered by one block hash. */
    PREFIX_BLOCKS_MAXIMUM = 2048,
};

/** Chained hashes of a prompt's blocks: hash i covers blocks 0 to i. */
typedef struct {
    uint32_t count;
    uint64_t hashes[PREFIX_BLOCKS_MAXIMUM];
} prefix_t;

typedef struct {
    backend_kind_t kind;
    const char *offers;     /**< Name of the model or service. */
    const char *program;    /**< For POLICY_STICKY; may be NULL. */
    const char *zone;       /**< Of this node. */
    const prefix_t *prefix; /**< NULL for services. */
    const char *avoid;      /**< Name of a back end that just failed, or NULL. */
} routing_request_t;

typedef struct {
    routing_policy_t policy;
    uint64_t round_robin;
} routing_t;

/** NULL if no available back end offers the model or service. */
backend_t *routing_choose(routing_t *routing, const backend_set_t *set,
                          const routing_request_t *request, int64_t now_ms);

/** Names of policies in settings: "prefix_and_load", "least_load", "round_robin", "sticky". */
const char *routing_policy_name(routing_policy_t policy);

void prefix_compute(prefix_t *prefix, const char *text, size_t length);
/** Number of leading blocks that @p backend probably has cached. */
uint32_t prefix_cached_blocks(const backend_t *backend, const prefix_t *prefix);
/** Marks the prompt's blocks as cached by @p backend; evicts the least recently sent ones. */
void prefix_record_sent(backend_t *backend, const prefix_t *prefix);

#endif
