/**
 * @file process_check.h
 * Finds out whether the process that wrote a back end's entry is the one that serves its address,
 * by the start time that back ends report in the entry and when asked. Where they tell none, a
 * report that comes sooner than another process could have started shows it as well. A report needs
 * no slot, but has its price: it is asked for only where something depends on it.
 *
 * Failures: a back end that does not answer is asked again, PROCESS_CHECK_ATTEMPTS times in all, if
 * its entry tells its start; its version then stays in doubt until backend_version_certain finds
 * other evidence. Where no start is told, a process that takes over a port at once, as it does on
 * some planned restarts, counts as the one before.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_PROCESS_CHECK_H
#define RUDDERWAY_GATEWAY_PROCESS_CHECK_H

#include "gateway/backends.h"

enum { PROCESS_CHECK_ATTEMPTS = 3 };

/** Asks the back end, unless its version is certain or it is being asked about the same doubt. */
void process_check_begin(backend_t *backend);
/** Ends the check of a back end that is removed or has started again. */
void process_check_stop(backend_t *backend);

#endif
