/**
 * @file backend_versions.h
 * Software versions of back ends: which a service has and had, and whether that in a back end's
 * entry is of the process that serves under its id now. See call_version.c for what depends on it.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_BACKEND_VERSIONS_H
#define RUDDERWAY_GATEWAY_BACKEND_VERSIONS_H

#include "gateway/backends.h"

/**
 * A process that has started writes its entry within a heartbeat of a second or two; that of one
 * that has ended is removed after three.
 */
enum { VERSION_DOUBT_MS = 5000 };

/**
 * The process at the back end's address may be another than that which wrote its entry.
 * @p since: loop time at which the process may have ended; 0: unknown.
 */
void backend_doubt_version(backend_t *backend, uint64_t since);
/** The process of its entry has answered a request that was sent at @p since, loop time in ms. */
void backend_trust_version(backend_t *backend, uint64_t since);
/**
 * False if its version has been in doubt since, and it is not yet certain that its entry is of the
 * process that serves now. An entry that changes soon after the doubt began may have been written
 * before; the entry counts once VERSION_ENTRY_LAG_MS are over. If it does not change, the process
 * must have answered on an earlier connection since (backend_survival.h), or the directory have
 * been confirmed VERSION_DOUBT_MS after the doubt began.
 */
bool backend_version_certain(const backend_t *backend);
/** True if the service has, or had in STREAM_VERSION_RETENTION_MS, back ends of two versions. */
bool backends_versions_differ(const backends_t *backends, const char *service);
/**
 * True if all back ends of the service are known to have had one version as long as a stream may be
 * taken up: a gateway that has just started does not know, unless the entries name none.
 */
bool backends_version_always_same(const backends_t *backends, const char *service);
/**
 * The only version of the service's back ends, or else that of the latest one; VERSION_UNKNOWN if
 * the service is not known.
 */
software_version_t backends_latest_version(const backends_t *backends, const char *service);
/** True if some back end of the service that is not leaving has this version. */
bool backends_serve_version(const backends_t *backends, const char *service,
                            software_version_t version);
/** A back end of this version was added to the service. */
void backend_versions_add(backends_t *backends, service_members_t *members,
                          software_version_t version);
/** A back end of this version was removed from the service. */
void backend_versions_remove(backends_t *backends, service_members_t *members,
                             software_version_t version);

#endif
