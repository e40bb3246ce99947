/**
 * @file service.c
 * Stand-in for a tool or application service: answers any POST after a while and counts how
 * often each request id was executed.
 */
#include "standin/standin.h"

#include <pthread.h>
#include <string.h>

typedef struct {
    const standin_options_t *options;
    pthread_mutex_t lock;
    uint64_t executed;
} service_t;

typedef struct {
    service_t *service;
    http_request_t *request;
    bool lose_answer;
    bool fail;
} execution_t;

static void execute(void *data) {
    execution_t *execution = data;
    service_t *service = execution->service;
    const char *id = http_request_header(execution->request, "X-Request-Id");
    pthread_mutex_lock(&service->lock);
    uint64_t number = ++service->executed;
    pthread_mutex_unlock(&service->lock);
    standin_record(json_pack("{s:s, s:s, s:s, s:s}", "event", "executed", "machine",
                             service->options->name, "request", id != NULL ? id : "", "path",
                             http_request_path(execution->request)));
    if (execution->lose_answer) {
        /* The effect stands; the answer is held back until the caller has given up. */
        g_free(execution);
        return;
    }
    if (execution->fail)
        standin_respond_text(execution->request, 500, "ordered_failure");
    else
        standin_respond(execution->request, 200,
                        json_pack("{s:s, s:I, s:s}", "service", service->options->offers,
                                  "execution", (json_int_t)number, "request",
                                  id != NULL ? id : ""));
    g_free(execution);
}

static void on_request(void *context, http_request_t *request) {
    service_t *service = context;
    fault_t fault = standin_next_fault();
    if (fault == FAULT_OUTAGE) {
        standin_respond_text(request, 503, "outage");
        return;
    }
    if (fault == FAULT_HANG)
        return;
    execution_t *execution = g_new0(execution_t, 1);
    execution->service = service;
    execution->request = request;
    execution->lose_answer = fault == FAULT_LOSE_ANSWER;
    execution->fail = fault == FAULT_FAIL;
    int64_t delay = (int64_t)((double)service->options->latency_ms / service->options->speed_up);
    standin_after(delay, execute, execution);
}

standin_role_t service_role_start(const standin_options_t *options) {
    service_t *service = g_new0(service_t, 1);
    service->options = options;
    pthread_mutex_init(&service->lock, NULL);
    return (standin_role_t){.handler = on_request, .context = service};
}
