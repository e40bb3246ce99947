/**
 * @file engine_queue.h
 * Calls that wait here because every engine of their service is full. An engine would serve them
 * in the order of arrival, and make all programs a little late; this queue lets those go first
 * that can still be in time, the one with the least time left before all others, and those that
 * are late already last.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_ENGINE_QUEUE_H
#define RUDDERWAY_GATEWAY_ENGINE_QUEUE_H

#include "gateway/backends.h"

typedef struct engine_queue engine_queue_t;
typedef struct engine_ticket engine_ticket_t;

engine_queue_t *engine_queue_new(uv_loop_t *loop, backends_t *backends);

/**
 * Lets a call wait for an engine of @p service, for @p longest_ms at most; @p due_at is the loop
 * time at which its program should be over. NULL: an engine has room, and the call may go.
 */
engine_ticket_t *engine_queue_wait(engine_queue_t *queue, const char *service, unsigned slots,
                                   uint64_t due_at, uint64_t longest_ms, void (*go)(void *owner),
                                   void *owner);
/** Gives the place up; not after @p go was called. */
void engine_queue_leave(engine_ticket_t *ticket);
unsigned engine_queue_length(const engine_queue_t *queue);

#endif
