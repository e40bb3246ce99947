// Charges of programs that go on for longer than the log keeps a charge, in virtual time. Guards
// against a budget that is given out twice once the storage nodes have started again.
#include <gtest/gtest.h>

#include <string>

#include "simulated_disks.h"

namespace {

using namespace simulated_disks;

constexpr uint64_t first_tokens = budget - max_tokens;
constexpr uint64_t pause_ms = 50000;
constexpr uint64_t restart_ms = 5000;
constexpr uint64_t wait_ms = 1500; /**< Of a member with an empty disk, before it copies. */
constexpr uint64_t catch_up_ms = 2000;
constexpr uint64_t stall_ms = 3000;
constexpr unsigned short_lived = 1200; // More than two segments of the simulator's disks have.

class BudgetRetention : public SimulatedDisks {
  public:
    verdict_t reserve_now(const std::string &call, uint64_t tokens) const {
        Outcome outcome;
        reserve(call.c_str(), tokens, &outcome);
        run(write_timeout_ms);
        return outcome.verdict;
    }
    void fill_segments() const {
        for (unsigned i = 0; i < short_lived; i++) {
            std::string id = "short-" + std::to_string(i);
            turn_t other = {g_strdup(id.c_str()),  g_strdup(""), g_bytes_new("in", 2),
                            g_bytes_new("out", 3), 100,          g_strdup("")};
            store_client_put_turn(client, &other, write_timeout_ms, &handler, new Outcome());
            turn_clear(&other);
        }
        run(write_timeout_ms);
    }
    /** One call after the other, of which none generates anything. */
    void go_on(uint64_t ms) const {
        for (const uint64_t until = virtual_now() + ms; virtual_now() < until;) {
            run(pause_ms);
            const std::string call = "call-" + std::to_string(virtual_now());
            ASSERT_EQ(reserve_now(call, 1), VERDICT_YES);
            store_client_settle(client, "program", call.c_str(), 1, 0);
        }
    }
    void restart_all() const {
        for (unsigned i = 0; i < nodes; i++)
            world_end_store(node(i), END_KILLED);
        for (unsigned i = 0; i < nodes; i++)
            world_start_store(node(i), false);
        run(restart_ms);
    }
};

TEST_F(BudgetRetention, ChargesLastAsLongAsTheirProgramOverARestartOfAllNodes) {
    ASSERT_EQ(reserve_now("first", first_tokens), VERDICT_YES);
    fill_segments();
    go_on(2 * BUDGET_RETENTION_MS);
    restart_all();
    EXPECT_EQ(reserve_now("too-much", max_tokens + 1), VERDICT_NO);
}

// The program pauses for almost as long as it is known.
TEST_F(BudgetRetention, ChargesOutlastAPause) {
    ASSERT_EQ(reserve_now("first", first_tokens), VERDICT_YES);
    fill_segments();
    go_on(pause_ms);
    run(BUDGET_RETENTION_MS - 2 * restart_ms);
    restart_all();
    EXPECT_EQ(reserve_now("too-much", max_tokens + 1), VERDICT_NO);
}

// Otherwise the log would keep growing as long as a program goes on.
TEST_F(BudgetRetention, TheLogKeepsNoSegmentForChargesThatWereWrittenAgain) {
    ASSERT_EQ(reserve_now("first", first_tokens), VERDICT_YES);
    fill_segments();
    go_on(2 * BUDGET_RETENTION_MS);
    for (unsigned i = 0; i < nodes; i++)
        EXPECT_GT(virtual_disk_of(node(i)->process)->trimmed, 0u) << "node " << i;
}

// The members from which an empty one caught up have a reserve in memory only, and lose their disks
// one after the other. The gateway, which would send it to the third, can't reach that.
TEST_F(BudgetRetention, AReserveThatWasOnNoDiskWhenAMemberCaughtUpOutlastsTheOthersDisks) {
    auto *first_gateway = static_cast<world_gateway_t *>(g_ptr_array_index(world->gateways, 0));
    auto *second_gateway = static_cast<world_gateway_t *>(g_ptr_array_index(world->gateways, 1));
    world->relays = false;
    virtual_network_cut(first_gateway->process, node(2)->process, true);
    world_end_store(node(2), END_DISK_LOST);
    run(prompt_ms);
    world_start_store(node(2), false);
    run(wait_ms);
    ASSERT_FALSE(store_is_complete(node(2)->store));
    stall_first(2, stall_ms);
    Outcome first;
    reserve("first", budget, &first);
    run(catch_up_ms);
    ASSERT_TRUE(store_is_complete(node(2)->store));
    ASSERT_EQ(records(0, "first") + records(1, "first") + records(2, "first"), 0U);
    run(write_timeout_ms);
    ASSERT_TRUE(first.durable);
    for (unsigned i : {0U, 1U}) {
        world_end_store(node(i), END_DISK_LOST);
        run(prompt_ms);
        world_start_store(node(i), false);
        run(2 * CATCH_UP_MS);
    }
    Outcome second;
    const store_reserve_t request = {"program", "second", 1, budget, true, write_timeout_ms, 0};
    store_client_reserve(second_gateway->client, &request, &handler, &second);
    run(write_timeout_ms);
    EXPECT_EQ(second.verdict, VERDICT_NO);
}

} // namespace
