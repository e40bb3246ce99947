/**
 * @file record_clock.h
 * The time by which the records of a storage node age. It goes on from where the log ended, and
 * stands while the node is down: a steady clock begins anew with its machine, and the time of day
 * may jump. So the log holds marks of this time between its records; a record is as old as the
 * marks around it say, less the time that the node was down, and never older than it is.
 *
 * Without it reading the log again gave each record its whole time once more. After a loss of power
 * turns that had been forgotten took the room of new ones, and all were refused; a node that ends
 * more often than records expire would keep all of them for good.
 *
 * Decision code: no I/O, clock or thread. Times are in ms; this clock's begin with 0 at the log's
 * first record.
 */
#ifndef RUDDERWAY_CORE_TURNS_RECORD_CLOCK_H
#define RUDDERWAY_CORE_TURNS_RECORD_CLOCK_H

#include <stdbool.h>
#include <stdint.h>

/** Between two marks while records are written: a record may be taken for so much younger. */
enum { RECORD_MARK_MS = 1000 };

typedef struct {
    uint64_t first_mark; /**< Of the log; marks count from its first record ever. */
    bool any_mark;
    uint64_t read;       /**< Time that reading the log has shown. */
    bool running;        /**< The log has been read. */
    uint64_t running_at; /**< When that was, in the caller's time. */
    uint64_t marked;     /**< The latest mark written, in this clock's time. */
    bool any_marked;     /**< Since the log has been read. */
} record_clock_t;

/** A mark was read from the log. */
void record_clock_read(record_clock_t *clock, uint64_t mark);
/** The log has been read; from now on the clock follows the caller's time @p now. */
void record_clock_run(record_clock_t *clock, uint64_t now);
/** This clock's time at @p now; while the log is being read, that of the latest mark. */
uint64_t record_clock_time(const record_clock_t *clock, uint64_t now);
/** True if the next record is to stand behind a new mark; sets @p mark and counts it as written. */
bool record_clock_mark(record_clock_t *clock, uint64_t now, uint64_t *mark);

#endif
