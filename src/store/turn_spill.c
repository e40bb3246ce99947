/*
 * Design. A turn is written when its call has run: if the disk does not finish the write while the
 * caller waits, the answer is lost. A node whose disk has not finished the write of a turn within
 * SPILL_DELAY_MS therefore also writes the turn to the key-value service, which fails apart from
 * the disks, and confirms it once the service has acknowledged it. What this node has confirmed is
 * then its log plus its keys in the service: after a start it reads its keys, writes their turns to
 * the log, and until it has read them it does not report a turn as absent.
 *
 * Turns are written in batches, one key each, under names that are never used again, so that a
 * write which was carried out after its answer was given up can't replace another one. A key is
 * removed once the disk has all its turns. Only turns are spilled: after a start without the
 * service, a missing turn is reported as unknown, but a missing charge would let a program exceed
 * its budget.
 *
 * At most one write is under way, and one starts per WRITE_INTERVAL_MS, which bounds the calls of
 * the whole system by the size of the store group. Nothing is written while the disk keeps up.
 *
 * Failures. Without the service a turn waits for the disk alone. A write without an answer may
 * still be carried out; it is repeated with the same key and value, and if the disk has its turns
 * meanwhile, the key is removed only after LATE_WRITE_MS.
 */
#include "store/turn_spill.h"

#include "cluster/key_value_watch.h"
#include "cluster/message.h"
#include "common/event.h"

#include <string.h>

enum {
    /** As SLOW_WRITE_MS of record_log.c; leaves a caller that waits 2 s time for one more attempt.
     */
    SPILL_DELAY_MS = 500,
    CHECK_INTERVAL_MS = 100,
    WRITE_INTERVAL_MS = 200,
    RETRY_INTERVAL_MS = 1000, /**< After a refused or unanswered write. */
    REWRITE_DELAY_MS = 1000,  /**< After the disk has failed to write a spilled turn. */
    LATE_WRITE_MS = 30000,    /**< An unanswered write is not carried out after this. */
    /** Bounds a watcher's memory for one key; a larger turn is written alone. */
    BATCH_BYTES_MAX = 256 * 1024,
    TURN_OVERHEAD_BYTES = 256, /**< Of a turn's encoding, besides its names and contents. */
    REMOVALS_MAX = 32,         /**< Keys that the service removes in one transaction. */
    WATCH_WAIT_MS = 1000,
};

/** The turns of one key. */
typedef struct {
    char *key;
    GBytes *value;      /**< NULL once the service has it. */
    GQueue turns;       /**< Of spilled_turn_t: those that the disk does not have. */
    bool durable;       /**< The service has acknowledged the key. */
    uint64_t remove_at; /**< Earliest time at which the key may be removed. */
} batch_t;

struct spilled_turn {
    GList link;         /**< In turn_spill.waiting or in its batch. */
    const turn_t *turn; /**< NULL if it was read back. */
    batch_t *batch;     /**< NULL: not sent to the service. */
    void *owner;
    uint64_t added_at;
    uint64_t rewrite_at; /**< When the disk is to write it; 0: it is doing so. */
};

struct turn_spill {
    uv_loop_t *loop;
    const process_settings_t *settings;
    const turn_spill_handler_t *handler;
    void *user;
    uv_timer_t timer;
    bool timer_active;
    key_value_watch_t *watch; /**< Reads the keys of earlier runs; NULL: not begun. */
    bool complete;            /**< These keys have been read. */
    char *run;                /**< Distinguishes the keys of this run of the process. */
    uint64_t last_batch;
    GQueue waiting;      /**< Of spilled_turn_t, oldest first. */
    GPtrArray *batches;  /**< Of batch_t: those with turns that the disk does not have. */
    GPtrArray *removals; /**< Of batch_t: those whose key is to be removed. */
    batch_t *writing;    /**< Batch being written; NULL: none. */
    guint removing;      /**< Number of `removals`, from the first, that are being removed. */
    bool discarded;      /**< Nothing more is spilled. */
    bool refused_last;   /**< The service refused the latest batch. */
    bool removal_next;   /**< The latest write was a batch: keys that are due are removed next. */
    bool unreadable;     /**< A key of an earlier run can't be decoded. */
    uint64_t next_write_at;
    uint64_t count;
};

