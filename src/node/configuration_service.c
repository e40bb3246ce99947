#include "node/configuration_service.h"

#include "common/event.h"
#include "core/configuration/edit_log.h"
#include "node/adapters/key_value.h"
#include "node/entries.h"

#include <string.h>

enum {
    WATCHERS_PER_ZONE = 2,
    WATCH_WAIT_MS = 2000,
    WATCH_RETRY_MS = 500,
    PUSH_FANOUT = 3,
    FUTURE_MAXIMUM = 1000, /**< Edits kept that came before their predecessors. */
    ASK_INTERVAL_MS = 100,
    EDIT_TIMEOUT_MS = 8000,
    EDIT_RETRY_MS = 50,
    STATUS_OK = 200,
};

static const char edit_prefix[] = "config/edit/";

struct configuration_service {
    edit_log_t *log;
    GRand *random;
    bool watching;
    bool unreachable;
    uint64_t watch_version;
    int64_t next_watch_ms;
    int64_t next_ask_ms;
    GPtrArray *retrying; /**< Of submission_t whose write is to be repeated. */
    GHashTable *future;  /**< Revision → edit_t that came before its predecessors. */
};

configuration_service_t *configuration_service_new(uint64_t seed) {
    configuration_service_t *service = g_new0(configuration_service_t, 1);
    service->log = edit_log_new();
    service->random = g_rand_new_with_seed((guint32)(seed ^ (seed >> 32)));
    service->retrying = g_ptr_array_new();
    service->future =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, (GDestroyNotify)edit_free);
    return service;
}

void configuration_service_free(configuration_service_t *service) {
    edit_log_free(service->log);
    g_rand_free(service->random);
    g_ptr_array_unref(service->retrying);
    g_hash_table_unref(service->future);
    g_free(service);
}

static uint64_t revision_in_force(const node_t *node) {
    return configuration_revision(edit_log_configuration(node->configuration_service->log));
}

static key_value_address_t key_value_address(const node_t *node) {
    const endpoint_t *endpoint = &node->settings->key_value;
    return (key_value_address_t){.address = endpoint->address, .port = endpoint->port};
}

/* --- Spreading ---------------------------------------------------------------------------- */

static void tell(node_t *node, instance_id_t to, uint64_t after) {
    configuration_news_t *news = configuration_news_new(after);
    news->snapshot = edit_log_since(node->configuration_service->log, after, news->edits);
    node_send(node, to, PEER_RESPONSE_CONFIGURATION, news);
}

/** Passes the newest edits to a few members; they pass them on. */
static void push(node_t *node, uint64_t after) {
    const GPtrArray *members = membership_all(node->membership);
    guint start = (guint)g_rand_int(node->configuration_service->random);
    int told = 0;
    for (guint i = 0; i < members->len && told < PUSH_FANOUT; i++) {
        const member_t *member = g_ptr_array_index(members, (start + i) % members->len);
        if (member->instance == node->instance || member->state == MEMBER_DEAD)
            continue;
        tell(node, member->instance, after);
        told++;
    }
}

static void put_in_force(node_t *node, const char *source) {
    configuration_t *configuration = edit_log_configuration(node->configuration_service->log);
    event_log(CONFIGURATION_APPLIED, configuration_revision(configuration),
              configuration_edit_id(configuration), source);
    membership_set_revision(node->membership, configuration_revision(configuration));
    node_publish_configuration(node, configuration_ref(configuration));
}

static edit_verdict_t apply_one(node_t *node, edit_t *edit, bool snapshot, const char *source) {
    edit_log_t *log = node->configuration_service->log;
    GError *error = NULL;
    edit_verdict_t verdict =
        snapshot ? edit_log_load(log, edit, &error) : edit_log_apply(log, edit, &error);
    if (verdict == EDIT_APPLIED)
        put_in_force(node, source);
    if (verdict == EDIT_REJECTED)
        event_log(CONFIGURATION_REJECTED, edit->revision, error_name((error_code_t)error->code),
                  error->message);
    g_clear_error(&error);
    return verdict;
}

static void keep_future(configuration_service_t *service, edit_t *edit) {
    if (g_hash_table_size(service->future) >= FUTURE_MAXIMUM)
        return; /* They will be asked for again. */
    GBytes *bytes = edit_encode(edit);
    edit_t *copy = edit_decode(bytes);
    g_bytes_unref(bytes);
    g_hash_table_replace(service->future, &copy->revision, copy);
}

