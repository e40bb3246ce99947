/**
 * @file come_back.h
 * When a refused caller is told to come back.
 *
 * A caller has few tries, and a program ends once a turn has used them up: a try that meets the
 * same trouble is lost. So the caller is told the time at which its next try will most likely be
 * served, and no later. What it is told beyond the part of its time that it honours has no effect:
 * it comes back at that part.
 *
 * A caller refused in a zone that is cut off is led elsewhere once none of the zone's gateways is
 * taken for ready. Before that each of its tries is lost, so it is told that time; afterwards a new
 * connection is enough. A program whose own deadline ends before that is told the same: served
 * late is better than not at all.
 *
 * Decision code: no I/O, clock or thread. Times are in ms.
 */
#ifndef RUDDERWAY_CORE_RETRY_COME_BACK_H
#define RUDDERWAY_CORE_RETRY_COME_BACK_H

#include "core/retry/outage.h"

#include <stdbool.h>
#include <stdint.h>

enum {
    COME_BACK_SOON_MS = 150, /**< After a chance failure. */
    /** After the loss of a gateway's way to others, where nothing tells when callers are led
     * elsewhere, or once they are. */
    COME_BACK_ELSEWHERE_MS = 300,
    COME_BACK_HONOURED_PART = 3, /**< A caller waits for one part in so many of its time left. */
};

/** What keeps the call from being served here. */
typedef enum {
    COME_BACK_SOON,     /**< A chance failure: another try may be served at once. */
    COME_BACK_ISOLATED, /**< This gateway's zone is cut off: callers are led elsewhere. */
    COME_BACK_OUTAGE,   /**< Something that all gateways need is missing. */
    COME_BACK_KNOWN,    /**< There is room again in a time that is known. */
} come_back_reason_t;

/** What is known of a refused call and of what it lacks. */
typedef struct {
    come_back_reason_t reason;
    uint32_t lasted_ms;       /**< What it lacks has been missing for so long. */
    uint32_t led_ms;          /**< COME_BACK_ISOLATED: callers are led elsewhere so long after it
                                   began; 0: unknown. */
    uint32_t known_ms;        /**< COME_BACK_KNOWN: there is room again in so long. */
    uint32_t time_left_ms;    /**< Of the caller's own deadline; UINT32_MAX: it has none. */
    uint32_t program_left_ms; /**< Of its program's; UINT32_MAX: it has none. */
} come_back_t;

/** What the caller is told to wait. */
uint32_t come_back_ms(const come_back_t *call);

#endif
