/**
 * @file store_group.h
 * The storage nodes that hold turns and budgets, and the arithmetic of their quorums.
 *
 * Each record goes to every member and is acknowledged once `write_quorum` of them have it on
 * disk, a turn with one complete member among them; "there is no such record" takes
 * `absence_quorum` complete members. A group changes by a new generation, written to the key-value
 * service under a condition. A member is *complete* in a generation once it holds whatever was
 * acknowledged in the one before, or, if its disk came back empty, whatever it may itself have
 * acknowledged in this one.
 *
 * Decision code: no I/O, clock or thread.
 */
#ifndef RUDDERWAY_CORE_QUORUM_STORE_GROUP_H
#define RUDDERWAY_CORE_QUORUM_STORE_GROUP_H

#include "common/codec.h"

typedef struct {
    char *name;
    char *address; /**< "IP:PORT" for other nodes. */
    char *zone;
} store_member_t;

typedef struct {
    uint64_t generation; /**< 0: no group is known. */
    uint32_t target;     /**< Members that the group was founded with. */
    GArray *members;     /**< Of store_member_t, sorted by name. */
    GArray *previous;    /**< The members of the generation before; empty in the first. */
} store_group_t;

/** An empty list of store_member_t, which it owns. */
GArray *store_members_new(void);
store_group_t *store_group_new(void);
void store_group_free(store_group_t *group);
store_group_t *store_group_copy(const store_group_t *group);
void store_group_add(GArray *members, const char *name, const char *address, const char *zone);
const store_member_t *store_group_find(const GArray *members, const char *name);
/** The next generation, with the members of @p group as the previous ones and no member yet. */
store_group_t *store_group_next(const store_group_t *group);

/** How many of @p members copies make a write durable. */
unsigned store_write_quorum(unsigned members);
/** So many complete members hold together whatever the group acknowledged. */
unsigned store_read_quorum(unsigned members);
/**
 * How many complete members must lack a record before it does not exist. A majority: members that
 * have missed a change of the group may answer in the old generation, while a member that is
 * complete in the next one was shown the records of a read quorum of them, and those answer in the
 * old one no more. Of an even group a read quorum would be left over to deny what the next
 * generation acknowledged.
 */
unsigned store_absence_quorum(unsigned members);
/** How many complete members of a generation one copies from that was in none before. */
unsigned store_group_sources_needed(unsigned members);
/**
 * True if a turn is durable in the group's generation: @p copies members have it on disk, and
 * @p complete of these are complete in that generation. Without a complete one nobody in the
 * earlier generation need know of this one: after a loss of power two old members of three denied
 * a turn that two new ones held.
 */
bool store_turn_durable(unsigned members, unsigned copies, unsigned complete);

/** How a member becomes complete in its group's generation. */
typedef struct {
    const GArray *sources;       /**< Members to copy records from, itself left out. */
    unsigned needed;             /**< So many of them. */
    uint64_t source_complete_in; /**< Each complete in this generation or a later one. */
} store_catch_up_t;

/**
 * What @p name, complete in generation @p complete_in (0: never, or its disk was lost), must do.
 */
store_catch_up_t store_group_catch_up(const store_group_t *group, const char *name,
                                      uint64_t complete_in);

/** Encodes or decodes a group. */
void store_group_codec(codec_t *codec, store_group_t *group);
GBytes *store_group_encode(store_group_t *group);
/** NULL if @p data is not a group. */
store_group_t *store_group_decode(const void *data, size_t length);

#endif
