/**
 * @file record_log.h
 * The synced log of a storage node: records in numbered segment files, each with its length and
 * checksum, and one small state file that is replaced whole. Writes gather while the disk is
 * busy and share one sync; a thread of libuv's pool waits for the disk.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_STORE_RECORD_LOG_H
#define RUDDERWAY_STORE_RECORD_LOG_H

#include "common/error.h"

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

typedef struct record_log record_log_t;

/** Says that a record is on disk in @p segment, or could not be put there. */
typedef void (*record_log_done_t)(void *owner, bool durable, uint32_t segment);

/**
 * Opens the log in @p folder and hands each sound record to @p replay, oldest first. A segment is
 * read up to its first unsound record: what follows was never synced.
 */
record_log_t *record_log_open(uv_loop_t *loop, const char *folder,
                              void (*replay)(void *owner, uint32_t segment, const uint8_t *data,
                                             size_t length),
                              void *owner, GError **error);
/** Closes the log; nothing may be waiting for the disk. */
void record_log_close(record_log_t *log);
/** The state file's content; NULL if there is none or it is unsound. Caller unrefs. */
GBytes *record_log_read_state(const record_log_t *log);

/** Appends a record; takes over @p record. */
void record_log_append(record_log_t *log, GBytes *record, record_log_done_t done, void *owner);
/** Replaces the state file; takes over @p state. */
void record_log_write_state(record_log_t *log, GBytes *state, record_log_done_t done, void *owner);
/** Removes closed segments, oldest first, as long as @p unneeded says so. */
void record_log_trim(record_log_t *log, bool (*unneeded)(void *owner, uint32_t segment),
                     void *owner);
/** Bytes of all segments. */
uint64_t record_log_bytes(const record_log_t *log);
/** True if nothing waits for the disk. */
bool record_log_idle(const record_log_t *log);

#endif
