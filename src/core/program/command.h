/**
 * @file command.h
 * The commands in a partition's log, which drive the program store (program.h).
 */
#ifndef RUDDERWAY_CORE_PROGRAM_COMMAND_H
#define RUDDERWAY_CORE_PROGRAM_COMMAND_H

#include "common/error.h"
#include "core/replication/raft.h"

typedef enum {
    COMMAND_START,    /**< A program begins. */
    COMMAND_INTENT,   /**< An attempt of a call is about to run; logged before any byte leaves. */
    COMMAND_RESULT,   /**< An attempt of a call has its outcome. */
    COMMAND_END,      /**< A program and its sub-agents end. */
    COMMAND_HELD,     /**< A back end holds something for the program again. */
    COMMAND_RELEASED, /**< A back end holds nothing for the program any more. */
    COMMAND_FORGET,   /**< An ended program leaves the store. */
    COMMAND_KINDS
} command_kind_t;

typedef enum { CALL_MODEL, CALL_TOOL, CALL_SUBAGENT, CALL_KINDS } call_kind_t;

typedef enum {
    CALL_RUNNING, /**< An intent is logged and no result yet. */
    CALL_OK,
    CALL_NOT_RUN, /**< The last attempt provably did not run; the number may be issued again. */
    CALL_UNKNOWN,
    CALL_FAILED,
    CALL_STATES
} call_state_t;

typedef enum {
    END_BY_CALLER,
    END_BY_PARENT,
    END_WALL_LIMIT,
    END_IDLE_LIMIT,
    END_TURN_LIMIT,
    END_LOOP,
    END_REASONS
} end_reason_t;

/** What a template allows its programs. */
typedef struct {
    uint32_t turns;         /**< Calls. */
    uint64_t budget;        /**< Tokens, prompts and outputs together. */
    int64_t wall_ms;        /**< From start to end. */
    int64_t idle_ms;        /**< Between two calls. */
    uint32_t output_tokens; /**< Of one model call. */
    uint32_t loop_repeats;  /**< Same call in a row that counts as a loop. */
} program_limits_t;

/** What a start and a sub-agent call share. */
typedef struct {
    char *tenant;
    char *template_name;
    char *parameters; /**< JSON object. */
    char *prompt;     /**< System prompt with the parameters filled in. */
    char *model;
    bool batch; /**< Yields to programs of customers who wait. */
    program_limits_t limits;
} program_start_t;

typedef struct {
    command_kind_t kind;
    char *program;
    int64_t time_ms;       /**< The leader's clock, Unix time in milliseconds. */
    program_start_t start; /**< START, and INTENT of a sub-agent. */
    uint32_t call;
    uint32_t attempt; /**< From 1. */
    call_kind_t call_kind;
    bool repeatable;
    bool previous_not_run;  /**< INTENT after the first: the one before provably did not run. */
    uint32_t output_tokens; /**< INTENT of a model call: most to generate. */
    uint64_t reserve;       /**< INTENT: tokens this attempt may cost at most. */
    uint64_t digest;        /**< INTENT: hash of the request. */
    char *backend;          /**< INTENT, RESULT, HELD and RELEASED. */
    instance_id_t runner;   /**< INTENT: the only node that may run this attempt. */
    int64_t deadline_ms;    /**< INTENT: Unix time when the call has failed for its caller. */
    GBytes *body;           /**< INTENT: the request; RESULT: the answer. */
    call_state_t state;     /**< RESULT. */
    uint32_t error;         /**< RESULT: error_code_t unless the state is CALL_OK. */
    uint64_t spent;         /**< RESULT: tokens used; the rest of the reserve is freed. */
    bool spent_known;       /**< RESULT: false keeps the whole reserve. */
    end_reason_t reason;    /**< END. */
} command_t;

command_t *command_new(command_kind_t kind, const char *program, int64_t time_ms);
void command_free(command_t *command);
GBytes *command_encode(command_t *command);
/** NULL if @p bytes is malformed. */
command_t *command_decode(GBytes *bytes);

void program_start_codec(codec_t *codec, program_start_t *start);
void program_start_clear(program_start_t *start);
void program_start_copy(program_start_t *to, const program_start_t *from);

const char *call_kind_name(call_kind_t kind);
const char *call_state_name(call_state_t state);
const char *end_reason_name(end_reason_t reason);

#endif
