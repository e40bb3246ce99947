/**
 * @file callers.c
 * Simulated callers: each plays one program with tools and perhaps a sub-agent, asks again as a
 * real caller may, and writes what it saw into the history.
 */
#include "sim/world.h"

#include "common/json.h"
#include "node/entries.h"
#include "node/partitions.h"

#include <string.h>

enum {
    CLIENT_LATENCY_MS = 2,
    RETRY_MS = 150,
    GIVE_UP_MS = 60000,
    STEPS_MAXIMUM = 24,
    BUDGET = 100000,
    WARM_UP_MS = 4000, /**< Before the first program. */
    OUTPUT_TOKENS = 30,
    SUCCESS_CLASS = 2,
    STATUS_CLASS = 100,
};

typedef enum { STEP_START, STEP_CALL, STEP_READ, STEP_END } step_kind_t;

typedef struct {
    step_kind_t kind;
    char *program; /**< Full id. */
    uint32_t call;
    call_kind_t call_kind;
    bool repeatable;
} step_t;

typedef struct {
    sim_t *sim;
    step_t steps[STEPS_MAXIMUM];
    unsigned step_count;
    unsigned step;
    unsigned issue; /**< Of the current step; answers to older issues are ignored. */
    int64_t first_issued_ms;
    int64_t lost_at_ms; /**< When the node that led the program died; 0: it did not. */
} caller_t;

typedef struct {
    caller_t *caller;
    unsigned step;
    unsigned issue;
    machine_t *machine;
} attempt_t;

static void issue_step(sim_t *sim, void *data);

static void add_step(caller_t *caller, step_kind_t kind, const char *program, uint32_t call,
                     call_kind_t call_kind, bool repeatable) {
    if (caller->step_count == STEPS_MAXIMUM)
        return;
    caller->steps[caller->step_count++] = (step_t){.kind = kind,
                                                   .program = g_strdup(program),
                                                   .call = call,
                                                   .call_kind = call_kind,
                                                   .repeatable = repeatable};
}

static void add_subagent(caller_t *caller, const char *program, uint32_t call) {
    char *child = g_strdup_printf("%s~%u", program, call);
    add_step(caller, STEP_CALL, program, call, CALL_SUBAGENT, true);
    add_step(caller, STEP_CALL, child, 1, CALL_MODEL, true);
    add_step(caller, STEP_CALL, child, 2, CALL_TOOL, true);
    add_step(caller, STEP_READ, child, 0, CALL_MODEL, true);
    add_step(caller, STEP_END, child, 0, CALL_MODEL, true);
    g_free(child);
}

static caller_t *caller_new(sim_t *sim, unsigned number) {
    caller_t *caller = g_new0(caller_t, 1);
    char *program = g_strdup_printf("t:c%u", number);
    uint32_t calls = (uint32_t)sim_between(sim, 3, 8);
    caller->sim = sim;
    add_step(caller, STEP_START, program, 0, CALL_MODEL, true);
    for (uint32_t call = 1; call <= calls; call++) {
        int64_t choice = sim_between(sim, 0, 9);
        if (choice == 9 && call < calls)
            add_subagent(caller, program, call);
        else if (choice >= 5)
            add_step(caller, STEP_CALL, program, call, CALL_TOOL, choice >= 8);
        else
            add_step(caller, STEP_CALL, program, call, CALL_MODEL, choice != 0);
    }
    add_step(caller, STEP_READ, program, 0, CALL_MODEL, true);
    add_step(caller, STEP_END, program, 0, CALL_MODEL, true);
    g_free(program);
    return caller;
}

static void record(const caller_t *caller, history_kind_t kind, uint32_t attempt, const char *text,
                   uint64_t number) {
    const step_t *step = &caller->steps[caller->step];
    history_add(caller->sim->history, &(history_record_t){.kind = kind,
                                                          .time_ms = caller->sim->now_ms,
                                                          .program = step->program,
                                                          .call = step->call,
                                                          .attempt = attempt,
                                                          .repeatable = step->repeatable,
                                                          .text = (char *)text,
                                                          .number = number});
}

/** Calls of back ends are in the history; a sub-agent's start has no back end. */
static bool is_recorded(const step_t *step) {
    return step->kind == STEP_CALL && step->call_kind != CALL_SUBAGENT;
}

/* --- Asking --------------------------------------------------------------------------------- */

static void fill_start(const node_t *node, program_start_t *start) {
    const template_t *plan = configuration_template(node->configuration, "plan");
    start->tenant = g_strdup("t");
    start->template_name = g_strdup("plan");
    start->parameters = g_strdup("{}");
    start->prompt = g_strdup(plan != NULL ? plan->prompt : "");
    start->model = g_strdup("base");
    start->limits = (program_limits_t){.turns = 100,
                                       .budget = BUDGET,
                                       .wall_ms = 3600 * 1000,
                                       .idle_ms = 3600 * 1000,
                                       .output_tokens = 100,
                                       .loop_repeats = 50};
}

