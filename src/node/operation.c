#include "node/operation.h"

operation_t *operation_new(operation_kind_t kind, const char *tenant, const char *program) {
    operation_t *operation = g_new0(operation_t, 1);
    operation->kind = kind;
    operation->tenant = g_strdup(tenant);
    operation->program = g_strdup(program);
    return operation;
}

operation_t *operation_copy(const operation_t *operation) {
    operation_t *copy = g_new0(operation_t, 1);
    *copy = *operation;
    copy->program = g_strdup(operation->program);
    copy->tenant = g_strdup(operation->tenant);
    copy->service = g_strdup(operation->service);
    program_start_copy(&copy->start, &operation->start);
    if (operation->body != NULL)
        copy->body = g_bytes_ref(operation->body);
    return copy;
}

void operation_free(operation_t *operation) {
    g_free(operation->program);
    g_free(operation->tenant);
    g_free(operation->service);
    program_start_clear(&operation->start);
    g_clear_pointer(&operation->body, g_bytes_unref);
    g_free(operation);
}

void operation_codec(codec_t *codec, operation_t *operation) {
    unsigned kind = operation->kind;
    unsigned call_kind = operation->call_kind;
    codec_enum(codec, &kind, OPERATION_KINDS);
    codec_uint64(codec, &operation->request);
    codec_uint64(codec, &operation->entry);
    codec_text(codec, &operation->program);
    codec_text(codec, &operation->tenant);
    program_start_codec(codec, &operation->start);
    codec_uint32(codec, &operation->call);
    codec_enum(codec, &call_kind, CALL_KINDS);
    codec_bool(codec, &operation->repeatable);
    codec_bool(codec, &operation->stream);
    codec_uint32(codec, &operation->from_attempt);
    codec_uint64(codec, &operation->from_offset);
    codec_uint32(codec, &operation->output_tokens);
    codec_text(codec, &operation->service);
    codec_bytes(codec, &operation->body);
    codec_int64(codec, &operation->remaining_ms);
    operation->kind = (operation_kind_t)kind;
    operation->call_kind = (call_kind_t)call_kind;
}

answer_t *answer_new(uint64_t request, error_code_t error) {
    answer_t *answer = g_new0(answer_t, 1);
    answer->request = request;
    answer->error = error;
    return answer;
}

answer_t *answer_copy(const answer_t *answer) {
    answer_t *copy = g_new0(answer_t, 1);
    *copy = *answer;
    if (answer->body != NULL)
        copy->body = g_bytes_ref(answer->body);
    return copy;
}

void answer_free(answer_t *answer) {
    g_clear_pointer(&answer->body, g_bytes_unref);
    g_free(answer);
}

void answer_codec(codec_t *codec, answer_t *answer) {
    codec_uint64(codec, &answer->request);
    codec_uint64(codec, &answer->from);
    codec_enum(codec, &answer->error, RUDDERWAY_ERROR_COUNT);
    codec_uint32(codec, &answer->attempt);
    codec_int64(codec, &answer->retry_after_ms);
    codec_uint64(codec, &answer->leader);
    codec_bytes(codec, &answer->body);
}

chunk_t *chunk_new(uint64_t request, uint32_t attempt, uint64_t offset, const char *data,
                   size_t length) {
    chunk_t *chunk = g_new0(chunk_t, 1);
    chunk->request = request;
    chunk->attempt = attempt;
    chunk->offset = offset;
    chunk->data = g_bytes_new(data, length);
    return chunk;
}

void chunk_free(chunk_t *chunk) {
    g_clear_pointer(&chunk->data, g_bytes_unref);
    g_free(chunk);
}

void chunk_codec(codec_t *codec, chunk_t *chunk) {
    codec_uint64(codec, &chunk->request);
    codec_uint32(codec, &chunk->attempt);
    codec_uint64(codec, &chunk->offset);
    codec_bytes(codec, &chunk->data);
}
