/**
 * @file event_stream.h
 * Incremental parser of text/event-stream: splits a byte stream into complete events and collects
 * their data and ids.
 *
 * Thread safety: an object belongs to one thread.
 */
#ifndef RUDDERWAY_GATEWAY_EVENT_STREAM_H
#define RUDDERWAY_GATEWAY_EVENT_STREAM_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

typedef struct {
    GString *partial; /**< Bytes of an incomplete event. */
    GString *output;  /**< Data of each event, each followed by a line feed. */
    GString *last_id; /**< Latest event id; "" if no event had one. */
    unsigned events;  /**< Number of complete events. */
} event_stream_t;

void event_stream_init(event_stream_t *stream);
void event_stream_clear(event_stream_t *stream);
/** Parses bytes; appends the events that are now complete to @p complete, unchanged. */
void event_stream_feed(event_stream_t *stream, const char *data, size_t length, GString *complete);
/** Discards an incomplete event before the stream is resumed by another send. */
void event_stream_drop_partial(event_stream_t *stream);
/** True if there is no incomplete event. */
bool event_stream_at_boundary(const event_stream_t *stream);

#endif
