/**
 * @file outage.h
 * How long something that calls need has been missing, and when a refused caller should come back.
 *
 * The longer an outage has lasted, the longer it is expected to last: a caller has only a few tries
 * and must not use them up in a long one, nor wait long after a short one. Told is a quarter of
 * what it has lasted; with the whole, short outages made more programs late than were saved.
 *
 * Decision code; an object belongs to one thread. Times are in ms.
 */
#ifndef RUDDERWAY_CORE_RETRY_OUTAGE_H
#define RUDDERWAY_CORE_RETRY_OUTAGE_H

#include <stdbool.h>
#include <stdint.h>

/** Bounds of what a refused caller is told to wait, in ms. */
enum { OUTAGE_COME_BACK_LEAST_MS = 150, OUTAGE_COME_BACK_MOST_MS = 1000 };

typedef struct {
    bool lasts;
    uint64_t since;
} outage_t;

/** Notes that a call that came at @p arrived_at was refused for the outage. */
void outage_note(outage_t *outage, uint64_t arrived_at);
/** Notes that what was missing is back. */
void outage_end(outage_t *outage);
/** How long it has lasted at @p now. */
uint32_t outage_lasted_ms(const outage_t *outage, uint64_t now);
/** What a caller refused at @p now is told to wait. */
unsigned outage_come_back_ms(const outage_t *outage, uint64_t now);

#endif
