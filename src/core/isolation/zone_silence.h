/**
 * @file zone_silence.h
 * Whether a gateway's zone is cut off from the others.
 *
 * The sign is silence from all other zones at once, while storage nodes or gateways of the own zone
 * still answer, or nobody at all does. One silent member says nothing: it may have ended. Once a
 * zone is found cut off it stays so until a quorum of storage nodes has been heard again for a
 * while, so that a link that opens through a neighbour behind the same cut changes nothing.
 *
 * Decision code: no I/O, clock or thread; an object belongs to one thread. Times are ms of the
 * caller's steady clock.
 */
#ifndef RUDDERWAY_CORE_ISOLATION_ZONE_SILENCE_H
#define RUDDERWAY_CORE_ISOLATION_ZONE_SILENCE_H

#include <stdbool.h>
#include <stdint.h>

/** One storage node of the group, as heard on the gateway's own connection to it. */
typedef struct {
    bool near;         /**< In the gateway's zone. */
    uint64_t heard_at; /**< The latest answer; a connection that opens is none. */
    uint64_t asked_at; /**< The oldest question that it has not answered; 0: none. */
} zone_member_t;

typedef struct {
    bool cut;
    uint64_t since;       /**< Since when it is cut off, or heard again. */
    uint64_t heard_since; /**< While cut: a quorum is heard since then; 0: it is not. */
} zone_silence_t;

typedef enum {
    ZONE_SILENCE_NOTHING,
    ZONE_SILENCE_ASK, /**< Ask all members for a word now. */
} zone_silence_step_t;

/**
 * Looks at the members; sets silence->cut. @p quorum: members that a write needs. @p waiting: some
 * operation has waited longer than usual for a quorum, or a neighbour has said that it hears none.
 */
zone_silence_step_t zone_silence_look(zone_silence_t *silence, const zone_member_t *members,
                                      unsigned count, unsigned quorum, bool waiting, uint64_t now);

#endif
