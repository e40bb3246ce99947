// The clock by which records expire must continue across restarts and stop while the node is down.
extern "C" {
#include "core/turns/record_clock.h"
}

#include <gtest/gtest.h>

#include <vector>

namespace {

/** A node that writes marks and restarts; the caller's time restarts at 0 each time. */
class Node {
  public:
    void start() {
        clock = {};
        for (uint64_t mark : marks)
            record_clock_replay(&clock, mark);
        record_clock_start(&clock, 0);
    }
    /** Writes a record every 100 ms until @p until. */
    void write(uint64_t until) {
        uint64_t mark = 0;
        for (uint64_t now = 0; now <= until; now += 100)
            if (record_clock_next_mark(&clock, now, &mark))
                marks.push_back(mark);
    }
    uint64_t time(uint64_t now) const {
        return record_clock_time(&clock, now);
    }
    std::vector<uint64_t> marks;

  private:
    record_clock_t clock = {};
};

TEST(RecordClock, ContinuesFromTheEndOfTheLog) {
    Node node;
    node.start();
    EXPECT_EQ(node.time(0), 0U);
    node.write(60000);
    node.start();
    EXPECT_EQ(node.time(0), 60000U);
    EXPECT_EQ(node.time(500), 60500U);
    node.write(5000);
    node.start();
    EXPECT_EQ(node.time(0), 65000U);
}

TEST(RecordClock, WritesAMarkEachInterval) {
    Node node;
    node.start();
    node.write(10 * RECORD_MARK_INTERVAL_MS);
    EXPECT_EQ(node.marks.size(), 11U);
}

TEST(RecordClock, WritesAMarkAtOnceAfterARestart) {
    Node node;
    node.start();
    node.write(0);
    node.start();
    node.write(0);
    EXPECT_EQ(node.marks.size(), 2U);
}

TEST(RecordClock, ALostMarkNeverMakesRecordsOlder) {
    Node node;
    node.start();
    node.write(60000);
    node.marks.pop_back();
    node.start();
    EXPECT_EQ(node.time(0), 60000U - RECORD_MARK_INTERVAL_MS);
}

TEST(RecordClock, CountsFromTheFirstRemainingMark) {
    Node node;
    node.start();
    node.write(60000);
    node.marks.erase(node.marks.begin(), node.marks.begin() + 50000 / RECORD_MARK_INTERVAL_MS);
    node.start();
    EXPECT_EQ(node.time(0), 10000U);
    node.write(2000);
    EXPECT_EQ(node.marks.back(), 62000U);
}

TEST(RecordClock, ALogWithoutMarksHasNoAge) {
    Node node;
    node.start();
    EXPECT_EQ(node.time(0), 0U);
    EXPECT_EQ(node.time(1000), 1000U);
}

TEST(RecordClock, AnEarlierMarkDoesNotSetTheClockBack) {
    record_clock_t clock = {};
    record_clock_replay(&clock, 5000);
    record_clock_replay(&clock, 9000);
    record_clock_replay(&clock, 4000);
    EXPECT_EQ(record_clock_time(&clock, 0), 4000U);
}

// Guards against records that expire up to an interval of marks before their time.
TEST(RecordClock, DatesNoRecordBeforeItWasWritten) {
    record_clock_t clock = {};
    record_clock_start(&clock, 0);
    uint64_t mark = 0, next_mark = 0, written_at = 0;
    ASSERT_TRUE(record_clock_next_mark(&clock, 0, &mark));
    while (!record_clock_next_mark(&clock, written_at + 1, &next_mark))
        written_at++;
    record_clock_t replayed = {};
    record_clock_replay(&replayed, mark);
    EXPECT_GE(record_clock_latest_time(&replayed), written_at);
}

} // namespace
