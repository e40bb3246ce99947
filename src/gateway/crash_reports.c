#include "gateway/crash_reports.h"

#include "gateway/load_report.h"

typedef struct {
    crash_report_t crash;
    unsigned audience;
    control_priority_t priority;
    uint64_t added_at;
} due_report_t;

void crash_reports_init(crash_reports_t *reports) {
    reports->recent = g_array_new(FALSE, FALSE, sizeof(due_report_t));
}

void crash_reports_clear(crash_reports_t *reports) {
    g_array_free(reports->recent, TRUE);
}

static void remove_expired(crash_reports_t *reports, uint64_t now) {
    guint expired = 0;
    while (expired < reports->recent->len &&
           now >= g_array_index(reports->recent, due_report_t, expired).added_at + CRASH_REPEAT_MS)
        expired++;
    if (expired > 0)
        g_array_remove_range(reports->recent, 0, expired);
}

static bool is_same(const crash_report_t *report, const crash_report_t *other) {
    return report->request == other->request && report->backend == other->backend &&
           report->number == other->number && report->cleared == other->cleared;
}

/** A request's crashes need no report once it got a complete response. */
static void remove_request(crash_reports_t *reports, uint64_t request) {
    for (guint i = reports->recent->len; i > 0; i--)
        if (g_array_index(reports->recent, due_report_t, i - 1).crash.request == request)
            g_array_remove_index(reports->recent, i - 1);
}

void crash_reports_add(crash_reports_t *reports, const crash_report_t *crash, unsigned audience,
                       control_priority_t priority, uint64_t now) {
    due_report_t due = {*crash, audience, priority, now};
    if (crash->cleared)
        remove_request(reports, crash->request);
    for (guint i = 0; i < reports->recent->len; i++) {
        const due_report_t *other = &g_array_index(reports->recent, due_report_t, i);
        if (!is_same(&other->crash, crash))
            continue;
        due.audience |= other->audience;
        due.priority = MAX(due.priority, other->priority);
        g_array_remove_index(reports->recent, i);
        break;
    }
    if (reports->recent->len >= CRASH_REPORTS_DUE_MAX)
        g_array_remove_index(reports->recent, 0);
    g_array_append_val(reports->recent, due);
}

/** Appends the latest reports of one priority; at most @p max. Returns how many. */
static unsigned append_latest(const crash_reports_t *reports, unsigned audience,
                              control_priority_t priority, unsigned max, uint64_t now,
                              GArray *entries) {
    unsigned count = 0;
    for (guint i = reports->recent->len; i > 0 && count < max; i--) {
        const due_report_t *due = &g_array_index(reports->recent, due_report_t, i - 1);
        if (due->priority != priority || (due->audience & audience) == 0 ||
            entries->len >= LOAD_ENTRIES_MAX)
            continue;
        load_entry_t entry = load_entry_from_crash(&due->crash, now);
        g_array_append_val(entries, entry);
        count++;
    }
    return count;
}

unsigned crash_reports_append(crash_reports_t *reports, unsigned audience, unsigned pressing,
                              unsigned waiting, uint64_t now, GArray *entries) {
    remove_expired(reports, now);
    unsigned count = append_latest(reports, audience, CONTROL_PRESSING,
                                   MIN(pressing, CRASH_REPORTS_MAX), now, entries);
    count += append_latest(reports, audience, CONTROL_CAN_WAIT,
                           MIN(waiting, CRASH_REPORTS_MAX - count), now, entries);
    return count;
}

void crash_reports_extract(GArray *entries, uint64_t now, GArray *crashes) {
    for (guint i = entries->len; i > 0; i--) {
        crash_report_t crash;
        if (!load_entry_crash(&g_array_index(entries, load_entry_t, i - 1), now, &crash))
            continue;
        g_array_append_val(crashes, crash);
        g_array_remove_index_fast(entries, i - 1);
    }
}
