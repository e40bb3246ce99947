#include "gateway/crash_watch.h"

#include "common/event.h"
#include "gateway/backend_versions.h"
#include "gateway/crash_reports.h"

enum {
    FAILURES_NEEDED = 2, /**< A busy back end refuses some connections. */
    POLL_INTERVAL_MS = 10,
    RESTART_MIN_MS = 100,
};

/** A check of one back end, for all requests whose connections broke there. */
typedef struct {
    crash_watch_t *watch;
    backends_t *backends;
    uint64_t backend; /**< backend_t.id_hash. */
    char *instance;
    char *service;
    struct sockaddr_in address;
    http_client_t *client;
    uint64_t begun_at;
    uint64_t opened_at;
    unsigned failures;
    bool refused;    /**< At least one connection was refused. */
    GArray *crashes; /**< Of crash_report_t. */
    uv_timer_t timer;
} check_t;

struct crash_watch {
    uv_loop_t *loop;
    backends_t *backends;
    load_sharing_t *sharing;
    store_client_t *stores; /**< NULL: crashes are not reported to storage nodes. */
    crash_history_t *history;
    GHashTable *checks; /**< backend_t.id_hash to check_t. */
};

static uint64_t now(const crash_watch_t *watch) {
    return uv_now(watch->loop);
}

static void log_if_stopped(const crash_watch_t *watch, uint64_t request) {
    unsigned count = crash_history_count(watch->history, request, now(watch));
    if (count >= CRASHES_MAX)
        event_log(GATEWAY_REQUEST_STOPPED, request, count,
                  crash_history_wait_ms(watch->history, request, now(watch)));
}

/** What one more crash is to others, once it has been added. */
static crash_news_t news_of_crash(const crash_watch_t *watch, uint64_t request) {
    return crash_history_count(watch->history, request, now(watch)) < CRASHES_NEAR_MAX
               ? CRASH_FIRST
               : CRASH_NEAR_LIMIT;
}

/** Forgets the crashes under a request that got a complete response. */
static crash_news_t clear_crashes(crash_watch_t *watch, const crash_report_t *report) {
    crash_news_t news = news_of_crash(watch, report->request);
    return crash_history_clear(watch->history, report->request, report->at) ? news : CRASH_KNOWN;
}

static crash_news_t on_crash_report(void *owner, const crash_report_t *report) {
    crash_watch_t *watch = owner;
    if (report->cleared)
        return clear_crashes(watch, report);
    crash_report_t crash = *report;
    if (!crash_history_add(watch->history, &crash, true))
        return CRASH_KNOWN;
    backends_doubt_version(watch->backends, report->backend);
    log_if_stopped(watch, report->request);
    return news_of_crash(watch, report->request);
}

static void list_crashes(void *owner, uint64_t request, GArray *reports) {
    const crash_watch_t *watch = owner;
    if (request == 0)
        crash_history_list(watch->history, now(watch), CRASH_REPORTS_MAX, reports);
    else
        crash_history_list_request(watch->history, request, now(watch), reports);
}

static const crash_sharing_handler_t sharing_handler = {on_crash_report, list_crashes};

void crash_watch_handle_message(crash_watch_t *watch, const message_t *message) {
    crash_report_t report = message->crash;
    report.at = now(watch) > message->age_ms ? now(watch) - message->age_ms : 0;
    if (message->type == MESSAGE_REQUEST_STOPPED)
        crash_history_note_stop(watch->history, &report);
    else
        on_crash_report(watch, &report);
}

crash_watch_t *crash_watch_new(uv_loop_t *loop, backends_t *backends, load_sharing_t *sharing,
                               store_client_t *stores) {
    crash_watch_t *watch = g_new0(crash_watch_t, 1);
    watch->backends = backends;
    watch->loop = loop;
    watch->sharing = sharing;
    watch->stores = stores;
    watch->history = crash_history_new();
    watch->checks = g_hash_table_new(g_int64_hash, g_int64_equal);
    load_sharing_share_crashes(sharing, &sharing_handler, watch);
    return watch;
}

