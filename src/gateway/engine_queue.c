#include "gateway/engine_queue.h"

#include "gateway/call.h"

/** Time between two looks at the engines, in ms. */
enum { LOOK_MS = 5 };

static gint compare_calls(gconstpointer a, gconstpointer b) {
    const call_t *first = *(call_t *const *)a;
    const call_t *second = *(call_t *const *)b;
    urgency_t first_urgency = call_urgency(first);
    urgency_t second_urgency = call_urgency(second);
    if (first_urgency != second_urgency)
        return first_urgency < second_urgency ? -1 : 1;
    if (first->program_due_at == second->program_due_at)
        return 0;
    return first->program_due_at < second->program_due_at ? -1 : 1;
}

static void on_look(uv_timer_t *timer) {
    engine_queue_t *queue = timer->data;
    GPtrArray *calls = queue->calls;
    queue->calls = g_ptr_array_new();
    g_ptr_array_sort(calls, compare_calls);
    /* Each is sent, ended, or added to the queue again. */
    for (guint i = 0; i < calls->len; i++)
        call_send(g_ptr_array_index(calls, i));
    g_ptr_array_free(calls, TRUE);
    if (queue->calls->len == 0)
        uv_timer_stop(&queue->timer);
}

void engine_queue_init(engine_queue_t *queue, uv_loop_t *loop) {
    queue->calls = g_ptr_array_new();
    uv_timer_init(loop, &queue->timer);
    queue->timer.data = queue;
}

void engine_queue_add(engine_queue_t *queue, call_t *call) {
    g_ptr_array_add(queue->calls, call);
    if (!uv_is_active((uv_handle_t *)&queue->timer))
        uv_timer_start(&queue->timer, on_look, LOOK_MS, LOOK_MS);
}

void engine_queue_remove(engine_queue_t *queue, call_t *call) {
    g_ptr_array_remove(queue->calls, call);
}
