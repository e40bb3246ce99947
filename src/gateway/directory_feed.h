/**
 * @file directory_feed.h
 * Passes what this gateway's watch of the key-value service shows on to other gateways, which then
 * need no watch of their own. Each change of the service would otherwise be answered once to each
 * gateway, and changes grow with the fleet as gateways do.
 *
 * A follower first gets all that is known, as soon as that is no older than what it knows itself;
 * nothing but the revision if it has the same view already. Then each change comes, in order, with
 * the revision up to which nothing is missing; without a change the revision once a second. With
 * each goes how long ago the service confirmed it, so that also those that follow a follower know
 * how old their view may be.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_DIRECTORY_FEED_H
#define RUDDERWAY_GATEWAY_DIRECTORY_FEED_H

#include "cluster/directory_snapshot.h"
#include "net/frame_connection.h"

typedef struct directory_feed directory_feed_t;

/** What is passed on; all of it as it is now. */
typedef struct {
    directory_snapshot_t *snapshot;
    GBytes *group;  /**< The encoded store group; NULL: none is known. */
    uint64_t known; /**< Everything up to this revision is in there; 0: that can't be said now. */
    bool watching;  /**< False: it can't be followed; it follows another gateway of its cell. */
    uint32_t answer_age; /**< As in message_t. */
} directory_feed_state_t;

typedef void (*directory_feed_read_t)(void *owner, directory_feed_state_t *state);

/** @p read tells what is known, whenever that is asked for. */
directory_feed_t *directory_feed_new(uv_loop_t *loop, directory_feed_read_t read, void *owner);
/**
 * A gateway that knows everything up to @p known, and has the view of digest @p view, wants the
 * rest and what comes; false if it can't be had here now.
 */
bool directory_feed_add(directory_feed_t *feed, frame_connection_t *connection, uint64_t known,
                        uint64_t view);
/** The connection with this serial number has ended; nothing happens if it was no follower's. */
void directory_feed_remove(directory_feed_t *feed, const uint64_t *serial);
/**
 * An item was written or is gone; told soon, together with others. NULL: one that nobody needs, or
 * the view is complete again, or can't be followed any more: only that is told.
 */
void directory_feed_note(directory_feed_t *feed, const key_value_item_t *item);
unsigned directory_feed_followers(const directory_feed_t *feed);

#endif
