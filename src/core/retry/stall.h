/**
 * @file stall.h
 * Detects calls that are stalled at a back end.
 *
 * A slow back end delays all its calls, while one that has lost a call continues to serve others.
 * A call is therefore considered lost if a call sent later has been answered, or if other streams
 * make progress while its own does not. That is a suspicion: a back end may take calls in any order
 * and at any pace, so that it never ends a call (resend.h). A back end that sends nothing at all
 * may have failed; the caller then probes whether it accepts connections.
 *
 * Decision code: no I/O, clock or threads; times are ms of the caller's steady clock.
 */
#ifndef RUDDERWAY_CORE_RETRY_STALL_H
#define RUDDERWAY_CORE_RETRY_STALL_H

#include <stdbool.h>
#include <stdint.h>

typedef enum {
    STALL_NONE,
    STALL_SUSPECTED, /**< Probe whether the back end accepts connections. */
    STALL_CALL_LOST, /**< The back end serves other calls but not this one. */
} stall_t;

/** Activity of one back end. */
typedef struct {
    uint64_t last_received_at; /**< Last data received, of any call. */
    uint64_t answered_sent_at; /**< Send time of the most recently sent call that was answered. */
    uint32_t answer_ms;        /**< Typical time to the first byte of a response. */
} backend_activity_t;

/** Activity of one call. */
typedef struct {
    uint64_t sent_at;
    uint64_t last_received_at; /**< Last data received for this call; initially the send time. */
    bool answered;             /**< The response has started. */
} call_activity_t;

stall_t stall_evaluate(const call_activity_t *call, const backend_activity_t *backend,
                       uint64_t now);
/** Like stall_evaluate(), for a call that waits at its back end although it may be lost there. */
stall_t stall_evaluate_backend(const call_activity_t *call, const backend_activity_t *backend,
                               uint64_t now);

#endif
