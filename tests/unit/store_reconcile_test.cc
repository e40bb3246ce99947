// Members of the store group that were away, in virtual time.
#include <gtest/gtest.h>

#include <cstring>
#include <string>

extern "C" {
#include "storesim/world.h"
}

namespace {

constexpr uint64_t founding_ms = 4000;
constexpr uint64_t down_ms = 2800;
constexpr uint64_t write_ms = 500;
constexpr uint32_t retention_ms = 60000;
constexpr uint64_t write_timeout_ms = 4000;

/** Three storage nodes and a gateway; each turn's output is its id. */
class Reconciliation : public testing::Test {
  protected:
    void SetUp() override {
        const world_shape_t shape = {3, 0, 1, 1000, BREAK_NOTHING};
        world = world_new(1, &shape);
        run(founding_ms);
    }

    static void run(uint64_t ms) {
        virtual_run(virtual_now() + ms);
    }

    world_store_t *node(unsigned number) {
        return static_cast<world_store_t *>(g_ptr_array_index(world->stores, number));
    }

    world_gateway_t *gateway() {
        return static_cast<world_gateway_t *>(g_ptr_array_index(world->gateways, 0));
    }

    bool has(unsigned number, const char *id) {
        const store_t *store = node(number)->store;
        return store != nullptr && turn_table_find(&store->turns, id) != nullptr;
    }

    unsigned copies(const char *id) {
        return has(0, id) + has(1, id) + has(2, id);
    }

    /** Writes a turn and waits until it is acknowledged. */
    void put(const char *id, const char *parent) {
        acknowledged = 0;
        begin_put(id, parent);
        run(write_ms);
        ASSERT_EQ(acknowledged, 1u) << id;
    }

    void begin_put(const char *id, const char *parent) {
        static const store_operation_handler_t handler = {
            nullptr, [](void *count, bool durable) { *static_cast<unsigned *>(count) += durable; }};
        turn_t turn = {
            g_strdup(id), g_strdup(parent), g_bytes_new("input", 5), g_bytes_new(id, strlen(id)),
            retention_ms, g_strdup("")};
        store_client_put_turn(gateway()->client, &turn, write_timeout_ms, &handler, &acknowledged);
        turn_clear(&turn);
    }

    /** Charges a program's call and waits until the reserve is durable. */
    void reserve(const char *program, const char *call) {
        static const store_operation_handler_t handler = {
            [](void *, verdict_t, const GArray *) {},
            [](void *count, bool durable) { *static_cast<unsigned *>(count) += durable; }};
        const store_reserve_t request = {program, call, 10, 1000, false, write_timeout_ms, 0};
        acknowledged = 0;
        store_client_reserve(gateway()->client, &request, &handler, &acknowledged);
        run(write_ms);
        ASSERT_EQ(acknowledged, 1u) << call;
    }

    void end(unsigned number, world_end_t how) {
        world_end_store(node(number), how);
        run(write_ms);
    }

    /** Restarts a node, and lets it no longer count as lost. */
    void start(unsigned number) {
        world_start_store(node(number), false);
        run(CATCH_UP_MS);
    }

    /** Length of the chain that the gateway reads, as far as one answer gives it; 0: none. */
    unsigned read_chain(const char *id) {
        static const store_operation_handler_t handler = {
            [](void *length, verdict_t verdict, const GArray *turns) {
                *static_cast<unsigned *>(length) = verdict == VERDICT_YES ? turns->len : 0;
            },
            nullptr};
        unsigned length = 0;
        store_client_read_chain(gateway()->client, id, &handler, &length);
        run(2000);
        return length;
    }

