#include "core/retry/stall.h"

enum {
    SUSPECT_MIN_MS = 300,  /**< Minimum time without data before a stall is suspected. */
    SUSPECT_FACTOR = 3,    /**< Multiple of the typical time to first byte. */
    OVERTAKEN_BY_MS = 400, /**< A call is overtaken if one sent this much later was answered. */
    LOST_MIN_MS = 800,     /**< Minimum wait for the first byte before a call is considered lost. */
    STREAM_STALLED_MS = 1200, /**< A stream idle for this long at an active back end is lost. */
    BACKEND_ACTIVE_MS = 150,  /**< A back end that sent data within this time is active. */
};

static bool is_lost(const call_activity_t *call, const backend_activity_t *backend, uint64_t now) {
    uint64_t idle_ms = now - call->last_received_at;
    if (call->answered)
        return idle_ms >= STREAM_STALLED_MS && now - backend->last_received_at <= BACKEND_ACTIVE_MS;
    return idle_ms >= LOST_MIN_MS && idle_ms >= SUSPECT_FACTOR * (uint64_t)backend->answer_ms &&
           backend->answered_sent_at >= call->sent_at + OVERTAKEN_BY_MS;
}

stall_t stall_evaluate_backend(const call_activity_t *call, const backend_activity_t *backend,
                               uint64_t now) {
    uint64_t idle_ms =
        now - (backend->last_received_at > call->last_received_at ? backend->last_received_at
                                                                  : call->last_received_at);
    uint64_t timeout_ms = SUSPECT_FACTOR * (uint64_t)backend->answer_ms;
    if (timeout_ms < SUSPECT_MIN_MS)
        timeout_ms = SUSPECT_MIN_MS;
    return idle_ms >= timeout_ms ? STALL_SUSPECTED : STALL_NONE;
}

stall_t stall_evaluate(const call_activity_t *call, const backend_activity_t *backend,
                       uint64_t now) {
    return is_lost(call, backend, now) ? STALL_CALL_LOST
                                       : stall_evaluate_backend(call, backend, now);
}
