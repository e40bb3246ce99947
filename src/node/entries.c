#include "node/entries.h"

#include "node/calls.h"

#include <string.h>

enum {
    RESEND_FIRST_MS = 1000, /**< An answer is overdue; doubles with every copy. */
    RESEND_LAST_MS = 16000,
    REDIRECT_DELAY_MS = 40, /**< Before asking again after "not the leader". */
    OK_STATUS = 200,
    CREATED_STATUS = 201,
};

static const char json_content_type[] = "application/json";

/** A copy of an operation that was sent and not answered. */
typedef struct {
    instance_id_t to;
    uint32_t count;
} copies_t;

typedef struct {
    http_request_t *request;
    operation_t *operation;
    int64_t deadline_ms;
    int64_t resend_ms; /**< When to send the next copy. */
    int64_t resend_interval_ms;
    instance_id_t owner; /**< Where the last copy went. */
    instance_id_t hint;  /**< Leader that an answer named. */
    GArray *copies;      /**< Of copies_t. */
    bool streaming;      /**< The HTTP answer has begun. */
    uint32_t attempt;    /**< Of the pieces passed on. */
    uint64_t passed_on;  /**< Bytes of that attempt's text. */
} pending_t;

struct entries {
    GHashTable *pending; /**< Request number → pending_t. */
    uint64_t next_request;
};

static void pending_free(gpointer data) {
    pending_t *pending = data;
    operation_free(pending->operation);
    g_array_unref(pending->copies);
    g_free(pending);
}

entries_t *entries_new(void) {
    entries_t *entries = g_new0(entries_t, 1);
    entries->pending = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, pending_free);
    return entries;
}

void entries_free(entries_t *entries) {
    g_hash_table_unref(entries->pending);
    g_free(entries);
}

unsigned entries_count(const node_t *node) {
    return g_hash_table_size(node->entries->pending);
}

/* --- HTTP answers ------------------------------------------------------------------------- */

static json_t *error_json(error_code_t code, const char *detail, int64_t retry_after_ms) {
    json_t *error = json_pack("{s:s, s:s, s:s}", "code", error_name(code), "message",
                              detail != NULL ? detail : error_text(code), "outcome",
                              outcome_name(error_outcome(code)));
    if (retry_after_ms > 0)
        json_object_set_new(error, "retry_after_ms", json_integer(retry_after_ms));
    return json_pack("{s:o}", "error", error);
}

void respond_json(http_request_t *request, unsigned status, json_t *body) {
    GBytes *bytes = json_to_bytes(body);
    json_decref(body);
    http_respond(request, status, json_content_type, bytes, 0);
}

void respond_error(http_request_t *request, error_code_t code, const char *detail,
                   int64_t retry_after_ms) {
    json_t *body = error_json(code, detail, retry_after_ms);
    GBytes *bytes = json_to_bytes(body);
    json_decref(body);
    http_respond(request, error_http_status(code), json_content_type, bytes, retry_after_ms);
}

void respond_gerror(http_request_t *request, GError *error) {
    respond_error(request, (error_code_t)error->code, error->message, 0);
    g_error_free(error);
}

static void write_event(pending_t *pending, const char *event, const char *id, json_t *data) {
    char *text = json_to_text(data);
    GString *block = g_string_new(NULL);
    if (id != NULL)
        g_string_append_printf(block, "id: %s\n", id);
    g_string_append_printf(block, "event: %s\ndata: %s\n\n", event, text);
    http_stream_write(pending->request, block->str, block->len);
    g_string_free(block, TRUE);
    g_free(text);
    json_decref(data);
}

static void begin_stream(pending_t *pending) {
    if (pending->streaming)
        return;
    http_stream_start(pending->request, "text/event-stream");
    pending->streaming = true;
}

/** Switches to another attempt; tells the caller if it has text of an earlier one. */
static void switch_attempt(pending_t *pending, uint32_t attempt) {
    if (pending->attempt == attempt)
        return;
    if (pending->passed_on > 0)
        write_event(pending, "restart", NULL, json_pack("{s:i}", "attempt", (int)attempt));
    pending->attempt = attempt;
    pending->passed_on = 0;
}

/** The length of the whole characters at the start of @p data; the rest waits for more. */
static size_t whole_characters(const char *data, size_t length) {
    const char *end;
    if (g_utf8_validate_len(data, length, &end))
        return length;
    return (size_t)(end - data);
}

static void pass_on(pending_t *pending, const char *data, size_t length) {
    length = whole_characters(data, length);
    if (length == 0)
        return;
    pending->passed_on += length;
    char *id = g_strdup_printf("%u-%" G_GUINT64_FORMAT, pending->attempt, pending->passed_on);
    write_event(pending, "text", id, json_pack("{s:s%}", "text", data, length));
    g_free(id);
}

