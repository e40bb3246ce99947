#include "raft_network.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace {

bool contains(const std::vector<std::string> &list, const std::string &text) {
    return std::find(list.begin(), list.end(), text) != list.end();
}

TEST(Raft, ElectsOneLeaderAndAppliesEverywhere) {
    RaftNetwork network(1, 5);
    network.run(2000);
    ASSERT_NE(network.leader(), 0u);
    ASSERT_TRUE(network.propose("a"));
    ASSERT_TRUE(network.propose("b"));
    network.run(200);
    for (auto &[id, member] : network.members)
        EXPECT_EQ(member->applied, (std::vector<std::string>{"a", "b"})) << id;
}

TEST(Raft, IdleGroupSendsNothing) {
    RaftNetwork network(2, 5);
    network.run(2000);
    ASSERT_TRUE(network.propose("a"));
    network.run(1000);
    uint64_t before = network.messages_sent;
    network.run(3600 * 1000);
    EXPECT_EQ(network.messages_sent, before);
}

TEST(Raft, SurvivesTheLossOfAnyTwoOfFive) {
    for (uint64_t seed = 1; seed <= 40; seed++) {
        RaftNetwork network(seed, 5);
        network.loss = 0.05;
        network.run(3000);
        ASSERT_TRUE(network.propose("kept")) << seed;
        network.run(600);
        std::vector<std::string> acknowledged = network.members[network.leader()]->applied;
        instance_id_t first = network.leader();
        instance_id_t second = first % 5 + 1;
        network.crash(first);
        network.crash(second);
        network.run(4000);
        ASSERT_NE(network.leader(), 0u) << seed;
        ASSERT_TRUE(network.propose("after")) << seed;
        network.run(1000);
        std::vector<std::string> agreed = network.agreed();
        for (const std::string &command : acknowledged)
            EXPECT_TRUE(contains(agreed, command)) << seed;
        EXPECT_TRUE(contains(agreed, "after")) << seed;
    }
}

TEST(Raft, PausedLeaderIsFencedAndAnswersNoRead) {
    RaftNetwork network(3, 5);
    network.run(2000);
    instance_id_t old = network.leader();
    network.members[old]->paused = true;
    network.report_dead(old);
    network.run(3000);
    ASSERT_NE(network.leader(), old);
    ASSERT_TRUE(network.propose("new"));
    network.run(200);
    network.members[old]->paused = false;
    GPtrArray *output = g_ptr_array_new();
    raft_t *raft = network.members[old]->raft;
    uint64_t ticket = raft_barrier(raft, network.now_ms, output);
    network.flush(output);
    network.run(500);
    EXPECT_FALSE(ticket != 0 && raft_role(raft) == RAFT_LEADER &&
                 raft_barrier_passed(raft, ticket));
    EXPECT_EQ(raft_role(raft), RAFT_FOLLOWER);
    g_ptr_array_unref(output);
}

TEST(Raft, LeaderWithoutQuorumStepsDown) {
    RaftNetwork network(4, 5);
    network.run(2000);
    instance_id_t old = network.leader();
    for (auto &[id, member] : network.members)
        network.cut.insert({id, old});
    ASSERT_TRUE(network.propose("uncertain"));
    network.run(2000);
    EXPECT_NE(raft_role(network.members[old]->raft), RAFT_LEADER);
    network.agreed();
}

TEST(Raft, ReplacementJoinsBySnapshotAndOldVoterIsRemoved) {
    RaftNetwork network(5, 5);
    network.run(2000);
    for (int i = 0; i < 100; i++) {
        network.propose("c" + std::to_string(i));
        network.run(20);
    }
    instance_id_t lost = network.leader() % 5 + 1;
    network.crash(lost);
    instance_id_t joiner = network.add_member();
    GPtrArray *output = g_ptr_array_new();
    raft_t *leader = network.members[network.leader()]->raft;
    ASSERT_TRUE(raft_add_learner(leader, joiner, network.now_ms, output));
    network.flush(output);
    network.run(1000);
    EXPECT_EQ(network.members[joiner]->applied.size(), 100u);
    ASSERT_TRUE(raft_promote(leader, joiner, network.now_ms, output));
    network.flush(output);
    network.run(500);
    ASSERT_TRUE(raft_remove(leader, lost, network.now_ms, output));
    network.flush(output);
    network.run(500);
    EXPECT_EQ(raft_configuration(leader)->voter_count, 5u);
    EXPECT_TRUE(raft_is_voter(raft_configuration(leader), joiner));
    EXPECT_FALSE(raft_is_voter(raft_configuration(leader), lost));
    g_ptr_array_unref(output);
}

TEST(Raft, TransfersLeadershipWithoutLosingEntries) {
    RaftNetwork network(6, 3);
    network.run(2000);
    ASSERT_TRUE(network.propose("a"));
    network.run(200);
    instance_id_t old = network.leader();
    instance_id_t target = old % 3 + 1;
    GPtrArray *output = g_ptr_array_new();
    ASSERT_TRUE(raft_transfer(network.members[old]->raft, target, output));
    network.flush(output);
    network.run(300);
    EXPECT_EQ(network.leader(), target);
    ASSERT_TRUE(network.propose("b"));
    network.run(200);
    EXPECT_EQ(network.agreed(), (std::vector<std::string>{"a", "b"}));
    g_ptr_array_unref(output);
}

/** Loss, duplication, reordering, one-way cuts and pauses at random, never a majority gone. */
TEST(Raft, AgreesUnderRandomFaults) {
    for (uint64_t seed = 100; seed < 160; seed++) {
        RaftNetwork network(seed, 5);
        std::mt19937_64 random(seed);
        network.loss = 0.1;
        network.duplication = 0.1;
        network.delay_maximum_ms = 40;
        std::vector<std::string> acknowledged;
        for (int round = 0; round < 60; round++) {
            network.propose("s" + std::to_string(round));
            network.run(static_cast<int64_t>(random() % 300));
            if (random() % 4 == 0)
                network.cut.insert({random() % 5 + 1, random() % 5 + 1});
            if (random() % 3 == 0)
                network.cut.clear();
            instance_id_t id = random() % 5 + 1;
            for (auto &[other, member] : network.members)
                member->paused = other == id && random() % 2 == 0;
            if (random() % 3 == 0)
                network.report_dead(id);
            instance_id_t leader = network.leader();
            if (leader != 0 && network.members[leader]->applied.size() > acknowledged.size())
                acknowledged = network.members[leader]->applied;
            network.agreed();
        }
        network.cut.clear();
        network.loss = 0;
        for (auto &[id, member] : network.members) {
            member->paused = false;
            raft_leader_lost(member->raft, network.now_ms);
        }
        network.run(5000);
        ASSERT_TRUE(network.propose("last")) << seed;
        network.run(1000);
        std::vector<std::string> agreed = network.agreed();
        ASSERT_GE(agreed.size(), acknowledged.size()) << seed;
        for (size_t i = 0; i < acknowledged.size(); i++)
            EXPECT_EQ(agreed[i], acknowledged[i]) << seed;
    }
}

} // namespace
