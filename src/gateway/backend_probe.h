/**
 * @file backend_probe.h
 * Whether a back end that says nothing can still be connected to. Two connections in a row that are
 * refused or do not come up mean that it can't; nothing is sent on them.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_BACKEND_PROBE_H
#define RUDDERWAY_GATEWAY_BACKEND_PROBE_H

#include "gateway/backends.h"

/** Begins to find out, unless that is under way or was found out just now. */
void backend_probe(backend_t *backend);
/** True if it was found unreachable at or after @p since, loop time in ms. */
bool backend_unreachable_since(const backend_t *backend, uint64_t since);
/** Ends what is under way. */
void backend_probe_stop(backend_t *backend);

#endif
