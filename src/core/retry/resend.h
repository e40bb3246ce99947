/**
 * @file resend.h
 * Where a call goes next after a send whose outcome is unknown, or that was refused.
 *
 * A route bounds the back ends that one call may be sent to. A back end that has ended or can't be
 * reached any more does not count: it runs nothing, or nobody will hear of it. Going to the same
 * back end once more adds none; a stream goes on there from its last event, and the prompt is
 * cached.
 *
 * Decision code: no I/O, clock or thread.
 */
#ifndef RUDDERWAY_CORE_RETRY_RESEND_H
#define RUDDERWAY_CORE_RETRY_RESEND_H

#include <stdbool.h>

/** Times that a call is sent to the same back end again, at most. */
enum { RESEND_SAME_MAXIMUM = 2 };

typedef enum {
    RESEND_NO,        /**< The call fails. */
    RESEND_ELSEWHERE, /**< To a back end that it has not been at. */
    RESEND_SAME,      /**< To the back end where it was. */
} resend_t;

/** What is known of a call's sends. */
typedef struct {
    unsigned attempts; /**< Back ends that the route allows. */
    unsigned backends; /**< Back ends that any byte may have reached. */
    unsigned ended;    /**< Of these, the ones that have ended or can't be reached. */
    unsigned repeats;  /**< Times it went to the same back end again. */
    bool time_left;
    bool same_usable; /**< The present back end is listed, and not one of the ended. */
} resend_state_t;

/** After a send that did not run. */
resend_t resend_not_run(const resend_state_t *state);
/** After a send that may have run, of a call that may run again. */
resend_t resend_unknown(const resend_state_t *state);

#endif
