#include "gateway/split.h"

typedef struct {
    guint parts;
    gint64 *credits;
} route_credits_t;

static void free_credits(gpointer data) {
    route_credits_t *route = data;
    g_free(route->credits);
    g_free(route);
}

GHashTable *split_state_new(void) {
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_credits);
}

static route_credits_t *get_or_create_credits(GHashTable *table, const route_t *route) {
    route_credits_t *credits = g_hash_table_lookup(table, route->name);
    if (credits != NULL && credits->parts == route->parts->len)
        return credits;
    credits = g_new0(route_credits_t, 1);
    credits->parts = route->parts->len;
    credits->credits = g_new0(gint64, route->parts->len);
    g_hash_table_replace(table, g_strdup(route->name), credits);
    return credits;
}

const char *split_next(GHashTable *table, const route_t *route) {
    if (route->parts->len == 1)
        return g_array_index(route->parts, route_part_t, 0).service;
    route_credits_t *credits = get_or_create_credits(table, route);
    gint64 total = 0;
    guint best = 0;
    for (guint i = 0; i < route->parts->len; i++) {
        gint64 weight = g_array_index(route->parts, route_part_t, i).weight;
        total += weight;
        credits->credits[i] += weight;
        if (credits->credits[i] > credits->credits[best])
            best = i;
    }
    credits->credits[best] -= total;
    return g_array_index(route->parts, route_part_t, best).service;
}
