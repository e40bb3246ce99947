#include "core/turns/space_reservations.h"

/**
 * Weight of the latest call in the exponentially weighted moving average: a change of turn sizes
 * takes effect after some 16 calls.
 */
static const double MEAN_WEIGHT = 1.0 / 16;

typedef struct {
    char *call;
    uint64_t started_at;
    uint64_t known_bytes;
} reservation_t;

static void free_reservation(gpointer data) {
    reservation_t *reservation = data;
    g_free(reservation->call);
    g_free(reservation);
}

void space_reservations_init(space_reservations_t *reservations) {
    reservations->calls = g_hash_table_new(g_str_hash, g_str_equal);
    g_queue_init(&reservations->order);
    reservations->mean_bytes = 0;
    reservations->completed = 0;
    reservations->known_bytes = 0;
}

void space_reservations_clear(space_reservations_t *reservations) {
    g_hash_table_destroy(reservations->calls);
    g_queue_clear_full(&reservations->order, free_reservation);
}

void space_reservations_add(space_reservations_t *reservations, const char *call, uint64_t now) {
    space_reservations_add_large(reservations, call, 0, now);
}

uint64_t space_reservations_known_bytes(const space_reservations_t *reservations,
                                        const char *call) {
    const GList *link = g_hash_table_lookup(reservations->calls, call);
    return link == NULL ? 0 : ((const reservation_t *)link->data)->known_bytes;
}

void space_reservations_add_large(space_reservations_t *reservations, const char *call,
                                  uint64_t bytes, uint64_t now) {
    if (g_hash_table_contains(reservations->calls, call))
        return;
    reservation_t *reservation = g_new0(reservation_t, 1);
    reservation->call = g_strdup(call);
    reservation->started_at = now;
    reservation->known_bytes = bytes;
    reservations->known_bytes += bytes;
    g_queue_push_tail(&reservations->order, reservation);
    g_hash_table_insert(reservations->calls, reservation->call, reservations->order.tail);
}

static void remove_reservation(space_reservations_t *reservations, GList *link) {
    reservation_t *reservation = link->data;
    reservations->known_bytes -= reservation->known_bytes;
    g_hash_table_remove(reservations->calls, reservation->call);
    g_queue_delete_link(&reservations->order, link);
    free_reservation(reservation);
}

void space_reservations_cancel(space_reservations_t *reservations, const char *call) {
    GList *link = g_hash_table_lookup(reservations->calls, call);
    if (link != NULL)
        remove_reservation(reservations, link);
}

void space_reservations_complete(space_reservations_t *reservations, const char *call,
                                 uint64_t turn_bytes) {
    GList *link = g_hash_table_lookup(reservations->calls, call);
    if (link == NULL)
        return;
    remove_reservation(reservations, link);
    double bytes = (double)turn_bytes;
    double weight = reservations->completed == 0 ? 1 : MEAN_WEIGHT;
    reservations->mean_bytes += weight * (bytes - reservations->mean_bytes);
    reservations->completed++;
}

void space_reservations_expire(space_reservations_t *reservations, uint64_t now) {
    while (reservations->order.head != NULL) {
        const reservation_t *oldest = reservations->order.head->data;
        if (oldest->started_at + SPACE_RESERVATION_TIMEOUT_MS > now)
            return;
        remove_reservation(reservations, reservations->order.head);
    }
}

uint64_t space_reservations_bytes(const space_reservations_t *reservations, uint64_t initial_mean) {
    double mean = reservations->completed == 0 ? (double)initial_mean : reservations->mean_bytes;
    return reservations->known_bytes +
           (uint64_t)(mean * g_queue_get_length((GQueue *)&reservations->order));
}
