/**
 * @file program_places.h
 * Cache affinity of programs: the back end at which each program last ran, as reported by gateways.
 * Its prompt is cached there. A hint kept in memory only: losing an entry costs one prompt prefill.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_STORE_PROGRAM_PLACES_H
#define RUDDERWAY_STORE_PROGRAM_PLACES_H

#include <glib.h>
#include <stdint.h>

typedef struct {
    GHashTable *entries; /**< By program id. */
} program_places_t;

void program_places_init(program_places_t *affinity);
void program_places_clear(program_places_t *affinity);
/** Records that @p program runs at back end @p backend (hash of its instance); times in ms. */
void program_places_note(program_places_t *affinity, const char *program, uint64_t backend,
                         uint64_t now);
/** The program's last back end; 0 if none is recorded. */
uint64_t program_places_find(const program_places_t *affinity, const char *program);
/** Removes entries that were last updated before @p before. */
void program_places_expire(program_places_t *affinity, uint64_t before);

#endif
