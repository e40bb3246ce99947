/**
 * @file engine.c
 * Stand-in for a model engine: continuous batching with chunked prefill, a limited prefix
 * cache, priorities, streams that can be resumed and cancelled, lagging load reports, late and
 * gappy cache events, and fenced orders.
 *
 *   POST   /v1/chat/completions     {"model", "messages", "max_tokens", "request_id",
 *                                    "program", "priority", "cap_tokens"}; always streams
 *   GET    /v1/requests/ID?from=N   the same stream from token N on
 *   POST   /v1/requests/ID/cancel
 *   DELETE /v1/programs/ID          releases what the program holds
 *   GET    /v1/kv/PROGRAM           exports; PUT imports
 *   GET    /v1/load, GET /v1/cache/events?from=N, POST /v1/orders {"fence", "model"}
 *   GET    /standin/held            {program: blocks}; POST /standin/leave
 *
 * One thread advances all sequences a step at a time; a step takes longer with more of them.
 */
#include "common/chat.h"
#include "standin/block_cache.h"
#include "standin/standin.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <xxhash.h>

enum {
    STEP_BASE_US = 4000,        /**< A decode step of an empty batch. */
    STEP_PER_SEQUENCE_US = 100, /**< More for each sequence. */
    PREFILL_TOKENS_PER_STEP = 256,
    TOKENS_PER_BLOCK = PREFIX_BLOCK_BYTES / CHAT_BYTES_PER_TOKEN,
    LETTERS = 26,
    WORD_LETTERS = 3,
    FINISHED_KEPT = 2000,
};

typedef struct {
    char *id;
    char *program;
    int64_t priority;
    uint64_t arrival;
    char *prompt; /**< Prompt text. */
    uint32_t prompt_tokens;
    uint32_t cached_tokens;
    uint32_t prefill_left;
    uint32_t output_tokens;
    uint32_t produced;
    GString *output;
    bool hang;
    bool lose_answer;
    bool finished;
    http_request_t *stream; /**< Who reads now; NULL if nobody. */
    uint32_t sent;          /**< Tokens written to the stream. */
} sequence_t;

typedef struct {
    const standin_options_t *options;
    pthread_mutex_t lock;
    pthread_cond_t work;
    char *model;
    uint64_t fence;
    bool leaving;
    GPtrArray *waiting; /**< Of sequence_t. */
    GPtrArray *running; /**< Of sequence_t. */
    GHashTable *by_id;  /**< Every known sequence. */
    GQueue *finished;   /**< Ids, oldest first. */
    block_cache_t *cache;
    uint64_t arrivals;
    json_t *load; /**< The report that is shown. */
    int64_t load_at_ms;
} engine_t;

static void sequence_free(gpointer data) {
    sequence_t *sequence = data;
    g_free(sequence->id);
    g_free(sequence->program);
    g_free(sequence->prompt);
    g_string_free(sequence->output, TRUE);
    g_free(sequence);
}

/* --- Streams ------------------------------------------------------------------------------ */

static void write_event(sequence_t *sequence, json_t *event) {
    char *text = json_to_text(event);
    char *line = g_strdup_printf("data: %s\n\n", text);
    if (!http_stream_write(sequence->stream, line, strlen(line))) {
        http_stream_finish(sequence->stream);
        sequence->stream = NULL;
    }
    g_free(line);
    g_free(text);
    json_decref(event);
}

static void write_tokens(sequence_t *sequence) {
    const size_t width = WORD_LETTERS + 1;
    while (sequence->stream != NULL && sequence->sent < sequence->produced) {
        char word[WORD_LETTERS + 2] = {0};
        memcpy(word, sequence->output->str + sequence->sent * width, width);
        sequence->sent++;
        write_event(sequence, json_pack("{s:[{s:{s:s}}]}", "choices", "delta", "content", word));
    }
}

static void write_end(sequence_t *sequence) {
    if (sequence->stream == NULL)
        return;
    write_event(sequence,
                json_pack("{s:[{s:{}, s:s}], s:{s:i, s:i, s:i}}", "choices", "delta",
                          "finish_reason", "stop", "usage", "prompt_tokens",
                          (int)sequence->prompt_tokens, "completion_tokens",
                          (int)sequence->produced, "cached_tokens", (int)sequence->cached_tokens));
    if (sequence->stream == NULL)
        return;
    http_stream_write(sequence->stream, "data: [DONE]\n\n", strlen("data: [DONE]\n\n"));
    http_stream_finish(sequence->stream);
    sequence->stream = NULL;
}

