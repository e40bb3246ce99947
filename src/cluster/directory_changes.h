/**
 * @file directory_changes.h
 * Items of the key-value service as a watch showed them, encoded to be passed from one process to
 * another in the order in which they were seen.
 *
 * Thread safety: the functions are pure and may be called from any thread.
 */
#ifndef RUDDERWAY_CLUSTER_DIRECTORY_CHANGES_H
#define RUDDERWAY_CLUSTER_DIRECTORY_CHANGES_H

#include "cluster/key_value.h"

/** An empty list of key_value_item_t, which it owns. */
GArray *directory_changes_new(void);
/** Appends a copy of @p item. */
void directory_changes_add(GArray *changes, const key_value_item_t *item);
GBytes *directory_changes_encode(const GArray *changes);
/** NULL if @p bytes are no list of items. */
GArray *directory_changes_decode(GBytes *bytes);

#endif
