/**
 * @file gateway_directory.h
 * The gateways that are connected to a storage node, and which of them a gateway should know, since
 * gateways tell one another their loads. Few gateways all know one another; of many, each knows
 * those of its own zone only, so that neither the lists nor what gateways tell grows with the
 * square of their number.
 *
 * Decision code; an object belongs to one thread.
 */
#ifndef RUDDERWAY_STORE_GATEWAY_DIRECTORY_H
#define RUDDERWAY_STORE_GATEWAY_DIRECTORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Up to so many, all know one another. */
enum { GATEWAYS_FEW = 32 };

typedef struct {
    GHashTable *gateways;  /**< Serial number of the connection to its gateway. */
    GHashTable *addresses; /**< Address of a connected gateway to how many connections it has. */
} gateway_directory_t;

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
/** Addresses that a gateway of @p zone should know, its own included; of char *, to be freed. */
GPtrArray *gateway_directory_known(const gateway_directory_t *directory, const char *zone);
/** Calls @p visit for each gateway. */
void gateway_directory_each(const gateway_directory_t *directory,
                            void (*visit)(void *user, const uint64_t *serial, const char *zone),
                            void *user);

#endif
