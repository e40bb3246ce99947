/**
 * @file load_report.h
 * What one gateway tells another in one datagram, and how often: see load_sharing.h.
 *
 * Thread safety: the functions are pure and may be called from any thread.
 */
#ifndef RUDDERWAY_GATEWAY_LOAD_REPORT_H
#define RUDDERWAY_GATEWAY_LOAD_REPORT_H

#include "core/configuration/watch_duty.h"
#include "core/routing/backend_speed.h"

#include <glib.h>

/** Back ends that one datagram tells of at most. */
enum { LOAD_ENTRIES_MAXIMUM = 4096 };

/**
 * One back end at which the sender has calls under way, or that it leaves out; or a pace that it
 * measured (load_entry_of_pace), under an id that is no back end's: who knows none skips it.
 */
typedef struct {
    uint64_t backend; /**< backend_t.id_hash. */
    uint32_t under_way;
    uint32_t out_ms; /**< The sender leaves the back end out for so long from now. */
} load_entry_t;

/** What was measured at the life of a back end that has the id @p life; see backend_paces.h. */
load_entry_t load_entry_of_pace(uint64_t life, const backend_pace_t *pace, uint64_t now);
/** The pace of such an entry. */
backend_pace_t load_entry_pace(const load_entry_t *entry, uint64_t now);
/** @p entries of load_entry_t; of @p watch what is told of it. */
GBytes *load_report_encode(const watch_report_t *watch, GArray *entries);
/** Sets what is told; false if @p data is no report. */
bool load_report_decode(watch_report_t *watch, GArray *entries, const void *data, size_t length);
/** Time between two looks whether @p gateways others are to be told something. */
uint64_t load_report_period_ms(unsigned gateways, bool calm);

#endif
