/*
 * Design. A caller that ends its side may be gone or read on, which the end does not tell, but the
 * peer of a closed connection resets it once bytes come. Before its answer has begun, the first
 * bytes of the status line are sent early, one after another, until one can't be written. Within a
 * body no byte can be, since a cut after it could make the body look whole: a caller that ends its
 * side there counts as gone. One that reads on ends it with its last request.
 */
#include "net/http_caller.h"

enum {
    SECOND_BYTE_MS = 20,  /**< Until the second early byte. */
    RESET_CHECK_MS = 100, /**< Between checks for a reset. */
    CHECKS_PER_BYTE = 5,  /**< The early bytes last for several seconds so. */
};

/** True if the peer has reset the connection, which no read tells after the end of its side. */
static bool was_reset(const http_caller_t *caller) {
    uv_os_fd_t descriptor;
    int error = 0;
    socklen_t length = sizeof error;
    return uv_fileno((const uv_handle_t *)&caller->tcp, &descriptor) == 0 &&
           getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length) == 0 && error != 0;
}

/** Writes the next early byte unless bytes wait to be written, which tell as much. */
static void write_early_byte(http_caller_t *caller) {
    char byte = http_status_line_begin[caller->early_bytes];
    if (byte == '\0' || caller->pending_writes > 0)
        return;
    caller->early_bytes++;
    http_caller_write(caller, g_string_new_len(&byte, 1));
}

/** Finds out, until the answer begins, whether a caller that has ended its side is gone. */
static void probe_caller(http_caller_t *caller) {
    unsigned check = caller->checks++;
    http_caller_arm_timer(caller, check == 0 ? SECOND_BYTE_MS : RESET_CHECK_MS);
    if (check == 0 || check % CHECKS_PER_BYTE == 1)
        write_early_byte(caller);
}

/** The time for a sign of the caller's life is over. */
void http_caller_check_presence(http_caller_t *caller) {
    if (was_reset(caller))
        http_caller_lost(caller);
    else if (!caller->head_written)
        probe_caller(caller);
}

/** Bytes of the answer were written: a caller that is gone resets them. */
void http_caller_await_reset(http_caller_t *caller) {
    if (!caller->input_ended || caller->state != CALLER_ANSWERING)
        return;
    http_caller_arm_timer(caller, RESET_CHECK_MS);
}

void http_caller_input_ended(http_caller_t *caller) {
    const http_listener_t *listener = caller->listener;
    caller->input_ended = true;
    if (caller->state == CALLER_WRITING)
        return;
    if (caller->state != CALLER_ANSWERING) {
        http_caller_end_after_arrival(caller);
        return;
    }
    if (caller->asked_if_gone)
        return;
    caller->asked_if_gone = true;
    if (listener->handler->on_input_ended != NULL)
        listener->handler->on_input_ended(listener->owner, caller);
    caller->checks = 0;
    if (caller->head_written)
        http_caller_lost(caller);
    else
        probe_caller(caller);
}

bool http_caller_may_be_gone(http_caller_t *caller) {
    if (caller->state != CALLER_ANSWERING)
        return false;
    bool unread_end = !caller->input_ended && http_caller_peek(caller) == 0;
    if (caller->head_written)
        return unread_end;
    if (unread_end)
        http_caller_input_ended(caller);
    return caller->input_ended && caller->checks <= 1;
}
