// Admission of a storage node by free space, in virtual time. Guards against a node that fills its
// memory with charges and crashes, also while it replays its log, and against turns that are
// generated and then refused for lack of space.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

extern "C" {
#include "storesim/world.h"
}

namespace {

constexpr uint64_t memory_megabytes = 1;
constexpr uint64_t megabyte = 1024 * 1024;
constexpr uint64_t charge_bytes = 180;
constexpr uint64_t setup_ms = 4000;
constexpr uint64_t immediate_ms = 100;
constexpr uint64_t write_timeout_ms = 4000;
constexpr unsigned reserves = 10000; /**< More than twice what fits in memory. */

struct Verdicts {
    unsigned given[VERDICT_COUNT] = {};
    unsigned without_space = 0;
    uint64_t longest_ms = 0;
};

struct SentReserve {
    store_operation_t *operation;
    uint64_t at;
};

Verdicts verdicts;
std::vector<SentReserve> reserves_sent;

void on_verdict(void *owner, verdict_t verdict, const GArray *) {
    const SentReserve *reserve = static_cast<const SentReserve *>(owner);
    bool refused = verdict == VERDICT_UNSURE;
    verdicts.given[verdict]++;
    verdicts.without_space += refused && !store_operation_has_space(reserve->operation);
    verdicts.longest_ms = std::max(verdicts.longest_ms, virtual_now() - reserve->at);
}

void on_durable(void *, bool) {
}

const store_operation_handler_t handler = {on_verdict, on_durable};

class StoreRoom : public testing::Test {
  public:
    StoreRoom() {
        const world_shape_t shape = {4, 0, 1, memory_megabytes, BREAK_NOTHING};
        world = world_new(1, &shape);
        virtual_run(setup_ms);
        client = static_cast<world_gateway_t *>(g_ptr_array_index(world->gateways, 0))->client;
        verdicts = {};
        reserves_sent.assign(reserves, {});
    }

    void reserve(unsigned number) {
        std::string program = "program-" + std::to_string(number / 8);
        std::string call = "call-" + std::to_string(number);
        reserves_sent[number].at = virtual_now();
        const store_reserve_t reserve = {program.c_str(), call.c_str(),     10, 1000000,
                                         false,           write_timeout_ms, 0};
        reserves_sent[number].operation =
            store_client_reserve(client, &reserve, &handler, &reserves_sent[number]);
    }

    /** Sends one reserve per millisecond; no charge expires meanwhile. */
    void fill() {
        for (unsigned i = 0; i < reserves; i++) {
            reserve(i);
            virtual_run(virtual_now() + 1);
        }
        virtual_run(virtual_now() + immediate_ms);
    }

    /** Largest number of charges on one storage node. */
    unsigned max_charges() const {
        unsigned maximum = 0;
        for (guint i = 0; i < world->stores->len; i++) {
            unsigned charges = 0;
            auto *node = static_cast<world_store_t *>(g_ptr_array_index(world->stores, i));
            budget_table_each(
                &node->store->budgets, nullptr,
                [](void *user, const budget_charge_t *) { ++*static_cast<unsigned *>(user); },
                &charges);
            maximum = std::max(maximum, charges);
        }
        return maximum;
    }

    world_t *world;
    store_client_t *client;
};

TEST_F(StoreRoom, ChargesNeverFillTheMemory) {
    fill();
    EXPECT_LT(max_charges() * charge_bytes, memory_megabytes * megabyte);
    EXPECT_GT(verdicts.given[VERDICT_YES], 2000u);
    EXPECT_EQ(verdicts.given[VERDICT_NO], 0u)
        << "a reserve was refused for its budget, which is not spent";
}

// Reserves beyond the memory limit are refused without delay, with lack of space as the reason.
TEST_F(StoreRoom, RefusedReservesAreAnsweredAtOnce) {
    fill();
    EXPECT_EQ(verdicts.given[VERDICT_YES] + verdicts.given[VERDICT_UNSURE], reserves);
    EXPECT_GT(verdicts.given[VERDICT_UNSURE], 0u);
    EXPECT_EQ(verdicts.without_space, verdicts.given[VERDICT_UNSURE]);
    EXPECT_LE(verdicts.longest_ms, immediate_ms);
}

// Settling a refused call with nothing spent must not use memory; a started call can still be
// settled.
TEST_F(StoreRoom, StartedCallsCanBeSettled) {
    fill();
    unsigned charges = max_charges();
    store_client_settle(client, "refused", "refused-1", 10, 0);
    store_client_settle(client, "program-0", "call-0", 10, 7);
    virtual_run(virtual_now() + immediate_ms);
    EXPECT_EQ(max_charges(), charges);
    auto *node = static_cast<world_store_t *>(g_ptr_array_index(world->stores, 0));
    EXPECT_EQ(budget_table_charged(&node->store->budgets, "program-0"), 77u);
}

/** Three storage nodes, each with space for turns. */
class TurnRoom : public testing::Test {
  public:
    TurnRoom() {
        const world_shape_t shape = {3, 0, 1, memory_megabytes, BREAK_NOTHING};
        world = world_new(1, &shape);
        virtual_run(setup_ms);
        client = static_cast<world_gateway_t *>(g_ptr_array_index(world->gateways, 0))->client;
        verdicts = {};
        stored = 0;
        reserves_sent.assign(4, {});
    }

