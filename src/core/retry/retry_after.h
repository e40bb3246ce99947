/**
 * @file retry_after.h
 * Computes the Retry-After value for a refused call.
 *
 * Callers have few attempts, and a program fails once a turn has used all of them. The value is
 * therefore the earliest time at which the next attempt is likely to succeed, bounded by the part
 * of its remaining time that a caller is willing to wait.
 *
 * Callers of an isolated zone are redirected once none of its gateways is considered ready.
 * Attempts before the redirection fail, so the caller waits until then; after it, the caller only
 * has to open a new connection. The wait is the same if the program's deadline passes before the
 * redirection: a late response is better than none.
 *
 * Decision code: no I/O, clock or threads. Times are in ms.
 */
#ifndef RUDDERWAY_CORE_RETRY_RETRY_AFTER_H
#define RUDDERWAY_CORE_RETRY_RETRY_AFTER_H

#include "core/retry/outage.h"

#include <stdbool.h>
#include <stdint.h>

enum {
    RETRY_AFTER_TRANSIENT_MS = 150, /**< After a transient failure. */
    /** When the zone is isolated and the redirection time is unknown or has passed. */
    RETRY_AFTER_REDIRECTED_MS = 300,
    RETRY_AFTER_HONOURED_DIVISOR =
        3, /**< Callers wait for at most their remaining time divided by this. */
};

/** Why the call cannot be served here. */
typedef enum {
    RETRY_AFTER_TRANSIENT, /**< Transient failure; a retry may succeed immediately. */
    RETRY_AFTER_ISOLATED,  /**< This gateway's zone is isolated; callers are redirected. */
    RETRY_AFTER_OUTAGE,    /**< A dependency of all gateways is unavailable. */
    RETRY_AFTER_KNOWN,     /**< The time until capacity is available is known. */
} retry_after_reason_t;

typedef struct {
    retry_after_reason_t reason;
    uint32_t duration_ms;       /**< Time since the cause was first observed. */
    uint32_t redirect_after_ms; /**< RETRY_AFTER_ISOLATED: delay from the isolation to the
                        redirection of callers; 0: unknown. */
    uint32_t known_wait_ms;     /**< RETRY_AFTER_KNOWN: time until capacity is available. */
    uint32_t time_left_ms;      /**< Until the caller's deadline; UINT32_MAX: none. */
    uint32_t program_left_ms;   /**< Until the program's deadline; UINT32_MAX: none. Only logged. */
} retry_after_t;

uint32_t retry_after_delay_ms(const retry_after_t *call);

#endif
