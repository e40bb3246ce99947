#include "gateway/backend_probe.h"

#include "common/event.h"
#include "gateway/backend_check.h"

enum { PROBE_INTERVAL_MS = 500 /**< Time between the starts of two probes. */ };

static void on_result(void *owner, backend_check_result_t result, uint64_t ms) {
    backend_t *backend = owner;
    backend->probe = NULL;
    if (result == BACKEND_CHECK_DOUBTFUL)
        event_log(BACKEND_PROBE_DOUBTFUL, backend->record->instance, ms);
    if (result != BACKEND_CHECK_ENDED && result != BACKEND_CHECK_UNREACHABLE)
        return;
    backend->unreachable_at = uv_now(backend->loop);
    event_log(BACKEND_EJECTED, backend->record->instance, 0U, "unreachable");
    backend_record_reset(backend);
}

static const backend_check_handler_t probe_handler = {NULL, on_result};

void backend_probe(backend_t *backend) {
    uint64_t now = uv_now(backend->loop);
    if (backend->probe != NULL || now < backend->probed_at + PROBE_INTERVAL_MS)
        return;
    backend->probed_at = now;
    backend->probe = backend_check_begin(backend, &probe_handler, backend);
}

void backend_probe_stop(backend_t *backend) {
    if (backend->probe != NULL)
        backend_check_cancel(backend->probe);
    backend->probe = NULL;
}

bool backend_found_unreachable_since(const backend_t *backend, uint64_t since) {
    return backend->unreachable_at > 0 && backend->unreachable_at >= since;
}
