/*
 * The state file holds what must survive a restart besides the records: whether the disk has been
 * in use since the first start of the whole system, the latest group, the generation in which the
 * node is complete (holds all acknowledged records), and the directory (store_directory.h). A node
 * without a valid state file is new or has lost its disk, and is not complete.
 *
 * One write is in progress at a time; changes made meanwhile are written together after it.
 * Failures: a state that could not be written is written again, as it is then, until that succeeds.
 * Until then neither the group nor the completeness in it counts as durable.
 */
#include "store/store.h"

#include "common/event.h"
#include "store/store_directory.h"

enum {
    RETRY_DELAY_MS = 1000,
    JOIN_RECORD_RETENTION_MS = 300000, /**< Longer than a new member takes to become complete. */
};

static void state_codec(codec_t *codec, store_t *store, uint64_t *complete_generation) {
    codec_bool(codec, &store->founding);
    codec_uint64(codec, complete_generation);
    store_group_codec(codec, store->group);
    /* State files of earlier versions end here, without the directory. */
    bool ends = codec->decoding && codec->position == codec->length;
    if (!ends)
        store_directory_state_codec(codec, store->directory);
}

/** What becomes effective once the state is on disk. */
typedef struct {
    store_t *store;
    uint64_t generation;
    uint64_t complete_generation;
} state_write_t;

static void start_write(store_t *store);

static void apply_written_state(const state_write_t *write) {
    store_t *store = write->store;
    store->identity_durable = true;
    store->group_durable = store->group_durable || write->generation == store->group->generation;
    if (write->complete_generation >= store->reached_generation)
        store->reached_generation = 0;
    if (write->complete_generation <= store->complete_generation)
        return;
    store->complete_generation = write->complete_generation;
    event_log(STORE_COMPLETE, store->complete_generation, g_hash_table_size(store->turns.entries));
}

static void count_state_write(store_t *store, bool durable) {
    if (durable && store->failed_state_writes > 0)
        event_log(STORE_STATE_WRITE_FAILING, "no", store->failed_state_writes);
    store->failed_state_writes = durable ? 0 : store->failed_state_writes + 1;
    if (store->failed_state_writes == 1)
        event_log(STORE_STATE_WRITE_FAILING, "yes", store->failed_state_writes);
}

static void on_retry(uv_timer_t *timer) {
    start_write(timer->data);
}

static void on_state_written(void *owner, bool durable, uint32_t segment) {
    state_write_t *write = owner;
    store_t *store = write->store;
    (void)segment;
    store->state_write_pending = false;
    count_state_write(store, durable);
    if (durable)
        apply_written_state(write);
    g_free(write);
    if (!durable)
        uv_timer_start(&store->state_retry, on_retry, RETRY_DELAY_MS, 0);
    else if (store->state_changed)
        start_write(store);
}

static void start_write(store_t *store) {
    state_write_t *write = g_new0(state_write_t, 1);
    write->store = store;
    write->generation = store->group->generation;
    write->complete_generation = MAX(store->complete_generation, store->reached_generation);
    codec_t codec;
    codec_start_encoding(&codec);
    uint64_t complete_generation = write->complete_generation;
    state_codec(&codec, store, &complete_generation);
    uv_timer_stop(&store->state_retry);
    store->state_changed = false;
    store->state_write_pending = true;
    record_log_write_state(store->log, codec_finish(&codec), on_state_written, write);
}

void store_state_init(store_t *store) {
    uv_timer_init(store->loop, &store->state_retry);
    store->state_retry.data = store;
}

void store_write_state(store_t *store) {
    store->state_changed = true;
    if (!store->state_write_pending)
        start_write(store);
}

void store_set_complete_generation(store_t *store, uint64_t generation) {
    store->reached_generation = MAX(store->reached_generation, generation);
    store_write_state(store);
}

bool store_restore_state(store_t *store) {
    GBytes *state = record_log_read_state(store->log);
    if (state == NULL)
        return false;
    gsize length;
    const void *data = g_bytes_get_data(state, &length);
    codec_t codec;
    codec_start_decoding(&codec, data, length);
    state_codec(&codec, store, &store->complete_generation);
    bool valid = codec_complete(&codec);
    g_bytes_unref(state);
    if (!valid) {
        store->founding = false;
        store->complete_generation = 0;
        store_group_free(store->group);
        store->group = store_group_new();
        return false;
    }
    store->identity_durable = true;
    store->group_durable = true;
    return true;
}

void store_send_group(store_t *store, frame_connection_t *connection) {
    if (store->group->generation == 0)
        return;
    message_t message;
    message_init(&message, MESSAGE_GROUP);
    message.generation = store->group->generation;
    message.group = store_group_encode(store->group);
    frame_connection_send(connection, message_encode(&message));
    message_clear(&message);
}

bool store_is_member(const store_t *store) {
    return store_group_find(store->group->members, store->settings->name) != NULL;
}

bool store_is_complete(const store_t *store) {
    return store->group->generation > 0 && store->complete_generation == store->group->generation;
}

bool store_has_all_turns(const store_t *store) {
    return store_is_complete(store) && turn_spill_complete(store->spill);
}

void store_record_listed(store_t *store, uint64_t generation) {
    if (!store->group_listed)
        store->listed_generation = generation;
    store->group_listed = true;
}

static void on_joined_recorded(void *owner, bool durable, uint32_t segment) {
    store_t *store = owner;
    if (durable)
        turn_table_keep_segment(&store->turns, segment,
                                store_expiry_clock_ms(store) + JOIN_RECORD_RETENTION_MS);
}

/**
 * Records that this node has become a member if the group was made since its start: nothing that it
 * has acknowledged as a member can have been lost with an earlier disk.
 */
static void record_joined(store_t *store) {
    const store_group_t *group = store->group;
    bool joined = store_is_member(store) && group->previous->len > 0 &&
                  store_group_find(group->previous, store->settings->name) == NULL;
    if (!joined || !store->group_listed || group->generation <= store->listed_generation)
        return;
    store->joined_generation = group->generation;
    message_t record;
    message_init(&record, RECORD_JOINED);
    record.generation = group->generation;
    store_append_record(store, message_encode(&record), on_joined_recorded, store);
    message_clear(&record);
}

void store_adopt_group(store_t *store, const store_group_t *group) {
    if (group->generation <= store->group->generation)
        return;
    bool stayed = store_is_member(store) && group->generation == store->group->generation + 1;
    if (!stayed) {
        quota_table_restart(&store->quotas);
        admission_table_restart(&store->admissions);
    }
    store_group_free(store->group);
    store->group = store_group_copy(group);
    store->group_durable = false;
    event_log(STORE_GROUP_CHANGED, group->generation, group->members->len,
              store_is_member(store) ? "yes" : "no");
    /* Nothing was acknowledged before the first group: a founding member is complete in it. */
    bool complete = group->generation == 1 && store->founding && store_is_member(store);
    record_joined(store);
    store_set_complete_generation(store, complete ? 1 : 0);
    GHashTableIter iterator;
    gpointer connection;
    g_hash_table_iter_init(&iterator, store->connections);
    while (g_hash_table_iter_next(&iterator, NULL, &connection))
        store_send_group(store, connection);
    store_catch_up_check(store);
}
