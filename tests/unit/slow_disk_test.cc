// Writes of calls that have run, on storage nodes whose disks stall, in virtual time. Guards
// against answers that lose their end because a sync takes longer than 1.5 s, and against counting
// the copy of a member that has lost its disk meanwhile.
#include <gtest/gtest.h>

#include <string>
#include <tuple>

#include "simulated_disks.h"

extern "C" {
#include "gateway/store_client_state.h"
}

namespace {

using namespace simulated_disks;

class SlowDisk : public SimulatedDisks {};

class StalledDisks : public SlowDisk,
                     public testing::WithParamInterface<std::tuple<unsigned, uint64_t>> {
  public:
    unsigned stalled() const {
        return std::get<0>(GetParam());
    }
    uint64_t stall_ms() const {
        return std::get<1>(GetParam());
    }
};

// The disks stall after the call was granted and has run, before its turn is written.
TEST_P(StalledDisks, DelayATurnAndDoNotLoseIt) {
    Outcome turn;
    stall_first(stalled(), stall_ms());
    put_turn("turn", &turn);
    run(write_timeout_ms);
    ASSERT_TRUE(turn.ended);
    EXPECT_TRUE(turn.durable);
    EXPECT_GE(copies("turn"), 2u);
    for (unsigned i = 0; i < nodes; i++)
        EXPECT_EQ(records(i, "turn"), 1u) << "node " << i << " wrote the turn more than once";
}

// The disks stall while the reserve is written; the call is granted and runs meanwhile.
TEST_P(StalledDisks, DelayTheReserveOfARunningCallAndDoNotLoseIt) {
    Outcome reserved;
    stall_first(stalled(), stall_ms());
    reserve("call", max_tokens, &reserved);
    run(prompt_ms);
    ASSERT_TRUE(reserved.verdict_given);
    EXPECT_EQ(reserved.verdict, VERDICT_YES);
    run(write_timeout_ms);
    ASSERT_TRUE(reserved.ended);
    EXPECT_TRUE(reserved.durable);
    unsigned written = 0;
    for (unsigned i = 0; i < nodes; i++)
        written += records(i, "call");
    EXPECT_LE(written, nodes + 1) << "a node that had the reserve on disk wrote it again";
}

INSTANTIATE_TEST_SUITE_P(NodesAndTimes, StalledDisks,
                         testing::Combine(testing::Values(1u, 2u, 3u),
                                          testing::Values(1000u, 1800u, 2500u, 3500u)));

// The reserve is sent again after the call's turn has used its space. Space reserved for the call a
// second time would count as that of a call without a turn, and lower the expected size of turns.
TEST_P(StalledDisks, DoNotChangeTheSpaceReservedForCalls) {
    Outcome reserved;
    Outcome turn;
    stall_first(stalled(), stall_ms());
    reserve("call", max_tokens, &reserved);
    run(prompt_ms);
    put_turn("call", &turn);
    run(write_timeout_ms);
    ASSERT_TRUE(turn.durable);
    store_client_settle(client, "program", "call", max_tokens, max_tokens);
    run(prompt_ms);
    for (unsigned i = 0; i < nodes; i++) {
        const space_reservations_t *reservations = &node(i)->store->reservations;
        EXPECT_EQ(store_reserved_turn_bytes(node(i)->store), 0u);
        EXPECT_EQ(reservations->completed, 1u);
        EXPECT_EQ(reservations->mean_bytes, node(i)->store->turns.bytes);
    }
}

// A stall of two disks must not delay a write once the third and one of them are done.
TEST_F(SlowDisk, AWriteWaitsForItsQuorumOnly) {
    stall(0, 2000);
    stall(1, 10000);
    Outcome turn;
    put_turn("turn", &turn);
    run(2000 + prompt_ms);
    EXPECT_TRUE(turn.ended);
    EXPECT_TRUE(turn.durable);
}

// The third node is asked again while its first write of the turn is still waiting for the disk.
TEST_F(SlowDisk, ATurnThatIsBeingWrittenIsNotWrittenAgain) {
    stall_first(nodes, 2000);
    stall(2, 3000);
    Outcome turn;
    put_turn("turn", &turn);
    run(write_timeout_ms);
    EXPECT_TRUE(turn.durable);
    EXPECT_EQ(records(2, "turn"), 1u);
}

// Without the key-value service, which would keep the turn meanwhile.
TEST_F(SlowDisk, AWriteThatOutlastsItsCallerFailsAtTheCallersTime) {
    virtual_key_value_set_down(true);
    stall_first(nodes, 14000);
    uint64_t start = virtual_now();
    Outcome turn;
    Outcome reserved;
    put_turn("turn", &turn);
    reserve("call", max_tokens, &reserved);
    run(write_timeout_ms + 1000);
    ASSERT_TRUE(turn.ended);
    ASSERT_TRUE(reserved.ended);
    EXPECT_FALSE(turn.durable);
    EXPECT_FALSE(reserved.durable);
    EXPECT_GE(turn.ended_at, start + write_timeout_ms);
    EXPECT_GE(reserved.ended_at, start + write_timeout_ms);
}

// A caller whose gateway reaches no quorum must not be held: it may be served elsewhere.
TEST_F(SlowDisk, AWriteDoesNotWaitForMembersOutOfReach) {
    world->relays = false;
    stall_first(nodes, 1000);
    uint64_t start = virtual_now();
    Outcome turn;
    put_turn("turn", &turn);
    run(prompt_ms);
    auto *gateway = static_cast<world_gateway_t *>(g_ptr_array_index(world->gateways, 0));
    for (unsigned i = 0; i < nodes; i++)
        virtual_network_cut(gateway->process, node(i)->process, true);
    run(write_timeout_ms + 1000);
    ASSERT_TRUE(turn.ended);
    EXPECT_FALSE(turn.durable);
    EXPECT_LT(turn.ended_at, start + write_timeout_ms / 2);
}

// Members that restart, a quorum of them at a time, are out of every gateway's reach: a turn that
// has run ends without the end of its answer although they are back in the caller's time.
class RestartedQuorum : public SlowDisk, public testing::WithParamInterface<uint64_t> {
  public:
    /** Ends the first @p count nodes before they have the turn. */
    void put_turn_and_restart(unsigned count) {
        stall_first(nodes, 1000);
        put_turn("turn", &turn);
        for (unsigned i = 0; i < count; i++)
            world_end_store(node(i), END_KILLED);
        run(GetParam());
        for (unsigned i = 0; i < count; i++)
            world_start_store(node(i), false);
    }

