/**
 * @file store_crashes.h
 * Passes on to all gateways the crashes of back ends under a request (core/retry/crash_history.h),
 * once gateways have reported two of them: load reports do not reach all gateways of a large fleet
 * (gateway_registry.h), and a caller's attempts may go to any. A request that met one crash, as all
 * do that a back end takes along, costs no message to others.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_STORE_STORE_CRASHES_H
#define RUDDERWAY_STORE_STORE_CRASHES_H

#include "store/store.h"

/** Handles a MESSAGE_CRASH or MESSAGE_REQUEST_STOPPED of a gateway. */
void store_handle_crash(store_t *store, const message_t *message);

#endif