static void tell_stores(const crash_watch_t *watch, message_type_t type,
                        const crash_report_t *report) {
    if (watch->stores == NULL)
        return;
    message_t message;
    message_init(&message, type);
    message.crash = *report;
    message.age_ms = (uint32_t)(now(watch) - report->at);
    store_client_send_for_key(watch->stores, report->request, &message);
    message_clear(&message);
}

static void tell_member(const crash_watch_t *watch, unsigned member, message_type_t type,
                        const GArray *reports) {
    for (guint i = 0; i < reports->len; i++) {
        const crash_report_t *report = &g_array_index(reports, crash_report_t, i);
        if (!store_client_keeps_key(watch->stores, member, report->request))
            continue;
        message_t message;
        message_init(&message, type);
        message.crash = *report;
        message.age_ms = (uint32_t)(now(watch) - report->at);
        store_client_send_member(watch->stores, member, &message);
    }
}

void crash_watch_tell_member(const crash_watch_t *watch, unsigned member) {
    GArray *reports = g_array_new(FALSE, FALSE, sizeof(crash_report_t));
    crash_history_list(watch->history, now(watch), CRASHES_TOLD_MAX, reports);
    tell_member(watch, member, MESSAGE_CRASH_KNOWN, reports);
    g_array_set_size(reports, 0);
    crash_history_list_stops(watch->history, now(watch), CRASHES_TOLD_MAX, reports);
    tell_member(watch, member, MESSAGE_REQUEST_STOPPED, reports);
    g_array_free(reports, TRUE);
}

/** Tells other gateways, with the next load report, and storage nodes, at once. */
static void report_crash(const crash_watch_t *watch, const crash_report_t *crash,
                         crash_news_t news) {
    load_sharing_report_crash(watch->sharing, crash, news);
    load_sharing_report_now(watch->sharing,
                            news == CRASH_NEAR_LIMIT ? CONTROL_PRESSING : CONTROL_CAN_WAIT);
    tell_stores(watch, MESSAGE_CRASH, crash);
}

static void free_check(uv_handle_t *handle) {
    check_t *check = handle->data;
    g_array_free(check->crashes, TRUE);
    g_free(check->instance);
    g_free(check->service);
    g_free(check);
}

static void log_check(const check_t *check, const char *outcome) {
    event_log(BACKEND_CRASH_CHECKED, check->instance, check->crashes->len, outcome,
              now(check->watch) - check->begun_at);
}

static void end_check(check_t *check) {
    if (check->client != NULL)
        http_client_close(check->client);
    g_hash_table_remove(check->watch->checks, &check->backend);
    uv_close((uv_handle_t *)&check->timer, free_check);
}

/** Longer than that after its connections broke, a process that accepts one may be a new one. */
static bool is_same_process(const check_t *check) {
    return now(check->watch) < check->begun_at + RESTART_MIN_MS;
}

static void remove_crashes(check_t *check, const char *outcome) {
    log_check(check, outcome);
    for (guint i = 0; i < check->crashes->len; i++) {
        const crash_report_t *crash = &g_array_index(check->crashes, crash_report_t, i);
        crash_history_remove(check->watch->history, crash);
    }
    end_check(check);
}

static void confirm_crashes(check_t *check, const char *outcome) {
    crash_watch_t *watch = check->watch;
    log_check(check, outcome);
    for (guint i = 0; i < check->crashes->len; i++) {
        const crash_report_t *crash = &g_array_index(check->crashes, crash_report_t, i);
        crash_history_confirm(watch->history, crash);
        report_crash(watch, crash, news_of_crash(watch, crash->request));
        log_if_stopped(watch, crash->request);
    }
    end_check(check);
}

static void conclude(check_t *check) {
    if (check->refused)
        confirm_crashes(check, "ended");
    else if (backends_mostly_unreachable(check->backends, check->service))
        remove_crashes(check, "doubtful");
    else
        confirm_crashes(check, "unreachable");
}

static void conclude_alive(check_t *check) {
    backend_t *backend = backends_find_hash(check->backends, check->backend);
    if (backend != NULL && is_same_process(check))
        backend_trust_version(backend, now(check->watch));
    remove_crashes(check, "alive");
}

