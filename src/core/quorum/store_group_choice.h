/**
 * @file store_group_choice.h
 * Which storage nodes belong to the store group, and in which order the others stand by.
 *
 * Each record goes to every member, so a group of all storage nodes costs more the more there are
 * and holds no better than one of a few: the group has a size that follows from the losses it must
 * stand. The other storage nodes stand by to take the place of a member that is gone.
 *
 * Decision code: no I/O, clock or thread.
 */
#ifndef RUDDERWAY_CORE_QUORUM_STORE_GROUP_CHOICE_H
#define RUDDERWAY_CORE_QUORUM_STORE_GROUP_CHOICE_H

#include "core/quorum/store_group.h"

/** How many members stand @p tolerated_losses at once, with one of them being replaced besides. */
unsigned store_group_size(unsigned tolerated_losses);

/**
 * Adds candidates to @p members until there are @p size or no more candidates: each from the zone
 * with the fewest members, by name within a zone, so that all nodes choose alike.
 * @param candidates Of store_member_t; those that are members already are passed over.
 */
void store_group_fill(GArray *members, const GArray *candidates, unsigned size);

/**
 * How many of @p candidates would be taken before @p name into a group of @p members. The first
 * that stands by has rank 0.
 */
unsigned store_group_standby_rank(const GArray *members, const GArray *candidates,
                                  const char *name);

#endif
