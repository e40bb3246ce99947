/**
 * @file crash_reports.h
 * Crashes of back ends under requests (core/retry/crash_history.h) that are due to be reported to
 * other gateways. They are entries of the load reports (load_report.h), whose receivers skip
 * entries that they do not know, and are repeated in all reports of CRASH_REPEAT_MS, since
 * datagrams may be lost.
 *
 * A back end that ends takes many requests along, and hardly any meets a second crash. So the first
 * crash of a request goes to the gateways of the cell only, from the gateway that found it, and
 * waits if there is too much to send. Once a request is about to be stopped, all of its crashes go
 * to the cell and to the counterparts in other zones (zone_loads.h), who pass them on: those that a
 * counterpart reported, to the cell; those that the cell reported, to the counterparts.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_CRASH_REPORTS_H
#define RUDDERWAY_GATEWAY_CRASH_REPORTS_H

#include "core/retry/crash_history.h"
#include "gateway/control_traffic.h"

enum {
    CRASH_REPEAT_MS = 2000,
    CRASH_REPORTS_MAX = 64, /**< Per datagram; keeps it within 2 kB besides the loads. */
    CRASH_REPORTS_MIN = 4,  /**< Per datagram, of the pressing ones, though there is no credit. */
    CRASH_REPORTS_DUE_MAX = 1024,
};

/** Receivers of a report; flags. */
typedef enum {
    CRASH_TO_CELL = 1,
    CRASH_TO_ZONES = 2,
} crash_audience_t;

typedef struct {
    GArray *recent; /**< Oldest first. */
} crash_reports_t;

void crash_reports_init(crash_reports_t *reports);
void crash_reports_clear(crash_reports_t *reports);
/**
 * Reports @p crash to @p audience, crash_audience_t, from now on; once more if it is due already.
 */
void crash_reports_add(crash_reports_t *reports, const crash_report_t *crash, unsigned audience,
                       control_priority_t priority, uint64_t now);
/**
 * Appends the latest of what is due for @p audience to @p entries, of load_entry_t: at most
 * @p pressing with CONTROL_PRESSING, then at most @p waiting with CONTROL_CAN_WAIT, and
 * CRASH_REPORTS_MAX in all. Returns how many.
 */
unsigned crash_reports_append(crash_reports_t *reports, unsigned audience, unsigned pressing,
                              unsigned waiting, uint64_t now, GArray *entries);
/** Moves the crashes in a received report's @p entries to @p crashes, of crash_report_t. */
void crash_reports_extract(GArray *entries, uint64_t now, GArray *crashes);

#endif
