/**
 * @file load_sharing.h
 * What the gateways tell one another: how many calls each has under way at each back end, which
 * back ends it finds down, and how far its watch of the key-value service has come. A
 * gateway learns of the others from the storage nodes, to which all connect. Datagrams; a lost
 * one is made good by the next, and what a silent gateway said last is soon forgotten.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_LOAD_SHARING_H
#define RUDDERWAY_GATEWAY_LOAD_SHARING_H

#include "core/configuration/watch_duty.h"
#include "gateway/backends.h"

typedef struct load_sharing load_sharing_t;

/** What gateways tell one another besides loads; see watch_duty.h. */
typedef struct {
    /** Fills in what this gateway tells. */
    void (*tell)(void *owner, watch_report_t *report);
    /**
     * Comes once a period, and soon after another gateway told of a later change, with what the
     * others told; @p reports of watch_report_t. Those that renew tell within @p
     * renewing_period_ms. Returns within how many ms it wants to be called again; UINT64_MAX: in a
     * period.
     */
    uint64_t (*on_reports)(void *owner, const GArray *reports, uint64_t period_ms,
                           uint64_t renewing_period_ms);
} load_sharing_handler_t;

/** NULL if @p address can't be used. */
load_sharing_t *load_sharing_open(uv_loop_t *loop, const struct sockaddr_in *address,
                                  backends_t *backends, const load_sharing_handler_t *handler,
                                  void *owner);
/**
 * Replaces the list of gateways by "IP:PORT" texts; its own address is left out. @p below: they
 * follow others (watch_duty.h).
 */
void load_sharing_set_gateways(load_sharing_t *sharing, const GPtrArray *addresses, bool below);
/** From now on, that another gateway lost the storage nodes is reported at once. */
void load_sharing_heed_stores(load_sharing_t *sharing);
/** How many of the other gateways come before this one by address. */
unsigned load_sharing_rank(const load_sharing_t *sharing);
/** Adds up what the others told, if that has changed; to be called before a back end is chosen. */
void load_sharing_refresh(load_sharing_t *sharing);
/** The address of a gateway that said lately that it reaches storage nodes; false: none did. */
bool load_sharing_find_relay(const load_sharing_t *sharing, struct sockaddr_in *address);
/**
 * The address of a gateway whose view of the key-value service may be followed, and that has seen
 * the change at revision @p changed; false: none.
 */
bool load_sharing_find_source(const load_sharing_t *sharing, uint64_t changed,
                              struct sockaddr_in *address);
/** The latest revision at which another gateway has seen a change, as they told lately. */
uint64_t load_sharing_changed(const load_sharing_t *sharing);
/** True if the gateway at @p address may still be followed; when it was last heard, in ms. */
bool load_sharing_look_at_source(const load_sharing_t *sharing, const struct sockaddr_in *address,
                                 uint64_t *heard_at);
/** Tells the others now what this gateway knows; for news that can't wait. */
void load_sharing_tell_now(load_sharing_t *sharing);
/** Looks in the next turn of the loop whether there is something to tell. */
void load_sharing_look_soon(load_sharing_t *sharing);

#endif
