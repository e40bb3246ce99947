// A storage node whose memory fills with charges, in virtual time.
//
// The story: charges are kept for 300 s and some 210 bytes each, and did not count when room was
// judged. At 700 calls a second a node of 58 MB is full after some 330 s, ends for want of memory,
// reads all of them from its log again, and ends once more. Evidence: on a day of 110 s seven
// storage nodes held 70,000 charges each, and resident memory grew by 210 bytes with each.
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
constexpr uint64_t founded_ms = 4000;
constexpr uint64_t at_once_ms = 100;
constexpr unsigned reserves = 10000; /**< More than twice as many as there is memory for. */

struct Verdicts {
    unsigned given[VERDICT_COUNT] = {};
    unsigned without_room = 0;
    uint64_t longest_ms = 0;
};

struct Asked {
    store_operation_t *operation;
    uint64_t at;
};

Verdicts verdicts;
std::vector<Asked> asked;

void on_verdict(void *owner, verdict_t verdict, const GArray *) {
    const Asked *reserve = static_cast<const Asked *>(owner);
    bool refused = verdict == VERDICT_UNSURE;
    verdicts.given[verdict]++;
    verdicts.without_room += refused && !store_operation_has_room(reserve->operation);
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
        virtual_run(founded_ms);
        client = static_cast<world_gateway_t *>(g_ptr_array_index(world->gateways, 0))->client;
        verdicts = {};
        asked.assign(reserves, {});
    }

    void reserve(unsigned number) {
        std::string program = "program-" + std::to_string(number / 8);
        std::string call = "call-" + std::to_string(number);
        asked[number].at = virtual_now();
        asked[number].operation = store_client_reserve(client, program.c_str(), call.c_str(), 10,
                                                       1000000, false, &handler, &asked[number]);
    }

    /** Many, one each millisecond: none expires meanwhile. */
    void fill() {
        for (unsigned i = 0; i < reserves; i++) {
            reserve(i);
            virtual_run(virtual_now() + 1);
        }
        virtual_run(virtual_now() + at_once_ms);
    }

    /** Most charges that a storage node holds. */
    unsigned most_charges() const {
        unsigned most = 0;
        for (guint i = 0; i < world->stores->len; i++) {
            unsigned charges = 0;
            auto *node = static_cast<world_store_t *>(g_ptr_array_index(world->stores, i));
            budget_table_each(
                &node->store->budgets, nullptr,
                [](void *user, const budget_charge_t *) { ++*static_cast<unsigned *>(user); },
                &charges);
            most = std::max(most, charges);
        }
        return most;
    }

    world_t *world;
    store_client_t *client;
};

TEST_F(StoreRoom, ChargesNeverFillTheMemory) {
    fill();
    EXPECT_LT(most_charges() * charge_bytes, memory_megabytes * megabyte);
    EXPECT_GT(verdicts.given[VERDICT_YES], 2000u);
    EXPECT_EQ(verdicts.given[VERDICT_NO], 0u) << "no budget is spent";
}

// What can't be served is refused at once, and for this reason.
TEST_F(StoreRoom, ARefusedReserveIsToldAtOnce) {
    fill();
    EXPECT_EQ(verdicts.given[VERDICT_YES] + verdicts.given[VERDICT_UNSURE], reserves);
    EXPECT_GT(verdicts.given[VERDICT_UNSURE], 0u);
    EXPECT_EQ(verdicts.without_room, verdicts.given[VERDICT_UNSURE]);
    EXPECT_LE(verdicts.longest_ms, at_once_ms);
}

// A call that was refused is settled with nothing, which takes no memory either; one that was begun
// can be settled.
TEST_F(StoreRoom, WhatWasBegunCanBeSettled) {
    fill();
    unsigned charges = most_charges();
    store_client_settle(client, "refused", "refused-1", 10, 0);
    store_client_settle(client, "program-0", "call-0", 10, 7);
    virtual_run(virtual_now() + at_once_ms);
    EXPECT_EQ(most_charges(), charges);
    auto *node = static_cast<world_store_t *>(g_ptr_array_index(world->stores, 0));
    EXPECT_EQ(budget_table_charged(&node->store->budgets, "program-0"), 77u);
}

/** Three storage nodes, each with room for turns. */
class TurnRoom : public testing::Test {
  public:
    TurnRoom() {
        const world_shape_t shape = {3, 0, 1, memory_megabytes, BREAK_NOTHING};
        world = world_new(1, &shape);
        virtual_run(founded_ms);
        client = static_cast<world_gateway_t *>(g_ptr_array_index(world->gateways, 0))->client;
        verdicts = {};
        kept = 0;
        asked.assign(4, {});
    }