static void attach_stream(sequence_t *sequence, http_request_t *request, uint32_t from) {
    if (sequence->stream != NULL)
        http_stream_finish(sequence->stream);
    sequence->stream = request;
    sequence->sent = MIN(from, sequence->produced);
    http_stream_start(request, "text/event-stream");
    write_tokens(sequence);
    if (sequence->finished)
        write_end(sequence);
}

/* --- The batch ---------------------------------------------------------------------------- */

static void append_word(sequence_t *sequence) {
    uint64_t hash = XXH3_64bits_withSeed(sequence->id, strlen(sequence->id), sequence->produced);
    for (int i = 0; i < WORD_LETTERS; i++) {
        g_string_append_c(sequence->output, (char)('a' + hash % LETTERS));
        hash /= LETTERS;
    }
    g_string_append_c(sequence->output, ' ');
    sequence->produced++;
}

static void store_blocks(engine_t *engine, const sequence_t *sequence) {
    GString *text = g_string_new(sequence->prompt);
    prefix_t *prefix = g_new(prefix_t, 1);
    if (sequence->finished)
        chat_append(text, "assistant", sequence->output->str);
    prefix_compute(prefix, text->str, text->len);
    block_cache_store(engine->cache, sequence->program, prefix);
    g_free(prefix);
    g_string_free(text, TRUE);
}

static void forget_oldest(engine_t *engine) {
    if (engine->finished->length <= FINISHED_KEPT)
        return;
    char *id = g_queue_pop_head(engine->finished);
    g_hash_table_remove(engine->by_id, id);
    g_free(id);
}

static void finish_sequence(engine_t *engine, sequence_t *sequence, bool cancelled) {
    sequence->finished = true;
    if (!cancelled)
        store_blocks(engine, sequence);
    standin_record(json_pack("{s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:b}", "event", "generated",
                             "machine", engine->options->name, "request", sequence->id, "program",
                             sequence->program, "text", sequence->output->str, "prompt_tokens",
                             (int)sequence->prompt_tokens, "cached_tokens",
                             (int)sequence->cached_tokens, "cancelled", cancelled));
    if (!sequence->lose_answer)
        write_end(sequence);
    g_queue_push_tail(engine->finished, g_strdup(sequence->id));
    forget_oldest(engine);
}

static void start_sequence(engine_t *engine, sequence_t *sequence) {
    prefix_t *prefix = g_new(prefix_t, 1);
    prefix_compute(prefix, sequence->prompt, strlen(sequence->prompt));
    uint32_t cached = block_cache_lookup(engine->cache, prefix) * TOKENS_PER_BLOCK;
    g_free(prefix);
    sequence->cached_tokens = MIN(cached, sequence->prompt_tokens);
    sequence->prefill_left = sequence->prompt_tokens - sequence->cached_tokens;
    g_ptr_array_add(engine->running, sequence);
}

static gint compare_urgency(gconstpointer a, gconstpointer b) {
    const sequence_t *left = *(const sequence_t *const *)a;
    const sequence_t *right = *(const sequence_t *const *)b;
    if (left->priority != right->priority)
        return left->priority < right->priority ? -1 : 1;
    return left->arrival < right->arrival ? -1 : 1;
}

static void fill_batch(engine_t *engine) {
    if (engine->waiting->len > 1)
        g_ptr_array_sort(engine->waiting, compare_urgency);
    while (engine->waiting->len > 0 && engine->running->len < engine->options->batch)
        start_sequence(engine, g_ptr_array_steal_index(engine->waiting, 0));
}

/** Gives one sequence its share of the step; true once it has finished. */
static bool step_sequence(engine_t *engine, sequence_t *sequence, uint32_t *prefill_budget) {
    if (sequence->hang)
        return false;
    if (sequence->prefill_left > 0) {
        uint32_t share = MIN(sequence->prefill_left, *prefill_budget);
        sequence->prefill_left -= share;
        *prefill_budget -= share;
        if (sequence->prefill_left == 0)
            store_blocks(engine, sequence);
        return false;
    }
    if (sequence->produced < sequence->output_tokens)
        append_word(sequence);
    if (!sequence->lose_answer)
        write_tokens(sequence);
    return sequence->produced >= sequence->output_tokens;
}

static void step_batch(engine_t *engine) {
    uint32_t prefill_budget = PREFILL_TOKENS_PER_STEP;
    for (guint i = 0; i < engine->running->len;) {
        sequence_t *sequence = g_ptr_array_index(engine->running, i);
        if (!step_sequence(engine, sequence, &prefill_budget)) {
            i++;
            continue;
        }
        g_ptr_array_remove_index(engine->running, i);
        finish_sequence(engine, sequence, false);
    }
}

