/**
 * @file admission_table.h
 * A member's ledgers: one for each tenant with a limit whose programs have their home here. Where a
 * tenant has fewer homes than members hold shares, its homes' calls are paid by other members too:
 * then a count of the calls made stands for the tokens that all of them hold.
 *
 * Decision code: no I/O, clock or thread. Times are milliseconds of the caller's steady clock.
 */
#ifndef RUDDERWAY_CORE_ADMISSION_ADMISSION_TABLE_H
#define RUDDERWAY_CORE_ADMISSION_ADMISSION_TABLE_H

#include "core/admission/program_ledger.h"
#include "core/quota/quota_table.h"

#include <glib.h>

typedef struct {
    GHashTable *tenants; /**< Name to its ledger. */
    unsigned programs;   /**< Remembered, of all tenants. */
    uint64_t admitted;   /**< Programs. */
    uint64_t readmitted; /**< Of these, refused before. */
    uint64_t refused;    /**< First calls of programs. */
} admission_table_t;

void admission_table_init(admission_table_t *table);
void admission_table_clear(admission_table_t *table);
/**
 * Whether a call of @p tenant may ask for a token; @p members as in quota_table_take. @p share gets
 * what the decision counted on.
 */
program_admission_t admission_table_admit(admission_table_t *table, quota_table_t *quotas,
                                          const char *tenant, const quota_limit_t *limit,
                                          unsigned members, const program_call_t *call,
                                          uint64_t now, program_share_t *share);
/** Forgets all: what it knew has been another's meanwhile. */
void admission_table_restart(admission_table_t *table);
/** Forgets tenants of which nothing was heard since @p before. */
void admission_table_expire(admission_table_t *table, uint64_t before);

#endif
