/*
 * Design. The maximum number of tokens of a turn is reserved before the turn is sent. The turn is
 * sent once a quorum of storage nodes has granted the reserve and has it on disk: if their disks
 * stall, the call is refused as not run, since an answer that no reserve covers could not be
 * delivered. The tokens generated are settled when the turn ends for any reason; the reserve stays
 * charged only if this gateway crashes.
 *
 * A turn is sent only if storage nodes keep those that it continues until it is stored itself; a
 * chain whose retention time is over is refused as missing, though it may still be cached.
 *
 * A turn that may be continued is complete for its caller only when it is durable at a quorum. If
 * that takes longer than the caller waits or the route allows, the stream is aborted; storage nodes
 * whose disks stall keep it in the key-value service meanwhile (store/turn_spill.h). The storage
 * nodes check their free space as part of the reserve, so that a turn which can't be stored is
 * refused before an engine runs it. They also report how long their disk has not finished a write:
 * a call whose caller will not wait as long again is refused too.
 */
#include "gateway/call.h"

#include "common/event.h"
#include "net/frame_connection.h"

#include <stdlib.h>
#include <string.h>

enum {
    STATUS_PAYMENT_REQUIRED = 402,
    STATUS_NOT_FOUND = 404,
    STATUS_TOO_LARGE = 413,
    STATUS_UNAVAILABLE = 503,
    PERCENT = 100,
    /** Of a turn besides its input: ids, tenant and a long output. */
    TURN_REST_BYTES = 2 * 1024 * 1024,
    /** Larger inputs don't fit into one message to a storage node. */
    TURN_INPUT_MAX_BYTES = FRAME_BYTES_MAXIMUM - TURN_REST_BYTES,
    /** A chain that exceeds the cache would be read again and again; pieces have 1 MiB or a turn.
     */
    CHAIN_READS_MAX = 64,
    /** Of a caller's 4 s, 1 s is left: SPILL_DELAY_MS of store/turn_spill.c and a short run. */
    RESERVE_TIME_PERCENT = 75,
    /** Of a chain, while it is read; a piece has 1 MiB at most, and mostly far less. */
    CHAIN_READ_BYTES = 256 * 1024,
};

void call_turn_send_if_ready(call_t *call) {
    const call_turn_t *turn = &call->turn;
    bool ready = turn->prompt_ready && call->stream.pending == NULL &&
                 call->registration.pending == NULL && (!turn->budgeted || turn->reserve_durable);
    if (!ready)
        return;
    if (!call->registration.registered && call_registration_await(call, call_turn_send_if_ready))
        return;
    if (call_quota_ready(call))
        call_send(call);
}

/* The program's budget. */

static const char *const verdict_names[VERDICT_COUNT] = {"granted", "refused", "unsure"};

static void on_reserve_verdict(void *owner, verdict_t verdict, const GArray *turns) {
    call_t *call = owner;
    (void)turns;
    event_log(GATEWAY_RESERVE, call->id, call->program, call->turn.max_tokens,
              verdict_names[verdict]);
    bool has_space =
        verdict != VERDICT_UNSURE || store_operation_has_space(call->turn.reserve_operation);
    bool disks_lag = !has_space && store_operation_disks_lag(call->turn.reserve_operation);
    if (verdict != VERDICT_YES)
        call->turn.reserve_operation = NULL;
    if (!has_space) {
        call_refuse(call, STATUS_UNAVAILABLE, disks_lag ? CALL_DISKS_LAG : CALL_NO_SPACE);
        return;
    }
    if (verdict == VERDICT_NO)
        outage_end(&call->gateway->store_outage);
    if (verdict == VERDICT_YES) {
        call->last_engine = store_operation_last_engine(call->turn.reserve_operation);
        call->turn.program_started = store_operation_program_started(call->turn.reserve_operation);
        return;
    }
    if (verdict == VERDICT_UNSURE) {
        call_refuse(call, STATUS_UNAVAILABLE, CALL_BUDGET_UNKNOWN);
        return;
    }
    call->gateway->counters.over_budget++;
    call_refuse(call, STATUS_PAYMENT_REQUIRED, CALL_OVER_BUDGET);
}

