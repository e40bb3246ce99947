// Catch-up of a storage node that restarts with an empty disk, in virtual time. Guards against
// catch-up work that grows with the square of the number of turns: the node counts as lost until it
// is complete, and a further loss meanwhile may exceed what the group tolerates.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>

extern "C" {
#include "storesim/world.h"
}

namespace {

constexpr unsigned stores = 4;
constexpr uint64_t founding_ms = 4000;
constexpr uint64_t write_interval_ms = 2;
constexpr uint64_t down_ms = 1000;
constexpr uint64_t catch_up_timeout_ms = 60000;
constexpr uint64_t frozen_source_limit_ms = 2000;

uint64_t writes_acknowledged;

void on_durable(void *, bool durable) {
    writes_acknowledged += durable;
}

const store_operation_handler_t put_handler = {nullptr, on_durable};
constexpr uint64_t write_timeout_ms = 4000;

void put_turn(store_client_t *client, unsigned number) {
    std::string id = "turn-" + std::to_string(number);
    turn_t turn = {g_strdup(id.c_str()),     g_strdup(""), g_bytes_new("input", 5),
                   g_bytes_new("output", 6), 1000000000,   g_strdup("")};
    store_client_put_turn(client, &turn, write_timeout_ms, &put_handler, nullptr);
    turn_clear(&turn);
}

void reserve(store_client_t *client, unsigned number) {
    static const store_operation_handler_t handler = {[](void *, verdict_t, const GArray *) {},
                                                      [](void *, bool) {}};
    std::string program = "program-" + std::to_string(number / 8);
    std::string call = "call-" + std::to_string(number);
    const store_reserve_t reserve = {program.c_str(), call.c_str(),     10, 1000000,
                                     false,           write_timeout_ms, 0};
    store_client_reserve(client, &reserve, &handler, nullptr);
}

struct CatchUpResult {
    uint64_t turns = 0;
    uint64_t ids_examined = 0;
    bool complete = false;
};

world_store_t *storage_node(const world_t *world, unsigned number) {
    return static_cast<world_store_t *>(g_ptr_array_index(world->stores, number));
}

/** Stores turns and charges, then restarts a storage node with an empty disk. */
world_t *restart_with_empty_disk(unsigned turns, unsigned charges) {
    const world_shape_t shape = {stores, 0, 1, 1000, BREAK_NOTHING};
    world_t *world = world_new(1, &shape);
    virtual_run(founding_ms);
    auto *gateway = static_cast<world_gateway_t *>(g_ptr_array_index(world->gateways, 0));
    writes_acknowledged = 0;
    for (unsigned i = 0; i < std::max(turns, charges); i++) {
        if (i < turns)
            put_turn(gateway->client, i);
        if (i < charges)
            reserve(gateway->client, i);
        virtual_run(virtual_now() + write_interval_ms);
    }
    virtual_run(virtual_now() + down_ms);
    world_end_store(storage_node(world, 0), END_DISK_LOST);
    virtual_run(virtual_now() + down_ms);
    world_start_store(storage_node(world, 0), false);
    return world;
}

CatchUpResult run_catch_up(unsigned turns, unsigned charges) {
    const world_t *world = restart_with_empty_disk(turns, charges);
    virtual_run(virtual_now() + catch_up_timeout_ms);
    const store_t *store = storage_node(world, 0)->store;
    return {store->turns_copied, store->copy_ids_examined, store_is_complete(store)};
}

TEST(CatchUp, CopiesEachTurnOnce) {
    CatchUpResult copying = run_catch_up(3000, 0);
    ASSERT_EQ(writes_acknowledged, 3000u);
    EXPECT_TRUE(copying.complete);
    EXPECT_EQ(copying.turns, 3000u);
}

// Two sources each list all turns. Each listed id may be examined a constant number of times.
TEST(CatchUp, ExaminesEachTurnAFewTimes) {
    CatchUpResult copying = run_catch_up(12000, 0);
    ASSERT_EQ(writes_acknowledged, 12000u);
    EXPECT_TRUE(copying.complete);
    EXPECT_LE(copying.ids_examined, 12u * 12000u);
}

// Guards against sources that send all charges in one message, which exhausts the memory of the
// receiver.
TEST(CatchUp, RecordsComeInPieces) {
    CatchUpResult copying = run_catch_up(4000, 20000);
    EXPECT_TRUE(copying.complete);
    EXPECT_LE(virtual_network_largest_frame(), 128u * 1024u);
}

class CatchUpSource : public testing::TestWithParam<unsigned> {};

// A source that freezes before it sends a page must not block the copies from the other sources.
TEST_P(CatchUpSource, ProceedsWithOneFrozenSource) {
    const world_t *world = restart_with_empty_disk(4000, 20000);
    const store_t *store = storage_node(world, 0)->store;
    const uint64_t started = virtual_now();
    while (g_hash_table_size(store->budgets.programs) == 0 &&
           virtual_now() < started + catch_up_timeout_ms)
        virtual_run(virtual_now() + 1);
    const uint64_t copying = virtual_now();
    storage_node(world, GetParam())->process->paused_until = copying + catch_up_timeout_ms;
    while (!store_is_complete(store) && virtual_now() < copying + catch_up_timeout_ms)
        virtual_run(virtual_now() + 1);
    EXPECT_LT(virtual_now() - copying, frozen_source_limit_ms);
}

INSTANTIATE_TEST_SUITE_P(Each, CatchUpSource, testing::Values(1, 2, 3));

} // namespace
