// A store group that a node joins while one of its members is not complete, in virtual time.
//
// The story: no turn is kept any more, and no change of the group helps. Order of events: one of
// three members was emptied and left; before the second of the two left was complete in their
// generation (its disk was slow), a new node joined, which asks for one complete member of two. In
// the generation of three, each member that is not complete needs copies from two that are, and
// there is one: the second and the new one wait for one another for good, and the next change needs
// two complete ones. Evidence (soak, seed 974034642, beside a busy disk): E804 generation=3 of one
// of three members, E815 state=ended of the others at 05:33:49 and no E804, budget_unsure until
// 05:38:05, when the soak ended.
#include <gtest/gtest.h>

extern "C" {
#include "storesim/world.h"
}

namespace {

constexpr uint64_t founded_ms = 6000;
constexpr uint64_t slow_sync_ms = 3000; /**< Longer than a new node takes to join. */
constexpr uint64_t sync_ms = 2;
constexpr uint64_t leaves_ms = 20000;
constexpr uint64_t joins_ms = 10000;
constexpr uint64_t recovers_ms = 30000; /**< Twice the users' recovery time. */

class StoreGrowth : public testing::Test {
  public:
    StoreGrowth() {
        const world_shape_t shape = {3, 1, 1, 1000, BREAK_NOTHING};
        world = world_new(1, &shape);
        virtual_run(founded_ms);
    }

    world_store_t *node(unsigned number) const {
        return static_cast<world_store_t *>(g_ptr_array_index(world->stores, number));
    }

    void empty(const world_store_t *member) const {
        char *key = g_strdup_printf("retire/%s", member->settings.name);
        GBytes *value = g_bytes_new_static("x", 1);
        virtual_key_value_put(key, value);
        const uint64_t asked = virtual_now();
        while (store_is_member(member->store) && virtual_now() < asked + leaves_ms)
            virtual_run(virtual_now() + 1);
        g_bytes_unref(value);
        g_free(key);
    }

    world_t *world;
};

TEST_F(StoreGrowth, ANodeThatJoinsLeavesEnoughCompleteMembers) {
    ASSERT_EQ(node(0)->store->group->members->len, 3u);
    virtual_disk_of(node(1)->process)->sync_ms = slow_sync_ms;
    empty(node(2));
    ASSERT_FALSE(store_is_member(node(2)->store));
    world_start_store(node(3), false);
    virtual_run(virtual_now() + joins_ms);
    virtual_disk_of(node(1)->process)->sync_ms = sync_ms;
    virtual_run(virtual_now() + recovers_ms);
    EXPECT_EQ(node(0)->store->group->members->len, 3u);
    for (unsigned i : {0u, 1u, 3u})
        EXPECT_TRUE(store_complete(node(i)->store)) << node(i)->settings.name;
}

} // namespace
