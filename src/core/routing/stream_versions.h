/**
 * @file stream_versions.h
 * Software versions of the back ends that began streams. Back ends of several versions may serve
 * side by side, and what two of them generate does not fit together: a stream goes on only at the
 * version that began it. Streams are known by a hash of their first attempt (stream_version_key).
 *
 * Decision code: no I/O, clock or threads. Times are in ms.
 */
#ifndef RUDDERWAY_CORE_ROUTING_STREAM_VERSIONS_H
#define RUDDERWAY_CORE_ROUTING_STREAM_VERSIONS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Stands for the name of a version; see software_version. */
typedef uint64_t software_version_t;

/** Not restricted to a version. */
#define VERSION_ANY UINT64_C(0)
/** The back end's entry names no version. */
#define VERSION_UNNAMED UINT64_C(1)
/** Of a stream: no back end is known to run the version that began it. */
#define VERSION_UNKNOWN UINT64_MAX

/** Callers take up streams within their deadline. */
enum { STREAM_VERSION_RETENTION_MS = 60000 };

typedef struct {
    GHashTable *entries; /**< By key of the stream. */
    GQueue order;        /**< The same, the latest last. */
    unsigned max;
} stream_versions_t;

/** @p name: NULL if the entry names none. */
software_version_t software_version(const char *name);
/** Key of the stream that @p attempt of a caller began; @p tenant: NULL if there are none. */
uint64_t stream_version_key(const char *tenant, const char *attempt);
/** @p max: number of streams kept; the oldest go first. */
void stream_versions_init(stream_versions_t *versions, unsigned max);
void stream_versions_clear(stream_versions_t *versions);
/** Records the version of a stream, or VERSION_UNKNOWN. */
void stream_versions_record(stream_versions_t *versions, uint64_t stream,
                            software_version_t version, uint64_t now);
/** VERSION_ANY if the stream is not known here. */
software_version_t stream_versions_find(const stream_versions_t *versions, uint64_t stream,
                                        uint64_t now);

#endif
