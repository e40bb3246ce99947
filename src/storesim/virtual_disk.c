#include "storesim/virtual_disk.h"

#include "store/record_log.h"

enum {
    RECORDS_A_SEGMENT = 500,
    SYNC_JITTER_MS = 3,
    HOLD_CHECK_MS = 20, /**< A sync that is held looks so often whether it still is. */
};

typedef struct {
    GBytes *bytes;
    record_log_done_t done;
    void *owner;
    bool state;
    uint64_t enqueued_at;
} pending_t;

struct record_log {
    uv_loop_t *loop;
    virtual_disk_t *disk;
    GArray *pending;            /**< Of pending_t. */
    GArray *batch;              /**< What is being synced; NULL: nothing. */
    uint64_t batch_enqueued_at; /**< Of the oldest entry of the batch. */
};

static GHashTable *disks; /**< Process name to virtual_disk_t. */
static bool acknowledge_early;
static bool keep_identity;

void virtual_disks_start(void) {
    disks = g_hash_table_new(g_str_hash, g_str_equal);
    acknowledge_early = false;
    keep_identity = false;
}

void virtual_disks_acknowledge_early(bool on) {
    acknowledge_early = on;
}

void virtual_disks_keep_identity(bool on) {
    keep_identity = on;
}

static GPtrArray *new_records(void) {
    return g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
}

virtual_disk_t *virtual_disk_of(const virtual_process_t *process) {
    virtual_disk_t *disk = g_hash_table_lookup(disks, process->name);
    if (disk != NULL)
        return disk;
    disk = g_new0(virtual_disk_t, 1);
    disk->synced = new_records();
    disk->unsynced = new_records();
    disk->sync_ms = virtual_random(1, 5);
    g_hash_table_insert(disks, process->name, disk);
    return disk;
}

static void keep_unsynced(virtual_disk_t *disk, guint count) {
    for (guint i = 0; i < count; i++)
        g_ptr_array_add(disk->synced, g_bytes_ref(g_ptr_array_index(disk->unsynced, i)));
    g_ptr_array_set_size(disk->unsynced, 0);
}

void virtual_disk_power_lost(virtual_disk_t *disk) {
    guint kept = virtual_chance(40) ? 0 : (guint)virtual_random(0, disk->unsynced->len);
    keep_unsynced(disk, kept);
}

void virtual_disk_process_ended(virtual_disk_t *disk) {
    keep_unsynced(disk, disk->unsynced->len);
}

void virtual_disk_lose(virtual_disk_t *disk) {
    g_ptr_array_set_size(disk->synced, 0);
    g_ptr_array_set_size(disk->unsynced, 0);
    disk->trimmed = 0;
    disk->full = false;
    if (disk->state != NULL && !keep_identity) {
        g_bytes_unref(disk->state);
        disk->state = NULL;
    }
}

void virtual_disk_stall(virtual_disk_t *disk, uint64_t ms) {
    disk->stalled_until = MAX(disk->stalled_until, virtual_now() + ms);
}

void virtual_disk_hold(virtual_disk_t *disk, uint64_t ms) {
    disk->held_until = MAX(disk->held_until, virtual_now() + ms);
}

void virtual_disk_release(virtual_disk_t *disk) {
    disk->held_until = 0;
}

/* store/record_log.h */

static void start_batch(record_log_t *log);

static void take_state(virtual_disk_t *disk, GBytes *state) {
    if (disk->state != NULL)
        g_bytes_unref(disk->state);
    disk->state = g_bytes_ref(state);
}

static void finish_batch(void *data) {
    record_log_t *log = data;
    virtual_disk_t *disk = log->disk;
    if (disk->held_until > virtual_now()) {
        uint64_t left = disk->held_until - virtual_now();
        virtual_after(MIN(left, HOLD_CHECK_MS), log->loop->data, finish_batch, log);
        return;
    }
    GArray *batch = log->batch;
    log->batch = NULL;
    bool written = !disk->full;
    if (written)
        virtual_disk_process_ended(disk);
    else
        g_ptr_array_set_size(disk->unsynced, 0);
    for (guint i = 0; i < batch->len; i++) {
        pending_t *entry = &g_array_index(batch, pending_t, i);
        if (entry->state && written)
            take_state(disk, entry->bytes);
        if (entry->done != NULL)
            entry->done(entry->owner, written, disk->synced->len / RECORDS_A_SEGMENT);
        g_bytes_unref(entry->bytes);
    }
    g_array_free(batch, TRUE);
    start_batch(log);
}