static uint64_t now(const turn_spill_t *spill) {
    return uv_now(spill->loop);
}

/* Batches. */

static void free_batch(gpointer data) {
    batch_t *batch = data;
    g_free(batch->key);
    if (batch->value != NULL)
        g_bytes_unref(batch->value);
    g_free(batch);
}

static batch_t *new_batch(turn_spill_t *spill, char *key) {
    batch_t *batch = g_new0(batch_t, 1);
    batch->key = key;
    g_queue_init(&batch->turns);
    g_ptr_array_add(spill->batches, batch);
    return batch;
}

static void add_to_batch(batch_t *batch, spilled_turn_t *turn) {
    turn->batch = batch;
    g_queue_push_tail_link(&batch->turns, &turn->link);
}

/** Has the key of a batch removed once the disk has its turns and no write of it is under way. */
static void finish_batch(turn_spill_t *spill, batch_t *batch) {
    guint index;
    if (batch->turns.length > 0 || spill->writing == batch ||
        !g_ptr_array_find(spill->batches, batch, &index))
        return;
    g_ptr_array_steal_index_fast(spill->batches, index);
    g_ptr_array_add(spill->removals, batch);
}

static size_t encoded_bytes(const turn_t *turn) {
    size_t names =
        strlen(turn->id) + strlen(turn->parent) + (turn->tenant == NULL ? 0 : strlen(turn->tenant));
    return TURN_OVERHEAD_BYTES + names + g_bytes_get_size(turn->input) +
           g_bytes_get_size(turn->output);
}

static bool fits_service(const turn_spill_t *spill, const turn_t *turn) {
    return encoded_bytes(turn) <= spill->settings->value_bytes;
}

/** Moves waiting turns, oldest first, to a new batch. */
static batch_t *take_batch(turn_spill_t *spill) {
    batch_t *batch = new_batch(
        spill, g_strdup_printf("%s%s/%s-%" G_GUINT64_FORMAT, key_value_prefix(KEY_SPILL),
                               spill->settings->name, spill->run, (guint64)++spill->last_batch));
    message_t record;
    message_init(&record, RESPONSE_TURNS);
    size_t bytes = 0;
    size_t bytes_max = MIN(BATCH_BYTES_MAX, spill->settings->value_bytes);
    GList *next;
    for (GList *item = spill->waiting.head; item != NULL; item = next) {
        next = item->next;
        spilled_turn_t *turn = item->data;
        size_t size = encoded_bytes(turn->turn);
        if (!fits_service(spill, turn->turn))
            continue;
        if (bytes > 0 && bytes + size > bytes_max)
            break;
        bytes += size;
        g_queue_unlink(&spill->waiting, item);
        add_to_batch(batch, turn);
        message_add_turn(&record, turn->turn);
    }
    batch->value = message_encode(&record);
    message_clear(&record);
    return batch;
}

/* Writing. */

static void schedule(turn_spill_t *spill);

static void confirm_batch(turn_spill_t *spill, batch_t *batch) {
    batch->durable = true;
    g_bytes_unref(batch->value);
    batch->value = NULL;
    for (GList *item = batch->turns.head; item != NULL; item = item->next) {
        spill->count++;
        spill->handler->on_spilled(((const spilled_turn_t *)item->data)->owner);
    }
}

static const char *write_outcome_name(key_value_outcome_t outcome) {
    return outcome == KEY_VALUE_REFUSED ? "refused" : "written";
}

