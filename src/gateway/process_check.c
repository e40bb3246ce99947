#include "gateway/process_check.h"

#include "common/event.h"
#include "gateway/backend_versions.h"

enum {
    ATTEMPT_MS = 300,              /**< From one attempt to the next; a report takes a few ms. */
    RESTART_MIN_MS = 100,          /**< A process takes longer to end, start again and answer. */
    REPORT_MAX_BYTES = 256 * 1024, /**< A report is a few hundred bytes, and some for each run. */
    STATUS_OK = 200,
};

typedef struct process_check process_check_t;

typedef enum { PROCESS_SAME, PROCESS_OTHER, PROCESS_UNKNOWN } process_result_t;

struct process_check {
    backend_t *backend;
    http_client_t *client; /**< NULL: no attempt is under way. */
    GString *report;
    bool sound; /**< The answer to the attempt is a report so far. */
    unsigned attempts;
    uint64_t asked_at;
    uv_timer_t timer;
};

static void free_check(uv_handle_t *handle) {
    process_check_t *check = handle->data;
    g_string_free(check->report, TRUE);
    g_free(check);
}

void process_check_stop(backend_t *backend) {
    process_check_t *check = backend->process_check;
    if (check == NULL)
        return;
    backend->process_check = NULL;
    if (check->client != NULL)
        http_client_close(check->client);
    uv_close((uv_handle_t *)&check->timer, free_check);
}

static void end_check(process_check_t *check, process_result_t result) {
    static const char *const names[] = {"same", "other", "unknown"};
    backend_t *backend = check->backend;
    uint64_t asked_at = check->asked_at;
    event_log(BACKEND_PROCESS_CHECKED, backend->record->instance, names[result],
              uv_now(backend->loop) - asked_at);
    process_check_stop(backend);
    if (result != PROCESS_SAME)
        return;
    backend_trust_version(backend, asked_at);
    /* It may have been put in doubt again meanwhile. */
    process_check_begin(backend);
}

/** True if no other process can have started at its address yet. */
static bool is_too_soon_for_another(const backend_t *backend) {
    return uv_now(backend->loop) < backend->replaced_from + RESTART_MIN_MS;
}

static process_result_t compare(const process_check_t *check) {
    const backend_t *backend = check->backend;
    backend_record_t reported = {.born = 0};
    if (!backend_report_read(check->report->str, check->report->len, &reported.born))
        return PROCESS_UNKNOWN;
    if (reported.born == 0 || backend->record->born == 0)
        return is_too_soon_for_another(backend) ? PROCESS_SAME : PROCESS_UNKNOWN;
    return backend_record_life(&reported) == backend_record_life(backend->record) ? PROCESS_SAME
                                                                                  : PROCESS_OTHER;
}

static bool on_head(void *user, const http_answer_head_t *head) {
    process_check_t *check = user;
    check->sound = head->status == STATUS_OK;
    if (!check->sound)
        check->client = NULL;
    return check->sound;
}

static void on_body(void *user, const char *data, size_t length) {
    process_check_t *check = user;
    check->sound &= check->report->len + length <= REPORT_MAX_BYTES;
    if (check->sound)
        g_string_append_len(check->report, data, (gssize)length);
}

static void on_complete(void *user) {
    process_check_t *check = user;
    http_client_t *client = check->client;
    check->client = NULL;
    backend_return_connection(check->backend, client);
    process_result_t result = check->sound ? compare(check) : PROCESS_UNKNOWN;
    if (result != PROCESS_UNKNOWN)
        end_check(check, result);
}

static void on_failed(void *user, http_failure_t failure) {
    process_check_t *check = user;
    (void)failure;
    check->client = NULL;
}

static const http_exchange_handler_t exchange_handler = {on_head, on_body, on_complete, on_failed};

static void ask(process_check_t *check) {
    backend_t *backend = check->backend;
    check->attempts++;
    check->asked_at = uv_now(backend->loop);
    check->sound = false;
    g_string_truncate(check->report, 0);
    check->client = backend_connect(backend->owner, backend);
    if (check->client == NULL)
        return;
    GString *request = g_string_new(NULL);
    g_string_printf(request, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", backend_report_path(),
                    backend->record->instance);
    http_client_send(check->client, request, false, &exchange_handler, check);
}

/** True if an answer now may show which process serves. */
static bool may_tell(const backend_t *backend) {
    return backend->record->born > 0 || is_too_soon_for_another(backend);
}

static void on_timer(uv_timer_t *timer) {
    process_check_t *check = timer->data;
    if (check->client != NULL)
        http_client_close(check->client);
    check->client = NULL;
    if (check->attempts < PROCESS_CHECK_ATTEMPTS && may_tell(check->backend))
        ask(check);
    else
        end_check(check, PROCESS_UNKNOWN);
}

void process_check_begin(backend_t *backend) {
    bool wanted = may_tell(backend) && !backend->removed && backend->process_check == NULL &&
                  !backend_version_certain(backend);
    if (!wanted)
        return;
    process_check_t *check = g_new0(process_check_t, 1);
    check->backend = backend;
    check->report = g_string_new(NULL);
    uv_timer_init(backend->loop, &check->timer);
    check->timer.data = check;
    uv_timer_start(&check->timer, on_timer, ATTEMPT_MS, ATTEMPT_MS);
    backend->process_check = check;
    ask(check);
}
