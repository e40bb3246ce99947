#include "core/retry/left_sends.h"

#include <stdbool.h>

struct left_sends {
    GArray *entries; /**< Of left_send_t, oldest first. */
    void (*on_settled)(void *owner, const left_send_t *send);
    void *owner;
};

left_sends_t *left_sends_new(void (*on_settled)(void *owner, const left_send_t *send),
                             void *owner) {
    left_sends_t *sends = g_new0(left_sends_t, 1);
    sends->on_settled = on_settled;
    sends->owner = owner;
    sends->entries = g_array_new(FALSE, FALSE, sizeof(left_send_t));
    return sends;
}

void left_sends_free(left_sends_t *sends) {
    g_array_free(sends->entries, TRUE);
    g_free(sends);
}

static left_send_t *entry_at(const left_sends_t *sends, guint index) {
    return &g_array_index(sends->entries, left_send_t, index);
}

static bool is_over(const left_send_t *entry, uint64_t now) {
    return now > entry->until + LEFT_SEND_MARGIN_MS + LEFT_SEND_NOTICE_MS;
}

/** Removes an entry whose account is closed. */
static void settle(left_sends_t *sends, guint index) {
    const left_send_t settled = *entry_at(sends, index);
    g_array_remove_index(sends->entries, index);
    if (sends->on_settled != NULL)
        sends->on_settled(sends->owner, &settled);
}

static void remove_over(left_sends_t *sends, uint64_t now) {
    for (guint i = sends->entries->len; i > 0; i--)
        if (is_over(entry_at(sends, i - 1), now))
            g_array_remove_index(sends->entries, i - 1);
}

static bool is_of(const left_send_t *entry, uint64_t request, uint16_t backend) {
    return entry->request == request && (uint16_t)entry->backend == backend;
}

void left_sends_remove(left_sends_t *sends, uint64_t request, uint16_t backend) {
    for (guint i = sends->entries->len; i > 0; i--)
        if (is_of(entry_at(sends, i - 1), request, backend))
            settle(sends, i - 1);
}

left_send_t left_sends_put(left_sends_t *sends, const left_send_t *send, uint64_t now) {
    left_send_t added = *send;
    for (guint i = sends->entries->len; i > 0; i--) {
        const left_send_t *entry = entry_at(sends, i - 1);
        if (entry->request != send->request || entry->backend != send->backend)
            continue;
        added.left_at = MAX(added.left_at, entry->left_at);
        added.until = MAX(added.until, entry->until);
        g_array_remove_index(sends->entries, i - 1);
    }
    if (sends->entries->len >= LEFT_SENDS_MAX)
        remove_over(sends, now);
    if (sends->entries->len >= LEFT_SENDS_MAX)
        g_array_remove_index(sends->entries, 0);
    g_array_append_val(sends->entries, added);
    return added;
}

left_send_t left_sends_add(left_sends_t *sends, uint64_t request, uint64_t backend, uint64_t run_ms,
                           uint64_t now) {
    const left_send_t added = {request, backend, now, now + run_ms};
    return left_sends_put(sends, &added, now);
}

void left_sends_forget(left_sends_t *sends, uint64_t request) {
    for (guint i = sends->entries->len; i > 0; i--)
        if (entry_at(sends, i - 1)->request == request)
            settle(sends, i - 1);
}

void left_sends_take(left_sends_t *sends, uint64_t backend, uint64_t now, GArray *taken) {
    remove_over(sends, now);
    for (guint i = 0; i < sends->entries->len;) {
        if (entry_at(sends, i)->backend != backend) {
            i++;
            continue;
        }
        g_array_append_val(taken, *entry_at(sends, i));
        g_array_remove_index(sends->entries, i);
    }
}

void left_sends_move(left_sends_t *from, left_sends_t *to, uint64_t request, uint16_t backend,
                     uint64_t now) {
    for (guint i = from->entries->len; i > 0; i--) {
        const left_send_t moved = *entry_at(from, i - 1);
        if (!is_of(&moved, request, backend))
            continue;
        g_array_remove_index(from->entries, i - 1);
        left_sends_put(to, &moved, now);
    }
}

void left_sends_list_backend(const left_sends_t *sends, uint64_t backend, uint64_t now,
                             GArray *list) {
    for (guint i = 0; i < sends->entries->len; i++)
        if (entry_at(sends, i)->backend == backend && !is_over(entry_at(sends, i), now))
            g_array_append_val(list, *entry_at(sends, i));
}

static bool may_run(const left_send_t *entry, uint64_t now) {
    return now <= entry->until + LEFT_SEND_MARGIN_MS;
}

void left_sends_list(const left_sends_t *sends, uint64_t now, GArray *list) {
    for (guint i = 0; i < sends->entries->len; i++)
        if (may_run(entry_at(sends, i), now))
            g_array_append_val(list, *entry_at(sends, i));
}

void left_sends_list_request(const left_sends_t *sends, uint64_t request, uint64_t now,
                             GArray *list) {
    for (guint i = 0; i < sends->entries->len; i++)
        if (entry_at(sends, i)->request == request && may_run(entry_at(sends, i), now))
            g_array_append_val(list, *entry_at(sends, i));
}
