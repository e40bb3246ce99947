/**
 * @file program_home.h
 * Selects the home of a program: the member of the store group that tracks the program of a tenant
 * with a limit. The homes of a tenant are the first reachable members by the tenant's ranking, as
 * many as the limit needs; rendezvous hashing selects one of them for each program.
 *
 * Decision code: no I/O, clock or threads.
 */
#ifndef RUDDERWAY_CORE_ADMISSION_PROGRAM_HOME_H
#define RUDDERWAY_CORE_ADMISSION_PROGRAM_HOME_H

#include "core/quota/quota_choice.h"
#include "core/quota/quota_split.h"

/** Number of homes of a tenant whose limit is split among @p shares members. */
unsigned program_home_count(const quota_limit_t *limit, unsigned shares);
/**
 * Index of the home of @p program (a hash) among @p count members; @p count if none is reachable.
 */
unsigned program_home_choose(const quota_member_t *members, unsigned count, unsigned homes,
                             uint64_t program);

#endif
