#include "node/runs.h"

#include "common/chat.h"
#include "core/placement/placement.h"
#include "node/adapters/engine.h"
#include "node/adapters/service.h"
#include "node/prompt.h"

#include <string.h>

enum {
    SETTLE_INTERVAL_MS = 200,
    SWEEP_INTERVAL_MS = 60000,
    START_MAXIMUM_MS = 800, /**< From proposal to start; below the time to be declared dead. */
    BATCH_PRIORITY = 10,
    INTERACTIVE_PRIORITY = 0,
};

/**
 * One attempt. The fields up to "cancelled" do not change while it executes, so the pool thread
 * may read them; the rest belongs to the decision thread.
 */
typedef struct {
    node_t *node;
    char *program;
    char *tenant;
    uint32_t call;
    uint32_t attempt;
    call_kind_t kind;
    bool repeatable;
    bool batch;
    char *backend;
    char *address;
    uint32_t port;
    char *path;
    char *model;
    char *request_id;
    char *messages; /**< Model call: JSON. */
    GBytes *body;   /**< Tool call: JSON. */
    uint32_t max_tokens;
    uint64_t cap_tokens;
    uint64_t history_tokens; /**< Of the prompt: what the program had computed before. */
    int64_t timeout_ms;
    gint cancelled; /**< Atomic. */

    GString *text;
    bool executing;
    int64_t started_ms;
    command_t *result; /**< The outcome, until it is settled. */
    uint64_t settle_id;
    int64_t next_settle_ms;
} run_t;

/** What the pool thread reports. */
typedef struct {
    run_t *run;
    error_code_t error;
    engine_usage_t usage;
    GBytes *answer; /**< Tool call. */
} run_outcome_t;

typedef struct {
    run_t *run;
    char *text;
    size_t length;
} piece_t;

struct runs {
    GPtrArray *list;      /**< Of run_t. */
    GHashTable *expected; /**< "program#call#attempt" → deadline, Unix time in ms. */
    int64_t next_sweep_ms;
    uint64_t next_settle;
};

static void run_free(run_t *run) {
    g_free(run->program);
    g_free(run->tenant);
    g_free(run->backend);
    g_free(run->address);
    g_free(run->path);
    g_free(run->model);
    g_free(run->request_id);
    g_free(run->messages);
    g_clear_pointer(&run->body, g_bytes_unref);
    g_clear_pointer(&run->result, command_free);
    g_string_free(run->text, TRUE);
    g_free(run);
}

runs_t *runs_new(void) {
    runs_t *runs = g_new0(runs_t, 1);
    runs->list = g_ptr_array_new_with_free_func((GDestroyNotify)run_free);
    runs->expected = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return runs;
}

void runs_free(runs_t *runs) {
    g_ptr_array_unref(runs->list);
    g_hash_table_unref(runs->expected);
    g_free(runs);
}

static run_t *find_run(const node_t *node, const char *program, uint32_t call, uint32_t attempt) {
    const GPtrArray *list = node->runs->list;
    for (guint i = 0; i < list->len; i++) {
        run_t *run = g_ptr_array_index(list, i);
        if (run->call == call && run->attempt == attempt && strcmp(run->program, program) == 0)
            return run;
    }
    return NULL;
}

bool runs_has(const node_t *node, const char *program, uint32_t call, uint32_t attempt) {
    return find_run(node, program, call, attempt) != NULL;
}

const GString *runs_text(const node_t *node, const char *program, uint32_t call,
                         uint32_t *attempt) {
    const GPtrArray *list = node->runs->list;
    for (guint i = 0; i < list->len; i++) {
        const run_t *run = g_ptr_array_index(list, i);
        if (run->call != call || !run->executing || strcmp(run->program, program) != 0)
            continue;
        *attempt = run->attempt;
        return run->text;
    }
    return NULL;
}

unsigned runs_count(const node_t *node, const char *tenant) {
    unsigned count = 0;
    const GPtrArray *list = node->runs->list;
    for (guint i = 0; i < list->len; i++) {
        const run_t *run = g_ptr_array_index(list, i);
        if (run->executing && (tenant == NULL || strcmp(run->tenant, tenant) == 0))
            count++;
    }
    return count;
}

/* --- On the pool -------------------------------------------------------------------------- */

