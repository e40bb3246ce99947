// Calls whose storage nodes' disks stand still for longer than the caller waits, in virtual time,
// with the order of events forced. Guards against answers that are made in full and then lost, and
// against turns that were acknowledged by way of the key-value service and are gone afterwards.
#include <gtest/gtest.h>

#include <string>
#include <tuple>

#include "simulated_disks.h"

namespace {

using namespace simulated_disks;

constexpr char turns_prefix[] = "turns/"; /**< Of the keys under which nodes keep turns. */
constexpr uint64_t slow_sync_ms = 50;     /**< Time enough to let a stall begin in a sync. */
constexpr uint64_t engine_ms = 300;       /**< An engine's work. */
constexpr uint64_t timer_ms = 150;        /**< An operation looks so often at its time. */
constexpr uint64_t long_stall_ms = 20000;
constexpr uint64_t recovery_ms = 12000;
constexpr unsigned quorum = 2;

struct Read {
    bool given = false;
    verdict_t verdict = VERDICT_UNSURE;
    std::string output;
};

void on_read(void *owner, verdict_t verdict, const GArray *turns) {
    auto *read = static_cast<Read *>(owner);
    read->given = true;
    read->verdict = verdict;
    if (verdict != VERDICT_YES)
        return;
    gsize length;
    const void *data = g_bytes_get_data(g_array_index(turns, turn_t, 0).output, &length);
    read->output = std::string(static_cast<const char *>(data), length);
}

const store_operation_handler_t read_handler = {on_read, nullptr};

class DiskStall : public SimulatedDisks {
  public:
    DiskStall() : SimulatedDisks(1) {
    }

    virtual_disk_t *disk(unsigned number) const {
        return virtual_disk_of(node(number)->process);
    }

    /** From now on no sync of the first @p count nodes ends for @p ms. */
    void hold_first(unsigned count, uint64_t ms) const {
        for (unsigned i = 0; i < count; i++)
            virtual_disk_hold(disk(i), ms);
    }

    void slow_syncs() const {
        for (unsigned i = 0; i < nodes; i++)
            disk(i)->sync_ms = slow_sync_ms;
    }

    void release_disks() const {
        for (unsigned i = 0; i < nodes; i++)
            virtual_disk_release(disk(i));
    }

    world_gateway_t *gateway(unsigned number) const {
        return static_cast<world_gateway_t *>(g_ptr_array_index(world->gateways, number));
    }

    Read read(unsigned gateway_number, const char *id) const {
        auto *result = new Read(); // May be answered after the test has given up.
        store_client_read_chain(gateway(gateway_number)->client, id, &read_handler, result);
        for (unsigned i = 0; i < 2000 && !result->given; i++)
            run(1);
        return *result;
    }

    /** Reads at both gateways until both have the turn or @p ms are over; it is never denied. */
    void expect_read_back(const char *id, uint64_t ms = recovery_ms) const {
        for (unsigned i = 0; i < world->gateways->len; i++) {
            uint64_t until = virtual_now() + ms;
            Read last;
            do {
                last = read(i, id);
                ASSERT_NE(last.verdict, VERDICT_NO) << id << " denied at gateway " << i;
                run(20);
            } while (last.verdict != VERDICT_YES && virtual_now() < until);
            ASSERT_EQ(last.verdict, VERDICT_YES) << id << " not read at gateway " << i;
            EXPECT_EQ(last.output, "out");
        }
    }

    /** Ends a node; power loses all that is not synced. Its disk works from then on. */
    void end(unsigned number, world_end_t how) const {
        if (how != END_KILLED)
            g_ptr_array_set_size(disk(number)->unsynced, 0);
        world_end_store(node(number), how);
        virtual_disk_release(disk(number));
    }

    void restart(unsigned number) const {
        world_start_store(node(number), false);
    }

    void restart_all(world_end_t how) const {
        for (unsigned i = 0; i < nodes; i++)
            end(i, how);
        run(engine_ms);
        for (unsigned i = 0; i < nodes; i++)
            restart(i);
    }

    static void run_until_ended(const Outcome &outcome) {
        uint64_t until = virtual_now() + write_timeout_ms + timer_ms;
        while (!outcome.ended && virtual_now() < until)
            run(1);
    }

