/**
 * @file directory_follow.h
 * Follows another gateway's view of the key-value service (directory_feed.h) instead of watching
 * the service.
 *
 * Failures. A source is left when its connection closes, when other gateways no longer receive its
 * reports, or when it is behind this gateway. The owner then watches the service itself and may
 * follow a gateway again later.
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
 * Time in ms during which a failed source is not followed again. Other sources may be followed at
 * once; otherwise a gateway that lost its source in an outage would stay behind for 3 s after the
 * service has recovered, although there are others to follow.
 */
enum { DIRECTORY_AVOID_MS = 4000 };

typedef struct {
    /** Latest revision at which this gateway has seen a change. */
    uint64_t (*revision)(void *owner);
    /** Digest of this gateway's view; 0: none. */
    uint64_t (*view_digest)(void *owner);
    /** The source's complete view at @p revision; NULL: it is the same as this gateway's. */
    void (*on_directory)(void *owner, const directory_snapshot_t *snapshot, uint64_t revision);
    /** Changed items, of key_value_item_t, up to @p revision. */
    void (*on_changes)(void *owner, const GArray *changes, uint64_t revision);
    void (*on_group)(void *owner, const message_t *message);
    /** The source was lost. */
    void (*on_lost)(void *owner);
} directory_follow_handler_t;

directory_follow_t *directory_follow_new(uv_loop_t *loop, const directory_follow_handler_t *handler,
                                         void *owner);
/**
 * Starts to follow the gateway at @p source, unless one is followed already. After a refusal no
 * other attempt is made for @p refused_pause_ms.
 */
void directory_follow_begin(directory_follow_t *follow, const struct sockaddr_in *source,
                            uint64_t refused_pause_ms);
/** Stops following, without on_lost; the source is not followed again for @p avoid_ms. */
void directory_follow_end(directory_follow_t *follow, const char *reason, uint64_t avoid_ms);
/** Allows the failed source again, and another source soon after a refusal. */
void directory_follow_reset_backoff(directory_follow_t *follow);
/** True if a source is being connected to or followed. */
bool directory_follow_active(const directory_follow_t *follow);
/** True if the source's complete view has been received, and each change since. */
bool directory_follow_current(const directory_follow_t *follow);
/** Time in ms since the service confirmed the view; UINT32_MAX: unknown. */
uint32_t directory_follow_answer_age(const directory_follow_t *follow);
/** The followed gateway; valid only while active. */
const struct sockaddr_in *directory_follow_source(const directory_follow_t *follow);

#endif
