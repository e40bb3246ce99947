/** Entry point of the gateway process: settings, loop, signals, graceful shutdown. */
#include "cluster/program.h"
#include "common/event.h"
#include "gateway/call.h"
#include "gateway/gateway.h"
#include "gateway/split.h"
#include "net/frame_connection.h"

#include <stdlib.h>

enum {
    STATUS_UNAVAILABLE = 503,
    MAX_STOP_CHECK_INTERVAL_MS = 100,
    STOP_CHECKS_PER_GRACE_TIME = 16, /**< At least; no phase is shorter. */
    CACHE_SHARE_PERCENT = 25,        /**< Of the process's memory, for the turn cache. */
    /**
     * Of the process's memory, for all that callers make it hold, the turn cache included. The rest
     * is for the directory, what waits unread in sockets, and what the allocator can't give back.
     */
    ACCOUNT_SHARE_PERCENT = 50,
    TRIM_SHARE_PERCENT = 10, /**< Of the memory; see memory_account_t.trim_bytes. */
    MEMORY_LOG_INTERVAL_MS = 1000,
    PERCENT = 100,
    MEGABYTE = 1024 * 1024,
};

/** In force until a configuration has been received. */
static const http_limits_t default_limits = {16384, 4 * MEGABYTE, 3000, 15000};

/** Ends what could not end before the process does; no caller is left without a response. */
static void end_calls(gateway_t *gateway, uint64_t since) {
    unsigned calls = call_end_all(gateway);
    http_listener_refuse_unfinished(gateway->calls, STATUS_UNAVAILABLE, NULL);
    if (calls > 0)
        event_log(GATEWAY_CALLS_ENDED, calls, since);
}

static void on_stop_timer(uv_timer_t *timer) {
    gateway_t *gateway = timer->data;
    const shutdown_schedule_t *schedule = &gateway->shutdown;
    uint64_t since = uv_now(gateway->loop) - gateway->stopping_since;
    bool closes_idle = since >= schedule->close_idle_ms;
    if (since >= schedule->end_calls_ms)
        end_calls(gateway, since);
    if (closes_idle) {
        http_listener_stop(gateway->calls);
        http_listener_close_idle(gateway->calls);
    }
    bool drained = closes_idle && http_listener_connections(gateway->calls) == 0;
    if (drained || since >= schedule->exit_ms) {
        http_listener_abort_unwritten(gateway->calls);
        uv_stop(gateway->loop);
    }
}

static void on_stop_signal(uv_signal_t *handle, int number) {
    gateway_t *gateway = handle->data;
    if (gateway->stopping)
        return;
    gateway->stopping = true;
    gateway->stopping_since = uv_now(gateway->loop);
    gateway->shutdown = shutdown_schedule(gateway->settings->grace_ms);
    event_log(GATEWAY_STOPPING, number, http_listener_active(gateway->calls),
              http_listener_connections(gateway->calls));
    gateway_check_ready(gateway);
    /* Responses announce the close, so that callers reconnect to another gateway. */
    http_listener_close_after_answers(gateway->calls);
    uint64_t interval_ms = CLAMP(gateway->settings->grace_ms / STOP_CHECKS_PER_GRACE_TIME, 1,
                                 MAX_STOP_CHECK_INTERVAL_MS);
    uv_timer_start(&gateway->stop_timer, on_stop_timer, interval_ms, interval_ms);
}

static bool find_relay(void *owner, struct sockaddr_in *address) {
    const gateway_t *gateway = owner;
    return load_sharing_find_relay(gateway->load_sharing, address);
}

static void on_answer(void *owner, unsigned member, const message_t *message) {
    const gateway_t *gateway = owner;
    if (message->type == RESPONSE_STREAM)
        stream_client_handle_response(gateway->streams, message);
    else if (message->type == RESPONSE_SEND)
        send_registry_handle_response(gateway->sends, message);
    else if (message->type == MESSAGE_CRASH || message->type == MESSAGE_CRASH_WITHDRAWN ||
             message->type == MESSAGE_REQUEST_STOPPED || message->type == MESSAGE_SEND_LEFT)
        crash_watch_handle_message(gateway->crashes, message);
    else
        quota_client_handle_response(gateway->quotas, member, message);
}

static void on_member_open(void *owner, unsigned member) {
    const gateway_t *gateway = owner;
    crash_watch_send_to_member(gateway->crashes, member);
}

static const store_client_handler_t store_handler = {
    gateway_update_peers,
    gateway_apply_stored_directory,
    gateway_encode_directory,
    find_relay,
    on_answer,
    gateway_on_zone_isolation,
    on_member_open,
};