    static void expect_failure_at_the_callers_time(const Outcome &outcome, uint64_t start) {
        ASSERT_TRUE(outcome.ended);
        EXPECT_FALSE(outcome.durable);
        EXPECT_GE(outcome.ended_at, start + write_timeout_ms);
        EXPECT_LE(outcome.ended_at, start + write_timeout_ms + timer_ms);
    }

    static void expect_durable(const Outcome &outcome, uint64_t start) {
        ASSERT_TRUE(outcome.ended);
        EXPECT_TRUE(outcome.durable);
        EXPECT_LE(outcome.ended_at, start + write_timeout_ms);
    }

    /** The turn "turn" is written and must be confirmed in the caller's time. */
    void expect_turn_kept() {
        uint64_t start = virtual_now();
        put_turn("turn", &turn);
        run_until_ended(turn);
        expect_durable(turn, start);
    }

    Outcome reserved;
    Outcome turn;
};

// The order of the stall's begin and of a call's steps; of one, two and three nodes, by length.
class StallOrder : public DiskStall,
                   public testing::WithParamInterface<std::tuple<unsigned, uint64_t>> {
  public:
    unsigned stalled() const {
        return std::get<0>(GetParam());
    }
    uint64_t stall_ms() const {
        return std::get<1>(GetParam());
    }
    void stall_now() const {
        hold_first(stalled(), stall_ms());
    }

    /** The call is granted; the reserve is being written. */
    void reserve_granted() {
        slow_syncs();
        reserve("turn", max_tokens, &reserved);
        while (!reserved.verdict_given)
            run(1);
        ASSERT_EQ(reserved.verdict, VERDICT_YES);
        ASSERT_FALSE(reserved.ended);
    }

    void reserve_durable() {
        reserve_granted();
        run_until_ended(reserved);
        ASSERT_TRUE(reserved.durable);
        run(engine_ms);
    }

    /** The turn is being synced at all nodes. */
    void turn_in_sync() {
        reserve_durable();
        put_turn("turn", &turn);
        auto in_sync = [this](unsigned i) { return !record_log_idle(node(i)->store->log); };
        while (!in_sync(0) || !in_sync(1) || !in_sync(2))
            run(1);
        ASSERT_FALSE(turn.ended);
    }

    /** A stall of fewer nodes than a quorum needs delays nothing; else the time runs out. */
    void expect_reserve_result(uint64_t start) {
        run_until_ended(reserved);
        if (nodes - stalled() >= quorum)
            expect_durable(reserved, start);
        else
            expect_failure_at_the_callers_time(reserved, start);
    }

    void expect_turn_result_without_service(uint64_t start) {
        run_until_ended(turn);
        if (nodes - stalled() >= quorum)
            expect_durable(turn, start);
        else
            expect_failure_at_the_callers_time(turn, start);
    }
};

// A reserve that waits for its disks longer than the caller, or one that is confirmed without them.
TEST_P(StallOrder, BeforeTheReserveEndsItAtTheCallersTime) {
    stall_now();
    uint64_t start = virtual_now();
    reserve("turn", max_tokens, &reserved);
    expect_reserve_result(start);
    if (reserved.durable)
        expect_turn_kept();
}

// The same for a stall that begins in the reserve's sync, when the call has been granted.
TEST_P(StallOrder, AfterTheVerdictEndsTheReserveAtTheCallersTime) {
    uint64_t start = virtual_now();
    reserve_granted();
    stall_now();
    expect_reserve_result(start);
    if (reserved.durable)
        expect_turn_kept();
}

// A call that was sent to its engine as soon as it was granted loses its answer.
TEST_P(StallOrder, BeforeTheReserveLosesNoTurnOfAGrantedCall) {
    stall_now();
    reserve_granted();
    run(engine_ms);
    expect_turn_kept();
}

// The same for a stall that begins in the reserve's sync.
TEST_P(StallOrder, AfterTheVerdictLosesNoTurnOfAGrantedCall) {
    reserve_granted();
    stall_now();
    run(engine_ms);
    expect_turn_kept();
}

// An answer is lost because the disks stall while the engine makes it, long after the reserve.
TEST_P(StallOrder, AfterTheReserveLosesNoTurn) {
    reserve_durable();
    stall_now();
    run(engine_ms);
    expect_turn_kept();
}

// An answer is lost because the disks stop in the middle of its turn's sync.
TEST_P(StallOrder, InTheSyncOfTheTurnLosesNoTurn) {
    uint64_t asked = virtual_now();
    turn_in_sync();
    ASSERT_LE(virtual_now(), asked + write_timeout_ms);
    uint64_t start = virtual_now();
    stall_now();
    run_until_ended(turn);
    expect_durable(turn, start);
}

// A turn is reported as kept although neither disks nor service have it.
TEST_P(StallOrder, WithoutTheServiceConfirmsNoTurn) {
    reserve_durable();
    virtual_key_value_set_down(true);
    stall_now();
    uint64_t start = virtual_now();
    put_turn("turn", &turn);
    expect_turn_result_without_service(start);
}

// The same for a stall that begins in the turn's sync.
TEST_P(StallOrder, InTheSyncWithoutTheServiceConfirmsNoTurn) {
    reserve_durable();
    virtual_key_value_set_down(true);
    uint64_t start = virtual_now();
    put_turn("turn", &turn);
    run(slow_sync_ms / 2);
    ASSERT_FALSE(turn.ended);
    stall_now();
    expect_turn_result_without_service(start);
}

std::string stall_name(const testing::TestParamInfo<std::tuple<unsigned, uint64_t>> &info) {
    return std::to_string(std::get<0>(info.param)) + "_nodes_" +
           std::to_string(std::get<1>(info.param) / 1000) + "_s";
}

INSTANTIATE_TEST_SUITE_P(NodesAndTimes, StallOrder,
                         testing::Combine(testing::Values(1u, 2u, 3u),
                                          testing::Values(5000u, 8000u, 20000u, 45000u)),
                         stall_name);

// What becomes of a turn that was acknowledged while all disks stand still, so that at most the
// key-value service has it. An earlier write keeps the disks busy, so that the turn is not even
// written: a process that is killed loses it with its memory.
class AcknowledgedInAStall : public DiskStall {
  public:
    void SetUp() override {
        hold_first(nodes, long_stall_ms);
        put_turn("earlier", &earlier);
        run(20);
        put_turn("turn", &turn);
        run_until_ended(turn);
        ASSERT_TRUE(turn.durable) << "not acknowledged";
        for (unsigned i = 0; i < nodes; i++)
            ASSERT_EQ(records(i, "turn"), 0u) << "the stall was not one";
    }