static void on_closed(void *owner, http_client_t *client);

static void open_connection(check_t *check) {
    check->opened_at = now(check->watch);
    check->client = http_client_open(check->watch->loop, &check->address, on_closed, check);
    if (check->client == NULL)
        remove_crashes(check, "not_checked");
}

static void on_closed(void *owner, http_client_t *client) {
    check_t *check = owner;
    check->client = NULL;
    if (http_client_connected(client)) {
        conclude_alive(check);
        return;
    }
    check->refused |= now(check->watch) < check->opened_at + CONNECTION_REFUSED_WITHIN_MS;
    check->failures++;
    if (check->failures < FAILURES_NEEDED)
        open_connection(check);
    else
        conclude(check);
}

static void on_poll(uv_timer_t *timer) {
    check_t *check = timer->data;
    if (check->client != NULL && http_client_connected(check->client))
        conclude_alive(check);
}

static check_t *new_check(crash_watch_t *watch, const backend_t *backend) {
    check_t *check = g_new0(check_t, 1);
    check->watch = watch;
    check->backends = backend->owner;
    check->backend = backend->id_hash;
    check->instance = g_strdup(backend->record->instance);
    check->service = g_strdup(backend->record->service);
    check->address = backend->record->address;
    check->begun_at = now(watch);
    check->crashes = g_array_new(FALSE, FALSE, sizeof(crash_report_t));
    uv_timer_init(watch->loop, &check->timer);
    check->timer.data = check;
    g_hash_table_insert(watch->checks, &check->backend, check);
    return check;
}

static crash_report_t new_crash(const crash_watch_t *watch, uint64_t request,
                                const backend_t *backend) {
    return (crash_report_t){
        .request = request, .at = now(watch), .backend = (uint16_t)backend->id_hash};
}

void crash_watch_suspect(crash_watch_t *watch, uint64_t request, backend_t *backend) {
    backend_doubt_version(backend);
    crash_report_t crash = new_crash(watch, request, backend);
    if (!crash_history_add(watch->history, &crash, false))
        return;
    check_t *check = g_hash_table_lookup(watch->checks, &backend->id_hash);
    if (check != NULL) {
        g_array_append_val(check->crashes, crash);
        return;
    }
    check = new_check(watch, backend);
    g_array_append_val(check->crashes, crash);
    uv_timer_start(&check->timer, on_poll, POLL_INTERVAL_MS, POLL_INTERVAL_MS);
    open_connection(check);
}

void crash_watch_record_unreachable(crash_watch_t *watch, uint64_t request, backend_t *backend) {
    backend_doubt_version(backend);
    if (backends_mostly_unreachable(backend->owner, backend->record->service))
        return;
    crash_report_t crash = new_crash(watch, request, backend);
    if (!crash_history_add(watch->history, &crash, true))
        return;
    report_crash(watch, &crash, news_of_crash(watch, request));
    log_if_stopped(watch, request);
}

void crash_watch_record_success(crash_watch_t *watch, uint64_t request) {
    if (crash_history_count(watch->history, request, now(watch)) == 0)
        return;
    crash_report_t cleared = {.request = request, .at = now(watch), .cleared = true};
    crash_news_t news = clear_crashes(watch, &cleared);
    if (news != CRASH_KNOWN)
        report_crash(watch, &cleared, news);
}

void crash_watch_record_refused(crash_watch_t *watch, uint64_t request) {
    crash_report_t stop;
    if (crash_history_renew(watch->history, request, now(watch)) &&
        crash_history_find_stop(watch->history, request, now(watch), &stop))
        tell_stores(watch, MESSAGE_REQUEST_STOPPED, &stop);
}

unsigned crash_watch_count(const crash_watch_t *watch, uint64_t request) {
    return crash_history_count(watch->history, request, now(watch));
}

uint32_t crash_watch_wait_ms(const crash_watch_t *watch, uint64_t request) {
    return crash_history_wait_ms(watch->history, request, now(watch));
}
