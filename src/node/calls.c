#include "node/calls.h"

#include "common/event.h"
#include "core/placement/placement.h"
#include "node/call_answers.h"
#include "node/call_planning.h"
#include "node/calls_state.h"
#include "node/runs.h"

#include <string.h>

enum {
    HELD_PER_NODE_MAXIMUM = 10000,
    SCAN_INTERVAL_MS = 250,
    BYTES_PER_MEBIBYTE = 1024 * 1024,
};

/** An operation whose turn has not come, or whose retry is due later. */
typedef struct {
    operation_t *operation;
    int64_t until_ms;
} held_t;

/** What a proposal or barrier was made for. */
typedef struct {
    operation_t *operation;
} request_context_t;

static void held_free(gpointer data) {
    held_t *held = data;
    operation_free(held->operation);
    g_free(held);
}

calls_t *calls_new(void) {
    calls_t *calls = g_new0(calls_t, 1);
    calls->held = g_ptr_array_new_with_free_func(held_free);
    calls->retry_budget = retry_budget_new();
    calls->retries = g_ptr_array_new_with_free_func(calls_retry_free);
    return calls;
}

void calls_free(calls_t *calls) {
    g_ptr_array_unref(calls->held);
    g_ptr_array_unref(calls->retries);
    g_free(calls);
}

unsigned calls_waiting(const node_t *node) {
    return call_answers_waiting(node) + node->calls->held->len;
}

/* --- Start, read, end --------------------------------------------------------------------- */

static request_context_t *request_context_new(const operation_t *operation) {
    request_context_t *context = g_new0(request_context_t, 1);
    context->operation = operation_copy(operation);
    return context;
}

static void request_context_free(request_context_t *context) {
    operation_free(context->operation);
    g_free(context);
}

static void on_start_applied(node_t *node, group_t *group, const command_t *command,
                             error_code_t error, void *data) {
    (void)command;
    request_context_t *context = data;
    const operation_t *operation = context->operation;
    const program_t *program = program_store_find(group_store(group), operation->program);
    if (error == RUDDERWAY_ERROR_NONE && program != NULL)
        call_answers_json(node, operation, calls_program_to_json(program, false));
    else
        call_answers_refuse(node, operation,
                            error != RUDDERWAY_ERROR_NONE ? error : RUDDERWAY_ERROR_NOT_LEADER);
    request_context_free(context);
}

static void start_program(node_t *node, group_t *group, const operation_t *operation) {
    uint64_t limit = (uint64_t)node->settings->program_memory_mb * BYTES_PER_MEBIBYTE;
    bool known = program_store_find(group_store(group), operation->program) != NULL;
    if (!known && node->stopping) {
        call_answers_refuse(node, operation, RUDDERWAY_ERROR_NOT_LEADER);
        return;
    }
    if (!known && partitions_bytes(node) > limit) {
        call_answers_refuse(node, operation, RUDDERWAY_ERROR_MEMORY_LIMIT);
        return;
    }
    command_t *command = command_new(COMMAND_START, operation->program, node->unix_ms);
    program_start_copy(&command->start, &operation->start);
    partitions_propose(node, group, command, on_start_applied, request_context_new(operation));
}

static void on_end_applied(node_t *node, group_t *group, const command_t *command,
                           error_code_t error, void *data) {
    on_start_applied(node, group, command, error, data);
}

static bool belongs_to(const program_t *program, const operation_t *operation) {
    return program != NULL && strcmp(program->start.tenant, operation->tenant) == 0;
}

static void end_program(node_t *node, group_t *group, const operation_t *operation) {
    const program_t *program = program_store_find(group_store(group), operation->program);
    if (!belongs_to(program, operation)) {
        call_answers_refuse(node, operation, RUDDERWAY_ERROR_NO_SUCH_PROGRAM);
        return;
    }
    command_t *command = command_new(COMMAND_END, operation->program, node->unix_ms);
    command->reason = END_BY_CALLER;
    partitions_propose(node, group, command, on_end_applied, request_context_new(operation));
}

