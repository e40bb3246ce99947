/**
 * @file backend_service.h
 * Keeps the node's view of back ends: reads the machine list, polls engines' load and cache
 * events, and releases what engines hold for ended programs.
 *
 * The machine list lags, so a back end counts as leaving as soon as the list, or the engine's
 * own load report, says so; one that cannot be reached is left out for a growing while. If
 * the list cannot be read, the last one stays in use.
 *
 * Thread safety: decision thread only; what blocks runs on the pool.
 */
#ifndef RUDDERWAY_NODE_BACKEND_SERVICE_H
#define RUDDERWAY_NODE_BACKEND_SERVICE_H

#include "node/node.h"

#include <jansson.h>

backend_service_t *backend_service_new(void);
void backend_service_free(backend_service_t *service);
void backend_service_tick(node_t *node);
/** True if any listed back end offers @p service, available or not. */
bool backend_service_offers(const node_t *node, const char *service);
/** True once the machine list has been read. */
bool backend_service_ready(const node_t *node);
json_t *backend_service_to_json(const node_t *node);

#endif
