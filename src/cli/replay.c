/**
 * @file replay.c
 * rudderway replay: plays a trace against a live cluster, one thread a program, and judges what
 * callers saw: every program completes, every answer belongs to its own call, a call asked for
 * again gives the same answer, and the history at the end is the one that was issued.
 */
#include "cli/cli.h"
#include "cli/trace.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum {
    CALL_TIMEOUT_MS = 60000,
    GIVE_UP_MS = 90000, /**< For one call, over all tries. */
    RETRY_MS = 100,
    PROGRESS_MS = 500,
    BYTES_PER_TOKEN = 4,
    THREAD_STACK_BYTES = 256 * 1024,
    FETCH_AGAIN_EVERY = 4, /**< Calls; every so often an answer is fetched a second time. */
    MICROSECONDS_PER_MILLISECOND = 1000,
};

/** What all threads report to. */
typedef struct {
    const cli_t *cli;
    const json_t *tokens;
    int64_t start_us;
    pthread_mutex_t lock; /**< Guards what follows. */
    unsigned programs;
    unsigned completed;
    unsigned late;
    unsigned violations;
    unsigned service_requests;
    unsigned service_answers;
    unsigned unknown;
    uint64_t prompt_tokens;
    uint64_t cached_tokens;
    uint64_t wasted_tokens;
    GArray *latencies_ms; /**< Of double, in trace time. */
    GHashTable *refusals; /**< Error name → count. */
} replay_t;

/** One program (or sub-agent) as its thread sees it. */
typedef struct {
    char *id;
    uint32_t calls;
    uint64_t context_tokens; /**< Prompt and output so far. */
    bool failed;
} track_t;

typedef struct {
    replay_t *replay;
    trace_script_t *script;
    GHashTable *tracks; /**< Program id → track_t. */
    const char *token;
    guint next_node;
    unsigned checks;
} player_t;

static int64_t elapsed_ms(const replay_t *replay) {
    return (g_get_monotonic_time() - replay->start_us) / MICROSECONDS_PER_MILLISECOND;
}

static void pause_ms(double milliseconds) {
    if (milliseconds > 0)
        g_usleep((gulong)(milliseconds * MICROSECONDS_PER_MILLISECOND));
}

static void violation(replay_t *replay, const char *program, uint32_t call, const char *what) {
    pthread_mutex_lock(&replay->lock);
    replay->violations++;
    pthread_mutex_unlock(&replay->lock);
    fprintf(stderr, "violation: program %s call %u: %s\n", program, call, what);
}

static void count_refusal(replay_t *replay, const char *name) {
    pthread_mutex_lock(&replay->lock);
    unsigned *count = g_hash_table_lookup(replay->refusals, name);
    if (count == NULL) {
        count = g_new0(unsigned, 1);
        g_hash_table_insert(replay->refusals, g_strdup(name), count);
    }
    (*count)++;
    pthread_mutex_unlock(&replay->lock);
}

/* --- Requests ----------------------------------------------------------------------------- */

static const char *error_code_of(const json_t *answer) {
    const char *code = json_string_value(json_object_get(json_object_get(answer, "error"), "code"));
    return code != NULL ? code : "no_answer";
}

static bool is_final(const char *code) {
    error_code_t error = error_from_name(code);
    switch (error) {
    case RUDDERWAY_ERROR_OVERLOADED:
    case RUDDERWAY_ERROR_TENANT_LIMIT:
    case RUDDERWAY_ERROR_STOPPING:
    case RUDDERWAY_ERROR_NO_BACKEND:
    case RUDDERWAY_ERROR_NOT_READY:
    case RUDDERWAY_ERROR_UNAVAILABLE:
    case RUDDERWAY_ERROR_TIMED_OUT:
    case RUDDERWAY_ERROR_CANNOT_CONNECT:
    case RUDDERWAY_ERROR_OUT_OF_ORDER:
        return false;
    default:
        return true;
    }
}

/**
 * Asks one node after another until there is a final answer. That is allowed for everything a
 * program does, since a call's number makes its repetition harmless.
 */
