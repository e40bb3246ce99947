#include "gateway/event_stream.h"

#include <string.h>

void event_stream_init(event_stream_t *stream) {
    stream->partial = g_string_new(NULL);
    stream->output = g_string_new(NULL);
    stream->last_id = g_string_new(NULL);
    stream->events = 0;
}

void event_stream_clear(event_stream_t *stream) {
    g_string_free(stream->partial, TRUE);
    g_string_free(stream->output, TRUE);
    g_string_free(stream->last_id, TRUE);
}

/** The value in a line of field @p name; NULL if the line holds another field. */
static const char *field_value(const char *line, size_t length, const char *name,
                               size_t *value_length) {
    size_t name_length = strlen(name);
    if (length < name_length + 1 || strncmp(line, name, name_length) != 0 ||
        line[name_length] != ':')
        return NULL;
    size_t start = name_length + 1;
    if (start < length && line[start] == ' ')
        start++;
    *value_length = length - start;
    return line + start;
}

static void parse_event(event_stream_t *stream, const char *event, size_t length) {
    bool has_data = false;
    size_t position = 0;
    while (position < length) {
        const char *line = event + position;
        const char *end = memchr(line, '\n', length - position);
        size_t line_length = end == NULL ? length - position : (size_t)(end - line);
        position += line_length + 1;
        if (line_length > 0 && line[line_length - 1] == '\r')
            line_length--;
        size_t value_length;
        const char *value = field_value(line, line_length, "data", &value_length);
        if (value != NULL) {
            if (has_data)
                g_string_append_c(stream->output, '\n');
            g_string_append_len(stream->output, value, (gssize)value_length);
            has_data = true;
            continue;
        }
        value = field_value(line, line_length, "id", &value_length);
        if (value != NULL) {
            g_string_truncate(stream->last_id, 0);
            g_string_append_len(stream->last_id, value, (gssize)value_length);
        }
    }
    if (has_data)
        g_string_append_c(stream->output, '\n');
    stream->events++;
}

/** Length of the first event in @p data, including its blank line; 0 if it is incomplete. */
static size_t complete_event_length(const char *data, size_t length) {
    const char *position = data;
    for (;;) {
        const char *line_end = memchr(position, '\n', length - (size_t)(position - data));
        if (line_end == NULL)
            return 0;
        const char *next = line_end + 1;
        size_t left = length - (size_t)(next - data);
        if (left >= 1 && next[0] == '\n')
            return (size_t)(next - data) + 1;
        if (left >= 2 && next[0] == '\r' && next[1] == '\n')
            return (size_t)(next - data) + 2;
        if (left == 0)
            return 0;
        position = next;
    }
}

void event_stream_feed(event_stream_t *stream, const char *data, size_t length, GString *complete) {
    g_string_append_len(stream->partial, data, (gssize)length);
    size_t used = 0;
    for (;;) {
        const char *rest = stream->partial->str + used;
        size_t size = complete_event_length(rest, stream->partial->len - used);
        if (size == 0)
            break;
        parse_event(stream, rest, size);
        g_string_append_len(complete, rest, (gssize)size);
        used += size;
    }
    g_string_erase(stream->partial, 0, (gssize)used);
}

void event_stream_drop_partial(event_stream_t *stream) {
    g_string_truncate(stream->partial, 0);
}

bool event_stream_at_boundary(const event_stream_t *stream) {
    return stream->partial->len == 0;
}
