#include "core/turns/room_holds.h"

/** Weight of the latest call in the exponentially weighted moving average. */
static const double MEAN_WEIGHT = 1.0 / 16;

typedef struct {
    char *call;
    uint64_t started_at;
} reservation_t;

static void free_reservation(gpointer data) {
    reservation_t *reservation = data;
    g_free(reservation->call);
    g_free(reservation);
}

void room_holds_init(room_holds_t *holds) {
    holds->calls = g_hash_table_new(g_str_hash, g_str_equal);
    g_queue_init(&holds->order);
    holds->mean_bytes = 0;
    holds->completed = 0;
}

void room_holds_clear(room_holds_t *holds) {
    g_hash_table_destroy(holds->calls);
    g_queue_clear_full(&holds->order, free_reservation);
}

void room_holds_begin(room_holds_t *holds, const char *call, uint64_t now) {
    if (g_hash_table_contains(holds->calls, call))
        return;
    reservation_t *reservation = g_new0(reservation_t, 1);
    reservation->call = g_strdup(call);
    reservation->started_at = now;
    g_queue_push_tail(&holds->order, reservation);
    g_hash_table_insert(holds->calls, reservation->call, holds->order.tail);
}

static void remove_reservation(room_holds_t *holds, GList *link) {
    reservation_t *reservation = link->data;
    g_hash_table_remove(holds->calls, reservation->call);
    g_queue_delete_link(&holds->order, link);
    free_reservation(reservation);
}

void room_holds_cancel(room_holds_t *holds, const char *call) {
    GList *link = g_hash_table_lookup(holds->calls, call);
    if (link != NULL)
        remove_reservation(holds, link);
}

void room_holds_end(room_holds_t *holds, const char *call, uint64_t turn_bytes) {
    GList *link = g_hash_table_lookup(holds->calls, call);
    if (link == NULL)
        return;
    remove_reservation(holds, link);
    double bytes = (double)turn_bytes;
    double weight = holds->completed == 0 ? 1 : MEAN_WEIGHT;
    holds->mean_bytes += weight * (bytes - holds->mean_bytes);
    holds->completed++;
}

void room_holds_expire(room_holds_t *holds, uint64_t now) {
    while (holds->order.head != NULL) {
        const reservation_t *oldest = holds->order.head->data;
        if (oldest->started_at + ROOM_HOLD_MS > now)
            return;
        remove_reservation(holds, holds->order.head);
    }
}

uint64_t room_holds_bytes(const room_holds_t *holds, uint64_t mean_before) {
    double mean = holds->completed == 0 ? (double)mean_before : holds->mean_bytes;
    return (uint64_t)(mean * g_queue_get_length((GQueue *)&holds->order));
}
