#include "core/program/program.h"

#include "core/placement/placement.h"

#include <string.h>

enum {
    SNAPSHOT_ITEMS_MAXIMUM = 1 << 24,
};

struct program_store {
    GHashTable *programs;
    uint64_t bytes;
    program_listener_t listener;
    void *context;
};

static void call_free(call_t *call) {
    g_free(call->backend);
    g_clear_pointer(&call->request, g_bytes_unref);
    g_clear_pointer(&call->answer, g_bytes_unref);
    g_free(call);
}

static program_t *program_new(void) {
    program_t *program = g_new0(program_t, 1);
    program->calls = g_ptr_array_new_with_free_func((GDestroyNotify)call_free);
    program->holders = g_ptr_array_new_with_free_func(g_free);
    return program;
}

static void program_free(program_t *program) {
    g_free(program->id);
    program_start_clear(&program->start);
    g_ptr_array_unref(program->calls);
    g_ptr_array_unref(program->holders);
    g_free(program);
}

program_store_t *program_store_new(program_listener_t listener, void *context) {
    program_store_t *store = g_new0(program_store_t, 1);
    store->programs =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, (GDestroyNotify)program_free);
    store->listener = listener;
    store->context = context;
    return store;
}

void program_store_free(program_store_t *store) {
    g_hash_table_unref(store->programs);
    g_free(store);
}

static program_t *find_program(const program_store_t *store, const char *id) {
    return g_hash_table_lookup(store->programs, id);
}

const program_t *program_store_find(const program_store_t *store, const char *id) {
    return find_program(store, id);
}

GHashTable *program_store_all(const program_store_t *store) {
    return store->programs;
}

uint64_t program_store_bytes(const program_store_t *store) {
    return store->bytes;
}

static call_t *find_call(const program_t *program, uint32_t number) {
    if (number == 0 || number > program->calls->len)
        return NULL;
    return g_ptr_array_index(program->calls, number - 1);
}

const call_t *program_call(const program_t *program, uint32_t number) {
    return find_call(program, number);
}

const call_t *program_running_call(const program_t *program) {
    const call_t *last = find_call(program, program->calls->len);
    return last != NULL && last->state == CALL_RUNNING ? last : NULL;
}

const char *program_client_id(const char *id) {
    const char *separator = strchr(id, PROGRAM_TENANT_SEPARATOR);
    return separator != NULL ? separator + 1 : id;
}

uint64_t program_budget_left(const program_t *program) {
    return program->start.limits.budget - program->spent - program->reserved;
}

static void add_bytes(program_store_t *store, program_t *program, uint64_t bytes) {
    program->bytes += bytes;
    store->bytes += bytes;
}

/* --- Checks ------------------------------------------------------------------------------- */

static error_code_t check_start(const program_store_t *store, const command_t *command) {
    const program_t *known = find_program(store, command->program);
    if (known == NULL)
        return RUDDERWAY_ERROR_NONE;
    bool same = strcmp(known->start.tenant, command->start.tenant) == 0 &&
                strcmp(known->start.template_name, command->start.template_name) == 0 &&
                strcmp(known->start.parameters, command->start.parameters) == 0;
    return same ? RUDDERWAY_ERROR_NONE : RUDDERWAY_ERROR_PROGRAM_MISMATCH;
}

/** A further attempt at a call that has an intent already. */
static error_code_t check_repetition(const call_t *call, const command_t *command) {
    if (call->digest != command->digest)
        return RUDDERWAY_ERROR_CALL_MISMATCH;
    if (command->attempt != call->attempt + 1)
        return RUDDERWAY_ERROR_CALL_RUNNING;
    if (call->state == CALL_NOT_RUN)
        return RUDDERWAY_ERROR_NONE;
    if (call->state == CALL_RUNNING && (call->repeatable || command->previous_not_run))
        return RUDDERWAY_ERROR_NONE;
    return RUDDERWAY_ERROR_CALL_RUNNING;
}