    Outcome turn;
};

TEST_P(RestartedQuorum, KeepsTheTurn) {
    uint64_t start = virtual_now();
    put_turn_and_restart(2);
    run(start + write_timeout_ms - virtual_now());
    EXPECT_TRUE(turn.durable) << "ended after " << turn.ended_at - start;
}

TEST_P(RestartedQuorum, OfAllNodesKeepsTheTurn) {
    uint64_t start = virtual_now();
    put_turn_and_restart(nodes);
    run(start + write_timeout_ms - virtual_now());
    EXPECT_TRUE(turn.durable) << "ended after " << turn.ended_at - start;
}

INSTANTIATE_TEST_SUITE_P(Times, RestartedQuorum, testing::Values(500u, 1000u, 2000u, 3000u));

// All connections are made anew at once, as after a pause of the gateway, when the time for a
// verdict is over: a turn that waits for its disks ends for a moment without connections.
TEST_F(SlowDisk, ATurnOutlastsAMomentWithoutConnections) {
    world->relays = false;
    virtual_key_value_set_down(true);
    stall_first(nodes, 3000);
    uint64_t start = virtual_now();
    Outcome turn;
    put_turn("turn", &turn);
    run(2000);
    ASSERT_FALSE(turn.ended);
    for (guint i = 0; i < client->members->len; i++)
        store_link_reconnect(
            static_cast<const member_t *>(g_ptr_array_index(client->members, i))->link);
    auto *gateway = static_cast<world_gateway_t *>(g_ptr_array_index(world->gateways, 0));
    for (unsigned i = 0; i < nodes; i++)
        virtual_network_cut(gateway->process, node(i)->process, true);
    run(200);
    for (unsigned i = 0; i < nodes; i++)
        virtual_network_cut(gateway->process, node(i)->process, false);
    run(start + write_timeout_ms - virtual_now());
    EXPECT_TRUE(turn.durable) << "ended after " << turn.ended_at - start;
}

// Machines without power refuse nothing, and may be reached through another gateway.
TEST_F(SlowDisk, AWriteDoesNotWaitForMachinesWithoutPower) {
    world->relays = false;
    stall_first(nodes, 1000);
    uint64_t start = virtual_now();
    Outcome turn;
    put_turn("turn", &turn);
    for (unsigned i = 0; i < nodes; i++)
        world_end_store(node(i), END_POWER_LOST);
    run(write_timeout_ms + 1000);
    ASSERT_TRUE(turn.ended);
    EXPECT_FALSE(turn.durable);
    EXPECT_LT(turn.ended_at, start + write_timeout_ms / 2);
}

// A reserve has run nothing: its caller is refused in time for another attempt.
TEST_F(SlowDisk, AReserveDoesNotWaitForMembersThatRestart) {
    stall_first(nodes, 1000);
    uint64_t start = virtual_now();
    Outcome reserved;
    reserve("call", max_tokens, &reserved);
    run(prompt_ms);
    ASSERT_TRUE(reserved.verdict_given);
    for (unsigned i = 0; i < nodes; i++)
        world_end_store(node(i), END_KILLED);
    run(write_timeout_ms + 1000);
    ASSERT_TRUE(reserved.ended);
    EXPECT_FALSE(reserved.durable);
    EXPECT_LT(reserved.ended_at, start + write_timeout_ms / 2);
}

// A stall that has lasted as long as a caller would still wait is expected to last that long again:
// a call that depends on the stalled disks must be refused before it runs, not lost afterwards.
class KnownStall : public SlowDisk {
  public:
    static constexpr uint64_t stall_ms = 14000;

