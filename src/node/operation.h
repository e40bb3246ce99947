/**
 * @file operation.h
 * What a caller asked for, as it travels from the node that took the HTTP request (the entry)
 * to the node that leads the program's partition (the owner), and what travels back.
 */
#ifndef RUDDERWAY_NODE_OPERATION_H
#define RUDDERWAY_NODE_OPERATION_H

#include "core/program/program.h"

typedef enum {
    OPERATION_START,
    OPERATION_CALL,
    OPERATION_FETCH,
    OPERATION_HISTORY,
    OPERATION_END,
    OPERATION_KINDS
} operation_kind_t;

typedef struct {
    operation_kind_t kind;
    uint64_t request; /**< Unique at the entry; repeated copies carry the same. */
    instance_id_t entry;
    char *program; /**< Full program id. */
    char *tenant;
    program_start_t start; /**< START, and CALL of a sub-agent. */
    uint32_t call;
    call_kind_t call_kind;
    bool repeatable;
    bool stream;           /**< The entry wants pieces of the answer as they come. */
    uint32_t from_attempt; /**< Pieces that the caller has already: of this attempt ... */
    uint64_t from_offset;  /**< ... up to this byte. */
    uint32_t output_tokens;
    char *service;        /**< Tool call: the service. */
    GBytes *body;         /**< Model call: JSON array of messages; tool call: JSON body. */
    int64_t remaining_ms; /**< Until the caller gives up. */
} operation_t;

/** The final answer to an operation. */
typedef struct {
    uint64_t request;
    instance_id_t from;     /**< Who answers. */
    uint32_t error;         /**< error_code_t; NONE on success. */
    uint32_t attempt;       /**< Of the call that the body answers. */
    int64_t retry_after_ms; /**< Hint with a refusal; 0: none. */
    instance_id_t leader;   /**< With NOT_LEADER: who leads, if known. */
    GBytes *body;           /**< JSON. */
} answer_t;

/** A piece of a streamed answer. */
typedef struct {
    uint64_t request;
    uint32_t attempt;
    uint64_t offset; /**< Of the first byte, in the text of this attempt. */
    GBytes *data;
} chunk_t;

operation_t *operation_new(operation_kind_t kind, const char *tenant, const char *program);
operation_t *operation_copy(const operation_t *operation);
void operation_free(operation_t *operation);
void operation_codec(codec_t *codec, operation_t *operation);

answer_t *answer_new(uint64_t request, error_code_t error);
answer_t *answer_copy(const answer_t *answer);
void answer_free(answer_t *answer);
void answer_codec(codec_t *codec, answer_t *answer);

chunk_t *chunk_new(uint64_t request, uint32_t attempt, uint64_t offset, const char *data,
                   size_t length);
void chunk_free(chunk_t *chunk);
void chunk_codec(codec_t *codec, chunk_t *chunk);

#endif
