/**
 * @file checker.c
 * Judges a history. Records are taken in the order of the file, which is the order of time; each
 * check walks the records of one program, or of one node, once.
 */
#include "sim/history.h"

#include <string.h>

enum {
    LEAVING_GRACE_MS = 5000, /**< "A few seconds". */
    NO_RECORD = -1,
};

/** What is known of one call while its program's records are walked. */
typedef struct {
    int first_execution;
    int executions;
    int settled;      /**< First final answer (ok, unknown or failed) the caller got. */
    int acknowledged; /**< First ok. */
    int invoked;      /**< Last invoke. */
    bool uncertain;   /**< An earlier issue of the number ended unknown. */
    bool repeatable;
    int refused;        /**< Last not_run without a later invoke. */
    int refused_invoke; /**< The invoke it answered. */
    GHashTable *texts;  /**< Attempt → text executed. */
    bool read;
} call_view_t;

typedef struct {
    const char *program;
    GArray *positions; /**< Of int. */
} program_view_t;

typedef struct {
    const history_t *history;
    GPtrArray *violations;
} checker_t;

static const history_record_t *record_at(const checker_t *checker, int position) {
    return g_ptr_array_index(checker->history->records, (guint)position);
}

static void add_violation(const checker_t *checker, const char *promise, const char *program,
                          int first, int second) {
    violation_t *violation = g_new0(violation_t, 1);
    violation->promise = promise;
    violation->program = g_strdup(program);
    violation->first = first;
    violation->second = second;
    g_ptr_array_add(checker->violations, violation);
}

static void violation_free(gpointer data) {
    violation_t *violation = data;
    g_free(violation->program);
    g_free(violation);
}

static void call_view_clear(gpointer data) {
    call_view_t *view = data;
    g_hash_table_unref(view->texts);
}

static call_view_t *call_view(GArray *calls, uint32_t number) {
    while (calls->len <= number) {
        call_view_t view = {.first_execution = NO_RECORD,
                            .settled = NO_RECORD,
                            .acknowledged = NO_RECORD,
                            .invoked = NO_RECORD,
                            .refused = NO_RECORD,
                            .refused_invoke = NO_RECORD};
        view.texts = g_hash_table_new(g_int_hash, g_int_equal);
        g_array_append_val(calls, view);
    }
    return &g_array_index(calls, call_view_t, number);
}

/* --- One program -------------------------------------------------------------------------- */

static void take_execution(const checker_t *checker, GArray *calls, int position) {
    const history_record_t *record = record_at(checker, position);
    if (record->call > 1) {
        const call_view_t *previous = call_view(calls, record->call - 1);
        bool first = call_view(calls, record->call)->first_execution == NO_RECORD;
        if (first && previous->invoked != NO_RECORD && previous->settled == NO_RECORD)
            add_violation(checker, "order", record->program, previous->invoked, position);
    }
    call_view_t *call = call_view(calls, record->call);
    call->executions++;
    if (call->executions > 1 && !call->repeatable)
        add_violation(checker, "at most once", record->program, call->first_execution, position);
    if (call->refused != NO_RECORD && !call->uncertain)
        add_violation(checker, "not run", record->program, call->refused, position);
    if (call->first_execution == NO_RECORD)
        call->first_execution = position;
    g_hash_table_insert(call->texts, (gpointer)&record->attempt, record->text);
}

static void take_answer(const checker_t *checker, GArray *calls, int position) {
    const history_record_t *record = record_at(checker, position);
    call_view_t *call = call_view(calls, record->call);
    const char *executed = g_hash_table_lookup(call->texts, &record->attempt);
    if (executed == NULL || strcmp(executed, record->text) != 0)
        add_violation(checker, "whole answer", record->program, call->first_execution, position);
    if (call->acknowledged != NO_RECORD &&
        strcmp(record_at(checker, call->acknowledged)->text, record->text) != 0)
        add_violation(checker, "same answer", record->program, call->acknowledged, position);
    if (call->acknowledged == NO_RECORD)
        call->acknowledged = position;
    if (call->settled == NO_RECORD)
        call->settled = position;
}