static void *run_batch(void *argument) {
    engine_t *engine = argument;
    int64_t due_us = g_get_monotonic_time();
    pthread_mutex_lock(&engine->lock);
    for (;;) {
        fill_batch(engine);
        if (engine->running->len == 0) {
            pthread_cond_wait(&engine->work, &engine->lock);
            due_us = g_get_monotonic_time();
            continue;
        }
        double step_us = STEP_BASE_US + (double)STEP_PER_SEQUENCE_US * engine->running->len;
        due_us += (int64_t)(step_us / engine->options->speed_up);
        pthread_mutex_unlock(&engine->lock);
        int64_t wait_us = due_us - g_get_monotonic_time();
        if (wait_us > 0)
            g_usleep((gulong)wait_us);
        pthread_mutex_lock(&engine->lock);
        step_batch(engine);
    }
    return NULL;
}

/* --- Requests ----------------------------------------------------------------------------- */

static const char *text_field(const json_t *body, const char *key) {
    const char *text = json_string_value(json_object_get(body, key));
    return text != NULL ? text : "";
}

static sequence_t *sequence_new(const json_t *body) {
    sequence_t *sequence = g_new0(sequence_t, 1);
    GString *prompt = chat_prompt(json_object_get(body, "messages"));
    sequence->prompt_tokens = (uint32_t)chat_tokens(prompt->len);
    sequence->prompt = g_string_free(prompt, FALSE);
    sequence->id = g_strdup(text_field(body, "request_id"));
    sequence->program = g_strdup(text_field(body, "program"));
    sequence->priority = json_integer_value(json_object_get(body, "priority"));
    sequence->output_tokens =
        (uint32_t)MAX(json_integer_value(json_object_get(body, "max_tokens")), 1);
    sequence->output = g_string_new(NULL);
    return sequence;
}

static json_t *parse_body(const http_request_t *request) {
    size_t length;
    const char *text = g_bytes_get_data(http_request_body(request), &length);
    return json_parse(text != NULL ? text : "", length, NULL);
}

static const char *why_refused(const engine_t *engine, const json_t *body,
                               const sequence_t *sequence) {
    int64_t cap = json_integer_value(json_object_get(body, "cap_tokens"));
    if (strcmp(text_field(body, "model"), engine->model) != 0)
        return "model_not_loaded";
    if (cap > 0 && sequence->prompt_tokens + sequence->output_tokens > cap)
        return "over_cap";
    if (g_hash_table_contains(engine->by_id, sequence->id))
        return "request_id_used";
    return NULL;
}

static void complete(engine_t *engine, http_request_t *request, fault_t fault) {
    json_t *body = parse_body(request);
    sequence_t *sequence = sequence_new(body);
    const char *refusal = why_refused(engine, body, sequence);
    json_decref(body);
    standin_record(json_pack("{s:s, s:s, s:s, s:s, s:b}", "event", "received", "machine",
                             engine->options->name, "request", sequence->id, "program",
                             sequence->program, "refused", refusal != NULL));
    if (refusal != NULL) {
        sequence_free(sequence);
        standin_respond_text(request, 400, refusal);
        return;
    }
    sequence->hang = fault == FAULT_HANG;
    sequence->lose_answer = fault == FAULT_LOSE_ANSWER;
    sequence->arrival = ++engine->arrivals;
    g_hash_table_insert(engine->by_id, sequence->id, sequence);
    g_ptr_array_add(engine->waiting, sequence);
    attach_stream(sequence, request, 0);
    pthread_cond_signal(&engine->work);
}

static bool cancel_in(engine_t *engine, GPtrArray *list, sequence_t *sequence) {
    if (!g_ptr_array_remove(list, sequence))
        return false;
    sequence->lose_answer = false;
    finish_sequence(engine, sequence, true);
    return true;
}

static void on_sequence_request(engine_t *engine, http_request_t *request, const char *path) {
    char **parts = g_strsplit(path, "/", 2);
    sequence_t *sequence = g_hash_table_lookup(engine->by_id, parts[0]);
    bool cancel = g_strcmp0(parts[1], "cancel") == 0;
    g_strfreev(parts);
    if (sequence == NULL) {
        standin_respond_text(request, 404, "no_such_request");
        return;
    }
    if (!cancel) {
        const char *from = http_request_query(request, "from");
        attach_stream(sequence, request, from != NULL ? (uint32_t)strtoul(from, NULL, 10) : 0);
        return;
    }
    bool cancelled = cancel_in(engine, engine->running, sequence) ||
                     cancel_in(engine, engine->waiting, sequence);
    standin_respond(request, 200, json_pack("{s:b}", "cancelled", cancelled));
}

static void release(engine_t *engine, http_request_t *request, const char *program) {
    uint32_t blocks = block_cache_release(engine->cache, program);
    standin_record(json_pack("{s:s, s:s, s:s, s:i}", "event", "released", "machine",
                             engine->options->name, "program", program, "blocks", (int)blocks));
    standin_respond(request, 200, json_pack("{s:i}", "blocks", (int)blocks));
}

