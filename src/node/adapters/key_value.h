/**
 * @file key_value.h
 * The protocol of the platform's key-value service: compare-and-swap, watches and leases.
 * Thread safety: any thread; calls block up to their timeout.
 */
#ifndef RUDDERWAY_NODE_ADAPTERS_KEY_VALUE_H
#define RUDDERWAY_NODE_ADAPTERS_KEY_VALUE_H

#include "common/http_client.h"

#include <jansson.h>

typedef struct {
    const char *address; /**< IP number. */
    uint32_t port;
} key_value_address_t;

/**
 * Writes @p key if its version is @p expected_version (0: absent). Errors: KEY_VALUE_CONFLICT
 * if it is not; KEY_VALUE_UNAVAILABLE and CANNOT_CONNECT if nothing was written; TIMED_OUT and
 * CONNECTION_LOST if that is not known.
 */
bool key_value_swap(http_client_t *client, key_value_address_t service, const char *key,
                    const char *value, uint64_t expected_version, uint64_t lease, GError **error);

/**
 * The entries under @p prefix that changed after version @p after, waiting up to @p wait_ms for
 * the first: a JSON array of {"key", "value", "version"}; the caller decrefs. @p version
 * receives what to pass as @p after next time.
 */
json_t *key_value_watch(http_client_t *client, key_value_address_t service, const char *prefix,
                        uint64_t after, int64_t wait_ms, uint64_t *version, GError **error);

/** Grants (@p lease 0) or renews a lease of @p ttl_ms; returns it, or 0 and an error. */
uint64_t key_value_lease(http_client_t *client, key_value_address_t service, uint64_t lease,
                         int64_t ttl_ms, GError **error);

#endif
