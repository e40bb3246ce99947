/**
 * @file services.h
 * Plain requests to application services, without a program.
 *
 * The node that takes the request executes it: a request has one entry and one chance, so an
 * unrepeatable one is sent at most once. It is tried at another back end only if no connection
 * came about, or if the caller marked it repeatable and the retry budget allows.
 *
 * Thread safety: services_submit may be called from any thread.
 */
#ifndef RUDDERWAY_NODE_SERVICES_H
#define RUDDERWAY_NODE_SERVICES_H

#include "node/node.h"

services_t *services_new(void);
void services_free(services_t *services);
/** Takes over @p request. @p path is what follows the service's name, with the slash. */
void services_submit(node_t *node, http_request_t *request, const char *tenant, const char *service,
                     const char *path, bool repeatable);
/** Requests under way. */
unsigned services_count(const node_t *node);

#endif
