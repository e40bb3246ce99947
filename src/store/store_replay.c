/*
 * Rebuilds the in-memory tables from the log at startup, record by record, oldest first. The time
 * marks in the log drive expiry during the replay, so that expired records do not use memory.
 */
#include "store/store_crashes.h"

/**
 * Advances the expiry clock to @p mark and removes expired records at the same interval as in
 * normal operation, so that a replay needs no more memory than normal operation does.
 */
static void replay_time_mark(store_t *store, uint64_t mark) {
    record_clock_replay(&store->clock, mark);
    if (store_expiry_clock_ms(store) >= store->last_expiry_at + STORE_UPKEEP_INTERVAL_MS)
        store_remove_expired(store);
}

static void replay_charge(store_t *store, uint32_t segment, const budget_charge_t *charge) {
    uint64_t time = record_clock_latest_time(&store->clock);
    budget_table_merge(&store->budgets, charge, time);
    budget_table_mark_durable(&store->budgets, charge);
    turn_table_keep_segment(&store->turns, segment, time + BUDGET_RECORD_RETENTION_MS);
}

static void replay_record(store_t *store, uint32_t segment, message_t *record) {
    switch (record->type) {
    case REQUEST_SETTLE:
        record->charge.settled = true;
        replay_charge(store, segment, &record->charge);
        break;
    case REQUEST_RESERVE:
    case RECORD_CHARGE:
        replay_charge(store, segment, &record->charge);
        break;
    case REQUEST_PUT_TURN:
        if (record->turns->len == 1)
            turn_table_add(&store->turns, &g_array_index(record->turns, turn_t, 0), segment,
                           record_clock_latest_time(&store->clock));
        break;
    case RECORD_CRASH:
        store_replay_crash(store, segment, record);
        break;
    case RECORD_JOINED:
        store->joined_generation = record->generation;
        break;
    case RECORD_TIME:
        replay_time_mark(store, record->time);
        break;
    default:
        break;
    }
}

void store_replay(void *owner, uint32_t segment, const uint8_t *data, size_t length) {
    store_t *store = owner;
    message_t record;
    store->records_replayed++;
    if (message_decode(&record, data, length))
        replay_record(store, segment, &record);
    message_clear(&record);
}
