/**
 * @file silence_watch.h
 * Looks at the calls that wait for bytes from a back end, several times a second, and takes away
 * those that are lost there; see core/retry/silence.h. Only calls that may run more than once are
 * looked at: nothing can be done for the others.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_SILENCE_WATCH_H
#define RUDDERWAY_GATEWAY_SILENCE_WATCH_H

#include <glib.h>
#include <uv.h>

struct call;

typedef struct {
    uv_timer_t timer; /**< Runs while there is a call. */
    GPtrArray *calls; /**< Of call_t. */
} silence_watch_t;

void silence_watch_init(silence_watch_t *watch, uv_loop_t *loop);
void silence_watch_add(silence_watch_t *watch, struct call *call);
/** Nothing happens if the call is not looked at. */
void silence_watch_remove(silence_watch_t *watch, struct call *call);

#endif