static void on_batch_written(void *owner, key_value_outcome_t outcome) {
    turn_spill_t *spill = owner;
    batch_t *batch = spill->writing;
    spill->writing = NULL;
    event_log(STORE_TURNS_SPILLED, batch->key, batch->turns.length,
              (unsigned)g_bytes_get_size(batch->value), write_outcome_name(outcome));
    /* In conflict with itself: an earlier attempt was carried out without an answer. */
    spill->refused_last = outcome == KEY_VALUE_REFUSED;
    if (outcome != KEY_VALUE_REFUSED) {
        confirm_batch(spill, batch);
    } else {
        batch->remove_at = now(spill) + LATE_WRITE_MS;
        spill->next_write_at = now(spill) + RETRY_INTERVAL_MS;
    }
    finish_batch(spill, batch);
    schedule(spill);
}

static void write_batch(turn_spill_t *spill, batch_t *batch) {
    const process_settings_t *settings = spill->settings;
    spill->writing = batch;
    spill->next_write_at = now(spill) + WRITE_INTERVAL_MS;
    GString *request =
        key_value_write_request(settings->key_value_text, batch->key, batch->value, false, 0);
    key_value_write(spill->loop, &settings->key_value, request, on_batch_written, spill);
}

static void on_removed(void *owner, key_value_outcome_t outcome) {
    turn_spill_t *spill = owner;
    event_log(STORE_SPILL_REMOVED, spill->removing, write_outcome_name(outcome));
    if (outcome == KEY_VALUE_REFUSED)
        spill->next_write_at = now(spill) + RETRY_INTERVAL_MS;
    else
        g_ptr_array_remove_range(spill->removals, 0, spill->removing);
    spill->removing = 0;
    schedule(spill);
}

static gint compare_removals(gconstpointer a, gconstpointer b) {
    const batch_t *left = *(batch_t *const *)a;
    const batch_t *right = *(batch_t *const *)b;
    return (left->remove_at > right->remove_at) - (left->remove_at < right->remove_at);
}

/** Removes the keys that are due. */
static void remove_keys(turn_spill_t *spill) {
    const process_settings_t *settings = spill->settings;
    GPtrArray *keys = g_ptr_array_new();
    g_ptr_array_sort(spill->removals, compare_removals);
    for (guint i = 0; i < spill->removals->len && keys->len < REMOVALS_MAX; i++) {
        const batch_t *batch = g_ptr_array_index(spill->removals, i);
        if (batch->remove_at > now(spill))
            break;
        g_ptr_array_add(keys, batch->key);
    }
    if (keys->len > 0) {
        spill->removing = keys->len;
        spill->next_write_at = now(spill) + WRITE_INTERVAL_MS;
        key_value_write(spill->loop, &settings->key_value,
                        key_value_remove_request(settings->key_value_text, keys), on_removed,
                        spill);
    }
    g_ptr_array_free(keys, TRUE);
}

static batch_t *first_refused_batch(const turn_spill_t *spill) {
    for (guint i = 0; i < spill->batches->len; i++) {
        batch_t *batch = g_ptr_array_index(spill->batches, i);
        if (!batch->durable)
            return batch;
    }
    return NULL;
}

/** True if a turn has waited for SPILL_DELAY_MS that the service can take. */
static bool has_turn_due(const turn_spill_t *spill) {
    for (const GList *item = spill->waiting.head; item != NULL; item = item->next) {
        const spilled_turn_t *turn = item->data;
        if (now(spill) < turn->added_at + SPILL_DELAY_MS)
            return false;
        if (fits_service(spill, turn->turn))
            return true;
    }
    return false;
}

/**
 * The batch to write next: one that was refused before, or a new one; NULL: none is due. In turns,
 * so that a batch which the service never takes does not hold up the others.
 */
static batch_t *next_batch(turn_spill_t *spill) {
    if (spill->discarded)
        return NULL;
    batch_t *refused = first_refused_batch(spill);
    bool due = has_turn_due(spill);
    if (refused != NULL && !(due && spill->refused_last))
        return refused;
    return due ? take_batch(spill) : NULL;
}

static bool has_removal_due(const turn_spill_t *spill) {
    for (guint i = 0; i < spill->removals->len; i++)
        if (((const batch_t *)g_ptr_array_index(spill->removals, i))->remove_at <= now(spill))
            return true;
    return false;
}

