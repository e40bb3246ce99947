#include "node/backend_service.h"

#include "common/event.h"
#include "node/adapters/engine.h"
#include "node/adapters/platform.h"
#include "node/partitions.h"

#include <string.h>

enum {
    LIST_INTERVAL_MS = 500,
    LOAD_INTERVAL_MS = 200,
    RELEASE_INTERVAL_MS = 100,
    RELEASES_MAXIMUM = 64, /**< Under way at once. */
    UNLISTED_GRACE_MS = 10000,
};

struct backend_service {
    bool listed;
    bool list_failing;
    bool list_running;
    int64_t next_list_ms;
    int64_t next_load_ms;
    int64_t next_release_ms;
    int64_t started_ms;
    GHashTable *polling;   /**< Names of engines whose load is being asked. */
    GHashTable *releasing; /**< "program backend" under way. */
};

backend_service_t *backend_service_new(void) {
    backend_service_t *service = g_new0(backend_service_t, 1);
    service->polling = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    service->releasing = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return service;
}

void backend_service_free(backend_service_t *service) {
    g_hash_table_unref(service->polling);
    g_hash_table_unref(service->releasing);
    g_free(service);
}

bool backend_service_ready(const node_t *node) {
    return node->backend_service->listed;
}

bool backend_service_offers(const node_t *node, const char *service) {
    const GPtrArray *all = backend_set_all(node->backends);
    for (guint i = 0; i < all->len; i++) {
        const backend_t *backend = g_ptr_array_index(all, i);
        if (backend->record.kind == BACKEND_SERVICE && strcmp(backend->record.offers, service) == 0)
            return true;
    }
    return false;
}

/* --- Machine list ------------------------------------------------------------------------- */

typedef struct {
    GPtrArray *records; /**< NULL on failure. */
    GError *error;
} list_result_t;

static void on_backend_change(void *context, const backend_t *backend, bool removed) {
    (void)context;
    const char *name = backend->record.name;
    if (removed)
        event_log(BACKEND_REMOVED, name);
    else if (backend->leaving_announced)
        event_log(BACKEND_LEAVING, name, "machine_list");
    else
        event_log(BACKEND_AVAILABLE, name,
                  backend->record.kind == BACKEND_ENGINE ? "engine" : "service");
}

static void on_list(void *context, void *data) {
    node_t *node = context;
    list_result_t *result = data;
    backend_service_t *service = node->backend_service;
    service->list_running = false;
    if (result->records != NULL) {
        backend_set_update(node->backends, result->records, on_backend_change, node);
        g_ptr_array_unref(result->records);
        service->listed = true;
    } else if (!service->list_failing) {
        event_log(MACHINE_LIST_UNREACHABLE, node->settings->machine_list.address,
                  result->error->message);
    }
    service->list_failing = result->error != NULL;
    g_clear_error(&result->error);
    g_free(result);
}

static void read_list(void *context, void *data) {
    (void)data;
    node_t *node = context;
    const endpoint_t *endpoint = &node->settings->machine_list;
    list_result_t *result = g_new0(list_result_t, 1);
    result->records =
        machine_list_read(node->client, endpoint->address, endpoint->port, &result->error);
    mailbox_post(node->mailbox, on_list, result);
}

/* --- Load --------------------------------------------------------------------------------- */

typedef struct {
    char *name;
    char *address;
    uint32_t port;
    load_report_t report;
    GError *error;
} load_poll_t;

static void on_load(void *context, void *data) {
    node_t *node = context;
    load_poll_t *poll = data;
    backend_t *backend = backend_set_find(node->backends, poll->name);
    g_hash_table_remove(node->backend_service->polling, poll->name);
    if (backend != NULL && poll->error == NULL) {
        bool begins_to_leave = poll->report.leaving && !backend->load.leaving;
        if (begins_to_leave)
            event_log(BACKEND_LEAVING, poll->name, "engine");
        poll->report.received_at_ms = node->now_ms;
        backend_report_load(backend, &poll->report);
    } else if (backend != NULL) {
        bool was_available = backend_is_available(backend, node->now_ms);
        backend_unreachable(backend, node->now_ms);
        if (was_available && !backend_is_available(backend, node->now_ms))
            event_log(BACKEND_UNREACHABLE, poll->name, poll->error->message);
    }
    g_clear_error(&poll->error);
    g_free(poll->name);
    g_free(poll->address);
    g_free(poll);
}

static void read_load(void *context, void *data) {
    node_t *node = context;
    load_poll_t *poll = data;
    engine_address_t engine = {.address = poll->address, .port = poll->port};
    engine_load(node->client, engine, &poll->report, &poll->error);
    mailbox_post(node->mailbox, on_load, poll);
}

static void poll_loads(node_t *node) {
    const GPtrArray *all = backend_set_all(node->backends);
    for (guint i = 0; i < all->len; i++) {
        const backend_t *backend = g_ptr_array_index(all, i);
        const char *name = backend->record.name;
        if (backend->record.kind != BACKEND_ENGINE ||
            !g_hash_table_add(node->backend_service->polling, g_strdup(name)))
            continue;
        load_poll_t *poll = g_new0(load_poll_t, 1);
        poll->name = g_strdup(name);
        poll->address = g_strdup(backend->record.address);
        poll->port = backend->record.port;
        workers_submit(node->workers, read_load, poll);
    }
}

