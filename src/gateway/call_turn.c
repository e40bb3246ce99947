/*
 * Design. A turn's most is reserved before the turn is sent: at the storage nodes' word the turn
 * goes out, and its first piece waits for the word that the reserve is on disk, so that the
 * disk's time hides behind the engine's. What the turn made is settled when it ends, whatever
 * way it ends; only if this gateway dies does the reserve stand.
 *
 * A turn that others may go on from ends for its caller only when it is on enough disks. If that
 * can't be had in time, the stream ends without its end. The storage nodes say with the reserve
 * whether they have room for a turn, so that one which can't be kept is refused before an engine
 * has made it.
 */
#include "gateway/call.h"

#include "common/event.h"

#include <stdlib.h>
#include <string.h>

enum {
    STATUS_PAYMENT_REQUIRED = 402,
    STATUS_NOT_FOUND = 404,
    STATUS_UNAVAILABLE = 503,
};

void call_turn_send_if_ready(call_t *call) {
    const call_turn_t *turn = &call->turn;
    bool ready = turn->prompt_ready && (!turn->counted || turn->granted);
    if (ready && call_quota_ready(call))
        call_send(call);
}

/* The program's budget. */

static const char *const verdict_names[VERDICT_COUNT] = {"granted", "refused", "unsure"};

static void on_reserve_verdict(void *owner, verdict_t verdict, const GArray *turns) {
    call_t *call = owner;
    (void)turns;
    event_log(GATEWAY_RESERVE, call->id, call->program, call->turn.most, verdict_names[verdict]);
    bool room = verdict != VERDICT_UNSURE || store_operation_has_room(call->turn.reserve);
    if (verdict != VERDICT_YES)
        call->turn.reserve = NULL;
    if (!room) {
        call_refuse(call, STATUS_UNAVAILABLE, CALL_NO_ROOM);
        return;
    }
    if (verdict != VERDICT_UNSURE)
        outage_end(&call->gateway->store_outage);
    if (verdict == VERDICT_YES) {
        call->turn.granted = true;
        call->place = store_operation_place(call->turn.reserve);
        call->turn.begun = store_operation_begun(call->turn.reserve);
        call_turn_send_if_ready(call);
        return;
    }
    if (verdict == VERDICT_UNSURE) {
        call_refuse(call, STATUS_UNAVAILABLE, CALL_BUDGET_UNSURE);
        return;
    }
    call->gateway->counters.over_budget++;
    call_refuse(call, STATUS_PAYMENT_REQUIRED, CALL_OVER_BUDGET);
}

static void on_reserve_durable(void *owner, bool durable) {
    call_t *call = owner;
    call->turn.reserve = NULL;
    if (!durable) {
        call_fail(call, CALL_BUDGET_NOT_DURABLE);
        return;
    }
    call->turn.durable = true;
    if (call->streaming && call->body->len > 0)
        call_pass_events(call);
    if (call->turn.stream_ended)
        call_turn_stream_ended(call);
}

static const store_operation_handler_t reserve_handler = {on_reserve_verdict, on_reserve_durable};

/** Reads "PROMPT,MOST"; false if @p text is not that. */
static bool parse_most(const char *text, uint64_t *most) {
    const char *comma = text == NULL ? NULL : strchr(text, ',');
    if (comma == NULL)
        return false;
    char *end;
    *most = strtoull(comma + 1, &end, 10);
    return end != comma + 1;
}

static void note_counted(call_t *call) {
    call->turn.counted = call->route->kind == CALL_STREAM && call->program != NULL &&
                         call_field(call, FIELD_BUDGET) != NULL &&
                         parse_most(call_field(call, FIELD_TOKENS), &call->turn.most);
}

/** While it is being found out whether the zone is cut off, an operation waits for that. */
static bool may_ask_stores(store_client_t *stores) {
    return store_client_connected(stores) || store_client_in_doubt(stores);
}

bool call_turn_refuse_if_cut(call_t *call) {
    note_counted(call);
    bool needs_stores = call->turn.counted || call->route->keeps_turns;
    if (!needs_stores || call->gateway->zone_cut_since == 0)
        return false;
    call_refuse(call, STATUS_UNAVAILABLE,
                call->turn.counted ? CALL_BUDGET_UNSURE : CALL_TURN_UNSURE);
    return true;
}

/** Asks for the reserve; false if the call has ended. */
static bool begin_reserve(call_t *call) {
    if (!call->turn.counted)
        return true;
    const char *budget = call_field(call, FIELD_BUDGET);
    store_client_t *stores = call->gateway->stores;
    if (!may_ask_stores(stores)) {
        call_refuse(call, STATUS_UNAVAILABLE, CALL_BUDGET_UNSURE);
        return false;
    }
    call->turn.reserved = true;
    call->turn.reserve = store_client_reserve(stores, call->program, call->id, call->turn.most,
                                              strtoull(budget, NULL, 10), call->route->keeps_turns,
                                              &reserve_handler, call);
    return true;
}

/* The turns before this one. */

static void assemble_prompt(call_t *call);

/** To a caller it is as if there were no such turn; a key may just have changed hands, though. */
static void refuse_other_tenants_turn(call_t *call) {
    if (gateway_directory_current(call->gateway))
        call_refuse(call, STATUS_NOT_FOUND, CALL_OTHER_TENANT);
    else
        call_refuse(call, STATUS_UNAVAILABLE, CALL_NO_CONFIGURATION);
}

