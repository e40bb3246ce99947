#include "core/isolation/zone_isolation.h"

static unsigned count_received(const zone_member_t *members, unsigned count, uint64_t since) {
    unsigned received = 0;
    for (unsigned i = 0; i < count; i++)
        received += members[i].last_received_at > 0 && members[i].last_received_at >= since;
    return received;
}

static uint64_t subtract_clamped(uint64_t now, uint64_t ms) {
    return now > ms ? now - ms : 0;
}

static bool local_zone_responds(const zone_member_t *members, unsigned count, uint64_t since) {
    for (unsigned i = 0; i < count; i++)
        if (members[i].local && members[i].last_received_at >= since)
            return true;
    return false;
}

/**
 * Shortest time, in ms, that a member of another zone has left a probe unanswered, not counting
 * time before the suspicion; 0 if one has no unanswered probe or there are no other zones.
 */
static uint64_t remote_zones_unresponsive_ms(const zone_isolation_t *isolation,
                                             const zone_member_t *members, unsigned count,
                                             uint64_t now) {
    uint64_t latest = 0;
    for (unsigned i = 0; i < count; i++) {
        const zone_member_t *member = &members[i];
        if (member->local)
            continue;
        if (member->probed_at == 0)
            return 0;
        uint64_t asked = member->probed_at > isolation->suspected_since
                             ? member->probed_at
                             : isolation->suspected_since;
        latest = asked > latest ? asked : latest;
    }
    return latest == 0 || latest > now ? 0 : now - latest;
}

static zone_isolation_step_t probe_if_due(zone_isolation_t *isolation, uint64_t now) {
    if (isolation->probed_at > 0 && now < isolation->probed_at + ZONE_PROBE_INTERVAL_MS)
        return ZONE_ISOLATION_NO_ACTION;
    isolation->probed_at = now;
    return ZONE_ISOLATION_PROBE;
}

static void set_isolated(zone_isolation_t *isolation, bool isolated, uint64_t now) {
    isolation->isolated = isolated;
    isolation->since = now;
    isolation->recovering_since = 0;
    isolation->suspected_since = 0;
}

static void begin_suspicion(zone_isolation_t *isolation, uint64_t now) {
    isolation->suspected_since = now;
    isolation->probed_at = 0;
    isolation->reconnected = false;
}

static zone_isolation_step_t check_recovery(zone_isolation_t *isolation,
                                            const zone_member_t *members, unsigned count,
                                            unsigned quorum, uint64_t now) {
    uint64_t recent = subtract_clamped(now, ZONE_PROBE_INTERVAL_MS + 2 * ZONE_CHECK_INTERVAL_MS);
    /* Responses from before the isolation do not count. */
    recent = recent > isolation->since ? recent : isolation->since;
    if (count_received(members, count, recent) < quorum)
        isolation->recovering_since = 0;
    else if (isolation->recovering_since == 0)
        isolation->recovering_since = now;
    else if (now >= isolation->recovering_since + ZONE_RECOVERY_MS) {
        set_isolated(isolation, false, now);
        return ZONE_ISOLATION_NO_ACTION;
    }
    return probe_if_due(isolation, now);
}

zone_isolation_step_t zone_isolation_check(zone_isolation_t *isolation,
                                           const zone_member_t *members, unsigned count,
                                           unsigned quorum, bool waiting, uint64_t now) {
    bool check_late = now > isolation->checked_at + ZONE_CHECK_LATE_MS;
    isolation->checked_at = now;
    if (isolation->isolated)
        return check_recovery(isolation, members, count, quorum, now);
    if (!waiting ||
        count_received(members, count, subtract_clamped(now, ZONE_SUSPECT_AFTER_MS)) >= quorum) {
        isolation->suspected_since = 0;
        return ZONE_ISOLATION_NO_ACTION;
    }
    if (isolation->suspected_since == 0 || check_late)
        begin_suspicion(isolation, now);
    uint64_t unresponsive_ms = remote_zones_unresponsive_ms(isolation, members, count, now);
    if (unresponsive_ms >= ZONE_ISOLATED_AFTER_MS &&
        local_zone_responds(members, count, isolation->suspected_since)) {
        set_isolated(isolation, true, now);
        isolation->probed_at = now;
        return ZONE_ISOLATION_PROBE;
    }
    if (unresponsive_ms >= ZONE_RECONNECT_AFTER_MS && !isolation->reconnected) {
        isolation->reconnected = true;
        return ZONE_ISOLATION_RECONNECT;
    }
    return probe_if_due(isolation, now);
}

bool zone_isolation_suspected(const zone_isolation_t *isolation, uint64_t now) {
    return !isolation->isolated && isolation->suspected_since > 0 &&
           now < isolation->suspected_since + ZONE_SUSPECT_MAX_MS;
}
