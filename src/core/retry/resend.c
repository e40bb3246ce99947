#include "core/retry/resend.h"

#include "core/retry/crash_history.h"

resend_t resend_after_not_run(const resend_state_t *state) {
    bool more = state->backends - state->ended < state->attempts;
    bool allowed = state->time_left && state->crashes + state->current_may_end < CRASHES_MAX;
    return allowed && more ? RESEND_ELSEWHERE : RESEND_NO;
}

static resend_t resend_to_same(const resend_state_t *state, unsigned repeats_max) {
    bool allowed = state->time_left && state->crashes < CRASHES_MAX;
    bool again = allowed && state->same_usable && state->repeats < repeats_max;
    return again ? RESEND_SAME : RESEND_NO;
}

resend_t resend_after_unknown(const resend_state_t *state) {
    resend_t resend = resend_after_not_run(state);
    return resend != RESEND_NO ? resend : resend_to_same(state, RESEND_SAME_MAX);
}

resend_t resend_after_suspicion(const resend_state_t *state) {
    if (state->other_usable && resend_after_not_run(state) == RESEND_ELSEWHERE)
        return RESEND_ELSEWHERE;
    return resend_to_same(state, RESEND_SUSPECTED_SAME_MAX);
}
