#include "node/decision.h"

#include "common/event.h"
#include "node/backend_service.h"
#include "node/call_answers.h"
#include "node/calls.h"
#include "node/configuration_service.h"
#include "node/entries.h"
#include "node/partitions.h"
#include "node/runs.h"
#include "node/services.h"

#include <string.h>
#include <urcu-bp.h>

enum {
    LINGER_MS = 300, /**< Before the listening socket closes: clients may still be connecting. */
};

/* --- Configuration in force --------------------------------------------------------------- */

configuration_t *node_configuration(node_t *node) {
    rcu_read_lock();
    configuration_t *configuration = configuration_ref(rcu_dereference(node->configuration));
    rcu_read_unlock();
    return configuration;
}

/** A configuration that is out of force, until no reader holds a bare pointer to it. */
typedef struct {
    struct rcu_head head;
    configuration_t *configuration;
} retired_t;

static void free_retired(struct rcu_head *head) {
    retired_t *retired = caa_container_of(head, retired_t, head);
    configuration_unref(retired->configuration);
    g_free(retired);
}

void node_publish_configuration(node_t *node, configuration_t *configuration) {
    retired_t *retired = g_new0(retired_t, 1);
    retired->configuration = rcu_xchg_pointer(&node->configuration, configuration);
    call_rcu(&retired->head, free_retired);
}

/* --- Messages ----------------------------------------------------------------------------- */

void node_send(node_t *node, instance_id_t to, peer_kind_t kind, void *record) {
    peer_message_t *message = peer_message_new(kind, record);
    const member_t *member = membership_find(node->membership, to);
    message->from = node->instance;
    message->to = to;
    if (member != NULL)
        peer_transport_send(node->transport, member->address, member->peer_port, message, false);
    peer_message_free(message);
}

static void handle_change(node_t *node, const member_t *member) {
    if (member->state == MEMBER_DEAD)
        event_log(MEMBER_DEAD, member->name, member->instance);
    else if (member->state == MEMBER_SUSPECT)
        event_log(MEMBER_SUSPECTED, member->name, member->instance);
    else if (member->leaving)
        event_log(MEMBER_LEAVING, member->name, member->instance);
    else
        event_log(MEMBER_ALIVE, member->name, member->instance, member->zone);
    partitions_member_changed(node, member);
}

void node_flush_membership(node_t *node, membership_output_t *output) {
    for (guint i = 0; i < output->messages->len; i++) {
        membership_message_t *record = g_ptr_array_index(output->messages, i);
        peer_message_t message = {.kind = PEER_MEMBERSHIP, .from = node->instance};
        message.membership = record;
        peer_transport_send(node->transport, record->address, record->port, &message,
                            !record->reliable);
    }
    for (guint i = 0; i < output->changed->len; i++)
        handle_change(node, g_ptr_array_index(output->changed, i));
    membership_output_clear(output);
}

static void receive_membership(node_t *node, const peer_message_t *message) {
    membership_output_t output;
    membership_output_init(&output);
    membership_receive(node->membership, message->membership, node->now_ms, &output);
    node_flush_membership(node, &output);
    configuration_service_heard(node, message->from, message->membership->configuration_revision);
}

static void receive_settle(node_t *node, const peer_message_t *message) {
    command_t *result = command_decode(message->settle->command);
    if (result == NULL || result->kind != COMMAND_RESULT) {
        g_clear_pointer(&result, command_free);
        return;
    }
    uint32_t partition = partitions_of_program(node, result->program);
    group_t *group = partitions_led_group(node, partition);
    if (group == NULL) {
        command_free(result);
        return;
    }
    if (!calls_is_open(group, result))
        node_send(node, message->from, PEER_RESPONSE_SETTLE, settle_new(message->settle->id, NULL));
    calls_settle(node, group, result);
}

/** A message that speaks for another node than its sender is malformed. */
static bool speaks_for_itself(const node_t *node, const peer_message_t *message) {
    const member_t *sender;
    switch (message->kind) {
    case PEER_MEMBERSHIP:
        sender = g_ptr_array_index(message->membership->members, 0);
        return sender->instance == message->from;
    case PEER_RAFT:
        return message->raft->from == message->from &&
               membership_find(node->membership, message->from) != NULL;
    case PEER_NOTICE_PARTITION:
        return message->notice->leader == message->from;
    default:
        return true;
    }
}