    world_store_t *node(unsigned number) const {
        return static_cast<world_store_t *>(g_ptr_array_index(world->stores, number));
    }

    /** From now on it has no room for a turn, also for one that has begun; it has for a reserve. */
    void fill(unsigned number) const {
        constexpr uint64_t no_room_bytes = 700000;
        node(number)->store->turns.bytes = no_room_bytes;
    }

    /** Reserves, and lets the storage nodes answer for @p time_ms. */
    void reserve(unsigned number, bool keeps, uint64_t time_ms) {
        std::string call = "call-" + std::to_string(number);
        asked[number].at = virtual_now();
        asked[number].operation = store_client_reserve(client, "program", call.c_str(), 10, 100,
                                                       keeps, &handler, &asked[number]);
        virtual_run(virtual_now() + time_ms);
    }

    void set_disk_full(unsigned number, bool full) const {
        virtual_disk_of(node(number)->process)->full = full;
    }

    void put_turn() {
        turn_t turn = {g_strdup("turn"),      g_strdup(""), g_bytes_new("in", 2),
                       g_bytes_new("out", 3), 1000000000,   g_strdup("")};
        static const store_operation_handler_t keep_handler = {
            nullptr,
            [](void *owner, bool durable) { static_cast<TurnRoom *>(owner)->kept += durable; }};
        store_client_put_turn(client, &turn, &keep_handler, this);
        turn_clear(&turn);
        virtual_run(virtual_now() + at_once_ms);
    }

    world_t *world;
    store_client_t *client;
    unsigned kept;
};

// One of three has no room, one says nothing: whether a quorum has room for the turn is not known.
TEST_F(TurnRoom, IsNotGrantedOnTheWordOfOne) {
    constexpr uint64_t silent_ms = 5000;
    fill(0);
    node(1)->process->paused_until = virtual_now() + silent_ms;
    reserve(0, true, silent_ms / 2);
    EXPECT_EQ(verdicts.given[VERDICT_YES], 0u);
    EXPECT_EQ(verdicts.given[VERDICT_UNSURE], 1u);
    reserve(1, false, silent_ms / 4);
    EXPECT_EQ(verdicts.given[VERDICT_YES], 1u) << "a call that keeps no turn needs no room for one";
}

// Two of three have no room: the call is refused before the third has answered.
TEST_F(TurnRoom, IsRefusedAtOnceWhenTooManyHaveNone) {
    fill(0);
    fill(2);
    node(1)->process->paused_until = virtual_now() + at_once_ms * 2;
    reserve(0, true, at_once_ms);
    EXPECT_EQ(verdicts.without_room, 1u);
}

// A member that is still copying can't vouch for the budget, but keeps turns: with its copy and
// that of a complete member the turn is durable.
TEST_F(TurnRoom, OfAMemberThatIsNotCompleteCounts) {
    fill(0);
    node(2)->store->complete_in = 0;
    reserve(0, true, at_once_ms);
    EXPECT_EQ(verdicts.given[VERDICT_YES], 1u);
}

// The story: two of three disks are full, by others' files. Each call was told that there is room,
// was run, and failed 1.5 s later, since neither its reserve nor its turn could be written: room
// was judged by what a node itself had written. Now the first calls show it, and the others are
// refused at once, until the disks take writes again.
TEST_F(TurnRoom, IsNotOnADiskThatTakesNoWrites) {
    constexpr uint64_t tried_again_ms = 1000;
    set_disk_full(0, true);
    reserve(0, true, at_once_ms);
    set_disk_full(1, true);
    reserve(1, true, at_once_ms);
    EXPECT_EQ(verdicts.given[VERDICT_YES], 2u) << "one may be full, and of the other nobody knew";
    reserve(2, true, at_once_ms);
    EXPECT_EQ(verdicts.without_room, 1u);
    set_disk_full(0, false);
    set_disk_full(1, false);
    virtual_run(virtual_now() + tried_again_ms);
    reserve(3, true, at_once_ms);
    EXPECT_EQ(verdicts.given[VERDICT_YES], 3u);
}

// An answer may be lost, and the turn be sent again when there is no room any more.
TEST_F(TurnRoom, IsNotNeededForATurnThatIsThere) {
    put_turn();
    EXPECT_EQ(kept, 1u);
    for (unsigned i = 0; i < 3; i++)
        fill(i);
    put_turn();
    EXPECT_EQ(kept, 2u);
}