static void on_reserve_durable(void *owner, bool durable) {
    call_t *call = owner;
    call->turn.reserve_operation = NULL;
    if (!durable) {
        call_refuse(call, STATUS_UNAVAILABLE, CALL_BUDGET_NOT_DURABLE);
        return;
    }
    outage_end(&call->gateway->store_outage);
    call->turn.reserve_durable = true;
    call_turn_send_if_ready(call);
}

static const store_operation_handler_t reserve_handler = {on_reserve_verdict, on_reserve_durable};

/** Parses the maximum of generated tokens in "PROMPT,MAX"; false if malformed. */
static bool parse_max_tokens(const char *text, uint64_t *max_tokens) {
    const char *comma = text == NULL ? NULL : strchr(text, ',');
    if (comma == NULL)
        return false;
    char *end;
    *max_tokens = strtoull(comma + 1, &end, 10);
    return end != comma + 1;
}

static void detect_budget(call_t *call) {
    call->turn.budgeted = call->route->kind == CALL_STREAM && call->program != NULL &&
                          call_field(call, FIELD_BUDGET) != NULL &&
                          parse_max_tokens(call_field(call, FIELD_TOKENS), &call->turn.max_tokens);
}

/** True if a storage operation can start; during an isolation check it waits for the result. */
static bool stores_usable(store_client_t *stores) {
    return store_client_connected(stores) || store_client_isolation_suspected(stores);
}

bool call_turn_refuse_if_isolated(call_t *call) {
    detect_budget(call);
    bool needs_stores = call->turn.budgeted || call->route->keeps_turns;
    if (!needs_stores || call->gateway->zone_isolated_since == 0)
        return false;
    call_refuse(call, STATUS_UNAVAILABLE,
                call->turn.budgeted ? CALL_BUDGET_UNKNOWN : CALL_TURN_UNKNOWN);
    return true;
}

/** Time in which the reserve must become durable, in ms; the rest is for the run and its turn. */
static uint64_t reserve_time(const call_t *call) {
    return call_time_left(call) * RESERVE_TIME_PERCENT / PERCENT;
}

/** Requests the budget reserve, if any; false if the call has been refused. */
static bool begin_reserve(call_t *call) {
    if (!call->turn.budgeted)
        return true;
    const char *budget = call_field(call, FIELD_BUDGET);
    store_client_t *stores = call->gateway->stores;
    if (!stores_usable(stores)) {
        call_refuse(call, STATUS_UNAVAILABLE, CALL_BUDGET_UNKNOWN);
        return false;
    }
    if (store_client_disks_lag(stores, reserve_time(call))) {
        call_refuse(call, STATUS_UNAVAILABLE, CALL_DISKS_LAG);
        return false;
    }
    call_registration_begin(call);
    call->turn.reserved = true;
    const store_reserve_t reserve = {
        .program = call->program,
        .call = call->record_id,
        .max_tokens = call->turn.max_tokens,
        .budget = strtoull(budget, NULL, 10),
        .stores_turn = call->route->keeps_turns,
        .input_bytes = call->request->body_length,
        .timeout_ms = reserve_time(call),
    };
    call->turn.reserve_operation = store_client_reserve(stores, &reserve, &reserve_handler, call);
    return true;
}

/* Previous turns. */

static void assemble_prompt(call_t *call);

/**
 * Refuses as for a missing turn, or with 503 while the directory may be stale: the caller's key may
 * belong to another tenant by now.
 */
static void refuse_other_tenants_turn(call_t *call) {
    if (gateway_directory_current(call->gateway))
        call_refuse(call, STATUS_NOT_FOUND, CALL_OTHER_TENANT);
    else
        call_refuse(call, STATUS_UNAVAILABLE, CALL_NO_CONFIGURATION);
}

