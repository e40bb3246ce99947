/**
 * @file listing_schedule.h
 * When a gateway that has just started lists the whole key-value service.
 *
 * After a loss of power all gateways of a fleet start at once. If each of them listed the service,
 * the listings would exceed the bandwidth and the call rate of the service: a listing of 10,000
 * back ends takes 50 calls and 2.5 MB, and 865 gateways need 2.2 GB, or 18 s of a link of 1 Gbit/s.
 * So would their watches while all back ends of a new system register at once: 10,000 back ends are
 * 20 responses of 500 changes to each watch.
 *
 * A starting gateway therefore reads only the store group's key and waits. The gateways of lowest
 * rank in a zone's root cell (store/gateway_registry.h) list the service; the others receive the
 * view from storage nodes or from a gateway that has it. A gateway that receives none lists the
 * service itself after a timeout.
 *
 * Decision code: no I/O, clock or thread. Times are in ms.
 */
#ifndef RUDDERWAY_CORE_CONFIGURATION_LISTING_SCHEDULE_H
#define RUDDERWAY_CORE_CONFIGURATION_LISTING_SCHEDULE_H

#include <stdbool.h>
#include <stdint.h>

enum {
    LISTING_SETTLE_MS = 500, /**< Delay for the lists of gateways to fill while all connect. */
    LISTING_RANK_INTERVAL_MS = 1500, /**< Added delay for each WATCH_RENEWING preceding gateways. */
    LISTING_NO_STORES_TIMEOUT_MS = 1500, /**< Timeout of a gateway that reaches no storage node. */
    /**
     * Timeout for confirming a view that came from a storage node, while this gateway follows no
     * other. A configuration changed just before a loss of power must be in force 5 s after
     * recovery.
     */
    LISTING_CONFIRM_TIMEOUT_MS = 3500,
    LISTING_TIMEOUT_MS = 10000,   /**< Timeout of any gateway without a confirmed view. */
    LISTING_JITTER_MAX_MS = 6000, /**< Maximum random jitter added to timeouts. */
};

/** State of a gateway that has not listed the service. */
typedef struct {
    uint64_t deferred_since;   /**< Since when the listing is deferred. */
    uint64_t peers_known_at;   /**< When storage nodes first sent the list of gateways; 0: never. */
    unsigned rank;             /**< Number of gateways of its cell that precede it. */
    bool below;                /**< Its cell is not the root cell. */
    bool no_stores;            /**< It knows no store group, or reaches none of its members. */
    uint64_t view_received_at; /**< When a storage node sent a view; 0: never, or a gateway is
                                  followed. */
    uint32_t jitter_ms;        /**< Random, up to LISTING_JITTER_MAX_MS. */
} listing_schedule_t;

/** True if the gateway must now list the service, or request the changes since its view. */
bool listing_schedule_due(const listing_schedule_t *schedule, uint64_t now);

#endif