void entries_chunk(node_t *node, const chunk_t *chunk) {
    pending_t *pending = g_hash_table_lookup(node->entries->pending, &chunk->request);
    if (pending == NULL || !pending->operation->stream || chunk->attempt < pending->attempt)
        return;
    begin_stream(pending);
    switch_attempt(pending, chunk->attempt);
    size_t length;
    const char *data = g_bytes_get_data(chunk->data, &length);
    if (chunk->offset > pending->passed_on || chunk->offset + length <= pending->passed_on)
        return;
    size_t skip = (size_t)(pending->passed_on - chunk->offset);
    pass_on(pending, data + skip, length - skip);
}

static const char *content_of(const json_t *body) {
    const json_t *choices = json_object_get(json_object_get(body, "answer"), "choices");
    const json_t *message = json_object_get(json_array_get(choices, 0), "message");
    return json_string_value(json_object_get(message, "content"));
}

static json_t *parse_answer(const answer_t *answer) {
    size_t length = 0;
    const char *text = answer->body != NULL ? g_bytes_get_data(answer->body, &length) : NULL;
    return length > 0 ? json_loadb(text, length, 0, NULL) : NULL;
}

static void finish_stream(pending_t *pending, const answer_t *answer) {
    json_t *body = parse_answer(answer);
    if (answer->error != RUDDERWAY_ERROR_NONE) {
        json_t *error = error_json((error_code_t)answer->error, NULL, answer->retry_after_ms);
        json_decref(body);
        write_event(pending, "error", NULL, error);
    } else {
        const char *content = content_of(body);
        switch_attempt(pending, answer->attempt);
        if (content != NULL && strlen(content) > pending->passed_on)
            pass_on(pending, content + pending->passed_on,
                    strlen(content) - (size_t)pending->passed_on);
        write_event(pending, "done", NULL, body);
    }
    http_stream_finish(pending->request);
}

static void finish_whole(pending_t *pending, const answer_t *answer) {
    error_code_t code = (error_code_t)answer->error;
    json_t *body = parse_answer(answer);
    if (code == RUDDERWAY_ERROR_NONE) {
        bool created = pending->operation->kind == OPERATION_START;
        respond_json(pending->request, created ? CREATED_STATUS : OK_STATUS, body);
        return;
    }
    json_t *value = error_json(code, NULL, answer->retry_after_ms);
    if (body != NULL)
        json_object_set_new(value, "call", body);
    GBytes *bytes = json_to_bytes(value);
    json_decref(value);
    http_respond(pending->request, error_http_status(code), json_content_type, bytes,
                 answer->retry_after_ms);
}

static void finish(node_t *node, pending_t *pending, const answer_t *answer) {
    bool stream = pending->operation->stream;
    if (stream && (pending->streaming || answer->error == RUDDERWAY_ERROR_NONE)) {
        begin_stream(pending);
        finish_stream(pending, answer);
    } else {
        finish_whole(pending, answer);
    }
    uint64_t request = pending->operation->request;
    g_hash_table_remove(node->entries->pending, &request);
}

static void finish_with_error(node_t *node, pending_t *pending, error_code_t error) {
    answer_t answer = {.request = pending->operation->request, .error = error};
    node->metrics.refusals[error]++;
    finish(node, pending, &answer);
}

/* --- Sending ------------------------------------------------------------------------------ */

static void count_copy(pending_t *pending, instance_id_t to) {
    for (guint i = 0; i < pending->copies->len; i++) {
        copies_t *copies = &g_array_index(pending->copies, copies_t, i);
        if (copies->to != to)
            continue;
        copies->count++;
        return;
    }
    copies_t copies = {.to = to, .count = 1};
    g_array_append_val(pending->copies, copies);
}

/**
 * One answer accounts for one copy. An owner that recognised two copies answers once, so the
 * count may stay too high, which only makes a refusal less definite than it could be.
 */
static void count_answer(pending_t *pending, instance_id_t from) {
    for (guint i = 0; i < pending->copies->len; i++) {
        copies_t *copies = &g_array_index(pending->copies, copies_t, i);
        if (copies->to == from && copies->count > 0)
            copies->count--;
    }
}

/** True if a copy may still be executed somewhere else. */
static bool copy_is_unaccounted(const node_t *node, const pending_t *pending) {
    for (guint i = 0; i < pending->copies->len; i++) {
        const copies_t *copies = &g_array_index(pending->copies, copies_t, i);
        const member_t *member = membership_find(node->membership, copies->to);
        bool alive = member != NULL && member->state != MEMBER_DEAD;
        if (copies->count > 0 && alive)
            return true;
    }
    return false;
}

static instance_id_t choose_owner(const node_t *node, pending_t *pending) {
    uint32_t partition = partitions_of_program(node, pending->operation->program);
    instance_id_t owner = pending->hint;
    pending->hint = 0;
    const member_t *hinted = membership_find(node->membership, owner);
    if (hinted == NULL || hinted->state == MEMBER_DEAD)
        owner = partitions_leader(node, partition);
    return owner != 0 ? owner : partitions_any_voter(node, partition);
}