    /** Every node has written the turn once, and the service keeps nothing any more. */
    void expect_moved_to_disks(const char *id) const {
        EXPECT_EQ(virtual_key_value_count(turns_prefix), 0u);
        for (unsigned i = 0; i < nodes; i++)
            EXPECT_EQ(records(i, id), 1u) << "node " << i;
    }

    /** What the table counts for each of the two turns. */
    static uint64_t turn_bytes() {
        turn_t copy = {g_strdup("turn"),      g_strdup(""), g_bytes_new("in", 2),
                       g_bytes_new("out", 3), 1000000000,   g_strdup("")};
        uint64_t bytes = turn_memory_bytes(&copy);
        turn_clear(&copy);
        return bytes;
    }

    Outcome earlier;
};

// An acknowledged turn is denied by nodes that have not written it yet.
TEST_F(AcknowledgedInAStall, IsReadInTheStall) {
    expect_read_back("turn", 1);
}

// A turn is acknowledged, or kept in the service, under fewer nodes' names than a quorum.
TEST_F(AcknowledgedInAStall, IsInTheServiceForAQuorum) {
    EXPECT_GE(virtual_key_value_count(turns_prefix), quorum);
}

// Power is lost everywhere, and only the service has the turn.
TEST_F(AcknowledgedInAStall, OutlivesThePowerOfAllNodes) {
    restart_all(END_POWER_LOST);
    expect_read_back("turn");
    run(recovery_ms);
    expect_moved_to_disks("turn");
}

// Gateways lost their power too, and with it what they knew of the turn.
TEST_F(AcknowledgedInAStall, OutlivesThePowerOfAllMachines) {
    for (unsigned i = 0; i < world->gateways->len; i++)
        world_end_gateway(gateway(i));
    restart_all(END_POWER_LOST);
    for (unsigned i = 0; i < world->gateways->len; i++)
        world_start_gateway(gateway(i));
    run(prompt_ms);
    expect_read_back("turn");
}

// All processes are killed, with the turn in their memory and not in their logs.
TEST_F(AcknowledgedInAStall, OutlivesTheEndOfAllProcesses) {
    restart_all(END_KILLED);
    expect_read_back("turn");
    run(recovery_ms);
    expect_moved_to_disks("turn");
}

// The processes are killed again and again before they have taken their turns back.
TEST_F(AcknowledgedInAStall, OutlivesProcessesThatEndAtOnceAgain) {
    for (unsigned ms = 0; ms <= 40; ms++) {
        restart_all(END_KILLED);
        hold_first(nodes, long_stall_ms);
        run(ms);
    }
    restart_all(END_POWER_LOST);
    expect_read_back("turn");
    run(recovery_ms);
    expect_moved_to_disks("turn");
}

// A node that can't list its keys says "no such turn" of one that it may have there.
TEST_F(AcknowledgedInAStall, IsNotDeniedWhileTheServiceIsDown) {
    virtual_key_value_set_down(true);
    restart_all(END_POWER_LOST);
    for (uint64_t until = virtual_now() + 2 * recovery_ms; virtual_now() < until; run(100))
        for (unsigned i = 0; i < world->gateways->len; i++)
            ASSERT_EQ(read(i, "turn").verdict, VERDICT_UNSURE);
    virtual_key_value_set_down(false);
    expect_read_back("turn");
}

// The same if processes are killed.
TEST_F(AcknowledgedInAStall, IsNotDeniedByKilledProcessesWhileTheServiceIsDown) {
    virtual_key_value_set_down(true);
    restart_all(END_KILLED);
    for (uint64_t until = virtual_now() + 2 * recovery_ms; virtual_now() < until; run(100))
        for (unsigned i = 0; i < world->gateways->len; i++)
            ASSERT_EQ(read(i, "turn").verdict, VERDICT_UNSURE);
    virtual_key_value_set_down(false);
    expect_read_back("turn");
}

// One disk is lost with the power; its node has nothing but its keys.
TEST_F(AcknowledgedInAStall, OutlivesThePowerAndOneDisk) {
    for (unsigned i = 0; i < nodes; i++)
        end(i, i == 0 ? END_DISK_LOST : END_POWER_LOST);
    run(engine_ms);
    for (unsigned i = 0; i < nodes; i++)
        restart(i);
    expect_read_back("turn");
    run(recovery_ms);
    expect_moved_to_disks("turn");
}

// A node that was killed alone denies the turn, or is copied from before it has it back.
TEST_F(AcknowledgedInAStall, OutlivesANodeThatIsKilledAlone) {
    end(0, END_KILLED);
    expect_read_back("turn");
    restart(0);
    run(1);
    expect_read_back("turn");
    run(long_stall_ms);
    expect_moved_to_disks("turn");
}

// Each node in turn is killed; the others still stall.
TEST_F(AcknowledgedInAStall, OutlivesNodesThatAreKilledInTurn) {
    for (unsigned i = 0; i < nodes; i++) {
        end(i, END_KILLED);
        run(prompt_ms);
        restart(i);
        run(prompt_ms);
    }
    expect_read_back("turn");
    restart_all(END_POWER_LOST);
    expect_read_back("turn");
}

// Keys are left in the service, or removed before the disk has their turns.
TEST_F(AcknowledgedInAStall, IsMovedToTheDisksOnce) {
    run(long_stall_ms + recovery_ms);
    expect_moved_to_disks("turn");
    expect_moved_to_disks("earlier");
    restart_all(END_POWER_LOST);
    expect_read_back("turn");
    expect_read_back("earlier");
}

// A turn whose key is removed as its sync ends is lost with the power of just that moment.
TEST_F(AcknowledgedInAStall, OutlivesPowerLostAsTheStallEnds) {
    release_disks();
    run(25);
    restart_all(END_POWER_LOST);
    expect_read_back("turn");
}

// A key that could not be removed while the service was down stays for ever.
TEST_F(AcknowledgedInAStall, IsMovedToTheDisksOnceTheServiceIsBack) {
    virtual_key_value_set_down(true);
    release_disks();
    run(recovery_ms);
    virtual_key_value_set_down(false);
    run(recovery_ms);
    expect_moved_to_disks("turn");
}

// A new member of the group takes the place of one that has the turn, from members that have
// not written it either.
TEST_F(AcknowledgedInAStall, OutlivesAMemberThatIsReplaced) {
    node(2)->gone = true;
    end(2, END_DISK_LOST);
    run(engine_ms);
    world_start_store(node(nodes), false);
    run(write_timeout_ms);
    expect_read_back("turn");
    run(long_stall_ms + recovery_ms);
    expect_read_back("turn");
    for (unsigned i : {0u, 1u, nodes})
        end(i, END_POWER_LOST);
    run(engine_ms);
    for (unsigned i : {0u, 1u, nodes})
        restart(i);
    expect_read_back("turn");
}

// A disk that is full when the stall ends refuses a turn that was acknowledged before.
TEST_F(AcknowledgedInAStall, OutlivesADiskThatIsFullAfterTheStall) {
    for (unsigned i = 0; i < nodes; i++)
        disk(i)->full = true;
    release_disks();
    run(recovery_ms);
    expect_read_back("turn");
    for (unsigned i = 0; i < nodes; i++)
        disk(i)->full = false;
    restart_all(END_POWER_LOST);
    expect_read_back("turn");
    run(recovery_ms);
    expect_moved_to_disks("turn");
}

// A turn counts twice in a node's memory, as being written and as stored, or for ever.
TEST_F(AcknowledgedInAStall, TakesItsRoomOnce) {
    for (unsigned i = 0; i < nodes; i++) {
        const store_t *store = node(i)->store;
        EXPECT_EQ(store->pending_turn_bytes + store->turns.bytes, 2 * turn_bytes());
    }
    run(long_stall_ms);
    for (unsigned i = 0; i < nodes; i++) {
        EXPECT_EQ(node(i)->store->pending_turn_bytes, 0u);
        EXPECT_EQ(node(i)->store->turns.bytes, 2 * turn_bytes());
    }
}

// A reserve waits for two syncs of a stalled disk, its own and that of the time mark before it.
TEST_F(DiskStall, AReserveWaitsForOneSync) {
    constexpr uint64_t long_sync_ms = 2000;
    for (unsigned i = 0; i < nodes; i++)
        disk(i)->sync_ms = long_sync_ms;
    Outcome reserved;
    reserve("call", max_tokens, &reserved);
    run(long_sync_ms + engine_ms);
    EXPECT_TRUE(reserved.durable);
}

// A turn that the disk does not have yet takes none of its space, so that too many are granted.
TEST_F(AcknowledgedInAStall, TakesItsSpaceOnTheDisk) {
    run(engine_ms); // The third node's answer of the service may come after the acknowledgement.
    for (unsigned i = 0; i < nodes; i++)
        EXPECT_EQ(node(i)->store->spilled_turn_bytes, 2 * turn_bytes());
    run(long_stall_ms);
    for (unsigned i = 0; i < nodes; i++)
        EXPECT_EQ(node(i)->store->spilled_turn_bytes, 0u);
}

// The segment of the log that has the turn is deleted, since the turn was known before its segment.
TEST_F(AcknowledgedInAStall, KeepsItsSegmentOfTheLog) {
    constexpr unsigned short_lived = 600; // More than a segment of the simulator's disks has.
    constexpr uint32_t segment = 1;
    for (unsigned i = 0; i < short_lived; i++) {
        std::string id = "short-" + std::to_string(i);
        turn_t other = {g_strdup(id.c_str()),  g_strdup(""), g_bytes_new("in", 2),
                        g_bytes_new("out", 3), 100,          g_strdup("")};
        store_client_put_turn(client, &other, write_timeout_ms, &handler, new Outcome());
        turn_clear(&other);
    }
    run(long_stall_ms + recovery_ms);
    for (unsigned i = 0; i < nodes; i++) {
        const store_t *store = node(i)->store;
        ASSERT_EQ(records(i, "turn"), 1u);
        ASSERT_EQ(disk(i)->synced->len / 500, segment);
        EXPECT_FALSE(
            turn_table_segment_unused(&store->turns, segment, store_expiry_clock_ms(store)))
            << "node " << i;
    }
}

// A gateway takes a confirmation by way of the service for the end of the lag, and lets calls
// through to disks that still stand.
TEST_F(AcknowledgedInAStall, DoesNotHideTheLag) {
    run(write_timeout_ms);
    reserve("call", max_tokens, &reserved);
    run(prompt_ms);
    ASSERT_EQ(reserved.verdict, VERDICT_UNSURE);
    Outcome another;
    put_turn("another", &another);
    run_until_ended(another);
    ASSERT_TRUE(another.durable);
    unsigned let_through = 0;
    for (unsigned i = 0; i < 1000; i++) {
        let_through += !store_client_disks_lag(client, write_timeout_ms);
        run(1);
    }
    EXPECT_LE(let_through, 10u);
}

// A write that took effect and was not answered counts as acknowledged.
TEST_F(DiskStall, AnAnswerOfTheServiceThatIsLostConfirmsNothing) {
    virtual_key_value_lose_answers(100);
    hold_first(nodes, long_stall_ms);
    uint64_t start = virtual_now();
    put_turn("turn", &turn);
    while (virtual_key_value_count(turns_prefix) == 0)
        run(1);
    virtual_key_value_set_down(true); // A second try would be answered.
    run_until_ended(turn);
    expect_failure_at_the_callers_time(turn, start);
    virtual_key_value_lose_answers(0);
    virtual_key_value_set_down(false);
    restart_all(END_POWER_LOST);
    run(recovery_ms);
    for (unsigned i = 0; i < world->gateways->len; i++)
        EXPECT_NE(read(i, "turn").verdict, VERDICT_UNSURE);
}

// A node does not write its key again, or takes its own key of the first try for another's.
TEST_F(DiskStall, AnAnswerOfTheServiceThatIsLostIsAskedForAgain) {
    virtual_key_value_lose_answers(100);
    hold_first(nodes, long_stall_ms);
    put_turn("turn", &turn);
    run(1000);
    virtual_key_value_lose_answers(0);
    run_until_ended(turn);
    ASSERT_TRUE(turn.durable);
    restart_all(END_POWER_LOST);
    expect_read_back("turn");
}

// Of many turns whose answers are partly lost, one is acknowledged and gone.
TEST_F(DiskStall, LostAnswersLoseNoAcknowledgedTurn) {
    constexpr unsigned count = 40;
    Outcome outcomes[count];
    virtual_key_value_lose_answers(50);
    hold_first(nodes, long_stall_ms);
    for (unsigned i = 0; i < count; i++) {
        put_turn(("turn-" + std::to_string(i)).c_str(), &outcomes[i]);
        run(50);
    }
    run(write_timeout_ms + timer_ms);
    virtual_key_value_lose_answers(0);
    restart_all(END_POWER_LOST);
    unsigned acknowledged = 0;
    for (unsigned i = 0; i < count; i++) {
        ASSERT_TRUE(outcomes[i].ended);
        acknowledged += outcomes[i].durable;
        if (outcomes[i].durable)
            expect_read_back(("turn-" + std::to_string(i)).c_str());
    }
    EXPECT_GT(acknowledged, 0u);
}

// A service that comes back while the caller still waits is not used.
TEST_F(DiskStall, AServiceThatIsBackInTimeConfirmsTheTurn) {
    virtual_key_value_set_down(true);
    hold_first(nodes, long_stall_ms);
    put_turn("turn", &turn);
    run(1000);
    virtual_key_value_set_down(false);
    run_until_ended(turn);
    EXPECT_TRUE(turn.durable);
}

// Turns go to the service although their disks work.
TEST_F(DiskStall, DisksThatWorkLeaveNoKeys) {
    slow_syncs();
    expect_turn_kept();
    EXPECT_EQ(virtual_key_value_count(turns_prefix), 0u);
}

// Batches are written one after the other, and no key is removed meanwhile.
TEST_F(DiskStall, KeysDoNotPileUpWhileBatchesAreAlwaysDue) {
    constexpr uint64_t long_sync_ms = 2000;
    constexpr unsigned turns_per_s = 20, seconds = 30;
    constexpr uint64_t ms_per_s = 1000;
    constexpr unsigned keys_of_the_waiting = 150; // Two syncs of turns at each node, one a key.
    for (unsigned i = 0; i < nodes; i++)
        disk(i)->sync_ms = long_sync_ms;
    const std::string large(100000, 'x');
    for (unsigned i = 0; i < turns_per_s * seconds; i++) {
        std::string id = "large-" + std::to_string(i);
        turn_t other = {g_strdup(id.c_str()), g_strdup(""),
                        g_bytes_new("in", 2), g_bytes_new(large.data(), large.size()),
                        1000000000,           g_strdup("")};
        store_client_put_turn(client, &other, write_timeout_ms, &handler, new Outcome());
        turn_clear(&other);
        run(ms_per_s / turns_per_s);
        ASSERT_LE(virtual_key_value_count(turns_prefix), keys_of_the_waiting) << "turn " << i;
    }
}

// A turn that the service does not take, since its names are long, holds up all later ones.
TEST_F(DiskStall, ATurnThatTheServiceNeverTakesHoldsUpNoOther) {
    hold_first(nodes, long_stall_ms);
    const std::string large(1024 * 1024 - 400, 'x');
    turn_t other = {g_strdup(std::string(250, 'a').c_str()),
                    g_strdup(std::string(250, 'b').c_str()),
                    g_bytes_new("in", 2),
                    g_bytes_new(large.data(), large.size()),
                    1000000,
                    g_strdup("tenant")};
    store_client_put_turn(client, &other, write_timeout_ms, &handler, new Outcome());
    turn_clear(&other);
    run(1500);
    put_turn("turn", &turn);
    run_until_ended(turn);
    EXPECT_TRUE(turn.durable);
}

// A key that this version can't decode may hold turns that were confirmed.
TEST_F(AcknowledgedInAStall, AKeyThatCantBeReadStaysAndDeniesNoTurn) {
    const char *key = "turns/store-00/0000000000000000-1";
    virtual_key_value_put(key, g_bytes_new("from a newer version", 20));
    restart_all(END_POWER_LOST);
    run(recovery_ms);
    EXPECT_NE(virtual_key_value_get(key), nullptr);
    EXPECT_FALSE(store_has_all_turns(node(0)->store));
    EXPECT_TRUE(store_has_all_turns(node(1)->store));
}

// A node that leaves its group takes a turn that it has confirmed for one that is still to be.
TEST_F(AcknowledgedInAStall, IsCountedOnceThoughItsNodeLeavesTheGroup) {
    run(engine_ms);
    store_t *store = node(0)->store;
    turn_spill_discard(store->spill);
    run(long_stall_ms);
    EXPECT_EQ(store->pending_turn_bytes, 0u);
    EXPECT_EQ(store->spilled_turn_bytes, 0u);
    EXPECT_TRUE(turn_spill_empty(store->spill));
}

// A member dies and is replaced while disks stall, so that no member becomes complete in the new
// generation before the stall ends: its state file is not on disk.
class ReplacedInAStall : public DiskStall {
  public:
    static constexpr unsigned spare = nodes;
    static constexpr unsigned dead = nodes - 1;

