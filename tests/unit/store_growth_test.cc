// A node joins a store group while one of its members is not complete, in virtual time. Guards
// against a generation with too few complete members, whose incomplete members would wait for one
// another forever, so that no turn is stored and no further change of the group is possible.
#include <gtest/gtest.h>

extern "C" {
#include "storesim/world.h"
}

namespace {

constexpr uint64_t founding_ms = 6000;
constexpr uint64_t slow_sync_ms = 3000; /**< Longer than a new node takes to join. */
constexpr uint64_t sync_ms = 2;
constexpr uint64_t leave_timeout_ms = 20000;
constexpr uint64_t join_timeout_ms = 10000;
constexpr uint64_t recovery_timeout_ms = 30000; /**< Twice the maximum recovery time. */

class StoreGrowth : public testing::Test {
  public:
    StoreGrowth() {
        const world_shape_t shape = {3, 1, 1, 1000, BREAK_NOTHING};
        world = world_new(1, &shape);
        virtual_run(founding_ms);
    }

    world_store_t *node(unsigned number) const {
        return static_cast<world_store_t *>(g_ptr_array_index(world->stores, number));
    }

    void retire(const world_store_t *member) const {
        char *key = g_strdup_printf("retire/%s", member->settings.name);
        GBytes *value = g_bytes_new_static("x", 1);
        virtual_key_value_put(key, value);
        const uint64_t requested_at = virtual_now();
        while (store_is_member(member->store) && virtual_now() < requested_at + leave_timeout_ms)
            virtual_run(virtual_now() + 1);
        g_bytes_unref(value);
        g_free(key);
    }

    world_t *world;
};

TEST_F(StoreGrowth, ANodeThatJoinsLeavesEnoughCompleteMembers) {
    ASSERT_EQ(node(0)->store->group->members->len, 3u);
    virtual_disk_of(node(1)->process)->sync_ms = slow_sync_ms;
    retire(node(2));
    ASSERT_FALSE(store_is_member(node(2)->store));
    world_start_store(node(3), false);
    virtual_run(virtual_now() + join_timeout_ms);
    virtual_disk_of(node(1)->process)->sync_ms = sync_ms;
    virtual_run(virtual_now() + recovery_timeout_ms);
    EXPECT_EQ(node(0)->store->group->members->len, 3u);
    for (unsigned i : {0u, 1u, 3u})
        EXPECT_TRUE(store_is_complete(node(i)->store)) << node(i)->settings.name;
}

} // namespace
