/**
 * @file control_traffic.h
 * What a gateway sends to other gateways besides calls: counted, logged while it exceeds the rate
 * that a node may use, and limited to that rate as far as it can wait. Load reports at the end of
 * their period are always sent, so that watches and configurations don't depend on what else is
 * sent, with as many crashes as the credit allows; reports before that are sent while there is
 * credit, those about a request that is about to be stopped down to the last of it.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_CONTROL_TRAFFIC_H
#define RUDDERWAY_GATEWAY_CONTROL_TRAFFIC_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    uint64_t datagrams;
    uint64_t bytes;          /**< Of their contents. */
    uint64_t urgent_reports; /**< Load reports sent before their period was over. */
    uint64_t crashes_sent;   /**< Crashes in datagrams, once for each receiver. */
    uint64_t crashes_found;  /**< Found by this gateway. */
    uint64_t crashes_passed; /**< Reported by another gateway and passed on. */
    uint64_t crash_lists;    /**< Times that all known crashes were made due. */
    uint64_t deferred;       /**< Urgent reports that had to wait for the end of their period. */
    uint64_t crashes_held;   /**< Reports without the crashes that could wait. */
} control_counts_t;

typedef enum {
    CONTROL_CAN_WAIT, /**< Leaves the rest of the credit to what is pressing. */
    CONTROL_PRESSING,
} control_priority_t;

typedef struct {
    control_counts_t counts;
    control_counts_t window; /**< The counts when the current window began. */
    uint64_t window_began_at;
    bool exceeded;        /**< The last window did. */
    int64_t credit;       /**< Bytes that may be sent at once. */
    uint64_t credited_at; /**< 0: never. */
} control_traffic_t;

/** Counts a datagram of @p bytes with @p crashes sent to @p receivers. */
void control_traffic_record(control_traffic_t *traffic, unsigned receivers, uint64_t bytes,
                            unsigned crashes, uint64_t now);
/** Bytes that may be sent now with @p priority; none if it is not positive. */
int64_t control_traffic_credit(control_traffic_t *traffic, control_priority_t priority,
                               uint64_t now);

#endif
