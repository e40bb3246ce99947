#include "core/retry/resend.h"

#include "core/retry/crash_history.h"

resend_t resend_after_not_run(const resend_state_t *state) {
    bool more = state->backends - state->ended < state->attempts;
    bool allowed = state->time_left && state->crashes < CRASHES_MAX;
    return allowed && more ? RESEND_ELSEWHERE : RESEND_NO;
}

resend_t resend_after_unknown(const resend_state_t *state) {
    resend_t resend = resend_after_not_run(state);
    if (resend != RESEND_NO)
        return resend;
    bool allowed = state->time_left && state->crashes < CRASHES_MAX;
    bool again = allowed && state->same_usable && state->repeats < RESEND_SAME_MAX;
    return again ? RESEND_SAME : RESEND_NO;
}
