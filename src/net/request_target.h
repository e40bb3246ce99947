/**
 * @file request_target.h
 * Absolute targets of requests (RFC 9112, 3.2.2), which name the host beside the path.
 *
 * Thread safety: nothing is kept; any thread may call.
 */
#ifndef RUDDERWAY_NET_REQUEST_TARGET_H
#define RUDDERWAY_NET_REQUEST_TARGET_H

#include <stdbool.h>
#include <stddef.h>

/** Parts of an absolute target, within its text. */
typedef struct {
    const char *authority; /**< Host, and port if there is one. */
    size_t authority_length;
    const char *path_and_query; /**< The path may be empty. */
} absolute_target_t;

/** True for a target of scheme http; targets of other schemes name nothing that is served. */
bool request_target_is_absolute(const char *target);
/** Finds the parts of an absolute target; false if it is malformed. */
bool request_target_split(const char *target, absolute_target_t *parts);

#endif
