/**
 * @file quota_workload.h
 * Tenants that ask for more than their limits, and the judge of what they got.
 *
 * Thread safety: the simulator has one thread.
 */
#ifndef RUDDERWAY_STORESIM_QUOTA_WORKLOAD_H
#define RUDDERWAY_STORESIM_QUOTA_WORKLOAD_H

#include "storesim/world.h"

typedef struct {
    uint64_t used;       /**< Grants that were used. */
    uint64_t ended;      /**< Grants that had ended before. */
    uint64_t over;       /**< Calls refused: the limit is used up. */
    uint64_t unsure;     /**< Calls refused: no member said. */
    uint64_t over_limit; /**< Tenants with a window that held more than is allowed. */
    double fullest;      /**< The fullest window, as a part of what is allowed. */
} quota_workload_result_t;

/**
 * Lets callers ask until @p until. With @p ignore_ends they use grants that have ended: a fault on
 * purpose.
 */
void quota_workload_start(const world_t *world, uint64_t until, bool ignore_ends);
const quota_workload_result_t *quota_workload_judge(const quota_bounds_t *bounds);

#endif
