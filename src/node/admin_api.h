/**
 * @file admin_api.h
 * The operators' HTTP interface (docs/API.md), the metrics and the health checks.
 * Thread safety: admin_api_handle runs on HTTP threads; what it asks for is gathered on the
 * decision thread.
 */
#ifndef RUDDERWAY_NODE_ADMIN_API_H
#define RUDDERWAY_NODE_ADMIN_API_H

#include "node/node.h"

/** Handles /admin/v1/..., /metrics, /healthz and /readyz. */
void admin_api_handle(node_t *node, http_request_t *request);

#endif
