/**
 * @file crash_suspicions.h
 * Crashes that are suspected at back ends which accept connections: a connection broke under a
 * request, or the back end may still run a request near its limit. Each is settled by evidence of
 * the process (backend_survival.h), or expires when a crash would no longer count.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_CRASH_SUSPICIONS_H
#define RUDDERWAY_GATEWAY_CRASH_SUSPICIONS_H

#include "core/retry/crash_history.h"
#include "gateway/backends.h"

typedef struct crash_suspicions crash_suspicions_t;

/** Called once for each suspicion that is settled before it expires. */
typedef struct {
    void (*on_survived)(void *owner, crash_report_t *crash);
    void (*on_ended)(void *owner, const crash_report_t *crash);
} crash_suspicions_handler_t;

crash_suspicions_t *crash_suspicions_new(uv_loop_t *loop, backends_t *backends,
                                         const crash_suspicions_handler_t *handler, void *owner);
/**
 * Keeps a suspicion at the back end with the hash @p backend. @p since: loop time; only later
 * evidence counts. Beyond 4,096 the oldest is dropped.
 */
void crash_suspicions_keep(crash_suspicions_t *suspicions, const crash_report_t *crash,
                           uint64_t backend, uint64_t since);
/**
 * The process at the back end may have ended just now; evidence has to be later. False if the
 * request is not suspected there.
 */
bool crash_suspicions_renew(crash_suspicions_t *suspicions, uint64_t request, uint64_t backend);
/** Drops the request's suspicions of crashes up to @p until. */
void crash_suspicions_forget(crash_suspicions_t *suspicions, uint64_t request, uint64_t until);
/** Number of the request's suspicions; @p settled_at: when they are mostly settled. */
unsigned crash_suspicions_count(const crash_suspicions_t *suspicions, uint64_t request,
                                uint64_t *settled_at);

#endif