static error_code_t check_first_attempt(const program_t *program, const command_t *command) {
    if (command->attempt != 1)
        return RUDDERWAY_ERROR_CALL_RUNNING;
    if (command->call > program->start.limits.turns)
        return RUDDERWAY_ERROR_TURN_LIMIT;
    const call_t *last = find_call(program, program->calls->len);
    bool repeated = last != NULL && last->digest == command->digest;
    if (repeated && program->repeats + 2 >= program->start.limits.loop_repeats)
        return RUDDERWAY_ERROR_LOOP_DETECTED;
    return RUDDERWAY_ERROR_NONE;
}

static error_code_t check_intent(const program_store_t *store, const command_t *command) {
    const program_t *program = find_program(store, command->program);
    if (program == NULL)
        return RUDDERWAY_ERROR_NO_SUCH_PROGRAM;
    if (program->ended)
        return RUDDERWAY_ERROR_PROGRAM_ENDED;
    if (command->call == 0 || command->call > program->calls->len + 1)
        return RUDDERWAY_ERROR_OUT_OF_ORDER;
    const call_t *call = find_call(program, command->call);
    const call_t *previous = find_call(program, command->call - 1);
    if (previous != NULL && (previous->state == CALL_RUNNING || previous->state == CALL_NOT_RUN))
        return RUDDERWAY_ERROR_OUT_OF_ORDER;
    error_code_t error =
        call != NULL ? check_repetition(call, command) : check_first_attempt(program, command);
    if (error != RUDDERWAY_ERROR_NONE)
        return error;
    if (command->reserve > program_budget_left(program))
        return RUDDERWAY_ERROR_BUDGET_EXCEEDED;
    return RUDDERWAY_ERROR_NONE;
}

static error_code_t check_result(const program_store_t *store, const command_t *command) {
    const program_t *program = find_program(store, command->program);
    if (program == NULL)
        return RUDDERWAY_ERROR_NO_SUCH_PROGRAM;
    const call_t *call = find_call(program, command->call);
    if (call == NULL)
        return RUDDERWAY_ERROR_NO_SUCH_CALL;
    if (call->state != CALL_RUNNING || call->attempt != command->attempt)
        return RUDDERWAY_ERROR_CALL_MISMATCH;
    return RUDDERWAY_ERROR_NONE;
}

error_code_t program_store_check(const program_store_t *store, const command_t *command) {
    switch (command->kind) {
    case COMMAND_START:
        return check_start(store, command);
    case COMMAND_INTENT:
        return check_intent(store, command);
    case COMMAND_RESULT:
        return check_result(store, command);
    case COMMAND_END:
    case COMMAND_HELD:
    case COMMAND_RELEASED:
    case COMMAND_FORGET:
        break;
    case COMMAND_KINDS:
        return RUDDERWAY_ERROR_BAD_REQUEST;
    }
    return find_program(store, command->program) != NULL ? RUDDERWAY_ERROR_NONE
                                                         : RUDDERWAY_ERROR_NO_SUCH_PROGRAM;
}

/* --- Effects ------------------------------------------------------------------------------ */

static program_t *insert_program(program_store_t *store, const char *id,
                                 const program_start_t *start, int64_t time_ms) {
    program_t *program = program_new();
    program->id = g_strdup(id);
    program_start_copy(&program->start, start);
    program->started_ms = time_ms;
    program->active_ms = time_ms;
    g_hash_table_insert(store->programs, program->id, program);
    add_bytes(store, program,
              sizeof *program + strlen(id) + strlen(start->prompt) + strlen(start->parameters));
    return program;
}

static void apply_start(program_store_t *store, const command_t *command) {
    if (find_program(store, command->program) == NULL)
        insert_program(store, command->program, &command->start, command->time_ms);
}

