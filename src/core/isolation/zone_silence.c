#include "core/isolation/zone_silence.h"

static unsigned count_heard(const zone_member_t *members, unsigned count, uint64_t since) {
    unsigned heard = 0;
    for (unsigned i = 0; i < count; i++)
        heard += members[i].heard_at > 0 && members[i].heard_at >= since;
    return heard;
}

static uint64_t before(uint64_t now, uint64_t ms) {
    return now > ms ? now - ms : 0;
}

static bool near_heard(const zone_member_t *members, unsigned count, uint64_t since) {
    for (unsigned i = 0; i < count; i++)
        if (members[i].near && members[i].heard_at >= since)
            return true;
    return false;
}

/** For how long all members of other zones have left a question unanswered; 0: not all have. */
static uint64_t others_silent_ms(const zone_silence_t *silence, const zone_member_t *members,
                                 unsigned count, uint64_t now) {
    uint64_t latest = 0;
    for (unsigned i = 0; i < count; i++) {
        const zone_member_t *member = &members[i];
        if (member->near)
            continue;
        if (member->asked_at == 0)
            return 0;
        uint64_t asked =
            member->asked_at > silence->doubt_since ? member->asked_at : silence->doubt_since;
        latest = asked > latest ? asked : latest;
    }
    return latest == 0 || latest > now ? 0 : now - latest;
}

static zone_silence_step_t ask_in_turn(zone_silence_t *silence, uint64_t now) {
    if (silence->asked_at > 0 && now < silence->asked_at + ZONE_ASK_AGAIN_MS)
        return ZONE_SILENCE_NOTHING;
    silence->asked_at = now;
    return ZONE_SILENCE_ASK;
}

static void set_cut(zone_silence_t *silence, bool cut, uint64_t now) {
    silence->cut = cut;
    silence->since = now;
    silence->heard_since = 0;
    silence->doubt_since = 0;
}

static void begin_doubt(zone_silence_t *silence, uint64_t now) {
    silence->doubt_since = now;
    silence->asked_at = 0;
    silence->reconnected = false;
}

static zone_silence_step_t look_while_cut(zone_silence_t *silence, const zone_member_t *members,
                                          unsigned count, unsigned quorum, uint64_t now) {
    uint64_t lately = before(now, ZONE_ASK_AGAIN_MS + 2 * ZONE_LOOK_MS);
    /* An answer from before the cut is none. */
    lately = lately > silence->since ? lately : silence->since;
    if (count_heard(members, count, lately) < quorum)
        silence->heard_since = 0;
    else if (silence->heard_since == 0)
        silence->heard_since = now;
    else if (now >= silence->heard_since + ZONE_HEARD_MS) {
        set_cut(silence, false, now);
        return ZONE_SILENCE_NOTHING;
    }
    return ask_in_turn(silence, now);
}

zone_silence_step_t zone_silence_look(zone_silence_t *silence, const zone_member_t *members,
                                      unsigned count, unsigned quorum, bool waiting, uint64_t now) {
    bool late = now > silence->looked_at + ZONE_LOOK_LATE_MS;
    silence->looked_at = now;
    if (silence->cut)
        return look_while_cut(silence, members, count, quorum, now);
    if (!waiting || count_heard(members, count, before(now, ZONE_WAIT_MS)) >= quorum) {
        silence->doubt_since = 0;
        return ZONE_SILENCE_NOTHING;
    }
    if (silence->doubt_since == 0 || late)
        begin_doubt(silence, now);
    uint64_t silent_ms = others_silent_ms(silence, members, count, now);
    if (silent_ms >= ZONE_CUT_MS && near_heard(members, count, silence->doubt_since)) {
        set_cut(silence, true, now);
        silence->asked_at = now;
        return ZONE_SILENCE_ASK;
    }
    if (silent_ms >= ZONE_RECONNECT_MS && !silence->reconnected) {
        silence->reconnected = true;
        return ZONE_SILENCE_RECONNECT;
    }
    return ask_in_turn(silence, now);
}

bool zone_silence_in_doubt(const zone_silence_t *silence, uint64_t now) {
    return !silence->cut && silence->doubt_since > 0 &&
           now < silence->doubt_since + ZONE_DOUBT_MOST_MS;
}
