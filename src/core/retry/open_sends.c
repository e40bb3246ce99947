#include "core/retry/open_sends.h"

typedef struct open_send {
    uint64_t request;
    uint64_t send;
    uint64_t gateway; /**< Serial of its connection; 0: from the log, or lost after it was left. */
    uint16_t backend; /**< Once the call has left it. */
    uint64_t left_until; /**< The call has left it, and it may be run until then; 0: it has not. */
    uint64_t left_at;
    uint64_t begun_at;
    bool counted;
    bool logged;
    struct open_send *next; /**< Of the same request. */
    GList link;             /**< In open_sends.order. */
} open_send_t;

struct open_sends {
    GHashTable *by_send;    /**< Of open_send_t. */
    GHashTable *by_request; /**< First open_send_t of each request. */
    GQueue order;           /**< Oldest first. */
};

open_sends_t *open_sends_new(void) {
    open_sends_t *sends = g_new0(open_sends_t, 1);
    sends->by_send = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    sends->by_request = g_hash_table_new(g_int64_hash, g_int64_equal);
    g_queue_init(&sends->order);
    return sends;
}

void open_sends_free(open_sends_t *sends) {
    g_hash_table_destroy(sends->by_request);
    g_hash_table_destroy(sends->by_send);
    g_free(sends);
}

/** The keys of by_request are in its entries, so that a new first one takes the place of the key.
 */
static void set_first(open_sends_t *sends, open_send_t *first) {
    g_hash_table_replace(sends->by_request, &first->request, first);
}

static void remove_send(open_sends_t *sends, open_send_t *entry) {
    open_send_t *previous = g_hash_table_lookup(sends->by_request, &entry->request);
    while (previous != entry && previous->next != entry)
        previous = previous->next;
    if (previous != entry)
        previous->next = entry->next;
    else if (entry->next != NULL)
        set_first(sends, entry->next);
    else
        g_hash_table_remove(sends->by_request, &entry->request);
    g_queue_unlink(&sends->order, &entry->link);
    g_hash_table_remove(sends->by_send, &entry->send);
}

static void limit_sends(open_sends_t *sends, uint64_t now) {
    open_send_t *oldest;
    while ((oldest = g_queue_peek_head(&sends->order)) != NULL &&
           (now >= oldest->begun_at + CRASH_RETENTION_MS ||
            g_queue_get_length(&sends->order) >= OPEN_SENDS_MAX))
        remove_send(sends, oldest);
}

bool open_sends_begin(open_sends_t *sends, uint64_t request, uint64_t send, uint64_t gateway,
                      bool logged, uint64_t now) {
    open_send_t *entry = g_hash_table_lookup(sends->by_send, &send);
    if (entry != NULL) {
        bool changes = logged && !entry->logged;
        entry->logged |= logged;
        return changes;
    }
    limit_sends(sends, now);
    entry = g_new0(open_send_t, 1);
    entry->logged = logged;
    entry->request = request;
    entry->send = send;
    entry->gateway = gateway;
    entry->begun_at = now;
    entry->link.data = entry;
    entry->next = g_hash_table_lookup(sends->by_request, &request);
    set_first(sends, entry);
    g_hash_table_insert(sends->by_send, &entry->send, entry);
    g_queue_push_tail_link(&sends->order, &entry->link);
    return true;
}

static crash_report_t describe(const open_send_t *entry) {
    if (entry->left_until > 0)
        return (crash_report_t){.request = entry->request,
                                .at = entry->begun_at,
                                .backend = entry->backend,
                                .silent = true};
    return (crash_report_t){.request = entry->request,
                            .at = entry->begun_at,
                            .backend = (uint16_t)entry->send,
                            .number = 1};
}

bool open_sends_end(open_sends_t *sends, uint64_t send, ended_send_t *ended) {
    open_send_t *entry = g_hash_table_lookup(sends->by_send, &send);
    if (entry == NULL)
        return false;
    *ended = (ended_send_t){describe(entry), entry->counted, entry->logged};
    remove_send(sends, entry);
    return true;
}

bool open_sends_leave(open_sends_t *sends, const left_send_report_t *left, uint64_t now,
                      crash_report_t *crash) {
    open_sends_begin(sends, left->request, left->send, left->gateway, false, now);
    open_send_t *entry = g_hash_table_lookup(sends->by_send, &left->send);
    bool counted = entry->counted;
    if (counted)
        *crash = describe(entry);
    entry->counted = false;
    entry->backend = left->backend;
    entry->gateway = left->gateway;
    entry->left_until = MAX(entry->left_until, left->until);
    entry->left_at = now;
    return counted;
}

void open_sends_list_left(const open_sends_t *sends, uint64_t request, uint64_t gateway,
                          uint64_t now, GArray *list) {
    const open_send_t *entry = g_hash_table_lookup(sends->by_request, &request);
    for (; entry != NULL; entry = entry->next) {
        if (entry->counted || entry->gateway == gateway || now >= entry->left_until)
            continue;
        const left_send_report_t left = {.request = entry->request,
                                         .send = entry->send,
                                         .backend = entry->backend,
                                         .gateway = entry->gateway,
                                         .at = entry->left_at,
                                         .until = entry->left_until};
        g_array_append_val(list, left);
    }
}

void open_sends_lose_gateway(open_sends_t *sends, uint64_t gateway, uint64_t now) {
    for (const GList *item = sends->order.head; item != NULL; item = item->next) {
        open_send_t *entry = item->data;
        if (entry->gateway == gateway && now <= entry->left_until)
            entry->gateway = 0;
    }
}

/** True if the open send may have ended a back end without its gateway telling it. */
static bool may_count(const open_send_t *entry, uint64_t send, uint64_t gateway, uint64_t now) {
    if (entry->counted || entry->send == send || now >= entry->begun_at + CRASH_RETENTION_MS)
        return false;
    return entry->left_until > 0 ? entry->gateway == 0 : entry->gateway != gateway;
}

void open_sends_count(open_sends_t *sends, uint64_t request, uint64_t send, uint64_t gateway,
                      uint64_t now, GArray *crashes) {
    open_send_t *entry = g_hash_table_lookup(sends->by_request, &request);
    for (; entry != NULL; entry = entry->next) {
        if (!may_count(entry, send, gateway, now))
            continue;
        entry->counted = true;
        const crash_report_t crash = describe(entry);
        g_array_append_val(crashes, crash);
    }
}
