/**
 * @file event_stream.h
 * Incremental parser of text/event-stream: splits a byte stream into complete events and collects
 * their data and ids. A block without data and id, such as a comment, is passed on but is no event.
 *
 * The work is linear in the bytes, and memory is bounded (net/answer_limits.h), in whatever pieces
 * the bytes come.
 *
 * Thread safety: an object belongs to one thread.
 */
#ifndef RUDDERWAY_GATEWAY_EVENT_STREAM_H
#define RUDDERWAY_GATEWAY_EVENT_STREAM_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

typedef struct {
    GString *partial;   /**< Bytes of an incomplete event. */
    size_t searched;    /**< Bytes of `partial` in which no event ends. */
    size_t since_event; /**< Bytes of the complete blocks since the last event. */
    bool keeps_output;  /**< `output` is collected; false initially. */
    GString *output;    /**< Data of each event, each followed by a line feed. */
    GString *last_id;   /**< Latest event id; "" if no event had one. */
    unsigned events;    /**< Number of complete events. */
} event_stream_t;

void event_stream_init(event_stream_t *stream);
void event_stream_clear(event_stream_t *stream);
/**
 * Parses bytes; appends the events that are now complete to @p complete, unchanged. False if there
 * was no event within ANSWER_EVENT_MAX_BYTES, or if the output exceeds ANSWER_BODY_MAX_BYTES: the
 * stream is to be given up.
 */
bool event_stream_feed(event_stream_t *stream, const char *data, size_t length, GString *complete);
/** Discards an incomplete event before the stream is resumed by another send. */
void event_stream_drop_partial(event_stream_t *stream);
/** True if there is no incomplete event. */
bool event_stream_at_boundary(const event_stream_t *stream);

#endif
