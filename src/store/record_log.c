/*
 * A record is its length, a checksum of its bytes, and its bytes. Each start of the process opens a
 * new segment, so that nothing is ever written after a torn tail. A batch is written at a known
 * offset and synced before any of its records counts as durable; if that fails, the file is
 * truncated to the offset and the batch's records are reported as not durable.
 *
 * Failures: after a power loss a segment may end in torn or missing records, none of which was
 * acknowledged. The folder is synced to make the name of a new file durable. The removal of a
 * segment is not synced: if the segment reappears, its replay only restores unused records. The
 * newest segment is synced when the log is opened, since its last batch may not have been.
 *
 * One process owns a folder: it holds a lock, and names files relative to the folder that it
 * opened. So neither a second process with the same settings, nor one left behind after its folder
 * was replaced, removes or overwrites the owner's files.
 */
#include "store/record_log.h"

#include "common/event.h"

#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <stdio.h>
#include <string.h>
#include <sys/file.h>
#include <unistd.h>
#include <xxhash.h>

enum {
    SEGMENT_BYTES = 4 * 1024 * 1024,
    RECORD_HEADER_BYTES = 8,
    FILE_MODE = 0600,
    NS_PER_MS = 1000000,
    /** Slower writes are logged; a third of the gateways' GATEWAY_OPERATION_TIMEOUT_MS. */
    SLOW_WRITE_MS = 500,
};

typedef struct {
    GBytes *bytes;
    record_log_done_t done;
    void *owner;
    uint64_t enqueued_at; /**< Of uv_hrtime(), in ns, as all times here. */
    bool state;           /**< Replaces the state file instead of being appended. */
} pending_t;

typedef struct {
    uint32_t number;
    uint64_t bytes;
} segment_t;

/** Entries that are written with one sync. */
typedef struct {
    uv_work_t work;
    record_log_t *log;
    GArray *entries;   /**< Of pending_t. */
    GByteArray *bytes; /**< Records to append, with their headers. */
    GBytes *state;     /**< The latest state among the entries; NULL if none. */
    int file;
    uint32_t segment;
    uint64_t offset;
    bool name_synced; /**< The segment's name is on disk. */
    bool appended;
    bool state_written;
    uint64_t submitted_at; /**< When the loop handed it to the thread pool. */
    uint64_t started_at;   /**< When the thread started to write it. */
    uint64_t finished_at;  /**< When the thread had synced all of it. */
} batch_t;

struct record_log {
    uv_loop_t *loop;
    char *folder;
    int folder_file;  /**< Descriptor of the folder, which holds the lock; -1 until opened. */
    GArray *segments; /**< Of segment_t, oldest first; the last one is open for writing. */
    int file;         /**< Descriptor of the last segment; -1 until its first write. */
    bool name_synced; /**< The last segment's name is on disk. */
    GArray *pending;
    bool busy;
    uint64_t batch_enqueued_at; /**< Of the oldest record that is being written. */
};

/* Names of files, relative to the folder. */

static const char STATE_NAME[] = "state";
static const char NEW_STATE_NAME[] = "state.new";

typedef struct {
    char text[sizeof "log.4294967295"];
} segment_name_t;

static segment_name_t segment_name(uint32_t number) {
    segment_name_t name;
    snprintf(name.text, sizeof name.text, "log.%08u", number);
    return name;
}

/** The whole content of a file; NULL if it cannot be read. */
static char *read_file(const record_log_t *log, const char *name, gsize *length) {
    char *path = g_build_filename(log->folder, name, NULL);
    char *data = NULL;
    *length = 0;
    if (!g_file_get_contents(path, &data, length, NULL))
        data = NULL;
    g_free(path);
    return data;
}

static void append_record(GByteArray *bytes, GBytes *record) {
    gsize length;
    const guint8 *data = g_bytes_get_data(record, &length);
    guint32 header[2] = {GUINT32_TO_LE((guint32)length), GUINT32_TO_LE(XXH32(data, length, 0))};
    g_byte_array_append(bytes, (const guint8 *)header, RECORD_HEADER_BYTES);
    g_byte_array_append(bytes, data, (guint)length);
}

