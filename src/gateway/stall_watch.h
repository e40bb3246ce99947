/**
 * @file stall_watch.h
 * Periodically checks the calls that wait for bytes from a back end, and takes those that stall
 * away from it; see core/retry/stall.h. Only repeatable calls are watched: others can't be
 * resent.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_STALL_WATCH_H
#define RUDDERWAY_GATEWAY_STALL_WATCH_H

#include <glib.h>
#include <uv.h>

struct call;

typedef struct {
    uv_timer_t timer; /**< Active while a call is watched. */
    GPtrArray *calls; /**< Of call_t. */
} stall_watch_t;

void stall_watch_init(stall_watch_t *watch, uv_loop_t *loop);
void stall_watch_add(stall_watch_t *watch, struct call *call);
/** No effect if the call is not watched. */
void stall_watch_remove(stall_watch_t *watch, struct call *call);

#endif
