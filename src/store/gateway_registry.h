/**
 * @file gateway_registry.h
 * The gateways connected to a storage node, and the peers that each gateway exchanges load reports
 * with. Up to GATEWAYS_FULL_MESH_MAX gateways form a full mesh. In a larger fleet, the gateways of
 * each zone are divided into *cells* by a hash of their address, with at most
 * GATEWAYS_CELL_MEAN_MAX per cell on average, and each gateway knows those of its cell. In a fleet
 * of up to GATEWAYS_REMOTE_MAX gateways, those of zones with a single cell also know those of the
 * other zones with a single cell (see gateway/zone_loads.h). This bounds the lists and the load
 * reports of each gateway independently of the size of the fleet.
 *
 * The gateways of the first cell of a zone, its root, watch the key-value service. Those of the
 * other cells follow the first gateways of the root cell, their *sources*.
 *
 * Each storage node computes the cells from its own connections. The number of cells is a power of
 * two, so that a gateway of the root cell remains in it when the number of cells decreases.
 *
 * Decision code: no I/O, clock or thread; an object belongs to one thread.
 */
#ifndef RUDDERWAY_STORE_GATEWAY_REGISTRY_H
#define RUDDERWAY_STORE_GATEWAY_REGISTRY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum {
    GATEWAYS_FULL_MESH_MAX = 32, /**< Largest full mesh. */
    /**
     * Maximum mean size of a cell. The period of load reports grows with the size of the cell
     * (gateway/load_report.c). It must stay within the 1,200 ms after which the watch state of a
     * peer is considered stale, and does so in cells of up to 81 gateways. With a mean of 48,
     * hashing practically never produces a larger cell: 81 is 4.8 standard deviations away.
     */
    GATEWAYS_CELL_MEAN_MAX = 48,
    /**
     * Sources of a gateway. Several, as the key-value service may be unreachable for some: if it
     * drops the calls of a third of the machines, all eight are among these in one of 6,600 cases;
     * three sources would all be in one of 27.
     */
    GATEWAYS_SOURCES_MAX = 8,
    /** Largest fleet in which gateways know those of other zones. */
    GATEWAYS_REMOTE_MAX = 128,
};

typedef struct {
    GHashTable *gateways;  /**< Maps serial number of a connection to its gateway. */
    GHashTable *addresses; /**< Maps address of a gateway to its number of connections. */
} gateway_registry_t;

/** Peers of a gateway; the same for all gateways of a cell. */
typedef struct {
    GPtrArray *known;   /**< Addresses of its cell, including its own; of char *. */
    GPtrArray *sources; /**< Addresses to follow; empty in a root cell. */
    GPtrArray *remote;  /**< Gateways of other zones, in the format of remote_gateway.h. */
    uint64_t digest;    /**< Of all three, independent of their order. */
} gateway_peer_list_t;

void gateway_registry_init(gateway_registry_t *registry);
void gateway_registry_clear(gateway_registry_t *registry);
unsigned gateway_registry_count(const gateway_registry_t *registry);
/** Adds the gateway of a connection; @p serial must outlive its entry. */
void gateway_registry_add(gateway_registry_t *registry, const uint64_t *serial, const char *address,
                          const char *zone);
/** Removes the gateway of a connection; false if it has none. */
bool gateway_registry_remove(gateway_registry_t *registry, const uint64_t *serial);
bool gateway_registry_contains(const gateway_registry_t *registry, const char *address);
/** Number of cells of a zone with @p gateways gateways. */
unsigned gateway_registry_cell_count(unsigned gateways);
/**
 * Calls @p notify for each gateway whose list has changed since the last call. A list is valid
 * until this function returns; gateways of the same cell share one list.
 */
void gateway_registry_notify(gateway_registry_t *registry,
                             void (*notify)(void *user, const uint64_t *serial,
                                            const gateway_peer_list_t *list),
                             void *user);

#endif
