/**
 * @file gateway_directory.h
 * The gateways that are connected to a storage node, and which of them a gateway should know, since
 * gateways tell one another their loads. Few gateways all know one another. Of many, each knows
 * those of its own zone (and up to GATEWAYS_FAR_MOST of other zones, see gateway/zone_loads.h); and
 * where a zone has many, those of its *cell*: the gateways of a zone are divided among so many
 * cells, by a hash of their address, that a cell has GATEWAYS_CELL_MOST on average at most. So
 * neither the lists nor what gateways tell one another grows with the fleet.
 *
 * The first cell of a zone is its root: its gateways watch the key-value service. Those of the
 * other cells learn of the first gateways of the root cell, their *sources*, and follow them.
 *
 * Each storage node works the cells out by itself from its own connections. The number of cells
 * is a power of two, so that a gateway of the root cell among many cells is one among fewer as
 * well.
 *
 * Decision code; an object belongs to one thread.
 */
#ifndef RUDDERWAY_STORE_GATEWAY_DIRECTORY_H
#define RUDDERWAY_STORE_GATEWAY_DIRECTORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum {
    GATEWAYS_FEW = 32, /**< Up to so many, all know one another. */
    /**
     * Gateways of a cell on average, at most. A gateway tells each other one every 60 ms and 3 ms
     * for each, and four times that while calm (gateway/load_report.c): in a cell of up to 81
     * within the 1,200 ms after which nobody trusts another's watch. A hash gives a cell of a mean
     * of 48 more than that hardly ever: 81 is 4.8 standard deviations away.
     */
    GATEWAYS_CELL_MOST = 48,
    /**
     * Sources told. Where the service turns a third of the machines away without a word, all of
     * eight are among them in one of 6,600 cases; of the first three alone in one of 27.
     */
    GATEWAYS_SOURCES = 8,
    /** Up to so many, and one cell a zone, each knows the gateways of other zones as such. */
    GATEWAYS_FAR_MOST = 128,
};

typedef struct {
    GHashTable *gateways;  /**< Serial number of the connection to its gateway. */
    GHashTable *addresses; /**< Address of a connected gateway to how many connections it has. */
} gateway_directory_t;

/** What a gateway should know; the same for all of a cell. */
typedef struct {
    GPtrArray *known;   /**< Addresses of its cell, its own included; of char *. */
    GPtrArray *sources; /**< Addresses to follow; empty in a root cell. */
    GPtrArray *far;     /**< Gateways of other zones; as far_gateway.h formats them. */
    uint64_t digest;    /**< Of both, whatever their order. */
} gateway_list_t;

void gateway_directory_init(gateway_directory_t *directory);
void gateway_directory_clear(gateway_directory_t *directory);
unsigned gateway_directory_count(const gateway_directory_t *directory);
/** Adds the gateway of a connection; @p serial must outlive its entry. */
void gateway_directory_add(gateway_directory_t *directory, const uint64_t *serial,
                           const char *address, const char *zone);
/** False if the connection is no gateway's. */
bool gateway_directory_remove(gateway_directory_t *directory, const uint64_t *serial);
/** True if a gateway at @p address is connected. */
bool gateway_directory_has(const gateway_directory_t *directory, const char *address);
/** How many cells a zone of so many gateways has. */
unsigned gateway_directory_cells(unsigned gateways);
/**
 * Calls @p tell for each gateway whose list differs from the one it was told last. The lists last
 * until the call is over; gateways of one cell are given the same one.
 */
void gateway_directory_tell(gateway_directory_t *directory,
                            void (*tell)(void *user, const uint64_t *serial,
                                         const gateway_list_t *list),
                            void *user);

#endif
