/**
 * @file program_ledger.h
 * Tracks the active programs of a tenant with a limit at one member of the store group, forecasts
 * their remaining calls and decides whether to admit another program.
 *
 * Active programs take precedence. A new program is admitted if the member's part of the limit
 * covers the forecast calls of the active programs and of the new one. The forecast uses the
 * distribution of calls of programs of the same kind (call_counts.h). An idle program releases its
 * part. A program with many times the typical number of calls is evaluated as a new one at each
 * call. A program that was refused until its deadline passed is not admitted: its caller would
 * give up before it could end, and its calls would be wasted.
 *
 * Decision code: no I/O, clock or threads; an object belongs to one thread. Times are ms of the
 * caller's steady clock. The state is in memory only: after its loss, a call that reports its
 * program as begun is accepted as one of an active program.
 */
#ifndef RUDDERWAY_CORE_ADMISSION_PROGRAM_LEDGER_H
#define RUDDERWAY_CORE_ADMISSION_PROGRAM_LEDGER_H

#include <stdbool.h>
#include <stdint.h>

typedef struct program_ledger program_ledger_t;

/** One call of a program. */
typedef struct {
    uint64_t program; /**< Hash of the program id. */
    uint64_t kind;    /**< Hash of the route of the program; 0: unknown. */
    bool begun;       /**< The program has received a response before, according to the caller. */
    bool late;        /**< The program's deadline has passed. */
} program_call_t;

/** Capacity of a member's part of the limit. */
typedef struct {
    double tokens;        /**< Available; negative: in debt. */
    double tokens_per_ms; /**< Refill rate. */
    double max_tokens;    /**< Bucket size. */
} program_share_t;

typedef struct {
    bool admitted;          /**< True also for an active program. */
    bool begun;             /**< The program was active before. */
    bool readmitted;        /**< Admitted after an earlier refusal. */
    uint32_t wait_ms;       /**< Refused: time until a program of its kind may be admitted. */
    double remaining_calls; /**< Forecast calls of the active programs. */
    double expected_calls;  /**< Forecast calls of the new program; 0: not evaluated. */
    unsigned active_programs;
} program_admission_t;

program_ledger_t *program_ledger_new(void);
void program_ledger_free(program_ledger_t *ledger);
/**
 * Decides whether a call may request a token, and records it if so. With @p may_add false an
 * unknown program is not tracked.
 */
program_admission_t program_ledger_admit(program_ledger_t *ledger, const program_call_t *call,
                                         const program_share_t *share, bool may_add, uint64_t now);
/** Forecast remaining calls of the active programs. */
double program_ledger_remaining_calls(program_ledger_t *ledger, uint64_t now);
/** Tracked programs, active or not. */
unsigned program_ledger_size(const program_ledger_t *ledger);

#endif
