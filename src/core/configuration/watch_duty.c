#include "core/configuration/watch_duty.h"

enum {
    TELL_PERIOD_MOST_MS = 1200, /**< Told more seldom, a missed change would show too late. */
    UP_MS = 1000, /**< Processes tell at least this often, or once a period if that is longer. */
};

uint32_t watch_answer_age(uint64_t answered_at, uint64_t failed_at, uint64_t now) {
    if (answered_at == 0 || failed_at > 0)
        return UINT32_MAX;
    return (uint32_t)(now - answered_at);
}

bool watch_duty_in_order(const watch_report_t *report, uint64_t renewing_period_ms, uint64_t now) {
    if (report->answer_age == UINT32_MAX)
        return false;
    uint64_t bound = WATCH_WAIT_RENEWING_MS + WATCH_ANSWER_MS + 2 * renewing_period_ms;
    return now <= report->heard_at - report->answer_age + bound;
}

/** Keeps since when another process knows of a change that this one has not seen. */
static void look_whether_behind(watch_state_t *own, const watch_report_t *reports, unsigned count,
                                uint64_t now) {
    bool behind = false;
    for (unsigned i = 0; i < count; i++)
        behind = behind || reports[i].changed > own->known;
    if (!behind)
        own->behind_since = 0;
    else if (own->behind_since == 0)
        own->behind_since = now;
}

/** How many processes before this one were heard lately. */
static unsigned count_up(const watch_report_t *reports, unsigned count, uint64_t tell_period_ms,
                         uint64_t now) {
    unsigned up = 0;
    for (unsigned i = 0; i < count; i++)
        up += reports[i].before && now <= reports[i].heard_at + UP_MS + 2 * tell_period_ms;
    return up;
}

watch_decision_t watch_duty_decide(watch_state_t *own, const watch_report_t *reports,
                                   unsigned count, uint64_t tell_period_ms,
                                   uint64_t renewing_period_ms, uint64_t now) {
    unsigned renewing = 0;
    for (unsigned i = 0; i < count; i++)
        renewing += reports[i].before && watch_duty_in_order(&reports[i], renewing_period_ms, now);
    unsigned up = count_up(reports, count, tell_period_ms, now);
    bool rests = own->below ? up >= WATCH_RENEWING
                            : renewing >= WATCH_RENEWING && tell_period_ms <= TELL_PERIOD_MOST_MS;
    look_whether_behind(own, reports, count, now);
    /* A new watch that did not help has a longer trial: the service may be out of reach. */
    bool tried = own->begun_at > own->behind_since;
    uint64_t patience = tried ? WATCH_TRIAL_MS : WATCH_LAG_MS;
    bool behind = own->behind_since > 0 && now >= own->behind_since + WATCH_LAG_MS &&
                  now >= own->begun_at + patience;
    /* One that waits no longer than it should is about to be answered: giving it up costs a call,
       and makes the process look as if its watch was not in order. */
    uint64_t answer_due_ms = WATCH_WAIT_RENEWING_MS + WATCH_ANSWER_MS;
    bool due =
        !rests && now >= own->begun_at + answer_due_ms && now >= own->answered_at + answer_due_ms;
    return (watch_decision_t){
        .wait_ms = rests ? WATCH_WAIT_RESTING_MS : WATCH_WAIT_RENEWING_MS,
        .renew = behind || due,
        .first = up < WATCH_RENEWING,
        .patient = own->below || up >= WATCH_PROBING,
    };
}
