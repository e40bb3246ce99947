/**
 * @file bootstrap.h
 * Founds a cluster, once. When enough nodes have met, one of them writes their list to the
 * key-value service by compare-and-swap; every node on the list then creates the first
 * replication groups, which placement derives from the list. Nodes that come later, and all
 * that happens later, need neither the list nor the service.
 *
 * Thread safety: decision thread only; what blocks runs on the pool.
 */
#ifndef RUDDERWAY_NODE_BOOTSTRAP_H
#define RUDDERWAY_NODE_BOOTSTRAP_H

#include "node/node.h"

typedef struct bootstrap bootstrap_t;

bootstrap_t *bootstrap_new(void);
void bootstrap_free(bootstrap_t *bootstrap);
void bootstrap_tick(node_t *node, bootstrap_t *bootstrap);

#endif
