/**
 * @file split.h
 * Divides a route's calls among its parts by weight: smooth weighted round robin, so that short
 * runs are as even as long ones.
 *
 * Decision code; an object belongs to one thread.
 */
#ifndef RUDDERWAY_GATEWAY_SPLIT_H
#define RUDDERWAY_GATEWAY_SPLIT_H

#include "cluster/service_directory.h"

/** The service for the next call on @p route; @p table: route name to state, for all routes. */
const char *split_next(GHashTable *table, const route_t *route);
/** An empty state. */
GHashTable *split_credits_new(void);

#endif
