#include "gateway/backend_probe.h"

#include "common/event.h"

enum {
    FAILURES_NEEDED = 2,
    CONFIRM_MS = 250, /**< A connection open for this long shows that the back end is reachable. */
    PROBE_INTERVAL_MS = 500, /**< Time between the starts of two probes. */
};

static void on_probe_closed(void *owner, http_client_t *client);

static void open_probe(backend_t *backend) {
    backend->probed_at = uv_now(backend->loop);
    backend->probe =
        http_client_open(backend->loop, &backend->record->address, on_probe_closed, backend);
}

static void on_probe_closed(void *owner, http_client_t *client) {
    backend_t *backend = owner;
    bool was_connected = http_client_connected(client);
    backend->probe = NULL;
    if (was_connected)
        return;
    backend->probe_failures++;
    if (backend->probe_failures < FAILURES_NEEDED) {
        open_probe(backend);
        return;
    }
    backend->probe_failures = 0;
    backend->unreachable_at = uv_now(backend->loop);
    event_log(BACKEND_EJECTED, backend->record->instance, 0U, "unreachable");
    backend_record_reset(backend);
}

void backend_probe_stop(backend_t *backend) {
    if (backend->probe != NULL)
        http_client_close(backend->probe);
    backend->probe = NULL;
    backend->probe_failures = 0;
}

void backend_probe(backend_t *backend) {
    uint64_t now = uv_now(backend->loop);
    bool connected = backend->probe != NULL && http_client_connected(backend->probe);
    if (connected && now >= backend->probed_at + CONFIRM_MS)
        backend_probe_stop(backend);
    if (backend->probe == NULL && now >= backend->probed_at + PROBE_INTERVAL_MS)
        open_probe(backend);
}

bool backend_found_unreachable_since(const backend_t *backend, uint64_t since) {
    return backend->unreachable_at > 0 && backend->unreachable_at >= since;
}
