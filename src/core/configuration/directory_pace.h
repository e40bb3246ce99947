/**
 * @file directory_pace.h
 * How often a gateway that has started asks storage nodes for the directory, when a storage node
 * answers, and when it asks a gateway for a newer one. A directory has hundreds of kilobytes, and
 * after a loss of power all gateways ask at once. Gateways offer what they know by its revision
 * alone, and a storage node takes it from one of them at a time: given by each, 2.5 MB from 865
 * gateways at once ended storage nodes of 180 MB.
 *
 * Decision code: no I/O, clock or thread. Times are in ms.
 */
#ifndef RUDDERWAY_CORE_CONFIGURATION_DIRECTORY_PACE_H
#define RUDDERWAY_CORE_CONFIGURATION_DIRECTORY_PACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    /** Between two requests; a directory of 1 MB takes 0.3 s over a link of 30 Mbit/s. */
    DIRECTORY_ASK_MS = 1000,
    /** Bytes that wait for one gateway; with more, an answer is still on its way. */
    DIRECTORY_WAITING_MOST_BYTES = 65536,
    /** Share of the process's memory that buffers of connections may have by then, in percent. */
    DIRECTORY_MEMORY_PERCENT = 10,
    DIRECTORY_PULL_MS = 3000,          /**< A gateway that was asked and gave nothing by then. */
    DIRECTORY_PULL_LEAST_MS = 1000,    /**< Between two directories that a storage node takes, */
    DIRECTORY_PULL_BYTES_PER_MS = 100, /**< and more the larger they are: 100 kB a second. */
};

/** What a storage node knows of the directory. */
typedef struct {
    uint64_t revision; /**< That it has; 0: none. */
    size_t bytes;      /**< Of that one. */
    uint64_t taken_at; /**< When it came; 0: never. */
    uint64_t offered;  /**< The newest that a gateway offers; 0: none. */
    uint64_t asked_at; /**< When a gateway was asked that has not answered; 0: none is. */
} directory_offer_t;

/** True if the directory is to be asked for (again); @p asked_at: when it last was, 0: never. */
bool directory_ask_due(uint64_t asked_at, uint64_t now);

/**
 * True if a request is answered now; otherwise the gateway asks again. All answers share the bytes
 * of one directory, so that what waits for others does not count.
 * @param waiting_there Bytes that wait for the gateway that asks.
 * @param buffer_bytes Memory that the buffers of all connections hold.
 * @param memory_bytes What the process may use.
 */
bool directory_answer_now(size_t waiting_there, size_t buffer_bytes, size_t memory_bytes);

/** True if a storage node asks the gateway that offers a newer directory for it now. */
bool directory_pull_due(const directory_offer_t *offer, uint64_t now);

#endif