static json_t *ask(player_t *player, const cli_request_t *request, unsigned *status) {
    const GArray *nodes = player->replay->cli->nodes;
    int64_t until_ms = elapsed_ms(player->replay) + GIVE_UP_MS;
    for (;;) {
        const cli_node_t *node = &g_array_index(nodes, cli_node_t, player->next_node % nodes->len);
        GError *error = NULL;
        json_t *answer = cli_ask_node(player->replay->cli, node, request, status, &error);
        bool success = answer != NULL && *status / 100 == 2;
        const char *code =
            answer != NULL ? error_code_of(answer) : error_name((error_code_t)error->code);
        bool final = success || (answer != NULL && is_final(code));
        if (!success)
            count_refusal(player->replay, code);
        g_clear_error(&error);
        if (final || elapsed_ms(player->replay) > until_ms)
            return answer;
        json_decref(answer);
        player->next_node++;
        pause_ms(RETRY_MS);
    }
}

static json_t *ask_json(player_t *player, const char *method, const char *path, const json_t *body,
                        unsigned *status) {
    char *text = body != NULL ? json_to_text(body) : NULL;
    cli_request_t request = {.method = method,
                             .path = path,
                             .token = player->token,
                             .body = text,
                             .timeout_ms = CALL_TIMEOUT_MS};
    json_t *answer = ask(player, &request, status);
    g_free(text);
    return answer;
}

/* --- Calls -------------------------------------------------------------------------------- */

static track_t *find_track(player_t *player, const char *id) {
    track_t *track = g_hash_table_lookup(player->tracks, id);
    if (track != NULL)
        return track;
    track = g_new0(track_t, 1);
    track->id = g_strdup(id);
    g_hash_table_insert(player->tracks, track->id, track);
    return track;
}

static void track_free(gpointer data) {
    track_t *track = data;
    g_free(track->id);
    g_free(track);
}

/** Text of the given size that belongs to this call alone. */
static char *call_text(const track_t *track, uint32_t call, uint32_t tokens) {
    GString *text = g_string_new(NULL);
    g_string_append_printf(text, "%s call %u:", track->id, call);
    while (text->len < (gsize)tokens * BYTES_PER_TOKEN)
        g_string_append_printf(text, " w%zu", text->len);
    return g_string_free(text, FALSE);
}

static json_t *call_body(const trace_event_t *event, const track_t *track, uint32_t call) {
    if (event->kind == TRACE_MODEL) {
        char *text = call_text(track, call, event->prompt_tokens);
        json_t *body = json_pack("{s:s, s:[{s:s, s:s}], s:i, s:b}", "kind", "model", "messages",
                                 "role", "user", "content", text, "max_tokens",
                                 (int)event->output_tokens, "repeatable", event->repeatable);
        g_free(text);
        return body;
    }
    if (event->kind == TRACE_TOOL)
        return json_pack("{s:s, s:s, s:{s:s, s:i}, s:b}", "kind", "tool", "tool", event->name,
                         "arguments", "program", track->id, "call", (int)call, "repeatable",
                         event->repeatable);
    return json_pack("{s:s, s:s}", "kind", "subagent", "template", event->name);
}

static void check_answer(player_t *player, const track_t *track, uint32_t call,
                         const json_t *answer) {
    const char *program = json_string_value(json_object_get(answer, "program"));
    if (g_strcmp0(program, track->id) != 0 ||
        json_integer_value(json_object_get(answer, "call")) != call)
        violation(player->replay, track->id, call, "the answer belongs to another call");
}

static void check_again(player_t *player, const track_t *track, uint32_t call, const char *path,
                        const json_t *answer) {
    unsigned status = 0;
    if (++player->checks % FETCH_AGAIN_EVERY != 0)
        return;
    json_t *again = ask_json(player, "GET", path, NULL, &status);
    if (again != NULL && status == 200 && !json_equal(again, answer))
        violation(player->replay, track->id, call, "fetched again, the answer is another");
    json_decref(again);
}

