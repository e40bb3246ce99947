#include "core/retry/resend.h"

resend_t resend_after_not_run(const resend_state_t *state) {
    bool more = state->backends - state->ended < state->attempts;
    return state->time_left && more ? RESEND_ELSEWHERE : RESEND_NO;
}

resend_t resend_after_unknown(const resend_state_t *state) {
    resend_t resend = resend_after_not_run(state);
    if (resend != RESEND_NO)
        return resend;
    bool again = state->time_left && state->same_usable && state->repeats < RESEND_SAME_MAX;
    return again ? RESEND_SAME : RESEND_NO;
}