static void log_memory_short(gateway_t *gateway) {
    const memory_account_t *memory = &gateway->memory;
    uint64_t now = uv_now(gateway->loop);
    if (now < gateway->memory_logged_at + MEMORY_LOG_INTERVAL_MS)
        return;
    gateway->memory_logged_at = now;
    event_log(GATEWAY_MEMORY_SHORT, (uint64_t)memory->held, (uint64_t)memory->limit,
              gateway->chains.bytes, memory->refused);
}

/** Evicts cached turns, since the account has too little memory left. */
static void shrink_cache(void *owner, size_t bytes) {
    gateway_t *gateway = owner;
    log_memory_short(gateway);
    chain_cache_shrink(&gateway->chains, bytes);
}

static bool open_gateway(gateway_t *gateway) {
    const process_settings_t *settings = gateway->settings;
    gateway->memory = (memory_account_t){
        .limit = settings->memory_megabytes * MEGABYTE * ACCOUNT_SHARE_PERCENT / PERCENT,
        .trim_bytes = settings->memory_megabytes * MEGABYTE * TRIM_SHARE_PERCENT / PERCENT,
        .reclaim = shrink_cache,
        .owner = gateway,
    };
    backends_init(&gateway->backends, gateway->loop, settings->zone, settings->name);
    gateway->load_sharing = load_sharing_open(gateway->loop, &settings->peer, &gateway->backends,
                                              &gateway_load_sharing_handler, gateway);
    if (gateway->load_sharing == NULL)
        return false;
    gateway->stores = store_client_new(gateway->loop, settings->zone, settings->peer_text,
                                       &store_handler, gateway);
    store_client_set_account(gateway->stores, &gateway->memory);
    if (settings->tolerated_zones > 0)
        gateway_watch_isolation(gateway);
    gateway->crashes =
        crash_watch_new(gateway->loop, &gateway->backends, gateway->load_sharing, gateway->stores);
    gateway->streams = stream_client_new(gateway->loop, gateway->stores);
    gateway->sends = send_registry_new(gateway->loop, gateway->stores);
    gateway->quotas = quota_client_new(gateway->loop, gateway->stores, &settings->quota);
    gateway_init_directory(gateway);
    gateway->relay =
        store_relay_open(gateway->loop, &settings->peer, gateway->stores, gateway->feed);
    if (gateway->relay == NULL)
        return false;
    store_relay_set_account(gateway->relay, &gateway->memory);
    gateway->split_state = split_state_new();
    gateway->answer_times = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    gateway->late_budget = retry_budget_new();
    stall_watch_init(&gateway->stall_watch, gateway->loop);
    chain_cache_init(&gateway->chains,
                     settings->memory_megabytes * MEGABYTE * CACHE_SHARE_PERCENT / PERCENT);
    gateway->chains.account = &gateway->memory;
    gateway->calls = http_listener_open(gateway->loop, &settings->calls, &default_limits,
                                        &call_listener_handler, gateway);
    if (gateway->calls == NULL)
        return false;
    http_listener_set_account(gateway->calls, &gateway->memory);
    return gateway_open_reports(gateway);
}

static int run(const process_settings_t *settings) {
    /* Static: what they refer to is in use until the process exits, which frees it. */
    static uv_loop_t loop;
    static gateway_t gateway;
    gateway.loop = &loop;
    gateway.settings = settings;
    uv_loop_init(&loop);
    gateway.started_at = uv_now(&loop);
    frame_loop_start(&loop);
    if (!open_gateway(&gateway)) {
        event_log(NODE_FAILED, error_name(RUDDERWAY_ERROR_SYSTEM),
                  "cannot listen on the peer, call, readiness or metrics address");
        return EXIT_FAILURE;
    }
    event_log(GATEWAY_STARTED, settings->name, settings->zone, RUDDERWAY_VERSION);
    program_signals_t signals;
    program_watch_signals(&signals, &loop, on_stop_signal, &gateway);
    uv_timer_init(&loop, &gateway.stop_timer);
    gateway.stop_timer.data = &gateway;
    gateway_watch_directory(&gateway);
    uv_run(&loop, UV_RUN_DEFAULT);
    event_log(GATEWAY_STOPPED, call_log_cut_off(&gateway), http_listener_connections(gateway.calls),
              uv_now(&loop) - gateway.stopping_since);
    return EXIT_SUCCESS;
}

int main(int argc, char **argv) {
    static const program_t program = {
        .name = "rudderway-gateway",
        .version = "rudderway-gateway " RUDDERWAY_VERSION,
        .purpose = "Rudderway's gateway: takes calls and sends them to back ends.",
        .kind = PROCESS_GATEWAY,
        .run = run,
    };
    return program_main(&program, argc, argv);
}