static void count_tokens(player_t *player, track_t *track, const json_t *answer) {
    const json_t *usage = json_object_get(json_object_get(answer, "answer"), "usage");
    uint64_t prompt = (uint64_t)json_integer_value(json_object_get(usage, "prompt_tokens"));
    uint64_t cached = (uint64_t)json_integer_value(json_object_get(usage, "cached_tokens"));
    uint64_t output = (uint64_t)json_integer_value(json_object_get(usage, "completion_tokens"));
    replay_t *replay = player->replay;
    pthread_mutex_lock(&replay->lock);
    replay->prompt_tokens += prompt;
    replay->cached_tokens += cached;
    if (track->context_tokens > cached)
        replay->wasted_tokens += track->context_tokens - cached;
    pthread_mutex_unlock(&replay->lock);
    track->context_tokens = prompt + output;
}

static void note_failed_call(player_t *player, track_t *track, uint32_t call,
                             const json_t *answer) {
    const char *code = answer != NULL ? error_code_of(answer) : "no_answer";
    const char *outcome =
        json_string_value(json_object_get(json_object_get(answer, "error"), "outcome"));
    track->failed = true;
    pthread_mutex_lock(&player->replay->lock);
    if (g_strcmp0(outcome, "unknown") == 0 || answer == NULL)
        player->replay->unknown++;
    pthread_mutex_unlock(&player->replay->lock);
    fprintf(stderr, "program %s call %u: %s\n", track->id, call, code);
}

static void play_call(player_t *player, const trace_event_t *event) {
    track_t *track = find_track(player, event->program);
    unsigned status = 0;
    uint32_t call = ++track->calls;
    pause_ms((double)event->pause_ms / player->replay->cli->speed_up);
    char *path = g_strdup_printf("/v1/programs/%s/calls/%u", track->id, call);
    json_t *body = call_body(event, track, call);
    json_t *answer = ask_json(player, "POST", path, body, &status);
    if (answer != NULL && status == 200) {
        check_answer(player, track, call, answer);
        check_again(player, track, call, path, answer);
        if (event->kind == TRACE_MODEL)
            count_tokens(player, track, answer);
    } else {
        note_failed_call(player, track, call, answer);
    }
    json_decref(answer);
    json_decref(body);
    g_free(path);
}

/* --- Programs ----------------------------------------------------------------------------- */

static void start_program(player_t *player, const trace_event_t *event) {
    track_t *track = find_track(player, event->program);
    unsigned status = 0;
    json_t *body = json_pack("{s:s, s:s}", "id", event->program, "template", event->name);
    json_t *answer = ask_json(player, "POST", "/v1/programs", body, &status);
    if (answer == NULL || status / 100 != 2)
        note_failed_call(player, track, 0, answer);
    json_decref(answer);
    json_decref(body);
}

static void check_history(player_t *player, const track_t *track, const json_t *program) {
    const json_t *history = json_object_get(program, "history");
    if (json_array_size(history) != track->calls)
        violation(player->replay, track->id, 0, "the history has lost or gained calls");
    for (size_t i = 0; i < json_array_size(history); i++) {
        const json_t *call = json_array_get(history, i);
        char *text = json_to_text(json_object_get(call, "request"));
        bool subagent =
            g_strcmp0(json_string_value(json_object_get(call, "kind")), "subagent") == 0;
        if (json_integer_value(json_object_get(call, "call")) != (json_int_t)i + 1)
            violation(player->replay, track->id, (uint32_t)i + 1, "the history is out of order");
        if (!subagent && strstr(text, track->id) == NULL)
            violation(player->replay, track->id, (uint32_t)i + 1,
                      "the history holds another program's call");
        g_free(text);
    }
    json_int_t budget = json_integer_value(json_object_get(program, "budget_tokens"));
    if (json_integer_value(json_object_get(program, "spent_tokens")) > budget)
        violation(player->replay, track->id, 0, "the budget was exceeded");
}

