#include "node/mailbox.h"

#include <pthread.h>
#include <time.h>

enum {
    TASKS_PER_RUN = 256,
    WORKER_STACK_BYTES = 512 * 1024,
    WORKERS_IDLE_MAXIMUM = 64, /**< Idle threads kept for the next jobs. */
    MICROSECONDS_PER_SECOND = 1000 * 1000,
    NANOSECONDS_PER_MICROSECOND = 1000,
};

typedef struct {
    task_t task;
    void *data;
} task_entry_t;

struct mailbox {
    pthread_mutex_t lock; /**< Guards the queue. */
    pthread_cond_t filled;
    GQueue *queue; /**< Of task_entry_t. */
    void *context;
};

struct workers {
    pthread_mutex_t lock; /**< Guards what follows. */
    pthread_cond_t changed;
    GQueue *jobs; /**< Of task_entry_t. */
    unsigned threads;
    unsigned idle;
    bool stopping;
    void *context;
};

static task_entry_t *task_entry_new(task_t task, void *data) {
    task_entry_t *entry = g_new0(task_entry_t, 1);
    entry->task = task;
    entry->data = data;
    return entry;
}

static void run_entry(task_entry_t *entry, void *context) {
    entry->task(context, entry->data);
    g_free(entry);
}

/* --- Mailbox ------------------------------------------------------------------------------ */

mailbox_t *mailbox_new(void *context) {
    mailbox_t *mailbox = g_new0(mailbox_t, 1);
    pthread_condattr_t attributes;
    pthread_mutex_init(&mailbox->lock, NULL);
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(&mailbox->filled, &attributes);
    pthread_condattr_destroy(&attributes);
    mailbox->queue = g_queue_new();
    mailbox->context = context;
    return mailbox;
}

void mailbox_free(mailbox_t *mailbox) {
    g_queue_free_full(mailbox->queue, g_free);
    pthread_mutex_destroy(&mailbox->lock);
    pthread_cond_destroy(&mailbox->filled);
    g_free(mailbox);
}

void mailbox_post(mailbox_t *mailbox, task_t task, void *data) {
    task_entry_t *entry = task_entry_new(task, data);
    pthread_mutex_lock(&mailbox->lock);
    g_queue_push_tail(mailbox->queue, entry);
    pthread_cond_signal(&mailbox->filled);
    pthread_mutex_unlock(&mailbox->lock);
}

static struct timespec after(int64_t wait_us) {
    struct timespec until;
    clock_gettime(CLOCK_MONOTONIC, &until);
    int64_t microseconds = until.tv_nsec / NANOSECONDS_PER_MICROSECOND + wait_us;
    until.tv_sec += microseconds / MICROSECONDS_PER_SECOND;
    until.tv_nsec = microseconds % MICROSECONDS_PER_SECOND * NANOSECONDS_PER_MICROSECOND;
    return until;
}

/** Takes a task, waiting up to @p wait_us for one; NULL if there is none. */
static task_entry_t *take(mailbox_t *mailbox, int64_t wait_us) {
    struct timespec until = after(wait_us);
    int expired = wait_us > 0 ? 0 : 1;
    pthread_mutex_lock(&mailbox->lock);
    while (g_queue_is_empty(mailbox->queue) && !expired)
        expired = pthread_cond_timedwait(&mailbox->filled, &mailbox->lock, &until);
    task_entry_t *entry = g_queue_pop_head(mailbox->queue);
    pthread_mutex_unlock(&mailbox->lock);
    return entry;
}

void mailbox_run(mailbox_t *mailbox, int64_t wait_us) {
    task_entry_t *entry = take(mailbox, wait_us);
    for (int i = 1; entry != NULL; i++) {
        run_entry(entry, mailbox->context);
        entry = i < TASKS_PER_RUN ? take(mailbox, 0) : NULL;
    }
}

void mailbox_drain(mailbox_t *mailbox) {
    task_entry_t *entry;
    while ((entry = take(mailbox, 0)) != NULL)
        run_entry(entry, mailbox->context);
}

unsigned mailbox_length(mailbox_t *mailbox) {
    pthread_mutex_lock(&mailbox->lock);
    unsigned length = g_queue_get_length(mailbox->queue);
    pthread_mutex_unlock(&mailbox->lock);
    return length;
}

/* --- Pool --------------------------------------------------------------------------------- */

workers_t *workers_new(void *context) {
    workers_t *workers = g_new0(workers_t, 1);
    pthread_mutex_init(&workers->lock, NULL);
    pthread_cond_init(&workers->changed, NULL);
    workers->jobs = g_queue_new();
    workers->context = context;
    return workers;
}

/** Waits for a job; NULL if the thread is to end. The lock is held. */
static task_entry_t *wait_for_job(workers_t *workers) {
    while (g_queue_is_empty(workers->jobs)) {
        if (workers->stopping || workers->idle >= WORKERS_IDLE_MAXIMUM)
            return NULL;
        workers->idle++;
        pthread_cond_wait(&workers->changed, &workers->lock);
        workers->idle--;
    }
    return g_queue_pop_head(workers->jobs);
}

static void *run_worker(void *argument) {
    workers_t *workers = argument;
    pthread_mutex_lock(&workers->lock);
    task_entry_t *entry;
    while ((entry = wait_for_job(workers)) != NULL) {
        pthread_mutex_unlock(&workers->lock);
        run_entry(entry, workers->context);
        pthread_mutex_lock(&workers->lock);
    }
    workers->threads--;
    pthread_cond_broadcast(&workers->changed);
    pthread_mutex_unlock(&workers->lock);
    return NULL;
}

/** The lock is held. A job that gets no thread now waits for one that is busy. */
static void add_worker(workers_t *workers) {
    pthread_t thread;
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, WORKER_STACK_BYTES);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    if (pthread_create(&thread, &attributes, run_worker, workers) == 0)
        workers->threads++;
    pthread_attr_destroy(&attributes);
}

void workers_submit(workers_t *workers, task_t job, void *data) {
    pthread_mutex_lock(&workers->lock);
    if (!workers->stopping) {
        g_queue_push_tail(workers->jobs, task_entry_new(job, data));
        if (g_queue_get_length(workers->jobs) > workers->idle)
            add_worker(workers);
        pthread_cond_signal(&workers->changed);
    }
    pthread_mutex_unlock(&workers->lock);
}

void workers_stop(workers_t *workers) {
    pthread_mutex_lock(&workers->lock);
    workers->stopping = true;
    pthread_cond_broadcast(&workers->changed);
    while (workers->threads > 0)
        pthread_cond_wait(&workers->changed, &workers->lock);
    pthread_mutex_unlock(&workers->lock);
}

void workers_free(workers_t *workers) {
    g_queue_free_full(workers->jobs, g_free);
    pthread_mutex_destroy(&workers->lock);
    pthread_cond_destroy(&workers->changed);
    g_free(workers);
}
