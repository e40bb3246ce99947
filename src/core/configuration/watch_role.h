/**
 * @file watch_role.h
 * Decides when a process renews its watch of the key-value service and how long the watch waits.
 *
 * A watch whose response was lost looks like one without changes, so some watches must be renewed
 * every few seconds. The first WATCH_RENEWING processes by address whose watch is healthy do so;
 * they are *renewing*. The others are *resting*: their watches have a long wait. If a renewing
 * process fails, the next one in order takes its place.
 *
 * Each process reports to the others when its watch was last answered and the latest revision at
 * which it saw a change. A process that has not seen a reported change renews its own watch.
 * Renewing processes stagger their waits, so that one of them is answered every WATCH_STAGGER_MS.
 * If none was answered for longer than that, all of them may be isolated, and the next few
 * processes start renewing.
 *
 * In a large fleet processes are divided into groups and report only within their group. One group
 * watches the service for all. In each other group (`below`) the first few live processes follow
 * processes of the watching group, and the rest follow those few. They call the service themselves
 * only if that fails, so that the number of calls does not grow with the fleet, even during an
 * outage.
 *
 * A change must be in force everywhere within 2 s, even if a process fails meanwhile. In the worst
 * case a watch pauses for WATCH_PAUSE_MAX_MS before it sees the change, and a follower whose
 * source has failed waits for WATCH_SOURCE_LAG_MAX_MS and at most WATCH_BEHIND_CHECK_INTERVAL_MS
 * more before it requests the change from another source: 1.3 s in all, plus network delays. With
 * a pause of 0.9 s, and a check interval and timeout that grow with the report period, it took up
 * to 2.9 s.
 *
 * Decision code: no I/O, clock or thread. Times are in ms.
 */
#ifndef RUDDERWAY_CORE_CONFIGURATION_WATCH_ROLE_H
#define RUDDERWAY_CORE_CONFIGURATION_WATCH_ROLE_H

#include <stdbool.h>
#include <stdint.h>

enum {
    WATCH_RENEWING = 3,          /**< Number of renewing processes. */
    WATCH_FREQUENT_RETRIERS = 6, /**< Number of processes that retry frequently during an outage. */
    WATCH_WAIT_RENEWING_MS = 3000,
    WATCH_WAIT_MIN_MS = 300, /**< Shorter staggered waits are extended by one cycle. */
    /** Interval between the responses to consecutive renewing processes. */
    WATCH_STAGGER_MS = WATCH_WAIT_RENEWING_MS / WATCH_RENEWING,
    /** Delay beyond WATCH_STAGGER_MS and two report periods after which a response is missing. */
    WATCH_OVERDUE_MS = 300,
    WATCH_WAIT_RESTING_MS = 25000,
    WATCH_RESTING_PAUSE_MS = 1000,   /**< Pause between two watches of a resting process. */
    WATCH_RESPONSE_TIMEOUT_MS = 900, /**< Timeout of a watch's response beyond its wait. */
    WATCH_LAG_MAX_MS = 600,          /**< Timeout for a change that another process has reported. */
    WATCH_RENEWED_LAG_MAX_MS =
        2000,                 /**< The same after the watch was renewed because of that change. */
    WATCH_PAUSE_MAX_MS = 500, /**< Maximum pause between two watches that both saw changes. */
    /** Timeout for a reported change to arrive from the followed process, which may pause first. */
    WATCH_SOURCE_LAG_MAX_MS = WATCH_PAUSE_MAX_MS + 200,
    WATCH_BEHIND_CHECK_INTERVAL_MS = 50, /**< Check interval while such a change is missing. */
};

/** Report of another process on its watch and its connections to storage nodes. */
typedef struct {
    bool before;   /**< Its address precedes that of this process. */
    unsigned rank; /**< Number of other known processes whose addresses precede its own. */
    uint64_t last_received_at; /**< When the report was received. */
    uint32_t answer_age;       /**< Age of its watch's latest response then; UINT32_MAX: none. */
    uint64_t changed;          /**< Latest revision at which it saw a change. */
    bool has_stores;           /**< It is connected directly to a quorum of storage nodes. */
    bool renews;               /**< It is renewing, so that others may follow it. */
} watch_report_t;

/** State of this process's own watch. */
typedef struct {
    uint64_t known;        /**< All changes up to this revision have been seen. */
    uint64_t answered_at;  /**< Latest response; 0: never. */
    uint64_t started_at;   /**< Start of the pending watch. */
    uint64_t behind_since; /**< When others first reported a later change; 0: none reported. */
    bool below;            /**< This process's group follows another group. */
} watch_state_t;

typedef struct {
    bool renewing;    /**< This process is renewing. */
    uint32_t wait_ms; /**< Wait of the next watch. */
    bool renew;       /**< Cancel the pending watch and start a new one. */
    bool first;       /**< Fewer than WATCH_RENEWING live processes precede it. */
    bool slow_retry;  /**< Retry slowly during an outage: enough others retry frequently. */
} watch_decision_t;

/**
 * The age to report of a watch that was last answered at @p answered_at (0: never) and, if
 * @p failed_at is not 0, has failed since. A failed watch is reported as never answered, so that
 * other processes take over its role at once even if the service rejects only the renewing ones;
 * with its true age nobody watched for 3.6 s then, and a configuration came into force late.
 */
uint32_t watch_answer_age(uint64_t answered_at, uint64_t failed_at, uint64_t now);

/**
 * True if a process's watch is healthy according to its report: it was answered within one wait,
 * allowing for one lost report. @p renewing_period_ms: report period of renewing processes.
 */
bool watch_report_healthy(const watch_report_t *report, uint64_t renewing_period_ms, uint64_t now);

/**
 * Decides by the @p count reports of other processes and updates `behind_since` of @p own.
 * @p report_period_ms: interval of the reports; if it is too long, no process rests.
 */
watch_decision_t watch_role_decide(watch_state_t *own, const watch_report_t *reports,
                                   unsigned count, uint64_t report_period_ms,
                                   uint64_t renewing_period_ms, uint64_t now);

#endif
