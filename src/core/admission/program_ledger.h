/**
 * @file program_ledger.h
 * Which programs of a tenant with a limit are under way at one member of the store group, what they
 * will still ask for, and whether one more can be carried through.
 *
 * A limit is spent on programs that have begun first. A new program is admitted if the member's
 * part of the limit covers, over the time that programs take, what those under way will still ask
 * for and what the new one will. What a program will still ask for is estimated from the programs
 * of its kind: the distribution of their calls, not its mean (call_counts.h). A program that falls
 * silent gives its part back. One that makes many times the calls of its kind is asked anew at
 * each: it gets what the others leave. A program that was refused until its time is over
 * doesn't begin: it could hardly end while its caller still waits for it, and what it used up would
 * be lost.
 *
 * Decision code: no I/O, clock or thread; an object belongs to one thread. Times are ms of the
 * caller's steady clock. In memory only: a member that has lost it takes each call that says that
 * its program has begun for one of a program under way.
 */
#ifndef RUDDERWAY_CORE_ADMISSION_PROGRAM_LEDGER_H
#define RUDDERWAY_CORE_ADMISSION_PROGRAM_LEDGER_H

#include <stdbool.h>
#include <stdint.h>

typedef struct program_ledger program_ledger_t;

/** One call of a program. */
typedef struct {
    uint64_t program; /**< Hash of its id. */
    uint64_t kind;    /**< Hash of the route by which the program came; 0: unknown. */
    bool begun;       /**< The program has had an answer before, as the caller of this knows. */
    bool late;        /**< The time by which the program should have ended is over. */
} program_call_t;

/** What a member's part of the limit can give. */
typedef struct {
    double tokens;        /**< Held now; negative: in debt. */
    double tokens_per_ms; /**< Gained. */
    double most;          /**< Held at most. */
} program_share_t;

typedef struct {
    bool admitted;      /**< Or under way already. */
    bool begun;         /**< Under way already. */
    bool readmitted;    /**< It was refused before. */
    uint32_t wait_ms;   /**< Not admitted: there is room for a program of its kind in so long. */
    double owed;        /**< Calls that those under way will still make, */
    double expected;    /**< and the new one. 0: not looked at. */
    unsigned under_way; /**< Programs. */
} program_admission_t;

program_ledger_t *program_ledger_new(void);
void program_ledger_free(program_ledger_t *ledger);
/**
 * Whether a call may ask for a token; notes the call if so. With @p remember false a program that
 * isn't known yet is not remembered.
 */
program_admission_t program_ledger_admit(program_ledger_t *ledger, const program_call_t *call,
                                         const program_share_t *share, bool remember, uint64_t now);
/** Calls that the programs under way will still make, as far as can be told. */
double program_ledger_owed(program_ledger_t *ledger, uint64_t now);
/** Programs remembered, under way or not. */
unsigned program_ledger_size(const program_ledger_t *ledger);

#endif
