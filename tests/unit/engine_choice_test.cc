/** Tests of engine selection by load and cache affinity, and of the program-to-engine map. */
#include <gtest/gtest.h>

#include <set>
#include <vector>

extern "C" {
#include "core/routing/engine_choice.h"
#include "store/program_affinity.h"
}

namespace {

constexpr unsigned SLOTS = 10;

class EngineChoice : public testing::Test {
  protected:
    /** Adds idle engines in the local zone with ids from 1. */
    void make(unsigned count) {
        for (unsigned i = 1; i <= count; i++)
            engines.push_back({i, 0, SLOTS, true, false, false});
    }
    engine_candidate_t &engine(uint64_t id) {
        return engines[id - 1];
    }
    /** Returns the id of the chosen engine; 0: none. */
    uint64_t choose(uint64_t place, uint64_t part) {
        engine_request_t request = {place, part};
        unsigned chosen = 0;
        bool found = engine_choose(engines.data(), engines.size(), &request, &chosen);
        return found ? engines[chosen].id : 0;
    }
    std::vector<engine_candidate_t> engines;
};

TEST_F(EngineChoice, NoEngineIsFoundWithoutCandidates) {
    EXPECT_EQ(choose(0, 7), 0u);
}

TEST_F(EngineChoice, AProgramStaysAtItsEngine) {
    make(4);
    for (uint64_t place = 1; place <= 4; place++)
        for (uint64_t part = 1; part <= 20; part++)
            EXPECT_EQ(choose(place, part), place);
}

TEST_F(EngineChoice, AProgramStaysIfTheOtherEnginesAreMoreThanHalfFull) {
    make(3);
    engine(1).load = 2 * SLOTS;
    engine(2).load = engine(3).load = SLOTS * 6 / 10;
    EXPECT_EQ(choose(1, 7), 1u);
}

TEST_F(EngineChoice, AProgramLeavesALongQueueForAHalfFullEngine) {
    make(3);
    engine(1).load = 2 * SLOTS;
    engine(2).load = SLOTS;
    engine(3).load = SLOTS / 2;
    EXPECT_EQ(choose(1, 7), 3u);
    engine(1).load = SLOTS;
    EXPECT_EQ(choose(1, 7), 1u) << "the engine is not overloaded";
}

TEST_F(EngineChoice, AProgramLeavesAnEngineThatIsDown) {
    make(4);
    engine(2).avoided = engine(2).down = true;
    EXPECT_NE(choose(2, 7), 2u);
    EXPECT_NE(choose(2, 7), 0u);
}

TEST_F(EngineChoice, AnEngineThatFailedRecentlyKeepsItsProgramsAndGetsNoNewOnes) {
    make(4);
    engine(2).avoided = true;
    for (uint64_t part = 1; part <= 50; part++) {
        EXPECT_EQ(choose(2, part), 2u);
        EXPECT_NE(choose(0, part), 2u);
    }
}

TEST_F(EngineChoice, OnePartGoesToOneEngineWhileLoadsAreLow) {
    make(8);
    uint64_t first = choose(0, 7);
    engine(first).load = 1;
    EXPECT_EQ(choose(0, 7), first);
}

TEST_F(EngineChoice, APartUsesMoreEnginesAsItsLoadGrows) {
    make(8);
    std::set<uint64_t> used;
    for (int i = 0; i < 40; i++) {
        uint64_t id = choose(0, 7);
        engine(id).load++;
        used.insert(id);
    }
    EXPECT_GE(used.size(), 5u);
    for (const engine_candidate_t &candidate : engines)
        EXPECT_LE(candidate.load, 40u / 8 + 2) << "none is far above the mean of 5";
}

TEST_F(EngineChoice, PartsAreDistributedOverAllEngines) {
    make(8);
    std::set<uint64_t> used;
    for (uint64_t part = 1; part <= 100; part++)
        used.insert(choose(0, part));
    EXPECT_EQ(used.size(), 8u);
}

TEST_F(EngineChoice, AnotherZoneIsUsedOnlyWithoutEnginesInTheLocalZone) {
    make(4);
    engine(1).local = engine(2).local = false;
    for (uint64_t part = 1; part <= 20; part++)
        EXPECT_GE(choose(0, part), 3u);
    engine(3).local = engine(4).local = false;
    EXPECT_NE(choose(0, 7), 0u);
}

TEST_F(EngineChoice, AvoidanceIsIgnoredIfMostEnginesAreAvoided) {
    make(4);
    for (uint64_t id = 1; id <= 3; id++)
        engine(id).avoided = true;
    std::set<uint64_t> used;
    for (uint64_t part = 1; part <= 50; part++)
        used.insert(choose(0, part));
    EXPECT_EQ(used.size(), 4u);
    engine(2).avoided = engine(3).avoided = false;
    for (uint64_t part = 1; part <= 50; part++)
        EXPECT_NE(choose(0, part), 1u);
}

TEST(ProgramPlaces, TheLatestPlaceIsReturnedUntilItExpires) {
    program_affinity_t affinity;
    program_affinity_init(&affinity);
    EXPECT_EQ(program_affinity_find(&affinity, "p"), 0u);
    program_affinity_record(&affinity, "p", 5, 1000);
    program_affinity_record(&affinity, "p", 6, 2000);
    program_affinity_record(&affinity, "q", 7, 1000);
    EXPECT_EQ(program_affinity_find(&affinity, "p"), 6u);
    program_affinity_expire(&affinity, 1500);
    EXPECT_EQ(program_affinity_find(&affinity, "p"), 6u);
    EXPECT_EQ(program_affinity_find(&affinity, "q"), 0u);
    program_affinity_clear(&affinity);
}

} // namespace
