/*
 * Design. Two connections that are refused show that a back end has ended. Two that do not come up
 * may have been delayed here, while the back end runs its calls: a third one, the control, goes to
 * the back end that last sent something, and only if that comes up is the other one unreachable.
 */
#include "gateway/backend_probe.h"

#include "common/event.h"

enum {
    FAILURES_NEEDED = 2,
    CONFIRM_MS = 250, /**< A connection open for this long shows that the back end is reachable. */
    PROBE_INTERVAL_MS = 500, /**< Time between the starts of two probes. */
};

static void on_probe_closed(void *owner, http_client_t *client);
static void on_control_closed(void *owner, http_client_t *client);

static void open_probe(backend_t *backend) {
    backend->probed_at = uv_now(backend->loop);
    backend->probe =
        http_client_open(backend->loop, &backend->record->address, on_probe_closed, backend);
}

static void record_unreachable(backend_t *backend) {
    backend->probe_failures = 0;
    backend->unreachable_at = uv_now(backend->loop);
    event_log(BACKEND_EJECTED, backend->record->instance, 0U, "unreachable");
    backend_record_reset(backend);
}

/** Opens the control; without another back end, nothing speaks for a delay. */
static void open_control(backend_t *backend) {
    const backend_t *other = backends_latest_sender(backend->owner, backend);
    if (other != NULL)
        backend->control =
            http_client_open(backend->loop, &other->record->address, on_control_closed, backend);
    if (backend->control == NULL)
        record_unreachable(backend);
}

static void close_control(backend_t *backend) {
    if (backend->control != NULL)
        http_client_close(backend->control);
    backend->control = NULL;
}

static void on_control_closed(void *owner, http_client_t *client) {
    backend_t *backend = owner;
    backend->control = NULL;
    if (http_client_connected(client)) {
        record_unreachable(backend);
        return;
    }
    backend->probe_failures = 0;
    event_log(BACKEND_PROBE_DOUBTFUL, backend->record->instance,
              uv_now(backend->loop) - backend->probed_at);
}

static void on_probe_closed(void *owner, http_client_t *client) {
    backend_t *backend = owner;
    bool was_connected = http_client_connected(client);
    backend->probe = NULL;
    if (was_connected)
        return;
    bool refused = uv_now(backend->loop) < backend->probed_at + CONNECTION_REFUSED_WITHIN_MS;
    backend->probe_failures++;
    if (backend->probe_failures < FAILURES_NEEDED)
        open_probe(backend);
    else if (refused)
        record_unreachable(backend);
    else
        open_control(backend);
}

void backend_probe_stop(backend_t *backend) {
    close_control(backend);
    if (backend->probe != NULL)
        http_client_close(backend->probe);
    backend->probe = NULL;
    backend->probe_failures = 0;
}

void backend_probe(backend_t *backend) {
    uint64_t now = uv_now(backend->loop);
    if (backend->control != NULL) {
        if (!http_client_connected(backend->control))
            return;
        close_control(backend);
        record_unreachable(backend);
        return;
    }
    bool connected = backend->probe != NULL && http_client_connected(backend->probe);
    if (connected && now >= backend->probed_at + CONFIRM_MS)
        backend_probe_stop(backend);
    if (backend->probe == NULL && now >= backend->probed_at + PROBE_INTERVAL_MS)
        open_probe(backend);
}

bool backend_found_unreachable_since(const backend_t *backend, uint64_t since) {
    return backend->unreachable_at > 0 && backend->unreachable_at >= since;
}
