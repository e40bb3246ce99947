/**
 * @file shell.c
 * The simulator's versions of mailbox.h and http_server.h: tasks and answers are events in
 * virtual time. A task of a node that has died meanwhile is dropped, with what it carries.
 */
#include "sim/world.h"

enum { CLIENT_LATENCY_MS = 2 };

struct mailbox {
    void *context;
};

struct workers {
    void *context;
};

typedef struct {
    machine_t *machine;
    uint32_t generation;
    task_t task;
    void *data;
} posted_t;

mailbox_t *mailbox_new(void *context) {
    mailbox_t *mailbox = g_new0(mailbox_t, 1);
    mailbox->context = context;
    return mailbox;
}

void mailbox_free(mailbox_t *mailbox) {
    g_free(mailbox);
}

static void run_posted(sim_t *sim, void *data) {
    posted_t *posted = data;
    const machine_t *machine = posted->machine;
    bool current = machine->generation == posted->generation && machine->node != NULL;
    node_t *node = current ? machine_node(sim, machine) : NULL;
    if (current && node == NULL) {
        sim_at(sim, machine->paused_until_ms, run_posted, posted);
        return;
    }
    if (node != NULL)
        posted->task(node, posted->data);
    g_free(posted);
}

void mailbox_post(mailbox_t *mailbox, task_t task, void *data) {
    const node_t *node = mailbox->context;
    posted_t *posted = g_new0(posted_t, 1);
    posted->machine = (machine_t *)(void *)node->client;
    posted->generation = posted->machine->generation;
    posted->task = task;
    posted->data = data;
    sim_after(sim_world, sim_world->job_delay_ms, run_posted, posted);
}

workers_t *workers_new(void *context) {
    workers_t *workers = g_new0(workers_t, 1);
    workers->context = context;
    return workers;
}

void workers_free(workers_t *workers) {
    g_free(workers);
}

/** Runs the job at once; what it posts arrives after the delay that it has set by then. */
void workers_submit(workers_t *workers, task_t job, void *data) {
    int64_t outer_delay = sim_world->job_delay_ms;
    sim_world->job_delay_ms = 1;
    job(workers->context, data);
    sim_world->job_delay_ms = outer_delay;
}

/* --- HTTP ----------------------------------------------------------------------------------- */

typedef struct {
    http_request_t *request;
    unsigned status;
    char *body;
} delivery_t;

static void deliver(sim_t *sim, void *data) {
    delivery_t *delivery = data;
    delivery->request->respond(sim, delivery->request->data, delivery->status, delivery->body);
    g_bytes_unref(delivery->request->body);
    g_free(delivery->request);
    g_free(delivery->body);
    g_free(delivery);
}

http_request_t *sim_request_new(machine_t *machine, response_t respond, void *data) {
    http_request_t *request = g_new0(http_request_t, 1);
    request->machine = machine;
    request->respond = respond;
    request->data = data;
    request->body = g_bytes_new_static("{}", 2);
    g_ptr_array_add(machine->requests, request);
    return request;
}

static void answer(http_request_t *request, unsigned status, char *body) {
    delivery_t *delivery = g_new0(delivery_t, 1);
    delivery->request = request;
    delivery->status = status;
    delivery->body = body;
    g_ptr_array_remove(request->machine->requests, request);
    sim_after(sim_world, CLIENT_LATENCY_MS, deliver, delivery);
}

void http_respond(http_request_t *request, unsigned status, const char *content_type, GBytes *body,
                  int64_t retry_after_ms) {
    (void)content_type;
    (void)retry_after_ms;
    size_t length;
    const char *text = g_bytes_get_data(body, &length);
    answer(request, status, g_strndup(text, length));
    g_bytes_unref(body);
}

void machine_drop_requests(sim_t *sim, machine_t *machine) {
    (void)sim;
    while (machine->requests->len > 0)
        answer(g_ptr_array_index(machine->requests, 0), 0, NULL);
}

GBytes *http_request_body(const http_request_t *request) {
    return request->body;
}

const char *http_request_header(const http_request_t *request, const char *name) {
    (void)request;
    (void)name;
    return NULL;
}

/* Simulated callers read whole answers, so no node ever streams. */
void http_stream_start(http_request_t *request, const char *content_type) {
    (void)request;
    (void)content_type;
    g_assert_not_reached();
}

bool http_stream_write(http_request_t *request, const void *data, size_t length) {
    (void)request;
    (void)data;
    (void)length;
    g_assert_not_reached();
}

void http_stream_finish(http_request_t *request) {
    (void)request;
    g_assert_not_reached();
}
