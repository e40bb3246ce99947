/**
 * @file backend_speeds.h
 * Speeds of back ends, measured by this gateway and merged with the measurements of the others: see
 * core/routing/backend_speed.h. Only back ends that report a start time are measured.
 *
 * An engine's unit of work is an event of its stream, from the first one on, which excludes prompt
 * processing and queueing. That of any other back end is a response time divided by the median of
 * the route at this gateway, so that a slow route does not make its back ends appear slow.
 *
 * New measurements are sent to the other gateways in the load-sharing datagrams, a few back ends in
 * each, round robin. An entry's id is a hash of back end and incarnation: versions without support
 * for speeds, and gateways that have another incarnation, find no such back end and skip the entry.
 * Entries are never requested again; those of a failed gateway expire.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_BACKEND_SPEEDS_H
#define RUDDERWAY_GATEWAY_BACKEND_SPEEDS_H

#include "gateway/backends.h"
#include "gateway/load_report.h"

/** Limit of the bytes per second that a gateway sends to all others for speeds. */
enum { BACKEND_SPEEDS_BYTES_PER_S = 1000 };

typedef struct backend_speeds backend_speeds_t;

/** Number of measured back ends, and of those that deviate widely from the typical speed. */
typedef struct {
    unsigned measured;
    unsigned slow; /**< Below half of the typical speed. */
    unsigned fast; /**< Above double. */
} backend_speed_counts_t;

backend_speeds_t *backend_speeds_new(void);
void backend_speeds_free(backend_speeds_t *speeds);
/** Applies a new or changed directory record; discards the measurements of earlier incarnations. */
void backend_speeds_update_incarnation(backend_t *backend);
/** Discards the measurements of a back end and its incarnation id. */
void backend_speeds_remove(backend_t *backend);
/** Records the response time of a call of @p route that was sent at @p sent_at. */
void backend_speeds_record_answer(backend_t *backend, const char *route, uint64_t sent_at);
/** A stream whose call was sent at @p sent_at generated events, one per @p event_us on average. */
void backend_speeds_record_stream(backend_t *backend, uint32_t event_us, uint64_t sent_at);
/** Appends the entries, of load_entry_t, to be sent now to each of @p gateways other gateways. */
void backend_speeds_append_report(backends_t *backends, GArray *entries, unsigned gateways);
/** Records an entry of the gateway @p sender; false if no back end has its incarnation id. */
bool backend_speeds_record_report(backends_t *backends, const load_entry_t *entry, uint64_t sender);
backend_speed_counts_t backend_speeds_count(backends_t *backends);

#endif
