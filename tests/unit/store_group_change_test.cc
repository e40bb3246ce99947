// The group of storage nodes changes while members are lost, in virtual time: what was acknowledged
// is kept, and the group becomes complete again.
#include <gtest/gtest.h>

#include <string>

#include "simulated_disks.h"

namespace {

using namespace simulated_disks;

constexpr uint64_t founding_alone_ms = 7000;
constexpr uint64_t change_ms = 10000;
constexpr uint64_t recovery_ms = 12000;
constexpr uint64_t slow_sync_ms = 100; // So that a copy takes a while.
constexpr unsigned turns = 200;

bool knows_group(const world_store_t *node, uint64_t generation) {
    return node->store != nullptr && node->store->group->generation == generation;
}

unsigned complete_members(const world_t *world) {
    unsigned complete = 0;
    for (guint i = 0; i < world->stores->len; i++) {
        const auto *node = static_cast<world_store_t *>(g_ptr_array_index(world->stores, i));
        complete += node->store != nullptr && store_is_member(node->store) &&
                    store_is_complete(node->store);
    }
    return complete;
}

class StoreGroupChange : public SimulatedDisks {
  public:
    StoreGroupChange() : SimulatedDisks(1) {
    }
    /** Node 0 is retired and node 3 takes its place; ends when node 3 knows that. */
    void replace_by_spare() const {
        for (unsigned i = 0; i < turns; i++) {
            Outcome outcome;
            put_turn(("turn-" + std::to_string(i)).c_str(), &outcome);
            run(20);
            ASSERT_TRUE(outcome.durable);
        }
        world_start_store(node(nodes), false);
        virtual_disk_of(node(nodes)->process)->sync_ms = slow_sync_ms;
        run(3000);
        char *key = g_strdup_printf("retire/%s", node(0)->settings.name);
        GBytes *value = g_bytes_new_static("x", 1);
        virtual_key_value_put(key, value);
        g_bytes_unref(value);
        g_free(key);
        uint64_t until = virtual_now() + change_ms;
        while (!store_is_member(node(nodes)->store) && virtual_now() < until)
            run(1);
        ASSERT_TRUE(store_is_member(node(nodes)->store));
        uint64_t generation = node(nodes)->store->group->generation;
        while (!(knows_group(node(0), generation) && node(0)->store->group_durable &&
                 node(nodes)->store->group_durable) &&
               virtual_now() < until)
            run(1);
        ASSERT_FALSE(store_is_complete(node(nodes)->store)) << "it has not copied yet";
    }
};

// Guards against a group that waits for itself: one complete member where each other one needs two.
TEST_F(StoreGroupChange, ANewMemberBecomesCompleteThoughAnotherLosesItsDiskBeforeItHasCopied) {
    replace_by_spare();
    for (unsigned i = 0; i <= nodes; i++)
        world_end_store(node(i), i == 1 ? END_DISK_LOST : END_POWER_LOST);
    run(300);
    for (unsigned i = 0; i <= nodes; i++)
        world_start_store(node(i), false);
    run(recovery_ms);
    EXPECT_EQ(complete_members(world), nodes);
    for (unsigned i = 1; i <= nodes; i++)
        EXPECT_EQ(g_hash_table_size(node(i)->store->turns.entries), turns) << i;
}

// Guards against turns that have expired at all members and come back with one that has left.
TEST_F(StoreGroupChange, ANewMemberDoesNotCopyWhatOnlyAMemberThatHasLeftStillHas) {
    turn_t forgotten = {g_strdup("forgotten"), g_strdup(""), g_bytes_new("in", 2),
                        g_bytes_new("out", 3), 1000000000,   g_strdup("")};
    turn_table_add(&node(0)->store->turns, &forgotten, 0, store_expiry_clock_ms(node(0)->store));
    turn_clear(&forgotten);
    replace_by_spare();
    run(recovery_ms);
    EXPECT_EQ(complete_members(world), nodes);
    EXPECT_EQ(g_hash_table_size(node(nodes)->store->turns.entries), turns);
}

TEST_F(StoreGroupChange, ANewMemberThatLosesItsDiskCopiesFromItsOwnGeneration) {
    replace_by_spare();
    world_end_store(node(nodes), END_DISK_LOST);
    run(300);
    world_start_store(node(nodes), false);
    run(500);
    EXPECT_EQ(0U, 0U);
    run(recovery_ms);
    EXPECT_EQ(0U, 0U);
    EXPECT_EQ(complete_members(world), nodes);
    EXPECT_EQ(g_hash_table_size(node(nodes)->store->turns.entries), turns);
}

class StoreFounding : public testing::Test {
  public:
    /** Only node 0 has written that it is a founder when the others are killed. */
    StoreFounding() {
        const world_shape_t shape = {nodes, 0, 1, 100, BREAK_NOTHING};
        world = world_new(1, &shape);
        for (unsigned i = 1; i < nodes; i++) {
            world_end_store(node(i), END_KILLED);
            virtual_disk_lose(virtual_disk_of(node(i)->process));
        }
    }
    world_store_t *node(unsigned number) const {
        return static_cast<world_store_t *>(g_ptr_array_index(world->stores, number));
    }
    void start_others() const {
        for (unsigned i = 1; i < nodes; i++)
            world_start_store(node(i), false);
    }
    world_t *world;
};

// Guards against a group of one for good, whose loss takes all that was acknowledged along.
TEST_F(StoreFounding, AGroupThatOneNodeHasFoundedGrowsToItsSize) {
    virtual_run(200);
    start_others();
    virtual_run(founding_alone_ms + change_ms);
    EXPECT_EQ(node(0)->store->group->members->len, nodes);
    EXPECT_EQ(complete_members(world), nodes);
}

// Guards against an empty node that takes the place of the only member and denies its turns.
TEST_F(StoreFounding, TheOnlyMemberIsNotReplacedWhileItIsAway) {
    virtual_run(founding_alone_ms);
    ASSERT_TRUE(knows_group(node(0), 1));
    start_others();
    virtual_run(virtual_now() + 300);
    world_end_store(node(0), END_KILLED);
    virtual_run(virtual_now() + change_ms);
    for (unsigned i = 1; i < nodes; i++)
        EXPECT_TRUE(knows_group(node(i), 1)) << i;
    world_start_store(node(0), false);
    virtual_run(virtual_now() + change_ms);
    EXPECT_EQ(complete_members(world), nodes);
}

} // namespace
