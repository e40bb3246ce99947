/**
 * @file directory_pace.h
 * How often a gateway that started while the key-value service is away asks storage nodes for the
 * directory, and when a storage node answers. A directory with many routes has hundreds of
 * kilobytes, and after a loss of power all gateways ask at once.
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
    /** Share of the process's memory for answers that wait, in percent. */
    DIRECTORY_MEMORY_PERCENT = 10,
};

/** True if the directory is to be asked for (again); @p asked_at: when it last was, 0: never. */
bool directory_ask_due(uint64_t asked_at, uint64_t now);

/**
 * True if a request is answered now; otherwise the gateway asks again.
 * @param waiting_there Bytes that wait for the gateway that asks.
 * @param waiting_all Bytes that wait for all gateways.
 * @param memory_bytes What the process may use.
 */
bool directory_answer_now(size_t waiting_there, size_t waiting_all, size_t memory_bytes);

#endif
