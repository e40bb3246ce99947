/**
 * @file control_traffic.h
 * What a gateway sends to other gateways besides calls: counted, and logged while it exceeds the
 * rate that a node may use.
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
} control_counts_t;

typedef struct {
    control_counts_t counts;
    control_counts_t window; /**< The counts when the current window began. */
    uint64_t window_began_at;
    bool exceeded; /**< The last window did. */
} control_traffic_t;

/** Counts a datagram of @p bytes with @p crashes sent to @p receivers. */
void control_traffic_record(control_traffic_t *traffic, unsigned receivers, uint64_t bytes,
                            unsigned crashes, uint64_t now);

#endif
