/**
 * @file outage.h
 * Tracks how long a required dependency has been unavailable and when refused callers should
 * retry.
 *
 * The suggested wait grows with the duration of the outage, so that callers do not use up their
 * few attempts in a long outage and do not wait needlessly after a short one.
 *
 * Decision code; an object belongs to one thread. Times are in ms.
 */
#ifndef RUDDERWAY_CORE_RETRY_OUTAGE_H
#define RUDDERWAY_CORE_RETRY_OUTAGE_H

#include <stdbool.h>
#include <stdint.h>

/** Bounds of the suggested wait, in ms. */
enum { OUTAGE_RETRY_AFTER_MIN_MS = 150, OUTAGE_RETRY_AFTER_MAX_MS = 1000 };

typedef struct {
    bool active;
    uint64_t since;
} outage_t;

/** Starts the outage at @p arrived_at, the arrival of the refused call, unless it is active. */
void outage_begin(outage_t *outage, uint64_t arrived_at);
void outage_end(outage_t *outage);
uint32_t outage_duration_ms(const outage_t *outage, uint64_t now);
/** Suggested wait of a caller refused at @p now. */
unsigned outage_retry_after_ms(const outage_t *outage, uint64_t now);

#endif
