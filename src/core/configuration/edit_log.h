/**
 * @file edit_log.h
 * A configuration together with its latest edits, from which others catch up.
 *
 * Memory is bounded: edits beyond the newest few thousand are forgotten, and whoever lags
 * further gets a snapshot, which is an edit that carries every object with its own revision.
 * Decision code: no I/O, clock or thread.
 */
#ifndef RUDDERWAY_CORE_CONFIGURATION_EDIT_LOG_H
#define RUDDERWAY_CORE_CONFIGURATION_EDIT_LOG_H

#include "core/configuration/configuration.h"

typedef struct edit_log edit_log_t;

edit_log_t *edit_log_new(void);
void edit_log_free(edit_log_t *log);
/** The configuration in force; valid until the next change, or ref it. */
configuration_t *edit_log_configuration(const edit_log_t *log);

typedef enum {
    EDIT_APPLIED,
    EDIT_OLD,      /**< Its revision is in force already. */
    EDIT_GAP,      /**< Revisions before it are missing. */
    EDIT_REJECTED, /**< Not valid; @p error says why. */
} edit_verdict_t;

/** Applies the next revision; @p edit is copied. A configuration never goes back. */
edit_verdict_t edit_log_apply(edit_log_t *log, edit_t *edit, GError **error);
/** Replaces the configuration by a snapshot, if that is newer. */
edit_verdict_t edit_log_load(edit_log_t *log, edit_t *snapshot, GError **error);

/**
 * What somebody at revision @p after lacks: appends copies of edits to @p edits, oldest first,
 * or one snapshot. Returns true if it is a snapshot.
 */
bool edit_log_since(const edit_log_t *log, uint64_t after, GPtrArray *edits);
/** A kept edit by its id or by its revision; NULL if it is not known. */
const edit_t *edit_log_find(const edit_log_t *log, const char *id);
const edit_t *edit_log_get(const edit_log_t *log, uint64_t revision);
/** Kept edits, oldest first, of edit_t. */
const GPtrArray *edit_log_edits(const edit_log_t *log);

#endif
