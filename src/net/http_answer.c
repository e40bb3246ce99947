#include "net/http_caller.h"

enum {
    UNSENT_BYTES = 4 * 1024 * 1024, /**< A caller that leaves more unread is cut off. */
};

const char http_status_line_begin[] = "HTTP/1.1 ";

typedef struct {
    uv_write_t request;
    http_caller_t *caller;
    GString *bytes;
} pending_write_t;

/** The write holds all of its bytes until the last one is taken. */
static void begin_pending(pending_write_t *write) {
    write->caller->pending_writes++;
    write->caller->listener->unsent_bytes += write->bytes->len;
}

static void end_pending(pending_write_t *write) {
    write->caller->pending_writes--;
    write->caller->listener->unsent_bytes -= write->bytes->len;
    g_string_free(write->bytes, TRUE);
    g_free(write);
}

static void on_written(uv_write_t *request, int status) {
    pending_write_t *write = request->data;
    http_caller_t *caller = write->caller;
    end_pending(write);
    if (caller->state == CALLER_CLOSING)
        return;
    if (status != 0)
        http_caller_lost(caller);
    else if (caller->state == CALLER_WRITING && caller->pending_writes == 0)
        http_caller_end_or_keep(caller);
}

/** Writes and takes over @p bytes. False if the caller is lost, which the owner will be told. */
bool http_caller_write(http_caller_t *caller, GString *bytes) {
    uv_stream_t *stream = (uv_stream_t *)&caller->tcp;
    uv_buf_t buffer = uv_buf_init(bytes->str, (unsigned)bytes->len);
    int written = 0;
    if (!caller->broken && caller->pending_writes == 0) {
        written = uv_try_write(stream, &buffer, 1);
        if (written == UV_EAGAIN)
            written = 0;
    }
    /* An answer that lacks a piece must not get its end, though there may be room for it by now. */
    if (caller->broken || written < 0 || stream->write_queue_size > UNSENT_BYTES) {
        g_string_free(bytes, TRUE);
        caller->broken = true;
        http_caller_arm_timer(caller, 0);
        return false;
    }
    if ((size_t)written == bytes->len) {
        g_string_free(bytes, TRUE);
        return true;
    }
    pending_write_t *write = g_new0(pending_write_t, 1);
    write->caller = caller;
    write->bytes = bytes;
    write->request.data = write;
    buffer.base += written;
    buffer.len -= (size_t)written;
    begin_pending(write);
    if (uv_write(&write->request, stream, &buffer, 1, on_written) != 0) {
        end_pending(write);
        caller->broken = true;
        http_caller_arm_timer(caller, 0);
        return false;
    }
    return true;
}

static const char *status_text(unsigned status) {
    switch (status) {
#define STATUS(number, name, text)                                                                 \
    case number:                                                                                   \
        return #text;
        HTTP_STATUS_MAP(STATUS)
#undef STATUS
    default:
        return "Unknown";
    }
}

static GString *answer_head(http_caller_t *caller, unsigned status, const char *fields) {
    GString *bytes = g_string_sized_new(1024);
    g_string_append_printf(bytes, "%s%u %s\r\n", http_status_line_begin + caller->early_bytes,
                           status, status_text(status));
    caller->early_bytes = 0;
    if (fields != NULL)
        g_string_append(bytes, fields);
    if (!caller->keep)
        g_string_append(bytes, "Connection: close\r\n");
    return bytes;
}

/** True if the caller has sent more than the request that is being answered. */
static bool has_sent_ahead(const http_caller_t *caller) {
    size_t read = caller->serving ? caller->unserved : caller->ahead->len;
    return read > 0 || http_caller_peek(caller) > 0;
}

/** A stop closes a connection only after the answer to the last request that was sent. */
static bool will_keep(const http_caller_t *caller) {
    return (!caller->listener->close_after_answers || has_sent_ahead(caller)) &&
           !caller->close_after_answer && !caller->drops_ahead &&
           caller->state == CALLER_ANSWERING &&
           http_should_keep_alive(&caller->parser) != 0;
}

/** The owner has ended the answer. */
static void finish_answer(http_caller_t *caller) {
    if (caller->state == CALLER_ANSWERING)
        caller->listener->active--;
    caller->untaken = 0;
    if (caller->pending_writes == 0) {
        http_caller_end_or_keep(caller);
        return;
    }
    caller->state = CALLER_WRITING;
    caller->untaken = http_caller_count_untaken(caller);
    http_caller_arm_timer(caller, caller->listener->limits.idle_timeout_ms);
}

/** True if the request to be answered is HEAD, whose answer has no body. */
static bool is_head_only(const http_caller_t *caller) {
    return caller->state == CALLER_ANSWERING && caller->parser.method == HTTP_HEAD;
}

void http_caller_answer(http_caller_t *caller, unsigned status, const char *fields,
                        const char *body, size_t length) {
    caller->data = NULL;
    caller->keep = will_keep(caller);
    if (caller->state == CALLER_READING)
        http_caller_drop_request(caller);
    GString *bytes = answer_head(caller, status, fields);
    bool head_only = is_head_only(caller);
    if (!head_only)
        g_string_append_printf(bytes, "Content-Length: %zu\r\n", length);
    g_string_append(bytes, "\r\n");
    if (length > 0 && !head_only)
        g_string_append_len(bytes, body, (gssize)length);
    if (http_caller_write(caller, bytes))
        finish_answer(caller);
}

static void append_piece(const http_caller_t *caller, GString *bytes, const char *data,
                         size_t length) {
    if (length == 0 || is_head_only(caller))
        return;
    if (caller->chunked)
        g_string_append_printf(bytes, "%zx\r\n", length);
    g_string_append_len(bytes, data, (gssize)length);
    if (caller->chunked)
        g_string_append(bytes, "\r\n");
}

void http_caller_begin(http_caller_t *caller, unsigned status, const char *fields, const char *data,
                       size_t length) {
    caller->chunked = caller->parser.http_major == 1 && caller->parser.http_minor >= 1;
    caller->ends_with_connection = !caller->chunked && !is_head_only(caller);
    caller->keep = will_keep(caller) && caller->chunked;
    GString *bytes = answer_head(caller, status, fields);
    g_string_append(bytes, caller->chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n");
    append_piece(caller, bytes, data, length);
    caller->head_written = true;
    if (http_caller_write(caller, bytes))
        http_caller_await_reset(caller);
}

void http_caller_piece(http_caller_t *caller, const char *data, size_t length) {
    if (is_head_only(caller))
        return;
    GString *bytes = g_string_sized_new(length + 16);
    append_piece(caller, bytes, data, length);
    if (http_caller_write(caller, bytes))
        http_caller_await_reset(caller);
}

void http_caller_end(http_caller_t *caller) {
    caller->data = NULL;
    bool written = !caller->broken;
    if (caller->chunked && !is_head_only(caller))
        written = http_caller_write(caller, g_string_new("0\r\n\r\n"));
    if (written)
        finish_answer(caller);
}

void http_caller_abort(http_caller_t *caller) {
    http_caller_close(caller);
}