static void answer_read(node_t *node, const group_t *group, const operation_t *operation) {
    const program_t *program = program_store_find(group_store(group), operation->program);
    if (!belongs_to(program, operation)) {
        call_answers_refuse(node, operation, RUDDERWAY_ERROR_NO_SUCH_PROGRAM);
        return;
    }
    if (operation->kind == OPERATION_HISTORY) {
        call_answers_json(node, operation, calls_program_to_json(program, true));
        return;
    }
    const call_t *call = program_call(program, operation->call);
    if (call == NULL)
        call_answers_refuse(node, operation, RUDDERWAY_ERROR_NO_SUCH_CALL);
    else if (call->state == CALL_RUNNING)
        call_answers_wait(node, operation);
    else
        call_answers_call(node, operation, program, call);
}

static void on_read_current(node_t *node, group_t *group, error_code_t error, void *data) {
    request_context_t *context = data;
    if (error == RUDDERWAY_ERROR_NONE)
        answer_read(node, group, context->operation);
    else
        call_answers_refuse(node, context->operation, error);
    request_context_free(context);
}

/* --- Calls -------------------------------------------------------------------------------- */

static error_code_t check_limits(node_t *node, const operation_t *operation) {
    if (node->stopping)
        return RUDDERWAY_ERROR_NOT_LEADER; /* Soon: leadership is being handed off. */
    if (runs_count(node, NULL) >= node->settings->calls_in_flight)
        return RUDDERWAY_ERROR_OVERLOADED;
    configuration_t *configuration = node_configuration(node);
    const tenant_t *tenant = configuration_tenant(configuration, operation->tenant);
    bool over = tenant != NULL && runs_count(node, operation->tenant) >= tenant->calls_in_flight;
    configuration_unref(configuration);
    return over ? RUDDERWAY_ERROR_TENANT_LIMIT : RUDDERWAY_ERROR_NONE;
}

/** A limit that a program has run into ends it. */
static void end_if_runaway(node_t *node, group_t *group, const char *program, error_code_t error) {
    if (error != RUDDERWAY_ERROR_LOOP_DETECTED)
        return;
    command_t *command = command_new(COMMAND_END, program, node->unix_ms);
    command->reason = END_LOOP;
    partitions_propose(node, group, command, NULL, NULL);
}

static void on_intent_applied(node_t *node, group_t *group, const command_t *command,
                              error_code_t error, void *data) {
    (void)command;
    request_context_t *context = data;
    const operation_t *operation = context->operation;
    const program_t *program = program_store_find(group_store(group), operation->program);
    const call_t *call = program != NULL ? program_call(program, operation->call) : NULL;
    bool raced = error == RUDDERWAY_ERROR_CALL_RUNNING && call != NULL;
    if (error != RUDDERWAY_ERROR_NONE && !raced)
        call_answers_refuse(node, operation, error);
    else if (call == NULL)
        call_answers_refuse(node, operation, RUDDERWAY_ERROR_NOT_LEADER);
    else if (call->state == CALL_RUNNING)
        call_answers_wait(node, operation);
    else
        call_answers_call(node, operation, program, call);
    request_context_free(context);
}

static void propose_call(node_t *node, group_t *group, const program_t *program,
                         const operation_t *operation) {
    const call_t *known = program_call(program, operation->call);
    error_code_t error = check_limits(node, operation);
    command_t *intent = command_new(COMMAND_INTENT, operation->program, node->unix_ms);
    intent->call = operation->call;
    intent->attempt = known != NULL ? known->attempt + 1 : 1;
    intent->call_kind = operation->call_kind;
    intent->repeatable = operation->repeatable;
    intent->digest = call_planning_digest(operation);
    intent->runner = node->instance;
    intent->body = g_bytes_ref(operation->body);
    int64_t longest = (int64_t)node->settings->call_timeout_seconds * 1000;
    int64_t wall_end = program->started_ms + program->start.limits.wall_ms;
    intent->deadline_ms =
        MIN(node->unix_ms + MIN(longest, operation->remaining_ms), MAX(wall_end, node->unix_ms));
    if (error == RUDDERWAY_ERROR_NONE)
        error = call_planning_first(node, program, operation, intent);
    if (error == RUDDERWAY_ERROR_NONE)
        error = program_store_check(group_store(group), intent);
    if (error == RUDDERWAY_ERROR_NONE) {
        retry_budget_record_first_attempt(&node->calls->retry_budget);
        runs_expect(node, intent);
        partitions_propose(node, group, intent, on_intent_applied, request_context_new(operation));
        return;
    }
    command_free(intent);
    call_answers_refuse(node, operation, error);
    end_if_runaway(node, group, operation->program, error);
}

