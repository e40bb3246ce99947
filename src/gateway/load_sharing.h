/**
 * @file load_sharing.h
 * Reports exchanged between gateways: the calls that each has in progress at each back end, the
 * back ends that it finds down, and the state of its watch of the key-value service. A gateway
 * learns of the others from the storage nodes, to which all connect. Reports are datagrams; the
 * next one makes up for a lost one, and the last report of an unresponsive gateway soon expires.
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_LOAD_SHARING_H
#define RUDDERWAY_GATEWAY_LOAD_SHARING_H

#include "core/configuration/watch_role.h"
#include "core/retry/crash_history.h"
#include "gateway/backends.h"
#include "gateway/control_traffic.h"

typedef struct load_sharing load_sharing_t;

/** Callbacks for the watch reports that gateways exchange besides loads; see watch_role.h. */
typedef struct {
    /** Fills in this gateway's report. */
    void (*fill_report)(void *owner, watch_report_t *report);
    /**
     * Called once a period, and soon after another gateway reported a later change, with the
     * reports of the others, of watch_report_t. Other gateways check once in @p period_ms whether
     * their reports are due; those that watch the service, once in @p renewing_period_ms. Returns
     * the time in ms until the next call is wanted; UINT64_MAX: a period.
     */
    uint64_t (*on_reports)(void *owner, const GArray *reports, uint64_t period_ms,
                           uint64_t renewing_period_ms);
} load_sharing_handler_t;

/** What a reported crash, or the end of a request's crashes, is to this gateway. */
typedef enum {
    CRASH_KNOWN,
    CRASH_FIRST,      /**< The request has no other crash. */
    CRASH_NEAR_LIMIT, /**< The request is about to be stopped, is stopped, or was. */
} crash_news_t;

/** Callbacks for the crashes of back ends that gateways report; see crash_watch.h. */
typedef struct {
    /** Another gateway reported a crash, or that it is cleared. */
    crash_news_t (*on_crash)(void *owner, const crash_report_t *crash);
    /**
     * Appends the crashes under @p request to @p crashes, of crash_report_t; 0: those under all
     * requests that are about to be stopped, for a gateway that may have started.
     */
    void (*list_crashes)(void *owner, uint64_t request, GArray *crashes);
} crash_sharing_handler_t;

/** Returns NULL if @p address can't be used. */
load_sharing_t *load_sharing_open(uv_loop_t *loop, const struct sockaddr_in *address,
                                  backends_t *backends, const load_sharing_handler_t *handler,
                                  void *owner);
/**
 * Replaces the list of gateways by "IP:PORT" texts; this gateway's own address is left out. @p
 * below: they follow gateways of another cell (watch_role.h).
 */
void load_sharing_set_gateways(load_sharing_t *sharing, const GPtrArray *addresses, bool below);
/** From now on, reacts at once when another gateway loses the storage nodes. */
void load_sharing_watch_stores(load_sharing_t *sharing);
/** From now on, passes on the crashes that other gateways report. */
void load_sharing_share_crashes(load_sharing_t *sharing, const crash_sharing_handler_t *handler,
                                void *owner);
/** Reports @p crash, found here, to other gateways with the next reports. */
void load_sharing_report_crash(load_sharing_t *sharing, const crash_report_t *crash,
                               crash_news_t news);
/** Number of other gateways that come before this one by address. */
unsigned load_sharing_rank(const load_sharing_t *sharing);
/** Updates the loads of back ends from the latest reports; call before choosing a back end. */
void load_sharing_refresh(load_sharing_t *sharing);
/** Finds a gateway that recently reported that it reaches storage nodes; false: none did. */
bool load_sharing_find_relay(const load_sharing_t *sharing, struct sockaddr_in *address);
/**
 * Finds a gateway whose view of the key-value service may be followed, and that has seen the change
 * at revision @p changed; false: none.
 */
bool load_sharing_find_source(const load_sharing_t *sharing, uint64_t changed,
                              struct sockaddr_in *address);
/** The latest revision at which another gateway reported a change. */
uint64_t load_sharing_latest_change(const load_sharing_t *sharing);
/** True if the gateway at @p address may still be followed; sets the time of its last report. */
bool load_sharing_may_follow(const load_sharing_t *sharing, const struct sockaddr_in *address,
                             uint64_t *last_received_at);
/**
 * Sends this gateway's report now, or URGENT_INTERVAL_MIN_MS after the last one; with its next
 * period if that would exceed the control traffic of a node.
 */
void load_sharing_report_now(load_sharing_t *sharing, control_priority_t priority);
/** What was sent so far. */
const control_counts_t *load_sharing_counts(const load_sharing_t *sharing);
/** Checks in the next loop iteration whether a report is due. */
void load_sharing_check_soon(load_sharing_t *sharing);

#endif
