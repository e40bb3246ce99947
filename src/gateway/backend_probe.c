#include "gateway/backend_probe.h"

#include "common/event.h"

enum {
    UP_AFTER_MS = 250,    /**< A connection that is up by then shows a living back end. */
    AGAIN_AFTER_MS = 500, /**< A back end that can be reached is asked again after this. */
};

static bool any_open(const backend_t *backend) {
    for (unsigned i = 0; i < BACKEND_PROBES; i++)
        if (backend->probes[i] != NULL)
            return true;
    return false;
}

static bool any_up(const backend_t *backend) {
    for (unsigned i = 0; i < BACKEND_PROBES; i++)
        if (backend->probes[i] != NULL && http_client_connected(backend->probes[i]))
            return true;
    return false;
}

static void on_probe_closed(void *owner, http_client_t *client) {
    backend_t *backend = owner;
    backend->probe_found_up = backend->probe_found_up || http_client_connected(client);
    for (unsigned i = 0; i < BACKEND_PROBES; i++)
        if (backend->probes[i] == client)
            backend->probes[i] = NULL;
    if (any_open(backend) || backend->probe_found_up)
        return;
    backend->unreachable_at = uv_now(backend->loop);
    event_log(BACKEND_EJECTED, backend->record->instance, 0U, "unreachable");
    backend_note_reset(backend);
}

void backend_probe_stop(backend_t *backend) {
    for (unsigned i = 0; i < BACKEND_PROBES; i++) {
        if (backend->probes[i] != NULL)
            http_client_close(backend->probes[i]);
        backend->probes[i] = NULL;
    }
}

static void open_probes(backend_t *backend) {
    backend->probed_at = uv_now(backend->loop);
    backend->probe_found_up = false;
    for (unsigned i = 0; i < BACKEND_PROBES; i++)
        backend->probes[i] =
            http_client_open(backend->loop, &backend->record->address, on_probe_closed, backend);
}

void backend_probe(backend_t *backend) {
    uint64_t now = uv_now(backend->loop);
    if (any_up(backend) && now >= backend->probed_at + UP_AFTER_MS)
        backend_probe_stop(backend);
    if (!any_open(backend) && now >= backend->probed_at + AGAIN_AFTER_MS)
        open_probes(backend);
}

bool backend_unreachable_since(const backend_t *backend, uint64_t since) {
    return backend->unreachable_at > 0 && backend->unreachable_at >= since;
}
