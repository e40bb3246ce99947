/**
 * @file answer_limits.h
 * What one answer may hold before it counts as none. Whoever is at the other end may send bytes
 * that are no answer for as long as the connection is open, so every reader of answers has a bound:
 * for back ends and for the key-value service. What all answers may hold together is bounded by the
 * process's memory account.
 */
#ifndef RUDDERWAY_NET_ANSWER_LIMITS_H
#define RUDDERWAY_NET_ANSWER_LIMITS_H

/** In bytes. */
enum {
    /** The head of an answer, with all interim heads before it. */
    ANSWER_HEAD_MAX_BYTES = 256 * 1024,
    /** Body of a call that is not streamed, and all data of a stream that is kept as a turn. */
    ANSWER_BODY_MAX_BYTES = 16 * 1024 * 1024,
    /** Of a stream: an event, with all comments since the one before. */
    ANSWER_EVENT_MAX_BYTES = 1024 * 1024,
    /** One page of a listing, or the changes of one watch, of the key-value service. */
    KEY_VALUE_ANSWER_MAX_BYTES = 32 * 1024 * 1024,
};

#endif