    world_t *world = nullptr;
    unsigned acknowledged = 0;
};

// Guards against a conversation that is lost with one disk: two members were away one after the
// other, each lacked another link of the chain, and the begin expired on the one that kept it.
TEST_F(Reconciliation, AChainOutlivesADiskThoughMembersMissedLinks) {
    end(2, END_KILLED);
    put("a", "");
    const uint64_t begun = virtual_now();
    start(2);
    end(0, END_KILLED);
    put("b", "a");
    start(0);
    virtual_run(begun + 48000);
    put("c", "b");
    virtual_run(begun + retention_ms + 6000);
    for (unsigned number : {0u, 1u, 2u})
        world_end_store(node(number), number == 1 ? END_DISK_LOST : END_POWER_LOST);
    run(1000);
    for (unsigned number : {0u, 1u, 2u})
        world_start_store(node(number), false);
    run(12000);
    EXPECT_EQ(read_chain("c"), 3u);
}

// Guards against a member that stays without the turns of its outage.
TEST_F(Reconciliation, AMemberThatRestartsGetsTheTurnsThatItMissed) {
    end(2, END_KILLED);
    for (int i = 0; i < 450; i++) {
        begin_put(("turn-" + std::to_string(i)).c_str(), "");
        run(2);
    }
    run(write_ms);
    ASSERT_EQ(copies("turn-449"), 2u);
    start(2);
    for (int i = 0; i < 450; i++)
        EXPECT_TRUE(has(2, ("turn-" + std::to_string(i)).c_str())) << i;
}

// Guards against a reconciliation that sends all that is kept for a few missed turns: 100 of 10,000
// may cost at most a tenth of their transfer.
TEST_F(Reconciliation, AFewMissedTurnsCostFewBytes) {
    for (int i = 0; i < 10000; i++) {
        begin_put(("kept-" + std::to_string(i)).c_str(), "");
        run(2);
    }
    end(2, END_KILLED);
    for (int i = 0; i < 100; i++) {
        begin_put(("missed-" + std::to_string(i)).c_str(), "");
        run(2);
    }
    run(write_ms);
    const uint64_t before = virtual_network_delivered_bytes();
    start(2);
    EXPECT_TRUE(has(2, "missed-99"));
    const uint64_t all = 10000ULL * 1000;
    EXPECT_LE(virtual_network_delivered_bytes() - before, all / 10);
}

// Guards against a member that stays without the charges of its outage.
TEST_F(Reconciliation, AMemberThatRestartsGetsTheChargesThatItMissed) {
    end(2, END_KILLED);
    reserve("program", "call");
    start(2);
    EXPECT_TRUE(budget_table_contains(&node(2)->store->budgets, "program", "call"));
}

// Guards against a member that no gateway reached for a while, but that never stopped.
TEST_F(Reconciliation, AMemberThatGatewaysReachAgainGetsTheTurnsThatItMissed) {
    virtual_network_cut(node(2)->process, gateway()->process, true);
    run(3000);
    put("a", "");
    ASSERT_FALSE(has(2, "a"));
    virtual_network_cut(node(2)->process, gateway()->process, false);
    run(8000);
    EXPECT_TRUE(has(2, "a"));
}

// Guards against a member whose disk was full, which no one knows to have been away.
TEST_F(Reconciliation, AMemberWhoseDiskWasFullGetsTheTurnsThatItMissed) {
    virtual_disk_of(node(2)->process)->full = true;
    put("a", "");
    run(2000);
    ASSERT_FALSE(has(2, "a"));
    virtual_disk_of(node(2)->process)->full = false;
    run(10000);
    EXPECT_TRUE(has(2, "a"));
}

// Guards against an ancestor that a member expired before it got the turn between.
TEST_F(Reconciliation, AnAncestorThatExpiredHereIsCopiedAgain) {
    put("a", "");
    const uint64_t begun = virtual_now();
    virtual_run(begun + 50000);
    virtual_network_cut(node(2)->process, gateway()->process, true);
    run(3000);
    put("b", "a");
    virtual_run(begun + retention_ms + 7000);
    ASSERT_FALSE(has(2, "a"));
    virtual_network_cut(node(2)->process, gateway()->process, false);
    run(8000);
    EXPECT_TRUE(has(2, "a"));
    EXPECT_TRUE(has(2, "b"));
}

// Guards against members that compare again and again when nothing is missing.
TEST_F(Reconciliation, MembersThatMissedNothingCompareNothing) {
    put("a", "");
    run(20000);
    for (unsigned number : {0u, 1u, 2u})
        EXPECT_LE(node(number)->store->reconciliations, 1u) << number;
}

// Guards against members that ask without end for an ancestor that no one has any more.
TEST_F(Reconciliation, AnAncestorThatNooneHasIsAskedForAtIntervals) {
    put("b", "nowhere");
    run(20000);
    EXPECT_EQ(turn_table_missing_ancestors(&node(0)->store->turns), 1u);
    EXPECT_LE(node(0)->store->reconciliations, 6u);
    EXPECT_TRUE(has(0, "b"));
}

} // namespace
