/**
 * @file directory_feed.h
 * Forwards this gateway's view of the key-value service to other gateways, which then need no watch
 * of their own. Otherwise the service would send each change to every gateway, and its load would
 * grow with the square of the fleet.
 *
 * A follower first receives the complete view, once that is at least as recent as its own; if it
 * has the same view already, only the revision. After that it receives each change in order, with
 * the revision up to which the view is complete, and without changes the revision once a second.
 * Each message carries the time since the service last confirmed the view, so that indirect
 * followers know its age as well.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_DIRECTORY_FEED_H
#define RUDDERWAY_GATEWAY_DIRECTORY_FEED_H

#include "cluster/directory_snapshot.h"
#include "net/frame_connection.h"

typedef struct directory_feed directory_feed_t;

/** Current state to forward. */
typedef struct {
    directory_snapshot_t *snapshot;
    GBytes *group;     /**< Encoded store group; NULL: unknown. */
    uint64_t revision; /**< The view is complete up to this revision; 0: it may be incomplete. */
    bool followable;   /**< False: this gateway itself follows another one of its cell. */
    /** Time since the service confirmed the view, in ms; UINT32_MAX: unknown. */
    uint32_t answer_age;
} directory_feed_state_t;

typedef void (*directory_feed_read_t)(void *owner, directory_feed_state_t *state);

/** @p read fills in the current state; it is called for each message and each new follower. */
directory_feed_t *directory_feed_new(uv_loop_t *loop, directory_feed_read_t read, void *owner);
/**
 * Adds a follower that has all changes up to @p revision and a view of digest @p view. Returns
 * false if this gateway can't be followed now.
 */
bool directory_feed_add(directory_feed_t *feed, frame_connection_t *connection, uint64_t revision,
                        uint64_t view);
/** Removes the follower whose connection has this serial number, if any. */
void directory_feed_remove(directory_feed_t *feed, const uint64_t *serial);
/**
 * Queues an item that was written or removed; it is sent soon, together with others. NULL sends
 * only the revision or state: an item that followers don't need has changed, the view is complete
 * again, or this gateway can't be followed any more.
 */
void directory_feed_notify(directory_feed_t *feed, const key_value_item_t *item);
unsigned directory_feed_followers(const directory_feed_t *feed);

#endif
