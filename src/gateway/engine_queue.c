/*
 * Design. "Full" is judged by what this gateway and the others have under way, which lags by some
 * tens of ms; a small surplus keeps engines busy meanwhile. The queue is looked at on a timer that
 * runs only while somebody waits. Nobody waits longer than told: then the call goes to a full
 * engine, whose own queue takes it.
 */
#include "gateway/engine_queue.h"

#include <string.h>

enum {
    LOOK_MS = 8,
    SURPLUS = 1, /**< Calls beyond its slots that an engine is sent all the same. */
};

struct engine_queue {
    uv_loop_t *loop;
    backends_t *backends;
    GSequence *tickets; /**< Of engine_ticket_t, in the order of due times. */
    uv_timer_t timer;
};

struct engine_ticket {
    engine_queue_t *queue;
    GSequenceIter *place;
    char *service;
    unsigned slots;
    uint64_t due_at;
    uint64_t give_up_at;
    void (*go)(void *owner);
    void *owner;
};

static void free_ticket(engine_ticket_t *ticket) {
    g_free(ticket->service);
    g_free(ticket);
}

static bool has_room(const engine_queue_t *queue, const char *service, unsigned slots) {
    return backends_least_load(queue->backends, service) < slots + SURPLUS;
}

static int compare_tickets(gconstpointer a, gconstpointer b, gpointer user) {
    const engine_ticket_t *left = a;
    const engine_ticket_t *right = b;
    const engine_queue_t *queue = user;
    uint64_t now = uv_now(queue->loop);
    bool left_late = left->due_at <= now;
    bool right_late = right->due_at <= now;
    if (left_late != right_late)
        return left_late ? 1 : -1;
    return (left->due_at < right->due_at) - (left->due_at > right->due_at);
}

static void release(engine_ticket_t *ticket) {
    void (*go)(void *owner) = ticket->go;
    void *owner = ticket->owner;
    g_sequence_remove(ticket->place);
    free_ticket(ticket);
    go(owner);
}

/** Lets the first go that may; false if there is none. */
static bool release_one(engine_queue_t *queue) {
    uint64_t now = uv_now(queue->loop);
    GSequenceIter *iterator = g_sequence_get_begin_iter(queue->tickets);
    for (; !g_sequence_iter_is_end(iterator); iterator = g_sequence_iter_next(iterator)) {
        engine_ticket_t *ticket = g_sequence_get(iterator);
        if (now < ticket->give_up_at && !has_room(queue, ticket->service, ticket->slots))
            continue;
        release(ticket);
        return true;
    }
    return false;
}

static void on_timer(uv_timer_t *timer) {
    engine_queue_t *queue = timer->data;
    /* Some have become late since they came. */
    g_sequence_sort(queue->tickets, compare_tickets, queue);
    while (release_one(queue))
        continue;
    if (g_sequence_is_empty(queue->tickets))
        uv_timer_stop(timer);
}

engine_queue_t *engine_queue_new(uv_loop_t *loop, backends_t *backends) {
    engine_queue_t *queue = g_new0(engine_queue_t, 1);
    queue->loop = loop;
    queue->backends = backends;
    queue->tickets = g_sequence_new(NULL);
    uv_timer_init(loop, &queue->timer);
    queue->timer.data = queue;
    return queue;
}

engine_ticket_t *engine_queue_wait(engine_queue_t *queue, const char *service, unsigned slots,
                                   uint64_t due_at, uint64_t longest_ms, void (*go)(void *owner),
                                   void *owner) {
    if (longest_ms == 0 || has_room(queue, service, slots))
        return NULL;
    engine_ticket_t *ticket = g_new0(engine_ticket_t, 1);
    ticket->queue = queue;
    ticket->service = g_strdup(service);
    ticket->slots = slots;
    ticket->due_at = due_at;
    ticket->give_up_at = uv_now(queue->loop) + longest_ms;
    ticket->go = go;
    ticket->owner = owner;
    bool first = g_sequence_is_empty(queue->tickets);
    ticket->place = g_sequence_insert_sorted(queue->tickets, ticket, compare_tickets, queue);
    if (first)
        uv_timer_start(&queue->timer, on_timer, LOOK_MS, LOOK_MS);
    return ticket;
}

void engine_queue_leave(engine_ticket_t *ticket) {
    g_sequence_remove(ticket->place);
    free_ticket(ticket);
}

unsigned engine_queue_length(const engine_queue_t *queue) {
    return (unsigned)g_sequence_get_length(queue->tickets);
}