static void end_program(player_t *player, const trace_event_t *event) {
    track_t *track = find_track(player, event->program);
    unsigned status = 0;
    char *path = g_strdup_printf("/v1/programs/%s", track->id);
    json_t *program = ask_json(player, "GET", path, NULL, &status);
    if (program != NULL && status == 200)
        check_history(player, track, program);
    json_decref(program);
    json_t *answer = ask_json(player, "DELETE", path, NULL, &status);
    if (answer == NULL || status != 200)
        note_failed_call(player, track, track->calls, answer);
    json_decref(answer);
    g_free(path);
}

static void send_service_request(player_t *player, const trace_event_t *event) {
    replay_t *replay = player->replay;
    const GArray *nodes = replay->cli->nodes;
    unsigned status = 0;
    char *path = g_strdup_printf("/v1/services/%s/v1/orders", event->name);
    char *body = g_strdup_printf("{\"order\":\"%s\"}", event->program);
    cli_request_t request = {.method = "POST",
                             .path = path,
                             .token = player->token,
                             .body = body,
                             .timeout_ms = CALL_TIMEOUT_MS};
    json_t *answer = NULL;
    bool again = true;
    for (guint i = 0; i < nodes->len && again; i++) {
        GError *error = NULL;
        const cli_node_t *node =
            &g_array_index(nodes, cli_node_t, player->next_node++ % nodes->len);
        answer = cli_ask_node(replay->cli, node, &request, &status, &error);
        /* An unrepeatable request may be sent again only if it provably did not run. */
        const json_t *outcome = json_object_get(json_object_get(answer, "error"), "outcome");
        bool not_run = g_strcmp0(json_string_value(outcome), "not_run") == 0;
        again = answer == NULL ? error->code == RUDDERWAY_ERROR_CANNOT_CONNECT : not_run;
        if (answer == NULL || status != 200)
            count_refusal(replay, answer != NULL ? error_code_of(answer)
                                                 : error_name((error_code_t)error->code));
        g_clear_error(&error);
        if (again)
            json_decref(g_steal_pointer(&answer));
    }
    pthread_mutex_lock(&replay->lock);
    replay->service_requests++;
    if (answer != NULL && status == 200)
        replay->service_answers++;
    else
        replay->unknown++;
    pthread_mutex_unlock(&replay->lock);
    json_decref(answer);
    g_free(path);
    g_free(body);
}

static void finish_script(player_t *player, int64_t started_ms) {
    replay_t *replay = player->replay;
    const trace_event_t *first = g_ptr_array_index(player->script->events, 0);
    bool failed = false;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, player->tracks);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        failed = failed || ((track_t *)value)->failed;
    double latency_ms = (double)(elapsed_ms(replay) - started_ms) * replay->cli->speed_up;
    pthread_mutex_lock(&replay->lock);
    replay->completed += !failed;
    replay->late += first->deadline_ms > 0 && latency_ms > (double)first->deadline_ms;
    g_array_append_val(replay->latencies_ms, latency_ms);
    pthread_mutex_unlock(&replay->lock);
}

static void play_event(player_t *player, const trace_event_t *event) {
    switch (event->kind) {
    case TRACE_PROGRAM:
        start_program(player, event);
        break;
    case TRACE_MODEL:
    case TRACE_TOOL:
    case TRACE_SUBAGENT:
        play_call(player, event);
        break;
    case TRACE_END:
        end_program(player, event);
        break;
    case TRACE_SERVICE:
        send_service_request(player, event);
        break;
    case TRACE_KINDS:
        break;
    }
}

static void *play_script(void *argument) {
    player_t *player = argument;
    replay_t *replay = player->replay;
    const trace_event_t *first = g_ptr_array_index(player->script->events, 0);
    double due_ms = (double)player->script->at_ms / replay->cli->speed_up;
    pause_ms(due_ms - (double)elapsed_ms(replay));
    int64_t started_ms = elapsed_ms(replay);
    player->token = json_string_value(json_object_get(replay->tokens, first->tenant));
    for (guint i = 0; i < player->script->events->len; i++)
        play_event(player, g_ptr_array_index(player->script->events, i));
    if (first->kind == TRACE_PROGRAM)
        finish_script(player, started_ms);
    g_hash_table_unref(player->tracks);
    g_free(player);
    return NULL;
}