static void take_refusal(const checker_t *checker, GArray *calls, int position) {
    const history_record_t *record = record_at(checker, position);
    call_view_t *call = call_view(calls, record->call);
    bool ran = call->first_execution != NO_RECORD && call->first_execution > call->invoked;
    if (ran && !call->uncertain)
        add_violation(checker, "not run", record->program, call->first_execution, position);
    call->refused = position;
    call->refused_invoke = call->invoked;
}

static void take_read(const checker_t *checker, GArray *calls, int position) {
    const history_record_t *record = record_at(checker, position);
    call_view_t *call = call_view(calls, record->call);
    call->read = true;
    if (call->acknowledged != NO_RECORD &&
        strcmp(record_at(checker, call->acknowledged)->text, record->text) != 0)
        add_violation(checker, "history", record->program, call->acknowledged, position);
}

static void take_invoke(GArray *calls, const history_record_t *record, int position) {
    call_view_t *call = call_view(calls, record->call);
    call->invoked = position;
    call->repeatable = record->repeatable;
    call->refused = NO_RECORD;
}

static void check_lost(const checker_t *checker, const char *program, const GArray *calls,
                       bool was_read) {
    for (guint i = 1; i < calls->len; i++) {
        const call_view_t *call = &g_array_index(calls, call_view_t, i);
        if (was_read && call->acknowledged != NO_RECORD && !call->read)
            add_violation(checker, "history", program, call->acknowledged, NO_RECORD);
    }
}

static void check_program(const checker_t *checker, const program_view_t *view) {
    GArray *calls = g_array_new(FALSE, FALSE, sizeof(call_view_t));
    uint64_t budget = UINT64_MAX;
    uint64_t spent = 0;
    bool was_read = false;
    int ended = NO_RECORD;
    g_array_set_clear_func(calls, call_view_clear);
    for (guint i = 0; i < view->positions->len; i++) {
        int position = g_array_index(view->positions, int, i);
        const history_record_t *record = record_at(checker, position);
        switch (record->kind) {
        case HISTORY_START:
            budget = record->number;
            break;
        case HISTORY_INVOKE:
            take_invoke(calls, record, position);
            break;
        case HISTORY_EXECUTED:
            take_execution(checker, calls, position);
            spent += record->number;
            if (spent > budget)
                add_violation(checker, "budget", view->program, position, NO_RECORD);
            break;
        case HISTORY_OK:
            take_answer(checker, calls, position);
            break;
        case HISTORY_NOT_RUN:
            take_refusal(checker, calls, position);
            break;
        case HISTORY_UNKNOWN:
            call_view(calls, record->call)->uncertain = true;
            if (call_view(calls, record->call)->settled == NO_RECORD)
                call_view(calls, record->call)->settled = position;
            break;
        case HISTORY_FAILED:
            if (call_view(calls, record->call)->settled == NO_RECORD)
                call_view(calls, record->call)->settled = position;
            break;
        case HISTORY_READ:
            was_read = true;
            if (record->call > 0)
                take_read(checker, calls, position);
            break;
        case HISTORY_END:
            ended = position;
            break;
        case HISTORY_HELD:
            if (ended != NO_RECORD)
                add_violation(checker, "engine memory", view->program, ended, position);
            break;
        default:
            break;
        }
    }
    check_lost(checker, view->program, calls, was_read);
    g_array_unref(calls);
}

static void view_free(gpointer data) {
    program_view_t *view = data;
    g_array_unref(view->positions);
    g_free(view);
}

