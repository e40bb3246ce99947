// Replicas with equal records must have equal digests; differing records must be in differing
// buckets.
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "core/digest/record_digest.h"
}

namespace {

constexpr uint64_t now = 1000;

class Replica {
  public:
    Replica() {
        turn_table_init(&turns);
        budget_table_init_replica(&budgets);
    }
    ~Replica() {
        turn_table_clear(&turns);
        budget_table_clear(&budgets);
    }
    Replica(const Replica &) = delete;
    Replica &operator=(const Replica &) = delete;

    void add_turn(const std::string &id) {
        turn_t turn = {g_strdup(id.c_str()), g_strdup(""), g_bytes_new("i", 1),
                       g_bytes_new("o", 1),  60000,        nullptr};
        turn_table_add(&turns, &turn, 0, now);
        turn_clear(&turn);
    }
    void fill(int first, int last) {
        for (int i = first; i < last; i++) {
            add_turn("turn" + std::to_string(i));
            reserve("call" + std::to_string(i));
        }
    }
    /** Adds a reserve that is on disk. */
    void reserve(const std::string &call) {
        budget_table_reserve(&budgets, "p", call.c_str(), 9, now);
        note_kept(call, 9, false);
    }
    void settle(const std::string &call) {
        budget_table_settle(&budgets, "p", call.c_str(), 9, now);
        note_kept(call, 9, true);
    }
    void note_kept(const std::string &call, uint64_t amount, bool settled) {
        char program[] = "p";
        std::string id = call;
        budget_charge_t charge = {program, id.data(), amount, amount, settled, false, 0};
        budget_table_mark_durable(&budgets, &charge);
    }
    record_digest_t digest() const {
        record_digest_t digest;
        record_digest_compute(&digest, &turns, &budgets);
        return digest;
    }

    turn_table_t turns;
    budget_table_t budgets;
};

bool same(const record_digest_t &a, const record_digest_t &b) {
    return memcmp(&a, &b, sizeof a) == 0;
}

TEST(RecordDigest, EqualSetsHaveEqualDigestsInAnyOrder) {
    Replica a, b;
    a.fill(0, 1000);
    b.fill(500, 1000);
    b.fill(0, 500);
    EXPECT_TRUE(same(a.digest(), b.digest()));
}

TEST(RecordDigest, MissingRecordsAreInDifferingBuckets) {
    Replica a, b;
    a.fill(0, 1000);
    b.fill(0, 997);
    record_digest_t own = a.digest();
    record_digest_t theirs = b.digest();
    unsigned sent = 0;
    for (int i = 0; i < 1000; i++) {
        std::string turn = "turn" + std::to_string(i);
        std::string call = "call" + std::to_string(i);
        bool turn_sent = !record_digest_same_turns(&own, &theirs, turn.c_str());
        bool charge_sent = !record_digest_same_charges(&own, &theirs, call.c_str());
        if (i >= 997) {
            EXPECT_TRUE(turn_sent) << turn;
            EXPECT_TRUE(charge_sent) << call;
        }
        sent += turn_sent;
    }
    EXPECT_LT(sent, 30U) << "few equal records are sent beside those that differ";
}

TEST(RecordDigest, ASettledChargeDiffersFromItsReserve) {
    Replica a, b;
    a.fill(0, 10);
    b.fill(0, 10);
    a.settle("call3");
    record_digest_t own = a.digest();
    record_digest_t theirs = b.digest();
    EXPECT_FALSE(record_digest_same_charges(&own, &theirs, "call3"));
    EXPECT_TRUE(record_digest_same_turns(&own, &theirs, "turn3"));
}

// A reserve whose write failed exists in memory only and must still be copied.
TEST(RecordDigest, AReserveInMemoryOnlyDiffersFromOneOnDisk) {
    Replica a, b;
    a.fill(0, 10);
    b.fill(0, 9);
    b.add_turn("turn9");
    budget_table_reserve(&b.budgets, "p", "call9", 9, now);
    record_digest_t own = a.digest();
    record_digest_t theirs = b.digest();
    EXPECT_FALSE(record_digest_same_charges(&own, &theirs, "call9"));
    b.note_kept("call9", 9, false);
    EXPECT_TRUE(same(a.digest(), b.digest()));
}

TEST(RecordDigest, ExpiredRecordsLeaveTheDigest) {
    Replica a, empty;
    a.fill(0, 100);
    turn_table_expire(&a.turns, now + 60000);
    budget_table_expire(&a.budgets, now + 1);
    EXPECT_TRUE(same(a.digest(), empty.digest()));
}

TEST(RecordDigest, EncodingRoundTrips) {
    Replica a;
    a.fill(0, 100);
    record_digest_t own = a.digest();
    GBytes *bytes = record_digest_encode(&own);
    record_digest_t read;
    EXPECT_TRUE(record_digest_decode(&read, bytes));
    EXPECT_TRUE(same(own, read));
    g_bytes_unref(bytes);
}

TEST(RecordDigest, AnInvalidDigestEqualsThatOfEmptyTables) {
    Replica a, empty;
    a.fill(0, 100);
    record_digest_t own = a.digest();
    record_digest_t theirs = own;
    GBytes *noise = g_bytes_new("noise", 5);
    EXPECT_FALSE(record_digest_decode(&theirs, noise));
    EXPECT_TRUE(same(theirs, empty.digest()));
    EXPECT_FALSE(record_digest_decode(&theirs, nullptr));
    EXPECT_FALSE(record_digest_same_turns(&own, &theirs, "turn3"));
    g_bytes_unref(noise);
}

} // namespace
