/**
 * @file event.h
 * Numbered log events on log4c. The catalogue is events.def; docs/EVENTS.md says what
 * each event means and what to do. One event is one line:
 *
 *     E300 PARTITION_LEADER partition=4 term=2
 *
 * Thread safety: event_log may be called from any thread after event_open.
 */
#ifndef RUDDERWAY_COMMON_EVENT_H
#define RUDDERWAY_COMMON_EVENT_H

#include <glib.h>
#include <inttypes.h>

typedef enum {
#define EVENT(number, name, level, fields) EVENT_##name = (number),
#include "common/events.def"
#undef EVENT
} event_id_t;

/** Opens the log on standard output, see log_output.h; events below @p level ("debug" to "error")
 * are dropped. */
void event_open(const char *program, const char *level);
void event_close(void);

/** True if @p level names a log level. */
gboolean event_level_valid(const char *level);

/** Lines that were left out of the log since the start. */
uint64_t event_lines_left_out(void);

void event_write(event_id_t id, const char *format, ...) G_GNUC_PRINTF(2, 3);

/** Logs an event: event_log(MEMBER_DEAD, name, instance). The fields' types come from events.def.
 */
#define event_log(name, ...) event_write(EVENT_##name, EVENT_FORMAT_##name, __VA_ARGS__)

#define EVENT(number, name, level, fields)                                                         \
    static const char EVENT_FORMAT_##name[] G_GNUC_UNUSED = fields;
#include "common/events.def"
#undef EVENT

#endif
