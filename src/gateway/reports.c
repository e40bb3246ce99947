/* Readiness endpoint for load balancers, and metrics for operators. */
#include "gateway/gateway.h"

#include "common/event.h"
#include "gateway/backend_speeds.h"
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
    REPORT_CONNECTIONS = 64,
    ISOLATED_AFTER_MS = 200,
    STORES_WAIT_MS = 5000, /**< After this, a gateway that reaches no storage nodes can be ready. */
};

static const http_limits_t report_limits = {REPORT_HEADER_BYTES, REPORT_BODY_BYTES,
                                            REPORT_HEADER_MS, REPORT_IDLE_MS};

/**
 * True once storage nodes were reached or awaited long enough. Losing them later does not by itself
 * make the gateway unready: calls without a budget can still be served, and other gateways have
 * most likely lost them too.
 */
static bool stores_reached(gateway_t *gateway) {
    bool waited = uv_now(gateway->loop) >= gateway->started_at + STORES_WAIT_MS;
    gateway->stores_reached =
        gateway->stores_reached || waited || store_client_connected(gateway->stores);
    return gateway->stores_reached;
}

/** Records when the quorum of storage nodes was lost, and then checks the key-value service. */
static void update_store_state(gateway_t *gateway) {
    if (store_client_connected(gateway->stores)) {
        gateway->stores_unreachable_since = 0;
        return;
    }
    if (gateway->stores_unreachable_since > 0 || !gateway->stores_reached)
        return;
    gateway->stores_unreachable_since = uv_now(gateway->loop);
    if (gateway->watch != NULL)
        key_value_watch_renew(gateway->watch);
}

bool gateway_isolated(const gateway_t *gateway) {
    if (gateway->zone_isolated_since > 0)
        return true;
    bool lost = gateway->stores_unreachable_since > 0 &&
                uv_now(gateway->loop) >= gateway->stores_unreachable_since + ISOLATED_AFTER_MS;
    return lost && (gateway->peers_reach_stores || !gateway->key_value_reachable);
}

void gateway_check_ready(gateway_t *gateway) {
    update_store_state(gateway);
    bool ready = gateway->configuration != NULL && gateway->backends_listed &&
                 stores_reached(gateway) && !gateway->stopping && !gateway_isolated(gateway);
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
    if (strcmp(request->target, readiness_check_path()) != 0)
        status = STATUS_NOT_FOUND;
    http_caller_answer(caller, status, NULL, NULL, 0);
}

static const char *const kind_labels[GATEWAY_CALL_KINDS] = {
    "kind=\"repeatable\"",
    "kind=\"at_most_once\"",
    "kind=\"stream\"",
};

/** Age of the view of the key-value service, and for how long it is known to lack a change. */
static void append_directory_metrics(const gateway_t *gateway, GString *text) {
    uint64_t behind_since = gateway->watch_state.behind_since;
    metrics_append(text, "directory_revision", gateway->snapshot.revision);
    metrics_append(text, "directory_age_ms", gateway_directory_age(gateway));
    metrics_append(text, "directory_behind_ms",
                   behind_since == 0 ? 0 : uv_now(gateway->loop) - behind_since);
    metrics_append(text, "directory_on_duty", gateway->renewing);
    metrics_append(text, "directory_follows", directory_follow_current(gateway->follow));
    metrics_append(text, "directory_followers", directory_feed_followers(gateway->feed));
}

static void append_control_metrics(const gateway_t *gateway, GString *text) {
    const control_counts_t *counts = load_sharing_counts(gateway->load_sharing);
    metrics_append(text, "control_datagrams_total", counts->datagrams);
    metrics_append(text, "control_bytes_total", counts->bytes);
    metrics_append(text, "control_urgent_reports_total", counts->urgent_reports);
    metrics_append(text, "crashes_sent_total", counts->crashes_sent);
    metrics_append(text, "crashes_found_total", counts->crashes_found);
    metrics_append(text, "crashes_passed_on_total", counts->crashes_passed);
    metrics_append(text, "crash_lists_total", counts->crash_lists);
    metrics_append(text, "control_reports_deferred_total", counts->deferred);
    metrics_append(text, "control_crashes_held_total", counts->crashes_held);
}

static void append_crash_metrics(const gateway_t *gateway, GString *text) {
    const crash_watch_counts_t *counts = crash_watch_counts(gateway->crashes);
    metrics_append(text, "exchanges_given_up_total", counts->given_up);
    metrics_append(text, "crash_checks_total", counts->checks);
}

