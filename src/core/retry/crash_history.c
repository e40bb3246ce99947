#include "core/retry/crash_history.h"

#include <limits.h>

enum {
    REQUESTS_MAX = 4096, /**< Bounds the memory; the request with the oldest crash goes first. */
    STOPS_KEPT = 256,    /**< Of stopped requests when there are too many. */
    /** More than CRASHES_MAX, since some of them may be removed. */
    CRASHES_KEPT = 2 * CRASHES_MAX,
    STOP_DOUBLINGS_MAX = 4,                  /**< A stop lasts for 16 minutes at most. */
    RENEWAL_MIN_MS = CRASH_RETENTION_MS / 4, /**< Between two renewals that are sent to others. */
    /** Upper bound of a report's delay. A number of a back end may be given again after that. */
    REPORT_DELAY_MAX_MS = 10000,
};

typedef struct {
    uint64_t at;
    uint16_t backend;
    uint8_t number;
    bool silent;
    bool confirmed;
    bool left;     /**< A call has left the back end; no more is known. */
    bool prolongs; /**< It came after a stop and began the next, longer one. */
} crash_t;

typedef struct {
    uint64_t request;
    uint64_t cleared_at; /**< Crashes up to then don't count; 0: never cleared. */
    unsigned stops;      /**< How often in a row it was stopped; 0: it is not. */
    uint64_t stopped_at; /**< From when the last stop counts. */
    uint64_t sent_at;    /**< When the stop was last sent to others, or received. */
    bool received;       /**< The stop came from others, perhaps without its crashes. */
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

static uint64_t stop_ms(const request_crashes_t *entry) {
    return (uint64_t)CRASH_RETENTION_MS << MIN(entry->stops - 1, STOP_DOUBLINGS_MAX);
}

static bool is_stopped(const request_crashes_t *entry, uint64_t now) {
    return entry->stops > 0 && now < entry->stopped_at + stop_ms(entry);
}

/** True until one more crash would begin the count anew. */
static bool is_on_probation(const request_crashes_t *entry, uint64_t now) {
    return entry->stops > 0 && now < entry->stopped_at + 2 * stop_ms(entry);
}

static bool is_needed(const request_crashes_t *entry, uint64_t now) {
    uint64_t last = entry->count == 0 ? 0 : entry->crashes[entry->count - 1].at;
    return now < last + CRASH_RETENTION_MS || is_on_probation(entry, now);
}

/**
 * Forgets requests without a recent crash, and the oldest one if there are too many: of those that
 * are not stopped, since a back end that ends may take along more than are kept.
 */
static void limit_requests(crash_history_t *history, uint64_t now) {
    request_crashes_t *oldest;
    unsigned kept = 0;
    while ((oldest = g_queue_peek_head(&history->order)) != NULL) {
        bool full = g_hash_table_size(history->requests) >= REQUESTS_MAX;
        if (!full && is_needed(oldest, now))
            return;
        if (is_on_probation(oldest, now) && kept < STOPS_KEPT) {
            kept++;
            g_queue_unlink(&history->order, &oldest->link);
            g_queue_push_tail_link(&history->order, &oldest->link);
        } else {
            forget(history, oldest);
        }
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
        uint64_t same_ms = known->silent || crash->silent ? CRASH_SILENT_SAME_MS : CRASH_SAME_MS;
        if (time_between(known->at, crash->at) < same_ms)
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

static bool counts(const request_crashes_t *entry, const crash_t *crash, uint64_t now) {
    return crash->at > entry->cleared_at && now < crash->at + CRASH_RETENTION_MS;
}

/** Number of crashes of the last CRASH_RETENTION_MS. */
static unsigned count_recent(const request_crashes_t *entry, uint64_t now) {
    unsigned recent = 0;
    for (unsigned i = 0; i < entry->count; i++)
        recent += counts(entry, &entry->crashes[i], now);
    return recent;
}

/**
 * Stops the request if @p crash, just added, is one too many, or for longer if it came after a
 * stop. Many back ends may end at once under equal requests, so that one during a stop changes
 * nothing.
 */
static void stop_at_limit(request_crashes_t *entry, crash_t *crash) {
    uint64_t at = crash->at;
    if (is_stopped(entry, at))
        return;
    crash->prolongs = is_on_probation(entry, at);
    entry->stops = crash->prolongs ? entry->stops + 1 : count_recent(entry, at) >= CRASHES_MAX;
    entry->stopped_at = MAX(entry->stopped_at, at);
    entry->sent_at = MAX(entry->sent_at, at);
}

/** Ends the stop, or makes it shorter, if it was because of @p removed. */
static void stop_less(request_crashes_t *entry, const crash_t *removed) {
    if (removed->prolongs && entry->stops > 1)
        entry->stops--;
    else if (entry->stops == 1 && !entry->received)
        entry->stops = count_recent(entry, removed->at) >= CRASHES_MAX;
}

static bool add_crash(crash_history_t *history, crash_report_t *crash, bool confirmed, bool left) {
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
    entry->crashes[index] = (crash_t){.at = crash->at,
                                      .backend = crash->backend,
                                      .number = crash->number,
                                      .silent = crash->silent,
                                      .confirmed = confirmed,
                                      .left = left};
    stop_at_limit(entry, &entry->crashes[entry->count - 1]);
    return true;
}

bool crash_history_add(crash_history_t *history, crash_report_t *crash, bool confirmed) {
    return add_crash(history, crash, confirmed, false);
}

bool crash_history_add_left(crash_history_t *history, crash_report_t *crash) {
    return add_crash(history, crash, false, true);
}

bool crash_history_remove(crash_history_t *history, crash_report_t *crash) {
    request_crashes_t *entry = find(history, crash->request);
    if (entry != NULL && crash->number == 0)
        crash->number = find_number(entry, crash);
    int index = entry == NULL ? -1 : find_crash(entry, crash);
    if (index < 0)
        return false;
    crash_t removed = entry->crashes[index];
    remove_crash(entry, (unsigned)index);
    stop_less(entry, &removed);
    return true;
}

void crash_history_confirm(crash_history_t *history, const crash_report_t *crash) {
    request_crashes_t *entry = find(history, crash->request);
    int index = entry == NULL ? -1 : find_crash(entry, crash);
    if (index >= 0)
        entry->crashes[index].confirmed = true;
}

bool crash_history_is_confirmed(const crash_history_t *history, const crash_report_t *crash) {
    const request_crashes_t *entry = find(history, crash->request);
    int index = entry == NULL ? -1 : find_crash(entry, crash);
    return index >= 0 && entry->crashes[index].confirmed;
}

/* Cleared crashes stay known, so that late reports of them do not count as others. */
bool crash_history_clear(crash_history_t *history, uint64_t request, uint64_t at) {
    request_crashes_t *entry = find(history, request);
    if (entry == NULL || entry->cleared_at >= at)
        return false;
    unsigned before = count_recent(entry, at);
    bool was_stopped = is_on_probation(entry, at);
    entry->cleared_at = at;
    entry->stops = 0;
    entry->received = false;
    return was_stopped || count_recent(entry, at) < before;
}

bool crash_history_renew(crash_history_t *history, uint64_t request, uint64_t at) {
    request_crashes_t *entry = find(history, request);
    if (entry == NULL || !is_stopped(entry, at) || at <= entry->stopped_at)
        return false;
    entry->stopped_at = at;
    if (at < entry->sent_at + RENEWAL_MIN_MS)
        return false;
    entry->sent_at = at;
    return true;
}

bool crash_history_note_stop(crash_history_t *history, const crash_report_t *stop) {
    const request_crashes_t *known = find(history, stop->request);
    if (known != NULL &&
        (stop->at <= known->cleared_at || (known->stops > 0 && stop->at <= known->stopped_at)))
        return false;
    request_crashes_t *entry = obtain(history, stop->request, stop->at);
    entry->stops = MAX(entry->stops, MAX(stop->number, 1));
    entry->stopped_at = stop->at;
    entry->sent_at = stop->at;
    entry->received = true;
    return true;
}

bool crash_history_find_stop(const crash_history_t *history, uint64_t request, uint64_t now,
                             crash_report_t *stop) {
    const request_crashes_t *entry = find(history, request);
    if (entry == NULL || !is_on_probation(entry, now))
        return false;
    *stop = (crash_report_t){.request = request,
                             .at = entry->stopped_at,
                             .number = (uint8_t)MIN(entry->stops, UINT8_MAX)};
    return true;
}

void crash_history_list_stops(const crash_history_t *history, uint64_t now, unsigned max,
                              GArray *stops) {
    for (const GList *link = history->order.tail; link != NULL && stops->len < max;
         link = link->prev) {
        crash_report_t stop;
        if (crash_history_find_stop(history, ((const request_crashes_t *)link->data)->request, now,
                                    &stop))
            g_array_append_val(stops, stop);
    }
}

unsigned crash_history_count(const crash_history_t *history, uint64_t request, uint64_t now) {
    if (g_hash_table_size(history->requests) == 0)
        return 0;
    const request_crashes_t *entry = find(history, request);
    if (entry == NULL)
        return 0;
    unsigned recent = count_recent(entry, now);
    if (is_stopped(entry, now))
        return MAX(recent, CRASHES_MAX);
    return is_on_probation(entry, now) ? CRASHES_NEAR_MAX : recent;
}

unsigned crash_history_count_ended(const crash_history_t *history, uint64_t request, uint64_t now) {
    const request_crashes_t *entry = find(history, request);
    unsigned count = crash_history_count(history, request, now);
    if (entry == NULL || is_on_probation(entry, now))
        return count;
    for (unsigned i = 0; i < entry->count; i++) {
        const crash_t *crash = &entry->crashes[i];
        count -= counts(entry, crash, now) && crash->left && !crash->confirmed;
    }
    return count;
}

bool crash_history_knows(const crash_history_t *history, uint64_t request, uint16_t backend,
                         uint64_t at, uint64_t now) {
    const request_crashes_t *entry = find(history, request);
    for (unsigned i = 0; entry != NULL && i < entry->count; i++) {
        const crash_t *crash = &entry->crashes[i];
        if (crash->backend == backend && counts(entry, crash, now) &&
            at < crash->at + CRASH_SILENT_SAME_MS)
            return true;
    }
    return false;
}

uint32_t crash_history_wait_ms(const crash_history_t *history, uint64_t request, uint64_t now) {
    const request_crashes_t *entry = find(history, request);
    if (entry == NULL || !is_stopped(entry, now))
        return 0;
    return (uint32_t)(entry->stopped_at + stop_ms(entry) - now);
}

static void list_crashes(const request_crashes_t *entry, uint64_t now, unsigned max,
                         GArray *reports) {
    bool all = is_on_probation(entry, now);
    for (unsigned i = 0; i < entry->count && reports->len < max; i++) {
        const crash_t *crash = &entry->crashes[i];
        crash_report_t report = {.request = entry->request,
                                 .at = crash->at,
                                 .backend = crash->backend,
                                 .number = crash->number,
                                 .silent = crash->silent};
        bool listed = all ? crash->at > entry->cleared_at : counts(entry, crash, now);
        if (listed && crash->confirmed)
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
        if (is_on_probation(entry, now) || count_recent(entry, now) >= CRASHES_NEAR_MAX)
            list_crashes(entry, now, max, reports);
    }
}
