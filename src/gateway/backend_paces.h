/**
 * @file backend_paces.h
 * How fast the back ends work, as this gateway and the others measure it: see
 * core/routing/backend_speed.h. Only back ends that tell when they started are measured.
 *
 * An engine's unit of work is an event of its stream, from the first one on, so that neither the
 * length of the prompt nor the wait for a slot counts. Another back end's is an answer against the
 * usual one of the call's route here, so that a slow route isn't taken for a slow back end.
 *
 * What is new since it was last told goes to the other gateways in the datagrams that they get
 * anyway, a few back ends in each, by turns. It stands there under an id made of the back end and
 * its life: versions that know no paces, and gateways that know another life, find no such back end
 * and skip it. A gateway that is lost leaves paces that fade; nothing is ever asked for again.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_BACKEND_PACES_H
#define RUDDERWAY_GATEWAY_BACKEND_PACES_H

#include "gateway/backends.h"
#include "gateway/load_report.h"

/** What one gateway tells all others of paces. */
enum { BACKEND_PACES_BYTES_A_S = 1000 };

typedef struct backend_paces backend_paces_t;

/** How many back ends are measured, and how many of them are far from typical. */
typedef struct {
    unsigned measured;
    unsigned slow; /**< Below half of the typical speed. */
    unsigned fast; /**< Above double. */
} backend_pace_counts_t;

backend_paces_t *backend_paces_new(void);
void backend_paces_free(backend_paces_t *paces);
/** A back end's record is new or has changed: others tell of it by its life's id from now on. */
void backend_paces_list(backend_t *backend);
/** Forgets all that was measured at a back end, and its id. */
void backend_paces_forget(backend_t *backend);
/** A call of @p route that was sent at @p sent_at is answered. */
void backend_paces_note_answer(backend_t *backend, const char *route, uint64_t sent_at);
/** A stream that was sent at @p sent_at has made events, each in @p event_us on average. */
void backend_paces_note_stream(backend_t *backend, uint32_t event_us, uint64_t sent_at);
/** Appends of load_entry_t what @p gateways others should hear now. */
void backend_paces_tell(backends_t *backends, GArray *entries, unsigned gateways);
/** Takes what the gateway @p teller told; false if the entry is no pace of a known life. */
bool backend_paces_note_told(backends_t *backends, const load_entry_t *entry, uint64_t teller);
backend_pace_counts_t backend_paces_count(backends_t *backends);

#endif
