/**
 * @file lapse.h
 * Grace period for back ends whose directory entries have expired.
 *
 * Entries expire during an outage of the key-value service because back ends cannot renew them.
 * After recovery, live back ends write their entries again within LAPSE_KEPT_MS; a back end whose
 * entry is still missing then has failed. Until then a missing entry is no evidence of a failure;
 * without a grace period a service whose entries have all expired would have no back end.
 *
 * Decision code: no I/O, clock or thread. Times are ms of the caller's monotonic clock.
 */
#ifndef RUDDERWAY_CORE_CONFIGURATION_LAPSE_H
#define RUDDERWAY_CORE_CONFIGURATION_LAPSE_H

#include <stdint.h>

enum {
    LAPSE_KEPT_MS = 2000, /**< Grace period; live back ends write their entries within it. */
    LAPSE_FAILED_LATELY_MS = 1500, /**< An outage counts as ongoing this long after a failure. */
};

/** What a gateway has observed of the key-value service. */
typedef struct {
    uint64_t failed_at; /**< Latest failure since the latest response; 0: none. */
    uint64_t back_at;   /**< First response after failures; 0: never. */
} lapse_signs_t;

/** End of the grace period of a back end whose entry is missing at @p now; 0: there is none. */
uint64_t lapse_kept_until(const lapse_signs_t *signs, uint64_t now);

#endif
