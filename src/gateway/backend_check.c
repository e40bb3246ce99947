#include "gateway/backend_check.h"

enum {
    FAILURES_NEEDED = 2, /**< A busy back end refuses some connections. */
    POLL_INTERVAL_MS = 10,
    SLOW_MS = 50, /**< Many times the way to a back end and back. */
};

struct backend_check {
    uv_loop_t *loop;
    backends_t *backends;
    uint64_t backend; /**< backend_t.id_hash. */
    struct sockaddr_in address;
    http_client_t *client;
    bool controls; /**< `client` goes to another back end. */
    bool refused;  /**< At least one connection was refused. */
    bool is_slow;
    unsigned failures;
    uint64_t begun_at;
    uint64_t opened_at;
    uv_timer_t timer;
    const backend_check_handler_t *handler;
    void *owner;
};

static void free_check(uv_handle_t *handle) {
    backend_check_t *check = handle->data;
    g_free(check);
}

void backend_check_cancel(backend_check_t *check) {
    if (check->client != NULL)
        http_client_close(check->client);
    uv_close((uv_handle_t *)&check->timer, free_check);
}

static void end_check(backend_check_t *check, backend_check_result_t result) {
    check->handler->on_result(check->owner, result, uv_now(check->loop) - check->begun_at);
    backend_check_cancel(check);
}

static void end_connected(backend_check_t *check) {
    if (check->controls) {
        end_check(check, BACKEND_CHECK_UNREACHABLE);
        return;
    }
    backend_t *backend = backends_find_hash(check->backends, check->backend);
    if (backend != NULL && check->client != NULL) {
        backend_adopt_connection(backend, check->client);
        check->client = NULL;
    }
    end_check(check, BACKEND_CHECK_ALIVE);
}

static void on_closed(void *owner, http_client_t *client);

/** Opens the next connection; false if that fails. */
static bool open_connection(backend_check_t *check, const struct sockaddr_in *address) {
    check->opened_at = uv_now(check->loop);
    check->client = http_client_open(check->loop, address, on_closed, check);
    return check->client != NULL;
}

/** The back end can't be reached; finds out whether another one can be. */
static void open_control(backend_check_t *check) {
    const backend_t *backend = backends_find_hash(check->backends, check->backend);
    const backend_t *other = backends_latest_sender(check->backends, backend);
    check->controls = true;
    if (other == NULL || !open_connection(check, &other->record->address))
        end_check(check, BACKEND_CHECK_UNREACHABLE);
}

static void on_closed(void *owner, http_client_t *client) {
    backend_check_t *check = owner;
    check->client = NULL;
    if (http_client_connected(client)) {
        end_connected(check);
        return;
    }
    if (check->controls) {
        end_check(check, BACKEND_CHECK_DOUBTFUL);
        return;
    }
    check->refused |= uv_now(check->loop) < check->opened_at + CONNECTION_REFUSED_WITHIN_MS;
    check->failures++;
    if (check->failures < FAILURES_NEEDED && open_connection(check, &check->address))
        return;
    if (check->refused)
        end_check(check, BACKEND_CHECK_ENDED);
    else
        open_control(check);
}

static void on_poll(uv_timer_t *timer) {
    backend_check_t *check = timer->data;
    if (check->client == NULL) {
        end_check(check, BACKEND_CHECK_DOUBTFUL);
        return;
    }
    if (http_client_connected(check->client)) {
        end_connected(check);
        return;
    }
    if (check->is_slow || uv_now(check->loop) < check->begun_at + SLOW_MS)
        return;
    check->is_slow = true;
    if (check->handler->on_slow != NULL)
        check->handler->on_slow(check->owner);
}

backend_check_t *backend_check_begin(const backend_t *backend,
                                     const backend_check_handler_t *handler, void *owner) {
    backend_check_t *check = g_new0(backend_check_t, 1);
    check->loop = backend->loop;
    check->backends = backend->owner;
    check->backend = backend->id_hash;
    check->address = backend->record->address;
    check->begun_at = uv_now(check->loop);
    check->handler = handler;
    check->owner = owner;
    uv_timer_init(check->loop, &check->timer);
    check->timer.data = check;
    uv_timer_start(&check->timer, on_poll, POLL_INTERVAL_MS, POLL_INTERVAL_MS);
    open_connection(check, &check->address);
    return check;
}