static void on_piece(void *context, void *data) {
    node_t *node = context;
    piece_t *piece = data;
    run_t *run = piece->run;
    uint64_t offset = run->text->len;
    g_string_append_len(run->text, piece->text, (gssize)piece->length);
    calls_chunk(node, run->program, run->call, run->attempt, offset, piece->text, piece->length);
    g_free(piece->text);
    g_free(piece);
}

static bool on_text(void *context, const char *text, size_t length) {
    run_t *run = context;
    piece_t *piece = g_new0(piece_t, 1);
    piece->run = run;
    piece->text = g_memdup2(text, length);
    piece->length = length;
    mailbox_post(run->node->mailbox, on_piece, piece);
    return !g_atomic_int_get(&run->cancelled);
}

static bool execute_model(run_t *run, run_outcome_t *outcome, GError **error) {
    engine_address_t engine = {.address = run->address, .port = run->port};
    engine_completion_t completion = {
        .request_id = run->request_id,
        .program = run->program,
        .model = run->model,
        .messages = run->messages,
        .max_tokens = run->max_tokens,
        .cap_tokens = run->cap_tokens,
        .priority = run->batch ? BATCH_PRIORITY : INTERACTIVE_PRIORITY,
        .timeout_ms = run->timeout_ms,
        .on_text = on_text,
        .context = run,
    };
    bool done = engine_complete(run->node->client, engine, &completion, &outcome->usage, error);
    bool stray =
        !done && *error != NULL && error_outcome((error_code_t)(*error)->code) == OUTCOME_UNKNOWN;
    if (stray)
        engine_cancel(run->node->client, engine, run->request_id, NULL);
    return done;
}

static bool execute_tool(run_t *run, run_outcome_t *outcome, GError **error) {
    service_call_t call = {.address = run->address,
                           .port = run->port,
                           .path = run->path,
                           .request_id = run->request_id,
                           .body = run->body,
                           .repeatable = run->repeatable,
                           .timeout_ms = run->timeout_ms};
    return service_request(run->node->client, &call, &outcome->answer, error);
}

static void on_finished(void *context, void *data);

static void execute(void *context, void *data) {
    node_t *node = context;
    run_t *run = data;
    run_outcome_t *outcome = g_new0(run_outcome_t, 1);
    GError *error = NULL;
    outcome->run = run;
    bool done = run->kind == CALL_MODEL ? execute_model(run, outcome, &error)
                                        : execute_tool(run, outcome, &error);
    if (!done)
        outcome->error = (error_code_t)error->code;
    g_clear_error(&error);
    mailbox_post(node->mailbox, on_finished, outcome);
}

/* --- Start -------------------------------------------------------------------------------- */

static void fail_run(node_t *node, run_t *run, error_code_t error) {
    run_outcome_t *outcome = g_new0(run_outcome_t, 1);
    outcome->run = run;
    outcome->error = error;
    on_finished(node, outcome);
}

static char *text_of(json_t *value) {
    char *text = json_to_text(value);
    json_decref(value);
    return text;
}

static run_t *run_new(node_t *node, const program_t *program, const command_t *intent) {
    run_t *run = g_new0(run_t, 1);
    run->node = node;
    run->program = g_strdup(program->id);
    run->tenant = g_strdup(program->start.tenant);
    run->call = intent->call;
    run->attempt = intent->attempt;
    run->kind = intent->call_kind;
    run->repeatable = intent->repeatable;
    run->batch = program->start.batch;
    run->backend = g_strdup(intent->backend);
    run->model = g_strdup(program->start.model);
    run->request_id = g_strdup_printf("%s:%u:%u", program->id, intent->call, intent->attempt);
    run->body = g_bytes_ref(intent->body);
    run->max_tokens = intent->output_tokens;
    run->cap_tokens = intent->reserve;
    run->timeout_ms = MAX(intent->deadline_ms - node->unix_ms, 1);
    run->text = g_string_new(NULL);
    run->executing = true;
    run->started_ms = node->now_ms;
    if (run->kind == CALL_MODEL) {
        run->messages = text_of(prompt_messages(program, intent->call, intent->body));
        run->history_tokens = prompt_history_tokens(program, intent->call);
    }
    return run;
}

