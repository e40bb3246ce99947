#include "gateway/stall_watch.h"

#include "gateway/backend_probe.h"
#include "gateway/call.h"

enum { CHECK_INTERVAL_MS = 100 };

static void check_backend(call_t *call) {
    if (backend_found_unreachable_since(call->backend, call->last_received_at))
        call_handle_backend_unreachable(call);
    else
        backend_probe(call->backend);
}

static void check_call(call_t *call, uint64_t now) {
    if (call_take_late_retry(call, now)) {
        call_handle_suspicion(call, "late");
        return;
    }
    call_activity_t call_state = {
        .sent_at = call->sent_at,
        .last_received_at = call->last_received_at,
        .answered = call->answered,
    };
    const backend_activity_t *observed = &call->backend->observed;
    stall_t stall = stall_evaluate(&call_state, observed, now);
    if (stall == STALL_CALL_LOST && call_may_resend_on_suspicion(call)) {
        call_handle_suspicion(call, "overtaken");
        return;
    }
    if (stall_evaluate_backend(&call_state, observed, now) == STALL_SUSPECTED)
        check_backend(call);
}

static void on_check(uv_timer_t *timer) {
    stall_watch_t *watch = timer->data;
    uint64_t now = uv_now(timer->loop);
    /* Backwards: removing a call moves a later one, already checked, to its index. */
    for (guint i = watch->calls->len; i > 0; i--)
        if (i <= watch->calls->len)
            check_call(g_ptr_array_index(watch->calls, i - 1), now);
    if (watch->calls->len == 0)
        uv_timer_stop(&watch->timer);
}

void stall_watch_init(stall_watch_t *watch, uv_loop_t *loop) {
    watch->calls = g_ptr_array_new();
    uv_timer_init(loop, &watch->timer);
    watch->timer.data = watch;
}

void stall_watch_add(stall_watch_t *watch, call_t *call) {
    g_ptr_array_add(watch->calls, call);
    if (!uv_is_active((uv_handle_t *)&watch->timer))
        uv_timer_start(&watch->timer, on_check, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS);
}

void stall_watch_remove(stall_watch_t *watch, call_t *call) {
    g_ptr_array_remove_fast(watch->calls, call);
}