    world_store_t *node(unsigned number) const {
        return static_cast<world_store_t *>(g_ptr_array_index(world->stores, number));
    }

    /** Leaves the node no space for turns, not even of running calls, but space for reserves. */
    void fill(unsigned number) const {
        constexpr uint64_t full_bytes = 700000;
        node(number)->store->turns.bytes = full_bytes;
    }

    /**
     * Sends a reserve and runs for @p time_ms; @p stores_turn: the call will store a turn, with an
     * input of @p input_bytes.
     */
    void reserve(unsigned number, bool stores_turn, uint64_t time_ms, uint64_t input_bytes = 0) {
        std::string call = "call-" + std::to_string(number);
        reserves_sent[number].at = virtual_now();
        const store_reserve_t reserve = {"program",   call.c_str(),     10,         100,
                                         stores_turn, write_timeout_ms, input_bytes};
        reserves_sent[number].operation =
            store_client_reserve(client, &reserve, &handler, &reserves_sent[number]);
        virtual_run(virtual_now() + time_ms);
    }

    void set_disk_full(unsigned number, bool full) const {
        virtual_disk_of(node(number)->process)->full = full;
    }

    void put_turn() {
        turn_t turn = {g_strdup("turn"),      g_strdup(""), g_bytes_new("in", 2),
                       g_bytes_new("out", 3), 1000000000,   g_strdup("")};
        static const store_operation_handler_t store_handler = {
            nullptr,
            [](void *owner, bool durable) { static_cast<TurnRoom *>(owner)->stored += durable; }};
        store_client_put_turn(client, &turn, write_timeout_ms, &store_handler, this);
        turn_clear(&turn);
        virtual_run(virtual_now() + immediate_ms);
    }

