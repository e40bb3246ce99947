#include "node/mailbox.h"

enum { TASKS_PER_RUN = 256 };

typedef struct {
    task_t task;
    void *data;
} task_entry_t;

struct mailbox {
    GAsyncQueue *queue;
    void *context;
};

struct workers {
    GThreadPool *pool;
};

mailbox_t *mailbox_new(void *context) {
    mailbox_t *mailbox = g_new0(mailbox_t, 1);
    mailbox->queue = g_async_queue_new();
    mailbox->context = context;
    return mailbox;
}

void mailbox_free(mailbox_t *mailbox) {
    g_async_queue_unref(mailbox->queue);
    g_free(mailbox);
}

static task_entry_t *task_entry_new(task_t task, void *data) {
    task_entry_t *entry = g_new0(task_entry_t, 1);
    entry->task = task;
    entry->data = data;
    return entry;
}

void mailbox_post(mailbox_t *mailbox, task_t task, void *data) {
    g_async_queue_push(mailbox->queue, task_entry_new(task, data));
}

static void run_entry(task_entry_t *entry, void *context) {
    entry->task(context, entry->data);
    g_free(entry);
}

void mailbox_run(mailbox_t *mailbox, int64_t wait_us) {
    task_entry_t *entry = g_async_queue_timeout_pop(mailbox->queue, (guint64)MAX(wait_us, 1));
    for (int i = 0; entry != NULL && i < TASKS_PER_RUN; i++) {
        run_entry(entry, mailbox->context);
        entry = i + 1 < TASKS_PER_RUN ? g_async_queue_try_pop(mailbox->queue) : NULL;
    }
}

void mailbox_drain(mailbox_t *mailbox) {
    task_entry_t *entry;
    while ((entry = g_async_queue_try_pop(mailbox->queue)) != NULL)
        run_entry(entry, mailbox->context);
}

unsigned mailbox_length(const mailbox_t *mailbox) {
    int length = g_async_queue_length(mailbox->queue);
    return length > 0 ? (unsigned)length : 0;
}

static void run_job(gpointer data, gpointer context) {
    run_entry(data, context);
}

workers_t *workers_new(void *context) {
    workers_t *workers = g_new0(workers_t, 1);
    workers->pool = g_thread_pool_new(run_job, context, -1, FALSE, NULL);
    return workers;
}

void workers_stop(workers_t *workers) {
    g_thread_pool_free(g_steal_pointer(&workers->pool), FALSE, TRUE);
}

void workers_free(workers_t *workers) {
    g_free(workers);
}

void workers_submit(workers_t *workers, task_t job, void *data) {
    if (workers->pool != NULL)
        g_thread_pool_push(workers->pool, task_entry_new(job, data), NULL);
}
