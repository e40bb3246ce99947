/**
 * @file log_output.h
 * Where log lines go: a file descriptor that must never hold the process up.
 *
 * A line is written whole or not at all. It is left out if the descriptor takes nothing now (its
 * reader has stopped), or if this second's budget of lines is spent; warnings and errors have no
 * budget. How many were left out is told by a line of its own as soon as one gets through.
 *
 * Thread safety: log_output_write may be called from any thread.
 */
#ifndef RUDDERWAY_COMMON_LOG_OUTPUT_H
#define RUDDERWAY_COMMON_LOG_OUTPUT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Lines a second besides warnings and errors. */
enum { LOG_LINES_A_SECOND = 500 };

typedef struct {
    int descriptor;
    int flags_before; /**< Of the descriptor; restored at the end. */
    GMutex mutex;
    int64_t second;     /**< The second that `lines` counts. */
    unsigned lines;     /**< Written in it. */
    uint64_t left_out;  /**< Since the last line that said so. */
    uint64_t total_out; /**< Left out since the start. */
} log_output_t;

void log_output_open(log_output_t *output, int descriptor);
void log_output_close(log_output_t *output);
/**
 * Writes @p line, which ends with a line feed. @p second is the time of day in s; @p urgent lines
 * are not counted against the budget.
 */
void log_output_write(log_output_t *output, const char *line, int64_t second, bool urgent);
/** Lines left out since the start. */
uint64_t log_output_left_out(log_output_t *output);

#endif
