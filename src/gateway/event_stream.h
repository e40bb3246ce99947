/**
 * @file event_stream.h
 * Cuts a text/event-stream into whole events, and collects what they say.
 *
 * Thread safety: an object belongs to one thread.
 */
#ifndef RUDDERWAY_GATEWAY_EVENT_STREAM_H
#define RUDDERWAY_GATEWAY_EVENT_STREAM_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

typedef struct {
    GString *partial; /**< Bytes of an event that has not ended. */
    GString *output;  /**< The data of each event, each followed by a line feed. */
    GString *last_id; /**< Id of the last whole event; "" if none had one. */
    unsigned events;  /**< Whole events so far. */
} event_stream_t;

void event_stream_init(event_stream_t *stream);
void event_stream_clear(event_stream_t *stream);
/** Takes bytes; appends the events that are whole now to @p whole, byte for byte. */
void event_stream_feed(event_stream_t *stream, const char *data, size_t length, GString *whole);
/** Forgets an event that has begun, before the stream goes on elsewhere. */
void event_stream_drop_partial(event_stream_t *stream);
/** True if no event has begun that has not ended. */
bool event_stream_at_boundary(const event_stream_t *stream);

#endif
