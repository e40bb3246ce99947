/**
 * @file watch_duty.h
 * How long one watch of the key-value service may wait, when many processes watch the same.
 *
 * A watch whose answer was lost says nothing more, and looks like one that has nothing to say; so
 * someone must ask anew every few seconds. A few do, the *renewing* ones; what they learn shows the
 * others that their own watches have missed something. All tell one another when their watch was
 * last answered and the latest revision at which they saw a change. The first few by address whose
 * watch is in order renew; if one of them is lost, the next takes its place. They end their waits
 * in turn, so that one of them is answered every second. When none was for longer than that, all of
 * them may be cut off or waiting for answers that were lost, which each would find out by itself
 * only after seconds: the next few look.
 *
 * Of many processes only some tell one another, and one group of them watches for all. In a group
 * *below* it the first few that are up follow processes of that one, and the others follow them;
 * they ask the service themselves only if that fails, so that neither calls nor an outage's
 * attempts grow with the processes.
 *
 * A change must be in force everywhere within 2 s, whichever process is lost meanwhile, and the
 * times below add up to that: a watch pauses up to WATCH_GATHER_MOST_MS while changes keep coming;
 * whoever saw the change tells at once; one that follows a process which was lost, or cut off,
 * before it saw it waits for WATCH_SOURCE_LAG_MS, looks every WATCH_LOOK_BEHIND_MS, and asks
 * another for it: 1.3 s and the network's part. With a pause of 0.9 s, and looks and patience that
 * grew with the period of reports, it was up to 2.9 s.
 *
 * Decision code: no I/O, clock or thread. Times are in ms.
 */
#ifndef RUDDERWAY_CORE_CONFIGURATION_WATCH_DUTY_H
#define RUDDERWAY_CORE_CONFIGURATION_WATCH_DUTY_H

#include <stdbool.h>
#include <stdint.h>

enum {
    WATCH_RENEWING = 3, /**< So many renew. */
    WATCH_PROBING = 6,  /**< So many ask often whether a service that is away is back. */
    WATCH_WAIT_RENEWING_MS = 3000,
    WATCH_WAIT_LEAST_MS = 300, /**< A shorter wait for one's turn is left out. */
    /** Between two answers to those that renew, */
    WATCH_TURN_MS = WATCH_WAIT_RENEWING_MS / WATCH_RENEWING,
    /** and so much later than that, and two periods of reports, none is late but missing. */
    WATCH_QUIET_MS = 300,
    WATCH_WAIT_RESTING_MS = 25000,
    WATCH_RESTING_PAUSE_MS = 1000, /**< Between two watches of one that is soon to rest. */
    WATCH_ANSWER_MS = 900,         /**< For a watch to be answered, beyond the time it waits. */
    WATCH_LAG_MS = 600,            /**< A change that is known elsewhere must show within this. */
    WATCH_TRIAL_MS = 2000,         /**< The same for a watch that was begun because of it. */
    WATCH_GATHER_MOST_MS = 500,    /**< Longest pause between two watches that both saw changes. */
    /** A change known elsewhere must have come from a process that is followed within this: that
     * one sees it a pause later at most. */
    WATCH_SOURCE_LAG_MS = WATCH_GATHER_MOST_MS + 200,
    WATCH_LOOK_BEHIND_MS = 50, /**< Between two looks while such a change is missing. */
};

/** What another process told of its watch, and of the storage nodes. */
typedef struct {
    bool before;         /**< Its address comes before ours. */
    unsigned rank;       /**< Processes known, ours left out, whose addresses come before its. */
    uint64_t heard_at;   /**< When it told. */
    uint32_t answer_age; /**< How long before that its watch was answered; UINT32_MAX: never. */
    uint64_t changed;    /**< The latest revision at which it saw a change. */
    bool has_stores;     /**< It reaches a quorum of storage nodes itself. */
    bool renews;         /**< It watches and asks anew itself, so that others may follow it. */
} watch_report_t;

/** This process's own watch. */
typedef struct {
    uint64_t known;        /**< Everything up to this revision has been seen. */
    uint64_t answered_at;  /**< 0: never. */
    uint64_t begun_at;     /**< Of the watch that waits now. */
    uint64_t behind_since; /**< Since when a later change is known elsewhere; 0: none is. */
    bool below;            /**< Another group of processes watches for this one's. */
} watch_state_t;

typedef struct {
    bool on_duty;     /**< This process renews. */
    uint32_t wait_ms; /**< For the next watch. */
    bool renew;       /**< The one that waits now is to be given up for a new one. */
    bool first;       /**< Of those that are up, fewer than WATCH_RENEWING come before it. */
    bool patient;     /**< While the service is away, enough others ask often whether it is back. */
} watch_decision_t;

/**
 * The age to tell of a watch that was last answered at @p answered_at (0: never) and, if
 * @p failed_at is not 0, has failed since. A watch that fails is told as one that was never
 * answered, so that others take its duty over at once: where the service turned away just the
 * three on duty, nobody watched for 3.6 s, and a configuration came into force late.
 */
uint32_t watch_answer_age(uint64_t answered_at, uint64_t failed_at, uint64_t now);

/**
 * True if a process's watch is in order as far as its report tells: answered within one wait, with
 * one report lost. @p renewing_period_ms: those that renew tell of an answer within this.
 */
bool watch_duty_in_order(const watch_report_t *report, uint64_t renewing_period_ms, uint64_t now);

/**
 * Decides from what @p count others told. @p tell_period_ms is how often one is told: if too
 * seldom, nobody rests. Keeps `behind_since` of @p own.
 */
watch_decision_t watch_duty_decide(watch_state_t *own, const watch_report_t *reports,
                                   unsigned count, uint64_t tell_period_ms,
                                   uint64_t renewing_period_ms, uint64_t now);

#endif
