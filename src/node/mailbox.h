/**
 * @file mailbox.h
 * The queue of the node's decision thread, and the pool of threads that wait for others.
 *
 * All decisions of a node are made on one thread, which takes tasks from its mailbox. What
 * blocks (requests to engines, services and the platform) runs on the pool and posts its
 * outcome back. Thread safety: mailbox_post and workers_submit may be called from any thread.
 */
#ifndef RUDDERWAY_NODE_MAILBOX_H
#define RUDDERWAY_NODE_MAILBOX_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct mailbox mailbox_t;

/** Handles a task on the decision thread; owns @p data. */
typedef void (*task_t)(void *context, void *data);

mailbox_t *mailbox_new(void *context);
void mailbox_free(mailbox_t *mailbox);
void mailbox_post(mailbox_t *mailbox, task_t task, void *data);
/** Runs tasks until none is left, after waiting up to @p wait_us for the first. */
void mailbox_run(mailbox_t *mailbox, int64_t wait_us);
/** Runs every task that is left, also those that these post. */
void mailbox_drain(mailbox_t *mailbox);
/** Tasks waiting. */
unsigned mailbox_length(mailbox_t *mailbox);

typedef struct workers workers_t;

workers_t *workers_new(void *context);
/** Waits for the jobs under way; later ones are dropped. */
void workers_stop(workers_t *workers);
/** Frees a stopped pool. */
void workers_free(workers_t *workers);
/** Runs @p job(context, @p data) on a pool thread. */
void workers_submit(workers_t *workers, task_t job, void *data);

#endif
