/*
 * Design. The exchange has ended, and the call holds its back end meanwhile. Where nothing shows
 * within SURVIVAL_WAIT_MS of a connection that came up that the process lives, the call goes on
 * without: the next process may serve at the port already. Delays of all connections show nothing
 * of the back end, which is then trusted as by crash_watch.c.
 */
#include "gateway/call_survival.h"

#include "gateway/backend_check.h"
#include "gateway/backend_survival.h"
#include "gateway/call.h"

enum {
    SURVIVAL_WAIT_MS = 300,
    SURVIVAL_POLL_MS = 20,
};

struct call_survival {
    uv_timer_t timer;
    backend_check_t *check; /**< NULL: over. */
    uint64_t broke_at;
    uint64_t wait_until; /**< Set once the check is over. */
    void (*then)(call_t *call);
};

static void free_survival(uv_handle_t *handle) {
    g_free(handle);
}

void call_survival_end(call_t *call) {
    call_survival_t *survival = call->survival;
    if (survival == NULL)
        return;
    if (survival->check != NULL)
        backend_check_cancel(survival->check);
    call->survival = NULL;
    uv_close((uv_handle_t *)&survival->timer, free_survival);
}

static void finish(call_t *call, resend_evidence_t evidence) {
    void (*then)(call_t *) = call->survival->then;
    call->evidence = evidence;
    call->backends_ended += evidence == RESEND_EVIDENCE_ENDED;
    call_survival_end(call);
    then(call);
}

static void on_timer(uv_timer_t *timer) {
    call_t *call = timer->data;
    const call_survival_t *survival = call->survival;
    const survival_t found = backend_survival_since(call->backend, survival->broke_at);
    if (found == SURVIVAL_ANSWERED || found == SURVIVAL_LISTED)
        finish(call, RESEND_EVIDENCE_LIVES);
    else if (found == SURVIVAL_REPLACED || call->backend->removed)
        finish(call, RESEND_EVIDENCE_ENDED);
    else if (survival->check == NULL && uv_now(timer->loop) >= survival->wait_until)
        finish(call, RESEND_EVIDENCE_MISSING);
}

static void on_check_result(void *owner, backend_check_result_t result, uint64_t ms) {
    call_t *call = owner;
    (void)ms;
    call->survival->check = NULL;
    call->survival->wait_until = uv_now(call->gateway->loop) + SURVIVAL_WAIT_MS;
    if (result == BACKEND_CHECK_ENDED || result == BACKEND_CHECK_UNREACHABLE)
        finish(call, RESEND_EVIDENCE_ENDED);
    else if (result == BACKEND_CHECK_DOUBTFUL)
        finish(call, RESEND_EVIDENCE_LIVES);
}

static const backend_check_handler_t check_handler = {NULL, on_check_result};

void call_survival_await(call_t *call, void (*then)(call_t *call)) {
    call_survival_t *survival = g_new0(call_survival_t, 1);
    call->survival = survival;
    survival->then = then;
    survival->broke_at = uv_now(call->gateway->loop);
    uv_timer_init(call->gateway->loop, &survival->timer);
    survival->timer.data = call;
    uv_timer_start(&survival->timer, on_timer, SURVIVAL_POLL_MS, SURVIVAL_POLL_MS);
    survival->check = backend_check_begin(call->backend, &check_handler, call);
}
