// How long storage nodes keep turns, in virtual time. Guards against turns that are gone before
// their retention time, which counts from the end of their answer, is over.
#include <gtest/gtest.h>

#include "simulated_disks.h"

namespace {

using namespace simulated_disks;

constexpr uint32_t retention_ms = 20000;
constexpr uint64_t margin_ms = 50;
constexpr uint64_t pause_ms = 1300; /**< Replies that are as old still count. */
constexpr uint64_t stall_ms = 3000;
constexpr uint64_t successor_ms = 9000; /**< Longest time that a call which continues it takes. */

class TurnRetention : public SimulatedDisks {
  public:
    void put(const char *id, const char *parent = "") {
        turn_t turn = {g_strdup(id),
                       g_strdup(parent),
                       g_bytes_new("in", 2),
                       g_bytes_new("out", 3),
                       store_client_turn_retention(retention_ms, write_timeout_ms, successor_ms),
                       g_strdup("")};
        outcome = {};
        store_client_put_turn(client, &turn, write_timeout_ms, &handler, &outcome);
        turn_clear(&turn);
    }
    void await_end() {
        const uint64_t until = virtual_now() + 2 * write_timeout_ms;
        while (!outcome.ended && virtual_now() < until)
            run(1);
        ASSERT_TRUE(outcome.durable);
    }
    /** Writes a later turn; the log dates it by a time mark, if one is due. */
    void mark_time() {
        const Outcome turn = outcome;
        put("last");
        await_end();
        outcome = turn;
    }
    void restart_all() const {
        for (unsigned i = 0; i < nodes; i++)
            world_end_store(node(i), END_KILLED);
        for (unsigned i = 0; i < nodes; i++)
            world_start_store(node(i), false);
    }
    /**
     * Number of nodes that keep the turn for its time, counted from the end of its answer, and
     * until a call that arrived at its very end has stored its own.
     */
    unsigned keep(const char *id) const {
        virtual_run(outcome.ended_at + retention_ms + successor_ms + GATEWAY_OPERATION_TIMEOUT_MS -
                    margin_ms);
        for (unsigned i = 0; i < nodes; i++)
            store_remove_expired(node(i)->store);
        return copies(id);
    }
    Outcome outcome;
};

TEST_F(TurnRetention, CountsFromTheEndOfAnAnswerWhoseGatewayWasPaused) {
    auto *gateway = static_cast<world_gateway_t *>(g_ptr_array_index(world->gateways, 0));
    put("turn");
    run(1);
    gateway->process->paused_until = virtual_now() + pause_ms;
    await_end();
    EXPECT_EQ(keep("turn"), nodes);
}

TEST_F(TurnRetention, CountsFromTheEndOfAnAnswerThatWaitedForDisksThoughAllNodesRestart) {
    virtual_key_value_set_down(true); // It would confirm the turn at once.
    stall_first(nodes, stall_ms);
    put("turn");
    await_end();
    virtual_key_value_set_down(false);
    mark_time();
    restart_all();
    EXPECT_EQ(keep("turn"), nodes);
}

TEST_F(TurnRetention, IsNotShortenedByARestartOfAllNodes) {
    put("first"); // With a time mark, by which the next one is dated.
    await_end();
    run(RECORD_MARK_INTERVAL_MS - prompt_ms);
    put("turn");
    await_end();
    run(prompt_ms);
    mark_time();
    restart_all();
    EXPECT_EQ(keep("turn"), nodes);
}

// Guards against a turn whose ancestors were removed while it ran: it was acknowledged, and no turn
// could continue it.
TEST_F(TurnRetention, IsKeptForATurnThatContinuesItAtTheLastMoment) {
    put("turn");
    await_end();
    const uint64_t ended_at = outcome.ended_at;
    EXPECT_EQ(keep("turn"), nodes);
    put("successor", "turn");
    await_end();
    virtual_run(outcome.ended_at + retention_ms - margin_ms);
    EXPECT_GT(virtual_now(), ended_at + 2 * retention_ms);
    for (unsigned i = 0; i < nodes; i++)
        store_remove_expired(node(i)->store);
    EXPECT_EQ(copies("turn"), nodes);
    EXPECT_EQ(copies("successor"), nodes);
}

} // namespace
