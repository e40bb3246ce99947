/*
 * Design. The log is read once, at the start, record by record and oldest first, into the tables
 * that requests are answered from. Time goes by as it did while it was written, by the log's own
 * marks: what had expired then takes no room now.
 */
#include "store/store.h"

/** Time goes by as it did while the log was written, so that no more is held than was then. */
static void replay_time(store_t *store, uint64_t mark) {
    record_clock_read(&store->clock, mark);
    if (store_time(store) >= store->expired_at + STORE_UPKEEP_MS)
        store_forget_expired(store);
}

static void replay_charge(store_t *store, uint32_t segment, const budget_charge_t *charge) {
    uint64_t time = store_time(store);
    budget_table_merge(&store->budgets, charge, time);
    budget_table_note_kept(&store->budgets, charge);
    turn_table_need_segment(&store->turns, segment, time + BUDGET_RETENTION_MS);
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
                           store_time(store));
        break;
    case RECORD_TIME:
        replay_time(store, record->time);
        break;
    default:
        break;
    }
}

void store_replay(void *owner, uint32_t segment, const uint8_t *data, size_t length) {
    store_t *store = owner;
    message_t record;
    store->records_read++;
    if (message_decode(&record, data, length))
        replay_record(store, segment, &record);
    message_clear(&record);
}
