/* Readiness for whoever passes connections on, and figures for operators. */
#include "gateway/gateway.h"

#include "common/event.h"
#include "gateway/call_fields.h"

#include <string.h>

enum {
    STATUS_OK = 200,
    STATUS_NOT_FOUND = 404,
    STATUS_UNAVAILABLE = 503,
    REPORT_HEADER_BYTES = 8192,
    REPORT_BODY_BYTES = 1024,
    REPORT_HEADER_MS = 3000,
    REPORT_IDLE_MS = 60000,
    STORES_AWAITED_MS = 5000, /**< A gateway without storage nodes in reach is ready after this. */
};

static const http_limits_t report_limits = {REPORT_HEADER_BYTES, REPORT_BODY_BYTES,
                                            REPORT_HEADER_MS, REPORT_IDLE_MS};

/**
 * The storage nodes count only until they were reached once: when they are lost, calls without a
 * budget can still be served, and other gateways have most likely lost them too.
 */
static bool stores_reached(gateway_t *gateway) {
    bool waited = uv_now(gateway->loop) >= gateway->started_at + STORES_AWAITED_MS;
    gateway->stores_reached =
        gateway->stores_reached || waited || store_client_connected(gateway->stores);
    return gateway->stores_reached;
}

void gateway_check_ready(gateway_t *gateway) {
    bool ready = gateway->configuration != NULL && gateway->backends_listed &&
                 stores_reached(gateway) && !gateway->stopping;
    if (ready == gateway->ready)
        return;
    gateway->ready = ready;
    event_log(GATEWAY_READY, ready ? "yes" : "no",
              gateway->configuration == NULL ? 0 : gateway->configuration->version,
              backends_count(&gateway->backends));
}

static void on_readiness(void *owner, http_caller_t *caller, const http_request_t *request) {
    gateway_t *gateway = owner;
    gateway_check_ready(gateway);
    unsigned status = gateway->ready ? STATUS_OK : STATUS_UNAVAILABLE;
    if (strcmp(request->target, call_readiness_path()) != 0)
        status = STATUS_NOT_FOUND;
    http_caller_answer(caller, status, NULL, NULL, 0);
}

static void append_figure(GString *text, const char *name, uint64_t value) {
    g_string_append_printf(text, "rudderway_%s %" G_GUINT64_FORMAT "\n", name, (guint64)value);
}

static GString *figures(const gateway_t *gateway) {
    const gateway_counters_t *counters = &gateway->counters;
    GString *text = g_string_new(NULL);
    append_figure(text, "ready", gateway->ready);
    append_figure(text, "configuration_version",
                  gateway->configuration == NULL ? 0 : gateway->configuration->version);
    append_figure(text, "backends", backends_count(&gateway->backends));
    append_figure(text, "stores_connected", store_client_connected(gateway->stores));
    append_figure(text, "calls_active", http_listener_active(gateway->calls));
    append_figure(text, "caller_connections", http_listener_connections(gateway->calls));
    append_figure(text, "backend_connections_opened", gateway->backends.connections_opened);
    append_figure(text, "chain_cache_bytes", gateway->chains.bytes);
    append_figure(text, "calls_total", counters->calls);
    append_figure(text, "calls_answered_total", counters->answered);
    append_figure(text, "calls_refused_total", counters->refused);
    append_figure(text, "calls_failed_total", counters->failed);
    append_figure(text, "callers_gone_total", counters->callers_gone);
    append_figure(text, "sends_total", counters->sends);
    append_figure(text, "sends_again_total", counters->sent_again);
    append_figure(text, "turns_kept_total", counters->turns_kept);
    append_figure(text, "turns_not_kept_total", counters->turns_not_kept);
    append_figure(text, "over_budget_total", counters->over_budget);
    append_figure(text, "chain_reads_total", counters->chain_reads);
    uint64_t sum = 0;
    for (unsigned i = 0; i < LATENCY_BUCKETS; i++) {
        sum += counters->latency[i];
        bool last = i + 1 == LATENCY_BUCKETS;
        char *bound = last ? g_strdup("+Inf") : g_strdup_printf("%u", 1U << i);
        g_string_append_printf(text, "rudderway_call_ms_bucket{le=\"%s\"} %" G_GUINT64_FORMAT "\n",
                               bound, (guint64)sum);
        g_free(bound);
    }
    return text;
}

static void on_metrics(void *owner, http_caller_t *caller, const http_request_t *request) {
    if (strcmp(request->target, "/metrics") != 0) {
        http_caller_answer(caller, STATUS_NOT_FOUND, NULL, NULL, 0);
        return;
    }
    GString *text = figures(owner);
    http_caller_answer(caller, STATUS_OK, "Content-Type: text/plain; version=0.0.4\r\n", text->str,
                       text->len);
    g_string_free(text, TRUE);
}

static void on_gone(void *owner, http_caller_t *caller) {
    (void)owner;
    (void)caller;
}

static const http_listener_handler_t readiness_handler = {on_readiness, on_gone};
static const http_listener_handler_t metrics_handler = {on_metrics, on_gone};

bool gateway_open_reports(gateway_t *gateway) {
    const process_settings_t *settings = gateway->settings;
    gateway->readiness = http_listener_open(gateway->loop, &settings->readiness, &report_limits,
                                            &readiness_handler, gateway);
    if (gateway->readiness == NULL)
        return false;
    if (settings->metrics.sin_port == 0)
        return true;
    gateway->metrics = http_listener_open(gateway->loop, &settings->metrics, &report_limits,
                                          &metrics_handler, gateway);
    return gateway->metrics != NULL;
}