static void start_batch(record_log_t *log) {
    if (log->batch != NULL || log->pending->len == 0)
        return;
    log->batch = log->pending;
    log->pending = g_array_new(FALSE, FALSE, sizeof(pending_t));
    log->batch_enqueued_at = g_array_index(log->batch, pending_t, 0).enqueued_at;
    for (guint i = 0; i < log->batch->len; i++) {
        const pending_t *entry = &g_array_index(log->batch, pending_t, i);
        if (!entry->state)
            g_ptr_array_add(log->disk->unsynced, g_bytes_ref(entry->bytes));
    }
    uint64_t delay = log->disk->sync_ms + virtual_random(0, SYNC_JITTER_MS);
    if (log->disk->stalled_until > virtual_now())
        delay += log->disk->stalled_until - virtual_now();
    virtual_after(delay, log->loop->data, finish_batch, log);
}

static void add(record_log_t *log, GBytes *bytes, bool state, record_log_done_t done, void *owner) {
    pending_t entry = {bytes, done, owner, state, virtual_now()};
    if (acknowledge_early && !state && !log->disk->full) {
        if (done != NULL)
            done(owner, true, log->disk->synced->len / RECORDS_A_SEGMENT);
        entry.done = NULL;
    }
    g_array_append_val(log->pending, entry);
    start_batch(log);
}

void record_log_append(record_log_t *log, GBytes *record, record_log_done_t done, void *owner) {
    add(log, record, false, done, owner);
}

void record_log_append_with_next(record_log_t *log, GBytes *record) {
    pending_t entry = {record, NULL, NULL, false, virtual_now()};
    g_array_append_val(log->pending, entry);
}

void record_log_write_state(record_log_t *log, GBytes *state, record_log_done_t done, void *owner) {
    log->disk->state_writes++;
    add(log, state, true, done, owner);
}

GBytes *record_log_read_state(const record_log_t *log) {
    return log->disk->state == NULL ? NULL : g_bytes_ref(log->disk->state);
}

void record_log_trim(record_log_t *log, bool (*is_unused)(void *owner, uint32_t segment),
                     void *owner) {
    virtual_disk_t *disk = log->disk;
    /* A batch is told the segment of its last record, which may be the next one. */
    while ((disk->trimmed + 2) * RECORDS_A_SEGMENT <= disk->synced->len &&
           is_unused(owner, disk->trimmed) && is_unused(owner, disk->trimmed + 1)) {
        for (unsigned i = 0; i < RECORDS_A_SEGMENT; i++) {
            gpointer *record =
                &g_ptr_array_index(disk->synced, disk->trimmed * RECORDS_A_SEGMENT + i);
            g_bytes_unref(*record);
            *record = g_bytes_new(NULL, 0);
        }
        disk->trimmed++;
    }
}

uint64_t record_log_bytes(const record_log_t *log) {
    (void)log;
    return 0;
}

void record_log_close(record_log_t *log) {
    g_array_free(log->pending, TRUE);
    g_free(log);
}

uint64_t record_log_lag_ms(const record_log_t *log) {
    return log->batch == NULL ? 0 : virtual_now() - log->batch_enqueued_at;
}

bool record_log_idle(const record_log_t *log) {
    return log->batch == NULL && log->pending->len == 0;
}

record_log_t *record_log_open(uv_loop_t *loop, const char *folder,
                              void (*replay)(void *owner, uint32_t segment, const uint8_t *data,
                                             size_t length),
                              void *owner, GError **error) {
    (void)folder;
    (void)error;
    record_log_t *log = g_new0(record_log_t, 1);
    log->loop = loop;
    log->disk = virtual_disk_of(loop->data);
    log->pending = g_array_new(FALSE, FALSE, sizeof(pending_t));
    for (guint i = log->disk->trimmed * RECORDS_A_SEGMENT; i < log->disk->synced->len; i++) {
        gsize length;
        const uint8_t *data = g_bytes_get_data(g_ptr_array_index(log->disk->synced, i), &length);
        replay(owner, i / RECORDS_A_SEGMENT, data, length);
    }
    return log;
}