static void add_holder(program_t *program, const char *backend) {
    for (guint i = 0; i < program->holders->len; i++)
        if (strcmp(g_ptr_array_index(program->holders, i), backend) == 0)
            return;
    g_ptr_array_add(program->holders, g_strdup(backend));
}

/** Starts the sub-agent and settles the call at once: the carve-out is one step of the log. */
static void start_subagent(program_store_t *store, program_t *parent, call_t *call,
                           const command_t *command) {
    char *id = g_strdup_printf("%s%c%u", parent->id, PLACEMENT_PROGRAM_SEPARATOR, call->number);
    if (find_program(store, id) == NULL)
        insert_program(store, id, &command->start, command->time_ms);
    parent->reserved -= call->reserve;
    parent->spent += call->reserve;
    call->reserve = 0;
    call->state = CALL_OK;
    char *answer = g_strdup_printf("{\"program\":\"%s\"}", program_client_id(id));
    call->answer = g_bytes_new_take(answer, strlen(answer));
    g_free(id);
}

static call_t *append_call(program_store_t *store, program_t *program, const command_t *command) {
    const call_t *last = find_call(program, program->calls->len);
    bool repeated = last != NULL && last->digest == command->digest;
    program->repeats = repeated ? program->repeats + 1 : 0;
    call_t *call = g_new0(call_t, 1);
    call->number = command->call;
    call->kind = command->call_kind;
    call->repeatable = command->repeatable;
    call->digest = command->digest;
    call->output_tokens = command->output_tokens;
    call->request = g_bytes_ref(command->body);
    g_ptr_array_add(program->calls, call);
    add_bytes(store, program, sizeof *call + g_bytes_get_size(call->request));
    return call;
}

static void apply_intent(program_store_t *store, const command_t *command) {
    program_t *program = find_program(store, command->program);
    call_t *call = find_call(program, command->call);
    if (call == NULL)
        call = append_call(store, program, command);
    else if (call->state == CALL_RUNNING) {
        /* Unless it did not run, the earlier attempt may have cost all that it reserved. */
        program->reserved -= call->reserve;
        program->spent += command->previous_not_run ? 0 : call->reserve;
        call->may_have_run = call->may_have_run || !command->previous_not_run;
    }
    call->state = CALL_RUNNING;
    call->attempt = command->attempt;
    call->runner = command->runner;
    call->reserve = command->reserve;
    call->started_ms = command->time_ms;
    call->deadline_ms = command->deadline_ms;
    g_free(call->backend);
    call->backend = g_strdup(command->backend);
    program->reserved += command->reserve;
    program->active_ms = command->time_ms;
    if (command->call_kind == CALL_MODEL)
        add_holder(program, command->backend);
    if (command->call_kind == CALL_SUBAGENT)
        start_subagent(store, program, call, command);
}

static void apply_result(program_store_t *store, const command_t *command) {
    program_t *program = find_program(store, command->program);
    call_t *call = find_call(program, command->call);
    uint64_t spent = command->spent_known ? MIN(command->spent, call->reserve) : call->reserve;
    program->reserved -= call->reserve;
    program->spent += spent;
    call->reserve = 0;
    call->state = command->state;
    call->error = command->error;
    if (command->state == CALL_NOT_RUN && call->may_have_run) {
        /* This attempt did not run, but an earlier one may have: that is what the caller hears. */
        call->state = CALL_UNKNOWN;
        call->error = RUDDERWAY_ERROR_CONNECTION_LOST;
    }
    g_clear_pointer(&call->answer, g_bytes_unref);
    call->answer = g_bytes_ref(command->body);
    program->active_ms = command->time_ms;
    add_bytes(store, program, g_bytes_get_size(call->answer));
}

/** Gives what an ended sub-agent did not use back to its parent, once. */
static void refund_parent(const program_store_t *store, const program_t *program) {
    const char *separator = strrchr(program->id, PLACEMENT_PROGRAM_SEPARATOR);
    if (separator == NULL)
        return;
    char *parent_id = g_strndup(program->id, (gsize)(separator - program->id));
    program_t *parent = find_program(store, parent_id);
    g_free(parent_id);
    if (parent == NULL)
        return;
    uint64_t unused = program_budget_left(program);
    parent->spent -= MIN(unused, parent->spent);
}

