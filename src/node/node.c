#include "node/node.h"

#include "common/event.h"
#include "node/admin_api.h"
#include "node/caller_api.h"
#include "node/decision.h"
#include "node/entries.h"

#include <unistd.h>
#include <urcu-bp.h>

enum {
    TICK_US = 10 * 1000,
    MICROSECONDS_PER_MILLISECOND = 1000,
    MILLISECONDS_PER_SECOND = 1000,
    INSTANCE_RANDOM_BITS = 20,
    LAST_ANSWERS_MS = 500, /**< Of the longest stop, for answers to the calls that are left. */
};

/** Grows with the start time, so a later instance of a name is known to be the later one. */
static instance_id_t new_instance(void) {
    uint64_t random = 0;
    if (getentropy(&random, sizeof random) != 0)
        random = (uint64_t)getpid();
    uint64_t time_ms = (uint64_t)(g_get_real_time() / MICROSECONDS_PER_MILLISECOND);
    return time_ms << INSTANCE_RANDOM_BITS | (random & ((1U << INSTANCE_RANDOM_BITS) - 1));
}

static void update_time(node_t *node) {
    node->now_ms = g_get_monotonic_time() / MICROSECONDS_PER_MILLISECOND;
    node->unix_ms = g_get_real_time() / MICROSECONDS_PER_MILLISECOND;
}

static void take_message(void *context, void *data) {
    node_handle_message(context, data);
}

/** On the transport's thread: a message for an earlier instance of this node is dropped. */
static void on_peer_message(void *context, peer_message_t *message) {
    node_t *node = context;
    if (message->to == 0 || message->to == node->instance)
        mailbox_post(node->mailbox, take_message, message);
    else
        peer_message_free(message);
}

static void on_http_request(void *context, http_request_t *request) {
    node_t *node = context;
    if (g_str_has_prefix(http_request_path(request), "/v1/"))
        caller_api_handle(node, request);
    else
        admin_api_handle(node, request);
}

/* --- Start -------------------------------------------------------------------------------- */

static bool open_sockets(node_t *node, GError **error) {
    const settings_t *settings = node->settings;
    peer_transport_options_t peer = {.address = settings->peer.address,
                                     .port = (uint16_t)settings->peer.port,
                                     .key = settings->cluster_key};
    http_server_options_t http = {.address = settings->http.address,
                                  .port = (uint16_t)settings->http.port,
                                  .threads = settings->http_threads,
                                  .connections_maximum = settings->connections,
                                  .body_maximum = settings->body_bytes,
                                  .idle_seconds = settings->idle_seconds};
    node->transport = peer_transport_start(&peer, on_peer_message, node, error);
    if (node->transport == NULL)
        return false;
    node->http = http_server_start(&http, on_http_request, node, error);
    return node->http != NULL;
}

static bool write_ports(const node_t *node, GError **error) {
    if (*node->settings->port_file == '\0')
        return true;
    char *text = g_strdup_printf("%u %u\n", http_server_port(node->http),
                                 peer_transport_port(node->transport));
    bool written = g_file_set_contents(node->settings->port_file, text, -1, error);
    g_free(text);
    return written;
}

node_t *node_start(settings_t *settings, GError **error) {
    node_t *node = node_new(settings, new_instance());
    node->client = http_client_new();
    update_time(node);
    if (!open_sockets(node, error))
        return NULL;
    node_join(node, peer_transport_port(node->transport), http_server_port(node->http));
    if (!write_ports(node, error))
        return NULL;
    char *http = g_strdup_printf("%s:%u", settings->http.address, http_server_port(node->http));
    char *peer =
        g_strdup_printf("%s:%u", settings->peer.address, peer_transport_port(node->transport));
    event_log(NODE_STARTED, settings->name, settings->zone, http, peer, RUDDERWAY_VERSION);
    g_free(http);
    g_free(peer);
    return node;
}

/* --- Run ---------------------------------------------------------------------------------- */

static void run_round(node_t *node, bootstrap_t *bootstrap, int64_t *next_tick_us) {
    int64_t now_us = g_get_monotonic_time();
    if (now_us < *next_tick_us)
        mailbox_run(node->mailbox, *next_tick_us - now_us);
    update_time(node);
    if (g_get_monotonic_time() < *next_tick_us)
        return;
    *next_tick_us = g_get_monotonic_time() + TICK_US;
    node_tick(node, bootstrap);
}

unsigned node_run(node_t *node) {
    bootstrap_t *bootstrap = bootstrap_new();
    int64_t next_tick_us = 0;
    int64_t stop_started_ms = 0;
    unsigned ended = 0;
    int64_t longest_ms = (int64_t)node->settings->stop_seconds * MILLISECONDS_PER_SECOND;
    for (;;) {
        run_round(node, bootstrap, &next_tick_us);
        if (!g_atomic_int_get(&node->stop_requested))
            continue;
        if (!node->stopping) {
            stop_started_ms = node->now_ms;
            node_begin_stop(node);
        }
        if (node->now_ms - stop_started_ms > longest_ms - LAST_ANSWERS_MS)
            ended += entries_end(node);
        bool too_long = node->now_ms - stop_started_ms > longest_ms;
        if (too_long || (node_stop_is_complete(node, stop_started_ms) &&
                         http_server_in_flight(node->http) == 0))
            break;
    }
    http_server_quiesce(node->http);
    bootstrap_free(bootstrap);
    unsigned cut_off = ended + node_work_left(node) + http_server_in_flight(node->http);
    event_log(NODE_STOPPED, cut_off);
    return cut_off;
}

void node_free(node_t *node) {
    workers_stop(node->workers);
    mailbox_drain(node->mailbox);
    http_server_stop(node->http);
    peer_transport_stop(node->transport);
    mailbox_drain(node->mailbox);
    http_client_free(node->client);
    node_release(node);
    rcu_barrier();
}
