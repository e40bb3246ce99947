/**
 * @file directory_snapshot.h
 * What a gateway has seen of the key-value service that it needs to serve: configuration, back
 * ends, and the store group, as they were written. Storage nodes keep the newest on their disks, so
 * that gateways which start while the service is away can serve from it.
 *
 * Thread safety: an object belongs to one thread.
 */
#ifndef RUDDERWAY_CLUSTER_DIRECTORY_SNAPSHOT_H
#define RUDDERWAY_CLUSTER_DIRECTORY_SNAPSHOT_H

#include "cluster/key_value.h"

typedef struct {
    uint64_t revision; /**< The latest at which an item was seen to change; 0: empty. */
    GHashTable *items; /**< Key to its value, a GBytes. */
} directory_snapshot_t;

void directory_snapshot_init(directory_snapshot_t *snapshot);
void directory_snapshot_clear(directory_snapshot_t *snapshot);
/** Takes over an item as it was written, or that it is gone. */
void directory_snapshot_note(directory_snapshot_t *snapshot, const key_value_item_t *item);
/** Drops all items whose keys are not in the set @p keys. */
void directory_snapshot_retain(directory_snapshot_t *snapshot, GHashTable *keys);
GBytes *directory_snapshot_encode(const directory_snapshot_t *snapshot);
/** False if @p bytes are no snapshot; @p snapshot is an empty one before. */
bool directory_snapshot_decode(directory_snapshot_t *snapshot, GBytes *bytes);

#endif
