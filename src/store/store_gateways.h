/**
 * @file store_gateways.h
 * The gateways that are connected to this storage node. When one connects or leaves, each is sent
 * the list of those with which it exchanges load reports (gateway_registry.h), some time later, so
 * that many changes cost one list.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_STORE_STORE_GATEWAYS_H
#define RUDDERWAY_STORE_STORE_GATEWAYS_H

#include "store/store.h"

void store_gateways_init(store_t *store);
/** Handles a MESSAGE_GATEWAY: a gateway has connected. */
void store_handle_gateway(store_t *store, frame_connection_t *connection, const message_t *message);
/** Sends the lists soon, because the gateways that are connected have changed. */
void store_schedule_gateway_lists(store_t *store);

#endif
