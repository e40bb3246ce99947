/**
 * @file engine_queue.h
 * Calls that wait in this gateway because the engines are full for them (see
 * core/routing/engine_choice.h). They are tried again every few ms, programs under way before new
 * ones and those before late ones, and in each class the one whose program must end first.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_ENGINE_QUEUE_H
#define RUDDERWAY_GATEWAY_ENGINE_QUEUE_H

#include <glib.h>
#include <stdint.h>
#include <uv.h>

struct call;

typedef struct {
    uv_timer_t timer; /**< Runs while a call waits. */
    GPtrArray *calls; /**< Of call_t. */
    uint64_t waited;  /**< Calls that had to wait, ever. */
} engine_queue_t;

void engine_queue_init(engine_queue_t *queue, uv_loop_t *loop);
void engine_queue_add(engine_queue_t *queue, struct call *call);
/** Nothing happens if the call doesn't wait. */
void engine_queue_remove(engine_queue_t *queue, struct call *call);

#endif