    void SetUp() override {
        world_start_store(node(spare), false);
        run(3000);
        hold_first(nodes, long_stall_ms);
        world_end_store(node(dead), END_KILLED);
    }

    void wait_for_the_change() const {
        run(3500);
        ASSERT_EQ(world_group(world)->generation, 2u);
        ASSERT_FALSE(any_complete());
    }

    bool any_complete() const {
        for (unsigned i = 0; i <= spare; i++)
            if (node(i)->store != nullptr && node(i)->store->group->generation == 2 &&
                store_is_complete(node(i)->store))
                return true;
        return false;
    }

    void end_members(world_end_t how) const {
        for (unsigned i = 0; i <= spare; i++)
            if (i != dead)
                end(i, how);
    }

    void restart_members() const {
        for (unsigned i = 0; i <= spare; i++)
            if (i != dead)
                restart(i);
    }

    /** With new gateways, which know nothing of the change. */
    void restart_gateways() const {
        for (unsigned i = 0; i < world->gateways->len; i++)
            world_end_gateway(gateway(i));
        for (unsigned i = 0; i < world->gateways->len; i++)
            world_start_gateway(gateway(i));
    }

    /** While @p ms pass no gateway says that there is no such turn. */
    void expect_not_denied(uint64_t ms) const {
        for (uint64_t until = virtual_now() + ms; virtual_now() < until; run(100))
            for (unsigned i = 0; i < world->gateways->len; i++)
                ASSERT_NE(read(i, "turn").verdict, VERDICT_NO) << "at gateway " << i;
    }
};

// A finished turn is lost with its caller, since nothing is confirmed in the new generation.
TEST_F(ReplacedInAStall, ATurnIsKept) {
    wait_for_the_change();
    expect_turn_kept();
    expect_read_back("turn", 1);
    EXPECT_FALSE(any_complete()) << "the stall was not one";
}

// The same if the disk of the node that joins stalls too.
TEST_F(ReplacedInAStall, ATurnIsKeptThoughTheDiskOfTheNewMemberStalls) {
    wait_for_the_change();
    virtual_disk_hold(disk(spare), long_stall_ms);
    expect_turn_kept();
}

// The same if the group changes while the turn is written.
TEST_F(ReplacedInAStall, ATurnIsKeptThatIsUnderWayAtTheChange) {
    for (unsigned ms = 0; ms < 3500; ms += 250) {
        Outcome written;
        std::string id = "turn-" + std::to_string(ms);
        uint64_t start = virtual_now();
        put_turn(id.c_str(), &written);
        run_until_ended(written);
        expect_durable(written, start);
        run(250);
    }
    ASSERT_EQ(world_group(world)->generation, 2u);
}

// The members forget the new generation with their power, the replaced one returns, and all of the
// old generation deny the turn.
TEST_F(ReplacedInAStall, ATurnOutlivesThePowerOfAll) {
    wait_for_the_change();
    expect_turn_kept();
    end_members(END_POWER_LOST);
    run(engine_ms);
    restart(dead);
    restart_members();
    restart_gateways();
    run(prompt_ms);
    expect_read_back("turn");
}

// The same while the service is away, so that no node hears of the new generation again.
TEST_F(ReplacedInAStall, ATurnIsNotDeniedByTheOldGeneration) {
    wait_for_the_change();
    expect_turn_kept();
    virtual_key_value_set_down(true);
    end_members(END_POWER_LOST);
    virtual_disk_release(disk(dead));
    run(engine_ms);
    for (unsigned i = 0; i < nodes; i++)
        restart(i);
    restart_gateways();
    expect_not_denied(2 * recovery_ms);
    virtual_key_value_set_down(false);
    expect_read_back("turn");
}

// One of them loses its disk as well.
TEST_F(ReplacedInAStall, ATurnOutlivesThePowerAndOneDisk) {
    wait_for_the_change();
    expect_turn_kept();
    for (unsigned i = 0; i <= spare; i++)
        if (i != dead)
            end(i, i == 0 ? END_DISK_LOST : END_POWER_LOST);
    run(engine_ms);
    restart(dead);
    restart_members();
    restart_gateways();
    run(prompt_ms);
    expect_read_back("turn");
}

// After the stall another disk is lost: the new generation must have taken the turn over.
TEST_F(ReplacedInAStall, ATurnOutlivesADiskAfterTheStall) {
    wait_for_the_change();
    expect_turn_kept();
    run(long_stall_ms + recovery_ms);
    for (unsigned lost : {0u, 1u, spare}) {
        end(lost, END_DISK_LOST);
        restart(lost);
        expect_read_back("turn");
        run(recovery_ms);
    }
    EXPECT_EQ(virtual_key_value_count(turns_prefix), 0u);
}

// A turn counts as kept that only one of the old generation has: the others would deny it. For
// gateways of each zone, which count the members of their own zone first.
class ReplacedInAStallByZone
    : public ReplacedInAStall,
      public testing::WithParamInterface<std::tuple<const char *, unsigned>> {};

TEST_P(ReplacedInAStallByZone, ATurnIsNotConfirmedByOneOfTheOldGeneration) {
    const auto &[zone, paused] = GetParam();
    world_end_gateway(gateway(0));
    gateway(0)->process->zone = const_cast<char *>(zone);
    world_start_gateway(gateway(0));
    client = gateway(0)->client;
    wait_for_the_change();
    node(paused)->process->paused_until = virtual_now() + 2 * write_timeout_ms;
    uint64_t start = virtual_now();
    put_turn("turn", &turn);
    run_until_ended(turn);
    expect_failure_at_the_callers_time(turn, start);
}

INSTANTIATE_TEST_SUITE_P(Zones, ReplacedInAStallByZone,
                         testing::Combine(testing::Values("zone-0", "zone-1", "zone-2", "zone-3"),
                                          testing::Values(0u, 1u)));

// A node dies and is replaced while the disks of the others stall: no member is complete in the new
// generation before its state file is on disk.
TEST_F(DiskStall, ATurnIsKeptThoughTheGroupChangesInTheStall) {
    world_start_store(node(nodes), false);
    run(3000);
    hold_first(nodes, long_stall_ms);
    world_end_store(node(2), END_KILLED);
    run(3500);
    put_turn("turn", &turn);
    run_until_ended(turn);
    EXPECT_TRUE(turn.durable);
}

} // namespace