static operation_t *build_operation(const caller_t *caller, const node_t *node) {
    static const operation_kind_t kinds[] = {OPERATION_START, OPERATION_CALL, OPERATION_HISTORY,
                                             OPERATION_END};
    const step_t *step = &caller->steps[caller->step];
    operation_t *operation = operation_new(kinds[step->kind], "t", step->program);
    operation->call = step->call;
    operation->call_kind = step->call_kind;
    operation->repeatable = step->repeatable;
    operation->output_tokens = OUTPUT_TOKENS;
    operation->remaining_ms = 10000;
    if (step->kind == STEP_START || step->call_kind == CALL_SUBAGENT)
        fill_start(node, &operation->start);
    if (step->call_kind == CALL_SUBAGENT)
        operation->start.limits.budget = BUDGET / 4;
    char *body;
    if (step->call_kind == CALL_TOOL) {
        operation->service = g_strdup("ledger");
        body = g_strdup_printf("{\"n\":%u}", step->call);
    } else {
        body = g_strdup_printf("[{\"role\":\"user\",\"content\":\"%s call %u\"}]", step->program,
                               step->call);
    }
    operation->body = g_bytes_new_take(body, strlen(body));
    return operation;
}

static void on_response(sim_t *sim, void *data, unsigned status, const char *body);

static void arrive(sim_t *sim, void *data) {
    attempt_t *attempt = data;
    machine_t *machine = attempt->machine;
    if (machine->node == NULL) {
        on_response(sim, attempt, 0, "refused");
        return;
    }
    node_t *node = machine_node(sim, machine);
    if (node == NULL) {
        sim_at(sim, machine->paused_until_ms, arrive, attempt);
        return;
    }
    http_request_t *request = sim_request_new(machine, on_response, attempt);
    if (g_atomic_int_get(&node->stop_requested))
        respond_error(request, RUDDERWAY_ERROR_STOPPING, NULL, 0);
    else if (!g_atomic_int_get(&node->ready))
        respond_error(request, RUDDERWAY_ERROR_NOT_READY, NULL, 0);
    else
        entries_submit(node, request, build_operation(attempt->caller, node));
}

static void issue_step(sim_t *sim, void *data) {
    caller_t *caller = data;
    const step_t *step = &caller->steps[caller->step];
    if (caller->issue == 0) {
        caller->first_issued_ms = sim->now_ms;
        sim->figures.calls_issued += step->kind == STEP_CALL;
    }
    caller->issue++;
    if (is_recorded(step))
        record(caller, HISTORY_INVOKE, 0, NULL, 0);
    attempt_t *attempt = g_new0(attempt_t, 1);
    attempt->caller = caller;
    attempt->step = caller->step;
    attempt->issue = caller->issue;
    attempt->machine = sim_random_machine(sim, false);
    sim_after(sim, CLIENT_LATENCY_MS, arrive, attempt);
}

/* --- Answers -------------------------------------------------------------------------------- */

/** The text by which an answer is recognised, as back ends record it. */
static char *answer_text(const json_t *call) {
    const json_t *answer = json_object_get(call, "answer");
    const json_t *choice = json_array_get(json_object_get(answer, "choices"), 0);
    const char *content =
        json_string_value(json_object_get(json_object_get(choice, "message"), "content"));
    return content != NULL ? g_strdup(content) : json_to_text(answer);
}

static void next_step(caller_t *caller) {
    sim_t *sim = caller->sim;
    if (caller->lost_at_ms != 0) {
        int64_t recovery_ms = sim->now_ms - caller->lost_at_ms;
        g_array_append_val(sim->figures.recovery_ms, recovery_ms);
        caller->lost_at_ms = 0;
    }
    caller->step++;
    caller->issue = 0;
    if (caller->step == caller->step_count) {
        sim->figures.programs_completed++;
        sim->programs_open--;
        return;
    }
    sim_after(sim, sim_between(sim, 5, 400), issue_step, caller);
}

static void take_history(caller_t *caller, const json_t *program) {
    const json_t *history = json_object_get(program, "history");
    record(caller, HISTORY_READ, 0, NULL, 0);
    for (size_t i = 0; i < json_array_size(history); i++) {
        const json_t *call = json_array_get(history, i);
        const char *state = json_string_value(json_object_get(call, "state"));
        const char *kind = json_string_value(json_object_get(call, "kind"));
        if (strcmp(state, "ok") != 0 || strcmp(kind, "subagent") == 0)
            continue;
        char *text = answer_text(call);
        const history_record_t read = {
            .kind = HISTORY_READ,
            .time_ms = caller->sim->now_ms,
            .program = caller->steps[caller->step].program,
            .call = (uint32_t)json_integer_value(json_object_get(call, "call")),
            .text = text};
        history_add(caller->sim->history, &read);
        g_free(text);
    }
}

