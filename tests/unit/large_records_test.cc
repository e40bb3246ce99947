// Records that together exceed what a frame may hold, in virtual time. Guards against storage nodes
// that send them in one message, which is never delivered and is asked for again forever: a copy
// that never ends, and turns that no gateway can read.
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "storesim/world.h"
}

namespace {

constexpr unsigned nodes = 3;
constexpr uint64_t founding_ms = 6000;
constexpr uint64_t write_ms = 500;
constexpr uint64_t write_timeout_ms = 4000;
constexpr uint64_t copy_timeout_ms = 60000;
constexpr unsigned turns = 240;
constexpr size_t turn_bytes = 180000; /**< Some 41 MiB for all turns. */
constexpr unsigned chain_turns = 45;
constexpr size_t chain_turn_bytes = 900000; /**< Some 39 MiB for the chain. */
constexpr unsigned long_charges = 2400;
constexpr size_t long_id_bytes = 16000; /**< As long as header fields may be. */

class LargeRecords : public testing::Test {
  public:
    LargeRecords() {
        const world_shape_t shape = {nodes, 1, 1, 1000, BREAK_NOTHING};
        world = world_new(1, &shape);
        virtual_run(founding_ms);
    }

    static void run(uint64_t ms) {
        virtual_run(virtual_now() + ms);
    }

    world_store_t *node(unsigned number) const {
        return static_cast<world_store_t *>(g_ptr_array_index(world->stores, number));
    }

    store_client_t *client() const {
        return static_cast<world_gateway_t *>(g_ptr_array_index(world->gateways, 0))->client;
    }

    void put(const std::string &id, const std::string &parent, size_t bytes) {
        static const store_operation_handler_t handler = {
            nullptr, [](void *count, bool durable) { *static_cast<unsigned *>(count) += durable; }};
        const std::string input(bytes, 'x');
        turn_t turn = {g_strdup(id.c_str()),
                       g_strdup(parent.c_str()),
                       g_bytes_new(input.data(), input.size()),
                       g_bytes_new("output", 6),
                       1000000000,
                       g_strdup("")};
        store_client_put_turn(client(), &turn, write_timeout_ms, &handler, &acknowledged);
        turn_clear(&turn);
        run(5);
    }

    void put_all() {
        for (unsigned i = 0; i < turns; i++)
            put("turn-" + std::to_string(i), "", turn_bytes);
        run(write_ms);
        ASSERT_EQ(acknowledged, turns);
    }

    void reserve(const std::string &call) {
        static const store_operation_handler_t handler = {
            [](void *, verdict_t, const GArray *) {},
            [](void *count, bool durable) { *static_cast<unsigned *>(count) += durable; }};
        const std::string program = std::string(long_id_bytes, 'p') + call;
        const std::string id = std::string(long_id_bytes, 'c') + call;
        const store_reserve_t request = {program.c_str(), id.c_str(),       10, 1000,
                                         false,           write_timeout_ms, 0};
        store_client_reserve(client(), &request, &handler, &acknowledged);
        run(5);
    }

    unsigned held(unsigned number) const {
        unsigned found = 0;
        for (unsigned i = 0; i < turns; i++)
            found += turn_table_find(&node(number)->store->turns,
                                     ("turn-" + std::to_string(i)).c_str()) != nullptr;
        return found;
    }

    /** Runs until the node is complete; false if it does not become so. */
    bool await_complete(unsigned number) const {
        const uint64_t until = virtual_now() + copy_timeout_ms;
        while (!store_is_complete(node(number)->store) && virtual_now() < until)
            run(10);
        return store_is_complete(node(number)->store);
    }

    void restart_with_empty_disk(unsigned number) const {
        world_end_store(node(number), END_DISK_LOST);
        run(write_ms);
        world_start_store(node(number), false);
    }

    world_t *world;
    unsigned acknowledged = 0;
};

TEST_F(LargeRecords, AreCopiedToANodeWithAnEmptyDisk) {
    put_all();
    restart_with_empty_disk(0);
    EXPECT_TRUE(await_complete(0));
    EXPECT_EQ(held(0), turns);
}

TEST_F(LargeRecords, AreCopiedToANodeThatJoins) {
    put_all();
    GBytes *value = g_bytes_new_static("x", 1);
    virtual_key_value_put(("retire/" + std::string(node(2)->settings.name)).c_str(), value);
    g_bytes_unref(value);
    run(write_ms);
    world_start_store(node(nodes), false);
    run(copy_timeout_ms);
    ASSERT_TRUE(store_is_member(node(nodes)->store));
    EXPECT_TRUE(store_is_complete(node(nodes)->store));
    EXPECT_EQ(held(nodes), turns);
}

TEST_F(LargeRecords, AreCopiedToAMemberThatWasAway) {
    world_end_store(node(2), END_KILLED);
    put_all();
    world_start_store(node(2), false);
    run(copy_timeout_ms);
    EXPECT_EQ(held(2), turns);
}

TEST_F(LargeRecords, AreReadInPiecesAsAChain) {
    static const store_operation_handler_t handler = {
        [](void *next, verdict_t verdict, const GArray *chain) {
            auto *parent = static_cast<std::string *>(next);
            *parent = verdict == VERDICT_YES ? g_array_index(chain, turn_t, chain->len - 1).parent
                                             : "not read";
        },
        nullptr};
    std::string next;
    for (unsigned i = 0; i < chain_turns; i++) {
        std::string id = "turn-" + std::to_string(i);
        put(id, next, chain_turn_bytes);
        run(20);
        next = id;
    }
    ASSERT_EQ(acknowledged, chain_turns);
    unsigned reads = 0;
    for (; !next.empty() && next != "not read" && reads < chain_turns; reads++) {
        const std::string id = next;
        store_client_read_chain(client(), id.c_str(), &handler, &next);
        run(2000);
    }
    EXPECT_EQ(next, "");
    EXPECT_LE(reads, chain_turns);
}

TEST_F(LargeRecords, AreListedInPiecesThoughTheirIdsAreLong) {
    for (unsigned i = 0; i < long_charges; i++)
        reserve(std::to_string(i));
    run(write_ms);
    ASSERT_EQ(acknowledged, long_charges);
    restart_with_empty_disk(0);
    EXPECT_TRUE(await_complete(0));
}

} // namespace
