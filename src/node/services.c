#include "node/services.h"

#include "common/event.h"
#include "node/adapters/service.h"
#include "node/backend_service.h"
#include "node/entries.h"

enum {
    ATTEMPTS_MAXIMUM = 3,
    RETRY_HINT_MS = 1000,
    OK_STATUS = 200,
    REQUEST_ID_MAXIMUM = 64,
};

typedef struct {
    http_request_t *request;
    char *tenant;
    char *service;
    char *path;
    char *request_id;
    char *backend;
    char *address;
    uint32_t port;
    bool repeatable;
    unsigned attempt;
    int64_t deadline_ms;
    int64_t timeout_ms;
    GBytes *answer;
    GError *error;
} plain_request_t;

struct services {
    gint under_way; /**< Atomic. */
    retry_budget_t retry_budget;
};

services_t *services_new(void) {
    services_t *services = g_new0(services_t, 1);
    services->retry_budget = retry_budget_new();
    return services;
}

void services_free(services_t *services) {
    g_free(services);
}

unsigned services_count(const node_t *node) {
    return (unsigned)g_atomic_int_get(&node->services->under_way);
}

static void plain_request_free(plain_request_t *plain) {
    g_free(plain->tenant);
    g_free(plain->service);
    g_free(plain->path);
    g_free(plain->request_id);
    g_free(plain->backend);
    g_free(plain->address);
    g_clear_pointer(&plain->answer, g_bytes_unref);
    g_clear_error(&plain->error);
    g_free(plain);
}

static void refuse(node_t *node, plain_request_t *plain, error_code_t error) {
    bool later = error == RUDDERWAY_ERROR_OVERLOADED || error == RUDDERWAY_ERROR_NO_BACKEND;
    node->metrics.refusals[error]++;
    respond_error(plain->request, error, NULL, later ? RETRY_HINT_MS : 0);
    g_atomic_int_add(&node->services->under_way, -1);
    plain_request_free(plain);
}

static void on_answered(void *context, void *data);

static void execute(void *context, void *data) {
    node_t *node = context;
    plain_request_t *plain = data;
    service_call_t call = {.address = plain->address,
                           .port = plain->port,
                           .path = plain->path,
                           .request_id = plain->request_id,
                           .body = http_request_body(plain->request),
                           .repeatable = plain->repeatable,
                           .timeout_ms = plain->timeout_ms};
    service_request(node->client, &call, &plain->answer, &plain->error);
    mailbox_post(node->mailbox, on_answered, plain);
}

static void dispatch(node_t *node, plain_request_t *plain) {
    routing_request_t request = {.kind = BACKEND_SERVICE,
                                 .offers = plain->service,
                                 .zone = node->settings->zone,
                                 .avoid = plain->backend};
    backend_t *backend = routing_choose(&node->routing, node->backends, &request, node->now_ms);
    if (backend == NULL) {
        bool known = backend_service_offers(node, plain->service);
        refuse(node, plain, known ? RUDDERWAY_ERROR_NO_BACKEND : RUDDERWAY_ERROR_NO_SUCH_SERVICE);
        return;
    }
    g_free(plain->backend);
    g_free(plain->address);
    plain->backend = g_strdup(backend->record.name);
    plain->address = g_strdup(backend->record.address);
    plain->port = backend->record.port;
    plain->timeout_ms = MAX(plain->deadline_ms - node->now_ms, 1);
    plain->attempt++;
    backend_call_started(backend);
    node->metrics.calls_started++;
    workers_submit(node->workers, execute, plain);
}

static bool may_retry(const node_t *node, const plain_request_t *plain, error_code_t error) {
    if (plain->attempt >= ATTEMPTS_MAXIMUM || node->now_ms >= plain->deadline_ms)
        return false;
    outcome_t outcome = error_outcome(error);
    bool harmless = outcome == OUTCOME_NOT_RUN || (plain->repeatable && outcome == OUTCOME_UNKNOWN);
    return harmless && retry_budget_take(&node->services->retry_budget);
}

static void on_answered(void *context, void *data) {
    node_t *node = context;
    plain_request_t *plain = data;
    error_code_t error =
        plain->error != NULL ? (error_code_t)plain->error->code : RUDDERWAY_ERROR_NONE;
    backend_t *backend = backend_set_find(node->backends, plain->backend);
    bool reachable = plain->error == NULL || error == RUDDERWAY_ERROR_BACKEND_FAILED;
    if (backend != NULL)
        backend_call_finished(backend, reachable, node->now_ms);
    node->metrics.calls_finished++;
    if (error != RUDDERWAY_ERROR_NONE && may_retry(node, plain, error)) {
        g_clear_error(&plain->error);
        node->metrics.retries++;
        dispatch(node, plain);
        return;
    }
    if (error != RUDDERWAY_ERROR_NONE) {
        refuse(node, plain, error);
        return;
    }
    http_respond(plain->request, OK_STATUS, "application/json", g_steal_pointer(&plain->answer), 0);
    g_atomic_int_add(&node->services->under_way, -1);
    plain_request_free(plain);
}

static void admit(void *context, void *data) {
    node_t *node = context;
    plain_request_t *plain = data;
    plain->deadline_ms = node->now_ms + (int64_t)node->settings->call_timeout_seconds * 1000;
    retry_budget_record_first_attempt(&node->services->retry_budget);
    if (services_count(node) > node->settings->calls_in_flight)
        refuse(node, plain, RUDDERWAY_ERROR_OVERLOADED);
    else
        dispatch(node, plain);
}

void services_submit(node_t *node, http_request_t *request, const char *tenant, const char *service,
                     const char *path, bool repeatable) {
    plain_request_t *plain = g_new0(plain_request_t, 1);
    const char *id = http_request_header(request, "X-Request-Id");
    plain->request = request;
    plain->tenant = g_strdup(tenant);
    plain->service = g_strdup(service);
    plain->path = g_strdup(path);
    plain->request_id = g_strndup(id != NULL ? id : "", REQUEST_ID_MAXIMUM);
    plain->repeatable = repeatable;
    g_atomic_int_inc(&node->services->under_way);
    mailbox_post(node->mailbox, admit, plain);
}