/* --- The whole ---------------------------------------------------------------------------- */

static gint compare_doubles(gconstpointer a, gconstpointer b) {
    double left = *(const double *)a;
    double right = *(const double *)b;
    return (left > right) - (left < right);
}

static double percentile(const GArray *sorted, double fraction) {
    if (sorted->len == 0)
        return 0;
    guint position = (guint)(fraction * (sorted->len - 1) + 0.5);
    return g_array_index(sorted, double, position);
}

static json_t *refusals_to_json(const replay_t *replay) {
    json_t *value = json_object();
    GHashTableIter iterator;
    gpointer key;
    gpointer count;
    g_hash_table_iter_init(&iterator, replay->refusals);
    while (g_hash_table_iter_next(&iterator, &key, &count))
        json_object_set_new(value, key, json_integer(*(const unsigned *)count));
    return value;
}

static json_t *result_to_json(replay_t *replay) {
    g_array_sort(replay->latencies_ms, compare_doubles);
    return json_pack(
        "{s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:f, s:f, s:f, s:I, s:I, s:I, s:o}", "programs",
        (int)replay->programs, "completed", (int)replay->completed, "late", (int)replay->late,
        "violations", (int)replay->violations, "unknown", (int)replay->unknown, "service_requests",
        (int)replay->service_requests, "service_answers", (int)replay->service_answers, "p50_ms",
        percentile(replay->latencies_ms, 0.5), "p95_ms", percentile(replay->latencies_ms, 0.95),
        "p99_ms", percentile(replay->latencies_ms, 0.99), "prompt_tokens",
        (json_int_t)replay->prompt_tokens, "cached_tokens", (json_int_t)replay->cached_tokens,
        "wasted_prefix_tokens", (json_int_t)replay->wasted_tokens, "refusals",
        refusals_to_json(replay));
}

static double fraction_of(const json_t *result, const char *part, const char *whole) {
    double total = (double)json_integer_value(json_object_get(result, whole));
    return total > 0 ? (double)json_integer_value(json_object_get(result, part)) / total : 1;
}

/** Compares the result with the stated outcomes; prints each that is missed. */
static bool judge(const json_t *result, const json_t *outcomes) {
    const struct {
        const char *name;
        double measured;
        bool at_least;
    } rows[] = {
        {"completed_fraction", fraction_of(result, "completed", "programs"), true},
        {"late_fraction", fraction_of(result, "late", "programs"), false},
        {"service_answered_fraction", fraction_of(result, "service_answers", "service_requests"),
         true},
        {"violations", (double)json_integer_value(json_object_get(result, "violations")), false},
    };
    bool passed = true;
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        double stated = json_number_value(json_object_get(outcomes, rows[i].name));
        bool met = rows[i].at_least ? rows[i].measured >= stated : rows[i].measured <= stated;
        if (!met)
            printf("missed: %s is %g, stated is %s %g\n", rows[i].name, rows[i].measured,
                   rows[i].at_least ? "at least" : "at most", stated);
        passed = passed && met;
    }
    return passed;
}

static json_t *load_json(const char *file) {
    json_error_t problem;
    json_t *value = json_load_file(file, 0, &problem);
    if (value == NULL)
        fprintf(stderr, "rudderway: %s: %s\n", file, problem.text);
    return value;
}

static char *outcomes_path(const cli_t *cli) {
    if (cli->outcomes_file != NULL)
        return g_strdup(cli->outcomes_file);
    const char *trace = cli->arguments[0];
    size_t length =
        g_str_has_suffix(trace, ".jsonl") ? strlen(trace) - strlen(".jsonl") : strlen(trace);
    return g_strdup_printf("%.*s.outcomes.json", (int)length, trace);
}

