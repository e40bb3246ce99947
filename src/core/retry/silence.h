/**
 * @file silence.h
 * Detects calls that are stalled at a back end.
 *
 * A slow back end delays all its calls, while one that has lost a call continues to serve others.
 * A call is therefore considered lost if a call sent later has been answered, or if other streams
 * make progress while its own does not. A back end that sends nothing at all may have failed; the
 * caller then probes whether it accepts connections.
 *
 * Decision code: no I/O, clock or threads; times are ms of the caller's steady clock.
 */
#ifndef RUDDERWAY_CORE_RETRY_SILENCE_H
#define RUDDERWAY_CORE_RETRY_SILENCE_H

#include <stdbool.h>
#include <stdint.h>

typedef enum {
    SILENCE_USUAL,
    SILENCE_SUSPECT, /**< Probe whether the back end accepts connections. */
    SILENCE_LOST,    /**< The back end serves other calls but not this one. */
} silence_t;

/** Activity of one back end. */
typedef struct {
    uint64_t heard_at;         /**< Last data received, of any call. */
    uint64_t answered_sent_at; /**< Send time of the most recently sent call that was answered. */
    uint32_t answer_ms;        /**< Typical time to the first byte of a response. */
} backend_signs_t;

/** Activity of one call. */
typedef struct {
    uint64_t sent_at;
    uint64_t heard_at; /**< Last data received for this call; initially the send time. */
    bool answered;     /**< The response has started. */
} call_signs_t;

silence_t silence_judge(const call_signs_t *call, const backend_signs_t *backend, uint64_t now);

#endif
