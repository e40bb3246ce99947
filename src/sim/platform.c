/**
 * @file platform.c
 * The simulator's versions of the adapters: engines, services, key-value service and machine
 * list, with what can go wrong with them.
 */
#include "sim/world.h"

#include "common/chat.h"
#include "node/adapters/engine.h"
#include "node/adapters/key_value.h"
#include "node/adapters/platform.h"
#include "node/adapters/service.h"

#include <string.h>

enum {
    CONNECT_MS = 3,
    PREFILL_TOKENS_PER_MS = 20,
    TOKEN_MS = 2,
    SERVICE_MS = 15,
    KEY_VALUE_MS = 5,
    KEY_VALUE_TIMEOUT_MS = 1500,
    WATCH_MS = 200,
};

static const machine_t *machine_of(const http_client_t *client) {
    return (const machine_t *)(const void *)client;
}

/** The back end at @p port if it can be reached from the node; sets CANNOT_CONNECT otherwise. */
static sim_backend_t *reach(const http_client_t *client, uint32_t port, GError **error) {
    sim_t *sim = sim_world;
    const machine_t *machine = machine_of(client);
    sim_backend_t *backend = sim_find_backend(sim, port);
    bool dead = backend == NULL || backend->dead_until_ms > sim->now_ms;
    if (!dead && !sim->cut[machine->zone_index][backend->zone_index])
        return backend;
    sim->job_delay_ms = CONNECT_MS;
    error_set(error, RUDDERWAY_ERROR_CANNOT_CONNECT, "simulated");
    return NULL;
}

static bool take(unsigned *count) {
    if (*count == 0)
        return false;
    (*count)--;
    return true;
}

/** A request id is PROGRAM:CALL:ATTEMPT, the program's id itself with one colon. */
static void note_execution(const char *request_id, const char *place, const char *text,
                           uint64_t cost) {
    char **parts = g_strsplit(request_id, ":", -1);
    guint count = g_strv_length(parts);
    if (count == 4) {
        char *program = g_strdup_printf("%s:%s", parts[0], parts[1]);
        history_add(sim_world->history,
                    &(history_record_t){.kind = HISTORY_EXECUTED,
                                        .time_ms = sim_world->now_ms,
                                        .program = program,
                                        .call = (uint32_t)strtoul(parts[2], NULL, 10),
                                        .attempt = (uint32_t)strtoul(parts[3], NULL, 10),
                                        .place = (char *)place,
                                        .text = (char *)text,
                                        .number = cost});
        g_free(program);
    }
    g_strfreev(parts);
}

/* --- Engines -------------------------------------------------------------------------------- */

bool engine_complete(http_client_t *client, engine_address_t engine,
                     const engine_completion_t *completion, engine_usage_t *usage, GError **error) {
    sim_t *sim = sim_world;
    sim_backend_t *backend = reach(client, engine.port, error);
    if (backend == NULL)
        return false;
    if (take(&backend->hang)) {
        sim->job_delay_ms = completion->timeout_ms;
        error_set(error, RUDDERWAY_ERROR_TIMED_OUT, "simulated");
        return false;
    }
    json_t *messages = json_loads(completion->messages, 0, NULL);
    GString *prompt = chat_prompt(messages);
    usage->prompt_tokens = chat_tokens(prompt->len);
    usage->output_tokens = completion->max_tokens;
    g_string_free(prompt, TRUE);
    json_decref(messages);
    if (usage->prompt_tokens + usage->output_tokens > completion->cap_tokens) {
        error_set(error, RUDDERWAY_ERROR_BACKEND_FAILED, "over the cap");
        return false;
    }
    char *text = g_strdup_printf("%s@%s", completion->request_id, backend->name);
    note_execution(completion->request_id, backend->name, text,
                   usage->prompt_tokens + usage->output_tokens);
    g_hash_table_add(backend->held, g_strdup(completion->program));
    int64_t run_ms = (int64_t)usage->prompt_tokens / PREFILL_TOKENS_PER_MS +
                     (int64_t)usage->output_tokens * TOKEN_MS + CONNECT_MS;
    sim->job_delay_ms = run_ms / 2;
    bool lost = take(&backend->lose_answer) || backend->dead_until_ms > sim->now_ms;
    completion->on_text(completion->context, text, strlen(text));
    g_free(text);
    sim->job_delay_ms = run_ms;
    if (lost)
        error_set(error, RUDDERWAY_ERROR_CONNECTION_LOST, "simulated");
    return !lost;
}

bool engine_cancel(http_client_t *client, engine_address_t engine, const char *request_id,
                   GError **error) {
    (void)client;
    (void)engine;
    (void)request_id;
    (void)error;
    return true;
}

bool engine_release(http_client_t *client, engine_address_t engine, const char *program,
                    GError **error) {
    sim_backend_t *backend = reach(client, engine.port, error);
    if (backend == NULL)
        return false;
    g_hash_table_remove(backend->held, program);
    return true;
}