static void end_program(const program_store_t *store, program_t *program, end_reason_t reason,
                        int64_t time_ms) {
    if (program->ended)
        return;
    program->ended = true;
    program->end_reason = reason;
    program->ended_ms = time_ms;
    refund_parent(store, program);
}

static gint compare_length_descending(gconstpointer a, gconstpointer b) {
    const program_t *left = *(const program_t *const *)a;
    const program_t *right = *(const program_t *const *)b;
    size_t left_length = strlen(left->id);
    size_t right_length = strlen(right->id);
    return (left_length < right_length) - (left_length > right_length);
}

static GPtrArray *list_descendants(const program_store_t *store, const char *id) {
    GPtrArray *descendants = g_ptr_array_new();
    char *prefix = g_strdup_printf("%s%c", id, PLACEMENT_PROGRAM_SEPARATOR);
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, store->programs);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        if (g_str_has_prefix(((program_t *)value)->id, prefix))
            g_ptr_array_add(descendants, value);
    g_free(prefix);
    g_ptr_array_sort(descendants, compare_length_descending);
    return descendants;
}

static bool has_subagents(const program_t *program) {
    for (guint i = 0; i < program->calls->len; i++) {
        const call_t *call = g_ptr_array_index(program->calls, i);
        if (call->kind == CALL_SUBAGENT)
            return true;
    }
    return false;
}

static void apply_end(const program_store_t *store, const command_t *command) {
    program_t *program = find_program(store, command->program);
    if (has_subagents(program)) {
        GPtrArray *descendants = list_descendants(store, program->id);
        for (guint i = 0; i < descendants->len; i++)
            end_program(store, g_ptr_array_index(descendants, i), END_BY_PARENT, command->time_ms);
        g_ptr_array_unref(descendants);
    }
    end_program(store, program, command->reason, command->time_ms);
}

static void apply_released(const program_store_t *store, const command_t *command) {
    const program_t *program = find_program(store, command->program);
    for (guint i = 0; i < program->holders->len; i++) {
        if (strcmp(g_ptr_array_index(program->holders, i), command->backend) != 0)
            continue;
        g_ptr_array_remove_index(program->holders, i);
        return;
    }
}

static void apply_forget(program_store_t *store, const command_t *command) {
    const program_t *program = find_program(store, command->program);
    if (!program->ended || program->holders->len > 0)
        return;
    store->bytes -= program->bytes;
    g_hash_table_remove(store->programs, command->program);
}

static void apply_effect(program_store_t *store, const command_t *command) {
    switch (command->kind) {
    case COMMAND_START:
        apply_start(store, command);
        break;
    case COMMAND_INTENT:
        apply_intent(store, command);
        break;
    case COMMAND_RESULT:
        apply_result(store, command);
        break;
    case COMMAND_END:
        apply_end(store, command);
        break;
    case COMMAND_HELD:
        add_holder(find_program(store, command->program), command->backend);
        break;
    case COMMAND_RELEASED:
        apply_released(store, command);
        break;
    case COMMAND_FORGET:
        apply_forget(store, command);
        break;
    case COMMAND_KINDS:
        break;
    }
}

static void store_apply(void *state, uint64_t index, uint64_t term, GBytes *bytes) {
    program_store_t *store = state;
    command_t *command = command_decode(bytes);
    if (command == NULL)
        return;
    error_code_t error = program_store_check(store, command);
    if (error == RUDDERWAY_ERROR_NONE)
        apply_effect(store, command);
    store->listener(store->context, index, term, command, error);
}

/* --- Snapshots ---------------------------------------------------------------------------- */

