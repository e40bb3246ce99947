/**
 * @file recent_successes.h
 * Requests that got a complete successful response lately, as equal requests of many callers do all
 * the time. Such a request is hardly the cause of a connection that breaks under it.
 *
 * Two requests with the same place in the table displace each other: what is forgotten only costs
 * the benefit of the doubt.
 *
 * Decision code: no I/O, clock or threads. Times are in ms.
 */
#ifndef RUDDERWAY_CORE_RETRY_RECENT_SUCCESSES_H
#define RUDDERWAY_CORE_RETRY_RECENT_SUCCESSES_H

#include <stdbool.h>
#include <stdint.h>

enum {
    RECENT_SUCCESSES_MAX = 4096, /**< 64 kB; a power of two. */
    RECENT_SUCCESS_MS = 10000,
};

typedef struct {
    uint64_t request;
    uint64_t at; /**< 0: none. */
} recent_success_t;

typedef struct {
    recent_success_t entries[RECENT_SUCCESSES_MAX];
} recent_successes_t;

void recent_successes_add(recent_successes_t *successes, uint64_t request, uint64_t now);
bool recent_successes_contain(const recent_successes_t *successes, uint64_t request, uint64_t now);

#endif