static void send_copy(node_t *node, pending_t *pending) {
    instance_id_t owner = choose_owner(node, pending);
    pending->operation->remaining_ms = MAX(pending->deadline_ms - node->now_ms, 1);
    pending->operation->from_attempt = pending->attempt;
    pending->operation->from_offset = pending->passed_on;
    if (owner == 0) {
        pending->resend_ms = node->now_ms + REDIRECT_DELAY_MS;
        return;
    }
    pending->resend_ms = node->now_ms + pending->resend_interval_ms;
    pending->resend_interval_ms = MIN(2 * pending->resend_interval_ms, RESEND_LAST_MS);
    pending->owner = owner;
    count_copy(pending, owner);
    if (owner == node->instance)
        calls_receive(node, pending->operation);
    else
        node_send(node, owner, PEER_REQUEST_OPERATION, operation_copy(pending->operation));
}

typedef struct {
    http_request_t *request;
    operation_t *operation;
} submission_t;

static void take_submission(void *context, void *data) {
    node_t *node = context;
    submission_t *submission = data;
    operation_t *operation = submission->operation;
    pending_t *pending = g_new0(pending_t, 1);
    operation->request = ++node->entries->next_request;
    operation->entry = node->instance;
    pending->request = submission->request;
    pending->operation = operation;
    pending->deadline_ms = node->now_ms + operation->remaining_ms;
    pending->attempt = operation->from_attempt;
    pending->passed_on = operation->from_offset;
    pending->copies = g_array_new(FALSE, FALSE, sizeof(copies_t));
    pending->resend_interval_ms = RESEND_FIRST_MS;
    g_hash_table_insert(node->entries->pending, &operation->request, pending);
    g_free(submission);
    send_copy(node, pending);
}

void entries_submit(node_t *node, http_request_t *request, operation_t *operation) {
    submission_t *submission = g_new0(submission_t, 1);
    submission->request = request;
    submission->operation = operation;
    mailbox_post(node->mailbox, take_submission, submission);
}

void entries_answer(node_t *node, const answer_t *answer) {
    pending_t *pending = g_hash_table_lookup(node->entries->pending, &answer->request);
    if (pending == NULL)
        return;
    count_answer(pending, answer->from);
    if (answer->error == RUDDERWAY_ERROR_NOT_LEADER) {
        pending->hint = answer->leader;
        pending->resend_ms = node->now_ms + REDIRECT_DELAY_MS;
        return;
    }
    bool refusal = answer->error != RUDDERWAY_ERROR_NONE &&
                   error_outcome((error_code_t)answer->error) == OUTCOME_NOT_RUN;
    if (refusal && pending->operation->kind == OPERATION_CALL &&
        copy_is_unaccounted(node, pending)) {
        finish_with_error(node, pending, RUDDERWAY_ERROR_UNAVAILABLE);
        return;
    }
    finish(node, pending, answer);
}

static void expire(node_t *node, pending_t *pending) {
    bool never_sent = pending->copies->len == 0;
    finish_with_error(node, pending,
                      never_sent ? RUDDERWAY_ERROR_NOT_READY : RUDDERWAY_ERROR_TIMED_OUT);
}

/** True if leadership moved away from where the last copy went. */
static bool owner_changed(const node_t *node, const pending_t *pending) {
    instance_id_t leader =
        partitions_leader(node, partitions_of_program(node, pending->operation->program));
    return pending->owner != 0 && leader != 0 && leader != pending->owner;
}

static bool is_due(const node_t *node, const pending_t *pending) {
    return node->now_ms >= MIN(pending->deadline_ms, pending->resend_ms) ||
           owner_changed(node, pending);
}

void entries_tick(node_t *node) {
    GPtrArray *due = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, node->entries->pending);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const pending_t *pending = value;
        if (is_due(node, pending))
            g_ptr_array_add(due, g_memdup2(&pending->operation->request, sizeof(uint64_t)));
    }
    for (guint i = 0; i < due->len; i++) {
        pending_t *pending = g_hash_table_lookup(node->entries->pending, g_ptr_array_index(due, i));
        if (pending == NULL)
            continue;
        if (node->now_ms >= pending->deadline_ms)
            expire(node, pending);
        else
            send_copy(node, pending);
    }
    g_ptr_array_set_free_func(due, g_free);
    g_ptr_array_unref(due);
}

unsigned entries_end(node_t *node) {
    GList *left = g_hash_table_get_values(node->entries->pending);
    unsigned count = g_list_length(left);
    for (GList *item = left; item != NULL; item = item->next) {
        pending_t *pending = item->data;
        bool never_sent = pending->copies->len == 0;
        finish_with_error(node, pending,
                          never_sent ? RUDDERWAY_ERROR_STOPPING : RUDDERWAY_ERROR_UNAVAILABLE);
    }
    g_list_free(left);
    return count;
}
