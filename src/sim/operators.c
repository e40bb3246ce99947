/**
 * @file operators.c
 * Simulated operators: they edit the one template now and then, sometimes two at once, and watch
 * until an accepted edit is in force on every node that can be reached.
 */
#include "sim/world.h"

#include "common/json.h"
#include "node/configuration_service.h"
#include "node/entries.h"

#include <string.h>

enum { FIRST_EDIT_MS = 1500, RETRY_MS = 300, WATCH_MS = 10, IN_FORCE_MS = 5000, OK_STATUS = 200 };

typedef struct {
    char *id;
    uint64_t revision;
    int64_t accepted_ms;
} accepted_t;

static const char tenant_text[] =
    "{\"name\": \"t\", \"calls_in_flight\": 1000, \"token_sha256\": "
    "\"0000000000000000000000000000000000000000000000000000000000000000\"}";

static void free_accepted(accepted_t *accepted) {
    g_free(accepted->id);
    g_free(accepted);
}

/** True if every machine that is up and undisturbed since the edit has it in force. */
static bool is_in_force(const sim_t *sim, const accepted_t *accepted) {
    for (guint i = 0; i < sim->machines->len; i++) {
        const machine_t *machine = g_ptr_array_index(sim->machines, i);
        bool counts = machine->node != NULL && machine->disturbed_until_ms < accepted->accepted_ms;
        if (counts && configuration_revision(machine->node->configuration) < accepted->revision)
            return false;
    }
    return true;
}

static void watch_edit(sim_t *sim, void *data) {
    accepted_t *accepted = data;
    int64_t age_ms = sim->now_ms - accepted->accepted_ms;
    if (is_in_force(sim, accepted)) {
        g_array_append_val(sim->figures.spread_ms, age_ms);
        free_accepted(accepted);
        return;
    }
    if (age_ms < IN_FORCE_MS) {
        sim_after(sim, WATCH_MS, watch_edit, accepted);
        return;
    }
    history_add(sim->history, &(history_record_t){.kind = HISTORY_LAGS,
                                                  .time_ms = sim->now_ms,
                                                  .text = accepted->id,
                                                  .number = accepted->revision});
    free_accepted(accepted);
}

static void try_again(sim_t *sim, void *data) {
    (void)data;
    operator_submit_edit(sim);
}

static void on_response(sim_t *sim, void *data, unsigned status, const char *body) {
    (void)data;
    bool first_is_open = sim->figures.edits_accepted == 0;
    if (status != OK_STATUS) {
        if (first_is_open)
            sim_after(sim, RETRY_MS, try_again, NULL);
        return;
    }
    json_t *value = json_loads(body, 0, NULL);
    accepted_t *accepted = g_new0(accepted_t, 1);
    accepted->id = g_strdup(json_string_value(json_object_get(value, "id")));
    accepted->revision = (uint64_t)json_integer_value(json_object_get(value, "revision"));
    accepted->accepted_ms = sim->now_ms;
    json_decref(value);
    sim->figures.edits_accepted++;
    history_add(sim->history, &(history_record_t){.kind = HISTORY_EDIT,
                                                  .time_ms = sim->now_ms,
                                                  .text = accepted->id,
                                                  .number = accepted->revision});
    watch_edit(sim, accepted);
}

void operator_submit_edit(sim_t *sim) {
    machine_t *machine = sim_random_machine(sim, true);
    node_t *node = machine_node(sim, machine);
    if (node == NULL || g_atomic_int_get(&node->stop_requested)) {
        if (sim->figures.edits_accepted == 0)
            sim_after(sim, RETRY_MS, try_again, NULL);
        return;
    }
    char *id = g_strdup_printf("e%" G_GUINT64_FORMAT, sim->next_event);
    char *text = g_strdup_printf(
        "{\"name\": \"plan\", \"model\": \"base\", \"prompt\": \"Plan well. %s\", "
        "\"tools\": [\"ledger\"], \"limits\": {\"turns\": 100, \"budget_tokens\": 100000, "
        "\"wall_seconds\": 3600, \"idle_seconds\": 3600, \"output_tokens\": 100}}",
        id);
    const configuration_object_t *plan = configuration_object(node->configuration, "template/plan");
    edit_t *edit = edit_new(id, "operator", sim->now_ms);
    edit_add(edit, "template/plan", text, plan != NULL ? plan->revision : 0);
    if (plan == NULL)
        edit_add(edit, "tenant/t", tenant_text, 0);
    http_request_t *request = sim_request_new(machine, on_response, NULL);
    configuration_service_submit(node, request, edit);
    g_free(id);
    g_free(text);
}

static void edit_now_and_then(sim_t *sim, void *data) {
    if (sim->figures.edits_accepted > 0)
        operator_submit_edit(sim);
    if (sim->now_ms < sim->scenario.duration_ms)
        sim_after(sim, sim->scenario.edit_interval_ms, edit_now_and_then, data);
}

void operators_start(sim_t *sim) {
    sim_at(sim, FIRST_EDIT_MS, try_again, NULL);
    sim_at(sim, FIRST_EDIT_MS + sim->scenario.edit_interval_ms, edit_now_and_then, NULL);
}
