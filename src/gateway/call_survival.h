/**
 * @file call_survival.h
 * The wait of a call whose connection broke under it, until its back end is shown to live or to
 * have ended. New connections show an end, and answers on earlier ones that the process lives
 * (backend_survival.h).
 *
 * Thread safety: everything here belongs to the loop's thread.
 */
#ifndef RUDDERWAY_GATEWAY_CALL_SURVIVAL_H
#define RUDDERWAY_GATEWAY_CALL_SURVIVAL_H

typedef struct call call_t;
typedef struct call_survival call_survival_t;

/** Finds out what has become of the call's back end, records it in the call, and calls @p then. */
void call_survival_await(call_t *call, void (*then)(call_t *call));
/** Ends the wait, if there is one, without a callback. */
void call_survival_end(call_t *call);

#endif
