/**
 * @file zone_loads.h
 * Loads told between zones. Of many gateways each hears of the calls of its own zone's only; calls
 * of other zones at an engine would be seen by nobody here. So each gateway has a counterpart or
 * more in every other zone, and tells it the sum of what its own zone has under way: every gateway
 * is told by some gateway of each zone, and of several the one that was heard last counts.
 *
 * Told of are back ends that say when they were born. Sums go in the form of load_report.h, to
 * gateways that storage nodes named as of another zone; earlier versions take them for a stranger's
 * and drop them.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_ZONE_LOADS_H
#define RUDDERWAY_GATEWAY_ZONE_LOADS_H

#include "gateway/backends.h"

typedef struct {
    GPtrArray *gateways; /**< Counterparts, of far_gateway_t. */
    GHashTable *sums;    /**< Of this zone: back end's hash to calls, while they are added up. */
    bool told_any;       /**< The last sums held something. */
} zone_loads_t;

void zone_loads_init(zone_loads_t *loads);
/**
 * Sets the counterparts out of what storage nodes told; others in @p texts are left out. This
 * gateway is the one at @p index of the @p count of its zone, by address.
 */
void zone_loads_set_gateways(zone_loads_t *loads, const GPtrArray *texts, unsigned index,
                             unsigned count);
/** Takes a datagram; false if it is no counterpart's. */
bool zone_loads_take(zone_loads_t *loads, const struct sockaddr_in *from, const void *data,
                     size_t length, uint64_t now);
/** Adds what other zones told to the loads known here. */
void zone_loads_add(const zone_loads_t *loads, backends_t *backends, uint64_t now);
/** Adds to this zone's sums, which are told next. */
void zone_loads_sum(zone_loads_t *loads, backends_t *backends, const GArray *entries);
/** Tells the sums to the counterparts, and begins new ones. */
void zone_loads_tell(zone_loads_t *loads, uv_udp_t *socket);

#endif
