/**
 * @file split.h
 * Divides a route's calls among its services by weight, with smooth weighted round robin: short
 * runs follow the weights as closely as long ones.
 *
 * Decision code: no I/O, clock or thread; an object belongs to one thread.
 */
#ifndef RUDDERWAY_GATEWAY_SPLIT_H
#define RUDDERWAY_GATEWAY_SPLIT_H

#include "cluster/service_directory.h"

/**
 * The service for the next call on @p route.
 * @param table State of all routes, by route name.
 */
const char *split_next(GHashTable *table, const route_t *route);
/** Creates an empty state table. */
GHashTable *split_state_new(void);

#endif
