/**
 * @file load_report.h
 * Contents and interval of the datagrams that gateways send each other; see load_sharing.h.
 *
 * Thread safety: the functions are pure and may be called from any thread.
 */
#ifndef RUDDERWAY_GATEWAY_LOAD_REPORT_H
#define RUDDERWAY_GATEWAY_LOAD_REPORT_H

#include "core/configuration/watch_role.h"
#include "core/retry/crash_history.h"
#include "core/routing/backend_speed.h"

#include <glib.h>

enum {
    LOAD_ENTRIES_MAX = 4096, /**< Maximum number of back ends in one datagram. */
    LOAD_ENTRY_BYTES = 20,   /**< Of an encoded entry, at most. */
    LOAD_REPORT_BYTES = 64,  /**< Of an encoded report without entries, at most. */
};

/**
 * A back end at which the sender has calls in progress, or that it has ejected. An entry can also
 * hold a measured speed (load_entry_from_speed) or a crash (load_entry_from_crash); its id is then
 * that of an incarnation or a request, and a receiver that does not know the id skips the entry.
 */
typedef struct {
    uint64_t backend; /**< backend_t.id_hash. */
    uint32_t under_way;
    uint32_t ejected_ms; /**< Remaining time for which the sender ejects the back end. */
} load_entry_t;

/**
 * The speed measured at the incarnation of a back end with the id @p incarnation; see
 * backend_speeds.h.
 */
load_entry_t load_entry_from_speed(uint64_t incarnation, const speed_estimate_t *estimate,
                                   uint64_t now);
/** Reads the speed from an entry of load_entry_from_speed. */
speed_estimate_t load_entry_speed(const load_entry_t *entry, uint64_t now);
/** Asks the receivers for all crashes that they know: read as a crash of request 0. */
load_entry_t load_entry_crash_request(void);
load_entry_t load_entry_from_crash(const crash_report_t *crash, uint64_t now);
/** Reads an entry of load_entry_from_crash; false if @p entry is none. */
bool load_entry_crash(const load_entry_t *entry, uint64_t now, crash_report_t *crash);
/** Encodes the watch report @p watch and @p entries, of load_entry_t. */
GBytes *load_report_encode(const watch_report_t *watch, GArray *entries);
/** Returns false if @p data is no report. */
bool load_report_decode(watch_report_t *watch, GArray *entries, const void *data, size_t length);
/** Interval in ms between checks whether a report to @p gateways others is due. */
uint64_t load_report_period_ms(unsigned gateways, bool calm);

#endif
