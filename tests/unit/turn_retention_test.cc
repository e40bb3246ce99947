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

class TurnRetention : public SimulatedDisks {
  public:
    void put(const char *id) {
        turn_t turn = {g_strdup(id),
                       g_strdup(""),
                       g_bytes_new("in", 2),
                       g_bytes_new("out", 3),
                       store_client_turn_retention(retention_ms, write_timeout_ms),
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
    /** Number of nodes that keep the turn until its time, counted from the end of its answer. */
    unsigned keep(const char *id) const {
        virtual_run(outcome.ended_at + retention_ms - margin_ms);
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

} // namespace