    world_t *world;
    store_client_t *client;
    unsigned stored;
};

// One of three nodes has no space and one is unresponsive: a quorum with space is not confirmed.
TEST_F(TurnRoom, IsNotGrantedOnOneConfirmation) {
    constexpr uint64_t unresponsive_ms = 5000;
    fill(0);
    node(1)->process->paused_until = virtual_now() + unresponsive_ms;
    reserve(0, true, unresponsive_ms / 2);
    EXPECT_EQ(verdicts.given[VERDICT_YES], 0u);
    EXPECT_EQ(verdicts.given[VERDICT_UNSURE], 1u);
    reserve(1, false, unresponsive_ms / 4);
    EXPECT_EQ(verdicts.given[VERDICT_YES], 1u)
        << "a call that stores no turn was refused for lack of space";
}

// Two of three nodes have no space: the call is refused before the third has responded.
TEST_F(TurnRoom, IsRefusedAtOnceWhenAQuorumHasNone) {
    fill(0);
    fill(2);
    node(1)->process->paused_until = virtual_now() + immediate_ms * 2;
    reserve(0, true, immediate_ms);
    EXPECT_EQ(verdicts.without_space, 1u);
}

// A member that is still catching up cannot confirm budgets, but stores turns: its copy counts
// towards the quorum.
TEST_F(TurnRoom, OfAnIncompleteMemberCounts) {
    fill(0);
    node(2)->store->complete_generation = 0;
    reserve(0, true, immediate_ms);
    EXPECT_EQ(verdicts.given[VERDICT_YES], 1u);
}

// Two of three disks are full because of other files. After the first failed writes further calls
// must be refused at once instead of being run and lost, until the disks accept writes again.
TEST_F(TurnRoom, IsNotOnADiskThatTakesNoWrites) {
    constexpr uint64_t backoff_ms = 1000;
    set_disk_full(0, true);
    reserve(0, true, immediate_ms);
    set_disk_full(1, true);
    reserve(1, true, immediate_ms);
    EXPECT_EQ(verdicts.given[VERDICT_YES], 2u)
        << "a call was refused before a write failed on the second disk";
    reserve(2, true, immediate_ms);
    EXPECT_EQ(verdicts.without_space, 1u);
    set_disk_full(0, false);
    set_disk_full(1, false);
    virtual_run(virtual_now() + backoff_ms);
    reserve(3, true, immediate_ms);
    EXPECT_EQ(verdicts.given[VERDICT_YES], 3u);
}

// Guards against large turns of one caller that leave no space for ordinary ones of all others.
TEST_F(TurnRoom, IsLeftForOrdinaryTurnsByLargeOnes) {
    constexpr uint64_t large = LARGE_TURN_BYTES + 1;
    for (unsigned i = 0; i < 3; i++)
        node(i)->store->turns.bytes = 400000;
    reserve(0, true, immediate_ms, large);
    EXPECT_EQ(verdicts.without_space, 1u);
    reserve(1, true, immediate_ms, LARGE_TURN_BYTES);
    EXPECT_EQ(verdicts.given[VERDICT_YES], 1u);
}

// The mean of earlier turns says nothing of a large one: its size is reserved as it is known.
TEST_F(TurnRoom, IsReservedForTheKnownSizeOfALargeTurn) {
    constexpr uint64_t large = 250000;
    reserve(0, true, immediate_ms, large);
    EXPECT_EQ(verdicts.given[VERDICT_YES], 1u);
    reserve(1, true, immediate_ms, large);
    EXPECT_EQ(verdicts.without_space, 1u);
    for (unsigned i = 0; i < 3; i++)
        EXPECT_EQ(node(i)->store->reservations.known_bytes, large) << "of the granted one only";
    store_client_settle(client, "program", "call-0", 10, 0);
    virtual_run(virtual_now() + immediate_ms);
    EXPECT_EQ(node(0)->store->reservations.known_bytes, 0u);
}

// Turns whose retention time is over must not take space until the next periodic removal.
TEST_F(TurnRoom, IsNotTakenByExpiredTurns) {
    constexpr uint32_t retention_ms = 500;
    const std::string input(30000, 'x');
    for (unsigned i = 0; i < 20; i++) {
        std::string id = "turn-" + std::to_string(i);
        turn_t turn = {g_strdup(id.c_str()),  g_strdup(""), g_bytes_new(input.data(), input.size()),
                       g_bytes_new("out", 3), retention_ms, g_strdup("")};
        static const store_operation_handler_t ignored = {nullptr, [](void *, bool) {}};
        store_client_put_turn(client, &turn, write_timeout_ms, &ignored, nullptr);
        turn_clear(&turn);
    }
    virtual_run(virtual_now() + immediate_ms);
    reserve(0, true, immediate_ms);
    EXPECT_EQ(verdicts.without_space, 1u) << "the turns do not fill the nodes";
    virtual_run(virtual_now() + retention_ms);
    reserve(1, true, immediate_ms);
    EXPECT_EQ(verdicts.given[VERDICT_YES], 1u);
}

// A turn may be sent again after a lost response, when there is no space left.
TEST_F(TurnRoom, IsNotNeededForAStoredTurn) {
    put_turn();
    EXPECT_EQ(stored, 1u);
    for (unsigned i = 0; i < 3; i++)
        fill(i);
    put_turn();
    EXPECT_EQ(stored, 2u);
}

// A granted turn must be stored, although storage nodes decide on space while earlier turns are
// still being written and several responses report the same free space. Otherwise a quorum may
// grant a turn that too many members refuse after the engine has run it.
class GrantedTurns : public testing::TestWithParam<unsigned> {
  public:
    static constexpr uint64_t max_tokens = 10;
    static constexpr uint64_t budget = 1000000;

