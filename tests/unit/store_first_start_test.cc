// Storage nodes that end during the first start of the whole system, in virtual time. Guards
// against a system without a store group, which serves no turn ever, and against a group that stays
// too small.
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "storesim/world.h"
}

namespace {

constexpr unsigned nodes = 3;
constexpr uint64_t down_ms = 600;
constexpr uint64_t founded_ms = 20000; /**< Enough for the founding by one, and two that join. */
constexpr uint64_t early_ms = 40;      /**< Each moment until here, and then each step. */
constexpr uint64_t last_ms = 2800;
constexpr uint64_t step_ms = 50;

world_store_t *node(const world_t *world, unsigned number) {
    return static_cast<world_store_t *>(g_ptr_array_index(world->stores, number));
}

bool is_complete(const world_t *world) {
    for (unsigned i = 0; i < nodes; i++) {
        const store_t *store = node(world, i)->store;
        if (!store_is_member(store) || !store_is_complete(store))
            return false;
    }
    return world_group(world)->members->len == nodes;
}

/** True if all nodes are complete members in the end though the nodes of @p ended end so. */
bool founds(unsigned ended, world_end_t end, uint64_t at_ms) {
    const world_shape_t shape = {nodes, 0, 1, 100, BREAK_NOTHING};
    world_t *world = world_new(1, &shape);
    virtual_run(at_ms);
    for (unsigned i = 0; i < nodes; i++)
        if ((ended >> i & 1) != 0)
            world_end_store(node(world, i), end);
    virtual_run(at_ms + down_ms);
    for (unsigned i = 0; i < nodes; i++)
        if ((ended >> i & 1) != 0)
            world_start_store(node(world, i), false);
    virtual_run(at_ms + founded_ms);
    return is_complete(world);
}

/** The moments at which the end of these nodes leaves no complete group of three. */
std::string failures(unsigned ended, world_end_t end) {
    std::string moments;
    for (uint64_t at_ms = 0; at_ms <= last_ms; at_ms += at_ms < early_ms ? 1 : step_ms)
        if (!founds(ended, end, at_ms))
            moments += " " + std::to_string(at_ms);
    return moments;
}

constexpr unsigned all = (1 << nodes) - 1;

class FirstStart : public testing::TestWithParam<world_end_t> {};

TEST_P(FirstStart, FoundsTheGroupThoughSomeNodesEndAtAnyMoment) {
    for (unsigned ended = 1; ended < all; ended++)
        EXPECT_EQ(failures(ended, GetParam()), "") << "nodes " << ended;
}

TEST_P(FirstStart, FoundsTheGroupThoughAllNodesEndAtAnyMoment) {
    EXPECT_EQ(failures(all, GetParam()), "");
}

INSTANTIATE_TEST_SUITE_P(Ends, FirstStart, testing::Values(END_KILLED, END_POWER_LOST));

/** Four nodes with a group of three, whose key another writer removed. */
class EmptyNodes : public testing::Test {
  public:
    EmptyNodes() {
        const world_shape_t shape = {nodes + 1, 0, 1, 100, BREAK_NOTHING};
        world = world_new(1, &shape);
        virtual_run(founded_ms);
        char *key = key_value_own_key("group");
        virtual_key_value_remove(key);
        g_free(key);
        while (!store_is_member(node(world, member)->store))
            member++;
        for (unsigned i = 0; i <= nodes; i++)
            world_end_store(node(world, i), i == member ? END_KILLED : END_DISK_LOST);
    }
    void start_empty_ones() const {
        for (unsigned i = 0; i <= nodes; i++)
            if (i != member)
                world_start_store(node(world, i), false);
        virtual_run(virtual_now() + founded_ms);
    }
    world_t *world;
    unsigned member = 0; /**< The one that keeps its disk. */
};

// Guards against a second first group, which denies what the real one has acknowledged.
TEST_F(EmptyNodes, FoundNoGroupWhileAMemberIsAway) {
    start_empty_ones();
    EXPECT_EQ(world_group(world), nullptr);
    world_start_store(node(world, member), false);
    virtual_run(virtual_now() + founded_ms);
    for (unsigned i = 0; i <= nodes; i++)
        EXPECT_EQ(node(world, i)->store->group->generation, 1U) << i;
    EXPECT_EQ(world_groups_split(), 0U);
}

TEST_F(EmptyNodes, FoundNoGroupBesideAMember) {
    world_start_store(node(world, member), false);
    start_empty_ones();
    EXPECT_FALSE(node(world, (member + 1) % (nodes + 1))->store->founding);
    EXPECT_EQ(world_groups_split(), 0U);
}

// The member that is away was no founder, and none of the others says that it is one.
TEST(EmptyNodesBesideAJoinedMember, FoundNoGroupWhileItIsAway) {
    const world_shape_t shape = {nodes, 1, 1, 100, BREAK_NOTHING};
    const world_t *world = world_new(1, &shape);
    virtual_run(founded_ms);
    world_start_store(node(world, nodes), false);
    char *key = g_strconcat(key_value_prefix(KEY_RETIRE), node(world, 0)->settings.name, nullptr);
    virtual_key_value_put(key, g_bytes_new("now", 3));
    g_free(key);
    virtual_run(virtual_now() + founded_ms);
    ASSERT_TRUE(store_is_member(node(world, nodes)->store));
    key = key_value_own_key("group");
    virtual_key_value_remove(key);
    g_free(key);
    for (unsigned i = 0; i <= nodes; i++)
        world_end_store(node(world, i), i == nodes ? END_KILLED : END_DISK_LOST);
    for (unsigned i = 0; i < nodes; i++)
        world_start_store(node(world, i), false);
    virtual_run(virtual_now() + founded_ms);
    EXPECT_EQ(world_group(world), nullptr);
    world_start_store(node(world, nodes), false);
    virtual_run(virtual_now() + founded_ms);
    for (unsigned i = 0; i <= nodes; i++)
        EXPECT_GE(node(world, i)->store->group->generation, 2U) << i;
}

} // namespace
