#include "core/program/command.h"

command_t *command_new(command_kind_t kind, const char *program, int64_t time_ms) {
    command_t *command = g_new0(command_t, 1);
    command->kind = kind;
    command->program = g_strdup(program);
    command->time_ms = time_ms;
    return command;
}

void program_start_clear(program_start_t *start) {
    g_free(start->tenant);
    g_free(start->template_name);
    g_free(start->parameters);
    g_free(start->prompt);
    g_free(start->model);
    *start = (program_start_t){0};
}

void program_start_copy(program_start_t *to, const program_start_t *from) {
    *to = *from;
    to->tenant = g_strdup(from->tenant);
    to->template_name = g_strdup(from->template_name);
    to->parameters = g_strdup(from->parameters);
    to->prompt = g_strdup(from->prompt);
    to->model = g_strdup(from->model);
}

void command_free(command_t *command) {
    g_free(command->program);
    g_free(command->backend);
    program_start_clear(&command->start);
    g_clear_pointer(&command->body, g_bytes_unref);
    g_free(command);
}

static void limits_codec(codec_t *codec, program_limits_t *limits) {
    codec_uint32(codec, &limits->turns);
    codec_uint64(codec, &limits->budget);
    codec_int64(codec, &limits->wall_ms);
    codec_int64(codec, &limits->idle_ms);
    codec_uint32(codec, &limits->output_tokens);
    codec_uint32(codec, &limits->loop_repeats);
}

void program_start_codec(codec_t *codec, program_start_t *start) {
    codec_text(codec, &start->tenant);
    codec_text(codec, &start->template_name);
    codec_text(codec, &start->parameters);
    codec_text(codec, &start->prompt);
    codec_text(codec, &start->model);
    codec_bool(codec, &start->batch);
    limits_codec(codec, &start->limits);
}

static void intent_codec(codec_t *codec, command_t *command) {
    unsigned kind = command->call_kind;
    codec_enum(codec, &kind, CALL_KINDS);
    command->call_kind = (call_kind_t)kind;
    codec_bool(codec, &command->repeatable);
    codec_bool(codec, &command->previous_not_run);
    codec_uint32(codec, &command->output_tokens);
    codec_uint64(codec, &command->reserve);
    codec_uint64(codec, &command->digest);
    codec_text(codec, &command->backend);
    codec_uint64(codec, &command->runner);
    codec_int64(codec, &command->deadline_ms);
    codec_bytes(codec, &command->body);
    if (command->call_kind == CALL_SUBAGENT)
        program_start_codec(codec, &command->start);
}

static void result_codec(codec_t *codec, command_t *command) {
    unsigned state = command->state;
    codec_enum(codec, &state, CALL_STATES);
    command->state = (call_state_t)state;
    codec_enum(codec, &command->error, RUDDERWAY_ERROR_COUNT);
    unsigned kind = command->call_kind;
    codec_enum(codec, &kind, CALL_KINDS);
    command->call_kind = (call_kind_t)kind;
    codec_text(codec, &command->backend);
    codec_uint64(codec, &command->spent);
    codec_bool(codec, &command->spent_known);
    codec_bytes(codec, &command->body);
}

static void command_codec(codec_t *codec, command_t *command) {
    unsigned kind = command->kind;
    unsigned reason = command->reason;
    codec_enum(codec, &kind, COMMAND_KINDS);
    command->kind = (command_kind_t)kind;
    codec_text(codec, &command->program);
    codec_int64(codec, &command->time_ms);
    codec_uint32(codec, &command->call);
    codec_uint32(codec, &command->attempt);
    switch (command->kind) {
    case COMMAND_START:
        program_start_codec(codec, &command->start);
        break;
    case COMMAND_INTENT:
        intent_codec(codec, command);
        break;
    case COMMAND_RESULT:
        result_codec(codec, command);
        break;
    case COMMAND_END:
        codec_enum(codec, &reason, END_REASONS);
        command->reason = (end_reason_t)reason;
        break;
    case COMMAND_HELD:
    case COMMAND_RELEASED:
        codec_text(codec, &command->backend);
        break;
    case COMMAND_FORGET:
    case COMMAND_KINDS:
        break;
    }
}

GBytes *command_encode(command_t *command) {
    codec_t codec;
    codec_start_encoding(&codec);
    command_codec(&codec, command);
    return codec_finish(&codec);
}

command_t *command_decode(GBytes *bytes) {
    codec_t codec;
    size_t length;
    const void *data = g_bytes_get_data(bytes, &length);
    codec_start_decoding(&codec, data, length);
    command_t *command = g_new0(command_t, 1);
    command_codec(&codec, command);
    if (!codec_complete(&codec))
        g_clear_pointer(&command, command_free);
    return command;
}

const char *call_kind_name(call_kind_t kind) {
    static const char *const names[] = {"model", "tool", "subagent"};
    return names[kind];
}

const char *call_state_name(call_state_t state) {
    static const char *const names[] = {"running", "ok", "not_run", "unknown", "failed"};
    return names[state];
}

const char *end_reason_name(end_reason_t reason) {
    static const char *const names[] = {"caller",     "parent",     "wall_limit",
                                        "idle_limit", "turn_limit", "loop"};
    return names[reason];
}
