/**
 * @file zone_isolation.h
 * Detects whether a gateway's zone is isolated from the other zones.
 *
 * The zone is isolated if the storage nodes of all other zones are unresponsive while at least one
 * of the local zone responds. A single unresponsive member may simply have failed. If no member
 * responds, all may have lost power and other gateways are no better off, so the zone is not
 * reported as isolated. Isolation ends once a quorum of storage nodes has responded continuously
 * for ZONE_RECOVERY_MS. Open connections are not sufficient: they may go through another gateway
 * that is isolated as well.
 *
 * Members are probed only while an operation waits for a quorum or the zone is isolated.
 * Connections are reopened once before the zone is declared isolated, so that a single gateway
 * without connectivity can continue through another gateway. If the process itself was paused, the
 * observation restarts, because unread responses may be waiting in its sockets.
 *
 * Decision code: no I/O, clock or threads; an object belongs to one thread. Times are ms of the
 * caller's steady clock.
 */
#ifndef RUDDERWAY_CORE_ISOLATION_ZONE_ISOLATION_H
#define RUDDERWAY_CORE_ISOLATION_ZONE_ISOLATION_H

#include <stdbool.h>
#include <stdint.h>

enum {
    /**
     * An operation that waits longer than this for a quorum starts a check. A quorum responds
     * within some ms, or within the time of a disk write if the record is written first; probes
     * need no disk.
     */
    ZONE_SUSPECT_AFTER_MS = 75,
    ZONE_CHECK_INTERVAL_MS = 50, /**< While isolation is suspected or established. */
    ZONE_PROBE_INTERVAL_MS = 100,
    ZONE_RECONNECT_AFTER_MS = 150, /**< Probes unanswered for this long: reopen connections. */
    /**
     * The zone is isolated if probes to all other zones are unanswered for this long. Leaves
     * reopened connections time to respond.
     */
    ZONE_ISOLATED_AFTER_MS = 300,
    ZONE_RECOVERY_MS = 300,   /**< A quorum must respond this long to end the isolation. */
    ZONE_CHECK_LATE_MS = 250, /**< A check this late means that the process was paused. */
    /** An older suspicion is not reported, so that calls stop waiting for its outcome. */
    ZONE_SUSPECT_MAX_MS = ZONE_ISOLATED_AFTER_MS + 2 * ZONE_CHECK_INTERVAL_MS,
};

/** A storage node of the group, connected directly or through another gateway. */
typedef struct {
    bool local;                /**< In the gateway's zone. */
    uint64_t last_received_at; /**< Last response; an opened connection does not count. */
    uint64_t probed_at;        /**< Oldest unanswered probe; 0: none. */
} zone_member_t;

typedef struct {
    bool isolated;
    uint64_t since;            /**< When the state last changed. */
    uint64_t recovering_since; /**< While isolated: a quorum has responded since then; 0: none. */
    uint64_t suspected_since;  /**< Start of the suspicion; 0: none. */
    uint64_t probed_at;        /**< Latest round of probes. */
    uint64_t checked_at;
    bool reconnected; /**< During this suspicion. */
} zone_isolation_t;

typedef enum {
    ZONE_ISOLATION_NO_ACTION,
    ZONE_ISOLATION_PROBE,     /**< Probe all members. */
    ZONE_ISOLATION_RECONNECT, /**< Close unresponsive connections and probe. */
} zone_isolation_step_t;

/**
 * Evaluates the members and updates the isolation state. @p quorum: members that a write needs.
 * @p waiting: an operation has waited for a quorum for ZONE_SUSPECT_AFTER_MS, no quorum is
 * connected, or another gateway has reported that it has no quorum. To be called every
 * ZONE_CHECK_INTERVAL_MS while isolation is suspected or established.
 */
zone_isolation_step_t zone_isolation_check(zone_isolation_t *isolation,
                                           const zone_member_t *members, unsigned count,
                                           unsigned quorum, bool waiting, uint64_t now);
/** True while isolation is suspected but not established. */
bool zone_isolation_suspected(const zone_isolation_t *isolation, uint64_t now);

#endif