static void append_speed_metrics(gateway_t *gateway, GString *text) {
    backend_speed_counts_t counts = backend_speeds_count(&gateway->backends);
    metrics_append(text, "backends_measured", counts.measured);
    metrics_append(text, "backends_slow", counts.slow);
    metrics_append(text, "backends_fast", counts.fast);
}

static void append_metrics(void *owner, GString *text) {
    gateway_t *gateway = owner;
    const gateway_counters_t *counters = &gateway->counters;
    metrics_append(text, "ready", gateway->ready);
    metrics_append(text, "configuration_version",
                   gateway->configuration == NULL ? 0 : gateway->configuration->version);
    append_directory_metrics(gateway, text);
    append_control_metrics(gateway, text);
    append_crash_metrics(gateway, text);
    metrics_append(text, "backends", backends_count(&gateway->backends));
    append_speed_metrics(gateway, text);
    metrics_append(text, "stores_connected", store_client_connected(gateway->stores));
    metrics_append(text, "zone_cut", gateway->zone_isolated_since > 0);
    metrics_append(text, "store_relays", store_relay_count(gateway->relay));
    metrics_append(text, "calls_active", http_listener_active(gateway->calls));
    metrics_append(text, "caller_connections", http_listener_connections(gateway->calls));
    metrics_append(text, "backend_connections_opened", gateway->backends.connections_opened);
    metrics_append(text, "chain_cache_bytes", gateway->chains.bytes);
    metrics_append(text, "memory_held_bytes", gateway->memory.held);
    metrics_append(text, "memory_refusals_total", gateway->memory.refused);
    metrics_append(text, "calls_total", counters->calls);
    metrics_append(text, "calls_answered_total", counters->answered);
    metrics_append(text, "calls_refused_total", counters->refused);
    metrics_append(text, "calls_failed_total", counters->failed);
    metrics_append(text, "callers_gone_total", counters->callers_gone);
    metrics_append(text, "callers_input_ended_total", counters->callers_input_ended);
    metrics_append(text, "sends_total", counters->sends);
    metrics_append(text, "sends_again_total", counters->sent_again);
    metrics_append(text, "sends_same_total", counters->sent_same);
    metrics_append(text, "turns_kept_total", counters->turns_kept);
    metrics_append(text, "turns_not_kept_total", counters->turns_not_kept);
    metrics_append(text, "over_budget_total", counters->over_budget);
    metrics_append(text, "directory_entries_rejected_total", counters->entries_rejected);
    metrics_append(text, "over_quota_total", counters->over_quota);
    metrics_append(text, "calls_refused_zone_cut_total", counters->refused_zone_cut);
    metrics_append(text, "calls_stopped_total", counters->stopped);
    metrics_append(text, "programs_not_begun_total", counters->programs_not_begun);
    metrics_append(text, "begun_over_quota_total", counters->begun_over_quota);
    metrics_append(text, "quota_requests_total", quota_client_request_count(gateway->quotas));
    metrics_append(text, "chain_reads_total", counters->chain_reads);
    metrics_append(text, "engine_turns_new_total", counters->engines_new);
    metrics_append(text, "engine_turns_kept_total", counters->engines_kept);
    metrics_append(text, "engine_turns_moved_total", counters->engines_moved);
    metrics_append(text, "engine_turns_full_total", counters->engines_full);
    metrics_append(text, "engine_turns_refused_total", counters->engines_refused);
    metrics_append(text, "log_lines_left_out_total", event_lines_left_out());
    for (unsigned kind = 0; kind < GATEWAY_CALL_KINDS; kind++)
        latency_histogram_append(&counters->latency[kind], "rudderway_call_ms", kind_labels[kind],
                                 text);
}

static void on_caller_disconnected(void *owner, http_caller_t *caller) {
    (void)owner;
    (void)caller;
}

static const http_listener_handler_t readiness_handler = {on_readiness, on_caller_disconnected,
                                                          NULL, NULL};

bool gateway_open_reports(gateway_t *gateway) {
    const process_settings_t *settings = gateway->settings;
    gateway->readiness = http_listener_open(gateway->loop, &settings->readiness, &report_limits,
                                            &readiness_handler, gateway);
    if (gateway->readiness == NULL)
        return false;
    http_listener_set_account(gateway->readiness, &gateway->memory);
    http_listener_set_connections(gateway->readiness, REPORT_CONNECTIONS);
    return metrics_page_open(&gateway->metrics, gateway->loop, settings, append_metrics, gateway);
}