static void note_prompt(backend_t *backend, const run_t *run) {
    json_t *messages = json_loads(run->messages, 0, NULL);
    GString *text = chat_prompt(messages);
    prefix_t *prefix = g_new(prefix_t, 1);
    prefix_compute(prefix, text->str, text->len);
    prefix_record_sent(backend, prefix);
    g_free(prefix);
    g_string_free(text, TRUE);
    json_decref(messages);
}

static char *attempt_key(const command_t *intent) {
    return g_strdup_printf("%s#%u#%u", intent->program, intent->call, intent->attempt);
}

void runs_expect(node_t *node, const command_t *intent) {
    int64_t *deadline_ms = g_new(int64_t, 1);
    *deadline_ms = intent->deadline_ms;
    g_hash_table_replace(node->runs->expected, attempt_key(intent), deadline_ms);
}

static bool take_expected(node_t *node, const command_t *intent) {
    char *key = attempt_key(intent);
    bool expected = g_hash_table_remove(node->runs->expected, key);
    g_free(key);
    return expected;
}

/** Forgets intents that were lost with their leader's term, long after their deadline. */
static void forget_expected(node_t *node) {
    GHashTableIter iterator;
    gpointer value;
    if (node->now_ms < node->runs->next_sweep_ms)
        return;
    node->runs->next_sweep_ms = node->now_ms + SWEEP_INTERVAL_MS;
    g_hash_table_iter_init(&iterator, node->runs->expected);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        if (node->unix_ms > *(const int64_t *)value + SWEEP_INTERVAL_MS)
            g_hash_table_iter_remove(&iterator);
}

void runs_start(node_t *node, const group_t *group, const command_t *intent) {
    if (!take_expected(node, intent))
        return;
    const program_t *program = program_store_find(group_store(group), intent->program);
    run_t *run = run_new(node, program, intent);
    g_ptr_array_add(node->runs->list, run);
    node->metrics.calls_started++;
    if (node->unix_ms - intent->time_ms > START_MAXIMUM_MS) {
        /* This node was paused; by now the leader may have given the call to another. */
        fail_run(node, run, RUDDERWAY_ERROR_NO_BACKEND);
        return;
    }
    backend_t *backend = backend_set_find(node->backends, intent->backend);
    if (backend == NULL || !backend_is_available(backend, node->now_ms)) {
        fail_run(node, run, RUDDERWAY_ERROR_NO_BACKEND);
        return;
    }
    run->address = g_strdup(backend->record.address);
    run->port = backend->record.port;
    run->path = g_strdup_printf("/v1/tools/%s", backend->record.offers);
    backend_call_started(backend);
    if (run->kind == CALL_MODEL)
        note_prompt(backend, run);
    workers_submit(node->workers, execute, run);
}

/* --- Outcome ------------------------------------------------------------------------------ */

static GBytes *completion_answer(const run_t *run, const engine_usage_t *usage) {
    json_t *value = json_pack(
        "{s:[{s:i, s:{s:s, s:s}, s:s}], s:{s:I, s:I, s:I}}", "choices", "index", 0, "message",
        "role", "assistant", "content", run->text->str, "finish_reason", "stop", "usage",
        "prompt_tokens", (json_int_t)usage->prompt_tokens, "completion_tokens",
        (json_int_t)usage->output_tokens, "cached_tokens", (json_int_t)usage->cached_tokens);
    GBytes *bytes = json_to_bytes(value);
    json_decref(value);
    return bytes;
}

static call_state_t state_of(error_code_t error) {
    if (error == RUDDERWAY_ERROR_NONE)
        return CALL_OK;
    switch (error_outcome(error)) {
    case OUTCOME_NOT_RUN:
        return CALL_NOT_RUN;
    case OUTCOME_FAILED:
        return CALL_FAILED;
    case OUTCOME_UNKNOWN:
        break;
    }
    return CALL_UNKNOWN;
}

static void count_usage(node_t *node, const run_t *run, const engine_usage_t *usage) {
    node->metrics.prompt_tokens += usage->prompt_tokens;
    node->metrics.cached_tokens += usage->cached_tokens;
    node->metrics.output_tokens += usage->output_tokens;
    bool had_context = run->call > 1;
    if (had_context && run->history_tokens > usage->cached_tokens)
        node->metrics.recomputed_tokens += run->history_tokens - usage->cached_tokens;
}

