/**
 * @file program_places.h
 * The back end at which each program last ran, as gateways told it: there its prompt is cached. A
 * hint, in memory only: a program whose place is forgotten costs one reading of its prompt.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_STORE_PROGRAM_PLACES_H
#define RUDDERWAY_STORE_PROGRAM_PLACES_H

#include <glib.h>
#include <stdint.h>

typedef struct {
    GHashTable *places; /**< Program id to its place. */
} program_places_t;

void program_places_init(program_places_t *places);
void program_places_clear(program_places_t *places);
/** Notes that @p program runs at back end @p backend (hash of its instance); times are ms. */
void program_places_note(program_places_t *places, const char *program, uint64_t backend,
                         uint64_t now);
/** 0 if none is known. */
uint64_t program_places_find(const program_places_t *places, const char *program);
/** Forgets programs of which nothing was told since @p before. */
void program_places_expire(program_places_t *places, uint64_t before);

#endif