/** Applies edits that waited for the ones now in force. */
static void apply_future(node_t *node, const char *source) {
    GHashTable *future = node->configuration_service->future;
    for (;;) {
        uint64_t next = revision_in_force(node) + 1;
        edit_t *edit = g_hash_table_lookup(future, &next);
        if (edit == NULL || apply_one(node, edit, false, source) != EDIT_APPLIED)
            break;
        g_hash_table_remove(future, &next);
    }
    GHashTableIter iterator;
    gpointer key;
    g_hash_table_iter_init(&iterator, future);
    while (g_hash_table_iter_next(&iterator, &key, NULL))
        if (*(const uint64_t *)key <= revision_in_force(node))
            g_hash_table_iter_remove(&iterator);
}

/** Takes over edits from any source; what is new is passed on. */
static void take_edits(node_t *node, GPtrArray *edits, bool snapshot, const char *source) {
    uint64_t before = revision_in_force(node);
    for (guint i = 0; i < edits->len; i++) {
        edit_t *edit = g_ptr_array_index(edits, i);
        bool is_snapshot = snapshot && i == 0;
        if (apply_one(node, edit, is_snapshot, source) == EDIT_GAP)
            keep_future(node->configuration_service, edit);
    }
    apply_future(node, source);
    if (revision_in_force(node) > before)
        push(node, before);
}

void configuration_service_heard(node_t *node, instance_id_t from, uint64_t revision) {
    configuration_service_t *service = node->configuration_service;
    if (revision <= revision_in_force(node) || node->now_ms < service->next_ask_ms)
        return;
    service->next_ask_ms = node->now_ms + ASK_INTERVAL_MS;
    node_send(node, from, PEER_REQUEST_CONFIGURATION,
              configuration_news_new(revision_in_force(node)));
}

void configuration_service_asked(node_t *node, instance_id_t from,
                                 const configuration_news_t *request) {
    if (request->after_revision < revision_in_force(node))
        tell(node, from, request->after_revision);
}

void configuration_service_told(node_t *node, instance_id_t from,
                                const configuration_news_t *news) {
    (void)from;
    take_edits(node, news->edits, news->snapshot, "peer");
}

/* --- Watching the key-value service ------------------------------------------------------- */

typedef struct {
    uint64_t after;
    uint64_t version;
    json_t *entries; /**< NULL on failure. */
    GError *error;
} watch_t;

static gint compare_revisions(gconstpointer a, gconstpointer b) {
    const edit_t *left = *(const edit_t *const *)a;
    const edit_t *right = *(const edit_t *const *)b;
    return left->revision < right->revision ? -1 : left->revision > right->revision;
}

static edit_t *edit_of_entry(const json_t *entry) {
    const char *text = json_string_value(json_object_get(entry, "value"));
    json_t *value = text != NULL ? json_parse(text, strlen(text), NULL) : NULL;
    edit_t *edit = value != NULL ? edit_from_json(value, NULL) : NULL;
    json_decref(value);
    return edit;
}

static GPtrArray *edits_of_entries(const json_t *entries) {
    GPtrArray *edits = g_ptr_array_new_with_free_func((GDestroyNotify)edit_free);
    for (size_t i = 0; i < json_array_size(entries); i++) {
        edit_t *edit = edit_of_entry(json_array_get(entries, i));
        if (edit != NULL)
            g_ptr_array_add(edits, edit);
    }
    g_ptr_array_sort(edits, compare_revisions);
    return edits;
}

static void note_reachable(node_t *node, const GError *error) {
    configuration_service_t *service = node->configuration_service;
    const char *address = node->settings->key_value.address;
    if (error != NULL && !service->unreachable)
        event_log(KEY_VALUE_UNREACHABLE, address, error->message);
    if (error == NULL && service->unreachable)
        event_log(KEY_VALUE_REACHABLE, address);
    service->unreachable = error != NULL;
}

static void on_watch(void *context, void *data) {
    node_t *node = context;
    watch_t *watch = data;
    configuration_service_t *service = node->configuration_service;
    service->watching = false;
    note_reachable(node, watch->error);
    if (watch->entries != NULL) {
        GPtrArray *edits = edits_of_entries(watch->entries);
        take_edits(node, edits, false, "key_value");
        g_ptr_array_unref(edits);
        service->watch_version = watch->version;
    } else {
        service->next_watch_ms = node->now_ms + WATCH_RETRY_MS;
    }
    json_decref(watch->entries);
    g_clear_error(&watch->error);
    g_free(watch);
}

static void run_watch(void *context, void *data) {
    node_t *node = context;
    watch_t *watch = data;
    watch->entries = key_value_watch(node->client, key_value_address(node), edit_prefix,
                                     watch->after, WATCH_WAIT_MS, &watch->version, &watch->error);
    mailbox_post(node->mailbox, on_watch, watch);
}

/** The first members of a zone by name watch; the rest hear from them. */
static bool is_watcher(const node_t *node) {
    const GPtrArray *members = membership_all(node->membership);
    int before = 0;
    for (guint i = 0; i < members->len; i++) {
        const member_t *member = g_ptr_array_index(members, i);
        if (member->instance == node->instance)
            return before < WATCHERS_PER_ZONE;
        if (member->state == MEMBER_ALIVE && !member->leaving &&
            strcmp(member->zone, node->settings->zone) == 0)
            before++;
    }
    return true;
}