/* --- Releases ----------------------------------------------------------------------------- */

typedef struct {
    char *program;
    char *backend;
    char *address;
    uint32_t port;
    bool released;
} release_t;

static char *release_key(const char *program, const char *backend) {
    return g_strdup_printf("%s %s", program, backend);
}

static void propose_released(node_t *node, group_t *group, const char *program,
                             const char *backend) {
    command_t *command = command_new(COMMAND_RELEASED, program, node->unix_ms);
    command->backend = g_strdup(backend);
    partitions_propose(node, group, command, NULL, NULL);
}

static void on_released(void *context, void *data) {
    node_t *node = context;
    release_t *release = data;
    char *key = release_key(release->program, release->backend);
    g_hash_table_remove(node->backend_service->releasing, key);
    g_free(key);
    uint32_t partition = partitions_of_program(node, release->program);
    group_t *group = partitions_led_group(node, partition);
    if (release->released && group != NULL)
        propose_released(node, group, release->program, release->backend);
    g_free(release->program);
    g_free(release->backend);
    g_free(release->address);
    g_free(release);
}

static void run_release(void *context, void *data) {
    node_t *node = context;
    release_t *release = data;
    GError *error = NULL;
    engine_address_t engine = {.address = release->address, .port = release->port};
    release->released = engine_release(node->client, engine, release->program, &error);
    if (error != NULL)
        event_log(RELEASE_FAILED, release->program, release->backend, error->message);
    g_clear_error(&error);
    mailbox_post(node->mailbox, on_released, release);
}

/** An engine that is no longer listed holds nothing any more. */
static bool is_gone(const node_t *node, const backend_t *backend) {
    return backend == NULL && node->backend_service->listed &&
           node->now_ms - node->backend_service->started_ms > UNLISTED_GRACE_MS;
}

static bool release_one(node_t *node, group_t *group, const program_t *program, const char *name) {
    const backend_t *backend = backend_set_find(node->backends, name);
    if (is_gone(node, backend)) {
        propose_released(node, group, program->id, name);
        return true;
    }
    GHashTable *releasing = node->backend_service->releasing;
    if (backend == NULL || g_hash_table_size(releasing) >= RELEASES_MAXIMUM ||
        !g_hash_table_add(releasing, release_key(program->id, name)))
        return false;
    release_t *release = g_new0(release_t, 1);
    release->program = g_strdup(program->id);
    release->backend = g_strdup(name);
    release->address = g_strdup(backend->record.address);
    release->port = backend->record.port;
    workers_submit(node->workers, run_release, release);
    return false;
}

/** Releases wait until no attempt runs: it could fill the cache again. */
static void release_ended(node_t *node, group_t *group) {
    GPtrArray *ended = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, program_store_all(group_store(group)));
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const program_t *program = value;
        if (program->ended && program->holders->len > 0 && program_running_call(program) == NULL)
            g_ptr_array_add(ended, value);
    }
    for (guint i = 0; i < ended->len; i++) {
        const program_t *program = g_ptr_array_index(ended, i);
        for (guint j = 0; j < program->holders->len; j++)
            if (release_one(node, group, program, g_ptr_array_index(program->holders, j)))
                break;
    }
    g_ptr_array_unref(ended);
}

void backend_service_tick(node_t *node) {
    backend_service_t *service = node->backend_service;
    if (service->started_ms == 0)
        service->started_ms = node->now_ms;
    if (node->now_ms >= service->next_list_ms && !service->list_running) {
        service->next_list_ms = node->now_ms + LIST_INTERVAL_MS;
        service->list_running = true;
        workers_submit(node->workers, read_list, node);
    }
    if (node->now_ms >= service->next_load_ms) {
        service->next_load_ms = node->now_ms + LOAD_INTERVAL_MS;
        poll_loads(node);
    }
    if (node->now_ms >= service->next_release_ms) {
        service->next_release_ms = node->now_ms + RELEASE_INTERVAL_MS;
        partitions_each_led(node, release_ended);
    }
}

json_t *backend_service_to_json(const node_t *node) {
    json_t *list = json_array();
    const GPtrArray *all = backend_set_all(node->backends);
    for (guint i = 0; i < all->len; i++) {
        const backend_t *backend = g_ptr_array_index(all, i);
        bool available = backend_is_available(backend, node->now_ms);
        bool leaving = backend->leaving_announced || backend->load.leaving;
        json_array_append_new(
            list, json_pack("{s:s, s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i, s:i}", "name",
                            backend->record.name, "kind",
                            backend->record.kind == BACKEND_ENGINE ? "engine" : "service", "offers",
                            backend->record.offers, "zone", backend->record.zone, "address",
                            backend->record.address, "port", (int)backend->record.port, "state",
                            leaving ? "leaving" : (available ? "available" : "unreachable"),
                            "in_flight", (int)backend->in_flight, "running",
                            (int)backend->load.running, "waiting", (int)backend->load.waiting));
    }
    return list;
}
