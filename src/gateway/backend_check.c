#include "gateway/backend_check.h"

enum {
    FAILURES_NEEDED = 2, /**< A busy back end refuses some connections. */
    POLL_INTERVAL_MS = 10,
    SLOW_MS = 50, /**< Many times the way to a back end and back. */
    /** Back ends that fail together, as under the same request, seldom are so many. */
    CONTROLS_MAX = 3,
};

struct backend_check {
    uv_loop_t *loop;
    backends_t *backends;
    uint64_t backend; /**< backend_t.id_hash. */
    struct sockaddr_in address;
    http_client_t *client;                 /**< To the back end; NULL while there is none. */
    http_client_t *controls[CONTROLS_MAX]; /**< To others; NULL where there is none. */
    bool is_controlled;                    /**< Waits for the controls. */
    bool refused;                          /**< At least one connection was refused. */
    bool was_closed; /**< The back end closed a connection as soon as it had come up. */
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
    for (unsigned i = 0; i < CONTROLS_MAX; i++)
        if (check->controls[i] != NULL)
            http_client_close(check->controls[i]);
    uv_close((uv_handle_t *)&check->timer, free_check);
}

static void end_check(backend_check_t *check, backend_check_result_t result) {
    check->handler->on_result(check->owner, result, uv_now(check->loop) - check->begun_at);
    backend_check_cancel(check);
}

/** The back end accepts connections; this one, if there still is one, is kept for calls. */
static void end_accepting(backend_check_t *check) {
    backend_t *backend = backends_find_hash(check->backends, check->backend);
    if (backend != NULL && check->client != NULL) {
        backend_adopt_connection(backend, check->client);
        check->client = NULL;
    }
    end_check(check, BACKEND_CHECK_ACCEPTS);
}

static void on_closed(void *owner, http_client_t *client);

/** Opens the next connection to the back end; false if that fails. */
static bool open_connection(backend_check_t *check) {
    check->opened_at = uv_now(check->loop);
    check->client = http_client_open(check->loop, &check->address, on_closed, check);
    return check->client != NULL;
}

static void on_control_closed(void *owner, http_client_t *client) {
    backend_check_t *check = owner;
    unsigned left = 0;
    for (unsigned i = 0; i < CONTROLS_MAX; i++) {
        if (check->controls[i] == client)
            check->controls[i] = NULL;
        left += check->controls[i] != NULL;
    }
    if (http_client_connected(client))
        end_check(check, BACKEND_CHECK_UNREACHABLE);
    else if (left == 0)
        end_check(check, BACKEND_CHECK_DOUBTFUL);
}

/** The back end can't be reached; finds out whether others can be. */
static void open_controls(backend_check_t *check) {
    const backend_t *backend = backends_find_hash(check->backends, check->backend);
    backend_t *others[CONTROLS_MAX];
    unsigned count = backends_latest_senders(check->backends, backend, others, CONTROLS_MAX);
    unsigned opened = 0;
    check->is_controlled = true;
    for (unsigned i = 0; i < count; i++) {
        check->controls[i] =
            http_client_open(check->loop, &others[i]->record->address, on_control_closed, check);
        opened += check->controls[i] != NULL;
    }
    if (opened == 0)
        end_check(check, BACKEND_CHECK_UNREACHABLE);
}

static void on_closed(void *owner, http_client_t *client) {
    backend_check_t *check = owner;
    check->client = NULL;
    if (http_client_connected(client)) {
        /* A process that ends closes the connections that it has not accepted yet. */
        bool again = !check->was_closed;
        check->was_closed = true;
        if (!again || !open_connection(check))
            end_accepting(check);
        return;
    }
    check->refused |= uv_now(check->loop) < check->opened_at + CONNECTION_REFUSED_WITHIN_MS;
    check->failures++;
    if (check->failures < FAILURES_NEEDED && open_connection(check))
        return;
    if (check->refused)
        end_check(check, BACKEND_CHECK_ENDED);
    else
        open_controls(check);
}

/** Ends the check if a control has come up. */
static void poll_controls(backend_check_t *check) {
    for (unsigned i = 0; i < CONTROLS_MAX; i++) {
        if (check->controls[i] != NULL && http_client_connected(check->controls[i])) {
            end_check(check, BACKEND_CHECK_UNREACHABLE);
            return;
        }
    }
}

static void report_if_slow(backend_check_t *check) {
    if (check->is_slow || uv_now(check->loop) < check->begun_at + SLOW_MS)
        return;
    check->is_slow = true;
    if (check->handler->on_slow != NULL)
        check->handler->on_slow(check->owner);
}

static void on_poll(uv_timer_t *timer) {
    backend_check_t *check = timer->data;
    if (check->is_controlled)
        poll_controls(check);
    else if (check->client == NULL)
        end_check(check, BACKEND_CHECK_DOUBTFUL);
    else if (http_client_connected(check->client))
        end_accepting(check);
    else
        report_if_slow(check);
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
    open_connection(check);
    return check;
}
