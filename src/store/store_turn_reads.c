/*
 * Sends turns to gateways, as chains, and to members that copy them. A response holds
 * RESPONSE_TURNS_MAX_BYTES of turns unless a single one is larger: turns of any size together would
 * exceed what a frame may hold, and the requester would ask for the same turns again and again.
 * What a response leaves out is requested again: of a chain, the gateway requests the first turn
 * that it lacks; of a copy, the response says how many of the requested turns it covers.
 */
#include "store/store.h"

enum {
    CHAIN_TURNS_MAX = 2000,
    /** Bounds the buffers of both sides; a link of 30 Mbit/s takes 0.3 s for it. */
    RESPONSE_TURNS_MAX_BYTES = 1024 * 1024,
};

/** A response under construction. */
typedef struct {
    const store_t *store;
    message_t message;
    uint64_t bytes; /**< Of its turns, estimated. */
    uint64_t max_bytes;
} turns_response_t;

static void begin_response(turns_response_t *response, const store_t *store,
                           const message_t *request, message_type_t type) {
    *response = (turns_response_t){.store = store, .max_bytes = RESPONSE_TURNS_MAX_BYTES};
    message_init(&response->message, type);
    response->message.number = request->number;
    response->message.generation = store->group->generation;
}

static void send_response(turns_response_t *response, frame_connection_t *connection) {
    frame_connection_send(connection, message_encode(&response->message));
    message_clear(&response->message);
}

/** Adds a copy that expires when the turn does here; false if it does not fit. */
static bool add_turn(turns_response_t *response, const turn_t *turn) {
    const store_t *store = response->store;
    uint64_t bytes = turn_memory_bytes(turn);
    if (response->bytes > 0 && response->bytes + bytes > response->max_bytes)
        return false;
    response->bytes += bytes;
    message_add_turn(&response->message, turn);
    GArray *turns = response->message.turns;
    g_array_index(turns, turn_t, turns->len - 1).retention_ms =
        turn_table_remaining_ms(&store->turns, turn->id, store_expiry_clock_ms(store));
    return true;
}

void store_send_chain(const store_t *store, frame_connection_t *connection,
                      const message_t *request) {
    turns_response_t response;
    begin_response(&response, store, request, RESPONSE_CHAIN);
    const turn_t *turn = turn_table_find(&store->turns, request->turn_id);
    if (turn == NULL)
        response.message.verdict = store_has_all_turns(store) ? VERDICT_NO : VERDICT_UNSURE;
    while (turn != NULL && response.message.turns->len < CHAIN_TURNS_MAX &&
           add_turn(&response, turn))
        turn = *turn->parent == '\0' ? NULL : turn_table_find(&store->turns, turn->parent);
    send_response(&response, connection);
}

void store_send_turns(const store_t *store, frame_connection_t *connection,
                      const message_t *request) {
    turns_response_t response;
    begin_response(&response, store, request, RESPONSE_TURNS);
    /* Earlier versions take what a response leaves out for removed. */
    if (request->number != TURNS_REQUEST_PIECES)
        response.max_bytes = UINT64_MAX;
    guint covered = 0;
    for (; covered < request->ids->len; covered++) {
        const turn_t *turn =
            turn_table_find(&store->turns, g_ptr_array_index(request->ids, covered));
        if (turn != NULL && !add_turn(&response, turn))
            break;
    }
    if (request->number == TURNS_REQUEST_PIECES)
        response.message.number = TURNS_REQUEST_PIECES + covered;
    send_response(&response, connection);
}