/** Batches and removals take turns, so that keys do not pile up while batches are always due. */
static void write_next(turn_spill_t *spill) {
    bool busy = spill->writing != NULL || spill->removing > 0;
    if (busy || now(spill) < spill->next_write_at)
        return;
    bool removal_due = has_removal_due(spill);
    batch_t *batch = removal_due && spill->removal_next ? NULL : next_batch(spill);
    spill->removal_next = batch != NULL;
    if (batch != NULL)
        write_batch(spill, batch);
    else if (removal_due)
        remove_keys(spill);
}

static void rewrite_due(turn_spill_t *spill) {
    GPtrArray *owners = g_ptr_array_new();
    for (guint i = 0; i < spill->batches->len; i++) {
        const batch_t *batch = g_ptr_array_index(spill->batches, i);
        for (GList *item = batch->turns.head; item != NULL; item = item->next) {
            spilled_turn_t *turn = item->data;
            if (turn->rewrite_at == 0 || turn->rewrite_at > now(spill))
                continue;
            turn->rewrite_at = 0;
            g_ptr_array_add(owners, turn->owner);
        }
    }
    for (guint i = 0; i < owners->len; i++)
        spill->handler->on_rewrite_due(g_ptr_array_index(owners, i));
    g_ptr_array_free(owners, TRUE);
}

static void on_timer(uv_timer_t *timer) {
    turn_spill_t *spill = timer->data;
    spill->timer_active = false;
    /* Watches nothing after the listing. */
    if (spill->complete && spill->watch != NULL && !key_value_watch_rests(spill->watch))
        key_value_watch_rest(spill->watch);
    rewrite_due(spill);
    write_next(spill);
    schedule(spill);
}

/** Runs the timer while there is anything to do. */
static void schedule(turn_spill_t *spill) {
    bool reading = spill->complete && spill->watch != NULL && !key_value_watch_rests(spill->watch);
    bool idle = spill->waiting.length == 0 && turn_spill_empty(spill) && !reading;
    if (idle || spill->timer_active)
        return;
    spill->timer_active = true;
    uv_timer_start(&spill->timer, on_timer, CHECK_INTERVAL_MS, 0);
}

/* Reading back. */

static void read_turns(turn_spill_t *spill, batch_t *batch, const message_t *record) {
    for (guint i = 0; i < record->turns->len; i++) {
        const turn_t *stored = &g_array_index(record->turns, turn_t, i);
        spilled_turn_t *turn = g_new0(spilled_turn_t, 1);
        turn->link.data = turn;
        turn->rewrite_at = now(spill);
        add_to_batch(batch, turn);
        turn->owner = spill->handler->on_read(spill->user, stored, turn);
        if (turn->owner != NULL)
            continue;
        g_queue_unlink(&batch->turns, &turn->link);
        g_free(turn);
    }
}

static bool is_of_this_run(const turn_spill_t *spill, const char *key) {
    const char *name = strrchr(key, '/');
    return name != NULL && g_str_has_prefix(name + 1, spill->run);
}

/** True if the key was read already: a listing that fails begins again. */
static bool was_read(const turn_spill_t *spill, const char *key) {
    const GPtrArray *lists[] = {spill->batches, spill->removals};
    for (size_t list = 0; list < G_N_ELEMENTS(lists); list++)
        for (guint i = 0; i < lists[list]->len; i++)
            if (strcmp(((const batch_t *)g_ptr_array_index(lists[list], i))->key, key) == 0)
                return true;
    return false;
}

