/**
 * @file ejection.h
 * Whether a back end is left out because it seems to be down.
 *
 * The sign is a *quick reset*: a request that was sent whole, and whose connection ended before the
 * back end can have worked on it. Such a call may not be sent again if it may run only once, so
 * each gateway that finds out by itself costs a call. Hence a gateway that saw one tells the
 * others, and a gateway that hears of it from two or more leaves the back end out as well; one
 * alone may have a bad link.
 *
 * A back end that goes down again soon after it came back stays out for longer each time.
 *
 * Decision code; an object belongs to one thread. Times are in ms.
 */
#ifndef RUDDERWAY_CORE_ROUTING_EJECTION_H
#define RUDDERWAY_CORE_ROUTING_EJECTION_H

#include <stdbool.h>
#include <stdint.h>

/** A connection that ends within this time of the send is a quick reset. */
enum { QUICK_RESET_MS = 25 };

typedef struct {
    unsigned resets;     /**< Quick resets in a row, as seen here. */
    uint64_t last_reset; /**< When the latest was seen. */
    uint64_t out_until;  /**< Left out until then, by what was seen here. */
    unsigned tellers;    /**< Other gateways that leave it out now. */
    uint64_t told_until; /**< The latest time that they named. */
} ejection_t;

/** Notes a quick reset. */
void ejection_note_reset(ejection_t *ejection, uint64_t now);
/** For how long the others should hear that it is out, in ms; 0: not at all. */
uint32_t ejection_tell_ms(const ejection_t *ejection, uint64_t now);
/** Forgets what the others told, before it is told anew. */
void ejection_forget_told(ejection_t *ejection);
/** Another gateway leaves it out until @p until. */
void ejection_note_told(ejection_t *ejection, uint64_t until, uint64_t now);
/** True if it is left out now by what the others told. */
bool ejection_told_out(const ejection_t *ejection, uint64_t now);
/** True if the back end is left out now. */
bool ejection_is_out(const ejection_t *ejection, uint64_t now);

#endif
