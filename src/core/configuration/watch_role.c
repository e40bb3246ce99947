#include "core/configuration/watch_role.h"

#include <limits.h>

enum {
    /** With a longer period, missed changes would be detected too late. */
    REPORT_PERIOD_MAX_MS = 1200,
    /** A process reports at least this often, or once a period if that is longer. */
    REPORT_INTERVAL_MAX_MS = 1000,
};

uint32_t watch_answer_age(uint64_t answered_at, uint64_t failed_at, uint64_t now) {
    if (answered_at == 0 || failed_at > 0)
        return UINT32_MAX;
    return (uint32_t)(now - answered_at);
}

bool watch_report_healthy(const watch_report_t *report, uint64_t renewing_period_ms, uint64_t now) {
    if (report->answer_age == UINT32_MAX)
        return false;
    uint64_t bound = WATCH_WAIT_RENEWING_MS + WATCH_RESPONSE_TIMEOUT_MS + 2 * renewing_period_ms;
    return now <= report->last_received_at - report->answer_age + bound;
}

/** Sets `behind_since`: when another process first reported a change not seen here; 0: none. */
static void update_behind_since(watch_state_t *own, const watch_report_t *reports, unsigned count,
                                uint64_t now) {
    bool behind = false;
    for (unsigned i = 0; i < count; i++)
        behind = behind || reports[i].changed > own->known;
    if (!behind)
        own->behind_since = 0;
    else if (own->behind_since == 0)
        own->behind_since = now;
}

/** Number of live processes whose addresses precede that of this process. */
static unsigned count_live_preceding(const watch_report_t *reports, unsigned count,
                                     uint64_t report_period_ms, uint64_t now) {
    unsigned live = 0;
    for (unsigned i = 0; i < count; i++)
        live += reports[i].before &&
                now <= reports[i].last_received_at + REPORT_INTERVAL_MAX_MS + 2 * report_period_ms;
    return live;
}

static uint64_t reported_answer_at(const watch_report_t *report) {
    return report->last_received_at - report->answer_age;
}

/** Summary of the healthy watches that other processes reported. */
typedef struct {
    unsigned renewing;      /**< Healthy watches of processes that precede this one. */
    uint64_t latest_answer; /**< Latest response to a watch counted in `renewing`; 0: none. */
    unsigned first_rank;    /**< Lowest rank of a process counted in `renewing`. */
    uint64_t first_answer;  /**< Latest response to the process of rank `first_rank`. */
    unsigned others;        /**< Healthy watches of all other renewing processes, of any rank. */
} watches_before_t;

static watches_before_t summarize_watches(const watch_report_t *reports, unsigned count,
                                          uint64_t renewing_period_ms, uint64_t now) {
    watches_before_t before = {.first_rank = UINT_MAX};
    for (unsigned i = 0; i < count; i++) {
        if (!watch_report_healthy(&reports[i], renewing_period_ms, now))
            continue;
        before.others += reports[i].renews;
        if (!reports[i].before)
            continue;
        uint64_t answer = reported_answer_at(&reports[i]);
        before.renewing++;
        before.latest_answer = before.latest_answer > answer ? before.latest_answer : answer;
        if (reports[i].rank < before.first_rank) {
            before.first_rank = reports[i].rank;
            before.first_answer = answer;
        }
    }
    return before;
}

/** True if this process must start renewing because no renewing process was answered recently. */
static bool responses_overdue(const watches_before_t *before, uint64_t renewing_period_ms,
                              uint64_t now) {
    uint64_t overdue_ms = WATCH_STAGGER_MS + WATCH_OVERDUE_MS + 2 * renewing_period_ms;
    return before->renewing < (unsigned)WATCH_FREQUENT_RETRIERS &&
           now > before->latest_answer + overdue_ms;
}

/**
 * Wait that ends in this process's slot of the cycle. Slots are WATCH_STAGGER_MS apart, one for
 * each renewing process in order of address. The first slot starts at the latest response to the
 * first process. With fewer than WATCH_RENEWING processes the cycle, and so each wait, is shorter.
 */
static uint32_t staggered_wait_ms(const watches_before_t *before, uint64_t now) {
    unsigned renewing = before->others + 1 < WATCH_RENEWING ? before->others + 1 : WATCH_RENEWING;
    const uint64_t cycle = (uint64_t)WATCH_STAGGER_MS * renewing;
    if (before->renewing == 0)
        return (uint32_t)cycle;
    uint64_t turn = before->first_answer + (uint64_t)before->renewing * WATCH_STAGGER_MS;
    uint64_t wait = cycle - (now + cycle - turn % cycle) % cycle;
    return (uint32_t)(wait < WATCH_WAIT_MIN_MS ? wait + cycle : wait);
}

watch_decision_t watch_role_decide(watch_state_t *own, const watch_report_t *reports,
                                   unsigned count, uint64_t report_period_ms,
                                   uint64_t renewing_period_ms, uint64_t now) {
    watches_before_t before = summarize_watches(reports, count, renewing_period_ms, now);
    unsigned live = count_live_preceding(reports, count, report_period_ms, now);
    bool enough = before.renewing >= WATCH_RENEWING && report_period_ms <= REPORT_PERIOD_MAX_MS &&
                  !responses_overdue(&before, renewing_period_ms, now);
    bool rests = own->below ? live >= WATCH_RENEWING : enough;
    update_behind_since(own, reports, count, now);
    /* A watch renewed without success gets a longer timeout: the service may be unreachable. */
    bool renewed = own->started_at > own->behind_since;
    uint64_t lag_ms = renewed ? WATCH_RENEWED_LAG_MAX_MS : WATCH_LAG_MAX_MS;
    bool behind = own->behind_since > 0 && now >= own->behind_since + WATCH_LAG_MAX_MS &&
                  now >= own->started_at + lag_ms;
    /* A watch within its timeout is about to be answered. Cancelling it would cost a call and make
       this process's watch look unhealthy to others. */
    uint64_t answer_due_ms = WATCH_WAIT_RENEWING_MS + WATCH_RESPONSE_TIMEOUT_MS;
    bool due =
        !rests && now >= own->started_at + answer_due_ms && now >= own->answered_at + answer_due_ms;
    return (watch_decision_t){
        .renewing = !rests,
        .wait_ms = rests ? WATCH_WAIT_RESTING_MS : staggered_wait_ms(&before, now),
        .renew = behind || due,
        .first = live < WATCH_RENEWING,
        .slow_retry = own->below || live >= WATCH_FREQUENT_RETRIERS,
    };
}
