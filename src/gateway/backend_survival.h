/**
 * @file backend_survival.h
 * Whether the process of a back end still runs that ran at a given time, as when a connection to it
 * broke. A new connection doesn't show that: the kernel, a supervisor, a proxy or the next owner of
 * the address accepts it. Evidence is what only that process can give:
 *
 * - An answer on a connection that had brought something before that time already. The process that
 *   ends closes all of its connections, so that bytes of each connection show that it ran from the
 *   first of them to the last. Where these times overlap on two connections, it ran throughout.
 * - Its entry in the directory, which is removed or changed within VERSION_DOUBT_MS if it has
 * ended.
 *
 * Limits: behind a proxy that keeps its connections while the process behind it is replaced,
 * answers of the next process count as those of the one before.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_BACKEND_SURVIVAL_H
#define RUDDERWAY_GATEWAY_BACKEND_SURVIVAL_H

#include "gateway/backends.h"

typedef enum {
    SURVIVAL_UNKNOWN,
    SURVIVAL_ANSWERED, /**< It runs: it has answered on an earlier connection. */
    SURVIVAL_LISTED,   /**< It runs: the directory still has its entry. */
    SURVIVAL_REPLACED, /**< It has ended: the entry is of a later process. */
    SURVIVAL_COUNT,
} survival_t;

/** Records a valid answer, or a part of one, on a connection that first brought something then. */
void backend_record_survival(backend_t *backend, uint64_t first_received_at);
/** Finds out whether the process that served at @p at, loop time in ms, still does. */
survival_t backend_survival_since(const backend_t *backend, uint64_t at);

#endif
