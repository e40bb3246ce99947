#include "net/http_caller.h"

enum {
    UNSENT_BYTES = 4 * 1024 * 1024, /**< A caller that leaves more unread is cut off. */
};

const char http_status_line_begin[] = "HTTP/1.1 ";

enum { PARTS = 2 };

/** Parts of an answer, in their order. */
typedef struct {
    GString *strings[PARTS]; /**< The second one may be NULL. */
    size_t length;           /**< Of both. */
    bool admitted;           /**< They have been in the account: they may wait in any case. */
} parts_t;

typedef struct {
    uv_write_t request;
    http_caller_t *caller;
    parts_t parts;
} pending_write_t;

static parts_t make_parts(GString *first, GString *second) {
    size_t length = first->len + (second == NULL ? 0 : second->len);
    return (parts_t){.strings = {first, second}, .length = length, .admitted = second != NULL};
}

static void free_parts(const parts_t *parts) {
    for (unsigned i = 0; i < PARTS; i++)
        if (parts->strings[i] != NULL)
            g_string_free(parts->strings[i], TRUE);
}

/** The write holds all of its bytes until the last one is taken. */
static void begin_pending(pending_write_t *write) {
    write->caller->pending_writes++;
    write->caller->listener->unsent_bytes += write->parts.length;
}

static void end_pending(pending_write_t *write) {
    write->caller->pending_writes--;
    write->caller->listener->unsent_bytes -= write->parts.length;
    memory_account_release(write->caller->listener->account, write->parts.length);
    free_parts(&write->parts);
    g_free(write);
}

/** True if the parts may wait for their caller; they count in the account then. */
static bool may_wait(const http_caller_t *caller, const parts_t *parts) {
    memory_account_t *account = caller->listener->account;
    if (!parts->admitted)
        return memory_account_take(account, parts->length, parts->length);
    memory_account_add(account, parts->length);
    return true;
}

static void tell_drained(http_caller_t *caller) {
    const http_listener_t *listener = caller->listener;
    bool goes_on = caller->state == CALLER_ANSWERING && caller->head_written && !caller->broken;
    if (goes_on && listener->handler->on_drained != NULL)
        listener->handler->on_drained(listener->owner, caller);
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
    else if (caller->pending_writes == 0)
        tell_drained(caller);
}

/** What is left of the parts once @p written bytes are; returns the number of buffers. */
static unsigned list_unwritten(const parts_t *parts, size_t written, uv_buf_t *buffers) {
    unsigned count = 0;
    for (unsigned i = 0; i < PARTS && parts->strings[i] != NULL; i++) {
        const GString *part = parts->strings[i];
        size_t skipped = MIN(written, part->len);
        written -= skipped;
        if (skipped < part->len)
            buffers[count++] = uv_buf_init(part->str + skipped, (unsigned)(part->len - skipped));
    }
    return count;
}

/** Returns the bytes that the kernel took at once; below 0: the caller is lost. */
static int write_at_once(http_caller_t *caller, const parts_t *parts) {
    uv_stream_t *stream = (uv_stream_t *)&caller->tcp;
    uv_buf_t buffers[PARTS];
    if (caller->broken)
        return UV_ECANCELED;
    if (caller->pending_writes > 0)
        return 0;
    unsigned count = list_unwritten(parts, 0, buffers);
    int written = count == 0 ? 0 : uv_try_write(stream, buffers, count);
    return written == UV_EAGAIN ? 0 : written;
}

/** Writes the rest of the parts as the caller reads; false if the caller is lost. */
static bool write_later(http_caller_t *caller, const parts_t *parts, size_t written) {
    uv_buf_t buffers[PARTS];
    unsigned count = list_unwritten(parts, written, buffers);
    pending_write_t *write = g_new0(pending_write_t, 1);
    write->caller = caller;
    write->parts = *parts;
    write->request.data = write;
    begin_pending(write);
    if (uv_write(&write->request, (uv_stream_t *)&caller->tcp, buffers, count, on_written) == 0)
        return true;
    end_pending(write);
    return false;
}

static bool lose_caller(http_caller_t *caller) {
    caller->broken = true;
    http_caller_arm_timer(caller, 0);
    return false;
}

/** As http_caller_write(), for parts. */
static bool write_parts(http_caller_t *caller, const parts_t *parts) {
    int written = write_at_once(caller, parts);
    if (written >= 0 && (size_t)written == parts->length) {
        free_parts(parts);
        return true;
    }
    /* An answer that lacks a piece must not get its end, though there may be room for it by now. */
    if (written < 0 || http_caller_unsent_bytes(caller) > UNSENT_BYTES ||
        !may_wait(caller, parts)) {
        free_parts(parts);
        return lose_caller(caller);
    }
    return write_later(caller, parts, (size_t)written) || lose_caller(caller);
}

bool http_caller_write(http_caller_t *caller, GString *bytes) {
    parts_t parts = make_parts(bytes, NULL);
    return write_parts(caller, &parts);
}

size_t http_caller_unsent_bytes(const http_caller_t *caller) {
    return uv_stream_get_write_queue_size((const uv_stream_t *)&caller->tcp);
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
           caller->state == CALLER_ANSWERING && http_should_keep_alive(&caller->parser) != 0;
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

/** Head of an answer with a body of @p length bytes. */
static GString *begin_answer(http_caller_t *caller, unsigned status, const char *fields,
                             size_t length) {
    caller->data = NULL;
    caller->keep = will_keep(caller);
    if (caller->state == CALLER_READING)
        http_caller_drop_request(caller);
    GString *head = answer_head(caller, status, fields);
    if (!is_head_only(caller))
        g_string_append_printf(head, "Content-Length: %zu\r\n", length);
    g_string_append(head, "\r\n");
    return head;
}

void http_caller_answer(http_caller_t *caller, unsigned status, const char *fields,
                        const char *body, size_t length) {
    GString *bytes = begin_answer(caller, status, fields, length);
    if (length > 0 && !is_head_only(caller))
        g_string_append_len(bytes, body, (gssize)length);
    if (http_caller_write(caller, bytes))
        finish_answer(caller);
}

void http_caller_answer_string(http_caller_t *caller, unsigned status, const char *fields,
                               GString *body) {
    bool has_body = !is_head_only(caller);
    parts_t parts =
        make_parts(begin_answer(caller, status, fields, body->len), has_body ? body : NULL);
    if (!has_body)
        g_string_free(body, TRUE);
    if (write_parts(caller, &parts))
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
