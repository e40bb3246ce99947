/*
 * Design. A pipe takes a write of up to PIPE_BUF bytes whole or, if it does not block, refuses it;
 * so longer lines are cut to that, and no line is ever torn.
 */
#include "common/log_output.h"

#include <fcntl.h>
#include <limits.h>
#include <string.h>
#include <unistd.h>

void log_output_open(log_output_t *output, int descriptor) {
    *output = (log_output_t){.descriptor = descriptor};
    g_mutex_init(&output->mutex);
    output->flags_before = fcntl(descriptor, F_GETFL);
    if (output->flags_before >= 0)
        fcntl(descriptor, F_SETFL, output->flags_before | O_NONBLOCK);
}

void log_output_close(log_output_t *output) {
    if (output->flags_before >= 0)
        fcntl(output->descriptor, F_SETFL, output->flags_before);
    g_mutex_clear(&output->mutex);
}

static bool write_whole(const log_output_t *output, const char *line, size_t length) {
    if (length <= PIPE_BUF)
        return write(output->descriptor, line, length) == (ssize_t)length;
    char cut[PIPE_BUF];
    memcpy(cut, line, sizeof cut);
    cut[sizeof cut - 1] = '\n';
    return write(output->descriptor, cut, sizeof cut) == (ssize_t)sizeof cut;
}

/** True if the line may be written in this second. */
static bool within_budget(log_output_t *output, int64_t second, bool urgent) {
    if (second != output->second) {
        output->second = second;
        output->lines = 0;
    }
    if (urgent)
        return true;
    if (output->lines >= LOG_LINES_A_SECOND)
        return false;
    output->lines++;
    return true;
}

/** Tells how many lines were left out, if any were; false if even that can't be written. */
static bool tell_left_out(log_output_t *output) {
    if (output->left_out == 0)
        return true;
    char *line = g_strdup_printf("lines_left_out=%" G_GUINT64_FORMAT "\n", output->left_out);
    bool written = write_whole(output, line, strlen(line));
    g_free(line);
    if (written)
        output->left_out = 0;
    return written;
}

void log_output_write(log_output_t *output, const char *line, int64_t second, bool urgent) {
    g_mutex_lock(&output->mutex);
    bool written = within_budget(output, second, urgent) && tell_left_out(output) &&
                   write_whole(output, line, strlen(line));
    if (!written) {
        output->left_out++;
        output->total_out++;
    }
    g_mutex_unlock(&output->mutex);
}

uint64_t log_output_left_out(log_output_t *output) {
    g_mutex_lock(&output->mutex);
    uint64_t lines = output->total_out;
    g_mutex_unlock(&output->mutex);
    return lines;
}