static void add_chain(call_t *call, const GArray *turns) {
    gateway_t *gateway = call->gateway;
    for (guint i = 0; i < turns->len; i++) {
        const turn_t *turn = &g_array_index(turns, turn_t, i);
        turn_t counted = *turn;
        counted.input = memory_account_wrap_bytes(&gateway->memory, turn->input);
        counted.output = memory_account_wrap_bytes(&gateway->memory, turn->output);
        chain_cache_add(&gateway->chains, &counted,
                        call->turn.chain_requested_at + turn->retention_ms);
        g_bytes_unref(counted.input);
        g_bytes_unref(counted.output);
    }
}

/** The read of previous turns has ended. */
static void release_read(call_t *call) {
    memory_account_release(&call->gateway->memory, call->turn.read_bytes);
    call->turn.read_bytes = 0;
}

static void on_chain_verdict(void *owner, verdict_t verdict, const GArray *turns) {
    call_t *call = owner;
    call->turn.chain_operation = NULL;
    release_read(call);
    if (verdict == VERDICT_YES) {
        add_chain(call, turns);
        assemble_prompt(call);
        return;
    }
    /* The ancestors of an existing turn exist too, even if they can't be read now. */
    bool is_previous = g_strcmp0(call->turn.missing_turn, call->previous) == 0;
    if (verdict == VERDICT_NO && is_previous)
        call_refuse(call, STATUS_NOT_FOUND, CALL_NO_SUCH_TURN);
    else
        call_refuse(call, STATUS_UNAVAILABLE, CALL_TURN_UNKNOWN);
}

static const store_operation_handler_t chain_handler = {on_chain_verdict, NULL};

static void on_chain_extended(void *owner, bool durable) {
    call_t *call = owner;
    call->turn.chain_operation = NULL;
    if (!durable) {
        call_refuse(call, STATUS_UNAVAILABLE, CALL_TURN_UNKNOWN);
        return;
    }
    chain_cache_extend(&call->gateway->chains, call->previous, call->turn.extended_until);
    assemble_prompt(call);
}

static const store_operation_handler_t extension_handler = {NULL, on_chain_extended};

/** The name of the call's tenant; "" if there is none. */
static const char *tenant_name(const call_t *call) {
    return call->tenant == NULL ? "" : call->tenant->name;
}

/** True if the previous turn is cached here and belongs to another tenant. */
static bool previous_turn_is_other_tenants(const call_t *call, const char *previous) {
    const turn_t *turn = chain_cache_find(&call->gateway->chains, previous);
    return turn != NULL && call->configuration->tenancy != NULL &&
           !turn_belongs_to(turn, tenant_name(call));
}

/** Reads turn @p id and its ancestors, or refuses the call if that is not possible. */
static void read_chain(call_t *call, const char *id) {
    gateway_t *gateway = call->gateway;
    call_turn_t *turn = &call->turn;
    if (!stores_usable(gateway->stores) || turn->chain_reads >= CHAIN_READS_MAX) {
        call_refuse(call, STATUS_UNAVAILABLE, CALL_TURN_UNKNOWN);
        return;
    }
    /* As a medium request: large ones must not use up the memory that conversations need. */
    if (!memory_account_take(&gateway->memory, CHAIN_READ_BYTES, MEMORY_MEDIUM_BYTES)) {
        call_refuse(call, STATUS_UNAVAILABLE, CALL_NO_MEMORY);
        return;
    }
    turn->read_bytes = CHAIN_READ_BYTES;
    turn->chain_reads++;
    turn->previous_read = turn->previous_read || g_strcmp0(id, call->previous) == 0;
    g_free(turn->missing_turn);
    turn->missing_turn = g_strdup(id);
    turn->chain_requested_at = uv_now(gateway->loop);
    gateway->counters.chain_reads++;
    turn->chain_operation =
        store_client_read_chain(gateway->stores, turn->missing_turn, &chain_handler, call);
}