static void call_codec(codec_t *codec, call_t *call) {
    unsigned kind = call->kind;
    unsigned state = call->state;
    codec_uint32(codec, &call->number);
    codec_enum(codec, &kind, CALL_KINDS);
    codec_bool(codec, &call->repeatable);
    codec_enum(codec, &state, CALL_STATES);
    codec_bool(codec, &call->may_have_run);
    codec_uint32(codec, &call->attempt);
    codec_uint64(codec, &call->runner);
    codec_text(codec, &call->backend);
    codec_uint64(codec, &call->reserve);
    codec_uint64(codec, &call->digest);
    codec_uint32(codec, &call->output_tokens);
    codec_int64(codec, &call->started_ms);
    codec_int64(codec, &call->deadline_ms);
    codec_bytes(codec, &call->request);
    codec_bytes(codec, &call->answer);
    codec_uint32(codec, &call->error);
    call->kind = (call_kind_t)kind;
    call->state = (call_state_t)state;
}

static void calls_codec(codec_t *codec, GPtrArray *calls) {
    uint32_t count = calls->len;
    codec_count(codec, &count, SNAPSHOT_ITEMS_MAXIMUM);
    for (uint32_t i = 0; i < count && !codec->failed; i++) {
        if (codec->decoding)
            g_ptr_array_add(calls, g_new0(call_t, 1));
        call_codec(codec, g_ptr_array_index(calls, i));
    }
}

static void holders_codec(codec_t *codec, GPtrArray *holders) {
    uint32_t count = holders->len;
    codec_count(codec, &count, SNAPSHOT_ITEMS_MAXIMUM);
    for (uint32_t i = 0; i < count && !codec->failed; i++) {
        char *name = codec->decoding ? NULL : g_ptr_array_index(holders, i);
        codec_text(codec, &name);
        if (codec->decoding)
            g_ptr_array_add(holders, name);
    }
}

static void program_codec(codec_t *codec, program_t *program) {
    unsigned reason = program->end_reason;
    codec_text(codec, &program->id);
    program_start_codec(codec, &program->start);
    codec_int64(codec, &program->started_ms);
    codec_int64(codec, &program->active_ms);
    codec_uint64(codec, &program->spent);
    codec_uint64(codec, &program->reserved);
    codec_uint32(codec, &program->repeats);
    codec_bool(codec, &program->ended);
    codec_enum(codec, &reason, END_REASONS);
    codec_int64(codec, &program->ended_ms);
    codec_uint64(codec, &program->bytes);
    calls_codec(codec, program->calls);
    holders_codec(codec, program->holders);
    program->end_reason = (end_reason_t)reason;
}

static GBytes *store_save(void *state) {
    const program_store_t *store = state;
    codec_t codec;
    uint32_t count = g_hash_table_size(store->programs);
    GHashTableIter iterator;
    gpointer value;
    codec_start_encoding(&codec);
    codec_count(&codec, &count, SNAPSHOT_ITEMS_MAXIMUM);
    g_hash_table_iter_init(&iterator, store->programs);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        program_codec(&codec, value);
    return codec_finish(&codec);
}

static bool store_load(void *state, GBytes *snapshot) {
    program_store_t *store = state;
    codec_t codec;
    size_t length;
    uint32_t count;
    const void *data = g_bytes_get_data(snapshot, &length);
    codec_start_decoding(&codec, data, length);
    codec_count(&codec, &count, SNAPSHOT_ITEMS_MAXIMUM);
    g_hash_table_remove_all(store->programs);
    store->bytes = 0;
    for (uint32_t i = 0; i < count && !codec.failed; i++) {
        program_t *program = program_new();
        program_codec(&codec, program);
        store->bytes += program->bytes;
        g_hash_table_replace(store->programs, program->id, program);
    }
    return codec_complete(&codec);
}

raft_state_machine_t program_store_machine(program_store_t *store) {
    return (raft_state_machine_t){
        .apply = store_apply, .save = store_save, .load = store_load, .state = store};
}