    /**
     * Each caller stores turns one after the other until it is refused. Turns have @p bytes times 1
     * to @p sizes.
     */
    void run_callers(uint64_t seed, unsigned callers, size_t bytes, unsigned sizes = 1);

    unsigned stored = 0;
    unsigned not_stored = 0;
    unsigned refused = 0;

    struct Caller {
        GrantedTurns *test;
        world_gateway_t *gateway;
        unsigned number;
        unsigned turns;
        size_t bytes;
        unsigned sizes;

        std::string program() const {
            return "program-" + std::to_string(number);
        }
        /** Id of the current call and of its turn. */
        std::string call() const {
            return program() + "-" + std::to_string(turns);
        }
        void begin() {
            turns++;
            static const store_operation_handler_t reserve_handler = {on_granted, on_durable};
            const std::string program_id = program();
            const std::string call_id = call();
            const store_reserve_t reserve = {
                program_id.c_str(), call_id.c_str(), max_tokens, budget, true, write_timeout_ms, 0};
            store_client_reserve(gateway->client, &reserve, &reserve_handler, this);
        }
        void store_turn() {
            std::string input(bytes * (1 + (number + turns) % sizes), 'x');
            turn_t turn = {
                g_strdup(call().c_str()), g_strdup(""), g_bytes_new(input.data(), input.size()),
                g_bytes_new("o", 1),      1000000000,   g_strdup("")};
            static const store_operation_handler_t store_handler = {nullptr, on_stored};
            store_client_put_turn(gateway->client, &turn, write_timeout_ms, &store_handler, this);
            turn_clear(&turn);
        }
        void end() const {
            test->refused++;
            settle(0);
        }
        void settle(uint64_t spent) const {
            store_client_settle(gateway->client, program().c_str(), call().c_str(), max_tokens,
                                spent);
        }
        static void on_granted(void *owner, verdict_t verdict, const GArray *) {
            auto *caller = static_cast<Caller *>(owner);
            if (verdict == VERDICT_YES)
                caller->store_turn();
            else
                caller->end();
        }
        static void on_stored(void *owner, bool durable) {
            auto *caller = static_cast<Caller *>(owner);
            caller->test->stored += durable;
            caller->test->not_stored += !durable;
            caller->settle(max_tokens);
            caller->begin();
        }
    };
};

void GrantedTurns::run_callers(uint64_t seed, unsigned callers, size_t bytes, unsigned sizes) {
    constexpr unsigned gateways = 2;
    constexpr uint64_t timeout_ms = 60000;
    const world_shape_t shape = {3, 0, gateways, memory_megabytes, BREAK_NOTHING};
    const world_t *world = world_new(seed, &shape);
    virtual_run(setup_ms);
    std::vector<Caller> all(callers);
    for (unsigned i = 0; i < callers; i++) {
        auto *gateway =
            static_cast<world_gateway_t *>(g_ptr_array_index(world->gateways, i % gateways));
        all[i] = {this, gateway, i, 0, bytes, sizes};
        all[i].begin();
    }
    const uint64_t start = virtual_now();
    while (refused < callers && virtual_now() < start + timeout_ms)
        virtual_run(virtual_now() + 10);
    EXPECT_EQ(refused, callers);
    EXPECT_GT(stored, 0u);
}

TEST_P(GrantedTurns, OfOneCallerAreAllStored) {
    run_callers(GetParam(), 1, 40000);
    EXPECT_EQ(not_stored, 0u) << stored << " were stored";
}

TEST_P(GrantedTurns, OfConcurrentCallersAreAllStored) {
    run_callers(GetParam(), 12, 4000);
    EXPECT_EQ(not_stored, 0u) << stored << " were stored";
}

// The turns of all callers together fill the whole headroom for turns of running calls.
TEST_P(GrantedTurns, OfManyCallersAreAllStored) {
    run_callers(GetParam(), 100, 4000);
    EXPECT_EQ(not_stored, 0u) << stored << " were stored";
}

// Reservations use the mean size: larger turns must fit into the headroom for turns of running
// calls.
TEST_P(GrantedTurns, OfDifferentSizesAreAllStored) {
    run_callers(GetParam(), 30, 500, 8);
    EXPECT_EQ(not_stored, 0u) << stored << " were stored";
}

INSTANTIATE_TEST_SUITE_P(Seeds, GrantedTurns, testing::Range(1u, 41u));

} // namespace