static bool is_held(const node_t *node, const operation_t *operation) {
    for (guint i = 0; i < node->calls->held->len; i++) {
        const held_t *held = g_ptr_array_index(node->calls->held, i);
        if (held->operation->entry == operation->entry &&
            held->operation->request == operation->request)
            return true;
    }
    return false;
}

static void hold(node_t *node, const operation_t *operation) {
    if (is_held(node, operation))
        return;
    if (node->calls->held->len >= HELD_PER_NODE_MAXIMUM) {
        call_answers_refuse(node, operation, RUDDERWAY_ERROR_OUT_OF_ORDER);
        return;
    }
    held_t *held = g_new0(held_t, 1);
    held->operation = operation_copy(operation);
    held->until_ms = node->now_ms + operation->remaining_ms;
    g_ptr_array_add(node->calls->held, held);
}

static bool is_settled(const call_t *call) {
    return call != NULL && call->state != CALL_RUNNING && call->state != CALL_NOT_RUN;
}

static void start_call(node_t *node, group_t *group, const operation_t *operation) {
    const program_t *program = program_store_find(group_store(group), operation->program);
    if (!belongs_to(program, operation)) {
        call_answers_refuse(node, operation, RUDDERWAY_ERROR_NO_SUCH_PROGRAM);
        return;
    }
    const call_t *call = program_call(program, operation->call);
    if (call != NULL && call->digest != call_planning_digest(operation))
        call_answers_refuse(node, operation, RUDDERWAY_ERROR_CALL_MISMATCH);
    else if (is_settled(call))
        call_answers_call(node, operation, program, call);
    else if (call != NULL && call->state == CALL_RUNNING)
        call_answers_wait(node, operation);
    else if (program->ended)
        call_answers_refuse(node, operation, RUDDERWAY_ERROR_PROGRAM_ENDED);
    else if (operation->call == 1 || is_settled(program_call(program, operation->call - 1)))
        propose_call(node, group, program, operation);
    else
        hold(node, operation);
}

void calls_receive(node_t *node, const operation_t *operation) {
    uint32_t partition = partitions_of_program(node, operation->program);
    group_t *group = partitions_led_group(node, partition);
    if (group == NULL) {
        call_answers_refuse(node, operation, RUDDERWAY_ERROR_NOT_LEADER);
        return;
    }
    switch (operation->kind) {
    case OPERATION_START:
        start_program(node, group, operation);
        break;
    case OPERATION_CALL:
        start_call(node, group, operation);
        break;
    case OPERATION_END:
        end_program(node, group, operation);
        break;
    case OPERATION_FETCH:
    case OPERATION_HISTORY:
        partitions_barrier(node, group, on_read_current, request_context_new(operation));
        break;
    case OPERATION_KINDS:
        break;
    }
}

/* --- The log ------------------------------------------------------------------------------ */

static void release_held(node_t *node, const char *program) {
    GPtrArray *ready = g_ptr_array_new_with_free_func(held_free);
    for (guint i = node->calls->held->len; i > 0; i--) {
        const held_t *held = g_ptr_array_index(node->calls->held, i - 1);
        if (strcmp(held->operation->program, program) == 0)
            g_ptr_array_add(ready, g_ptr_array_steal_index(node->calls->held, i - 1));
    }
    for (guint i = ready->len; i > 0; i--)
        calls_receive(node, ((held_t *)g_ptr_array_index(ready, i - 1))->operation);
    g_ptr_array_unref(ready);
}

static void note_program_ended(node_t *node, const program_t *program) {
    event_log(PROGRAM_ENDED, program->id, end_reason_name(program->end_reason));
    node->metrics.programs_ended++;
    histogram_add(&node->metrics.program_latency, program->ended_ms - program->started_ms);
}

static void on_result_applied(node_t *node, const group_t *group, const command_t *command) {
    const program_t *program = program_store_find(group_store(group), command->program);
    runs_settled(node, command->program, command->call, command->attempt);
    if (program == NULL)
        return; /* A copy that catches up may have applied the program's FORGET by now. */
    call_answers_settled(node, program, program_call(program, command->call));
    release_held(node, command->program);
}

