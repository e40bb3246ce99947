/**
 * @file virtual_disk.h
 * Disks that outlive their processes, in the place of store/record_log.c: syncs take time, and a
 * loss of power tears what was not synced.
 *
 * Thread safety: the simulator has one thread.
 */
#ifndef RUDDERWAY_STORESIM_VIRTUAL_DISK_H
#define RUDDERWAY_STORESIM_VIRTUAL_DISK_H

#include "storesim/virtual_loop.h"

typedef struct {
    GPtrArray *synced;     /**< Records that survive anything but the loss of the disk; GBytes. */
    GPtrArray *unsynced;   /**< Records that were written and are being synced; GBytes. */
    GBytes *state;         /**< The state file; NULL: none. */
    unsigned state_writes; /**< Begun, including those that failed. */
    unsigned trimmed;      /**< Segments whose records were removed. */
    bool full;
    uint64_t sync_ms;
    uint64_t stalled_until; /**< A sync that starts earlier ends after this. */
    uint64_t held_until;    /**< No sync ends earlier, not even one that has begun. */
} virtual_disk_t;

void virtual_disks_start(void);
/** The disk that a process finds at its folder. */
virtual_disk_t *virtual_disk_of(const virtual_process_t *process);
/** After a loss of power: some first part of what was unsynced is there, or nothing. */
void virtual_disk_power_lost(virtual_disk_t *disk);
/** After the end of a process alone: what was written is there. */
void virtual_disk_process_ended(virtual_disk_t *disk);
void virtual_disk_lose(virtual_disk_t *disk);
/** Syncs that start within @p ms from now end after that. */
void virtual_disk_stall(virtual_disk_t *disk, uint64_t ms);
/** No sync ends within @p ms from now, also of those that have begun. */
void virtual_disk_hold(virtual_disk_t *disk, uint64_t ms);
/** Ends what virtual_disk_hold began, also for syncs that wait. */
void virtual_disk_release(virtual_disk_t *disk);

/** Faults of the simulated code, for the sweep's own test. */
void virtual_disks_acknowledge_early(bool on);
void virtual_disks_keep_identity(bool on);

#endif
