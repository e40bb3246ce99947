/**
 * @file resend.h
 * Decides where a call is sent after an attempt that was refused or whose outcome is unknown.
 *
 * A route limits the number of back ends per call. Back ends that have ended or are unreachable do
 * not count towards the limit: no response can come from them. Those that have ended under the
 * request have a limit of their own, over all of its attempts (crash_history.h). A resend to the
 * same back end does not count either, and it is cheap: a stream resumes after its last event, and
 * the prompt is cached.
 *
 * A suspicion that the response is lost (stall.h, answer_time.h) may be wrong: the back end may
 * only be slow. Where it can't lead to a resend, the call goes on waiting for its current send, and
 * the last resend to the same back end is left to a send that has definitely failed.
 *
 * Decision code: no I/O, clock or threads.
 */
#ifndef RUDDERWAY_CORE_RETRY_RESEND_H
#define RUDDERWAY_CORE_RETRY_RESEND_H

#include <stdbool.h>

enum {
    RESEND_SAME_MAX = 2, /**< Maximum number of resends to the same back end. */
    /** Of these, the ones that a suspicion may lead to. */
    RESEND_SUSPECTED_SAME_MAX = RESEND_SAME_MAX - 1,
};

typedef enum {
    RESEND_NO,        /**< Do not resend; the call fails. */
    RESEND_ELSEWHERE, /**< To a back end not tried yet. */
    RESEND_SAME,      /**< To the same back end. */
} resend_t;

typedef struct {
    unsigned attempts; /**< The route's limit on back ends per call. */
    unsigned backends; /**< Back ends that may have received the call. */
    unsigned ended;    /**< Of these, back ends that have ended or are unreachable. */
    /** Back ends other than the current one that have ended under the request, or may yet. */
    unsigned crashes;
    bool current_may_end; /**< So may the current one, if the call goes elsewhere. */
    unsigned repeats;     /**< Resends to the same back end. */
    bool time_left;
    bool same_usable; /**< The current back end is in the directory and has not announced a stop. */
    bool other_usable; /**< There is a back end not tried yet; for resend_after_suspicion(). */
} resend_state_t;

/** After an attempt that was not executed. */
resend_t resend_after_not_run(const resend_state_t *state);
/** After an attempt of a retryable call that may have been executed. */
resend_t resend_after_unknown(const resend_state_t *state);
/**
 * For an attempt of a retryable call whose response is only suspected to be lost. RESEND_NO: the
 * call is not given up but waits for the response.
 */
resend_t resend_after_suspicion(const resend_state_t *state);

#endif
