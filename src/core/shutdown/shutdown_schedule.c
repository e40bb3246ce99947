#include "core/shutdown/shutdown_schedule.h"

enum {
    /** Readiness is checked once a second, and two failed checks redirect callers. */
    MAX_CLOSE_IDLE_MS = 2300,
    MAX_RESPONSE_MS = 600,  /**< For callers to read the final responses. */
    RESPONSE_DIVISOR = 8,   /**< Of the grace period, if that is less. */
    CLOSE_IDLE_DIVISOR = 2, /**< Likewise. */
    /** While callers may still be directed here; later ones find another gateway. */
    MAX_ACCEPT_MS = 3000,
    ACCEPT_EIGHTHS = 3, /**< Of the grace period, if that is less. */
    EIGHTHS = 8,
};

static uint64_t smaller(uint64_t one, uint64_t other) {
    return one < other ? one : other;
}

shutdown_schedule_t shutdown_schedule(uint64_t grace_ms) {
    uint64_t response_ms = smaller(MAX_RESPONSE_MS, grace_ms / RESPONSE_DIVISOR);
    return (shutdown_schedule_t){
        .close_idle_ms = smaller(MAX_CLOSE_IDLE_MS, grace_ms / CLOSE_IDLE_DIVISOR),
        .accept_ms = smaller(MAX_ACCEPT_MS, grace_ms * ACCEPT_EIGHTHS / EIGHTHS),
        .end_calls_ms = grace_ms - response_ms,
        .exit_ms = grace_ms - response_ms / 2,
    };
}

bool shutdown_accepts_call(const shutdown_schedule_t *schedule, uint64_t now_ms,
                           uint64_t deadline_ms, bool repeatable) {
    if (now_ms >= schedule->end_calls_ms)
        return false;
    bool ends_in_time = deadline_ms <= schedule->end_calls_ms;
    return ends_in_time || (repeatable && now_ms < schedule->accept_ms);
}
