#include "gateway/event_stream.h"

#include "net/answer_limits.h"

#include <string.h>

void event_stream_init(event_stream_t *stream) {
    *stream = (event_stream_t){0};
    stream->partial = g_string_new(NULL);
    stream->output = g_string_new(NULL);
    stream->last_id = g_string_new(NULL);
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

static void append_data(event_stream_t *stream, bool continues, const char *value, size_t length) {
    if (!stream->keeps_output)
        return;
    if (continues)
        g_string_append_c(stream->output, '\n');
    g_string_append_len(stream->output, value, (gssize)length);
}

static void parse_block(event_stream_t *stream, const char *event, size_t length) {
    bool has_data = false;
    bool has_id = false;
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
            append_data(stream, has_data, value, value_length);
            has_data = true;
            continue;
        }
        value = field_value(line, line_length, "id", &value_length);
        if (value != NULL) {
            g_string_truncate(stream->last_id, 0);
            g_string_append_len(stream->last_id, value, (gssize)value_length);
            has_id = true;
        }
    }
    if (has_data)
        append_data(stream, true, "", 0);
    bool is_event = has_data || has_id;
    stream->events += is_event;
    stream->since_event = is_event ? 0 : stream->since_event + length;
}

/**
 * Length of the first block in @p data, including its blank line; 0 if it is incomplete. The search
 * begins at @p searched, which is set to where the next one begins once there is more data.
 */
static size_t complete_block_length(const char *data, size_t length, size_t *searched) {
    while (*searched < length) {
        const char *line_end = memchr(data + *searched, '\n', length - *searched);
        if (line_end == NULL) {
            *searched = length;
            return 0;
        }
        size_t next = (size_t)(line_end - data) + 1;
        *searched = next - 1;
        if (next < length && data[next] == '\n')
            return next + 1;
        if (next + 1 < length && data[next] == '\r' && data[next + 1] == '\n')
            return next + 2;
        bool undecided = next == length || (next + 1 == length && data[next] == '\r');
        if (undecided)
            return 0;
        *searched = next;
    }
    return 0;
}

bool event_stream_feed(event_stream_t *stream, const char *data, size_t length, GString *complete) {
    g_string_append_len(stream->partial, data, (gssize)length);
    size_t used = 0;
    for (;;) {
        const char *rest = stream->partial->str + used;
        size_t size = complete_block_length(rest, stream->partial->len - used, &stream->searched);
        if (size == 0)
            break;
        parse_block(stream, rest, size);
        g_string_append_len(complete, rest, (gssize)size);
        used += size;
        stream->searched = 0;
    }
    g_string_erase(stream->partial, 0, (gssize)used);
    return stream->since_event + stream->partial->len <= ANSWER_EVENT_MAX_BYTES &&
           stream->output->len <= ANSWER_BODY_MAX_BYTES;
}

void event_stream_drop_partial(event_stream_t *stream) {
    g_string_truncate(stream->partial, 0);
    stream->searched = 0;
    stream->since_event = 0;
}

bool event_stream_at_boundary(const event_stream_t *stream) {
    return stream->partial->len == 0;
}
