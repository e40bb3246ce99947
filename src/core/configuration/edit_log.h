/**
 * @file edit_log.h
 * The current configuration and the latest edits, from which other nodes catch up.
 *
 * Memory is bounded: only the latest few thousand edits are retained. A node that lags further
 * behind gets a snapshot, an edit that contains every object with its own revision.
 *
 * Decision code: no I/O, clock or thread.
 */
#ifndef RUDDERWAY_CORE_CONFIGURATION_EDIT_LOG_H
#define RUDDERWAY_CORE_CONFIGURATION_EDIT_LOG_H

#include "core/configuration/configuration.h"

typedef struct edit_log edit_log_t;

edit_log_t *edit_log_new(void);
void edit_log_free(edit_log_t *log);
/** The current configuration; valid until the next change unless referenced. */
configuration_t *edit_log_configuration(const edit_log_t *log);

typedef enum {
    EDIT_APPLIED,
    EDIT_OLD,      /**< The revision has already been applied. */
    EDIT_GAP,      /**< Earlier revisions are missing. */
    EDIT_REJECTED, /**< Invalid or conflicting; see the error. */
} edit_verdict_t;

/** Applies the next revision; @p edit is copied. Older revisions are not applied. */
edit_verdict_t edit_log_apply(edit_log_t *log, edit_t *edit, GError **error);
/** Replaces the configuration by @p snapshot if that is newer. */
edit_verdict_t edit_log_load(edit_log_t *log, edit_t *snapshot, GError **error);

/**
 * Appends to @p edits what a node at revision @p after lacks: copies of edits, oldest first, or
 * one snapshot. Returns true if it is a snapshot.
 */
bool edit_log_since(const edit_log_t *log, uint64_t after, GPtrArray *edits);
/** A retained edit by its id or revision, or NULL. */
const edit_t *edit_log_find(const edit_log_t *log, const char *id);
const edit_t *edit_log_get(const edit_log_t *log, uint64_t revision);
/** Retained edits, of edit_t, oldest first. */
const GPtrArray *edit_log_edits(const edit_log_t *log);

#endif
