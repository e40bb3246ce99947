/**
 * @file zone_loads.h
 * Loads exchanged between zones. In a large fleet a gateway receives reports of its own zone's
 * gateways only (load_sharing.h) and would not see the calls of other zones at an engine. So each
 * gateway has at least one counterpart in every other zone, and sends it the sums of its own zone's
 * calls in progress: every gateway receives the sums of each zone, and of several senders the
 * latest one counts.
 *
 * Only back ends that report their start time are included. Sums are sent in the format of
 * load_report.h, to gateways that storage nodes listed for another zone; earlier versions drop
 * them as from an unknown sender.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_ZONE_LOADS_H
#define RUDDERWAY_GATEWAY_ZONE_LOADS_H

#include "gateway/backends.h"

typedef struct {
    GPtrArray *gateways; /**< Counterparts, of remote_gateway_t. */
    GHashTable *sums;    /**< This zone's calls in progress: back end's hash to load_entry_t. */
    bool sent_any;       /**< The last sums sent were not empty. */
} zone_loads_t;

void zone_loads_init(zone_loads_t *loads);
/**
 * Selects the counterparts from what storage nodes listed, ignoring other entries of @p texts. In
 * the order of addresses, this gateway is at @p index among the @p count gateways of its zone.
 */
void zone_loads_set_gateways(zone_loads_t *loads, const GPtrArray *texts, unsigned index,
                             unsigned count);
/** Handles a datagram; false if it does not come from a counterpart. */
bool zone_loads_receive(zone_loads_t *loads, const struct sockaddr_in *from, const void *data,
                        size_t length, uint64_t now);
/** Adds the loads that other zones reported to those of @p backends. */
void zone_loads_add_remote(const zone_loads_t *loads, backends_t *backends, uint64_t now);
/** Adds the loads in @p entries to this zone's sums, which zone_loads_send sends. */
void zone_loads_add_local(zone_loads_t *loads, backends_t *backends, const GArray *entries);
/** The entries that a counterpart last reported, of load_entry_t; NULL: @p from is none. */
GArray *zone_loads_entries(const zone_loads_t *loads, const struct sockaddr_in *from);
/**
 * Sends this zone's sums of calls in progress to the counterparts and resets them; with them
 * @p crashes, of load_entry_t. Returns the size of the datagram; 0: there was nothing to send.
 */
size_t zone_loads_send(zone_loads_t *loads, const GArray *crashes, uv_udp_t *socket);

#endif