bool engine_load(http_client_t *client, engine_address_t engine, load_report_t *report,
                 GError **error) {
    const sim_backend_t *backend = reach(client, engine.port, error);
    if (backend == NULL)
        return false;
    report->leaving = backend->leaving_since_ms != 0;
    return true;
}

/* --- Services ------------------------------------------------------------------------------- */

bool service_request(http_client_t *client, const service_call_t *call, GBytes **answer,
                     GError **error) {
    sim_t *sim = sim_world;
    sim_backend_t *backend = reach(client, call->port, error);
    if (backend == NULL)
        return false;
    if (take(&backend->hang)) {
        sim->job_delay_ms = call->timeout_ms;
        error_set(error, RUDDERWAY_ERROR_TIMED_OUT, "simulated");
        return false;
    }
    char *text =
        g_strdup_printf("{\"request\":\"%s\",\"by\":\"%s\"}", call->request_id, backend->name);
    note_execution(call->request_id, backend->name, text, 0);
    sim->job_delay_ms = SERVICE_MS;
    if (take(&backend->lose_answer)) {
        sim->job_delay_ms = call->timeout_ms;
        error_set(error, RUDDERWAY_ERROR_TIMED_OUT, "simulated");
        g_free(text);
        return false;
    }
    *answer = g_bytes_new_take(text, strlen(text));
    return true;
}

/* --- Key-value service ---------------------------------------------------------------------- */

static bool key_value_is_down(GError **error) {
    sim_t *sim = sim_world;
    sim->job_delay_ms = KEY_VALUE_MS;
    if (sim->key_value_down_until_ms <= sim->now_ms)
        return false;
    error_set(error, RUDDERWAY_ERROR_KEY_VALUE_UNAVAILABLE, "simulated");
    return true;
}

bool key_value_swap(http_client_t *client, key_value_address_t service, const char *key,
                    const char *value, uint64_t expected_version, uint64_t lease, GError **error) {
    (void)client;
    (void)service;
    (void)lease;
    sim_t *sim = sim_world;
    if (key_value_is_down(error))
        return false;
    const key_value_entry_t *known = g_hash_table_lookup(sim->entries, key);
    if ((known != NULL ? known->version : 0) != expected_version) {
        error_set(error, RUDDERWAY_ERROR_KEY_VALUE_CONFLICT, "simulated");
        return false;
    }
    key_value_entry_t *entry = g_new0(key_value_entry_t, 1);
    entry->value = g_strdup(value);
    entry->version = ++sim->version;
    g_hash_table_replace(sim->entries, g_strdup(key), entry);
    if (!take(&sim->key_value_lose_answer))
        return true;
    sim->job_delay_ms = KEY_VALUE_TIMEOUT_MS;
    error_set(error, RUDDERWAY_ERROR_TIMED_OUT, "simulated");
    return false;
}

json_t *key_value_watch(http_client_t *client, key_value_address_t service, const char *prefix,
                        uint64_t after, int64_t wait_ms, uint64_t *version, GError **error) {
    (void)client;
    (void)service;
    sim_t *sim = sim_world;
    if (key_value_is_down(error))
        return NULL;
    json_t *list = json_array();
    GHashTableIter iterator;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iterator, sim->entries);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        const key_value_entry_t *entry = value;
        if (g_str_has_prefix(key, prefix) && entry->version > after)
            json_array_append_new(list,
                                  json_pack("{s:s, s:s, s:I}", "key", key, "value", entry->value,
                                            "version", (json_int_t)entry->version));
    }
    if (json_array_size(list) == 0 && wait_ms > 0)
        sim->job_delay_ms = WATCH_MS;
    *version = sim->version;
    return list;
}

/* --- Machine list --------------------------------------------------------------------------- */

GPtrArray *machine_list_read(http_client_t *client, const char *address, uint32_t port,
                             GError **error) {
    (void)client;
    (void)address;
    (void)port;
    (void)error;
    const sim_t *sim = sim_world;
    GPtrArray *records = g_ptr_array_new_with_free_func((GDestroyNotify)backend_record_free);
    for (guint i = 0; i < sim->backends->len; i++) {
        const sim_backend_t *backend = g_ptr_array_index(sim->backends, i);
        bool shown_leaving = backend->leaving_since_ms != 0 &&
                             sim->now_ms - backend->leaving_since_ms > sim->machine_list_lag_ms;
        const backend_record_t record = {.kind = backend->kind,
                                         .name = backend->name,
                                         .offers = backend->offers,
                                         .zone = backend->zone,
                                         .address = (char *)"127.0.0.1",
                                         .port = backend->port,
                                         .leaving = shown_leaving};
        g_ptr_array_add(records, backend_record_copy(&record));
    }
    return records;
}
