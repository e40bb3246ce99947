#include "core/isolation/zone_silence.h"

static unsigned count_received(const zone_member_t *members, unsigned count, uint64_t since) {
    unsigned received = 0;
    for (unsigned i = 0; i < count; i++)
        received += members[i].heard_at > 0 && members[i].heard_at >= since;
    return received;
}

static uint64_t time_before(uint64_t now, uint64_t ms) {
    return now > ms ? now - ms : 0;
}

static bool local_zone_responds(const zone_member_t *members, unsigned count, uint64_t since) {
    for (unsigned i = 0; i < count; i++)
        if (members[i].near && members[i].heard_at >= since)
            return true;
    return false;
}

/**
 * Shortest time, in ms, that a member of another zone has left a probe unanswered, not counting
 * time before the suspicion; 0 if one has no unanswered probe or there are no other zones.
 */
static uint64_t remote_zones_unresponsive_ms(const zone_silence_t *isolation,
                                             const zone_member_t *members, unsigned count,
                                             uint64_t now) {
    uint64_t latest = 0;
    for (unsigned i = 0; i < count; i++) {
        const zone_member_t *member = &members[i];
        if (member->near)
            continue;
        if (member->asked_at == 0)
            return 0;
        uint64_t asked =
            member->asked_at > isolation->doubt_since ? member->asked_at : isolation->doubt_since;
        latest = asked > latest ? asked : latest;
    }
    return latest == 0 || latest > now ? 0 : now - latest;
}

static zone_silence_step_t probe_if_due(zone_silence_t *isolation, uint64_t now) {
    if (isolation->asked_at > 0 && now < isolation->asked_at + ZONE_PROBE_INTERVAL_MS)
        return ZONE_SILENCE_NOTHING;
    isolation->asked_at = now;
    return ZONE_SILENCE_ASK;
}

static void set_isolated(zone_silence_t *isolation, bool cut, uint64_t now) {
    isolation->cut = cut;
    isolation->since = now;
    isolation->recovering_since = 0;
    isolation->doubt_since = 0;
}

static void begin_suspicion(zone_silence_t *isolation, uint64_t now) {
    isolation->doubt_since = now;
    isolation->asked_at = 0;
    isolation->reconnected = false;
}

static zone_silence_step_t check_recovery(zone_silence_t *isolation, const zone_member_t *members,
                                          unsigned count, unsigned quorum, uint64_t now) {
    uint64_t recent = time_before(now, ZONE_PROBE_INTERVAL_MS + 2 * ZONE_LOOK_MS);
    /* Responses from before the isolation do not count. */
    recent = recent > isolation->since ? recent : isolation->since;
    if (count_received(members, count, recent) < quorum)
        isolation->recovering_since = 0;
    else if (isolation->recovering_since == 0)
        isolation->recovering_since = now;
    else if (now >= isolation->recovering_since + ZONE_RECOVERY_MS) {
        set_isolated(isolation, false, now);
        return ZONE_SILENCE_NOTHING;
    }
    return probe_if_due(isolation, now);
}

zone_silence_step_t zone_silence_look(zone_silence_t *isolation, const zone_member_t *members,
                                      unsigned count, unsigned quorum, bool waiting, uint64_t now) {
    bool check_late = now > isolation->checked_at + ZONE_CHECK_LATE_MS;
    isolation->checked_at = now;
    if (isolation->cut)
        return check_recovery(isolation, members, count, quorum, now);
    if (!waiting || count_received(members, count, time_before(now, ZONE_WAIT_MS)) >= quorum) {
        isolation->doubt_since = 0;
        return ZONE_SILENCE_NOTHING;
    }
    if (isolation->doubt_since == 0 || check_late)
        begin_suspicion(isolation, now);
    uint64_t unresponsive_ms = remote_zones_unresponsive_ms(isolation, members, count, now);
    if (unresponsive_ms >= ZONE_ISOLATED_AFTER_MS &&
        local_zone_responds(members, count, isolation->doubt_since)) {
        set_isolated(isolation, true, now);
        isolation->asked_at = now;
        return ZONE_SILENCE_ASK;
    }
    if (unresponsive_ms >= ZONE_RECONNECT_AFTER_MS && !isolation->reconnected) {
        isolation->reconnected = true;
        return ZONE_SILENCE_RECONNECT;
    }
    return probe_if_due(isolation, now);
}

bool zone_silence_in_doubt(const zone_silence_t *isolation, uint64_t now) {
    return !isolation->cut && isolation->doubt_since > 0 &&
           now < isolation->doubt_since + ZONE_SUSPECT_MAX_MS;
}
