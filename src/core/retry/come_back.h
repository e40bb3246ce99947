/**
 * @file come_back.h
 * When a refused caller is told to come back.
 *
 * A caller has few tries, and a program ends once a turn has used them up: a try that meets the
 * same trouble is lost. So the caller is told the time at which its next try will most likely be
 * served, within what it honours (a part of the time that it has left) and never so late that an
 * answer could not come in time any more.
 *
 * Decision code: no I/O, clock or thread. Times are in ms.
 */
#ifndef RUDDERWAY_CORE_RETRY_COME_BACK_H
#define RUDDERWAY_CORE_RETRY_COME_BACK_H

#include <stdbool.h>
#include <stdint.h>

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
    uint32_t known_ms;        /**< COME_BACK_KNOWN: there is room again in so long. */
    uint32_t time_left_ms;    /**< Of the caller's own deadline. */
    uint32_t program_left_ms; /**< Of its program's; UINT32_MAX: it has none. */
} come_back_t;

/** What the caller is told to wait. */
uint32_t come_back_ms(const come_back_t *call);

#endif
