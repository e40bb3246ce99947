#include "store/program_places.h"

/** Programs known at most; beyond it nothing new is noted. */
enum { PLACES_MAXIMUM = 200000 };

typedef struct {
    uint64_t backend;
    uint64_t noted_at;
} program_place_t;

void program_places_init(program_places_t *places) {
    places->places = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void program_places_clear(program_places_t *places) {
    g_hash_table_destroy(places->places);
}

void program_places_note(program_places_t *places, const char *program, uint64_t backend,
                         uint64_t now) {
    program_place_t *place = g_hash_table_lookup(places->places, program);
    if (place == NULL) {
        if (g_hash_table_size(places->places) >= PLACES_MAXIMUM)
            return;
        place = g_new0(program_place_t, 1);
        g_hash_table_insert(places->places, g_strdup(program), place);
    }
    place->backend = backend;
    place->noted_at = now;
}

uint64_t program_places_find(const program_places_t *places, const char *program) {
    const program_place_t *place = g_hash_table_lookup(places->places, program);
    return place == NULL ? 0 : place->backend;
}

void program_places_expire(program_places_t *places, uint64_t before) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, places->places);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        if (((const program_place_t *)value)->noted_at < before)
            g_hash_table_iter_remove(&iterator);
}
