/**
 * @file zone_silence.h
 * Whether a gateway's zone is cut off from the others.
 *
 * The sign is silence from the storage nodes of all other zones at once, while one of the own zone
 * still answers. One silent member says nothing: it may have ended. Where nobody answers at all,
 * all may have lost their power, and other gateways are no better: that is not decided here. Once
 * a zone is found cut off it stays so until a quorum of storage nodes has been heard again for a
 * while, so that a link that opens through a neighbour behind the same cut changes nothing.
 *
 * Members are asked only while something waits for a quorum of which nothing was heard. Before the
 * zone is found cut off, connections are made anew once: a single gateway that is cut off goes on
 * through a neighbour. A process that stood still hears late itself: what it has missed by then
 * counts for nothing.
 *
 * Decision code: no I/O, clock or thread; an object belongs to one thread. Times are ms of the
 * caller's steady clock.
 */
#ifndef RUDDERWAY_CORE_ISOLATION_ZONE_SILENCE_H
#define RUDDERWAY_CORE_ISOLATION_ZONE_SILENCE_H

#include <stdbool.h>
#include <stdint.h>

enum {
    /**
     * An operation that waits for so long is later than usual. A quorum answers within some ms, a
     * reserve that is written first within the time of a disk; asking needs no disk.
     */
    ZONE_WAIT_MS = 75,
    ZONE_LOOK_MS = 50,       /**< Between two looks while in doubt or cut off. */
    ZONE_ASK_AGAIN_MS = 100, /**< Between two rounds of questions. */
    ZONE_RECONNECT_MS = 150, /**< Unanswered for so long: try another way. */
    /** Unanswered for so long by all other zones: cut off. Leaves the other way time to answer. */
    ZONE_CUT_MS = 300,
    ZONE_HEARD_MS = 300,     /**< A quorum must be heard for so long to end it. */
    ZONE_LOOK_LATE_MS = 250, /**< A look that comes so late: the process stood still. */
    /** Within this a doubt is over, or it is not about the zone. */
    ZONE_DOUBT_MOST_MS = ZONE_CUT_MS + 2 * ZONE_LOOK_MS,
};

/** One storage node of the group, as heard over whichever way. */
typedef struct {
    bool near;         /**< In the gateway's zone. */
    uint64_t heard_at; /**< The latest answer; a connection that opens is none. */
    uint64_t asked_at; /**< The oldest question that it has not answered; 0: none. */
} zone_member_t;

typedef struct {
    bool cut;
    uint64_t since;       /**< Since when it is cut off, or heard again. */
    uint64_t heard_since; /**< While cut: a quorum is heard since then; 0: it is not. */
    uint64_t doubt_since; /**< Since when something waits in vain; 0: nothing does. */
    uint64_t asked_at;    /**< The latest round of questions in this doubt, or while cut. */
    uint64_t looked_at;
    bool reconnected; /**< In this doubt. */
} zone_silence_t;

typedef enum {
    ZONE_SILENCE_NOTHING,
    ZONE_SILENCE_ASK,       /**< Ask all members for a word now. */
    ZONE_SILENCE_RECONNECT, /**< End connections on which nothing is heard, and ask. */
} zone_silence_step_t;

/**
 * Looks at the members; sets silence->cut. @p quorum: members that a write needs. @p waiting: some
 * operation has waited for a quorum for ZONE_WAIT_MS, or none is connected, or a neighbour has said
 * that it hears none. To be called every ZONE_LOOK_MS while in doubt or cut off.
 */
zone_silence_step_t zone_silence_look(zone_silence_t *silence, const zone_member_t *members,
                                      unsigned count, unsigned quorum, bool waiting, uint64_t now);
/** True while it is not yet known whether the zone is cut off. */
bool zone_silence_in_doubt(const zone_silence_t *silence, uint64_t now);

#endif
