/**
 * @file service.h
 * The protocol of tool and application services: one POST with a JSON body.
 * Thread safety: any thread; calls block up to their timeout.
 */
#ifndef RUDDERWAY_NODE_ADAPTERS_SERVICE_H
#define RUDDERWAY_NODE_ADAPTERS_SERVICE_H

#include "common/http_client.h"

typedef struct {
    const char *address; /**< IP number. */
    uint32_t port;
    const char *path;
    const char *request_id;
    GBytes *body; /**< JSON. */
    bool repeatable;
    int64_t timeout_ms;
} service_call_t;

/**
 * Sends the request; the body of a 2xx answer goes to @p answer. Errors: CANNOT_CONNECT,
 * TIMED_OUT, CONNECTION_LOST, BACKEND_FAILED (with the service's own body in @p answer).
 */
bool service_request(http_client_t *client, const service_call_t *call, GBytes **answer,
                     GError **error);

#endif