static void on_chain_verdict(void *owner, verdict_t verdict, const GArray *turns) {
    call_t *call = owner;
    call->turn.chain = NULL;
    if (verdict == VERDICT_YES) {
        for (guint i = 0; i < turns->len; i++)
            chain_cache_add(&call->gateway->chains, &g_array_index(turns, turn_t, i));
        assemble_prompt(call);
        return;
    }
    /* Of a turn that exists, those before it do too, even if they can't be found now. */
    bool named = g_strcmp0(call->turn.missing, call_field(call, FIELD_PREVIOUS_TURN)) == 0;
    if (verdict == VERDICT_NO && named)
        call_refuse(call, STATUS_NOT_FOUND, CALL_NO_SUCH_TURN);
    else
        call_refuse(call, STATUS_UNAVAILABLE, CALL_TURN_UNSURE);
}

static const store_operation_handler_t chain_handler = {on_chain_verdict, NULL};

/** The name of the call's tenant; "" without one. */
static const char *tenant_name(const call_t *call) {
    return call->tenant == NULL ? "" : call->tenant->name;
}

/** True if the turn that the call goes on from is known here as another tenant's. */
static bool goes_on_from_another_tenant(const call_t *call, const char *previous) {
    const turn_t *turn = chain_cache_find(&call->gateway->chains, previous);
    return turn != NULL && call->configuration->tenancy != NULL &&
           !turn_belongs_to(turn, tenant_name(call));
}

static void assemble_prompt(call_t *call) {
    gateway_t *gateway = call->gateway;
    const char *previous = call_field(call, FIELD_PREVIOUS_TURN);
    const char *missing = chain_cache_prompt(&gateway->chains, previous, call->prompt);
    if (goes_on_from_another_tenant(call, previous)) {
        refuse_other_tenants_turn(call);
        return;
    }
    if (missing == NULL) {
        call->turn.prompt_ready = true;
        call_turn_send_if_ready(call);
        return;
    }
    bool no_progress = g_strcmp0(missing, call->turn.missing) == 0;
    if (no_progress || !may_ask_stores(gateway->stores)) {
        call_refuse(call, STATUS_UNAVAILABLE, CALL_TURN_UNSURE);
        return;
    }
    g_free(call->turn.missing);
    call->turn.missing = g_strdup(missing);
    gateway->counters.chain_reads++;
    call->turn.chain =
        store_client_read_chain(gateway->stores, call->turn.missing, &chain_handler, call);
}

void call_turn_begin(call_t *call) {
    if (!begin_reserve(call))
        return;
    const char *previous = call_field(call, FIELD_PREVIOUS_TURN);
    if (call->route->keeps_turns && previous != NULL && *previous != '\0') {
        assemble_prompt(call);
        return;
    }
    call->turn.prompt_ready = true;
    call_turn_send_if_ready(call);
}

/* Keeping the turn. */

static turn_t present_turn(const call_t *call) {
    const char *previous = call_field(call, FIELD_PREVIOUS_TURN);
    return (turn_t){
        .id = g_strdup(call->id),
        .parent = g_strdup(previous == NULL ? "" : previous),
        .input = g_bytes_new(call->request->body, call->request->body_length),
        .output = g_bytes_new(call->events.output->str, call->events.output->len),
        .retention_ms = call->route->retention_ms,
        .tenant = g_strdup(tenant_name(call)),
    };
}

static void on_turn_kept(void *owner, bool durable) {
    call_t *call = owner;
    gateway_t *gateway = call->gateway;
    call->turn.keep = NULL;
    if (!durable) {
        gateway->counters.turns_not_kept++;
        call_fail(call, CALL_TURN_NOT_KEPT);
        return;
    }
    gateway->counters.turns_kept++;
    turn_t turn = present_turn(call);
    chain_cache_add(&gateway->chains, &turn);
    turn_clear(&turn);
    call_finish_stream(call);
}

static const store_operation_handler_t keep_handler = {NULL, on_turn_kept};

void call_turn_stream_ended(call_t *call) {
    call->turn.stream_ended = true;
    if (call->turn.counted && !call->turn.durable)
        return;
    if (!call->route->keeps_turns) {
        call_finish_stream(call);
        return;
    }
    turn_t turn = present_turn(call);
    call->turn.keep = store_client_put_turn(call->gateway->stores, &turn, &keep_handler, call);
    turn_clear(&turn);
}

void call_turn_end(call_t *call) {
    call_turn_t *turn = &call->turn;
    store_operation_t *operations[] = {turn->reserve, turn->chain, turn->keep};
    for (size_t i = 0; i < G_N_ELEMENTS(operations); i++)
        if (operations[i] != NULL)
            store_operation_cancel(operations[i]);
    turn->reserve = NULL;
    turn->chain = NULL;
    turn->keep = NULL;
    if (!turn->reserved)
        return;
    uint64_t tokens = 0;
    if (turn->durable && call->service != NULL)
        tokens = (uint64_t)call->events.events * call->service->tokens_per_event;
    event_log(GATEWAY_SETTLED, call->id, call->events.events, tokens);
    store_client_settle(call->gateway->stores, call->program, call->id, turn->most, tokens);
    turn->reserved = false;
}
