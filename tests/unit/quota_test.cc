// Tenants' limits: split among members, token buckets, and the member that a gateway asks.
#include <glib.h>

extern "C" {
#include "core/quota/quota_choice.h"
#include "core/quota/quota_table.h"
}

#include <gtest/gtest.h>

#include <deque>
#include <random>
#include <vector>

namespace {

const quota_bounds_t bounds = {5000, 0.1, 20};

double allowed(const quota_limit_t &limit) {
    return (limit.rate * 5.0 + limit.burst) * (1 + bounds.overage) + bounds.slack;
}

TEST(QuotaSplit, LargeLimitsAreSplitAmongAllAndSmallOnesAmongFew) {
    quota_limit_t large = {1, 400, 400};
    quota_limit_t small = {1, 2, 1};
    EXPECT_EQ(quota_split_count(&bounds, &large, 7), 7u);
    EXPECT_EQ(quota_split_count(&bounds, &large, 1), 1u);
    EXPECT_EQ(quota_split_count(&bounds, &large, 0), 1u);
    EXPECT_GE(quota_split_count(&bounds, &small, 7), 1u);
    EXPECT_LE(quota_split_count(&bounds, &small, 7), 3u);
}

TEST(QuotaSplit, WhatAllMembersMayGrantInAWindowIsNoMoreThanAllowed) {
    for (uint32_t rate : {1u, 2u, 5u, 12u, 25u, 60u, 442u, 100000u})
        for (uint32_t burst : {0u, rate / 2, rate, 3 * rate})
            for (unsigned members = 1; members <= 9; members++) {
                quota_limit_t limit = {1, rate, burst};
                unsigned count = quota_split_count(&bounds, &limit, members);
                quota_share_t share = quota_split_share(&bounds, &limit, members);
                double span = bounds.window_ms + quota_split_grant_lifetime_ms(&bounds);
                double one = share.max_tokens + share.initial_tokens + share.tokens_per_ms * span;
                unsigned most = count < members ? count + 1 : count;
                EXPECT_LE(one * most, allowed(limit) + 1e-6)
                    << rate << " " << burst << " " << members;
                EXPECT_GE(share.max_tokens, 1);
                EXPECT_GE(share.tokens_per_ms * count * 1000, rate * 0.999);
            }
}

TEST(QuotaSplit, GrantsExpireSoon) {
    EXPECT_GT(quota_split_grant_lifetime_ms(&bounds), 50u);
    EXPECT_LE(quota_split_grant_lifetime_ms(&bounds), 500u);
}

class QuotaTable : public testing::Test {
  protected:
    void SetUp() override {
        quota_table_init(&table, &bounds);
    }
    void TearDown() override {
        quota_table_clear(&table);
    }
    bool take(uint64_t now, const quota_limit_t &limit, const char *tenant = "t") {
        return quota_table_take(&table, tenant, &limit, 1, 0, now).granted;
    }
    int take_all(uint64_t now, const quota_limit_t &limit) {
        int granted = 0;
        while (take(now, limit))
            granted++;
        return granted;
    }
    quota_table_t table;
};

TEST_F(QuotaTable, BeginsNearlyEmptyAndFillsAtTheRate) {
    quota_limit_t limit = {1, 100, 100};
    EXPECT_LT(take_all(0, limit), 10) << "grants before a restart are unknown";
    int later = take_all(500, limit);
    EXPECT_GE(later, 49);
    EXPECT_LE(later, 60);
    EXPECT_GE(take_all(100000, limit), 100) << "full again";
}

TEST_F(QuotaTable, ReturnsTheTimeUntilTheNextToken) {
    quota_limit_t limit = {1, 10, 10};
    take_all(0, limit);
    quota_answer_t answer = quota_table_take(&table, "t", &limit, 1, 0, 0);
    EXPECT_FALSE(answer.granted);
    EXPECT_GT(answer.wait_ms, 0u);
    EXPECT_LE(answer.wait_ms, 100u);
    EXPECT_TRUE(take(answer.wait_ms, limit));
}

TEST_F(QuotaTable, GrantsFutureTokensInOrderWithinTheTimeout) {
    quota_limit_t limit = {1, 10, 10};
    take_all(0, limit);
    quota_answer_t first = quota_table_take(&table, "t", &limit, 1, 200, 0);
    quota_answer_t second = quota_table_take(&table, "t", &limit, 1, 200, 0);
    quota_answer_t third = quota_table_take(&table, "t", &limit, 1, 200, 0);
    EXPECT_TRUE(first.granted);
    EXPECT_TRUE(second.granted);
    EXPECT_LT(first.wait_ms, second.wait_ms);
    EXPECT_LE(second.wait_ms, 200u);
    EXPECT_FALSE(third.granted) << "the wait would exceed its timeout";
    EXPECT_FALSE(take(first.wait_ms, limit)) << "that token is already granted";
}

TEST_F(QuotaTable, LimitsAdvanceGrantsWhateverTheTimeout) {
    quota_limit_t limit = {1, 100, 100};
    take_all(0, limit);
    int granted = 0;
    while (quota_table_take(&table, "t", &limit, 1, 60000, 0).granted)
        granted++;
    EXPECT_GE(granted, 30);
    EXPECT_LE(granted, 36) << "300 ms";
    quota_limit_t rare = {1, 1, 1};
    take_all(0, rare);
    EXPECT_LE(quota_table_take(&table, "rare", &rare, 1, 60000, 0).wait_ms, 1000u);
}

TEST_F(QuotaTable, ViewReturnsTheTokens) {
    quota_limit_t limit = {1, 100, 100};
    quota_view_t view;
    ASSERT_TRUE(quota_table_view(&table, "t", &limit, 1, 100000, &view));
    double before = view.tokens;
    take(100000, limit);
    ASSERT_TRUE(quota_table_view(&table, "t", &limit, 1, 100000, &view));
    EXPECT_NEAR(view.tokens, before - 1, 1e-9);
    EXPECT_EQ(view.limit.rate, 100u);
}

TEST_F(QuotaTable, AppliesTheLatestVersionOfALimit) {
    quota_limit_t old_limit = {1, 100, 100};
    quota_limit_t new_limit = {2, 10, 10};
    take(0, old_limit);
    int granted = take_all(100000, new_limit);
    EXPECT_LT(granted, 60) << "the later version of the limit applies";
    EXPECT_EQ(take_all(100000, old_limit), 0) << "an older version is ignored";
    EXPECT_LE(take_all(100500, old_limit), 10);
}

TEST_F(QuotaTable, AChargeIsPaidByLaterCalls) {
    quota_limit_t limit = {1, 10, 10};
    take_all(10000, limit);
    for (int i = 0; i < 5; i++)
        quota_table_charge(&table, "t", &limit, 1, 10000);
    EXPECT_FALSE(take(10100, limit));
    EXPECT_TRUE(take(11000, limit));
    for (int i = 0; i < 1000; i++)
        quota_table_charge(&table, "t", &limit, 1, 11000);
    EXPECT_TRUE(take(15000, limit)) << "the debt is bounded";
    EXPECT_EQ(table.charged, 1005u);
}

TEST_F(QuotaTable, RestartLeavesBucketsNearlyEmpty) {
    quota_limit_t limit = {1, 100, 100};
    take(0, limit);
    quota_table_restart(&table);
    EXPECT_LT(take_all(100000, limit), 10);
}

TEST_F(QuotaTable, RemovesInactiveTenants) {
    quota_limit_t limit = {1, 10, 10};
    take(0, limit, "a");
    take(500, limit, "b");
    quota_table_expire(&table, 400);
    EXPECT_EQ(g_hash_table_size(table.buckets), 1u);
}

// Members restart at random times and lose their state; no window may exceed the bounds.
TEST(QuotaTables, NoWindowExceedsTheBoundsAfterRestarts) {
    for (unsigned seed = 1; seed <= 60; seed++) {
        std::mt19937 random(seed);
        const unsigned members = 1 + random() % 7;
        quota_limit_t limit = {1, 1 + static_cast<uint32_t>(random() % 80), 0};
        limit.burst = random() % (2 * limit.rate + 1);
        std::vector<quota_table_t> tables(members);
        for (quota_table_t &table : tables)
            quota_table_init(&table, &bounds);
        unsigned count = quota_split_count(&bounds, &limit, members);
        std::deque<uint64_t> granted;
        for (uint64_t now = 0; now < 20000; now += 2) {
            unsigned member = random() % count;
            bool crowd = now % 9000 < 6000;
            if (crowd && quota_table_take(&tables[member], "t", &limit, members, 0, now).granted)
                granted.push_back(now);
            while (!granted.empty() && granted.front() + bounds.window_ms <= now)
                granted.pop_front();
            EXPECT_LE(granted.size(), allowed(limit)) << "seed " << seed;
            if (random() % 1500 != 0)
                continue;
            quota_table_clear(&tables[member]);
            quota_table_init(&tables[member], &bounds);
        }
        for (quota_table_t &table : tables)
            quota_table_clear(&table);
    }
}

class QuotaChoice : public testing::Test {
  protected:
    quota_decision_t choose(unsigned shares, uint64_t now = 100, uint32_t random = 0) {
        return quota_choose(members.data(), members.size(), shares, now, random);
    }
    std::vector<quota_member_t> members = {
        {true, false, 30, 0}, {true, false, 10, 0}, {true, false, 20, 0}};
};

TEST_F(QuotaChoice, AsksOnlyMembersWithAShareEvenly) {
    std::vector<int> asked(3);
    for (uint32_t random = 0; random < 60; random++)
        asked[choose(2, 100, random).member]++;
    EXPECT_EQ(asked, (std::vector<int>{0, 30, 30}));
}

TEST_F(QuotaChoice, ReplacesUnreachableMembers) {
    members[1].reachable = false;
    EXPECT_EQ(choose(1).member, 2u);
    for (quota_member_t &member : members)
        member.reachable = false;
    EXPECT_EQ(choose(1).step, QUOTA_UNREACHABLE);
    EXPECT_EQ(quota_choose(nullptr, 0, 1, 0, 0).step, QUOTA_UNREACHABLE);
}

TEST_F(QuotaChoice, RefusesOnceAllAreOutOfTokensAndReturnsTheWait) {
    members[0].empty_until = 180;
    members[1].empty_until = 140;
    EXPECT_EQ(choose(3).member, 2u);
    members[2].empty_until = 500;
    quota_decision_t decision = choose(3);
    EXPECT_EQ(decision.step, QUOTA_REFUSE);
    EXPECT_EQ(decision.wait_ms, 40u);
    EXPECT_EQ(decision.member, 1u);
    EXPECT_EQ(choose(3, 140).step, QUOTA_ASK);
}

TEST_F(QuotaChoice, MembersWithoutResponseAreUnreachable) {
    for (quota_member_t &member : members)
        member.asked = true;
    EXPECT_EQ(choose(3).step, QUOTA_UNREACHABLE);
}

} // namespace
