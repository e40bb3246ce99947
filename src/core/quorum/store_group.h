/**
 * @file store_group.h
 * The group of storage nodes that replicate turns and budgets, and its quorum sizes.
 *
 * The group changes by a new generation, written to the key-value service with a compare-and-swap.
 * A member is *complete* in a generation once it holds everything that was acknowledged in the
 * previous one or, if it restarted with an empty disk, everything that it may itself have
 * acknowledged in the current one.
 *
 * Each record is sent to every member and acknowledged once `write_quorum` of them have it on
 * disk; for a turn at least one of these must be complete, or a write quorum of the previous
 * generation must be among them. A record is reported as absent only if `absence_quorum` complete
 * members lack it.
 *
 * Decision code: no I/O, clock or thread.
 */
#ifndef RUDDERWAY_CORE_QUORUM_STORE_GROUP_H
#define RUDDERWAY_CORE_QUORUM_STORE_GROUP_H

#include "common/codec.h"

typedef struct {
    char *name;
    char *address; /**< "IP:PORT" at which other nodes reach it. */
    char *zone;
} store_member_t;

typedef struct {
    uint64_t generation; /**< 0: the group is unknown. */
    uint32_t target;     /**< Number of members that the group should have. */
    GArray *members;     /**< Of store_member_t, sorted by name. */
    GArray *previous;    /**< Members of the previous generation; empty in the first. */
} store_group_t;

/** An empty array of store_member_t that frees its elements. */
GArray *store_members_new(void);
store_group_t *store_group_new(void);
void store_group_free(store_group_t *group);
store_group_t *store_group_copy(const store_group_t *group);
void store_group_add(GArray *members, const char *name, const char *address, const char *zone);
const store_member_t *store_group_find(const GArray *members, const char *name);
/** The next generation: without members, and with those of @p group as `previous`. */
store_group_t *store_group_next(const store_group_t *group);

/** Number of copies on disk that make a write durable in a group of @p members. */
unsigned store_write_quorum(unsigned members);
/** Number of complete members that together hold every acknowledged record. */
unsigned store_read_quorum(unsigned members);
/**
 * Number of complete members that must lack a record for it to be reported as absent: a majority.
 * Members that missed a change of the group still respond for the old generation and lack what the
 * next one acknowledged. Once a member is complete in the next generation, a read quorum of the old
 * one no longer responds for the old one. In a group of even size, the members that still do can be
 * as many as a read quorum, but not a majority.
 */
unsigned store_absence_quorum(unsigned members);
/** Number of complete members that a member with an empty disk must copy from. */
unsigned store_group_sources_needed(unsigned members);
/** The members of the group that have confirmed a turn. */
typedef struct {
    unsigned copies;   /**< All of them: they have it on disk or in the key-value service. */
    unsigned complete; /**< Those that are complete in the group's generation. */
    unsigned previous; /**< Those that were members of the previous generation too. */
} store_turn_copies_t;

/**
 * True if a turn is durable in the group's generation: a write quorum has confirmed it, and the
 * previous generation can't report it as absent. Before any member is complete, an absence quorum
 * of the previous generation may not know of the new one, or may forget it with its power; the turn
 * then needs a write quorum of the previous generation as well.
 */
bool store_turn_durable(const store_group_t *group, const store_turn_copies_t *turn);

/** How a member becomes complete in its group's generation. */
typedef struct {
    const GArray *sources; /**< Members to copy records from; the member itself is skipped. */
    unsigned needed;       /**< Number of sources to copy from. */
    uint64_t min_source_generation; /**< Minimum generation in which a source must be complete. */
    bool left_last; /**< Sources that are no members any more only if the others don't suffice. */
} store_catch_up_plan_t;

/**
 * What member @p name must copy to become complete. @p complete_generation: generation in which it
 * was last complete; 0: never, or its disk was lost. @p joined_generation: generation that made it
 * a member while its disk was in use; 0: none, or its disk was lost since. All that was
 * acknowledged before is with the previous members, also with one that has left.
 */
store_catch_up_plan_t store_group_catch_up(const store_group_t *group, const char *name,
                                           uint64_t complete_generation,
                                           uint64_t joined_generation);

/**
 * What a complete member must compare with others to hold every acknowledged record: with itself a
 * read quorum of its generation.
 */
store_catch_up_plan_t store_group_reconcile(const store_group_t *group);

void store_group_codec(codec_t *codec, store_group_t *group);
GBytes *store_group_encode(store_group_t *group);
/** NULL if @p data is not a valid encoding. */
store_group_t *store_group_decode(const void *data, size_t length);

#endif
