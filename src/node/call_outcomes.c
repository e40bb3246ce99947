/*
 * What becomes of a call once an attempt has ended, or its runner is gone: another attempt if the
 * outcome allows one, else its result goes into the log.
 */
#include "node/calls.h"

#include "common/event.h"
#include "node/call_planning.h"
#include "node/calls_state.h"
#include "node/runs.h"

#include <string.h>

enum {
    ATTEMPTS_MAXIMUM = 4,
    DEADLINE_GRACE_MS = 2000, /**< A runner has this long to report after the deadline. */
};

/** True if another attempt may follow the outcome @p result. */
static bool may_retry(const node_t *node, const program_t *program, const call_t *call,
                      const command_t *result) {
    if (result->state == CALL_OK || call->attempt >= ATTEMPTS_MAXIMUM || program->ended ||
        node->unix_ms >= call->deadline_ms || node->stopping)
        return false;
    if (result->state == CALL_NOT_RUN)
        return true;
    return call->repeatable && result->state == CALL_UNKNOWN;
}

static command_t *retry_intent(node_t *node, const program_t *program, const call_t *call,
                               const command_t *result) {
    command_t *intent = command_new(COMMAND_INTENT, program->id, node->unix_ms);
    intent->call = call->number;
    intent->attempt = call->attempt + 1;
    intent->call_kind = call->kind;
    intent->repeatable = call->repeatable;
    intent->previous_not_run = result->state == CALL_NOT_RUN;
    intent->digest = call->digest;
    intent->runner = node->instance;
    intent->deadline_ms = call->deadline_ms;
    intent->body = g_bytes_ref(call->request);
    const backend_t *failed = backend_set_find(node->backends, call->backend);
    error_code_t error = RUDDERWAY_ERROR_NO_BACKEND;
    if (call->kind == CALL_MODEL) {
        error = call_planning_model(node, program, intent, call->output_tokens, call->backend);
    } else if (failed != NULL) {
        error = call_planning_tool(node, program, intent, failed->record.offers, call->backend);
    }
    if (error == RUDDERWAY_ERROR_NONE)
        return intent;
    command_free(intent);
    return NULL;
}

void calls_retry_free(gpointer data) {
    delayed_retry_t *retry = data;
    command_free(retry->intent);
    g_free(retry);
}

static void delay_retry(node_t *node, command_t *intent) {
    delayed_retry_t *retry = g_new0(delayed_retry_t, 1);
    retry->intent = intent;
    retry->due_ms = node->now_ms + retry_delay_ms(intent->attempt);
    g_ptr_array_add(node->calls->retries, retry);
}

static bool retry_is_pending(const node_t *node, const command_t *result) {
    for (guint i = 0; i < node->calls->retries->len; i++) {
        const delayed_retry_t *retry = g_ptr_array_index(node->calls->retries, i);
        if (strcmp(retry->intent->program, result->program) == 0 &&
            retry->intent->call == result->call)
            return true;
    }
    return false;
}

bool calls_is_open(const group_t *group, const command_t *result) {
    const program_t *program = program_store_find(group_store(group), result->program);
    const call_t *call = program != NULL ? program_call(program, result->call) : NULL;
    return call != NULL && call->state == CALL_RUNNING && call->attempt == result->attempt;
}

/**
 * An attempt that ran late, after its program had ended and been released (its runner was
 * paused, say), has filled an engine's cache once more: it must be released again.
 */
static void release_again(node_t *node, group_t *group, const command_t *result) {
    const program_t *program = program_store_find(group_store(group), result->program);
    bool ran = result->call_kind == CALL_MODEL && result->state != CALL_NOT_RUN;
    if (program == NULL || !program->ended || !ran)
        return;
    command_t *held = command_new(COMMAND_HELD, result->program, node->unix_ms);
    held->backend = g_strdup(result->backend);
    partitions_propose(node, group, held, NULL, NULL);
}

void calls_settle(node_t *node, group_t *group, command_t *result) {
    const program_t *program = program_store_find(group_store(group), result->program);
    const call_t *call = program != NULL ? program_call(program, result->call) : NULL;
    if (!calls_is_open(group, result))
        release_again(node, group, result);
    if (call == NULL || !calls_is_open(group, result) || retry_is_pending(node, result)) {
        command_free(result);
        return;
    }
    if (may_retry(node, program, call, result) && retry_budget_take(&node->calls->retry_budget)) {
        command_t *intent = retry_intent(node, program, call, result);
        if (intent != NULL) {
            event_log(CALL_RETRIED, program->id, call->number, intent->attempt, call->backend,
                      error_name((error_code_t)result->error));
            node->metrics.retries++;
            delay_retry(node, intent);
            command_free(result);
            return;
        }
    }
    if (result->state == CALL_UNKNOWN)
        event_log(CALL_UNKNOWN, program->id, call->number, error_name((error_code_t)result->error));
    if (result->state == CALL_FAILED)
        event_log(CALL_FAILED, program->id, call->number, call->backend,
                  error_name((error_code_t)result->error));
    partitions_propose(node, group, result, NULL, NULL);
}

static command_t *lost_result(const node_t *node, const program_t *program, const call_t *call,
                              error_code_t error) {
    command_t *result = command_new(COMMAND_RESULT, program->id, node->unix_ms);
    result->call = call->number;
    result->attempt = call->attempt;
    result->state = CALL_UNKNOWN;
    result->error = error;
    result->body = g_bytes_new(NULL, 0);
    return result;
}

/** The outcome of a running call that nobody will report any more, or NULL. */
static command_t *find_lost(const node_t *node, const program_t *program) {
    const call_t *call = program_running_call(program);
    if (call == NULL)
        return NULL;
    const member_t *runner = membership_find(node->membership, call->runner);
    bool lost = runner == NULL || runner->state == MEMBER_DEAD;
    if (call->runner == node->instance)
        lost = !runs_has(node, program->id, call->number, call->attempt);
    if (lost)
        return lost_result(node, program, call, RUDDERWAY_ERROR_RUNNER_LOST);
    if (node->unix_ms > call->deadline_ms + DEADLINE_GRACE_MS && call->runner != node->instance)
        return lost_result(node, program, call, RUDDERWAY_ERROR_TIMED_OUT);
    return NULL;
}

void calls_runner_lost(node_t *node, group_t *group) {
    GPtrArray *results = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, program_store_all(group_store(group)));
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        command_t *result = find_lost(node, value);
        if (result != NULL)
            g_ptr_array_add(results, result);
    }
    for (guint i = 0; i < results->len; i++)
        calls_settle(node, group, g_ptr_array_index(results, i));
    g_ptr_array_unref(results);
}

void calls_propose_due_retries(node_t *node) {
    for (guint i = node->calls->retries->len; i > 0; i--) {
        delayed_retry_t *retry = g_ptr_array_index(node->calls->retries, i - 1);
        if (retry->due_ms > node->now_ms)
            continue;
        command_t *intent = g_steal_pointer(&retry->intent);
        g_ptr_array_set_free_func(node->calls->retries, g_free);
        g_ptr_array_remove_index(node->calls->retries, i - 1);
        g_ptr_array_set_free_func(node->calls->retries, calls_retry_free);
        uint32_t partition = partitions_of_program(node, intent->program);
        group_t *group = partitions_led_group(node, partition);
        if (group != NULL) {
            runs_expect(node, intent);
            partitions_propose(node, group, intent, NULL, NULL);
        } else {
            command_free(intent);
        }
    }
}
