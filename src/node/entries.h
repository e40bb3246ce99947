/**
 * @file entries.h
 * The entry's side of operations: requests of callers that this node has taken over HTTP.
 *
 * An operation is sent to the node that leads the program's partition and sent again whenever
 * that changes or an answer is overdue; owners recognise copies by the request number, and
 * every operation means the same when repeated. A refusal that says "not run" is passed on only
 * if no other copy can still be executed: while another copy is unaccounted for at a live
 * node, it becomes an unknown outcome.
 *
 * Streams: pieces of an answer arrive with attempt and offset; a piece that does not continue
 * what the caller has is dropped, and the final answer fills the gap. If another attempt takes
 * over, the caller is told to start again ("restart" event).
 *
 * Thread safety: entries_submit may be called from any thread, the rest from the decision
 * thread.
 */
#ifndef RUDDERWAY_NODE_ENTRIES_H
#define RUDDERWAY_NODE_ENTRIES_H

#include "common/http_server.h"
#include "node/node.h"
#include "node/operation.h"

entries_t *entries_new(void);
void entries_free(entries_t *entries);
/** Takes over @p request, to be answered with the outcome of @p operation, now its own. */
void entries_submit(node_t *node, http_request_t *request, operation_t *operation);
void entries_tick(node_t *node);
void entries_answer(node_t *node, const answer_t *answer);
void entries_chunk(node_t *node, const chunk_t *chunk);
unsigned entries_count(const node_t *node);
/** Answers what is left with an error; returns how many requests. */
unsigned entries_end(node_t *node);

/** Answers with the JSON form of @p code; the detail may be NULL. Any thread. */
void respond_error(http_request_t *request, error_code_t code, const char *detail,
                   int64_t retry_after_ms);
/** Answers with @p error and frees it. Any thread. */
void respond_gerror(http_request_t *request, GError *error);
/** Answers with JSON and takes ownership of @p body. Any thread. */
void respond_json(http_request_t *request, unsigned status, json_t *body);

#endif
