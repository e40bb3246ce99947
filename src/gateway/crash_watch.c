#include "gateway/crash_watch.h"

#include "common/event.h"
#include "core/retry/crash_exposure.h"
#include "core/retry/recent_successes.h"
#include "gateway/backend_versions.h"
#include "gateway/backend_check.h"
#include "gateway/crash_reports.h"
#include "gateway/crash_suspicions.h"
#include "gateway/left_calls.h"

enum {
    QUIET_MS = 100, /**< A back end that has sent something within this time is alive. */
    GIVEN_UP_MAX = 1024,
};

typedef struct {
    crash_report_t crash;
    bool broken;        /**< The connection broke; else the call gave its exchange up. */
    uint64_t run_until; /**< The back end may run a request that was given up until then. */
    bool counted; /**< Suspected crashes count, but for requests that have succeeded lately. */
} checked_crash_t;

/** A check of one back end, for all requests whose connections broke or were given up there. */
typedef struct {
    crash_watch_t *watch;
    backends_t *backends;
    uint64_t backend; /**< backend_t.id_hash. */
    char *instance;
    char *service;
    GArray *crashes; /**< Of checked_crash_t. */
    bool slow;       /**< There was no result for a while. */
} suspected_backend_t;

/** A request that was given up at a back end which had sent something just before. */
typedef struct {
    uint64_t request;
    uint64_t backend; /**< backend_t.id_hash. */
    uint64_t at;
    uint64_t run_until;
    bool shared;
} given_up_t;

struct crash_watch {
    uv_loop_t *loop;
    backends_t *backends;
    load_sharing_t *sharing;
    store_client_t *stores; /**< NULL: crashes are not reported to storage nodes. */
    crash_history_t *history;
    GHashTable *checks; /**< backend_t.id_hash to suspected_backend_t. */
    GQueue given_up;    /**< Of given_up_t, oldest first. */
    uv_timer_t given_up_timer;
    left_calls_t *left;
    recent_successes_t successes;
    crash_suspicions_t *suspicions;
    crash_watch_counts_t counts;
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
    left_calls_forget(watch->left, report->request);
    crash_suspicions_forget(watch->suspicions, report->request, report->at);
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
    else if (message->type == MESSAGE_CRASH_WITHDRAWN)
        crash_history_remove(watch->history, &report);
    else if (message->type == MESSAGE_SEND_LEFT)
        left_calls_handle_message(watch->left, message);
    else
        on_crash_report(watch, &report);
}

static void on_process_doubted(void *owner, backend_t *backend);
static void on_entry_gone(void *owner, backend_t *backend);
static void on_survived(void *owner, crash_report_t *crash);
static void on_ended(void *owner, const crash_report_t *crash);

static const crash_suspicions_handler_t suspicions_handler = {on_survived, on_ended};

crash_watch_t *crash_watch_new(uv_loop_t *loop, backends_t *backends, load_sharing_t *sharing,
                               store_client_t *stores) {
    crash_watch_t *watch = g_new0(crash_watch_t, 1);
    watch->backends = backends;
    watch->loop = loop;
    watch->sharing = sharing;
    watch->stores = stores;
    watch->history = crash_history_new();
    watch->checks = g_hash_table_new(g_int64_hash, g_int64_equal);
    g_queue_init(&watch->given_up);
    uv_timer_init(loop, &watch->given_up_timer);
    watch->given_up_timer.data = watch;
    watch->left = left_calls_new(loop, stores, backends->seed ^ uv_hrtime());
    backends->on_process_doubted = on_process_doubted;
    backends->on_entry_gone = on_entry_gone;
    backends->process_owner = watch;
    watch->suspicions = crash_suspicions_new(loop, backends, &suspicions_handler, watch);
    load_sharing_share_crashes(sharing, &sharing_handler, watch);
    return watch;
}

