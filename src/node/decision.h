/**
 * @file decision.h
 * The work of a node's decision thread: its state, its messages and its rounds, without any
 * thread, socket or clock. node.c drives it from real ones; the simulator links the same code
 * and drives many nodes in virtual time. Before each call the driver sets node_t.now_ms and
 * node_t.unix_ms.
 *
 * Thread safety: decision thread only, unless node.h says otherwise.
 */
#ifndef RUDDERWAY_NODE_DECISION_H
#define RUDDERWAY_NODE_DECISION_H

#include "node/bootstrap.h"
#include "node/node.h"

/** The state of a node that has joined nothing yet; owns @p settings. */
node_t *node_new(settings_t *settings, instance_id_t instance);
/** Gives the node its place among others; call it once, when its ports are known. */
void node_join(node_t *node, uint32_t peer_port, uint32_t http_port);
/** Frees what node_new and node_join made; the workers must have stopped. */
void node_release(node_t *node);

/** Handles a message from another node and frees it. */
void node_handle_message(node_t *node, peer_message_t *message);
/** Does what is due; call it every 10 ms or so. */
void node_tick(node_t *node, bootstrap_t *bootstrap);

/** Announces a planned stop. */
void node_begin_stop(node_t *node);
/** True once nothing is in flight and every partition is in other hands. */
bool node_stop_is_complete(node_t *node, int64_t started_ms);
/** Calls and requests in flight. */
unsigned node_work_left(const node_t *node);

#endif
