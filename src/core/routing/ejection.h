/**
 * @file ejection.h
 * Ejection of a back end that is probably down.
 *
 * A gateway ejects a back end after a quick reset: its connection closes after the whole request
 * was sent, but before the back end can have processed it. A call that may run only once can't be
 * retried after that, so every gateway that detects the failure by itself loses a call. Gateways
 * therefore report ejections to each other: a back end is also ejected here if at least two other
 * gateways report it. A single report may be due to a faulty link.
 *
 * The ejection time backs off exponentially during an outage.
 *
 * Decision code; an object belongs to one thread. Times are in ms.
 */
#ifndef RUDDERWAY_CORE_ROUTING_EJECTION_H
#define RUDDERWAY_CORE_ROUTING_EJECTION_H

#include <stdbool.h>
#include <stdint.h>

/** A connection that closes within this time of the send is a quick reset. */
enum { QUICK_RESET_MS = 25 };

typedef struct {
    unsigned resets;         /**< Consecutive quick resets seen by this gateway. */
    uint64_t last_reset;     /**< Time of the latest one. */
    uint64_t ejected_until;  /**< End of the ejection by this gateway. */
    unsigned reporters;      /**< Other gateways that report it as ejected. */
    uint64_t reported_until; /**< Latest end of the ejection among their reports. */
} ejection_t;

/**
 * Records a quick reset. Those within a short time count as one, since the calls in progress fail
 * together when the back end goes down.
 */
void ejection_record_reset(ejection_t *ejection, uint64_t now);
/** Remaining time of the ejection by this gateway, to report to the others; 0: not ejected. */
uint32_t ejection_remaining_ms(const ejection_t *ejection, uint64_t now);
/** Clears the reports of other gateways, before they are added again. */
void ejection_clear_reports(ejection_t *ejection);
/** Adds the report of another gateway that ejects the back end until @p until. */
void ejection_add_report(ejection_t *ejection, uint64_t until, uint64_t now);
/** True if the back end is ejected because of other gateways' reports. */
bool ejection_is_reported(const ejection_t *ejection, uint64_t now);
/** True if the back end is ejected, by this gateway or by reports. */
bool ejection_is_active(const ejection_t *ejection, uint64_t now);

#endif