/** Length of the record at @p data; -1 if it is not valid. */
static gssize valid_record_length(const guint8 *data, size_t left) {
    guint32 header[2];
    if (left < RECORD_HEADER_BYTES)
        return -1;
    memcpy(header, data, RECORD_HEADER_BYTES);
    size_t length = GUINT32_FROM_LE(header[0]);
    if (length == 0 || length > left - RECORD_HEADER_BYTES)
        return -1;
    if (XXH32(data + RECORD_HEADER_BYTES, length, 0) != GUINT32_FROM_LE(header[1]))
        return -1;
    return (gssize)length;
}

/* Functions of the pool's thread. */

static bool write_all(int file, const guint8 *data, size_t length, uint64_t offset) {
    while (length > 0) {
        ssize_t written = pwrite(file, data, length, (off_t)offset);
        if (written < 0 && errno == EINTR)
            continue;
        if (written <= 0)
            return false;
        data += written;
        length -= (size_t)written;
        offset += (uint64_t)written;
    }
    return true;
}

static bool append_batch(batch_t *batch) {
    const record_log_t *log = batch->log;
    if (batch->file < 0) {
        batch->file = openat(log->folder_file, segment_name(batch->segment).text,
                             O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
        batch->name_synced = false;
        if (batch->file < 0)
            return false;
    }
    bool written = write_all(batch->file, batch->bytes->data, batch->bytes->len, batch->offset) &&
                   fdatasync(batch->file) == 0;
    if (written && !batch->name_synced)
        written = batch->name_synced = fsync(log->folder_file) == 0;
    if (!written && ftruncate(batch->file, (off_t)batch->offset) != 0)
        return false;
    return written;
}

static bool replace_state(const batch_t *batch) {
    int folder = batch->log->folder_file;
    GByteArray *bytes = g_byte_array_new();
    append_record(bytes, batch->state);
    int file = openat(folder, NEW_STATE_NAME, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
    bool written = file >= 0 && write_all(file, bytes->data, bytes->len, 0) && fsync(file) == 0;
    if (file >= 0)
        close(file);
    written =
        written && renameat(folder, NEW_STATE_NAME, folder, STATE_NAME) == 0 && fsync(folder) == 0;
    g_byte_array_unref(bytes);
    return written;
}

static void run_batch(uv_work_t *work) {
    batch_t *batch = work->data;
    batch->started_at = uv_hrtime();
    batch->appended = batch->bytes->len == 0 || append_batch(batch);
    batch->state_written = batch->state == NULL || replace_state(batch);
    batch->finished_at = uv_hrtime();
}

/* Functions of the loop's thread. */

static segment_t *last_segment(record_log_t *log) {
    return &g_array_index(log->segments, segment_t, log->segments->len - 1);
}

static void add_segment(record_log_t *log, uint32_t number, uint64_t bytes) {
    segment_t segment = {number, bytes};
    g_array_append_val(log->segments, segment);
}

static void start_batch(record_log_t *log);

static void record_batch_result(record_log_t *log, const batch_t *batch) {
    log->file = batch->file;
    log->name_synced = batch->name_synced;
    if (!batch->appended)
        return;
    segment_t *segment = last_segment(log);
    segment->bytes += batch->bytes->len;
    if (segment->bytes < SEGMENT_BYTES)
        return;
    close(log->file);
    log->file = -1;
    add_segment(log, segment->number + 1, 0);
}

static uint64_t ms_between(uint64_t start_ns, uint64_t end_ns) {
    return (end_ns - start_ns) / NS_PER_MS;
}

/**
 * Needs no rate limit: a record waits for at most two batches, the previous one and its own, so
 * that a slow one is logged at most about every SLOW_WRITE_MS / 2.
 */
static void log_slow_batch(const batch_t *batch) {
    uint64_t enqueued_at = g_array_index(batch->entries, pending_t, 0).enqueued_at;
    uint64_t done_at = uv_hrtime();
    if (ms_between(enqueued_at, done_at) < SLOW_WRITE_MS)
        return;
    event_log(STORE_WRITE_SLOW, ms_between(enqueued_at, done_at),
              ms_between(enqueued_at, batch->submitted_at),
              ms_between(batch->submitted_at, batch->started_at),
              ms_between(batch->started_at, batch->finished_at),
              ms_between(batch->finished_at, done_at), batch->entries->len, batch->bytes->len);
}

static void on_batch_done(uv_work_t *work, int status) {
    batch_t *batch = work->data;
    record_log_t *log = batch->log;
    (void)status;
    log->busy = false;
    log_slow_batch(batch);
    record_batch_result(log, batch);
    for (guint i = 0; i < batch->entries->len; i++) {
        pending_t *entry = &g_array_index(batch->entries, pending_t, i);
        bool durable = entry->state ? batch->state_written : batch->appended;
        if (entry->done != NULL)
            entry->done(entry->owner, durable, batch->segment);
        g_bytes_unref(entry->bytes);
    }
    g_array_free(batch->entries, TRUE);
    g_byte_array_unref(batch->bytes);
    g_free(batch);
    start_batch(log);
}

static void start_batch(record_log_t *log) {
    if (log->busy || log->pending->len == 0)
        return;
    batch_t *batch = g_new0(batch_t, 1);
    batch->work.data = batch;
    batch->log = log;
    batch->entries = log->pending;
    batch->bytes = g_byte_array_new();
    batch->file = log->file;
    batch->name_synced = log->name_synced;
    batch->segment = last_segment(log)->number;
    batch->offset = last_segment(log)->bytes;
    log->pending = g_array_new(FALSE, FALSE, sizeof(pending_t));
    for (guint i = 0; i < batch->entries->len; i++) {
        const pending_t *entry = &g_array_index(batch->entries, pending_t, i);
        if (entry->state)
            batch->state = entry->bytes;
        else
            append_record(batch->bytes, entry->bytes);
    }
    log->busy = true;
    log->batch_enqueued_at = g_array_index(batch->entries, pending_t, 0).enqueued_at;
    batch->submitted_at = uv_hrtime();
    uv_queue_work(log->loop, &batch->work, run_batch, on_batch_done);
}

static void add_pending(record_log_t *log, GBytes *bytes, bool state, record_log_done_t done,
                        void *owner) {
    pending_t entry = {bytes, done, owner, uv_hrtime(), state};
    g_array_append_val(log->pending, entry);
}

void record_log_append(record_log_t *log, GBytes *record, record_log_done_t done, void *owner) {
    add_pending(log, record, false, done, owner);
    start_batch(log);
}

void record_log_append_with_next(record_log_t *log, GBytes *record) {
    add_pending(log, record, false, NULL, NULL);
}

void record_log_write_state(record_log_t *log, GBytes *state, record_log_done_t done, void *owner) {
    add_pending(log, state, true, done, owner);
    start_batch(log);
}

uint64_t record_log_lag_ms(const record_log_t *log) {
    return log->busy ? ms_between(log->batch_enqueued_at, uv_hrtime()) : 0;
}

bool record_log_idle(const record_log_t *log) {
    return !log->busy && log->pending->len == 0;
}

uint64_t record_log_bytes(const record_log_t *log) {
    uint64_t bytes = 0;
    for (guint i = 0; i < log->segments->len; i++)
        bytes += g_array_index(log->segments, segment_t, i).bytes;
    return bytes;
}

void record_log_trim(record_log_t *log, bool (*is_unused)(void *owner, uint32_t segment),
                     void *owner) {
    while (log->segments->len > 1) {
        uint32_t number = g_array_index(log->segments, segment_t, 0).number;
        if (!is_unused(owner, number))
            return;
        unlinkat(log->folder_file, segment_name(number).text, 0);
        g_array_remove_index(log->segments, 0);
    }
}

GBytes *record_log_read_state(const record_log_t *log) {
    gsize length;
    char *data = read_file(log, STATE_NAME, &length);
    GBytes *state = NULL;
    gssize valid = valid_record_length((const guint8 *)data, length);
    if (valid > 0)
        state = g_bytes_new(data + RECORD_HEADER_BYTES, (gsize)valid);
    g_free(data);
    return state;
}

static int compare_numbers(gconstpointer a, gconstpointer b) {
    const uint32_t *left = a;
    const uint32_t *right = b;
    return (*left > *right) - (*left < *right);
}

static GArray *find_segments(const record_log_t *log, GError **error) {
    GDir *folder = g_dir_open(log->folder, 0, error);
    if (folder == NULL)
        return NULL;
    GArray *numbers = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    for (const char *name = g_dir_read_name(folder); name != NULL; name = g_dir_read_name(folder)) {
        if (!g_str_has_prefix(name, "log."))
            continue;
        uint32_t number = (uint32_t)strtoul(name + strlen("log."), NULL, 10);
        g_array_append_val(numbers, number);
    }
    g_dir_close(folder);
    g_array_sort(numbers, compare_numbers);
    return numbers;
}

static void replay_segment(record_log_t *log, uint32_t number,
                           void (*replay)(void *owner, uint32_t segment, const uint8_t *data,
                                          size_t length),
                           void *owner) {
    gsize length;
    char *data = read_file(log, segment_name(number).text, &length);
    add_segment(log, number, length);
    const guint8 *bytes = (const guint8 *)data;
    size_t position = 0;
    for (;;) {
        gssize record = valid_record_length(bytes + position, length - position);
        if (record < 0)
            break;
        position += RECORD_HEADER_BYTES;
        replay(owner, number, bytes + position, (size_t)record);
        position += (size_t)record;
    }
    g_free(data);
}

void record_log_close(record_log_t *log) {
    if (log->file >= 0)
        close(log->file);
    if (log->folder_file >= 0)
        close(log->folder_file);
    g_array_free(log->segments, TRUE);
    g_array_free(log->pending, TRUE);
    g_free(log->folder);
    g_free(log);
}

/**
 * Syncs the newest segment. A process that was killed may have written records without syncing
 * them; they are replayed, and from then on count as on disk.
 */
static bool sync_newest_segment(const record_log_t *log, uint32_t number, GError **error) {
    segment_name_t name = segment_name(number);
    int file = openat(log->folder_file, name.text, O_RDONLY | O_CLOEXEC);
    bool synced = file >= 0 && fdatasync(file) == 0 && fsync(log->folder_file) == 0;
    int failure = errno;
    if (file >= 0)
        close(file);
    if (!synced)
        g_set_error(error, G_FILE_ERROR, g_file_error_from_errno(failure), "cannot sync %s/%s: %s",
                    log->folder, name.text, g_strerror(failure));
    return synced;
}

/** Opens and locks the folder; fails if another process has it open. */
static bool open_folder(record_log_t *log, GError **error) {
    log->folder_file = open(log->folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (log->folder_file >= 0 && flock(log->folder_file, LOCK_EX | LOCK_NB) == 0)
        return true;
    int failure = errno;
    if (failure == EWOULDBLOCK)
        g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_AGAIN,
                    "folder %s is in use by another storage node", log->folder);
    else
        g_set_error(error, G_FILE_ERROR, g_file_error_from_errno(failure),
                    "cannot open folder %s: %s", log->folder, g_strerror(failure));
    return false;
}

record_log_t *record_log_open(uv_loop_t *loop, const char *folder,
                              void (*replay)(void *owner, uint32_t segment, const uint8_t *data,
                                             size_t length),
                              void *owner, GError **error) {
    record_log_t *log = g_new0(record_log_t, 1);
    log->loop = loop;
    log->folder = g_strdup(folder);
    log->segments = g_array_new(FALSE, FALSE, sizeof(segment_t));
    log->pending = g_array_new(FALSE, FALSE, sizeof(pending_t));
    log->file = -1;
    GArray *numbers = open_folder(log, error) ? find_segments(log, error) : NULL;
    if (numbers == NULL) {
        record_log_close(log);
        return NULL;
    }
    uint32_t next = 1;
    for (guint i = 0; i < numbers->len; i++) {
        uint32_t number = g_array_index(numbers, uint32_t, i);
        replay_segment(log, number, replay, owner);
        next = number + 1;
    }
    bool synced = numbers->len == 0 || sync_newest_segment(log, next - 1, error);
    g_array_free(numbers, TRUE);
    if (!synced) {
        record_log_close(log);
        return NULL;
    }
    add_segment(log, next, 0);
    return log;
}
