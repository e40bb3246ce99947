/**
 * @file admission_table.h
 * The program ledgers of a member: one for each tenant with a limit whose programs have their home
 * here. If a tenant has fewer homes than members with shares, calls of its programs also get tokens
 * from members that are not homes. The home's own bucket then shows only a part of the capacity, so
 * it estimates the tokens available to its programs from the calls that it has admitted.
 *
 * Decision code: no I/O, clock or threads. Times are ms of the caller's steady clock.
 */
#ifndef RUDDERWAY_CORE_ADMISSION_ADMISSION_TABLE_H
#define RUDDERWAY_CORE_ADMISSION_ADMISSION_TABLE_H

#include "core/admission/program_ledger.h"
#include "core/quota/quota_table.h"

#include <glib.h>

typedef struct {
    GHashTable *tenants; /**< Tenant name to its entry. */
    unsigned programs;   /**< Tracked, of all tenants. */
    uint64_t admitted;   /**< New programs. */
    uint64_t readmitted; /**< Admitted after an earlier refusal. */
    uint64_t refused;    /**< Refused first calls of programs. */
} admission_table_t;

void admission_table_init(admission_table_t *table);
void admission_table_clear(admission_table_t *table);
/**
 * Decides whether a call of @p tenant may request a token; @p members as in quota_table_take. @p
 * share receives the capacity that the decision is based on.
 */
program_admission_t admission_table_admit(admission_table_t *table, quota_table_t *quotas,
                                          const char *tenant, const quota_limit_t *limit,
                                          unsigned members, const program_call_t *call,
                                          uint64_t now, program_share_t *share);
/**
 * Discards all state. Required if this node may have been out of the group for some time, because
 * another member may have replaced it.
 */
void admission_table_restart(admission_table_t *table);
/** Removes tenants without a call since @p before. */
void admission_table_expire(admission_table_t *table, uint64_t before);

#endif
