// Size of the store group, selection of its members, and order of its spares.
#include <gtest/gtest.h>

#include <map>
#include <string>

extern "C" {
#include "core/quorum/store_group_choice.h"
}

namespace {

class StoreGroupChoice : public testing::Test {
  protected:
    StoreGroupChoice() : group(store_group_new()), candidates(store_group_new()) {
    }
    ~StoreGroupChoice() override {
        store_group_free(group);
        store_group_free(candidates);
    }
    void add_candidates(unsigned zones, unsigned each) {
        for (unsigned zone = 0; zone < zones; zone++)
            for (unsigned i = 0; i < each; i++) {
                std::string zone_name(1, static_cast<char>('a' + zone));
                std::string name = "store-" + zone_name + "-" + std::to_string(i);
                store_group_add(candidates->members, name.c_str(), "127.0.0.1:1",
                                zone_name.c_str());
            }
    }
    std::map<std::string, unsigned> by_zone() const {
        std::map<std::string, unsigned> counts;
        for (guint i = 0; i < group->members->len; i++)
            counts[g_array_index(group->members, store_member_t, i).zone]++;
        return counts;
    }
    unsigned rank(const char *name) const {
        return store_group_standby_rank(group->members, candidates->members, name);
    }
    store_group_t *group;
    store_group_t *candidates;
};

TEST_F(StoreGroupChoice, AWriteQuorumSurvivesTheLossesAndAReplacement) {
    for (unsigned losses = 0; losses < 4; losses++) {
        unsigned size = store_group_size(losses);
        EXPECT_GE(size - losses - 1, store_write_quorum(size));
    }
}

TEST_F(StoreGroupChoice, GroupSizeDoesNotGrowWithTheNodes) {
    add_candidates(6, 6);
    store_group_fill(group->members, candidates->members, store_group_size(2));
    EXPECT_EQ(group->members->len, store_group_size(2));
}

TEST_F(StoreGroupChoice, MembersAreSpreadOverZones) {
    add_candidates(3, 6);
    store_group_fill(group->members, candidates->members, 7);
    std::map<std::string, unsigned> counts = by_zone();
    ASSERT_EQ(counts.size(), 3U);
    for (const auto &[zone, count] : counts)
        EXPECT_TRUE(count == 2 || count == 3) << zone;
}

TEST_F(StoreGroupChoice, AllNodesAreMembersIfThereAreFew) {
    add_candidates(3, 1);
    store_group_fill(group->members, candidates->members, store_group_size(1));
    EXPECT_EQ(group->members->len, 3U);
}

TEST_F(StoreGroupChoice, EachSpareHasItsOwnRank) {
    add_candidates(3, 4);
    store_group_fill(group->members, candidates->members, 7);
    std::map<unsigned, unsigned> ranks;
    for (guint i = 0; i < candidates->members->len; i++) {
        const char *name = g_array_index(candidates->members, store_member_t, i).name;
        if (store_group_find(group->members, name) == nullptr)
            ranks[rank(name)]++;
    }
    ASSERT_EQ(ranks.size(), 5U);
    EXPECT_EQ(ranks.begin()->first, 0U);
    EXPECT_EQ(ranks.rbegin()->first, 4U);
}

TEST_F(StoreGroupChoice, ASpareOfTheZoneWithoutMembersIsFirst) {
    add_candidates(3, 2);
    // One member each in zones a and b, none left in c.
    store_group_add(group->members, "store-a-0", "127.0.0.1:1", "a");
    store_group_add(group->members, "store-b-0", "127.0.0.1:1", "b");
    EXPECT_EQ(rank("store-c-0"), 0U);
    EXPECT_EQ(rank("store-c-1"), 1U);
    EXPECT_EQ(rank("store-a-1"), 2U);
}

} // namespace
