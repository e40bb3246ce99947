#include "core/configuration/watch_duty.h"

#include <limits.h>

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

static uint64_t told_answer_at(const watch_report_t *report) {
    return report->heard_at - report->answer_age;
}

/** What the processes before this one tell of their watches. */
typedef struct {
    unsigned renewing;      /**< Watches in order. */
    uint64_t latest_answer; /**< To any of these; 0: there is none. */
    unsigned first_rank;    /**< Of the first of them. */
    uint64_t first_answer;  /**< The latest to that one. */
    unsigned others;        /**< All others that renew and are in order, before it or not. */
} watches_before_t;

static watches_before_t look_at_watches(const watch_report_t *reports, unsigned count,
                                        uint64_t renewing_period_ms, uint64_t now) {
    watches_before_t before = {.first_rank = UINT_MAX};
    for (unsigned i = 0; i < count; i++) {
        if (!watch_duty_in_order(&reports[i], renewing_period_ms, now))
            continue;
        before.others += reports[i].renews;
        if (!reports[i].before)
            continue;
        uint64_t answer = told_answer_at(&reports[i]);
        before.renewing++;
        before.latest_answer = before.latest_answer > answer ? before.latest_answer : answer;
        if (reports[i].rank < before.first_rank) {
            before.first_rank = reports[i].rank;
            before.first_answer = answer;
        }
    }
    return before;
}

/** True if it is this process's turn to look, because none of those that renew was answered lately.
 */
static bool all_quiet(const watches_before_t *before, uint64_t renewing_period_ms, uint64_t now) {
    uint64_t quiet_ms = WATCH_TURN_MS + WATCH_QUIET_MS + 2 * renewing_period_ms;
    return before->renewing < (unsigned)WATCH_PROBING && now > before->latest_answer + quiet_ms;
}

/**
 * How long one that renews waits, so that its answer comes as many turns after the first one's as
 * there are others before it. With fewer than three to take turns each waits the shorter.
 */
static uint32_t wait_for_turn(const watches_before_t *before, uint64_t now) {
    unsigned taking_turns =
        before->others + 1 < WATCH_RENEWING ? before->others + 1 : WATCH_RENEWING;
    const uint64_t cycle = (uint64_t)WATCH_TURN_MS * taking_turns;
    if (before->renewing == 0)
        return (uint32_t)cycle;
    uint64_t turn = before->first_answer + (uint64_t)before->renewing * WATCH_TURN_MS;
    uint64_t wait = cycle - (now + cycle - turn % cycle) % cycle;
    return (uint32_t)(wait < WATCH_WAIT_LEAST_MS ? wait + cycle : wait);
}

watch_decision_t watch_duty_decide(watch_state_t *own, const watch_report_t *reports,
                                   unsigned count, uint64_t tell_period_ms,
                                   uint64_t renewing_period_ms, uint64_t now) {
    watches_before_t before = look_at_watches(reports, count, renewing_period_ms, now);
    unsigned up = count_up(reports, count, tell_period_ms, now);
    bool enough = before.renewing >= WATCH_RENEWING && tell_period_ms <= TELL_PERIOD_MOST_MS &&
                  !all_quiet(&before, renewing_period_ms, now);
    bool rests = own->below ? up >= WATCH_RENEWING : enough;
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
        .on_duty = !rests,
        .wait_ms = rests ? WATCH_WAIT_RESTING_MS : wait_for_turn(&before, now),
        .renew = behind || due,
        .first = up < WATCH_RENEWING,
        .patient = own->below || up >= WATCH_PROBING,
    };
}
