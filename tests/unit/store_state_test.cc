// The state file of storage nodes whose disks are full, in virtual time. Guards against a state
// that is never written after a failed write, that counts as durable before it is on disk, or that
// a later write replaces by an older one.
#include <gtest/gtest.h>

extern "C" {
#include "storesim/world.h"
}

namespace {

constexpr uint64_t setup_ms = 6000;
constexpr uint64_t full_ms = 10000;
constexpr uint64_t write_ms = 100;     /**< More than a sync takes. */
constexpr uint64_t retry_ms = 1500;    /**< More than the pause between two attempts. */
constexpr uint64_t catch_up_ms = 5000; /**< More than a node with an empty disk waits. */
constexpr uint64_t retirement_ms = 20000;
constexpr uint64_t idle_ms = 60000;

class StoreState : public testing::Test {
  public:
    explicit StoreState(unsigned stores = 3) {
        const world_shape_t shape = {stores, 0, 1, 1000, BREAK_NOTHING};
        world = world_new(1, &shape);
        run(setup_ms);
    }

    world_store_t *node(unsigned number) const {
        return static_cast<world_store_t *>(g_ptr_array_index(world->stores, number));
    }

    virtual_disk_t *disk(unsigned number) const {
        return virtual_disk_of(node(number)->process);
    }

    static void run(uint64_t ms) {
        virtual_run(virtual_now() + ms);
    }

    void restart(unsigned number, world_end_t end) const {
        world_end_store(node(number), end);
        world_start_store(node(number), false);
    }

    /** Node 0 has started with an empty disk and knows its group, but is not complete. */
    store_t *start_empty() const {
        restart(0, END_DISK_LOST);
        store_t *store = node(0)->store;
        while (store->group->generation == 0 || !store->group_durable)
            run(1);
        EXPECT_FALSE(store_is_complete(store));
        return store;
    }

    world_t *world;
};

TEST_F(StoreState, IsWrittenAgainAfterAPauseAndNotOnceItSucceeded) {
    world_end_store(node(0), END_DISK_LOST);
    disk(0)->full = true;
    disk(0)->state_writes = 0;
    world_start_store(node(0), false);
    const store_t *store = node(0)->store;
    run(full_ms);
    EXPECT_GE(disk(0)->state_writes, full_ms / 1000 / 2);
    EXPECT_LE(disk(0)->state_writes, full_ms / 1000 * 2);
    EXPECT_EQ(disk(0)->state, nullptr);
    EXPECT_FALSE(store->identity_durable);
    EXPECT_FALSE(store->group_durable);
    EXPECT_EQ(store->complete_generation, 0u);
    disk(0)->full = false;
    run(retry_ms);
    EXPECT_TRUE(store->identity_durable);
    EXPECT_TRUE(store->group_durable);
    run(catch_up_ms);
    EXPECT_TRUE(store_is_complete(store));
    unsigned writes = disk(0)->state_writes;
    run(idle_ms);
    EXPECT_EQ(disk(0)->state_writes, writes);
}

// The disk is full when the last copy ends.
TEST_F(StoreState, OfACompleteMemberIsWrittenOnceThereIsSpace) {
    const store_t *store = start_empty();
    disk(0)->full = true;
    run(full_ms);
    EXPECT_FALSE(store_is_complete(store));
    disk(0)->full = false;
    run(retry_ms);
    EXPECT_TRUE(store_is_complete(store));
    restart(0, END_KILLED);
    EXPECT_TRUE(store_is_complete(node(0)->store));
}

// The directory changes while the completeness could not be written.
TEST_F(StoreState, KeepsTheCompletenessThatAnEarlierFailedWriteHad) {
    store_t *store = start_empty();
    disk(0)->full = true;
    run(catch_up_ms);
    disk(0)->full = false;
    store_write_state(store);
    run(write_ms);
    EXPECT_TRUE(store_is_complete(store));
}

TEST_F(StoreState, IsNotReplacedByALessCompleteOne) {
    store_t *store = start_empty();
    store_set_complete_generation(store, store->group->generation);
    store_write_state(store);
    run(write_ms);
    ASSERT_TRUE(store_is_complete(store));
    restart(0, END_KILLED);
    EXPECT_TRUE(store_is_complete(node(0)->store));
}

TEST_F(StoreState, IsWrittenOnceForChangesDuringAWrite) {
    store_t *store = node(0)->store;
    run(idle_ms);
    disk(0)->state_writes = 0;
    virtual_disk_stall(disk(0), 3000);
    for (unsigned i = 0; i < 10; i++) {
        store_write_state(store);
        run(100);
    }
    run(retry_ms + 3000);
    EXPECT_EQ(disk(0)->state_writes, 2u);
}

class Retirement : public StoreState {
  public:
    Retirement() : StoreState(4) {
    }

    static bool reported_complete(const char *name) {
        char *key = key_value_retire_status_key(name);
        GBytes *complete = key_value_retire_status(true);
        GBytes *status = virtual_key_value_get(key);
        bool reported = status != nullptr && g_bytes_equal(status, complete);
        g_bytes_unref(complete);
        g_free(key);
        return reported;
    }

    static void request(const char *name) {
        char *key = g_strdup_printf("retire/%s", name);
        GBytes *value = g_bytes_new_static("x", 1);
        virtual_key_value_put(key, value);
        g_bytes_unref(value);
        g_free(key);
    }
};

// The disk is full when the node learns of the group without it.
TEST_F(Retirement, IsReportedOnceTheStateIsOnDisk) {
    unsigned number = 0;
    while (!store_is_member(node(number)->store))
        number++;
    const char *name = node(number)->settings.name;
    const store_t *store = node(number)->store;
    disk(number)->full = true;
    request(name);
    for (uint64_t ms = 0; store_is_member(store) && ms < retirement_ms; ms++)
        run(1);
    ASSERT_FALSE(store_is_member(store));
    run(full_ms);
    EXPECT_FALSE(store->group_durable);
    EXPECT_FALSE(reported_complete(name));
    disk(number)->full = false;
    run(retirement_ms);
    EXPECT_TRUE(reported_complete(name));
}

} // namespace
