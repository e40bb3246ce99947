/**
 * @file node.h
 * One node: the decision thread, its state, and how its modules reach each other.
 *
 * The decision thread owns everything in node_t except what is marked otherwise. HTTP threads
 * and pool threads hand it tasks through the mailbox; they read the configuration through
 * node_configuration, an RCU-published snapshot.
 */
#ifndef RUDDERWAY_NODE_NODE_H
#define RUDDERWAY_NODE_NODE_H

#include "common/http_client.h"
#include "common/http_server.h"
#include "core/configuration/configuration.h"
#include "core/membership/membership.h"
#include "core/retry/retry_budget.h"
#include "core/routing/routing.h"
#include "node/mailbox.h"
#include "node/metrics.h"
#include "node/peer_transport.h"
#include "node/settings.h"

typedef struct partitions partitions_t;
typedef struct entries entries_t;
typedef struct calls calls_t;
typedef struct runs runs_t;
typedef struct configuration_service configuration_service_t;
typedef struct backend_service backend_service_t;
typedef struct services services_t;
typedef struct call_answers call_answers_t;

typedef struct node {
    settings_t *settings;        /**< Constant. */
    instance_id_t instance;      /**< Constant. */
    mailbox_t *mailbox;          /**< Any thread. */
    workers_t *workers;          /**< Any thread. */
    http_client_t *client;       /**< Any thread. */
    peer_transport_t *transport; /**< Any thread. */
    http_server_t *http;
    membership_t *membership;
    partitions_t *partitions;
    entries_t *entries;
    calls_t *calls;
    runs_t *runs;
    configuration_service_t *configuration_service;
    backend_service_t *backend_service;
    services_t *services;
    call_answers_t *call_answers;
    backend_set_t *backends;
    routing_t routing;
    metrics_t metrics;
    configuration_t *configuration; /**< Published by RCU; see node_configuration. */
    int64_t now_ms;                 /**< Monotonic, at the start of the current round. */
    int64_t unix_ms;                /**< Wall clock, likewise. */
    bool stopping;
    gint stop_requested; /**< Atomic. */
    gint ready;          /**< Atomic. */
} node_t;

/** Starts a node; NULL and an error if a socket cannot be opened. */
node_t *node_start(settings_t *settings, GError **error);
/** Runs the decision thread until a planned stop is complete; returns calls cut off. */
unsigned node_run(node_t *node);
/** Asks for a planned stop. Any thread, also a signal handler's. */
void node_request_stop(node_t *node);
void node_free(node_t *node);

/** A reference to the configuration in force; any thread. */
configuration_t *node_configuration(node_t *node);
/** Puts @p configuration in force and takes ownership; decision thread. */
void node_publish_configuration(node_t *node, configuration_t *configuration);

/** Sends @p record to member @p to over TCP and takes ownership; dropped if it is not known. */
void node_send(node_t *node, instance_id_t to, peer_kind_t kind, void *record);
/** Sends the messages and handles the member changes of @p output, then clears it. */
void node_flush_membership(node_t *node, membership_output_t *output);

#endif
