/**
 * @file silence.h
 * What a call's silence at a back end means.
 *
 * A back end that is slow keeps all its calls waiting; one that has lost a call goes on with
 * others. So a call is lost there if one that was sent later has been answered long since, or if
 * others' streams go on while its own stands still. A back end of which nothing is heard at all may
 * have vanished without a word: whether it can still be connected to tells.
 *
 * Decision code: no I/O, clock or thread; times are ms of the caller's steady clock.
 */
#ifndef RUDDERWAY_CORE_RETRY_SILENCE_H
#define RUDDERWAY_CORE_RETRY_SILENCE_H

#include <stdbool.h>
#include <stdint.h>

typedef enum {
    SILENCE_USUAL,
    SILENCE_SUSPECT, /**< Find out whether the back end can be connected to. */
    SILENCE_LOST,    /**< The back end goes on without this call. */
} silence_t;

/** What was heard from one back end. */
typedef struct {
    uint64_t heard_at;         /**< Anything, of any call. */
    uint64_t answered_sent_at; /**< When the latest-sent of the answered calls was sent. */
    uint32_t answer_ms;        /**< Usual time to the first word of an answer. */
} backend_signs_t;

/** One call there. */
typedef struct {
    uint64_t sent_at;
    uint64_t heard_at; /**< Its answer's latest bytes; when it was sent, if none came. */
    bool answered;     /**< Its answer has begun. */
} call_signs_t;

silence_t silence_judge(const call_signs_t *call, const backend_signs_t *backend, uint64_t now);

#endif
