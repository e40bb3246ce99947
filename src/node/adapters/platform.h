/**
 * @file platform.h
 * The protocols of the machine list and the weight store.
 * Thread safety: any thread; calls block up to their timeout.
 */
#ifndef RUDDERWAY_NODE_ADAPTERS_PLATFORM_H
#define RUDDERWAY_NODE_ADAPTERS_PLATFORM_H

#include "common/http_client.h"
#include "core/routing/backend.h"

/** The back ends on the machine list, of backend_record_t; NULL and an error on failure. */
GPtrArray *machine_list_read(http_client_t *client, const char *address, uint32_t port,
                             GError **error);

/** The size in bytes of a version of a model's weights; 0 and an error on failure. */
uint64_t weight_store_size(http_client_t *client, const char *address, uint32_t port,
                           const char *model, const char *version, GError **error);

#endif
