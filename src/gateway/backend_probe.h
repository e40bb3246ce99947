/**
 * @file backend_probe.h
 * Finds out whether an unresponsive back end can still be reached, at most twice a second; see
 * backend_check.h.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_BACKEND_PROBE_H
#define RUDDERWAY_GATEWAY_BACKEND_PROBE_H

#include "gateway/backends.h"

/** Starts a probe, unless one is active or was started recently. */
void backend_probe(backend_t *backend);
/** True if probes found the back end unreachable at or after @p since, loop time in ms. */
bool backend_found_unreachable_since(const backend_t *backend, uint64_t since);
/** Cancels an active probe. */
void backend_probe_stop(backend_t *backend);

#endif
