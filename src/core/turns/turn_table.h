/**
 * @file turn_table.h
 * The finished turns of conversations, as a tree: each names the turn it goes on from.
 * A turn never changes once written. A turn is kept for its retention time, and as long as a
 * turn that goes on from it, also if that one came first.
 *
 * Decision code: no I/O, clock or thread; times are in ms, of one clock (record_clock.h).
 */
#ifndef RUDDERWAY_CORE_TURNS_TURN_TABLE_H
#define RUDDERWAY_CORE_TURNS_TURN_TABLE_H

#include "core/digest/digest_buckets.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** One finished turn. */
typedef struct {
    char *id;
    char *parent;   /**< Id of the turn it goes on from; "" at the start of a conversation. */
    GBytes *input;  /**< What the caller sent with this turn. */
    GBytes *output; /**< What the engine made, as the next turn's prompt repeats it. */
    uint32_t retention_ms; /**< How long the turn is kept after it was last needed. */
    char *tenant; /**< Whose turn it is; "": nobody's, or written before turns had tenants. */
} turn_t;

/** What the table knows of a turn besides its content. */
typedef struct {
    turn_t turn;
    uint64_t expires_at;
    uint32_t segment; /**< Log segment that holds the turn; the owner's number. */
    uint16_t bucket;  /**< Of its id; see digest_buckets.h. */
} turn_entry_t;

typedef struct {
    GHashTable *entries;           /**< Turn id to turn_entry_t. */
    GHashTable *wanted_until;      /**< Id of a turn that is missing to the time until which turns
                                      that go on from it are kept, a uint64_t. */
    uint64_t bytes;                /**< Memory that the turns take, roughly. */
    GArray *segments_needed_until; /**< By segment number: time until which it is needed. */
    digest_buckets_t *buckets;     /**< Of all turns: what comes into the table is on disk. */
} turn_table_t;

void turn_clear(turn_t *turn);
/**
 * True if @p tenant may go on from the turn. Anybody may from a turn without a tenant: it is known
 * by an id that only its own caller was told.
 */
bool turn_belongs_to(const turn_t *turn, const char *tenant);
/** A copy that shares the bytes. */
void turn_copy(turn_t *copy, const turn_t *turn);

/** Memory that a turn takes in a table, roughly. */
uint64_t turn_memory_bytes(const turn_t *turn);

void turn_table_init(turn_table_t *table);
void turn_table_clear(turn_table_t *table);

/**
 * Adds a turn that stands in log segment @p segment and extends the time of the turns it goes on
 * from. False if the turn is known already; its time is extended then too.
 */
bool turn_table_add(turn_table_t *table, const turn_t *turn, uint32_t segment, uint64_t now);
const turn_t *turn_table_find(const turn_table_t *table, const char *id);
/** How long a turn of the table is kept yet, in ms; at least 1. */
uint32_t turn_table_time_left(const turn_table_t *table, const char *id, uint64_t now);
/** Removes the turns that have expired. */
void turn_table_expire(turn_table_t *table, uint64_t now);
/** True if no turn in @p segment is needed any more. */
bool turn_table_segment_unneeded(const turn_table_t *table, uint32_t segment, uint64_t now);
/** Says that something else in @p segment is needed until @p until. */
void turn_table_need_segment(turn_table_t *table, uint32_t segment, uint64_t until);

#endif
