/**
 * @file caller_api.h
 * The callers' HTTP interface (docs/API.md): checks requests and turns them into operations.
 * Thread safety: runs on HTTP threads; reads only constants and published snapshots.
 */
#ifndef RUDDERWAY_NODE_CALLER_API_H
#define RUDDERWAY_NODE_CALLER_API_H

#include "node/node.h"

/** Handles a request whose path is under /v1/. */
void caller_api_handle(node_t *node, http_request_t *request);
/** The SHA-256 of the bearer token of @p request in hexadecimal, or NULL; caller frees. */
char *caller_api_token(const http_request_t *request);

#endif
