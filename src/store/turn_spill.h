/**
 * @file turn_spill.h
 * Turns that the disk does not finish in time, kept in the key-value service until it does.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_STORE_TURN_SPILL_H
#define RUDDERWAY_STORE_TURN_SPILL_H

#include "cluster/process_settings.h"
#include "core/turns/turn_table.h"

#include <uv.h>

typedef struct turn_spill turn_spill_t;
/** A turn from the start of its write until the disk has it. */
typedef struct spilled_turn spilled_turn_t;

typedef struct {
    /** The service has the turn: it is durable before the disk has it. */
    void (*on_spilled)(void *owner);
    /** The turn is to be written to disk: a write has failed, or it was read back. */
    void (*on_rewrite_due)(void *owner);
    /**
     * A turn of an earlier run of this node was read back; returns the owner of @p spilled, or NULL
     * if the disk has the turn.
     */
    void *(*on_read)(void *user, const turn_t *turn, spilled_turn_t *spilled);
} turn_spill_handler_t;

turn_spill_t *turn_spill_new(uv_loop_t *loop, const process_settings_t *settings,
                             const turn_spill_handler_t *handler, void *user);
/** Reads back what earlier runs of this node spilled; not called if there can be nothing. */
void turn_spill_read(turn_spill_t *spill);
/** False while turns that this node has confirmed may be in the service only, still to be read. */
bool turn_spill_complete(const turn_spill_t *spill);
/** The write of @p turn, which stays valid until turn_spill_write_ended, has begun. */
spilled_turn_t *turn_spill_add(turn_spill_t *spill, const turn_t *turn, void *owner);
/**
 * The write has ended. Returns true, and frees @p turn, if the write is over: on the disk, or
 * failed before the turn was sent to the service. Otherwise on_rewrite_due follows.
 */
bool turn_spill_write_ended(turn_spill_t *spill, spilled_turn_t *turn, bool on_disk);
/** Removes all of this node's turns from the service: the node has left its group. */
void turn_spill_discard(turn_spill_t *spill);
/** True if the service has none of this node's turns. */
bool turn_spill_empty(const turn_spill_t *spill);
/** Number of turns that were confirmed from the service since the start. */
uint64_t turn_spill_count(const turn_spill_t *spill);

#endif