static void on_item(void *owner, const key_value_item_t *item) {
    turn_spill_t *spill = owner;
    if (spill->complete || item->value == NULL || is_of_this_run(spill, item->key) ||
        was_read(spill, item->key))
        return;
    gsize length;
    const void *data = g_bytes_get_data(item->value, &length);
    message_t record;
    bool valid = message_decode(&record, data, length) && record.type == RESPONSE_TURNS;
    if (valid) {
        batch_t *batch = new_batch(spill, g_strdup(item->key));
        batch->durable = true;
        read_turns(spill, batch, &record);
        event_log(STORE_SPILL_READ, item->key, record.turns->len, batch->turns.length, "yes");
        finish_batch(spill, batch);
    } else {
        /* It may hold turns that were confirmed. */
        event_log(STORE_SPILL_READ, item->key, 0U, 0U, "no");
        spill->unreadable = true;
    }
    message_clear(&record);
}

static void on_listed(void *owner, GHashTable *keys) {
    turn_spill_t *spill = owner;
    (void)keys;
    spill->complete = true;
    schedule(spill);
}

static void on_reachable(void *owner, bool reachable) {
    (void)owner;
    (void)reachable;
}

static const key_value_watch_handler_t watch_handler = {on_item, on_listed, on_reachable};

void turn_spill_read(turn_spill_t *spill) {
    const process_settings_t *settings = spill->settings;
    char *prefix = g_strconcat(key_value_prefix(KEY_SPILL), settings->name, "/", NULL);
    spill->complete = false;
    spill->watch = key_value_watch_open(spill->loop, &settings->key_value, settings->key_value_text,
                                        prefix, WATCH_WAIT_MS, &watch_handler, spill);
    g_free(prefix);
}

bool turn_spill_complete(const turn_spill_t *spill) {
    return spill->complete && !spill->unreadable;
}

/* Turns. */

turn_spill_t *turn_spill_new(uv_loop_t *loop, const process_settings_t *settings,
                             const turn_spill_handler_t *handler, void *user) {
    turn_spill_t *spill = g_new0(turn_spill_t, 1);
    spill->loop = loop;
    spill->settings = settings;
    spill->handler = handler;
    spill->user = user;
    spill->complete = true;
    spill->run = g_strdup_printf("%08x%08x", g_random_int(), g_random_int());
    g_queue_init(&spill->waiting);
    spill->batches = g_ptr_array_new_with_free_func(free_batch);
    spill->removals = g_ptr_array_new_with_free_func(free_batch);
    uv_timer_init(loop, &spill->timer);
    spill->timer.data = spill;
    return spill;
}

spilled_turn_t *turn_spill_add(turn_spill_t *spill, const turn_t *turn, void *owner) {
    spilled_turn_t *added = g_new0(spilled_turn_t, 1);
    added->link.data = added;
    added->turn = turn;
    added->owner = owner;
    added->added_at = now(spill);
    g_queue_push_tail_link(&spill->waiting, &added->link);
    schedule(spill);
    return added;
}

bool turn_spill_write_ended(turn_spill_t *spill, spilled_turn_t *turn, bool on_disk) {
    batch_t *batch = turn->batch;
    if (!on_disk && batch != NULL) {
        turn->rewrite_at = now(spill) + REWRITE_DELAY_MS;
        schedule(spill);
        return false;
    }
    g_queue_unlink(batch == NULL ? &spill->waiting : &batch->turns, &turn->link);
    if (batch != NULL)
        finish_batch(spill, batch);
    g_free(turn);
    schedule(spill);
    return true;
}

void turn_spill_discard(turn_spill_t *spill) {
    spill->discarded = true;
    for (guint i = spill->batches->len; i > 0; i--) {
        batch_t *batch = g_ptr_array_index(spill->batches, i - 1);
        for (GList *link = g_queue_pop_head_link(&batch->turns); link != NULL;
             link = g_queue_pop_head_link(&batch->turns)) {
            ((spilled_turn_t *)link->data)->batch = NULL;
            g_queue_push_tail_link(&spill->waiting, link);
        }
        finish_batch(spill, batch);
    }
    schedule(spill);
}

bool turn_spill_empty(const turn_spill_t *spill) {
    return spill->batches->len == 0 && spill->removals->len == 0;
}

uint64_t turn_spill_count(const turn_spill_t *spill) {
    return spill->count;
}
