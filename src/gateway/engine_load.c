#include "gateway/engine_load.h"

unsigned backend_load(const backend_t *backend) {
    return backend->under_way + backend->peer_calls;
}

bool backends_report_start_times(const backends_t *backends, const char *service) {
    const service_members_t *members = g_hash_table_lookup(backends->by_service, service);
    return members != NULL && members->with_start_time > 0 && members->without_start_time == 0;
}

static engine_baseline_t *service_baseline(const backend_t *backend) {
    service_members_t *members =
        g_hash_table_lookup(backend->owner->by_service, backend->record->service);
    return &members->baseline;
}

/** Observed maximum queue length of the engine, or else that of its service. */
static unsigned queue_limit(const backend_t *backend, const engine_baseline_t *baseline,
                            unsigned slots) {
    unsigned own = engine_limit_queue(&backend->limit, backend_record_life(backend->record), slots);
    return own > 0 ? own : engine_baseline_queue(baseline, slots);
}

engine_state_t engine_load_state(backend_t *backend, const engine_baseline_t *baseline,
                                 unsigned slots) {
    unsigned load = backend_load(backend);
    unsigned own_slots = backend_slots(backend, slots);
    return (engine_state_t){
        .load = load,
        .slots = own_slots,
        .queue = queue_limit(backend, baseline, own_slots),
        .speed_percent = backend_speed(backend),
        .refusing = engine_limit_is_refusing(&backend->limit, backend_record_life(backend->record),
                                             load, uv_now(backend->loop)),
    };
}

void engine_load_record_refused(backend_t *backend, unsigned slots) {
    unsigned load = backend_load(backend) - 1;
    unsigned own_slots = backend_slots(backend, slots);
    engine_limit_record_refused(&backend->limit, backend_record_life(backend->record), load,
                                own_slots, uv_now(backend->loop));
    engine_baseline_record_refused(service_baseline(backend), load, own_slots);
}

/** Times of turns that queued for a slot are not used: they include the wait. */
static bool had_slot(const backend_t *backend, unsigned load, unsigned slots) {
    return load < backend_slots(backend, slots);
}

void engine_load_record_first_event(backend_t *backend, unsigned load, unsigned slots, uint64_t ms,
                                    uint32_t repeated_tokens) {
    engine_limit_record_accepted(&backend->limit, backend_record_life(backend->record), load);
    engine_baseline_record_accepted(service_baseline(backend), load, backend_slots(backend, slots));
    if (had_slot(backend, load, slots))
        engine_baseline_record_first_event_time(service_baseline(backend), (double)ms,
                                                repeated_tokens, backend_speed(backend));
}

void engine_load_record_turn(backend_t *backend, unsigned load, unsigned slots, uint64_t ms) {
    if (had_slot(backend, load, slots))
        engine_baseline_record_turn(service_baseline(backend), (double)ms, backend_speed(backend));
}