    /** A call that arrives @p ms after a write that @p count disks do not finish has begun. */
    const Outcome &call_after(unsigned count, uint64_t ms, bool stores_turn) {
        stall_first(count, stall_ms);
        put_turn("earlier", &earlier);
        run(ms);
        const store_reserve_t request = {"program",   "call",           max_tokens, budget,
                                         stores_turn, write_timeout_ms, 0};
        store_client_reserve(client, &request, &handler, &call);
        run(prompt_ms);
        return call;
    }

  private:
    Outcome earlier;
    Outcome call;
};

TEST_F(KnownStall, ShorterThanTheCallersTimeRefusesNoCall) {
    EXPECT_EQ(call_after(nodes, write_timeout_ms / 2, true).verdict, VERDICT_YES);
}

TEST_F(KnownStall, OfOneDiskRefusesNoCall) {
    EXPECT_EQ(call_after(1, write_timeout_ms + 100, true).verdict, VERDICT_YES);
}

TEST_F(KnownStall, OfAQuorumRefusesCallsAtOnce) {
    const Outcome &outcome = call_after(2, write_timeout_ms + 100, true);
    ASSERT_TRUE(outcome.verdict_given) << "the call waited";
    EXPECT_EQ(outcome.verdict, VERDICT_UNSURE);
}

TEST_F(KnownStall, RefusesCallsThatStoreNoTurnToo) {
    EXPECT_EQ(call_after(nodes, write_timeout_ms + 100, false).verdict, VERDICT_UNSURE);
}

TEST_F(KnownStall, RefusesNoCallOnceItIsOver) {
    EXPECT_EQ(call_after(nodes, stall_ms + 100, true).verdict, VERDICT_YES);
}

// Calls that are refused while disks lag must not fill the logs with their reserves.
TEST_F(KnownStall, IsNotMadeWorseByRefusedCalls) {
    call_after(nodes, write_timeout_ms + 100, true);
    unsigned let_through = 0;
    for (unsigned i = 0; i < 1000; i++) {
        let_through += !store_client_disks_lag(client, write_timeout_ms);
        run(1);
    }
    EXPECT_GE(let_through, 1u) << "the end of the lag would not be noticed";
    EXPECT_LE(let_through, 10u);
}

TEST_F(KnownStall, EndsForTheGatewayWithTheNextConfirmedWrite) {
    call_after(nodes, write_timeout_ms + 100, true);
    run(stall_ms);
    for (unsigned i = 0; i < 10; i++)
        EXPECT_FALSE(store_client_disks_lag(client, write_timeout_ms));
}

// A process that is killed during a long write has logged that its disk lags.
TEST_F(SlowDisk, ALagIsNoticedBeforeTheWriteEndsAndWithoutAReserve) {
    stall(0, 5000);
    Outcome turn;
    put_turn("turn", &turn);
    run(2500);
    EXPECT_TRUE(node(0)->store->disk_lagging);
    EXPECT_FALSE(node(1)->store->disk_lagging);
    run(4000);
    EXPECT_FALSE(node(0)->store->disk_lagging);
}

// A node whose disk was full when it wrote its state must write it again: else it is never
// complete, and if it is to be emptied, never says that it is.
TEST_F(SlowDisk, AStateThatCouldNotBeWrittenIsWrittenOnceThereIsSpace) {
    world_end_store(node(0), END_DISK_LOST);
    virtual_disk_t *disk = virtual_disk_of(node(0)->process);
    disk->full = true;
    world_start_store(node(0), false);
    run(500);
    disk->full = false;
    run(60000);
    EXPECT_TRUE(store_is_complete(node(0)->store));
}

// Node 0 confirms the turn at once and then loses its disk; node 1 confirms it only after node 0
// has started again. Neither copy may count for both.
TEST_F(SlowDisk, TheCopyOfALostDiskDoesNotCount) {
    stall(1, 3000);
    stall(2, 30000);
    Outcome turn;
    put_turn("turn", &turn);
    run(500);
    ASSERT_EQ(copies("turn"), 1u);
    world_end_store(node(0), END_DISK_LOST);
    run(200);
    world_start_store(node(0), false);
    while (!turn.ended && virtual_now() < setup_ms + 10000)
        run(1);
    ASSERT_TRUE(turn.durable);
    EXPECT_GE(copies("turn"), 2u) << "acknowledged with a copy on one disk only";
}

// The budget covers one of two calls. The reserve of the first is lost with the memory of two nodes
// before it is on a disk; the second is granted before the nodes learn of the first one again.
TEST_F(SlowDisk, AReserveThatWasLostBeforeItsSyncIsDecidedAgain) {
    auto *first_gateway = static_cast<world_gateway_t *>(g_ptr_array_index(world->gateways, 0));
    auto *second_gateway = static_cast<world_gateway_t *>(g_ptr_array_index(world->gateways, 1));
    world->relays = false;
    stall_first(nodes, 1800);
    Outcome first;
    reserve("first", budget, &first);
    run(prompt_ms);
    ASSERT_EQ(first.verdict, VERDICT_YES);
    node(2)->process->paused_until = virtual_now() + 1000;
    for (unsigned i = 0; i < 2; i++) {
        virtual_network_cut(first_gateway->process, node(i)->process, true);
        g_ptr_array_set_size(virtual_disk_of(node(i)->process)->unsynced, 0);
        world_end_store(node(i), END_KILLED); // Gateways notice it at once.
        virtual_disk_of(node(i)->process)->stalled_until = 0;
        world_start_store(node(i), false);
    }
    run(500);
    Outcome second;
    const store_reserve_t request = {"program", "second",         budget, budget,
                                     true,      write_timeout_ms, 0};
    store_client_reserve(second_gateway->client, &request, &handler, &second);
    run(prompt_ms);
    ASSERT_TRUE(second.durable);
    run(1200);
    for (unsigned i = 0; i < 2; i++)
        virtual_network_cut(first_gateway->process, node(i)->process, false);
    run(write_timeout_ms);
    ASSERT_TRUE(first.ended);
    EXPECT_FALSE(first.durable) << "twice the budget was given out";
}

} // namespace
