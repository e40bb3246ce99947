// Turn and budget tables, quorum sizes of the store group, and message encoding.
#include <glib.h>

extern "C" {
#include "cluster/message.h"
#include "core/budget/budget_decision.h"
#include "core/budget/budget_table.h"
#include "core/quorum/store_group.h"
#include "core/turns/turn_table.h"
}

#include <gtest/gtest.h>

#include <array>
#include <string>
#include <vector>

namespace {

turn_t make_turn(const char *id, const char *parent, const char *input = "in",
                 const char *output = "out\n", uint32_t retention_ms = 1000) {
    return {g_strdup(id),
            g_strdup(parent),
            g_bytes_new(input, strlen(input)),
            g_bytes_new(output, strlen(output)),
            retention_ms,
            nullptr};
}

class TurnTable : public testing::Test {
  protected:
    void SetUp() override {
        turn_table_init(&table);
    }
    void TearDown() override {
        turn_table_clear(&table);
    }
    bool add(const char *id, const char *parent, uint64_t now, uint32_t segment = 1) {
        turn_t turn = make_turn(id, parent);
        bool added = turn_table_add(&table, &turn, segment, now);
        turn_clear(&turn);
        return added;
    }
    turn_table_t table;
};

TEST_F(TurnTable, KeepsATurnForItsRetentionTimeAndNoLonger) {
    EXPECT_TRUE(add("a", "", 0));
    turn_table_expire(&table, 999);
    EXPECT_NE(turn_table_find(&table, "a"), nullptr);
    turn_table_expire(&table, 1000);
    EXPECT_EQ(turn_table_find(&table, "a"), nullptr);
    EXPECT_EQ(table.bytes, 0u);
}

TEST_F(TurnTable, KeepsTheWholeChainAsLongAsItsLastTurn) {
    add("a", "", 0);
    add("b", "a", 900);
    add("c", "b", 1800);
    turn_table_expire(&table, 2700);
    EXPECT_NE(turn_table_find(&table, "a"), nullptr);
    EXPECT_NE(turn_table_find(&table, "b"), nullptr);
    turn_table_expire(&table, 2800);
    EXPECT_EQ(turn_table_find(&table, "a"), nullptr);
}

TEST_F(TurnTable, SeveralTurnsMayContinueOne) {
    add("a", "", 0);
    add("b", "a", 100);
    add("c", "a", 500);
    turn_table_expire(&table, 1200);
    EXPECT_EQ(turn_table_find(&table, "b"), nullptr);
    EXPECT_NE(turn_table_find(&table, "a"), nullptr);
    EXPECT_NE(turn_table_find(&table, "c"), nullptr);
}

// A replica that catches up may receive new turns before their ancestors.
TEST_F(TurnTable, KeepsATurnThatArrivesAfterItsChild) {
    add("c", "b", 900);
    add("b", "a", 0);
    add("a", "", 0);
    turn_table_expire(&table, 1800);
    EXPECT_NE(turn_table_find(&table, "a"), nullptr);
    EXPECT_NE(turn_table_find(&table, "b"), nullptr);
    EXPECT_EQ(g_hash_table_size(table.missing_until), 0u);
    turn_table_expire(&table, 1900);
    EXPECT_EQ(turn_table_find(&table, "a"), nullptr);
}

TEST_F(TurnTable, ForgetsAMissingTurnOnceItsDescendantsExpire) {
    add("b", "a", 0);
    turn_table_expire(&table, 999);
    EXPECT_EQ(g_hash_table_size(table.missing_until), 1u);
    turn_table_expire(&table, 1000);
    EXPECT_EQ(g_hash_table_size(table.missing_until), 0u);
}

TEST_F(TurnTable, ReturnsTheRemainingTime) {
    add("a", "", 0);
    add("b", "a", 600);
    EXPECT_EQ(turn_table_remaining_ms(&table, "a", 700), 900u);
    EXPECT_EQ(turn_table_remaining_ms(&table, "b", 1600), 1u);
    EXPECT_EQ(turn_table_remaining_ms(&table, "none", 0), 1u);
}

TEST_F(TurnTable, ATurnNeverChanges) {
    add("a", "", 0);
    turn_t other = make_turn("a", "", "other");
    EXPECT_FALSE(turn_table_add(&table, &other, 1, 0));
    turn_clear(&other);
    gsize length;
    const void *data = g_bytes_get_data(turn_table_find(&table, "a")->input, &length);
    EXPECT_EQ(std::string(static_cast<const char *>(data), length), "in");
}

TEST_F(TurnTable, OnlyTheTenantMayContinueItsTurn) {
    turn_t turn = make_turn("a", "");
    EXPECT_TRUE(turn_belongs_to(&turn, "one"));
    EXPECT_TRUE(turn_belongs_to(&turn, ""));
    turn.tenant = g_strdup("one");
    turn_table_add(&table, &turn, 1, 0);
    turn_clear(&turn);
    const turn_t *kept = turn_table_find(&table, "a");
    EXPECT_TRUE(turn_belongs_to(kept, "one"));
    EXPECT_FALSE(turn_belongs_to(kept, "two"));
    EXPECT_FALSE(turn_belongs_to(kept, ""));
}

TEST_F(TurnTable, ASegmentIsKeptAsLongAsTheChainsThatStartInIt) {
    add("a", "", 0, 1);
    add("b", "a", 900, 2);
    EXPECT_FALSE(turn_table_segment_unused(&table, 1, 1500));
    EXPECT_TRUE(turn_table_segment_unused(&table, 1, 1900));
    turn_table_keep_segment(&table, 1, 5000);
    EXPECT_FALSE(turn_table_segment_unused(&table, 1, 1900));
}

class BudgetTable : public testing::Test {
  protected:
    void SetUp() override {
        budget_table_init(&table);
    }
    void TearDown() override {
        budget_table_clear(&table);
    }
    budget_table_t table;
};

TEST_F(BudgetTable, ASummaryHoldsEveryChargeWhateverTheOrder) {
    budget_table_reserve(&table, "p", "1", 60, 0);
    budget_summary_t summary = budget_table_reserve(&table, "p", "2", 41, 0);
    EXPECT_EQ(summary.charged, 101u);
    budget_table_t other;
    budget_table_init(&other);
    budget_table_reserve(&other, "p", "2", 41, 0);
    budget_summary_t same = budget_table_reserve(&other, "p", "1", 60, 0);
    EXPECT_EQ(same.charged, summary.charged);
    EXPECT_EQ(same.digest, summary.digest);
    budget_table_settle(&other, "p", "1", 60, 0);
    budget_summary_t settled = budget_table_reserve(&other, "p", "2", 41, 0);
    EXPECT_EQ(settled.charged, summary.charged);
    EXPECT_NE(settled.digest, summary.digest) << "a settled charge is another one";
    EXPECT_EQ(budget_table_reserve(&table, "q", "1", 100, 0).charged, 100u);
    budget_table_clear(&other);
}

TEST(BudgetDecision, RequiresAQuorumOfEqualSummaries) {
    const budget_summary_t a = {90, 1};
    const budget_summary_t b = {90, 2};
    const budget_summary_t over = {101, 3};
    EXPECT_EQ(budget_decide(std::array{a, b, a}.data(), 3, 2, 100), BUDGET_GRANTED);
    EXPECT_EQ(budget_decide(std::array{over, b, over}.data(), 3, 2, 100), BUDGET_REFUSED);
    EXPECT_EQ(budget_decide(std::array{a, b, over}.data(), 3, 2, 100), BUDGET_UNDECIDED);
    EXPECT_EQ(budget_decide(std::array{a}.data(), 1, 2, 100), BUDGET_UNDECIDED);
    EXPECT_EQ(budget_decide(std::array{a, b, a, b}.data(), 4, 3, 100), BUDGET_UNDECIDED);
    EXPECT_EQ(budget_decide(nullptr, 0, 1, 100), BUDGET_UNDECIDED);
}

// Each replica lacks a different charge, and each by itself is within the budget.
TEST(BudgetDecision, ReplicasThatEachLackACharge) {
    const char *calls[] = {"1", "2", "3", "4"};
    budget_table_t replicas[3];
    std::vector<budget_summary_t> summaries;
    budget_table_t joined;
    budget_table_init(&joined);
    for (int i = 0; i < 3; i++) {
        budget_table_init(&replicas[i]);
        for (int call = 0; call < 3; call++)
            if (call != i)
                budget_table_reserve(&replicas[i], "p", calls[call], 30, 0);
        summaries.push_back(budget_table_reserve(&replicas[i], "p", calls[3], 30, 0));
        EXPECT_LE(summaries.back().charged, 100u);
        budget_table_each(
            &replicas[i], "p",
            [](void *user, const budget_charge_t *charge) {
                budget_table_merge(static_cast<budget_table_t *>(user), charge, 0);
            },
            &joined);
        budget_table_clear(&replicas[i]);
    }
    EXPECT_EQ(budget_decide(summaries.data(), 3, 2, 100), BUDGET_UNDECIDED);
    EXPECT_EQ(budget_table_charged(&joined, "p"), 120u);
    budget_table_clear(&joined);
}

TEST_F(BudgetTable, SettlingReleasesUnusedTokens) {
    budget_table_reserve(&table, "p", "1", 60, 0);
    budget_table_settle(&table, "p", "1", 10, 0);
    EXPECT_EQ(budget_table_charged(&table, "p"), 10u);
    EXPECT_EQ(budget_table_reserve(&table, "p", "2", 90, 0).charged, 100u);
}

TEST_F(BudgetTable, TheSameCallReservesOnce) {
    budget_table_reserve(&table, "p", "1", 60, 0);
    budget_table_reserve(&table, "p", "1", 60, 0);
    EXPECT_EQ(budget_table_charged(&table, "p"), 60u);
}

TEST_F(BudgetTable, MergingNeverFreesAReserveAndTakesASettlement) {
    char program[] = "p";
    char call[] = "1";
    budget_charge_t reserve = {program, call, 60, 0, false, false, 0};
    budget_charge_t settled = {program, call, 60, 20, true, false, 0};
    EXPECT_FALSE(budget_table_covers(&table, &reserve));
    budget_table_merge(&table, &reserve, 0);
    EXPECT_TRUE(budget_table_covers(&table, &reserve));
    EXPECT_FALSE(budget_table_covers(&table, &settled));
    EXPECT_EQ(budget_table_charged(&table, "p"), 60u);
    budget_table_merge(&table, &settled, 0);
    EXPECT_EQ(budget_table_charged(&table, "p"), 20u);
    budget_table_merge(&table, &reserve, 0);
    EXPECT_EQ(budget_table_charged(&table, "p"), 20u);
}

// With a full or failing disk the reserve is in memory although its write failed.
TEST(ReplicaBudgets, CoverOnlyChargesOnDisk) {
    budget_table_t replica;
    budget_table_init_replica(&replica);
    char program[] = "p";
    char call[] = "1";
    budget_charge_t reserve = {program, call, 60, 0, false, false, 0};
    budget_charge_t settled = {program, call, 60, 20, true, false, 0};
    budget_table_merge(&replica, &reserve, 0);
    EXPECT_FALSE(budget_table_covers(&replica, &reserve));
    budget_table_mark_durable(&replica, &reserve);
    EXPECT_TRUE(budget_table_covers(&replica, &reserve));
    budget_table_settle(&replica, "p", "1", 20, 0);
    budget_table_mark_durable(&replica, &reserve);
    EXPECT_FALSE(budget_table_covers(&replica, &reserve)) << "the reserve's write completed late";
    budget_table_mark_durable(&replica, &settled);
    EXPECT_TRUE(budget_table_covers(&replica, &settled));
    EXPECT_TRUE(budget_table_covers(&replica, &reserve));
    budget_table_clear(&replica);
}

TEST_F(BudgetTable, ExpiresOnlyInactivePrograms) {
    budget_table_reserve(&table, "old", "1", 60, 10);
    budget_table_reserve(&table, "new", "1", 60, 20);
    budget_table_expire(&table, 20);
    EXPECT_EQ(budget_table_charged(&table, "old"), 0u);
    EXPECT_EQ(budget_table_charged(&table, "new"), 60u);
}

TEST(StoreGroup, AnyReadQuorumMeetsAnyWriteQuorum) {
    for (unsigned members = 1; members < 20; members++) {
        EXPECT_GT(store_write_quorum(members) + store_read_quorum(members), members);
        EXPECT_GT(2 * store_write_quorum(members), members) << "two reserves must meet";
    }
}

// Members of the old generation that did not take part in the catch-up of the next one must be too
// few to report its records as absent.
TEST(StoreGroup, TheRestOfAnOldGenerationIsNoAbsenceQuorum) {
    for (unsigned members = 1; members < 20; members++) {
        unsigned left_behind = members - store_read_quorum(members);
        EXPECT_LT(left_behind, store_absence_quorum(members)) << members;
        EXPECT_GE(store_absence_quorum(members), store_read_quorum(members)) << members;
    }
}

store_group_t *make_group(std::initializer_list<const char *> names) {
    store_group_t *group = store_group_new();
    group->generation = 1;
    group->target = static_cast<uint32_t>(names.size());
    for (const char *name : names)
        store_group_add(group->members, name, "127.0.0.1:1", "z");
    return group;
}

bool durable(std::initializer_list<const char *> previous,
             std::initializer_list<const char *> members, store_turn_copies_t turn) {
    store_group_t *group = make_group(members);
    for (const char *name : previous)
        store_group_add(group->previous, name, "127.0.0.1:1", "z");
    bool result = store_turn_durable(group, &turn);
    store_group_free(group);
    return result;
}

TEST(StoreGroup, ADurableTurnHasACopyOnACompleteMember) {
    EXPECT_FALSE(durable({}, {"a", "b", "c"}, {2, 0, 0}));
    EXPECT_FALSE(durable({"a", "b", "c"}, {"b", "c", "d"}, {2, 0, 1}))
        << "the old generation may not know of this one";
    EXPECT_TRUE(durable({"a", "b", "c"}, {"b", "c", "d"}, {2, 1, 1}));
    EXPECT_FALSE(durable({"a", "b", "c"}, {"b", "c", "d"}, {1, 1, 1}));
    EXPECT_FALSE(durable({"a", "b", "c"}, {"a", "b", "c", "d"}, {2, 2, 2}));
    EXPECT_TRUE(durable({"a", "b", "c"}, {"a", "b", "c", "d"}, {3, 1, 2}));
}

// Or on a write quorum of the generation before, which then can't report it as absent.
TEST(StoreGroup, ADurableTurnOfNoCompleteMemberIsDurableInThePreviousGenerationToo) {
    EXPECT_TRUE(durable({"a", "b", "c"}, {"b", "c", "d"}, {2, 0, 2}));
    EXPECT_FALSE(durable({"a", "b", "c", "d"}, {"b", "c", "d"}, {2, 0, 2}));
    EXPECT_TRUE(durable({"a", "b", "c", "d"}, {"b", "c", "d"}, {3, 0, 3}));
    EXPECT_FALSE(durable({"a", "b", "c"}, {"a", "b", "c", "d"}, {2, 0, 2}));
    EXPECT_FALSE(durable({"a", "b"}, {"a", "b", "c"}, {2, 0, 1}));
    EXPECT_TRUE(durable({"a"}, {"a", "b"}, {2, 0, 1}));
    EXPECT_FALSE(durable({}, {"a", "b", "c"}, {3, 0, 0})) << "there is no previous generation";
}

TEST(StoreGroup, AMemberWithItsDiskCopiesFromThePreviousGeneration) {
    store_group_t *group = make_group({"a", "b", "c", "d"});
    store_group_t *next = store_group_next(group);
    store_group_add(next->members, "a", "127.0.0.1:1", "z");
    store_group_add(next->members, "b", "127.0.0.1:1", "z");
    store_group_add(next->members, "e", "127.0.0.1:1", "z");
    store_catch_up_plan_t kept = store_group_catch_up(next, "a", 1, 0);
    EXPECT_EQ(kept.sources, next->previous);
    EXPECT_EQ(kept.needed, 1u); // The read quorum is 2, itself included.
    EXPECT_EQ(kept.min_source_generation, 1u);
    store_group_free(next);
    store_group_free(group);
}

TEST(StoreGroup, ANewMemberCopiesFromThePreviousGeneration) {
    store_group_t *group = make_group({"a", "b", "c"});
    store_group_t *next = store_group_next(group);
    for (const char *name : {"b", "c", "d"})
        store_group_add(next->members, name, "127.0.0.1:1", "z");
    store_catch_up_plan_t joined = store_group_catch_up(next, "d", 0, 2);
    EXPECT_EQ(joined.sources, next->previous);
    EXPECT_EQ(joined.needed, 2u);
    EXPECT_EQ(joined.min_source_generation, 1u);
    EXPECT_TRUE(joined.left_last);
    EXPECT_EQ(store_group_catch_up(next, "d", 0, 1).sources, next->members) << "in an earlier one";
    EXPECT_EQ(store_group_catch_up(next, "b", 0, 2).sources, next->members) << "it was a member";
    store_group_free(next);
    store_group_free(group);
}

TEST(StoreGroup, AMemberWithAnEmptyDiskCopiesFromItsOwnGeneration) {
    store_group_t *group = make_group({"a", "b", "c"});
    store_catch_up_plan_t empty = store_group_catch_up(group, "a", 0, 0);
    EXPECT_EQ(empty.sources, group->members);
    EXPECT_EQ(empty.needed, 2u); // Its records may be on only one other member.
    EXPECT_EQ(empty.min_source_generation, 1u);
    store_group_free(group);
}

TEST(StoreGroup, AMemberThatMissedAGenerationCountsAsEmpty) {
    store_group_t *group = make_group({"a", "b", "c"});
    group->generation = 5;
    store_group_add(group->previous, "a", "127.0.0.1:1", "z");
    EXPECT_EQ(store_group_catch_up(group, "a", 3, 0).sources, group->members);
    EXPECT_EQ(store_group_catch_up(group, "b", 4, 0).sources, group->members);
    EXPECT_EQ(store_group_catch_up(group, "a", 4, 0).sources, group->previous);
    store_group_free(group);
}

TEST(StoreGroup, EncodingRoundTripsAndTruncationIsRejected) {
    store_group_t *group = make_group({"b", "a"});
    GBytes *bytes = store_group_encode(group);
    gsize length;
    const auto *data = static_cast<const uint8_t *>(g_bytes_get_data(bytes, &length));
    store_group_t *copy = store_group_decode(data, length);
    ASSERT_NE(copy, nullptr);
    EXPECT_EQ(copy->members->len, 2u);
    EXPECT_STREQ(g_array_index(copy->members, store_member_t, 0).name, "a");
    store_group_free(copy);
    for (gsize cut = 0; cut < length; cut++)
        EXPECT_EQ(store_group_decode(data, cut), nullptr);
    g_bytes_unref(bytes);
    store_group_free(group);
}

/** The tenant of the first turn after encoding and decoding; "!" if decoding fails. */
std::string tenant_after_encoding(message_type_t type, const char *tenant, gsize *length) {
    message_t message;
    message_init(&message, type);
    turn_t turn = make_turn("a", "b");
    turn.tenant = g_strdup(tenant);
    message_add_turn(&message, &turn);
    turn_clear(&turn);
    GBytes *bytes = message_encode(&message);
    message_clear(&message);
    const void *data = g_bytes_get_data(bytes, length);
    message_t copy;
    std::string found = "!";
    if (message_decode(&copy, data, *length) && copy.turns->len == 1) {
        const char *read = g_array_index(copy.turns, turn_t, 0).tenant;
        found = read == nullptr ? "" : read;
    }
    message_clear(&copy);
    g_bytes_unref(bytes);
    return found;
}

TEST(Message, TurnsWithAndWithoutTenantRoundTrip) {
    for (message_type_t type : {REQUEST_PUT_TURN, RESPONSE_TURNS, RESPONSE_CHAIN}) {
        gsize with;
        gsize without;
        EXPECT_EQ(tenant_after_encoding(type, "one", &with), "one");
        EXPECT_EQ(tenant_after_encoding(type, nullptr, &without), "");
        /* A turn without a tenant is encoded in the format that predates tenants. */
        EXPECT_EQ(with, without + strlen("one") + 1);
    }
}

TEST(Message, EveryTypeRoundTripsAndTruncationIsRejected) {
    for (unsigned type = 0; type < MESSAGE_TYPE_COUNT; type++) {
        message_t message;
        message_init(&message, static_cast<message_type_t>(type));
        message.number = 7;
        message.generation = 3;
        message.charge = {g_strdup("p"), g_strdup("c"), 5, 2, true, false, 0};
        message.turn_id = g_strdup("t");
        message.group = g_bytes_new("g", 1);
        turn_t turn = make_turn("a", "b");
        message_add_turn(&message, &turn);
        turn_clear(&turn);
        g_ptr_array_add(message.ids, g_strdup("x"));
        GBytes *bytes = message_encode(&message);
        gsize length;
        const auto *data = static_cast<const uint8_t *>(g_bytes_get_data(bytes, &length));
        message_t copy;
        EXPECT_TRUE(message_decode(&copy, data, length)) << type;
        EXPECT_EQ(copy.type, type);
        EXPECT_EQ(copy.number, 7u);
        EXPECT_EQ(copy.generation, 3u);
        if (type == REQUEST_PUT_TURN) {
            ASSERT_EQ(copy.turns->len, 1u);
            EXPECT_STREQ(g_array_index(copy.turns, turn_t, 0).parent, "b");
        }
        if (type == REQUEST_SETTLE) {
            EXPECT_EQ(copy.charge.spent, 2u);
        }
        message_clear(&copy);
        for (gsize cut = 0; cut < length; cut++) {
            message_t broken;
            EXPECT_FALSE(message_decode(&broken, data, cut));
            message_clear(&broken);
        }
        g_bytes_unref(bytes);
        message_clear(&message);
    }
}

} // namespace
