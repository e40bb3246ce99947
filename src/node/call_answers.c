#include "node/call_answers.h"

#include "common/json.h"
#include "node/entries.h"
#include "node/runs.h"

#include <string.h>

enum { RETRY_HINT_MS = 1000 };

/** Somebody who waits for a call's answer. */
typedef struct {
    instance_id_t entry;
    uint64_t request;
    bool stream;
} waiter_t;

struct call_answers {
    GHashTable *waiters; /**< "program#call" → GArray of waiter_t. */
};

static void waiters_free(gpointer data) {
    g_array_unref(data);
}

call_answers_t *call_answers_new(void) {
    call_answers_t *answers = g_new0(call_answers_t, 1);
    answers->waiters = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, waiters_free);
    return answers;
}

void call_answers_free(call_answers_t *answers) {
    g_hash_table_unref(answers->waiters);
    g_free(answers);
}

unsigned call_answers_waiting(const node_t *node) {
    return g_hash_table_size(node->call_answers->waiters);
}

static char *call_key(const char *program, uint32_t call) {
    return g_strdup_printf("%s#%u", program, call);
}

/* --- Answers ------------------------------------------------------------------------------ */

static void deliver_answer(void *context, void *data) {
    entries_answer(context, data);
    answer_free(data);
}

static void deliver_chunk(void *context, void *data) {
    entries_chunk(context, data);
    chunk_free(data);
}

/** Even to this node an answer goes by the mailbox: handling it frees the entry's operation. */
static void send_answer(node_t *node, instance_id_t entry, answer_t *answer) {
    answer->from = node->instance;
    if (entry == node->instance)
        mailbox_post(node->mailbox, deliver_answer, answer);
    else
        node_send(node, entry, PEER_RESPONSE_OPERATION, answer);
}

static void send_chunk(node_t *node, instance_id_t entry, chunk_t *chunk) {
    if (entry == node->instance)
        mailbox_post(node->mailbox, deliver_chunk, chunk);
    else
        node_send(node, entry, PEER_RESPONSE_CHUNK, chunk);
}

void call_answers_refuse(node_t *node, const operation_t *operation, error_code_t error) {
    answer_t *answer = answer_new(operation->request, error);
    if (error == RUDDERWAY_ERROR_NOT_LEADER)
        answer->leader = partitions_leader(node, partitions_of_program(node, operation->program));
    else
        node->metrics.refusals[error]++;
    bool later = error == RUDDERWAY_ERROR_OVERLOADED || error == RUDDERWAY_ERROR_TENANT_LIMIT ||
                 error == RUDDERWAY_ERROR_NO_BACKEND || error == RUDDERWAY_ERROR_MEMORY_LIMIT;
    if (later)
        answer->retry_after_ms = RETRY_HINT_MS;
    send_answer(node, operation->entry, answer);
}

void call_answers_json(node_t *node, const operation_t *operation, json_t *body) {
    answer_t *answer = answer_new(operation->request, RUDDERWAY_ERROR_NONE);
    answer->body = json_to_bytes(body);
    json_decref(body);
    send_answer(node, operation->entry, answer);
}

/** The stored answer as a JSON value; text that is no JSON becomes a string. */
static json_t *answer_value(const call_t *call) {
    size_t length = 0;
    const char *text = call->answer != NULL ? g_bytes_get_data(call->answer, &length) : NULL;
    if (length == 0)
        return json_null();
    json_t *value = json_loadb(text, length, JSON_DECODE_ANY, NULL);
    return value != NULL ? value : json_stringn(text, length);
}

static json_t *call_to_json(const program_t *program, const call_t *call) {
    json_t *value = json_pack("{s:s, s:i, s:s, s:s, s:i, s:o}", "program",
                              program_client_id(program->id), "call", (int)call->number, "kind",
                              call_kind_name(call->kind), "state", call_state_name(call->state),
                              "attempt", (int)call->attempt, "answer", answer_value(call));
    if (call->error != RUDDERWAY_ERROR_NONE)
        json_object_set_new(value, "error", json_string(error_name((error_code_t)call->error)));
    return value;
}

static answer_t *call_answer(const program_t *program, const call_t *call, uint64_t request) {
    answer_t *answer = answer_new(request, call->error);
    answer->attempt = call->attempt;
    json_t *value = call_to_json(program, call);
    answer->body = json_to_bytes(value);
    json_decref(value);
    return answer;
}

