/**
 * @file program.h
 * The programs of one partition: the state machine behind the partition's log.
 *
 * Every replica applies the same commands in the same order and so holds the same state. A
 * command may have become invalid by the time it is applied (two nodes proposed the same
 * call, the program ended meanwhile); it then changes nothing and the listener hears why.
 * That check at apply time, not the check before proposing, keeps the promises:
 *
 *  - order: an intent of call N is accepted only when every call before N is settled;
 *  - budget: an intent reserves its worst case; spent + reserved never exceeds the budget;
 *  - at most once: an unrepeatable call has one intent, unless its only attempt is known not
 *    to have run; only the runner named in the intent may send it;
 *  - release: a back end that may hold cache for a program is listed until it is released,
 *    also after the program has ended.
 *
 * This is decision code: no I/O, clock or thread; times come with the commands.
 */
#ifndef RUDDERWAY_CORE_PROGRAM_PROGRAM_H
#define RUDDERWAY_CORE_PROGRAM_PROGRAM_H

#include "core/program/command.h"

enum { PROGRAM_TENANT_SEPARATOR = ':' };

typedef struct {
    uint32_t number; /**< From 1. */
    call_kind_t kind;
    bool repeatable;
    call_state_t state;
    bool may_have_run; /**< The outcome of an earlier attempt was not known. */
    uint32_t attempt;
    instance_id_t runner;
    char *backend;
    uint64_t reserve;
    uint64_t digest;
    uint32_t output_tokens; /**< Model call: most to generate. */
    int64_t started_ms;
    int64_t deadline_ms;
    GBytes *request;
    GBytes *answer;
    uint32_t error; /**< error_code_t when the state is neither RUNNING nor OK. */
} call_t;

typedef struct {
    char *id; /**< "tenant:client-id", with "~N" for the sub-agent started by call N. */
    program_start_t start;
    int64_t started_ms;
    int64_t active_ms; /**< Time of the last start, intent or result. */
    uint64_t spent;
    uint64_t reserved;
    uint32_t repeats;   /**< Times the last request was repeated in a row. */
    GPtrArray *calls;   /**< Of call_t, ordered by number. */
    GPtrArray *holders; /**< Names of back ends that may hold cache. */
    bool ended;
    end_reason_t end_reason;
    int64_t ended_ms;
    uint64_t bytes; /**< Approximate memory. */
} program_t;

typedef struct program_store program_store_t;

/**
 * Hears every applied command, which it owns from then on; @p error is RUDDERWAY_ERROR_NONE if
 * the command took effect. It is called while the log advances, so it must not propose.
 */
typedef void (*program_listener_t)(void *context, uint64_t index, uint64_t term, command_t *command,
                                   error_code_t error);

program_store_t *program_store_new(program_listener_t listener, void *context);
void program_store_free(program_store_t *store);
/** The raft_state_machine_t of @p store. */
raft_state_machine_t program_store_machine(program_store_t *store);

const program_t *program_store_find(const program_store_t *store, const char *id);
/** Programs by id; values are program_t. */
GHashTable *program_store_all(const program_store_t *store);
uint64_t program_store_bytes(const program_store_t *store);

/** The call @p number, or NULL. */
const call_t *program_call(const program_t *program, uint32_t number);
/** The call that is RUNNING, or NULL. */
const call_t *program_running_call(const program_t *program);
/** The part of a program id that its tenant sees. */
const char *program_client_id(const char *id);
/** Tokens not yet spent or reserved. */
uint64_t program_budget_left(const program_t *program);

/** Why @p command would be refused now; RUDDERWAY_ERROR_NONE if it would take effect. */
error_code_t program_store_check(const program_store_t *store, const command_t *command);

#endif