static void write_again(node_t *node);

void configuration_service_tick(node_t *node) {
    configuration_service_t *service = node->configuration_service;
    write_again(node);
    if (service->watching || node->now_ms < service->next_watch_ms || !is_watcher(node))
        return;
    watch_t *watch = g_new0(watch_t, 1);
    watch->after = service->watch_version;
    service->watching = true;
    workers_submit(node->workers, run_watch, watch);
}

/* --- Edits -------------------------------------------------------------------------------- */

/** An edit on its way; the pool thread and the decision thread hand it to and fro. */
typedef struct {
    http_request_t *request;
    edit_t *edit;
    bool ambiguous; /**< A write of it had no answer. */
    int64_t deadline_ms;
    int64_t retry_ms; /**< When to write again. */
    GError *error;    /**< Of the last step. */
    json_t *conflict; /**< Entries read back after a conflict. */
} submission_t;

static void prepare(void *context, void *data);
static void run_write(void *context, void *data);

static void submission_free(submission_t *submission) {
    edit_free(submission->edit);
    g_clear_error(&submission->error);
    json_decref(submission->conflict);
    g_free(submission);
}

static void accept_edit(node_t *node, submission_t *submission) {
    edit_t *edit = submission->edit;
    GPtrArray *edits = g_ptr_array_new();
    g_ptr_array_add(edits, edit);
    event_log(EDIT_ACCEPTED, edit->revision, edit->id);
    take_edits(node, edits, false, "edit");
    g_ptr_array_unref(edits);
    respond_json(submission->request, STATUS_OK,
                 json_pack("{s:I, s:s}", "revision", (json_int_t)edit->revision, "id", edit->id));
    submission_free(submission);
}

static void refuse_edit(submission_t *submission, GError *error) {
    bool ambiguous = submission->ambiguous && error->code != RUDDERWAY_ERROR_EDIT_CONFLICT;
    if (ambiguous)
        respond_error(submission->request, RUDDERWAY_ERROR_EDIT_UNKNOWN, error->message, 0);
    else
        respond_error(submission->request, (error_code_t)error->code, error->message, 0);
    g_error_free(error);
    submission_free(submission);
}

/** Validates against the configuration in force, takes the next revision and writes. */
static void prepare(void *context, void *data) {
    node_t *node = context;
    submission_t *submission = data;
    edit_log_t *log = node->configuration_service->log;
    const edit_t *known = edit_log_find(log, submission->edit->id);
    if (known != NULL) {
        submission->edit->revision = known->revision;
        respond_json(
            submission->request, STATUS_OK,
            json_pack("{s:I, s:s}", "revision", (json_int_t)known->revision, "id", known->id));
        submission_free(submission);
        return;
    }
    GError *error = NULL;
    submission->edit->revision = revision_in_force(node) + 1;
    configuration_t *next =
        configuration_apply(edit_log_configuration(log), submission->edit, &error);
    if (next == NULL) {
        refuse_edit(submission, error);
        return;
    }
    configuration_unref(next);
    workers_submit(node->workers, run_write, submission);
}

/** Somebody holds this revision number: us, if an earlier write took effect, or another edit. */
static void on_conflict(node_t *node, submission_t *submission) {
    GPtrArray *edits = edits_of_entries(submission->conflict);
    bool own = false;
    for (guint i = 0; i < edits->len; i++) {
        const edit_t *edit = g_ptr_array_index(edits, i);
        own = own || (edit->revision == submission->edit->revision &&
                      strcmp(edit->id, submission->edit->id) == 0);
    }
    if (own) {
        accept_edit(node, submission);
    } else {
        take_edits(node, edits, false, "key_value");
        submission->ambiguous = false;
        prepare(node, submission);
    }
    g_ptr_array_unref(edits);
}

static bool is_ambiguous(const GError *error) {
    return error->code == RUDDERWAY_ERROR_TIMED_OUT ||
           error->code == RUDDERWAY_ERROR_CONNECTION_LOST;
}

/** True if the write should be tried again; arranges it. */
static bool retry_write(node_t *node, submission_t *submission) {
    bool conflict = submission->error->code == RUDDERWAY_ERROR_KEY_VALUE_CONFLICT;
    if (is_ambiguous(submission->error))
        submission->ambiguous = true;
    if ((conflict && submission->conflict != NULL) || node->now_ms >= submission->deadline_ms)
        return false;
    submission->retry_ms = node->now_ms + EDIT_RETRY_MS;
    g_ptr_array_add(node->configuration_service->retrying, submission);
    return true;
}