static void check_programs(const checker_t *checker) {
    GHashTable *views = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, view_free);
    GPtrArray *order = g_ptr_array_new();
    for (int i = 0; i < (int)checker->history->records->len; i++) {
        const history_record_t *record = record_at(checker, i);
        if (*record->program == '\0')
            continue;
        program_view_t *view = g_hash_table_lookup(views, record->program);
        if (view == NULL) {
            view = g_new0(program_view_t, 1);
            view->program = record->program;
            view->positions = g_array_new(FALSE, FALSE, sizeof(int));
            g_hash_table_insert(views, record->program, view);
            g_ptr_array_add(order, view);
        }
        g_array_append_val(view->positions, i);
    }
    for (guint i = 0; i < order->len; i++)
        check_program(checker, g_ptr_array_index(order, i));
    g_ptr_array_unref(order);
    g_hash_table_unref(views);
}

/* --- Back ends, nodes and edits ------------------------------------------------------------- */

static int first_of_kind(const checker_t *checker, history_kind_t kind, const char *place) {
    for (int i = 0; i < (int)checker->history->records->len; i++) {
        const history_record_t *record = record_at(checker, i);
        if (record->kind == kind && strcmp(record->place, place) == 0)
            return i;
    }
    return NO_RECORD;
}

static void check_leaving(const checker_t *checker) {
    GHashTable *leaving = g_hash_table_new(g_str_hash, g_str_equal);
    for (int i = 0; i < (int)checker->history->records->len; i++) {
        const history_record_t *record = record_at(checker, i);
        if (record->kind == HISTORY_LEAVING)
            g_hash_table_insert(leaving, record->place, (gpointer)record);
        if (record->kind != HISTORY_EXECUTED)
            continue;
        const history_record_t *left = g_hash_table_lookup(leaving, record->place);
        if (left != NULL && record->time_ms > left->time_ms + LEAVING_GRACE_MS)
            add_violation(checker, "leaving back end", record->program,
                          first_of_kind(checker, HISTORY_LEAVING, record->place), i);
    }
    g_hash_table_unref(leaving);
}

static int position_of(const checker_t *checker, const history_record_t *record) {
    guint position = 0;
    g_ptr_array_find(checker->history->records, record, &position);
    return (int)position;
}

/** Each node's revision only grows, and a revision is the same edit everywhere. */
static void check_configuration(const checker_t *checker) {
    GHashTable *by_node = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTable *by_revision = g_hash_table_new(g_int64_hash, g_int64_equal);
    for (int i = 0; i < (int)checker->history->records->len; i++) {
        const history_record_t *record = record_at(checker, i);
        if (record->kind == HISTORY_LAGS)
            add_violation(checker, "configuration in force", "", i, NO_RECORD);
        if (record->kind != HISTORY_IN_FORCE && record->kind != HISTORY_EDIT)
            continue;
        const history_record_t *same = g_hash_table_lookup(by_revision, &record->number);
        if (same != NULL && strcmp(same->text, record->text) != 0)
            add_violation(checker, "one edit a revision", "", position_of(checker, same), i);
        if (same == NULL)
            g_hash_table_insert(by_revision, (gpointer)&record->number, (gpointer)record);
        if (record->kind != HISTORY_IN_FORCE)
            continue;
        const history_record_t *before = g_hash_table_lookup(by_node, record->place);
        if (before != NULL && before->number >= record->number)
            add_violation(checker, "configuration reverts", "", position_of(checker, before), i);
        g_hash_table_insert(by_node, record->place, (gpointer)record);
    }
    g_hash_table_unref(by_node);
    g_hash_table_unref(by_revision);
}

static void check_stops(const checker_t *checker) {
    for (int i = 0; i < (int)checker->history->records->len; i++) {
        const history_record_t *record = record_at(checker, i);
        if (record->kind == HISTORY_STOPPED && record->number > 0)
            add_violation(checker, "planned stop", "", i, NO_RECORD);
    }
}

GPtrArray *history_check(const history_t *history) {
    checker_t checker = {.history = history};
    checker.violations = g_ptr_array_new_with_free_func(violation_free);
    check_programs(&checker);
    check_leaving(&checker);
    check_configuration(&checker);
    check_stops(&checker);
    return checker.violations;
}
