/*
 * Design. An engine that refuses a call has a full queue or sheds load. It counts as full here
 * until its load has fallen, and its record as the program's engine is cleared, so that the
 * caller's next attempt, at any gateway, goes to an engine with free slots.
 */
#include "gateway/call_placement.h"

#include "common/event.h"
#include "gateway/engine_load.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
    MIN_RETRY_AFTER_MS = 50,
    MAX_RETRY_AFTER_MS = 1000,
    QUICK_REFUSAL_MS = 400, /**< A full engine refuses at once; a later refusal is a timeout. */
};

bool call_placement_by_cost(const call_t *call) {
    return call->service != NULL && call->service->engine &&
           backends_report_start_times(&call->gateway->backends, call->service_name);
}

/** Tokens of the first part in @p part, "ID:TOKENS,..."; 0 if it has no count. */
static uint32_t part_token_count(const char *part) {
    const char *colon = part == NULL ? NULL : strchr(part, ':');
    return colon == NULL ? 0 : (uint32_t)MIN(strtoull(colon + 1, NULL, 10), UINT32_MAX);
}

/** Parses the prompt's token counts. If it has a single part, all of it is new. */
static turn_profile_t parse_prompt(const call_t *call) {
    const char *tokens = call_field(call, FIELD_TOKENS);
    const char *parts = call_field(call, FIELD_PROMPT_PARTS);
    const char *last = parts == NULL ? NULL : strrchr(parts, ',');
    turn_profile_t turn = {0};
    if (tokens != NULL)
        turn.prompt_tokens = (uint32_t)MIN(strtoull(tokens, NULL, 10), UINT32_MAX);
    turn.new_tokens = last == NULL ? turn.prompt_tokens : part_token_count(last);
    turn.part_tokens = last == NULL ? 0 : part_token_count(parts);
    return turn;
}

static uint32_t truncate_ms(double ms) {
    return isfinite(ms) ? (uint32_t)CLAMP(ms, 0, UINT32_MAX) : 0;
}

static void set_engine_wait(call_t *call, double free_ms) {
    if (isfinite(free_ms))
        call->engine_wait_ms = (uint32_t)CLAMP(free_ms, MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
}

static const char *program_name(const call_t *call) {
    return call->program == NULL ? "-" : call->program;
}

static void record_choice(call_t *call, const placement_t *placement) {
    gateway_counters_t *counters = &call->gateway->counters;
    if (call->last_engine == 0) {
        counters->engines_new++;
        return;
    }
    if (call->last_engine == call->backend->id_hash) {
        counters->engines_kept++;
        return;
    }
    counters->engines_moved++;
    const backend_t *from = backends_find_hash(&call->gateway->backends, call->last_engine);
    event_log(GATEWAY_ENGINE_MOVED, call->id, program_name(call),
              from == NULL ? "-" : from->record->instance, call->backend->record->instance,
              truncate_ms(placement->stay_cost_ms), truncate_ms(placement->cost_ms),
              from == NULL ? 0 : backend_load(from), call->engine_load);
}

/** True if the program has made earlier calls or sends; a refusal would waste their work. */
static bool is_program_started(const call_t *call) {
    const char *previous = call_field(call, FIELD_PREVIOUS_TURN);
    bool has_previous = previous != NULL && *previous != '\0';
    return has_previous || call->turn.program_started || call->last_engine != 0 || call->sends > 0;
}

bool call_placement_choose(call_t *call, const backend_choice_t *choice, uint64_t part) {
    placement_request_t request = {
        .place = call->last_engine,
        .part = part,
        .turn = parse_prompt(call),
        .begun = is_program_started(call),
    };
    placement_t placement;
    call->backend = backends_place_engine(&call->gateway->backends, choice, &request, &placement);
    if (call->backend == NULL) {
        if (placement.outcome == PLACEMENT_FULL) {
            set_engine_wait(call, placement.free_ms);
            call->gateway->counters.engines_full++;
            event_log(GATEWAY_ENGINES_FULL, call->id, program_name(call), "-", 0U, 0U,
                      call->engine_wait_ms);
        }
        return false;
    }
    call->engine_load = backend_load(call->backend) - 1;
    const turn_profile_t *turn = &request.turn;
    bool same_engine = call->last_engine == call->backend->id_hash;
    call->engine_recomputed_tokens =
        same_engine ? 0 : turn->prompt_tokens - MIN(turn->prompt_tokens, turn->new_tokens);
    record_choice(call, &placement);
    return true;
}

/** Estimates the time until an engine can accept the call. */
static void estimate_engine_wait(call_t *call) {
    backend_choice_t choice = {
        .service = call->service_name,
        .excluded = call->tried,
        .slots = call->service->slots,
        .version = call->stream.version,
    };
    placement_request_t request = {.turn = parse_prompt(call), .wants_free_ms = true};
    placement_t placement;
    backend_t *other =
        backends_place_engine(&call->gateway->backends, &choice, &request, &placement);
    if (other != NULL)
        backend_release(other);
    set_engine_wait(call, placement.free_ms);
}

void call_placement_refused(call_t *call) {
    uint64_t now = uv_now(call->gateway->loop);
    if (call->misdirected || now > call->sent_at + QUICK_REFUSAL_MS ||
        !call_placement_by_cost(call))
        return;
    unsigned load = backend_load(call->backend) - 1;
    engine_load_record_refused(call->backend, call->service->slots);
    estimate_engine_wait(call);
    call->gateway->counters.engines_refused++;
    event_log(GATEWAY_ENGINES_FULL, call->id, program_name(call), call->backend->record->instance,
              load, backend_slots(call->backend, call->service->slots), call->engine_wait_ms);
    if (call->turn.budgeted)
        store_client_report_engine(call->gateway->stores, call->program, 0);
}

void call_placement_first_event(const call_t *call) {
    if (call->repeating || call->backend == NULL || !call_placement_by_cost(call))
        return;
    uint64_t ms = uv_now(call->gateway->loop) - call->sent_at;
    engine_load_record_first_event(call->backend, call->engine_load, call->service->slots, ms,
                                   call->engine_recomputed_tokens);
}

void call_placement_completed(const call_t *call) {
    if (call->repeating || call->backend == NULL || !call_placement_by_cost(call))
        return;
    uint64_t ms = uv_now(call->gateway->loop) - call->sent_at;
    engine_load_record_turn(call->backend, call->engine_load, call->service->slots, ms);
}
