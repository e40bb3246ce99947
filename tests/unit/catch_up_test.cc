// A storage node whose disk came back empty, in virtual time.
//
// The story: after a loss of power two of seven storage nodes had lost their disks, as tolerated,
// and copied what they lacked from the others. With 17,000 turns that took 12 s at all the
// processor time they had, while 6 s are what a member counts as lost after it is back; a third
// loss in between would have been one too many. Each answer of 200 turns was followed by a look at
// every turn that some other copy waited for: work that grows with the square of the turns.
// Evidence: 4,555 turns after the first 5 s, 18,316 after 10 s, faster the fewer were left, at a
// constant 29 of 30 hundredths of a core.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>

extern "C" {
#include "storesim/world.h"
}

namespace {

constexpr unsigned stores = 4;
constexpr uint64_t founded_ms = 4000;
constexpr uint64_t between_ms = 2;
constexpr uint64_t down_ms = 1000;
constexpr uint64_t catch_up_ms = 60000;
constexpr uint64_t one_frozen_ms = 2000;

uint64_t kept;

void on_durable(void *, bool durable) {
    kept += durable;
}

const store_operation_handler_t keep_handler = {nullptr, on_durable};

void put_turn(store_client_t *client, unsigned number) {
    std::string id = "turn-" + std::to_string(number);
    turn_t turn = {g_strdup(id.c_str()),     g_strdup(""), g_bytes_new("input", 5),
                   g_bytes_new("output", 6), 1000000000,   g_strdup("")};
    store_client_put_turn(client, &turn, &keep_handler, nullptr);
    turn_clear(&turn);
}

void reserve(store_client_t *client, unsigned number) {
    static const store_operation_handler_t handler = {[](void *, verdict_t, const GArray *) {},
                                                      [](void *, bool) {}};
    std::string program = "program-" + std::to_string(number / 8);
    std::string call = "call-" + std::to_string(number);
    store_client_reserve(client, program.c_str(), call.c_str(), 10, 1000000, false, &handler,
                         nullptr);
}

struct Copying {
    uint64_t turns = 0;
    uint64_t looks = 0;
    bool complete = false;
};

world_store_t *storage_node(const world_t *world, unsigned number) {
    return static_cast<world_store_t *>(g_ptr_array_index(world->stores, number));
}

/** Keeps @p turns turns and @p charges charges, and lets a storage node come back without its disk.
 */
world_t *lose_disk(unsigned turns, unsigned charges) {
    const world_shape_t shape = {stores, 0, 1, 1000, BREAK_NOTHING};
    world_t *world = world_new(1, &shape);
    virtual_run(founded_ms);
    auto *gateway = static_cast<world_gateway_t *>(g_ptr_array_index(world->gateways, 0));
    kept = 0;
    for (unsigned i = 0; i < std::max(turns, charges); i++) {
        if (i < turns)
            put_turn(gateway->client, i);
        if (i < charges)
            reserve(gateway->client, i);
        virtual_run(virtual_now() + between_ms);
    }
    virtual_run(virtual_now() + down_ms);
    world_end_store(storage_node(world, 0), END_DISK_LOST);
    virtual_run(virtual_now() + down_ms);
    world_start_store(storage_node(world, 0), false);
    return world;
}

Copying copy_records(unsigned turns, unsigned charges) {
    const world_t *world = lose_disk(turns, charges);
    virtual_run(virtual_now() + catch_up_ms);
    const store_t *store = storage_node(world, 0)->store;
    return {store->turns_copied, store->copy_looks, store_complete(store)};
}

TEST(CatchUp, CopiesEachTurnOnce) {
    Copying copying = copy_records(3000, 0);
    ASSERT_EQ(kept, 3000u);
    EXPECT_TRUE(copying.complete);
    EXPECT_EQ(copying.turns, 3000u);
}

// Two of the three other members are copied from, and each names all turns: that is one look a turn
// for each, and a few more to share them.
TEST(CatchUp, LooksAtEachTurnAFewTimes) {
    Copying copying = copy_records(12000, 0);
    ASSERT_EQ(kept, 12000u);
    EXPECT_TRUE(copying.complete);
    EXPECT_LE(copying.looks, 12u * 12000u);
}

// Memory: a storage node of 58 MB whose disk had been lost was sent all 70,000 charges at once by
// each of six others, ended for want of memory, and began anew.
TEST(CatchUp, RecordsComeInPieces) {
    Copying copying = copy_records(4000, 20000);
    EXPECT_TRUE(copying.complete);
    EXPECT_LE(virtual_network_largest_frame(), 128u * 1024u);
}

class CatchUpFrom : public testing::TestWithParam<unsigned> {};

// A source that freezes while it is asked for a page must not keep the others waiting: a member
// counts as lost until it has caught up, and another loss in between may be one too many.
TEST_P(CatchUpFrom, OthersWhileOneIsFrozen) {
    const world_t *world = lose_disk(4000, 20000);
    const store_t *store = storage_node(world, 0)->store;
    const uint64_t started = virtual_now();
    while (g_hash_table_size(store->budgets.programs) == 0 && virtual_now() < started + catch_up_ms)
        virtual_run(virtual_now() + 1);
    const uint64_t copying = virtual_now();
    storage_node(world, GetParam())->process->paused_until = copying + catch_up_ms;
    while (!store_complete(store) && virtual_now() < copying + catch_up_ms)
        virtual_run(virtual_now() + 1);
    EXPECT_LT(virtual_now() - copying, one_frozen_ms);
}

INSTANTIATE_TEST_SUITE_P(Each, CatchUpFrom, testing::Values(1, 2, 3));

} // namespace
