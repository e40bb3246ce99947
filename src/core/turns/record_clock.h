/**
 * @file record_clock.h
 * The clock by which the records of a storage node expire. It continues from the end of the log
 * and does not advance while the node is down. Neither system clock will do: the monotonic clock
 * restarts with the machine, and the wall clock may jump. The log therefore contains time marks
 * between its records. A record's age follows from the surrounding marks; it excludes time during
 * which the node was down and is never overestimated, see record_clock_latest_time().
 *
 * Without the marks, replaying the log would restart the retention time of every record: expired
 * turns would take the space of new ones, and a node that restarts more often than records expire
 * would keep all of them forever.
 *
 * Decision code: no I/O, clock or thread. Times are in ms; 0 is the time of the log's first record.
 */
#ifndef RUDDERWAY_CORE_TURNS_RECORD_CLOCK_H
#define RUDDERWAY_CORE_TURNS_RECORD_CLOCK_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Interval of marks while records are written; bounds the error of a record's age, and so for how
 * much longer than needed a node that has restarted keeps its records.
 */
enum { RECORD_MARK_INTERVAL_MS = 200 };

typedef struct {
    uint64_t first_mark; /**< Earliest mark in the log; above 0 once older segments are deleted. */
    bool mark_read;
    uint64_t replayed_ms; /**< Time covered by the marks that were read from the log. */
    bool running;         /**< The log has been replayed. */
    uint64_t started_at;  /**< When replay ended, in the caller's time. */
    uint64_t last_mark;   /**< Latest mark written, in this clock's time. */
    bool mark_written;    /**< A mark was written since replay. */
} record_clock_t;

/** Replay: advances the clock to @p mark, read from the log. An earlier mark has no effect. */
void record_clock_replay(record_clock_t *clock, uint64_t mark);
/** Ends replay; from now on the clock advances with the caller's time @p now. */
void record_clock_start(record_clock_t *clock, uint64_t now);
/**
 * During replay: the latest time at which a record behind the latest mark can have been written. An
 * expiry that counts from it is never too early.
 */
uint64_t record_clock_latest_time(const record_clock_t *clock);
/** This clock's time at @p now; during replay, that of the latest mark. */
uint64_t record_clock_time(const record_clock_t *clock, uint64_t now);
/** True if a mark must be written before the next record; sets @p mark and counts it as written. */
bool record_clock_next_mark(record_clock_t *clock, uint64_t now, uint64_t *mark);

#endif