// The story: a caller took large turns one after the other until there was no room, and now and
// then the last one was run and then not kept: the caller waited for an answer that broke off.
// Order of events: two of three storage nodes had the turn before on disk and said that they had no
// room for one more; the third had not written it yet, and said that it had. The third and one of
// the two were enough for the budget, and of the other, which had not answered yet, it was taken
// for granted that it had room. Then two refused the turn. Evidence (power_no_room beside ten busy
// loops, one of 16 plays): E813 room=no of two nodes 22 ms before E841 refused=2, with the charges
// of nine reserves; E813 of the third at E841, with those of ten.
// The same comes of callers that are told of the same room at the same time, each for its turn.
class GrantedTurns : public testing::TestWithParam<unsigned> {
  public:
    static constexpr uint64_t most = 10;
    static constexpr uint64_t budget = 1000000;

    /**
     * Callers take turns one after the other, until all have been refused. Turns have @p bytes or
     * up to @p sizes times as many.
     */
    void play(uint64_t seed, unsigned callers, size_t bytes, unsigned sizes = 1);

    unsigned kept = 0;
    unsigned lost = 0;
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
        /** Of the call under way, and of its turn. */
        std::string call() const {
            return program() + "-" + std::to_string(turns);
        }
        void begin() {
            turns++;
            static const store_operation_handler_t reserve_handler = {on_granted, on_durable};
            store_client_reserve(gateway->client, program().c_str(), call().c_str(), most, budget,
                                 true, &reserve_handler, this);
        }
        void keep() {
            std::string input(bytes * (1 + (number + turns) % sizes), 'x');
            turn_t turn = {
                g_strdup(call().c_str()), g_strdup(""), g_bytes_new(input.data(), input.size()),
                g_bytes_new("o", 1),      1000000000,   g_strdup("")};
            static const store_operation_handler_t keep_handler = {nullptr, on_kept};
            store_client_put_turn(gateway->client, &turn, &keep_handler, this);
            turn_clear(&turn);
        }
        void end() const {
            test->refused++;
            settle(0);
        }
        void settle(uint64_t spent) const {
            store_client_settle(gateway->client, program().c_str(), call().c_str(), most, spent);
        }
        static void on_granted(void *owner, verdict_t verdict, const GArray *) {
            auto *caller = static_cast<Caller *>(owner);
            if (verdict == VERDICT_YES)
                caller->keep();
            else
                caller->end();
        }
        static void on_kept(void *owner, bool durable) {
            auto *caller = static_cast<Caller *>(owner);
            caller->test->kept += durable;
            caller->test->lost += !durable;
            caller->settle(most);
            caller->begin();
        }
    };
};

void GrantedTurns::play(uint64_t seed, unsigned callers, size_t bytes, unsigned sizes) {
    constexpr unsigned gateways = 2;
    constexpr uint64_t filled_ms = 60000;
    const world_shape_t shape = {3, 0, gateways, memory_megabytes, BREAK_NOTHING};
    const world_t *world = world_new(seed, &shape);
    virtual_run(founded_ms);
    std::vector<Caller> all(callers);
    for (unsigned i = 0; i < callers; i++) {
        auto *gateway =
            static_cast<world_gateway_t *>(g_ptr_array_index(world->gateways, i % gateways));
        all[i] = {this, gateway, i, 0, bytes, sizes};
        all[i].begin();
    }
    const uint64_t begun = virtual_now();
    while (refused < callers && virtual_now() < begun + filled_ms)
        virtual_run(virtual_now() + 10);
    EXPECT_EQ(refused, callers);
    EXPECT_GT(kept, 0u);
}

TEST_P(GrantedTurns, OneAfterTheOtherAreAllKept) {
    play(GetParam(), 1, 40000);
    EXPECT_EQ(lost, 0u) << kept << " were kept";
}

TEST_P(GrantedTurns, AtTheSameTimeAreAllKept) {
    play(GetParam(), 12, 4000);
    EXPECT_EQ(lost, 0u) << kept << " were kept";
}

// Together as much as all the room that there is for turns that have begun and come late.
TEST_P(GrantedTurns, OfManyCallersAreAllKept) {
    play(GetParam(), 100, 4000);
    EXPECT_EQ(lost, 0u) << kept << " were kept";
}

// What is held is the mean of sizes: those beyond it are taken up to the share for turns that have
// begun.
TEST_P(GrantedTurns, OfDifferentSizesAreAllKept) {
    play(GetParam(), 30, 500, 8);
    EXPECT_EQ(lost, 0u) << kept << " were kept";
}

INSTANTIATE_TEST_SUITE_P(Seeds, GrantedTurns, testing::Range(1u, 41u));

} // namespace