/**
 * Lets storage nodes keep a chain for longer: the call may take longer than any could when the
 * previous turn was stored. With less than GATEWAY_OPERATION_TIMEOUT_MS left its retention time is
 * over, and members that have removed it would store it again without its ancestors.
 */
static void extend_chain(call_t *call, const char *previous, uint64_t kept_until, uint64_t needed) {
    gateway_t *gateway = call->gateway;
    uint64_t now = uv_now(gateway->loop);
    event_log(GATEWAY_CHAIN_EXPIRES, call->id, previous, kept_until > now ? kept_until - now : 0,
              needed - now);
    if (kept_until < now + GATEWAY_OPERATION_TIMEOUT_MS) {
        call_refuse(call, STATUS_NOT_FOUND, CALL_NO_SUCH_TURN);
        return;
    }
    call->turn.extended_until = needed;
    turn_t turn;
    turn_copy(&turn, chain_cache_find(&gateway->chains, previous));
    turn.retention_ms = (uint32_t)MIN(needed - now, (uint64_t)UINT32_MAX);
    call->turn.chain_operation = store_client_put_turn(
        gateway->stores, &turn, GATEWAY_OPERATION_TIMEOUT_MS, &extension_handler, call);
    turn_clear(&turn);
}

/**
 * True if storage nodes keep the cached previous turn until the call's own turn is stored. Else
 * finds out how long they do, extends that time or refuses the call.
 */
static bool chain_is_kept(call_t *call, const char *previous) {
    uint64_t kept_until = chain_cache_kept_until(&call->gateway->chains, previous);
    uint64_t needed =
        uv_now(call->gateway->loop) + call_hold_time_left(call) + GATEWAY_OPERATION_TIMEOUT_MS;
    if (kept_until >= needed || kept_until == 0)
        return true;
    if (!call->turn.previous_read)
        read_chain(call, previous);
    else
        extend_chain(call, previous, kept_until, needed);
    return false;
}

static void assemble_prompt(call_t *call) {
    gateway_t *gateway = call->gateway;
    const char *previous = call->previous;
    if (previous_turn_is_other_tenants(call, previous)) {
        refuse_other_tenants_turn(call);
        return;
    }
    if (!chain_is_kept(call, previous))
        return;
    const char *missing = chain_cache_prompt(&gateway->chains, previous, call->prompt);
    if (missing == NULL) {
        call->turn.prompt_ready = true;
        call_turn_send_if_ready(call);
    } else if (g_strcmp0(missing, call->turn.missing_turn) == 0) {
        call_refuse(call, STATUS_UNAVAILABLE,
                    CALL_TURN_UNKNOWN); /* The last read did not return it. */
    } else {
        read_chain(call, missing);
    }
}

/**
 * Takes what the request to the storage nodes will need besides the body, so that a turn that has
 * run can be stored.
 */
static bool hold_stored_turn(call_t *call) {
    size_t length = call->request->body_length;
    if (!memory_account_take(&call->gateway->memory, length, length))
        return false;
    call->turn.stored_bytes = length;
    return true;
}

static void release_stored_turn(call_t *call) {
    memory_account_release(&call->gateway->memory, call->turn.stored_bytes);
    call->turn.stored_bytes = 0;
}

void call_turn_begin(call_t *call) {
    if (call->route->keeps_turns && call->request->body_length > TURN_INPUT_MAX_BYTES) {
        call_refuse(call, STATUS_TOO_LARGE, CALL_TURN_TOO_LARGE);
        return;
    }
    if (call->route->keeps_turns && !hold_stored_turn(call)) {
        call_refuse(call, STATUS_UNAVAILABLE, CALL_NO_MEMORY);
        return;
    }
    if (!begin_reserve(call))
        return;
    const char *previous = call->previous;
    if (call->route->keeps_turns && previous != NULL && *previous != '\0') {
        assemble_prompt(call);
        return;
    }
    call->turn.prompt_ready = true;
    call_turn_send_if_ready(call);
}

/* Storing the turn. */

