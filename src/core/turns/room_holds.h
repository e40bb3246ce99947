/**
 * @file room_holds.h
 * The room that a storage node holds for turns that have begun. A call that has reserved part of
 * its budget may bring a turn once the engine has made it; until then the turn takes no room that
 * can be counted, and calls that are told about room at the same time would be told of the same
 * room. How large the turn will be is not known: it counts with the mean of those before it.
 *
 * Decision code: no I/O, clock or thread; times are in ms of one clock.
 */
#ifndef RUDDERWAY_CORE_TURNS_ROOM_HOLDS_H
#define RUDDERWAY_CORE_TURNS_ROOM_HOLDS_H

#include <glib.h>
#include <stdint.h>

/**
 * A call that has neither brought a turn nor been settled is forgotten after so long, in ms: its
 * gateway has ended. What it brings later is taken all the same while there is room.
 */
enum { ROOM_HOLD_MS = 60000 };

typedef struct {
    GHashTable *calls; /**< Call id to its link in the order. */
    GQueue order;      /**< Of one hold a call, oldest first. */
    double mean_bytes; /**< Moving mean of what calls have brought. */
    uint64_t ended;    /**< Calls that the mean is of. */
} room_holds_t;

void room_holds_init(room_holds_t *holds);
void room_holds_clear(room_holds_t *holds);
/** Holds room for the turn of @p call; one that is held already stays as it is. */
void room_holds_begin(room_holds_t *holds, const char *call, uint64_t now);
/** The call has brought a turn of so many bytes, or has ended without one: 0. */
void room_holds_end(room_holds_t *holds, const char *call, uint64_t turn_bytes);
/** The call was not run: what it would have brought says nothing on others. */
void room_holds_cancel(room_holds_t *holds, const char *call);
/** Forgets calls that began ROOM_HOLD_MS ago or earlier. */
void room_holds_expire(room_holds_t *holds, uint64_t now);
/** Bytes held for all calls; @p mean_before is the mean to use until a call has ended. */
uint64_t room_holds_bytes(const room_holds_t *holds, uint64_t mean_before);

#endif
