#include "core/retry/crash_history.h"

#include <limits.h>

enum {
    REQUESTS_MAX = 4096, /**< Bounds the memory; the request with the oldest crash goes first. */
    /** More than CRASHES_MAX, since some of them may be removed. */
    CRASHES_KEPT = 2 * CRASHES_MAX,
    /** No report is longer on its way. Back ends' numbers may begin anew after that. */
    REPORT_DELAY_MAX_MS = 10000,
};

typedef struct {
    uint64_t at;
    uint16_t backend;
    uint8_t number;
    bool confirmed;
} crash_t;

typedef struct {
    uint64_t request;
    uint64_t cleared_at; /**< Crashes up to then don't count; 0: never cleared. */
    unsigned count;
    crash_t crashes[CRASHES_KEPT]; /**< Oldest first. */
    GList link;                    /**< In crash_history.order. */
} request_crashes_t;

struct crash_history {
    GHashTable *requests; /**< Of request_crashes_t. */
    GQueue order;         /**< The same; latest addition last. */
};

static void free_request(gpointer data) {
    g_free(data);
}

crash_history_t *crash_history_new(void) {
    crash_history_t *history = g_new0(crash_history_t, 1);
    history->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_request);
    g_queue_init(&history->order);
    return history;
}

void crash_history_free(crash_history_t *history) {
    g_hash_table_destroy(history->requests);
    g_free(history);
}

static request_crashes_t *find(const crash_history_t *history, uint64_t request) {
    return g_hash_table_lookup(history->requests, &request);
}

static void forget(crash_history_t *history, request_crashes_t *entry) {
    g_queue_unlink(&history->order, &entry->link);
    g_hash_table_remove(history->requests, &entry->request);
}

/** Forgets requests without a recent crash, and the oldest one if there are too many. */
static void limit_requests(crash_history_t *history, uint64_t now) {
    request_crashes_t *oldest;
    while ((oldest = g_queue_peek_head(&history->order)) != NULL) {
        uint64_t last = oldest->count == 0 ? 0 : oldest->crashes[oldest->count - 1].at;
        bool recent = now < last + CRASH_RETENTION_MS;
        if (recent && g_hash_table_size(history->requests) < REQUESTS_MAX)
            return;
        forget(history, oldest);
    }
}

static request_crashes_t *obtain(crash_history_t *history, uint64_t request, uint64_t now) {
    request_crashes_t *entry = find(history, request);
    if (entry != NULL) {
        g_queue_unlink(&history->order, &entry->link);
    } else {
        limit_requests(history, now);
        entry = g_new0(request_crashes_t, 1);
        entry->request = request;
        entry->link.data = entry;
        g_hash_table_insert(history->requests, &entry->request, entry);
    }
    g_queue_push_tail_link(&history->order, &entry->link);
    return entry;
}

static uint64_t time_between(uint64_t at, uint64_t other) {
    return at > other ? at - other : other - at;
}

static int find_crash(const request_crashes_t *entry, const crash_report_t *report) {
    for (unsigned i = 0; i < entry->count; i++) {
        const crash_t *crash = &entry->crashes[i];
        if (crash->backend == report->backend && crash->number == report->number &&
            time_between(crash->at, report->at) < REPORT_DELAY_MAX_MS)
            return (int)i;
    }
    return -1;
}

/** The number of a crash found now, among those known of its back end. */
static uint8_t find_number(const request_crashes_t *entry, const crash_report_t *crash) {
    uint8_t last = 0;
    for (unsigned i = 0; entry != NULL && i < entry->count; i++) {
        const crash_t *known = &entry->crashes[i];
        if (known->backend != crash->backend)
            continue;
        if (time_between(known->at, crash->at) < CRASH_SAME_MS)
            return known->number;
        last = MAX(last, known->number);
    }
    return last < UINT8_MAX ? last + 1 : last;
}

static void remove_crash(request_crashes_t *entry, unsigned index) {
    for (unsigned i = index + 1; i < entry->count; i++)
        entry->crashes[i - 1] = entry->crashes[i];
    entry->count--;
}