static command_t *result_of(node_t *node, const run_t *run, run_outcome_t *outcome) {
    command_t *result = command_new(COMMAND_RESULT, run->program, node->unix_ms);
    result->call = run->call;
    result->attempt = run->attempt;
    result->call_kind = run->kind;
    result->backend = g_strdup(run->backend);
    result->state = state_of(outcome->error);
    result->error = outcome->error;
    bool model_done = run->kind == CALL_MODEL && result->state == CALL_OK;
    if (model_done) {
        result->body = completion_answer(run, &outcome->usage);
        result->spent = outcome->usage.prompt_tokens + outcome->usage.output_tokens;
        count_usage(node, run, &outcome->usage);
    } else {
        result->body =
            outcome->answer != NULL ? g_bytes_ref(outcome->answer) : g_bytes_new(NULL, 0);
    }
    result->spent_known = result->state == CALL_OK || result->state == CALL_NOT_RUN;
    return result;
}

static void try_settle(node_t *node, run_t *run) {
    uint32_t partition = partitions_of_program(node, run->program);
    group_t *group = partitions_led_group(node, partition);
    run->next_settle_ms = node->now_ms + SETTLE_INTERVAL_MS;
    GBytes *bytes = command_encode(run->result);
    if (group != NULL) {
        bool open = calls_is_open(group, run->result);
        calls_settle(node, group, command_decode(bytes));
        if (!open)
            g_ptr_array_remove(node->runs->list, run);
    } else {
        instance_id_t leader = partitions_leader(node, partition);
        if (leader == 0 || leader == node->instance)
            leader = partitions_any_voter(node, partition);
        node_send(node, leader, PEER_REQUEST_SETTLE, settle_new(run->settle_id, bytes));
    }
    g_bytes_unref(bytes);
}

static void on_finished(void *context, void *data) {
    node_t *node = context;
    run_outcome_t *outcome = data;
    run_t *run = outcome->run;
    backend_t *backend = backend_set_find(node->backends, run->backend);
    bool reachable = outcome->error != RUDDERWAY_ERROR_CANNOT_CONNECT &&
                     outcome->error != RUDDERWAY_ERROR_CONNECTION_LOST &&
                     outcome->error != RUDDERWAY_ERROR_TIMED_OUT;
    if (backend != NULL && run->address != NULL)
        backend_call_finished(backend, reachable, node->now_ms);
    node->metrics.calls_finished++;
    histogram_add(&node->metrics.call_latency, node->now_ms - run->started_ms);
    run->executing = false;
    run->result = result_of(node, run, outcome);
    run->settle_id = ++node->runs->next_settle;
    g_clear_pointer(&outcome->answer, g_bytes_unref);
    g_free(outcome);
    try_settle(node, run);
}

void runs_tick(node_t *node) {
    forget_expected(node);
    GPtrArray *due = g_ptr_array_new();
    for (guint i = 0; i < node->runs->list->len; i++) {
        run_t *run = g_ptr_array_index(node->runs->list, i);
        if (run->result != NULL && node->now_ms >= run->next_settle_ms)
            g_ptr_array_add(due, run);
    }
    for (guint i = 0; i < due->len; i++)
        if (g_ptr_array_find(node->runs->list, g_ptr_array_index(due, i), NULL))
            try_settle(node, g_ptr_array_index(due, i));
    g_ptr_array_unref(due);
}

void runs_settled(node_t *node, const char *program, uint32_t call, uint32_t attempt) {
    run_t *run = find_run(node, program, call, attempt);
    if (run != NULL && !run->executing)
        g_ptr_array_remove(node->runs->list, run);
}

void runs_acknowledged(node_t *node, uint64_t id) {
    for (guint i = 0; i < node->runs->list->len; i++) {
        const run_t *run = g_ptr_array_index(node->runs->list, i);
        if (run->result == NULL || run->settle_id != id)
            continue;
        g_ptr_array_remove_index(node->runs->list, i);
        return;
    }
}

static bool is_of_program(const char *id, const char *program) {
    size_t length = strlen(program);
    return strncmp(id, program, length) == 0 &&
           (id[length] == '\0' || id[length] == PLACEMENT_PROGRAM_SEPARATOR);
}

void runs_cancel(node_t *node, const char *program) {
    for (guint i = 0; i < node->runs->list->len; i++) {
        run_t *run = g_ptr_array_index(node->runs->list, i);
        if (is_of_program(run->program, program))
            g_atomic_int_set(&run->cancelled, 1);
    }
}
