/**
 * @file lapse.h
 * Whether a back end whose entry is gone from the directory is still used.
 *
 * Entries lapse while the key-value service is away, since back ends can't renew them. Once it is
 * back, those that live write theirs again within LAPSE_KEPT_MS; one that is still missing then is
 * gone. Until then a missing entry says nothing, and a service whose entries have all lapsed would
 * have no back end.
 *
 * Decision code: no I/O, clock or thread. Times are ms of the caller's steady clock.
 */
#ifndef RUDDERWAY_CORE_CONFIGURATION_LAPSE_H
#define RUDDERWAY_CORE_CONFIGURATION_LAPSE_H

#include <stdint.h>

enum {
    LAPSE_KEPT_MS = 2000,          /**< Living back ends write their entries again within this. */
    LAPSE_FAILED_LATELY_MS = 1500, /**< A service that is away fails more often than this. */
};

/** What a gateway has seen of the key-value service. */
typedef struct {
    uint64_t failed_at; /**< Latest failure since its latest answer; 0: none. */
    uint64_t back_at;   /**< When it answered again after failures; 0: never. */
} lapse_signs_t;

/** Until when a back end whose entry is gone at @p now is still used; 0: not at all. */
uint64_t lapse_kept_until(const lapse_signs_t *signs, uint64_t now);

#endif
