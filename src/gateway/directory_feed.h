/**
 * @file directory_feed.h
 * Passes what this gateway's watch of the key-value service shows on to other gateways, which then
 * need no watch of their own. Each change of the service would otherwise be answered once to each
 * gateway, and changes grow with the fleet as gateways do.
 *
 * A follower first gets all that is known, as soon as that is no older than what it knows itself;
 * then each change, in order, with the revision up to which nothing is missing.
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
    const directory_snapshot_t *snapshot;
    GBytes *group;  /**< The encoded store group; NULL: none is known. */
    uint64_t known; /**< Everything up to this revision is in there; 0: that can't be said now. */
    bool watching;  /**< False: this gateway follows another one, and can't be followed. */
} directory_feed_state_t;

typedef void (*directory_feed_read_t)(void *owner, directory_feed_state_t *state);

/** @p read tells what is known, whenever that is asked for. */
directory_feed_t *directory_feed_new(uv_loop_t *loop, directory_feed_read_t read, void *owner);
/**
 * A gateway that knows everything up to @p known wants the rest and what comes; false if it can't
 * be had here now.
 */
bool directory_feed_add(directory_feed_t *feed, frame_connection_t *connection, uint64_t known);
/** The connection with this serial number has ended; nothing happens if it was no follower's. */
void directory_feed_remove(directory_feed_t *feed, const uint64_t *serial);
/**
 * An item was written or is gone; told soon, together with others. NULL: one that nobody needs, so
 * that only the revision is told.
 */
void directory_feed_note(directory_feed_t *feed, const key_value_item_t *item);
/** The service was listed anew, or is watched no more: followers get all of it, or are let go. */
void directory_feed_listed(directory_feed_t *feed);
unsigned directory_feed_followers(const directory_feed_t *feed);

#endif