/** The longest time for which a call that continues a turn may be held, in ms. */
static uint64_t longest_successor_time(const directory_configuration_t *configuration) {
    uint64_t longest_ms = 0;
    for (guint i = 0; i < configuration->routes->len; i++) {
        const route_t *route = g_ptr_array_index(configuration->routes, i);
        if (route->keeps_turns)
            longest_ms = MAX(longest_ms, call_hold_time(route));
    }
    return longest_ms;
}

static uint32_t turn_retention(const call_t *call) {
    return store_client_turn_retention(call->route->retention_ms, call_hold_time_left(call),
                                       longest_successor_time(call->configuration));
}

static turn_t build_turn(const call_t *call) {
    const char *previous = call->previous;
    return (turn_t){
        .id = g_strdup(call->record_id),
        .parent = g_strdup(previous == NULL ? "" : previous),
        .input = call->request->body_bytes == NULL ? g_bytes_new(NULL, 0)
                                                   : g_bytes_ref(call->request->body_bytes),
        .output = g_bytes_ref(call->turn.output),
        .retention_ms = turn_retention(call),
        .tenant = g_strdup(tenant_name(call)),
    };
}

static void on_turn_stored(void *owner, bool durable) {
    call_t *call = owner;
    gateway_t *gateway = call->gateway;
    call->turn.put_operation = NULL;
    if (!durable) {
        gateway->counters.turns_not_kept++;
        call_fail(call, CALL_TURN_NOT_STORED);
        return;
    }
    gateway->counters.turns_kept++;
    turn_t turn = build_turn(call);
    chain_cache_add(&gateway->chains, &turn, call->turn.stored_until);
    turn_clear(&turn);
    call_finish_stream(call);
}

static const store_operation_handler_t put_handler = {NULL, on_turn_stored};

/** Hands the collected output over to bytes that the stored and the cached turn refer to. */
static void take_output(call_t *call) {
    size_t length = call->events.output->len;
    call->turn.output = memory_account_wrap_string(&call->gateway->memory, call->events.output);
    call->events.output = g_string_new(NULL);
    call->stream_bytes -= MIN(length, call->stream_bytes);
}

void call_turn_stream_completed(call_t *call) {
    if (!call->route->keeps_turns) {
        call_finish_stream(call);
        return;
    }
    take_output(call);
    release_stored_turn(call);
    turn_t turn = build_turn(call);
    call->turn.stored_until = uv_now(call->gateway->loop) + turn.retention_ms;
    call->turn.put_operation = store_client_put_turn(call->gateway->stores, &turn,
                                                     call_hold_time_left(call), &put_handler, call);
    turn_clear(&turn);
}

bool call_turn_only_end_missing(const call_t *call) {
    return call->head_sent && call->turn.put_operation != NULL;
}

bool call_turn_expire(call_t *call) {
    if (call->turn.put_operation == NULL)
        return false;
    store_operation_expire(call->turn.put_operation);
    return true;
}

void call_turn_end(call_t *call) {
    call_turn_t *turn = &call->turn;
    store_operation_t *operations[] = {turn->reserve_operation, turn->chain_operation,
                                       turn->put_operation};
    for (size_t i = 0; i < G_N_ELEMENTS(operations); i++)
        if (operations[i] != NULL)
            store_operation_cancel(operations[i]);
    call->gateway->counters.turns_not_kept += turn->put_operation != NULL;
    release_read(call);
    release_stored_turn(call);
    g_clear_pointer(&turn->output, g_bytes_unref);
    turn->reserve_operation = NULL;
    turn->chain_operation = NULL;
    turn->put_operation = NULL;
    if (!turn->reserved)
        return;
    uint64_t tokens = 0;
    if (turn->reserve_durable && call->service != NULL)
        tokens = (uint64_t)call->events.events * call->service->tokens_per_event;
    event_log(GATEWAY_SETTLED, call->id, call->events.events, tokens);
    store_client_settle(call->gateway->stores, call->program, call->record_id, turn->max_tokens,
                        tokens);
    turn->reserved = false;
}
