/*
 * Design. A storage node says with each reserve whether one more turn may begin: whether what it
 * holds, what is on its way to the disk and what calls that have begun are going to bring stay
 * below the shares for turns. A turn that has begun is taken beyond these shares up to others: its
 * caller has waited for it, an engine has made it, and what it goes on from counts.
 *
 * Failures. Too little memory or disk refuses new turns first, then new reserves, then turns that
 * have begun, so that none of these ends the process; reads go on, and what was begun can be
 * settled.
 */
#include "store/store.h"

#include "common/event.h"

enum {
    PERCENT = 100,
    MEGABYTE = 1024 * 1024,
    /** Of the memory, for turns and charges: beyond this share, no reserve is taken. */
    CHARGES_SHARE_PERCENT = 81,
    /**
     * After a write has failed nothing begins for so long, in ms; then calls show whether the disk
     * takes writes again. Of a disk that is full for longer, the calls of a few ms in each such
     * time are run and fail; without it all are.
     */
    DISK_FAILED_MS = 1000,
};

/** Up to which shares turns are taken, in percent. */
typedef struct {
    unsigned turns;   /**< Of the process's memory, for turns. */
    unsigned records; /**< Of it, for turns and charges. */
    unsigned disk;
} room_shares_t;

static const room_shares_t begin_shares = {.turns = 50, .records = 78, .disk = 85};
/**
 * Sizes of turns differ from their mean, and what is copied from other members was not foreseen: so
 * much is left for those that have begun. With 17,000 turns and 70,000 charges the process took 4
 * MB more than the two by their tables' count, so that 84 % of 58 MB are the most for both.
 */
static const room_shares_t begun_shares = {.turns = 58, .records = 84, .disk = 93};

static uint64_t memory_share(const store_t *store, unsigned percent) {
    return store->settings->memory_megabytes * MEGABYTE * percent / PERCENT;
}

/** 0: any number of bytes. */
static uint64_t disk_share(const store_t *store, unsigned percent) {
    return store->settings->disk_megabytes * MEGABYTE * percent / PERCENT;
}

/** True if turns and charges take less than a share of the memory, with @p coming bytes more. */
static bool records_fit(const store_t *store, unsigned percent, uint64_t coming) {
    uint64_t bytes = store->turns.bytes + budget_table_bytes(&store->budgets) + coming;
    return bytes < memory_share(store, percent);
}

/** True if turns are below all shares with @p coming bytes more. */
static bool turns_fit(const store_t *store, const room_shares_t *shares, uint64_t coming) {
    uint64_t disk = disk_share(store, shares->disk);
    return store->turns.bytes + coming < memory_share(store, shares->turns) &&
           records_fit(store, shares->records, coming) &&
           (disk == 0 || record_log_bytes(store->log) + coming < disk);
}

/** Mean bytes of the turns that are held; 0 without any. */
static uint64_t mean_turn_bytes(const store_t *store) {
    guint turns = g_hash_table_size(store->turns.entries);
    return turns == 0 ? 0 : store->turns.bytes / turns;
}

uint64_t store_held_turn_bytes(const store_t *store) {
    return room_holds_bytes(&store->holds, mean_turn_bytes(store));
}

/** True if the disk was full, or took no writes for another reason, a moment ago. */
static bool disk_fails(const store_t *store) {
    return store->write_failed_at > 0 &&
           uv_now(store->loop) < store->write_failed_at + DISK_FAILED_MS;
}

bool store_turn_may_begin(store_t *store) {
    uint64_t coming = store->turn_bytes_on_way + store_held_turn_bytes(store);
    bool failing = disk_fails(store);
    bool room = !failing && turns_fit(store, &begin_shares, coming);
    if (room == store->out_of_room)
        event_log(STORE_ROOM, room ? "yes" : "no", failing ? "fails" : "works",
                  store->refused_for_room, store->turns.bytes,
                  memory_share(store, begin_shares.turns), coming,
                  budget_table_bytes(&store->budgets), record_log_bytes(store->log),
                  disk_share(store, begin_shares.disk));
    store->out_of_room = !room;
    return room;
}

bool store_takes_begun_turn(store_t *store) {
    uint64_t coming = store->turn_bytes_on_way;
    bool room = turns_fit(store, &begun_shares, coming);
    store->refused_for_room += !room;
    store->taken_beyond_share += room && !turns_fit(store, &begin_shares, coming);
    return room;
}

bool store_takes_reserve(const store_t *store, const budget_charge_t *charge) {
    bool fits = !disk_fails(store) && records_fit(store, CHARGES_SHARE_PERCENT, 0);
    return fits || budget_table_knows(&store->budgets, charge->program, charge->call);
}
