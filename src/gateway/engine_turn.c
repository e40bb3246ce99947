/*
 * Design. An engine that turns a call away has a full queue, or sheds load: it counts as full here
 * until its load has fallen, and its program forgets it, so that the caller's next try, at
 * whichever gateway, goes where there is room.
 */
#include "gateway/engine_turn.h"

#include "common/event.h"
#include "gateway/engine_load.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
    FREE_LEAST_MS = 50, /**< Sooner than this a caller can hardly be back. */
    FREE_MOST_MS = 1000,
    FULL_WITHIN_MS = 400, /**< A full engine answers at once; later it was the call's time. */
};

bool engine_turn_by_cost(const call_t *call) {
    return call->service != NULL && call->service->engine &&
           backends_tell_lives(&call->gateway->backends, call->service_name);
}

/** Tokens of the part at @p part of a list of "ID:TOKENS,..."; 0: it has none. */
static uint32_t tokens_of(const char *part) {
    const char *colon = part == NULL ? NULL : strchr(part, ':');
    return colon == NULL ? 0 : (uint32_t)MIN(strtoull(colon + 1, NULL, 10), UINT32_MAX);
}

/** What is known of the turn's prompt. Of a single part all is new. */
static engine_turn_t read_prompt(const call_t *call) {
    const char *tokens = call_field(call, FIELD_TOKENS);
    const char *parts = call_field(call, FIELD_PROMPT_PARTS);
    const char *last = parts == NULL ? NULL : strrchr(parts, ',');
    engine_turn_t turn = {0};
    if (tokens != NULL)
        turn.prompt_tokens = (uint32_t)MIN(strtoull(tokens, NULL, 10), UINT32_MAX);
    turn.new_tokens = last == NULL ? turn.prompt_tokens : tokens_of(last);
    turn.part_tokens = last == NULL ? 0 : tokens_of(parts);
    return turn;
}

static uint32_t whole_ms(double ms) {
    return isfinite(ms) ? (uint32_t)CLAMP(ms, 0, UINT32_MAX) : 0;
}

static void set_free(call_t *call, double free_ms) {
    if (isfinite(free_ms))
        call->engine_free_ms = (uint32_t)CLAMP(free_ms, FREE_LEAST_MS, FREE_MOST_MS);
}

static const char *program_of(const call_t *call) {
    return call->program == NULL ? "-" : call->program;
}

static void note_choice(call_t *call, const placement_t *placement) {
    gateway_counters_t *counters = &call->gateway->counters;
    if (call->place == 0) {
        counters->engines_new++;
        return;
    }
    if (call->place == call->backend->id_hash) {
        counters->engines_kept++;
        return;
    }
    counters->engines_moved++;
    const backend_t *from = backends_find_hash(&call->gateway->backends, call->place);
    event_log(GATEWAY_ENGINE_MOVED, call->id, program_of(call),
              from == NULL ? "-" : from->record->instance, call->backend->record->instance,
              whole_ms(placement->place_ms), whole_ms(placement->cost_ms),
              from == NULL ? 0 : backend_load(from), call->engine_load);
}

/** Also where the program's engine is not known: its earlier turns would be lost. */
static bool has_begun(const call_t *call) {
    const char *previous = call_field(call, FIELD_PREVIOUS_TURN);
    bool goes_on = previous != NULL && *previous != '\0';
    return goes_on || call->turn.begun || call->place != 0 || call->sends > 0;
}

bool engine_turn_choose(call_t *call, const backend_choice_t *choice, uint64_t part) {
    placement_request_t request = {
        .place = call->place,
        .part = part,
        .turn = read_prompt(call),
        .begun = has_begun(call),
    };
    placement_t placement;
    call->backend = backends_place_engine(&call->gateway->backends, choice, &request, &placement);
    if (call->backend == NULL) {
        if (placement.outcome == PLACEMENT_FULL) {
            set_free(call, placement.free_ms);
            call->gateway->counters.engines_full++;
            event_log(GATEWAY_ENGINES_FULL, call->id, program_of(call), "-", 0U, 0U,
                      call->engine_free_ms);
        }
        return false;
    }
    call->engine_load = backend_load(call->backend) - 1;
    const engine_turn_t *turn = &request.turn;
    bool kept = call->place == call->backend->id_hash;
    call->engine_again_tokens =
        kept ? 0 : turn->prompt_tokens - MIN(turn->prompt_tokens, turn->new_tokens);
    note_choice(call, &placement);
    return true;
}

/** When another engine has room, as far as is known. */
static void find_free(call_t *call) {
    backend_choice_t choice = {
        .service = call->service_name,
        .excluded = call->tried,
        .slots = call->service->slots,
    };
    placement_request_t request = {.turn = read_prompt(call), .wants_free_ms = true};
    placement_t placement;
    backend_t *other =
        backends_place_engine(&call->gateway->backends, &choice, &request, &placement);
    if (other != NULL)
        backend_release(other);
    set_free(call, placement.free_ms);
}

void engine_turn_refused(call_t *call) {
    uint64_t now = uv_now(call->gateway->loop);
    if (call->misdirected || now > call->sent_at + FULL_WITHIN_MS || !engine_turn_by_cost(call))
        return;
    unsigned load = backend_load(call->backend) - 1;
    engine_load_note_refused(call->backend, call->service->slots);
    find_free(call);
    call->gateway->counters.engines_refused++;
    event_log(GATEWAY_ENGINES_FULL, call->id, program_of(call), call->backend->record->instance,
              load, backend_slots(call->backend, call->service->slots), call->engine_free_ms);
    if (call->turn.counted)
        store_client_tell_place(call->gateway->stores, call->program, 0);
}

void engine_turn_begun(const call_t *call) {
    if (call->repeating || call->backend == NULL || !engine_turn_by_cost(call))
        return;
    uint64_t ms = uv_now(call->gateway->loop) - call->sent_at;
    engine_load_note_first(call->backend, call->engine_load, call->service->slots, ms,
                           call->engine_again_tokens);
}

void engine_turn_ended(const call_t *call) {
    if (call->repeating || call->backend == NULL || !engine_turn_by_cost(call))
        return;
    uint64_t ms = uv_now(call->gateway->loop) - call->sent_at;
    engine_load_note_turn(call->backend, call->engine_load, call->service->slots, ms);
}