json_t *calls_program_to_json(const program_t *program, bool whole) {
    json_t *value =
        json_pack("{s:s, s:s, s:s, s:s, s:i, s:I, s:I, s:I, s:b, s:I}", "program",
                  program_client_id(program->id), "tenant", program->start.tenant, "template",
                  program->start.template_name, "model", program->start.model, "calls",
                  (int)program->calls->len, "budget_tokens",
                  (json_int_t)program->start.limits.budget, "spent_tokens",
                  (json_int_t)program->spent, "reserved_tokens", (json_int_t)program->reserved,
                  "ended", program->ended, "started_ms", (json_int_t)program->started_ms);
    if (program->ended)
        json_object_set_new(value, "end_reason", json_string(end_reason_name(program->end_reason)));
    json_t *holders = json_array();
    for (guint i = 0; i < program->holders->len; i++)
        json_array_append_new(holders, json_string(g_ptr_array_index(program->holders, i)));
    json_object_set_new(value, "cache_holders", holders);
    if (!whole)
        return value;
    json_t *history = json_array();
    for (uint32_t i = 1; i <= program->calls->len; i++) {
        const call_t *call = program_call(program, i);
        json_t *entry = call_to_json(program, call);
        size_t length;
        const char *request = g_bytes_get_data(call->request, &length);
        json_t *body = json_loadb(request != NULL ? request : "", length, JSON_DECODE_ANY, NULL);
        json_object_set_new(entry, "request", body != NULL ? body : json_null());
        json_array_append_new(history, entry);
    }
    json_object_set_new(value, "history", history);
    return value;
}

/* --- Waiters ------------------------------------------------------------------------------ */

static void replay_text(node_t *node, const operation_t *operation) {
    uint32_t attempt;
    const GString *text = runs_text(node, operation->program, operation->call, &attempt);
    if (text == NULL || !operation->stream)
        return;
    uint64_t from = operation->from_attempt == attempt ? operation->from_offset : 0;
    if (from >= text->len)
        return;
    chunk_t *chunk =
        chunk_new(operation->request, attempt, from, text->str + from, text->len - from);
    send_chunk(node, operation->entry, chunk);
}

void call_answers_wait(node_t *node, const operation_t *operation) {
    char *key = call_key(operation->program, operation->call);
    GArray *waiters = g_hash_table_lookup(node->call_answers->waiters, key);
    if (waiters == NULL) {
        waiters = g_array_new(FALSE, FALSE, sizeof(waiter_t));
        g_hash_table_insert(node->call_answers->waiters, g_strdup(key), waiters);
    }
    g_free(key);
    for (guint i = 0; i < waiters->len; i++) {
        const waiter_t *known = &g_array_index(waiters, waiter_t, i);
        if (known->entry == operation->entry && known->request == operation->request)
            return;
    }
    waiter_t waiter = {
        .entry = operation->entry, .request = operation->request, .stream = operation->stream};
    g_array_append_val(waiters, waiter);
    replay_text(node, operation);
}

void call_answers_settled(node_t *node, const program_t *program, const call_t *call) {
    char *key = call_key(program->id, call->number);
    GArray *waiters = g_hash_table_lookup(node->call_answers->waiters, key);
    for (guint i = 0; waiters != NULL && i < waiters->len; i++) {
        const waiter_t *waiter = &g_array_index(waiters, waiter_t, i);
        if (call->error != RUDDERWAY_ERROR_NONE)
            node->metrics.refusals[call->error]++;
        send_answer(node, waiter->entry, call_answer(program, call, waiter->request));
    }
    g_hash_table_remove(node->call_answers->waiters, key);
    g_free(key);
}

void calls_chunk(node_t *node, const char *program, uint32_t call, uint32_t attempt,
                 uint64_t offset, const char *data, size_t length) {
    char *key = call_key(program, call);
    const GArray *waiters = g_hash_table_lookup(node->call_answers->waiters, key);
    g_free(key);
    for (guint i = 0; waiters != NULL && i < waiters->len; i++) {
        const waiter_t *waiter = &g_array_index(waiters, waiter_t, i);
        if (!waiter->stream)
            continue;
        chunk_t *chunk = chunk_new(waiter->request, attempt, offset, data, length);
        send_chunk(node, waiter->entry, chunk);
    }
}

void call_answers_call(node_t *node, const operation_t *operation, const program_t *program,
                       const call_t *call) {
    send_answer(node, operation->entry, call_answer(program, call, operation->request));
}

static bool is_in_group(const node_t *node, const char *program, const group_t *group) {
    return partitions_of_program(node, program) == group_partition(group);
}

void call_answers_drop(node_t *node, const group_t *group) {
    GHashTableIter iterator;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iterator, node->call_answers->waiters);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        char *program = g_strndup(key, (gsize)(strrchr(key, '#') - (char *)key));
        const GArray *waiters = value;
        bool affected = is_in_group(node, program, group);
        g_free(program);
        if (!affected)
            continue;
        for (guint i = 0; i < waiters->len; i++) {
            const waiter_t *waiter = &g_array_index(waiters, waiter_t, i);
            send_answer(node, waiter->entry,
                        answer_new(waiter->request, RUDDERWAY_ERROR_NOT_LEADER));
        }
        g_hash_table_iter_remove(&iterator);
    }
}
