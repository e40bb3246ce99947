/*
 * The state file holds what must survive a restart besides the records: whether the disk has been
 * in use since the first start of the whole system, the latest group, the generation in which the
 * node is complete (holds all acknowledged records), and the directory (store_directory.h). A node
 * without a valid state file is new or has lost its disk, and is not complete.
 */
#include "store/store.h"

#include "common/event.h"
#include "store/store_directory.h"

static void state_codec(codec_t *codec, store_t *store, uint64_t *complete_generation) {
    codec_bool(codec, &store->founding);
    codec_uint64(codec, complete_generation);
    store_group_codec(codec, store->group);
    /* State files of earlier versions end here, without the directory. */
    bool ends = codec->decoding && codec->position == codec->length;
    if (!ends)
        store_directory_state_codec(codec, store->directory);
}

typedef struct {
    store_t *store;
    uint64_t generation;
    uint64_t complete_generation;
} state_write_t;

static void on_state_written(void *owner, bool durable, uint32_t segment) {
    state_write_t *write = owner;
    store_t *store = write->store;
    (void)segment;
    store->pending_state_writes--;
    if (durable) {
        store->identity_durable = true;
        store->group_durable =
            store->group_durable || write->generation == store->group->generation;
        if (write->complete_generation > store->complete_generation) {
            store->complete_generation = write->complete_generation;
            event_log(STORE_COMPLETE, store->complete_generation,
                      g_hash_table_size(store->turns.entries));
        }
    }
    g_free(write);
}

static void write_state(store_t *store, uint64_t complete_generation) {
    codec_t codec;
    codec_start_encoding(&codec);
    state_codec(&codec, store, &complete_generation);
    state_write_t *write = g_new0(state_write_t, 1);
    write->store = store;
    write->generation = store->group->generation;
    write->complete_generation = complete_generation;
    store->pending_state_writes++;
    record_log_write_state(store->log, codec_finish(&codec), on_state_written, write);
}

bool store_state_is_written(const store_t *store) {
    return store->pending_state_writes == 0;
}

void store_write_state(store_t *store) {
    write_state(store, store->complete_generation);
}

void store_set_complete_generation(store_t *store, uint64_t generation) {
    write_state(store, generation);
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
    write_state(store, complete ? 1 : store->complete_generation);
    GHashTableIter iterator;
    gpointer connection;
    g_hash_table_iter_init(&iterator, store->connections);
    while (g_hash_table_iter_next(&iterator, NULL, &connection))
        store_send_group(store, connection);
    store_catch_up_check(store);
}
