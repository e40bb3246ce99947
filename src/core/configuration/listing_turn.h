/**
 * @file listing_turn.h
 * When a gateway that has just started lists the key-value service to its end.
 *
 * Of a large fleet all start at once, after a loss of power above all. A listing of 10,000 back
 * ends takes 50 calls and 2.5 MB; done by each of 865 gateways that is 2.2 GB over the service's
 * link of 1 Gbit/s, 18 s, and beyond the calls that it answers in a second; even the first page of
 * each took over a second. When the system starts for the first time it is the same with the watch:
 * 10,000 back ends that register are 20 answers of 500 changes, to each gateway that watches.
 *
 * So a gateway reads the store group's key alone, and waits: the first of a zone's root cell list
 * the service, the others get the view from storage nodes or from a gateway that has it. Each lists
 * by itself if none comes.
 *
 * Decision code: no I/O, clock or thread. Times are in ms.
 */
#ifndef RUDDERWAY_CORE_CONFIGURATION_LISTING_TURN_H
#define RUDDERWAY_CORE_CONFIGURATION_LISTING_TURN_H

#include <stdbool.h>
#include <stdint.h>

enum {
    LISTING_SETTLE_MS = 500, /**< Lists of gateways grow for so long while all connect. */
    LISTING_EACH_MS = 1500,  /**< The next few list so much later, if the first ones don't. */
    LISTING_LONE_MS = 1500,  /**< One that reaches no storage node lists after this, */
    /** One that was given a kept view, and follows nobody then, asks for what came since after
     * this: a configuration may have changed just before all lost power, and is to be in force 5 s
     *  after they are back. */
    LISTING_KEPT_MS = 3500,
    LISTING_MOST_MS = 10000,  /**< any gateway without a confirmed view after this, */
    LISTING_SPREAD_MS = 6000, /**< and a part of this, drawn, so that not all do at once. */
};

/** What a gateway knows that has not listed the service. */
typedef struct {
    uint64_t held_since;
    uint64_t told_at; /**< When storage nodes first told it of other gateways; 0: they have not. */
    unsigned rank;    /**< Gateways of its cell that come before it. */
    bool below;       /**< Its cell is not the root. */
    bool lone;        /**< It knows no group, or reaches none of its members. */
    uint64_t kept_at; /**< When a storage node gave it a view; 0: none has, or it follows. */
    uint32_t spread_ms; /**< Drawn from LISTING_SPREAD_MS. */
} listing_turn_t;

/** True if the gateway is to list the service now, or to ask it for what came since. */
bool listing_turn_due(const listing_turn_t *turn, uint64_t now);

#endif
