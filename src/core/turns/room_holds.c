#include "core/turns/room_holds.h"

/** Share of one more call in the moving mean: a change of sizes counts after some 16 calls. */
static const double MEAN_WEIGHT = 1.0 / 16;

typedef struct {
    char *call;
    uint64_t begun_at;
} hold_t;

static void free_hold(gpointer data) {
    hold_t *hold = data;
    g_free(hold->call);
    g_free(hold);
}

void room_holds_init(room_holds_t *holds) {
    holds->calls = g_hash_table_new(g_str_hash, g_str_equal);
    g_queue_init(&holds->order);
    holds->mean_bytes = 0;
    holds->ended = 0;
}

void room_holds_clear(room_holds_t *holds) {
    g_hash_table_destroy(holds->calls);
    g_queue_clear_full(&holds->order, free_hold);
}

void room_holds_begin(room_holds_t *holds, const char *call, uint64_t now) {
    if (g_hash_table_contains(holds->calls, call))
        return;
    hold_t *hold = g_new0(hold_t, 1);
    hold->call = g_strdup(call);
    hold->begun_at = now;
    g_queue_push_tail(&holds->order, hold);
    g_hash_table_insert(holds->calls, hold->call, holds->order.tail);
}

static void remove_link(room_holds_t *holds, GList *link) {
    hold_t *hold = link->data;
    g_hash_table_remove(holds->calls, hold->call);
    g_queue_delete_link(&holds->order, link);
    free_hold(hold);
}

void room_holds_cancel(room_holds_t *holds, const char *call) {
    GList *link = g_hash_table_lookup(holds->calls, call);
    if (link != NULL)
        remove_link(holds, link);
}

void room_holds_end(room_holds_t *holds, const char *call, uint64_t turn_bytes) {
    GList *link = g_hash_table_lookup(holds->calls, call);
    if (link == NULL)
        return;
    remove_link(holds, link);
    double bytes = (double)turn_bytes;
    double weight = holds->ended == 0 ? 1 : MEAN_WEIGHT;
    holds->mean_bytes += weight * (bytes - holds->mean_bytes);
    holds->ended++;
}

void room_holds_expire(room_holds_t *holds, uint64_t now) {
    while (holds->order.head != NULL) {
        const hold_t *oldest = holds->order.head->data;
        if (oldest->begun_at + ROOM_HOLD_MS > now)
            return;
        remove_link(holds, holds->order.head);
    }
}

uint64_t room_holds_bytes(const room_holds_t *holds, uint64_t mean_before) {
    double mean = holds->ended == 0 ? (double)mean_before : holds->mean_bytes;
    return (uint64_t)(mean * g_queue_get_length((GQueue *)&holds->order));
}
