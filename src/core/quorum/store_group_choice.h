/**
 * @file store_group_choice.h
 * Selects the members of the store group and the order in which spares replace them.
 *
 * Each record is written to every member, so the cost of a write grows with the group. The group
 * size therefore follows from the number of losses to tolerate, not from the number of storage
 * nodes. The remaining storage nodes are spares that replace failed members.
 *
 * Decision code: no I/O, clock or thread.
 */
#ifndef RUDDERWAY_CORE_QUORUM_STORE_GROUP_CHOICE_H
#define RUDDERWAY_CORE_QUORUM_STORE_GROUP_CHOICE_H

#include "core/quorum/store_group.h"

/** Group size that tolerates @p tolerated_losses while one more member is being replaced. */
unsigned store_group_size(unsigned tolerated_losses);
/** Size of the smallest group that tolerates @p tolerated_losses. */
unsigned store_group_minimum(unsigned tolerated_losses);

/**
 * Adds candidates to @p members until there are @p size or no more candidates: each from the zone
 * with the fewest members, by name within a zone, so that all nodes select the same members.
 * @param candidates Of store_member_t; existing members are skipped.
 */
void store_group_fill(GArray *members, const GArray *candidates, unsigned size);

/**
 * Number of spares among @p candidates that would join a group of @p members before @p name. The
 * first spare has rank 0.
 */
unsigned store_group_standby_rank(const GArray *members, const GArray *candidates,
                                  const char *name);

#endif
