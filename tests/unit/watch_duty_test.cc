// Who asks the key-value service anew, and when a watch is given up for a new one.
#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "core/configuration/watch_duty.h"
}

namespace {

constexpr uint64_t now = 100000;
constexpr uint64_t period = 300;
constexpr uint32_t lately = WATCH_WAIT_RENEWING_MS + WATCH_ANSWER_MS + 2 * period;

class WatchDuty : public testing::Test {
  protected:
    WatchDuty() {
        own = {50, now - 1000, now - 1000, 0, false};
        /* They are answered in turn, the last one just now. */
        for (unsigned i = 0; i < 3; i++)
            reports.push_back({true, i, now - 200, (2 - i) * WATCH_TURN_MS, 50, true, true});
    }
    watch_decision_t decide(uint64_t at = now, uint64_t tell_period = period) {
        return watch_duty_decide(&own, reports.data(), static_cast<unsigned>(reports.size()),
                                 tell_period, tell_period, at);
    }
    watch_state_t own;
    std::vector<watch_report_t> reports;
};

TEST_F(WatchDuty, RestsOnlyWhileThreeOthersBeforeItAskAnew) {
    EXPECT_FALSE(decide().on_duty);
    EXPECT_EQ(decide().wait_ms, unsigned{WATCH_WAIT_RESTING_MS});
    reports[2].before = false;
    EXPECT_TRUE(decide().on_duty);
    reports.clear();
    EXPECT_TRUE(decide().on_duty);
}

// Each found out by itself, and after seconds, that its watch had been cut off or its answer lost;
// when all three had, nobody saw a change for as long.
TEST_F(WatchDuty, TheNextLookOnceNoneWasAnsweredForMoreThanATurn) {
    uint64_t quiet_at = now - 200 + WATCH_TURN_MS + WATCH_QUIET_MS + 2 * period;
    EXPECT_FALSE(decide(quiet_at).on_duty);
    watch_decision_t decision = decide(quiet_at + 1);
    EXPECT_TRUE(decision.on_duty);
    reports[2].heard_at = quiet_at;
    EXPECT_FALSE(decide(quiet_at + 1).on_duty) << "one of them was answered";
}

TEST_F(WatchDuty, OnlyTheNextFewLookWhileItIsQuiet) {
    uint64_t quiet_at = now - 200 + WATCH_TURN_MS + WATCH_QUIET_MS + 2 * period;
    while (reports.size() < WATCH_PROBING)
        reports.push_back(
            {true, static_cast<unsigned>(reports.size()), now - 200, 0, 50, true, false});
    EXPECT_FALSE(decide(quiet_at + 1).on_duty);
}

TEST_F(WatchDuty, ThoseOnDutyAreAnsweredInTurn) {
    reports.resize(2);
    reports[0].answer_age = 500;
    uint64_t first = now - 200 - 500;
    uint64_t third = first + 2 * WATCH_TURN_MS;
    reports.push_back({false, 2, now - 200, 100, 50, true, true});
    EXPECT_EQ(now + decide().wait_ms, third) << "two turns after the first one";
    reports[1].before = false;
    EXPECT_EQ(now + decide().wait_ms, first + WATCH_TURN_MS);
    EXPECT_EQ(now + 1 + decide(now + 1).wait_ms, first + WATCH_TURN_MS + WATCH_WAIT_RENEWING_MS)
        << "its turn is too near: the next time";
    reports[0].before = false;
    EXPECT_EQ(decide().wait_ms, unsigned{WATCH_WAIT_RENEWING_MS});
}

TEST_F(WatchDuty, WithFewerOnDutyEachWaitsTheShorter) {
    for (watch_report_t &report : reports)
        report.before = false;
    EXPECT_EQ(decide().wait_ms, unsigned{WATCH_WAIT_RENEWING_MS});
    reports[1].renews = reports[2].renews = false;
    EXPECT_EQ(decide().wait_ms, unsigned{2 * WATCH_TURN_MS});
    reports[0].renews = false;
    EXPECT_EQ(decide().wait_ms, unsigned{WATCH_TURN_MS});
}

TEST_F(WatchDuty, TakesTheDutyOverOnceAnotherIsSilentOrUnanswered) {
    own.answered_at = own.begun_at = now - 20000;
    EXPECT_FALSE(decide().renew);
    reports[0].answer_age = lately;
    EXPECT_TRUE(decide().renew) << "its watch has not been answered for long";
    reports[0].answer_age = 2000;
    EXPECT_TRUE(decide(now + lately).renew) << "nothing was heard for long";
    reports[0].answer_age = UINT32_MAX;
    EXPECT_TRUE(decide().on_duty);
}

TEST_F(WatchDuty, AWatchThatFailsIsNotInOrderFromThenOn) {
    EXPECT_EQ(watch_answer_age(now - 500, 0, now), 500u);
    EXPECT_EQ(watch_answer_age(0, 0, now), UINT32_MAX);
    own.answered_at = own.begun_at = now - 20000;
    for (watch_report_t &report : reports)
        report.answer_age = watch_answer_age(now - 500, 0, now);
    EXPECT_FALSE(decide().renew);
    for (watch_report_t &report : reports)
        report.answer_age = watch_answer_age(now - 500, now - 100, now);
    EXPECT_TRUE(decide().renew) << "the service turns all three away";
}

// Three gateways on duty gave their watches up as the answers were on their way; for the others
// they then seemed to be out of order.
TEST_F(WatchDuty, AWatchThatIsAboutToBeAnsweredIsNotGivenUp) {
    reports.clear();
    own.begun_at = own.answered_at = now - WATCH_WAIT_RENEWING_MS;
    EXPECT_FALSE(decide().renew);
    EXPECT_FALSE(decide(now + WATCH_ANSWER_MS - 1).renew);
    EXPECT_TRUE(decide(now + WATCH_ANSWER_MS).renew);
}

TEST_F(WatchDuty, AWatchThatMissedAChangeIsGivenUp) {
    own.begun_at = own.answered_at = now - 20000;
    reports[1].changed = 51;
    EXPECT_FALSE(decide().renew) << "the change may be on its way";
    EXPECT_FALSE(decide(now + WATCH_LAG_MS - 1).renew);
    EXPECT_TRUE(decide(now + WATCH_LAG_MS).renew);
    own.begun_at = now + WATCH_LAG_MS;
    EXPECT_FALSE(decide(now + WATCH_LAG_MS + 1).renew) << "the new one has had no time yet";
    reports[0].heard_at = reports[1].heard_at = reports[2].heard_at = now + WATCH_TRIAL_MS;
    EXPECT_FALSE(decide(now + WATCH_LAG_MS + WATCH_TRIAL_MS - 1).renew);
    EXPECT_TRUE(decide(now + WATCH_LAG_MS + WATCH_TRIAL_MS).renew) << "nor did that one help";
    own.known = 51;
    EXPECT_FALSE(decide(now + WATCH_LAG_MS + WATCH_TRIAL_MS).renew);
    EXPECT_EQ(own.behind_since, 0U);
}

TEST_F(WatchDuty, NobodyRestsWhereNewsTravelSlowly) {
    EXPECT_TRUE(decide(now, 5000).on_duty);
}

TEST_F(WatchDuty, OnlyTheFirstAskOftenWhetherTheServiceIsBack) {
    EXPECT_FALSE(decide().patient);
    while (reports.size() < WATCH_PROBING)
        reports.push_back({true, 0, now - 200, UINT32_MAX, 50, true, false});
    EXPECT_TRUE(decide().patient) << "whatever became of their own watches";
    reports[0].heard_at = now - 2000;
    EXPECT_FALSE(decide().patient) << "one of them is silent";
    reports[0] = {false, 0, now - 200, 2000, 50, true, true};
    EXPECT_FALSE(decide().patient) << "one of them comes later";
}

// While the service was away nobody's watch was in order: all 259 gateways took the duty, and told
// the storage nodes a directory of hundreds of kilobytes at once.
TEST_F(WatchDuty, OnlyTheFirstThatAreUpAreFirstWhileTheServiceIsAway) {
    for (watch_report_t &report : reports)
        report.answer_age = UINT32_MAX;
    watch_decision_t decision = decide();
    EXPECT_TRUE(decision.on_duty);
    EXPECT_FALSE(decision.first);
    reports[0].heard_at = now - 2000;
    EXPECT_TRUE(decide().first);
}

// While the service was away all 865 gateways asked whether it was back.
TEST_F(WatchDuty, BelowAnotherGroupTheFirstThatAreUpFollowItAndTheOthersThem) {
    own.below = true;
    own.answered_at = own.begun_at = now - 60000;
    for (watch_report_t &report : reports)
        report.answer_age = UINT32_MAX;
    watch_decision_t decision = decide();
    EXPECT_FALSE(decision.on_duty);
    EXPECT_FALSE(decision.renew) << "whatever became of the service";
    EXPECT_TRUE(decision.patient);
    reports[0].heard_at = now - 2000;
    decision = decide();
    EXPECT_TRUE(decision.on_duty);
    EXPECT_TRUE(decision.renew) << "what it follows was not confirmed for a minute";
    own.answered_at = now - WATCH_WAIT_RENEWING_MS;
    EXPECT_FALSE(decide().renew) << "it was, by the group above";
}

TEST_F(WatchDuty, BelowAnotherGroupAMissedChangeShowsAsWell) {
    own.below = true;
    own.answered_at = own.begun_at = now - 1000;
    reports[1].changed = 51;
    EXPECT_FALSE(decide().renew);
    EXPECT_TRUE(decide(now + WATCH_LAG_MS).renew);
}

} // namespace
