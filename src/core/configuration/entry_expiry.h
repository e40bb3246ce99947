/**
 * @file entry_expiry.h
 * Grace period for back ends whose directory entries have expired.
 *
 * Entries expire during an outage of the key-value service because back ends cannot renew them.
 * After recovery, live back ends write their entries again within ENTRY_EXPIRY_GRACE_MS; a back end
 * whose entry is still missing then has failed. Until then a missing entry is no evidence of a
 * failure; without a grace period a service whose entries have all expired would have no back end.
 *
 * Decision code: no I/O, clock or thread. Times are ms of the caller's monotonic clock.
 */
#ifndef RUDDERWAY_CORE_CONFIGURATION_ENTRY_EXPIRY_H
#define RUDDERWAY_CORE_CONFIGURATION_ENTRY_EXPIRY_H

#include <stdint.h>

enum {
    ENTRY_EXPIRY_GRACE_MS =
        2000, /**< Grace period; live back ends write their entries within it. */
    ENTRY_EXPIRY_RECENT_FAILURE_MS =
        1500, /**< An outage counts as ongoing this long after a failure. */
};

/** What a gateway has observed of the key-value service. */
typedef struct {
    uint64_t failed_at;    /**< Latest failure since the latest response; 0: none. */
    uint64_t recovered_at; /**< First response after failures; 0: never. */
} entry_expiry_evidence_t;

/** End of the grace period of a back end whose entry is missing at @p now; 0: there is none. */
uint64_t entry_expiry_grace_end(const entry_expiry_evidence_t *evidence, uint64_t now);

#endif