static void take_order(engine_t *engine, http_request_t *request) {
    json_t *body = parse_body(request);
    uint64_t fence = (uint64_t)json_integer_value(json_object_get(body, "fence"));
    const char *model = text_field(body, "model");
    bool stale = fence <= engine->fence;
    if (!stale) {
        engine->fence = fence;
        g_free(engine->model);
        engine->model = g_strdup(model);
    }
    json_decref(body);
    standin_respond(request, stale ? 409 : 200,
                    json_pack("{s:I}", "fence", (json_int_t)engine->fence));
}

static void export_blocks(const engine_t *engine, http_request_t *request, const char *program) {
    standin_respond(request, 200,
                    json_pack("{s:s, s:i}", "program", program, "blocks",
                              (int)block_cache_held(engine->cache, program)));
}

static void report_load(engine_t *engine, http_request_t *request) {
    int64_t now_ms = standin_now_ms();
    if (engine->load == NULL || now_ms - engine->load_at_ms >= engine->options->lag_ms) {
        json_decref(engine->load);
        engine->load_at_ms = now_ms;
        engine->load = json_pack("{s:i, s:i, s:b, s:s, s:I}", "running", (int)engine->running->len,
                                 "waiting", (int)engine->waiting->len, "leaving", engine->leaving,
                                 "model", engine->model, "cached_tokens",
                                 (json_int_t)block_cache_size(engine->cache) * TOKENS_PER_BLOCK);
    }
    standin_respond(request, 200, json_deep_copy(engine->load));
}

static void report_events(const engine_t *engine, http_request_t *request) {
    const char *from = http_request_query(request, "from");
    json_t *events = block_cache_events(engine->cache, from != NULL ? strtoull(from, NULL, 10) : 0,
                                        standin_now_ms() - engine->options->lag_ms);
    standin_respond(request, 200, json_pack("{s:o}", "events", events));
}

static bool take_path(const char **path, const char *prefix) {
    if (!g_str_has_prefix(*path, prefix))
        return false;
    *path += strlen(prefix);
    return true;
}

static void route(engine_t *engine, http_request_t *request, fault_t fault) {
    const char *path = http_request_path(request);
    if (strcmp(path, "/v1/chat/completions") == 0)
        complete(engine, request, fault);
    else if (take_path(&path, "/v1/requests/"))
        on_sequence_request(engine, request, path);
    else if (take_path(&path, "/v1/programs/"))
        release(engine, request, path);
    else if (take_path(&path, "/v1/kv/"))
        export_blocks(engine, request, path);
    else if (strcmp(path, "/v1/orders") == 0)
        take_order(engine, request);
    else if (strcmp(path, "/v1/load") == 0)
        report_load(engine, request);
    else if (strcmp(path, "/v1/cache/events") == 0)
        report_events(engine, request);
    else if (strcmp(path, "/standin/held") == 0)
        standin_respond(request, 200, block_cache_holders(engine->cache));
    else if (strcmp(path, "/standin/leave") == 0) {
        engine->leaving = true;
        engine->load_at_ms = 0;
        standin_respond(request, 200, json_object());
    } else
        standin_respond_text(request, 404, "no_such_path");
}

static void on_request(void *context, http_request_t *request) {
    engine_t *engine = context;
    bool completion = strcmp(http_request_path(request), "/v1/chat/completions") == 0;
    fault_t fault = completion ? standin_next_fault() : FAULT_NONE;
    if (fault == FAULT_OUTAGE) {
        standin_respond_text(request, 503, "outage");
        return;
    }
    if (fault == FAULT_FAIL) {
        standin_respond_text(request, 500, "ordered_failure");
        return;
    }
    pthread_mutex_lock(&engine->lock);
    route(engine, request, fault);
    pthread_mutex_unlock(&engine->lock);
}

standin_role_t engine_role_start(const standin_options_t *options) {
    engine_t *engine = g_new0(engine_t, 1);
    engine->options = options;
    engine->model = g_strdup(options->offers);
    pthread_mutex_init(&engine->lock, NULL);
    pthread_cond_init(&engine->work, NULL);
    engine->waiting = g_ptr_array_new();
    engine->running = g_ptr_array_new();
    engine->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, sequence_free);
    engine->finished = g_queue_new();
    engine->cache = block_cache_new((uint64_t)options->cache_tokens / TOKENS_PER_BLOCK);
    pthread_t thread;
    pthread_create(&thread, NULL, run_batch, engine);
    pthread_detach(thread);
    return (standin_role_t){.handler = on_request, .context = engine};
}
