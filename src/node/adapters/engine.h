/**
 * @file engine.h
 * The protocol of model engines: chat completions over HTTP with server-sent events, resuming
 * and cancelling streams, releasing a program's cache, load reports, cache events, export and
 * import of cache, and fenced orders. Nothing else knows this protocol.
 *
 * Thread safety: any thread; every call blocks up to its timeout.
 */
#ifndef RUDDERWAY_NODE_ADAPTERS_ENGINE_H
#define RUDDERWAY_NODE_ADAPTERS_ENGINE_H

#include "common/http_client.h"
#include "core/routing/backend.h"

#include <jansson.h>

typedef struct {
    const char *address; /**< IP number. */
    uint32_t port;
} engine_address_t;

/** Hears each piece of generated text; false gives the call up. */
typedef bool (*engine_text_t)(void *context, const char *text, size_t length);

typedef struct {
    const char *request_id; /**< Unique for each attempt. */
    const char *program;
    const char *model;
    const char *messages; /**< JSON array. */
    uint32_t max_tokens;
    uint64_t cap_tokens; /**< Prompt and output together. */
    int32_t priority;    /**< Lower goes first. */
    int64_t timeout_ms;
    engine_text_t on_text;
    void *context;
} engine_completion_t;

typedef struct {
    uint64_t prompt_tokens;
    uint64_t cached_tokens;
    uint64_t output_tokens;
} engine_usage_t;

/**
 * Runs one completion to its end. A broken stream is resumed, not run again. Errors: NO_BACKEND
 * if the engine refused, CANNOT_CONNECT, TIMED_OUT, CONNECTION_LOST, BACKEND_FAILED,
 * BACKEND_PROTOCOL.
 */
bool engine_complete(http_client_t *client, engine_address_t engine,
                     const engine_completion_t *completion, engine_usage_t *usage, GError **error);
bool engine_cancel(http_client_t *client, engine_address_t engine, const char *request_id,
                   GError **error);
/** Drops what the engine caches for @p program alone. */
bool engine_release(http_client_t *client, engine_address_t engine, const char *program,
                    GError **error);
bool engine_load(http_client_t *client, engine_address_t engine, load_report_t *report,
                 GError **error);
/** Cache events after @p from as a JSON array; the caller decrefs. */
json_t *engine_cache_events(http_client_t *client, engine_address_t engine, uint64_t from,
                            GError **error);
/** Exports a program's cache as an opaque document, and imports one. */
bool engine_export(http_client_t *client, engine_address_t engine, const char *program,
                   GBytes **document, GError **error);
bool engine_import(http_client_t *client, engine_address_t engine, const char *program,
                   GBytes *document, GError **error);
/** Orders the engine to serve @p model; refused by the engine if @p fence is not the highest. */
bool engine_order(http_client_t *client, engine_address_t engine, uint64_t fence, const char *model,
                  GError **error);

#endif