static void on_written(void *context, void *data) {
    node_t *node = context;
    submission_t *submission = data;
    if (submission->error != NULL && retry_write(node, submission))
        return;
    GError *error = g_steal_pointer(&submission->error);
    if (error == NULL)
        accept_edit(node, submission);
    else if (error->code == RUDDERWAY_ERROR_KEY_VALUE_CONFLICT && submission->conflict != NULL)
        on_conflict(node, submission);
    else {
        refuse_edit(submission, error);
        return;
    }
    g_clear_error(&error);
}

static void read_back(node_t *node, submission_t *submission) {
    uint64_t version;
    json_decref(submission->conflict);
    submission->conflict =
        key_value_watch(node->client, key_value_address(node), edit_prefix, 0, 0, &version, NULL);
}

static void run_write(void *context, void *data) {
    node_t *node = context;
    submission_t *submission = data;
    char *key = g_strdup_printf("%s%020" G_GUINT64_FORMAT, edit_prefix, submission->edit->revision);
    json_t *value = edit_to_json(submission->edit);
    char *text = json_to_text(value);
    g_clear_error(&submission->error);
    key_value_swap(node->client, key_value_address(node), key, text, 0, 0, &submission->error);
    if (submission->error != NULL && submission->error->code == RUDDERWAY_ERROR_KEY_VALUE_CONFLICT)
        read_back(node, submission);
    json_decref(value);
    g_free(text);
    g_free(key);
    mailbox_post(node->mailbox, on_written, submission);
}

static void start_write(void *context, void *data) {
    node_t *node = context;
    submission_t *submission = data;
    submission->deadline_ms = node->now_ms + EDIT_TIMEOUT_MS;
    prepare(node, submission);
}

static void write_again(node_t *node) {
    GPtrArray *retrying = node->configuration_service->retrying;
    for (guint i = retrying->len; i > 0; i--) {
        submission_t *submission = g_ptr_array_index(retrying, i - 1);
        if (submission->retry_ms > node->now_ms)
            continue;
        g_ptr_array_remove_index_fast(retrying, i - 1);
        workers_submit(node->workers, run_write, submission);
    }
}

void configuration_service_submit(node_t *node, http_request_t *request, edit_t *edit) {
    submission_t *submission = g_new0(submission_t, 1);
    submission->request = request;
    submission->edit = edit;
    mailbox_post(node->mailbox, start_write, submission);
}

/* --- History ------------------------------------------------------------------------------ */

json_t *configuration_service_history(const node_t *node) {
    const GPtrArray *edits = edit_log_edits(node->configuration_service->log);
    json_t *list = json_array();
    for (guint i = edits->len; i > 0; i--) {
        json_t *edit = edit_to_json(g_ptr_array_index(edits, i - 1));
        json_array_append_new(list, edit);
    }
    return list;
}

/** The text an object had at @p revision, from the kept edits; NULL if there was none. */
static const char *text_at(const GPtrArray *edits, const char *key, uint64_t revision) {
    const char *text = NULL;
    for (guint i = 0; i < edits->len; i++) {
        const edit_t *edit = g_ptr_array_index(edits, i);
        if (edit->revision > revision)
            break;
        for (guint j = 0; j < edit->changes->len; j++) {
            const edit_change_t *change = g_ptr_array_index(edit->changes, j);
            if (strcmp(change->key, key) == 0)
                text = change->text;
        }
    }
    return text;
}

edit_t *configuration_service_rollback(const node_t *node, uint64_t revision, const char *id,
                                       GError **error) {
    const edit_log_t *log = node->configuration_service->log;
    const GPtrArray *edits = edit_log_edits(log);
    const edit_t *oldest = edits->len > 0 ? g_ptr_array_index(edits, 0) : NULL;
    if (oldest == NULL || oldest->revision != 1 || revision >= revision_in_force(node)) {
        error_set(error, RUDDERWAY_ERROR_NO_SUCH_OBJECT,
                  "revision %" G_GUINT64_FORMAT " is not kept or not older", revision);
        return NULL;
    }
    edit_t *rollback = edit_new(id, "rollback", node->unix_ms);
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < edits->len; i++) {
        const edit_t *edit = g_ptr_array_index(edits, i);
        for (guint j = 0; edit->revision > revision && j < edit->changes->len; j++) {
            const edit_change_t *change = g_ptr_array_index(edit->changes, j);
            if (!g_hash_table_add(seen, change->key))
                continue;
            const configuration_object_t *now =
                configuration_object(edit_log_configuration(log), change->key);
            const char *then = text_at(edits, change->key, revision);
            edit_add(rollback, change->key, then != NULL ? then : "",
                     now != NULL ? now->revision : 0);
        }
    }
    g_hash_table_unref(seen);
    return rollback;
}
