/**
 * @file record_log.h
 * The write-ahead log of a storage node: records with length and checksum in numbered segment
 * files, and a small state file that is replaced atomically. Writes that arrive during a sync are
 * batched into the next one (group commit); a thread of libuv's pool does the I/O.
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

/** Called when a record is on disk in @p segment, or could not be written (@p durable false). */
typedef void (*record_log_done_t)(void *owner, bool durable, uint32_t segment);

/**
 * Opens the log in @p folder and passes each valid record to @p replay, oldest first. A segment is
 * read up to its first invalid record: what follows was never synced. Returns NULL and sets
 * @p error if the folder cannot be read or synced, or if another process has it open.
 */
record_log_t *record_log_open(uv_loop_t *loop, const char *folder,
                              void (*replay)(void *owner, uint32_t segment, const uint8_t *data,
                                             size_t length),
                              void *owner, GError **error);
/** Closes the log, which must be idle. */
void record_log_close(record_log_t *log);
/** The state file's content; NULL if it is missing or invalid. The caller unrefs it. */
GBytes *record_log_read_state(const record_log_t *log);

/** Appends a record; takes over @p record. */
void record_log_append(record_log_t *log, GBytes *record, record_log_done_t done, void *owner);
/** Appends a record that is written with the next one; takes over @p record. */
void record_log_append_with_next(record_log_t *log, GBytes *record);
/** Replaces the state file; takes over @p state. */
void record_log_write_state(record_log_t *log, GBytes *state, record_log_done_t done, void *owner);
/** Removes closed segments, oldest first, up to the first one that is in use. */
void record_log_trim(record_log_t *log, bool (*is_unused)(void *owner, uint32_t segment),
                     void *owner);
/** Size of all segments in bytes. */
uint64_t record_log_bytes(const record_log_t *log);
/** How long the oldest write that is not on disk yet has waited, in ms; 0: none waits. */
uint64_t record_log_lag_ms(const record_log_t *log);
/** True if no write is pending. */
bool record_log_idle(const record_log_t *log);

#endif
