/**
 * @file directory_pacing.h
 * Pacing of directory transfers between gateways and storage nodes: how often a starting gateway
 * requests the directory, whether a storage node responds, and when a storage node requests a newer
 * one. A directory takes hundreds of kilobytes, and after a loss of power all gateways request it
 * at once. Gateways offer their directory by its revision only, and a storage node pulls it from
 * one of them at a time; if all gateways pushed theirs, the node would run out of memory: 2.5 MB
 * from each of 865 gateways exhausted nodes of 180 MB.
 *
 * Decision code: no I/O, clock or thread. Times are in ms.
 */
#ifndef RUDDERWAY_CORE_CONFIGURATION_DIRECTORY_PACING_H
#define RUDDERWAY_CORE_CONFIGURATION_DIRECTORY_PACING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    /* A directory of 1 MB takes 0.3 s over a link of 30 Mbit/s. */
    DIRECTORY_REQUEST_INTERVAL_MS =
        1000, /**< Interval of a gateway's requests; longer than a transfer. */
    /** Unsent bytes for one gateway above which a response is considered to be in flight. */
    DIRECTORY_QUEUED_MAX_BYTES = 65536,
    /** Share of the process's memory for connection buffers above which responses are deferred. */
    DIRECTORY_BUFFERS_MAX_PERCENT = 10,
    DIRECTORY_PULL_TIMEOUT_MS = 3000, /**< Timeout of a storage node's request to a gateway. */
    DIRECTORY_PULL_INTERVAL_MIN_MS =
        1000,                          /**< Fixed part of the minimum interval between two pulls. */
    DIRECTORY_PULL_BYTES_PER_MS = 100, /**< Rate that gives the part added for the copy's size. */
};

/** A storage node's copy of the directory, and the latest revision that gateways offer. */
typedef struct {
    uint64_t revision;         /**< Of its copy; 0: it has none. */
    size_t bytes;              /**< Size of its copy. */
    uint64_t received_at;      /**< When the copy was received; 0: never. */
    uint64_t offered_revision; /**< Latest revision that a gateway offers; 0: none. */
    uint64_t requested_at;     /**< When the outstanding request was sent; 0: there is none. */
} directory_offer_t;

/** True if a gateway must request the directory; @p requested_at: its latest request, 0: none. */
bool directory_request_due(uint64_t requested_at, uint64_t now);

/**
 * True if a storage node responds to a request; otherwise the gateway requests again later. The
 * number of responses queued for other gateways is not limited, as all share one encoded directory
 * in memory.
 * @param queued_bytes Bytes queued for the requesting gateway.
 * @param buffer_bytes Memory held by the buffers of all connections.
 * @param memory_bytes Memory limit of the process.
 */
bool directory_response_due(size_t queued_bytes, size_t buffer_bytes, size_t memory_bytes);

/** True if a storage node must now request the directory of the latest offer. */
bool directory_pull_due(const directory_offer_t *offer, uint64_t now);

#endif
