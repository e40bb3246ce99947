/**
 * @file copy_claims.h
 * Which of several replicas is asked for which record, while a replica copies what it lacks. Each
 * source names what it holds; a record that several hold is asked of one of them, whichever is next
 * to be asked for more, and a source's copy is over once all that it named is here. A record that a
 * source no longer has, or that was asked of one that is lost, is left to the others.
 *
 * The work is a few looks for each record that a source names, whatever the number of records: with
 * a list of what each copy awaits, looked through at each answer, 12,000 records took 200 looks
 * each, and 18,000 took 12 s of a third of a core.
 *
 * Decision code: no I/O, clock or thread.
 */
#ifndef RUDDERWAY_CORE_QUORUM_COPY_CLAIMS_H
#define RUDDERWAY_CORE_QUORUM_COPY_CLAIMS_H

#include <glib.h>
#include <stdint.h>

/** Sources at most. */
enum { COPY_SOURCES_MAXIMUM = 64 };

typedef struct copy_claims copy_claims_t;

/** @p sources: how many there are; they are told apart by numbers from 0 on. */
copy_claims_t *copy_claims_new(unsigned sources);
void copy_claims_free(copy_claims_t *claims);

/** The source holds the record, which is not here. */
void copy_claims_add(copy_claims_t *claims, unsigned source, const char *id);
/** The next record to ask of the source, that nobody is asked for; NULL: none. Lives as @p claims.
 */
const char *copy_claims_take(copy_claims_t *claims, unsigned source);
/** The record is here. */
void copy_claims_arrived(copy_claims_t *claims, const char *id);
/** The source was asked for the record and does not have it any more. */
void copy_claims_lacks(copy_claims_t *claims, unsigned source, const char *id);
/** What the source has named counts no more, and what it was asked for may be asked of others. */
void copy_claims_reset(copy_claims_t *claims, unsigned source);
/** How many of the records that the source has named are not here yet. */
unsigned copy_claims_left(const copy_claims_t *claims, unsigned source);
/** Looks at records so far. */
uint64_t copy_claims_looks(const copy_claims_t *claims);

#endif
