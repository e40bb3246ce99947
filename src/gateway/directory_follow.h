/**
 * @file directory_follow.h
 * Follows another gateway's view of the key-value service (directory_feed.h) in place of a watch of
 * its own.
 *
 * Failures. A source that ends, falls silent for the other gateways, or knows less than this
 * gateway does is left; the owner then watches the service itself and may follow again later.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_DIRECTORY_FOLLOW_H
#define RUDDERWAY_GATEWAY_DIRECTORY_FOLLOW_H

#include "cluster/directory_snapshot.h"
#include "cluster/message.h"

#include <uv.h>

typedef struct directory_follow directory_follow_t;

/**
 * A source that proved of no use is not followed again for so long, in ms; another one is at once.
 * When none was followed for that time, a gateway that had lost its source in an outage was behind
 * others, which it could have followed, for 3 s after the service was back.
 */
enum { DIRECTORY_AVOID_MS = 4000 };

typedef struct {
    /** The latest revision at which this gateway has seen a change. */
    uint64_t (*known)(void *owner);
    /** Digest of the view that this gateway has; 0: none. */
    uint64_t (*view)(void *owner);
    /** The source's whole view, up to @p known; NULL: it is the one that this gateway has. */
    void (*on_directory)(void *owner, const directory_snapshot_t *snapshot, uint64_t known);
    /** Items that changed, of key_value_item_t, up to @p known. */
    void (*on_changes)(void *owner, const GArray *changes, uint64_t known);
    void (*on_group)(void *owner, const message_t *message);
    /** There is no source any more. */
    void (*on_lost)(void *owner);
} directory_follow_handler_t;

directory_follow_t *directory_follow_new(uv_loop_t *loop, const directory_follow_handler_t *handler,
                                         void *owner);
/**
 * Begins to follow the gateway at @p source, if it follows none. If that one refuses, another
 * attempt may be made after @p refused_pause_ms.
 */
void directory_follow_begin(directory_follow_t *follow, const struct sockaddr_in *source,
                            uint64_t refused_pause_ms);
/** Stops following, without on_lost; the source is not followed again before @p avoid_ms are over.
 */
void directory_follow_end(directory_follow_t *follow, const char *reason, uint64_t avoid_ms);
/** The source that proved of no use may be followed again, and another soon after a refusal. */
void directory_follow_forgive(directory_follow_t *follow);
/** True if a source is being connected to or followed. */
bool directory_follow_active(const directory_follow_t *follow);
/** True if the source's whole view has come, and each change since. */
bool directory_follow_current(const directory_follow_t *follow);
/** How long ago, in ms, the service confirmed the view; UINT32_MAX: that isn't known. */
uint32_t directory_follow_answer_age(const directory_follow_t *follow);
/** The gateway that is followed; only while active. */
const struct sockaddr_in *directory_follow_source(const directory_follow_t *follow);

#endif
