/**
 * @file program_home.h
 * Which member of the store group keeps account of a program of a tenant with a limit: its home. A
 * tenant's homes are the first members by the tenant's ranking that can be reached, so many that
 * each sees several programs at once; a hash of the program picks one of them.
 *
 * Decision code: no I/O, clock or thread.
 */
#ifndef RUDDERWAY_CORE_ADMISSION_PROGRAM_HOME_H
#define RUDDERWAY_CORE_ADMISSION_PROGRAM_HOME_H

#include "core/quota/quota_choice.h"
#include "core/quota/quota_split.h"

/** How many homes a tenant has whose limit is split among @p shares members. */
unsigned program_home_count(const quota_limit_t *limit, unsigned shares);
/** Index of the home of @p program (a hash) among @p count members; @p count if there is none. */
unsigned program_home_choose(const quota_member_t *members, unsigned count, unsigned homes,
                             uint64_t program);

#endif