bool crash_history_add(crash_history_t *history, crash_report_t *crash, bool confirmed) {
    const request_crashes_t *known = find(history, crash->request);
    if (crash->number == 0)
        crash->number = find_number(known, crash);
    if (known != NULL && (find_crash(known, crash) >= 0 || crash->at <= known->cleared_at))
        return false;
    request_crashes_t *entry = obtain(history, crash->request, crash->at);
    if (entry->count == CRASHES_KEPT)
        remove_crash(entry, 0);
    unsigned index = entry->count++;
    for (; index > 0 && entry->crashes[index - 1].at > crash->at; index--)
        entry->crashes[index] = entry->crashes[index - 1];
    entry->crashes[index] = (crash_t){crash->at, crash->backend, crash->number, confirmed};
    return true;
}

void crash_history_remove(crash_history_t *history, const crash_report_t *crash) {
    request_crashes_t *entry = find(history, crash->request);
    int index = entry == NULL ? -1 : find_crash(entry, crash);
    if (index >= 0)
        remove_crash(entry, (unsigned)index);
}

void crash_history_confirm(crash_history_t *history, const crash_report_t *crash) {
    request_crashes_t *entry = find(history, crash->request);
    int index = entry == NULL ? -1 : find_crash(entry, crash);
    if (index >= 0)
        entry->crashes[index].confirmed = true;
}

static bool counts(const request_crashes_t *entry, const crash_t *crash, uint64_t now) {
    return crash->at > entry->cleared_at && now < crash->at + CRASH_RETENTION_MS;
}

/** Index of the first crash that still counts. */
static unsigned first_recent(const request_crashes_t *entry, uint64_t now) {
    unsigned first = 0;
    while (first < entry->count && !counts(entry, &entry->crashes[first], now))
        first++;
    return first;
}

/* Cleared crashes stay known, so that late reports of them do not count as others. */
bool crash_history_clear(crash_history_t *history, uint64_t request, uint64_t at) {
    request_crashes_t *entry = find(history, request);
    if (entry == NULL || entry->cleared_at >= at)
        return false;
    unsigned before = first_recent(entry, at);
    entry->cleared_at = at;
    return first_recent(entry, at) > before;
}

unsigned crash_history_count(const crash_history_t *history, uint64_t request, uint64_t now) {
    if (g_hash_table_size(history->requests) == 0)
        return 0;
    const request_crashes_t *entry = find(history, request);
    return entry == NULL ? 0 : entry->count - first_recent(entry, now);
}

uint32_t crash_history_wait_ms(const crash_history_t *history, uint64_t request, uint64_t now) {
    if (crash_history_count(history, request, now) < CRASHES_MAX)
        return 0;
    const request_crashes_t *entry = find(history, request);
    const crash_t *last_to_expire = &entry->crashes[entry->count - CRASHES_MAX];
    return (uint32_t)(last_to_expire->at + CRASH_RETENTION_MS - now);
}

static void list_crashes(const request_crashes_t *entry, uint64_t now, unsigned max,
                         GArray *reports) {
    for (unsigned i = first_recent(entry, now); i < entry->count && reports->len < max; i++) {
        const crash_t *crash = &entry->crashes[i];
        crash_report_t report = {entry->request, crash->at, crash->backend, crash->number, false};
        if (crash->confirmed)
            g_array_append_val(reports, report);
    }
}

void crash_history_list_request(const crash_history_t *history, uint64_t request, uint64_t now,
                                GArray *reports) {
    const request_crashes_t *entry = find(history, request);
    if (entry != NULL)
        list_crashes(entry, now, UINT_MAX, reports);
}

void crash_history_list(const crash_history_t *history, uint64_t now, unsigned max,
                        GArray *reports) {
    for (const GList *link = history->order.tail; link != NULL; link = link->prev) {
        const request_crashes_t *entry = link->data;
        if (entry->count - first_recent(entry, now) >= CRASHES_NEAR_MAX)
            list_crashes(entry, now, max, reports);
    }
}
