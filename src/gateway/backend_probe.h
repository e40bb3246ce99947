/**
 * @file backend_probe.h
 * Checks by connection attempts whether an unresponsive back end can still be reached. Two
 * consecutive attempts that are refused mean that it can't, and two that time out if another back
 * end can be reached meanwhile; no data is sent on them.
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