static void take_success(caller_t *caller, const json_t *body) {
    const step_t *step = &caller->steps[caller->step];
    switch (step->kind) {
    case STEP_START:
        record(caller, HISTORY_START, 0, NULL, BUDGET);
        break;
    case STEP_CALL:
        caller->sim->figures.calls_answered++;
        if (is_recorded(step)) {
            char *text = answer_text(body);
            record(caller, HISTORY_OK,
                   (uint32_t)json_integer_value(json_object_get(body, "attempt")), text, 0);
            g_free(text);
        }
        break;
    case STEP_READ:
        take_history(caller, body);
        break;
    case STEP_END:
        record(caller, HISTORY_END, 0, NULL, 0);
        break;
    }
    next_step(caller);
}

static void abandon(caller_t *caller) {
    caller->sim->figures.calls_failed++;
    caller->sim->programs_open--;
    caller->step = caller->step_count;
}

static void record_refusal(const caller_t *caller, const char *outcome) {
    if (!is_recorded(&caller->steps[caller->step]))
        return;
    history_kind_t kind = HISTORY_UNKNOWN;
    if (g_strcmp0(outcome, "not_run") == 0)
        kind = HISTORY_NOT_RUN;
    else if (g_strcmp0(outcome, "failed") == 0)
        kind = HISTORY_FAILED;
    record(caller, kind, 0, NULL, 0);
}

static void retry(caller_t *caller) {
    sim_t *sim = caller->sim;
    if (sim->now_ms - caller->first_issued_ms > GIVE_UP_MS)
        abandon(caller);
    else
        sim_after(sim, RETRY_MS, issue_step, caller);
}

/** An error that another try at the same number will not change. */
static bool ends_program(error_code_t code) {
    return code == RUDDERWAY_ERROR_BUDGET_EXCEEDED || code == RUDDERWAY_ERROR_PROGRAM_ENDED ||
           code == RUDDERWAY_ERROR_LOOP_DETECTED || code == RUDDERWAY_ERROR_TURN_LIMIT ||
           code == RUDDERWAY_ERROR_CALL_MISMATCH || code == RUDDERWAY_ERROR_PROGRAM_MISMATCH;
}

static void take_error(caller_t *caller, const json_t *body) {
    const json_t *error = json_object_get(body, "error");
    const char *code = json_string_value(json_object_get(error, "code"));
    const json_t *call = json_object_get(body, "call");
    const char *state = json_string_value(json_object_get(call, "state"));
    record_refusal(caller, json_string_value(json_object_get(error, "outcome")));
    bool settled = g_strcmp0(state, "unknown") == 0 || g_strcmp0(state, "failed") == 0;
    if (settled) {
        caller->sim->figures.calls_failed++;
        next_step(caller);
    } else if (code != NULL && ends_program(error_from_name(code))) {
        abandon(caller);
    } else {
        retry(caller);
    }
}

static void on_response(sim_t *sim, void *data, unsigned status, const char *body) {
    (void)sim;
    attempt_t *attempt = data;
    caller_t *caller = attempt->caller;
    bool current = attempt->step == caller->step && attempt->issue == caller->issue;
    g_free(attempt);
    if (!current)
        return;
    if (status == 0) {
        record_refusal(caller, body != NULL ? "not_run" : "unknown");
        retry(caller);
        return;
    }
    json_t *value = json_loads(body, 0, NULL);
    if (status / STATUS_CLASS == SUCCESS_CLASS)
        take_success(caller, value);
    else
        take_error(caller, value);
    json_decref(value);
}

/* --- Start ---------------------------------------------------------------------------------- */

static _Thread_local GPtrArray *callers;

static void free_caller(gpointer data) {
    caller_t *caller = data;
    for (unsigned i = 0; i < caller->step_count; i++)
        g_free(caller->steps[i].program);
    g_free(caller);
}

void callers_start(sim_t *sim) {
    g_clear_pointer(&callers, g_ptr_array_unref);
    callers = g_ptr_array_new_with_free_func(free_caller);
    for (uint32_t i = 0; i < sim->scenario.programs; i++) {
        caller_t *caller = caller_new(sim, i);
        g_ptr_array_add(callers, caller);
        sim->figures.programs++;
        sim->programs_open++;
        sim_at(sim, sim_between(sim, WARM_UP_MS, sim->scenario.duration_ms), issue_step, caller);
    }
}

void callers_note_loss(sim_t *sim, const machine_t *machine) {
    for (guint i = 0; i < callers->len; i++) {
        caller_t *caller = g_ptr_array_index(callers, i);
        if (caller->step >= caller->step_count || caller->issue == 0)
            continue;
        const char *program = caller->steps[caller->step].program;
        uint32_t partition = partitions_of_program(machine->node, program);
        if (partitions_led_group(machine->node, partition) != NULL && caller->lost_at_ms == 0)
            caller->lost_at_ms = sim->now_ms;
    }
}