static void show_progress(replay_t *replay, gint *running) {
    bool terminal = isatty(STDERR_FILENO);
    while (g_atomic_int_get(running) > 0) {
        pause_ms(PROGRESS_MS);
        pthread_mutex_lock(&replay->lock);
        unsigned completed = replay->completed;
        unsigned violations = replay->violations;
        pthread_mutex_unlock(&replay->lock);
        if (terminal)
            fprintf(stderr, "\r%5.1f s  programs %u of %u  violations %u ",
                    (double)elapsed_ms(replay) / 1000, completed, replay->programs, violations);
    }
    if (terminal)
        fputc('\n', stderr);
}

typedef struct {
    replay_t *replay;
    gint *running;
} progress_t;

static void *run_progress(void *argument) {
    const progress_t *progress = argument;
    show_progress(progress->replay, progress->running);
    return NULL;
}

static void play_all(replay_t *replay, const GPtrArray *scripts) {
    pthread_t *threads = g_new0(pthread_t, scripts->len);
    pthread_attr_t attributes;
    pthread_t progress_thread;
    gint running = 1;
    progress_t progress = {.replay = replay, .running = &running};
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, THREAD_STACK_BYTES);
    pthread_create(&progress_thread, NULL, run_progress, &progress);
    for (guint i = 0; i < scripts->len; i++) {
        player_t *player = g_new0(player_t, 1);
        player->replay = replay;
        player->script = g_ptr_array_index(scripts, i);
        player->tracks = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, track_free);
        player->next_node = i;
        if (pthread_create(&threads[i], &attributes, play_script, player) != 0)
            abort();
    }
    for (guint i = 0; i < scripts->len; i++)
        pthread_join(threads[i], NULL);
    g_atomic_int_set(&running, 0);
    pthread_join(progress_thread, NULL);
    pthread_attr_destroy(&attributes);
    g_free(threads);
}

static unsigned count_programs(const GPtrArray *scripts) {
    unsigned count = 0;
    for (guint i = 0; i < scripts->len; i++) {
        const trace_script_t *script = g_ptr_array_index(scripts, i);
        const trace_event_t *first = g_ptr_array_index(script->events, 0);
        count += first->kind == TRACE_PROGRAM;
    }
    return count;
}

static cli_status_t replay_scripts(const cli_t *cli, const GPtrArray *scripts, const json_t *tokens,
                                   const json_t *outcomes) {
    replay_t replay = {.cli = cli,
                       .tokens = tokens,
                       .start_us = g_get_monotonic_time(),
                       .lock = PTHREAD_MUTEX_INITIALIZER,
                       .programs = count_programs(scripts)};
    replay.latencies_ms = g_array_new(FALSE, FALSE, sizeof(double));
    replay.refusals = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    play_all(&replay, scripts);
    json_t *result = result_to_json(&replay);
    cli_print_json(result);
    if (cli->report_file != NULL)
        json_dump_file(result, cli->report_file, JSON_INDENT(2));
    bool passed = judge(result, outcomes);
    puts(passed ? "PASS" : "FAIL");
    json_decref(result);
    g_array_unref(replay.latencies_ms);
    g_hash_table_unref(replay.refusals);
    return passed ? CLI_OK : CLI_FAILED;
}

cli_status_t command_replay(const cli_t *cli) {
    GError *error = NULL;
    if (cli->tokens_file == NULL) {
        fprintf(stderr, "rudderway: replay needs --tokens FILE\n");
        return CLI_USAGE;
    }
    GPtrArray *scripts = trace_read(cli->arguments[0], &error);
    if (scripts == NULL) {
        fprintf(stderr, "rudderway: %s: %s\n", cli->arguments[0], error->message);
        g_error_free(error);
        return CLI_USAGE;
    }
    char *path = outcomes_path(cli);
    json_t *tokens = load_json(cli->tokens_file);
    json_t *outcomes = load_json(path);
    cli_status_t status = CLI_USAGE;
    if (tokens != NULL && outcomes != NULL)
        status = replay_scripts(cli, scripts, tokens, outcomes);
    json_decref(tokens);
    json_decref(outcomes);
    g_free(path);
    g_ptr_array_unref(scripts);
    return status;
}
