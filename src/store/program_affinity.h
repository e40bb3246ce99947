/**
 * @file program_affinity.h
 * Cache affinity of programs: the back end at which each program last ran, as reported by gateways.
 * Its prompt is cached there. A hint kept in memory only: losing an entry costs one prompt prefill.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_STORE_PROGRAM_AFFINITY_H
#define RUDDERWAY_STORE_PROGRAM_AFFINITY_H

#include <glib.h>
#include <stdint.h>

typedef struct {
    GHashTable *entries; /**< By program id. */
} program_affinity_t;

void program_affinity_init(program_affinity_t *affinity);
void program_affinity_clear(program_affinity_t *affinity);
/** Records that @p program runs at back end @p backend (hash of its instance); times in ms. */
void program_affinity_record(program_affinity_t *affinity, const char *program, uint64_t backend,
                             uint64_t now);
/** The program's last back end; 0 if none is recorded. */
uint64_t program_affinity_find(const program_affinity_t *affinity, const char *program);
/** Removes entries that were last updated before @p before. */
void program_affinity_expire(program_affinity_t *affinity, uint64_t before);

#endif