static void send_to_stores(const crash_watch_t *watch, message_type_t type,
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

static void send_crash(const crash_watch_t *watch, const crash_report_t *crash) {
    send_to_stores(watch, crash->silent ? MESSAGE_CRASH_SILENT : MESSAGE_CRASH, crash);
}

static void send_to_member(const crash_watch_t *watch, unsigned member, message_type_t type,
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

void crash_watch_send_to_member(const crash_watch_t *watch, unsigned member) {
    GArray *reports = g_array_new(FALSE, FALSE, sizeof(crash_report_t));
    crash_history_list(watch->history, now(watch), CRASHES_SENT_MAX, reports);
    send_to_member(watch, member, MESSAGE_CRASH_KNOWN, reports);
    g_array_set_size(reports, 0);
    crash_history_list_stops(watch->history, now(watch), CRASHES_SENT_MAX, reports);
    send_to_member(watch, member, MESSAGE_REQUEST_STOPPED, reports);
    g_array_free(reports, TRUE);
    left_calls_send_to_member(watch->left, member);
}

static void report_to_gateways(const crash_watch_t *watch, const crash_report_t *crash,
                               crash_news_t news) {
    load_sharing_report_crash(watch->sharing, crash, news);
    load_sharing_report_now(watch->sharing,
                            news == CRASH_NEAR_LIMIT ? CONTROL_PRESSING : CONTROL_CAN_WAIT);
}

/** Reports to other gateways, with the next load report, and to storage nodes, at once. */
static void report_crash(const crash_watch_t *watch, const crash_report_t *crash,
                         crash_news_t news) {
    report_to_gateways(watch, crash, news);
    send_crash(watch, crash);
}

static void end_check(suspected_backend_t *check) {
    g_hash_table_remove(check->watch->checks, &check->backend);
    g_array_free(check->crashes, TRUE);
    g_free(check->instance);
    g_free(check->service);
    g_free(check);
}

/** Storage nodes know a broken connection at once, and a silent back end once its check is slow. */
static bool is_sent(const suspected_backend_t *check, const checked_crash_t *checked) {
    return checked->counted && (checked->broken || check->slow);
}

static void withdraw_crash(const crash_watch_t *watch, crash_report_t *crash, bool sent) {
    left_calls_trust(watch->left, crash->request, crash->backend);
    if (crash_history_remove(watch->history, crash) && sent)
        send_to_stores(watch, MESSAGE_CRASH_WITHDRAWN, crash);
}

static void confirm_crash(const crash_watch_t *watch, const crash_report_t *crash, bool sent) {
    crash_news_t news = news_of_crash(watch, crash->request);
    crash_history_confirm(watch->history, crash);
    left_calls_remove(watch->left, crash->request, crash->backend);
    if (sent)
        report_to_gateways(watch, crash, news);
    else
        report_crash(watch, crash, news);
    log_if_stopped(watch, crash->request);
}

/* Suspicions: the back end accepts connections, which does not show that its process lives. */

static void on_survived(void *owner, crash_report_t *crash) {
    withdraw_crash(owner, crash, true);
}

static void on_ended(void *owner, const crash_report_t *crash) {
    confirm_crash(owner, crash, true);
}

static void keep_suspicion(const crash_watch_t *watch, const crash_report_t *crash,
                           uint64_t backend, uint64_t since) {
    crash_suspicions_keep(watch->suspicions, crash, backend, since);
    log_if_stopped(watch, crash->request);
}

/* Checks. */

/** The caller may come back elsewhere before there is a result. */
static void on_slow_check(void *owner) {
    suspected_backend_t *check = owner;
    check->slow = true;
    for (guint i = 0; i < check->crashes->len; i++) {
        const checked_crash_t *checked = &g_array_index(check->crashes, checked_crash_t, i);
        if (checked->counted && !checked->broken)
            send_crash(check->watch, &checked->crash);
    }
}

/** One more end under the request stops it. */
static bool is_near_limit(const crash_watch_t *watch, uint64_t request) {
    return crash_history_count(watch->history, request, now(watch)) >= CRASHES_NEAR_MAX;
}

/**
 * The back end that was left accepts connections. A request near its limit counts it until it can't
 * run the request any more, so that it runs at one back end at a time.
 */
static void handle_left_accepting(const suspected_backend_t *check, checked_crash_t *checked) {
    crash_watch_t *watch = check->watch;
    if (crash_history_count(watch->history, checked->crash.request, now(watch)) < CRASHES_MAX) {
        withdraw_crash(watch, &checked->crash, is_sent(check, checked));
        return;
    }
    if (!is_sent(check, checked))
        send_crash(watch, &checked->crash);
    keep_suspicion(watch, &checked->crash, check->backend, checked->run_until);
}

static void handle_result(const suspected_backend_t *check, checked_crash_t *checked,
                          backend_check_result_t result) {
    crash_watch_t *watch = check->watch;
    crash_report_t *crash = &checked->crash;
    if (result == BACKEND_CHECK_ENDED || result == BACKEND_CHECK_UNREACHABLE) {
        if (checked->counted || crash_history_add(watch->history, crash, true))
            confirm_crash(watch, crash, is_sent(check, checked));
    } else if (!checked->counted) {
        left_calls_trust(watch->left, crash->request, crash->backend);
    } else {
        if (result == BACKEND_CHECK_DOUBTFUL)
            withdraw_crash(watch, crash, is_sent(check, checked));
        else if (checked->broken)
            keep_suspicion(watch, crash, check->backend, crash->at);
        else
            handle_left_accepting(check, checked);
    }
}

static void on_check_result(void *owner, backend_check_result_t result, uint64_t ms) {
    static const char *const names[] = {"accepts", "ended", "unreachable", "doubtful"};
    suspected_backend_t *check = owner;
    if (result == BACKEND_CHECK_UNREACHABLE &&
        backends_mostly_unreachable(check->backends, check->service))
        result = BACKEND_CHECK_DOUBTFUL;
    event_log(BACKEND_CRASH_CHECKED, check->instance, check->crashes->len, names[result], ms);
    for (guint i = 0; i < check->crashes->len; i++)
        handle_result(check, &g_array_index(check->crashes, checked_crash_t, i), result);
    end_check(check);
}

static const backend_check_handler_t check_handler = {on_slow_check, on_check_result};

static suspected_backend_t *new_check(crash_watch_t *watch, const backend_t *backend) {
    suspected_backend_t *check = g_new0(suspected_backend_t, 1);
    check->watch = watch;
    check->backends = backend->owner;
    check->backend = backend->id_hash;
    check->instance = g_strdup(backend->record->instance);
    check->service = g_strdup(backend->record->service);
    check->crashes = g_array_new(FALSE, FALSE, sizeof(checked_crash_t));
    g_hash_table_insert(watch->checks, &check->backend, check);
    return check;
}

static crash_report_t new_crash(const crash_watch_t *watch, uint64_t request,
                                const backend_t *backend, bool silent) {
    return (crash_report_t){.request = request,
                            .at = now(watch),
                            .backend = (uint16_t)backend->id_hash,
                            .silent = silent};
}

static bool add_suspected(const crash_watch_t *watch, checked_crash_t *checked) {
    return checked->broken ? crash_history_add(watch->history, &checked->crash, false)
                           : crash_history_add_left(watch->history, &checked->crash);
}

/**
 * Checks whether the back end has ended under the request; @p counted: it counts as a crash
 * meanwhile.
 */
static void check_crash(crash_watch_t *watch, uint64_t request, const backend_t *backend,
                        bool silent, uint64_t run_until, bool counted) {
    checked_crash_t checked = {
        .crash = new_crash(watch, request, backend, silent),
        .broken = run_until == 0,
        .run_until = run_until,
        .counted = counted && !recent_successes_contain(&watch->successes, request, now(watch)),
    };
    if (checked.counted && !add_suspected(watch, &checked)) {
        if (crash_history_is_confirmed(watch->history, &checked.crash))
            left_calls_remove(watch->left, request, (uint16_t)backend->id_hash);
        return;
    }
    suspected_backend_t *check = g_hash_table_lookup(watch->checks, &backend->id_hash);
    bool begins = check == NULL;
    if (begins)
        check = new_check(watch, backend);
    g_array_append_val(check->crashes, checked);
    if (is_sent(check, &checked))
        send_crash(watch, &checked.crash);
    if (!begins)
        return;
    watch->counts.checks++;
    backend_check_begin(backend, &check_handler, check);
}

void crash_watch_suspect(crash_watch_t *watch, uint64_t request, backend_t *backend, bool shared) {
    backend_doubt_version(backend, now(watch));
    check_crash(watch, request, backend, shared, 0, true);
}

/** What calls have left there may have caused an end. */
static void on_process_doubted(void *owner, backend_t *backend) {
    crash_watch_t *watch = owner;
    GArray *left = g_array_new(FALSE, FALSE, sizeof(left_send_t));
    left_calls_doubt(watch->left, backend->id_hash, left);
    for (guint i = 0; i < left->len; i++) {
        const left_send_t *send = &g_array_index(left, left_send_t, i);
        event_log(BACKEND_LEFT_SEND_SUSPECTED, send->request, backend->record->instance,
                  now(watch) - send->left_at);
        if (!crash_suspicions_renew(watch->suspicions, send->request, send->backend))
            check_crash(watch, send->request, backend, true, 0, true);
    }
    g_array_free(left, TRUE);
}

/**
 * What calls have left there is checked, without the call: some back ends serve on without an
 * entry.
 */
static void on_entry_gone(void *owner, backend_t *backend) {
    crash_watch_t *watch = owner;
    GArray *left = g_array_new(FALSE, FALSE, sizeof(left_send_t));
    left_calls_list_backend(watch->left, backend->id_hash, left);
    for (guint i = 0; i < left->len; i++) {
        const left_send_t *send = &g_array_index(left, left_send_t, i);
        if (crash_history_knows(watch->history, send->request, (uint16_t)send->backend,
                                send->left_at, now(watch)))
            continue;
        event_log(BACKEND_LEFT_SEND_SUSPECTED, send->request, backend->record->instance,
                  now(watch) - send->left_at);
        check_crash(watch, send->request, backend, true, send->until + LEFT_SEND_MARGIN_MS, true);
    }
    g_array_free(left, TRUE);
}

/** The call left the back end, which is silent. */
static void check_left(crash_watch_t *watch, const backend_t *backend, const given_up_t *left) {
    bool counted =
        !left->shared || crash_history_count_ended(watch->history, left->request, now(watch)) > 0;
    check_crash(watch, left->request, backend, true, left->run_until, counted);
}

static void on_given_up_timer(uv_timer_t *timer) {
    crash_watch_t *watch = timer->data;
    given_up_t *given_up;
    while ((given_up = g_queue_peek_head(&watch->given_up)) != NULL &&
           now(watch) >= given_up->at + QUIET_MS) {
        const backend_t *backend = backends_find_hash(watch->backends, given_up->backend);
        if (backend != NULL && backend->observed.last_received_at <= given_up->at)
            check_left(watch, backend, given_up);
        g_queue_pop_head(&watch->given_up);
        g_free(given_up);
    }
    if (given_up != NULL)
        uv_timer_start(timer, on_given_up_timer, given_up->at + QUIET_MS - now(watch), 0);
}

void crash_watch_give_up(crash_watch_t *watch, uint64_t request, const backend_t *backend,
                         uint64_t run_ms, bool shared) {
    const given_up_t left = {request, backend->id_hash, now(watch),
                             now(watch) + run_ms + LEFT_SEND_MARGIN_MS, shared};
    watch->counts.given_up++;
    left_calls_add(watch->left, request, backend->id_hash, run_ms);
    bool quiet = now(watch) >= backend->observed.last_received_at + QUIET_MS;
    if (quiet || is_near_limit(watch, request)) {
        check_left(watch, backend, &left);
        return;
    }
    if (g_queue_get_length(&watch->given_up) >= GIVEN_UP_MAX)
        return;
    given_up_t *given_up = g_new0(given_up_t, 1);
    *given_up = left;
    g_queue_push_tail(&watch->given_up, given_up);
    if (!uv_is_active((uv_handle_t *)&watch->given_up_timer))
        uv_timer_start(&watch->given_up_timer, on_given_up_timer, QUIET_MS, 0);
}

const crash_watch_counts_t *crash_watch_counts(const crash_watch_t *watch) {
    return &watch->counts;
}

void crash_watch_record_unreachable(crash_watch_t *watch, uint64_t request, backend_t *backend) {
    backend_doubt_version(backend, 0);
    if (backends_mostly_unreachable(backend->owner, backend->record->service))
        return;
    crash_report_t crash = new_crash(watch, request, backend, true);
    if (!crash_history_add(watch->history, &crash, true))
        return;
    report_crash(watch, &crash, news_of_crash(watch, request));
    log_if_stopped(watch, request);
}

void crash_watch_record_success(crash_watch_t *watch, uint64_t request) {
    recent_successes_add(&watch->successes, request, now(watch));
    left_calls_forget(watch->left, request);
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
        send_to_stores(watch, MESSAGE_REQUEST_STOPPED, &stop);
}

unsigned crash_watch_count(const crash_watch_t *watch, uint64_t request) {
    return crash_history_count(watch->history, request, now(watch));
}

/** Describes the request's exposure; crash_exposure_t.left is to be freed. */
static crash_exposure_t describe_exposure(const crash_watch_t *watch, uint64_t request) {
    GArray *left = g_array_new(FALSE, FALSE, sizeof(left_send_t));
    left_calls_list(watch->left, request, left);
    return (crash_exposure_t){watch->history, request, left, now(watch)};
}

static void free_exposure(crash_exposure_t *exposure) {
    g_array_free((GArray *)exposure->left, TRUE);
}

unsigned crash_watch_exposure(const crash_watch_t *watch, uint64_t request,
                              const backend_t *except) {
    if (crash_watch_count(watch, request) == 0)
        return 0;
    crash_exposure_t exposure = describe_exposure(watch, request);
    unsigned count = crash_exposure_count(&exposure, except != NULL ? except->id_hash : 0);
    free_exposure(&exposure);
    return count;
}

uint32_t crash_watch_wait_ms(const crash_watch_t *watch, uint64_t request) {
    crash_exposure_t exposure = describe_exposure(watch, request);
    uint32_t wait_ms = crash_exposure_wait_ms(&exposure);
    free_exposure(&exposure);
    uint64_t settled_at;
    unsigned suspected = crash_suspicions_count(watch->suspicions, request, &settled_at);
    unsigned count = crash_history_count(watch->history, request, now(watch));
    if (wait_ms == 0 || suspected == 0 || count < CRASHES_MAX || count - suspected >= CRASHES_MAX)
        return wait_ms;
    return (uint32_t)MIN(wait_ms, settled_at - now(watch));
}
