/**
 * @file directory_snapshot.h
 * What a gateway has seen of the key-value service that it needs to serve: configuration, back
 * ends. Storage nodes keep the newest on their disks, so that gateways which start while the
 * service is away, or while listing it would take many calls, can serve from it. Back ends stand
 * there in the short form of service_directory.h: compressed, 10,000 of them take
 * 0.11 MB (DirectorySnapshot tests bound it); as written in the service, some 250 bytes each.
 *
 * Thread safety: an object belongs to one thread.
 */
#ifndef RUDDERWAY_CLUSTER_DIRECTORY_SNAPSHOT_H
#define RUDDERWAY_CLUSTER_DIRECTORY_SNAPSHOT_H

#include "cluster/key_value.h"

typedef struct {
    uint64_t revision; /**< The latest at which an item was seen to change; 0: empty. */
    GHashTable *items; /**< Key to its value, a GBytes. */
    uint64_t digest;   /**< Of all items, in whichever order they came; 0: there are none. */
    GBytes *encoded;   /**< As it was last encoded; NULL: it has changed since. */
} directory_snapshot_t;

void directory_snapshot_init(directory_snapshot_t *snapshot);
void directory_snapshot_clear(directory_snapshot_t *snapshot);
/** Takes over an item as it was written, or that it is gone; false if that was known already. */
bool directory_snapshot_note(directory_snapshot_t *snapshot, const key_value_item_t *item);
/** Keys of the items that are not in the set @p keys; of char *, to be freed. */
GPtrArray *directory_snapshot_missing(const directory_snapshot_t *snapshot, GHashTable *keys);
/** The same bytes again while nothing changes; the caller owns a reference. */
GBytes *directory_snapshot_encode(directory_snapshot_t *snapshot);
/**
 * Calls @p take for each item of an encoded snapshot, and sets @p revision before; false if @p
 * bytes are no snapshot: then some items may have been taken.
 */
bool directory_snapshot_read(GBytes *bytes, uint64_t *revision,
                             void (*take)(void *owner, const char *key, GBytes *value),
                             void *owner);
/** False if @p bytes are no snapshot; @p snapshot is an empty one before. */
bool directory_snapshot_decode(directory_snapshot_t *snapshot, GBytes *bytes);

#endif
