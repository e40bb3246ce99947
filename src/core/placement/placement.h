/**
 * @file placement.h
 * Which nodes keep a copy of a partition: voters spread over zones first, then machines, by
 * rendezvous hashing, with as little movement as possible. Decision code: no I/O or clock.
 */
#ifndef RUDDERWAY_CORE_PLACEMENT_PLACEMENT_H
#define RUDDERWAY_CORE_PLACEMENT_PLACEMENT_H

#include "core/membership/membership.h"

enum { PLACEMENT_PROGRAM_SEPARATOR = '~' };

/** The partition of @p program; a sub-agent shares the partition of its root program. */
uint32_t placement_partition(const char *program, uint32_t partition_count);

/** Fills @p chosen with up to @p count live members for @p partition; returns how many. */
uint32_t placement_choose(uint32_t partition, const GPtrArray *members, uint32_t count,
                          instance_id_t *chosen);

typedef enum {
    PLACEMENT_KEEP,
    PLACEMENT_ADD_LEARNER,
    PLACEMENT_PROMOTE,
    PLACEMENT_REMOVE,
} placement_action_t;

typedef struct {
    placement_action_t action;
    instance_id_t member;
} placement_change_t;

/**
 * The next single change that brings @p configuration to @p voter_target live voters, spread
 * over zones. A lost or leaving voter is replaced before it is removed. If no
 * live node is left to replace it, a leaving one is removed all the same, and a lost one stays.
 */
placement_change_t placement_next_change(uint32_t partition, const GPtrArray *members,
                                         const raft_configuration_t *configuration,
                                         uint32_t voter_target);

#endif