void node_handle_message(node_t *node, peer_message_t *message) {
    if (!speaks_for_itself(node, message)) {
        peer_message_free(message);
        return;
    }
    switch (message->kind) {
    case PEER_MEMBERSHIP:
        receive_membership(node, message);
        break;
    case PEER_RAFT:
        partitions_receive(node, message->raft);
        break;
    case PEER_REQUEST_OPERATION:
        calls_receive(node, message->operation);
        break;
    case PEER_RESPONSE_OPERATION:
        entries_answer(node, message->answer);
        break;
    case PEER_RESPONSE_CHUNK:
        entries_chunk(node, message->chunk);
        break;
    case PEER_REQUEST_SETTLE:
        receive_settle(node, message);
        break;
    case PEER_RESPONSE_SETTLE:
        runs_acknowledged(node, message->settle->id);
        break;
    case PEER_REQUEST_NOTICE:
        partitions_answer_notice(node, message->from, message->notice->partition);
        break;
    case PEER_NOTICE_PARTITION:
        partitions_receive_notice(node, message->notice);
        break;
    case PEER_REQUEST_CONFIGURATION:
        configuration_service_asked(node, message->from, message->configuration);
        break;
    case PEER_RESPONSE_CONFIGURATION:
        configuration_service_told(node, message->from, message->configuration);
        break;
    case PEER_KINDS:
        break;
    }
    peer_message_free(message);
}

/* --- Rounds ------------------------------------------------------------------------------- */

static void tick_membership(node_t *node) {
    membership_output_t output;
    membership_output_init(&output);
    membership_tick(node->membership, node->now_ms, &output);
    node_flush_membership(node, &output);
}

static void update_ready(node_t *node) {
    bool ready = partitions_all_led(node) && backend_service_ready(node) &&
                 configuration_revision(node->configuration) > 0;
    g_atomic_int_set(&node->ready, ready || g_atomic_int_get(&node->ready));
}

void node_tick(node_t *node, bootstrap_t *bootstrap) {
    tick_membership(node);
    bootstrap_tick(node, bootstrap);
    partitions_tick(node);
    configuration_service_tick(node);
    backend_service_tick(node);
    runs_tick(node);
    calls_tick(node);
    entries_tick(node);
    update_ready(node);
}

void node_request_stop(node_t *node) {
    g_atomic_int_set(&node->stop_requested, 1);
}

void node_begin_stop(node_t *node) {
    membership_output_t output;
    event_log(NODE_STOPPING, 0, runs_count(node, NULL) + entries_count(node),
              partitions_led_count(node));
    node->stopping = true;
    membership_output_init(&output);
    membership_leave(node->membership, &output);
    node_flush_membership(node, &output);
}

unsigned node_work_left(const node_t *node) {
    return runs_count(node, NULL) + entries_count(node) + services_count(node);
}

/** True once nothing is in flight and every partition is in other hands. */
bool node_stop_is_complete(node_t *node, int64_t started_ms) {
    bool handed_off = partitions_hand_off(node);
    bool lingered = node->now_ms - started_ms >= LINGER_MS;
    return handed_off && lingered && node_work_left(node) == 0;
}

/* --- Life --------------------------------------------------------------------------------- */

node_t *node_new(settings_t *settings, instance_id_t instance) {
    node_t *node = g_new0(node_t, 1);
    node->settings = settings;
    node->instance = instance;
    node->mailbox = mailbox_new(node);
    node->workers = workers_new(node);
    node->configuration = configuration_new();
    node->backends = backend_set_new();
    node->routing.policy = settings->policy;
    node->partitions = partitions_new(node);
    node->entries = entries_new();
    node->calls = calls_new();
    node->runs = runs_new();
    node->configuration_service = configuration_service_new(instance);
    node->backend_service = backend_service_new();
    node->services = services_new();
    node->call_answers = call_answers_new();
    return node;
}

void node_join(node_t *node, uint32_t peer_port, uint32_t http_port) {
    const settings_t *settings = node->settings;
    const member_t self = {.instance = node->instance,
                           .name = settings->name,
                           .zone = settings->zone,
                           .address = settings->peer.address,
                           .peer_port = peer_port,
                           .http_port = http_port};
    node->membership =
        membership_new(&self, (const membership_seed_t *)(void *)settings->seeds->data,
                       settings->seeds->len, node->instance, &membership_default_options);
}

void node_release(node_t *node) {
    workers_free(node->workers);
    mailbox_free(node->mailbox);
    partitions_free(node->partitions);
    entries_free(node->entries);
    calls_free(node->calls);
    runs_free(node->runs);
    configuration_service_free(node->configuration_service);
    backend_service_free(node->backend_service);
    services_free(node->services);
    call_answers_free(node->call_answers);
    backend_set_free(node->backends);
    membership_free(node->membership);
    configuration_unref(node->configuration);
    settings_free(node->settings);
    g_free(node);
}