void calls_applied(node_t *node, group_t *group, const command_t *command, error_code_t error) {
    if (error != RUDDERWAY_ERROR_NONE)
        return;
    const program_t *program = program_store_find(group_store(group), command->program);
    switch (command->kind) {
    case COMMAND_START:
        node->metrics.programs_started++;
        break;
    case COMMAND_INTENT:
        if (command->attempt > 1)
            runs_settled(node, command->program, command->call, command->attempt - 1);
        if (command->call_kind == CALL_SUBAGENT)
            release_held(node, command->program);
        else if (command->runner == node->instance && program != NULL)
            runs_start(node, group, command);
        break;
    case COMMAND_RESULT:
        on_result_applied(node, group, command);
        break;
    case COMMAND_END:
        runs_cancel(node, command->program);
        release_held(node, command->program);
        if (program != NULL && program->ended_ms == command->time_ms)
            note_program_ended(node, program);
        break;
    case COMMAND_HELD:
    case COMMAND_RELEASED:
    case COMMAND_FORGET:
    case COMMAND_KINDS:
        break;
    }
}

void calls_leadership_gained(node_t *node, group_t *group) {
    calls_runner_lost(node, group);
}

static bool is_in_group(const node_t *node, const char *program, const group_t *group) {
    return partitions_of_program(node, program) == group_partition(group);
}

void calls_leadership_lost(node_t *node, const group_t *group) {
    call_answers_drop(node, group);
    for (guint i = node->calls->held->len; i > 0; i--) {
        const held_t *held = g_ptr_array_index(node->calls->held, i - 1);
        if (!is_in_group(node, held->operation->program, group))
            continue;
        call_answers_refuse(node, held->operation, RUDDERWAY_ERROR_NOT_LEADER);
        g_ptr_array_remove_index(node->calls->held, i - 1);
    }
}

/* --- Time --------------------------------------------------------------------------------- */

static void end_by_limit(node_t *node, group_t *group, const char *program, end_reason_t reason) {
    command_t *command = command_new(COMMAND_END, program, node->unix_ms);
    command->reason = reason;
    partitions_propose(node, group, command, NULL, NULL);
}

typedef struct {
    char *program;
    end_reason_t reason;
    bool forget;
} due_t;

static void due_free(gpointer data) {
    due_t *due = data;
    g_free(due->program);
    g_free(due);
}

static void find_due(const node_t *node, const program_t *program, GPtrArray *list) {
    const program_limits_t *limits = &program->start.limits;
    int64_t retention = (int64_t)node->settings->ended_retention_seconds * 1000;
    due_t due = {0};
    bool idle = node->unix_ms - program->active_ms > limits->idle_ms &&
                program_running_call(program) == NULL;
    if (program->ended) {
        if (program->holders->len > 0 || node->unix_ms - program->ended_ms < retention)
            return;
        due.forget = true;
    } else if (node->unix_ms - program->started_ms > limits->wall_ms) {
        due.reason = END_WALL_LIMIT;
    } else if (idle) {
        due.reason = END_IDLE_LIMIT;
    } else {
        return;
    }
    due_t *copy = g_new(due_t, 1);
    *copy = due;
    copy->program = g_strdup(program->id);
    g_ptr_array_add(list, copy);
}

static void scan_group(node_t *node, group_t *group) {
    GPtrArray *list = g_ptr_array_new_with_free_func(due_free);
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, program_store_all(group_store(group)));
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        find_due(node, value, list);
    for (guint i = 0; i < list->len; i++) {
        const due_t *due = g_ptr_array_index(list, i);
        if (due->forget)
            partitions_propose(
                node, group, command_new(COMMAND_FORGET, due->program, node->unix_ms), NULL, NULL);
        else
            end_by_limit(node, group, due->program, due->reason);
    }
    g_ptr_array_unref(list);
    calls_runner_lost(node, group);
}

static void expire_held(node_t *node) {
    for (guint i = node->calls->held->len; i > 0; i--) {
        const held_t *held = g_ptr_array_index(node->calls->held, i - 1);
        if (held->until_ms > node->now_ms)
            continue;
        call_answers_refuse(node, held->operation, RUDDERWAY_ERROR_OUT_OF_ORDER);
        g_ptr_array_remove_index(node->calls->held, i - 1);
    }
}

void calls_tick(node_t *node) {
    calls_propose_due_retries(node);
    expire_held(node);
    if (node->now_ms < node->calls->next_scan_ms)
        return;
    node->calls->next_scan_ms = node->now_ms + SCAN_INTERVAL_MS;
    partitions_each_led(node, scan_group);
}
