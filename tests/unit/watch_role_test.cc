// Which processes renew their watches of the key-value service, and when.
#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "core/configuration/watch_role.h"
}

namespace {

constexpr uint64_t now = 100000;
constexpr uint64_t period = 300;
constexpr uint32_t health_timeout = WATCH_WAIT_RENEWING_MS + WATCH_RESPONSE_TIMEOUT_MS + 2 * period;

class WatchRole : public testing::Test {
  protected:
    WatchRole() {
        own = {50, now - 1000, now - 1000, 0, false};
        /* Staggered responses, the latest one just before the report. */
        for (unsigned i = 0; i < 3; i++)
            reports.push_back({true, i, now - 200, (2 - i) * WATCH_STAGGER_MS, 50, true, true});
    }
    watch_decision_t decide(uint64_t at = now, uint64_t report_period = period) {
        return watch_role_decide(&own, reports.data(), static_cast<unsigned>(reports.size()),
                                 report_period, report_period, at);
    }
    watch_state_t own;
    std::vector<watch_report_t> reports;
};

TEST_F(WatchRole, RestsOnlyWhileThreeBeforeItRenew) {
    EXPECT_FALSE(decide().renewing);
    EXPECT_EQ(decide().wait_ms, unsigned{WATCH_WAIT_RESTING_MS});
    reports[2].before = false;
    EXPECT_TRUE(decide().renewing);
    reports.clear();
    EXPECT_TRUE(decide().renewing);
}

// If all renewing processes are isolated or miss a response, changes must not stay unseen until
// their timeouts expire.
TEST_F(WatchRole, TheNextRenewOnceResponsesAreOverdue) {
    uint64_t overdue_at = now - 200 + WATCH_STAGGER_MS + WATCH_OVERDUE_MS + 2 * period;
    EXPECT_FALSE(decide(overdue_at).renewing);
    watch_decision_t decision = decide(overdue_at + 1);
    EXPECT_TRUE(decision.renewing);
    reports[2].last_received_at = overdue_at;
    EXPECT_FALSE(decide(overdue_at + 1).renewing) << "one of them was answered";
}

TEST_F(WatchRole, OnlyTheNextFewRenewWhileResponsesAreOverdue) {
    uint64_t overdue_at = now - 200 + WATCH_STAGGER_MS + WATCH_OVERDUE_MS + 2 * period;
    while (reports.size() < WATCH_FREQUENT_RETRIERS)
        reports.push_back(
            {true, static_cast<unsigned>(reports.size()), now - 200, 0, 50, true, false});
    EXPECT_FALSE(decide(overdue_at + 1).renewing);
}

TEST_F(WatchRole, RenewingProcessesStaggerTheirWaits) {
    reports.resize(2);
    reports[0].answer_age = 500;
    uint64_t first = now - 200 - 500;
    uint64_t third = first + 2 * WATCH_STAGGER_MS;
    reports.push_back({false, 2, now - 200, 100, 50, true, true});
    EXPECT_EQ(now + decide().wait_ms, third) << "two intervals after the first response";
    reports[1].before = false;
    EXPECT_EQ(now + decide().wait_ms, first + WATCH_STAGGER_MS);
    EXPECT_EQ(now + 1 + decide(now + 1).wait_ms, first + WATCH_STAGGER_MS + WATCH_WAIT_RENEWING_MS)
        << "the wait is too short: one cycle later";
    reports[0].before = false;
    EXPECT_EQ(decide().wait_ms, unsigned{WATCH_WAIT_RENEWING_MS});
}

TEST_F(WatchRole, WithFewerRenewingTheCycleIsShorter) {
    for (watch_report_t &report : reports)
        report.before = false;
    EXPECT_EQ(decide().wait_ms, unsigned{WATCH_WAIT_RENEWING_MS});
    reports[1].renews = reports[2].renews = false;
    EXPECT_EQ(decide().wait_ms, unsigned{2 * WATCH_STAGGER_MS});
    reports[0].renews = false;
    EXPECT_EQ(decide().wait_ms, unsigned{WATCH_STAGGER_MS});
}

TEST_F(WatchRole, TakesOverFromAnUnresponsiveOrUnansweredProcess) {
    own.answered_at = own.started_at = now - 20000;
    EXPECT_FALSE(decide().renew);
    reports[0].answer_age = health_timeout;
    EXPECT_TRUE(decide().renew) << "its watch has not been answered for too long";
    reports[0].answer_age = 2000;
    EXPECT_TRUE(decide(now + health_timeout).renew) << "no report was received for too long";
    reports[0].answer_age = UINT32_MAX;
    EXPECT_TRUE(decide().renewing);
}

TEST_F(WatchRole, AFailedWatchIsUnhealthyAtOnce) {
    EXPECT_EQ(watch_answer_age(now - 500, 0, now), 500u);
    EXPECT_EQ(watch_answer_age(0, 0, now), UINT32_MAX);
    own.answered_at = own.started_at = now - 20000;
    for (watch_report_t &report : reports)
        report.answer_age = watch_answer_age(now - 500, 0, now);
    EXPECT_FALSE(decide().renew);
    for (watch_report_t &report : reports)
        report.answer_age = watch_answer_age(now - 500, now - 100, now);
    EXPECT_TRUE(decide().renew) << "the service rejects all three";
}

// Cancelling a watch whose response is in flight makes it look unhealthy to other processes.
TEST_F(WatchRole, AWatchWithinItsTimeoutIsNotCancelled) {
    reports.clear();
    own.started_at = own.answered_at = now - WATCH_WAIT_RENEWING_MS;
    EXPECT_FALSE(decide().renew);
    EXPECT_FALSE(decide(now + WATCH_RESPONSE_TIMEOUT_MS - 1).renew);
    EXPECT_TRUE(decide(now + WATCH_RESPONSE_TIMEOUT_MS).renew);
}

TEST_F(WatchRole, AWatchThatMissedAChangeIsRenewed) {
    own.started_at = own.answered_at = now - 20000;
    reports[1].changed = 51;
    EXPECT_FALSE(decide().renew) << "the change may be in flight";
    EXPECT_FALSE(decide(now + WATCH_LAG_MAX_MS - 1).renew);
    EXPECT_TRUE(decide(now + WATCH_LAG_MAX_MS).renew);
    own.started_at = now + WATCH_LAG_MAX_MS;
    EXPECT_FALSE(decide(now + WATCH_LAG_MAX_MS + 1).renew) << "the new watch has just started";
    reports[0].last_received_at = reports[1].last_received_at = reports[2].last_received_at =
        now + WATCH_RENEWED_LAG_MAX_MS;
    EXPECT_FALSE(decide(now + WATCH_LAG_MAX_MS + WATCH_RENEWED_LAG_MAX_MS - 1).renew);
    EXPECT_TRUE(decide(now + WATCH_LAG_MAX_MS + WATCH_RENEWED_LAG_MAX_MS).renew)
        << "the new watch missed it too";
    own.known = 51;
    EXPECT_FALSE(decide(now + WATCH_LAG_MAX_MS + WATCH_RENEWED_LAG_MAX_MS).renew);
    EXPECT_EQ(own.behind_since, 0U);
}

TEST_F(WatchRole, NoProcessRestsIfReportsAreTooInfrequent) {
    EXPECT_TRUE(decide(now, 5000).renewing);
}

TEST_F(WatchRole, OnlyTheFirstRetryFrequently) {
    EXPECT_FALSE(decide().slow_retry);
    while (reports.size() < WATCH_FREQUENT_RETRIERS)
        reports.push_back({true, 0, now - 200, UINT32_MAX, 50, true, false});
    EXPECT_TRUE(decide().slow_retry) << "even if their own watches have failed";
    reports[0].last_received_at = now - 2000;
    EXPECT_FALSE(decide().slow_retry) << "one of them is unresponsive";
    reports[0] = {false, 0, now - 200, 2000, 50, true, true};
    EXPECT_FALSE(decide().slow_retry) << "one of them has a higher address";
}

// During an outage every process takes the role, but only the first ones may send the directory to
// the storage nodes.
TEST_F(WatchRole, OnlyTheFirstLiveProcessesAreFirstDuringAnOutage) {
    for (watch_report_t &report : reports)
        report.answer_age = UINT32_MAX;
    watch_decision_t decision = decide();
    EXPECT_TRUE(decision.renewing);
    EXPECT_FALSE(decision.first);
    reports[0].last_received_at = now - 2000;
    EXPECT_TRUE(decide().first);
}

// During an outage the retries must not grow with the fleet.
TEST_F(WatchRole, BelowAnotherGroupTheFirstLiveProcessesFollowIt) {
    own.below = true;
    own.answered_at = own.started_at = now - 60000;
    for (watch_report_t &report : reports)
        report.answer_age = UINT32_MAX;
    watch_decision_t decision = decide();
    EXPECT_FALSE(decision.renewing);
    EXPECT_FALSE(decision.renew) << "even during an outage";
    EXPECT_TRUE(decision.slow_retry);
    reports[0].last_received_at = now - 2000;
    decision = decide();
    EXPECT_TRUE(decision.renewing);
    EXPECT_TRUE(decision.renew) << "its source was not confirmed for a minute";
    own.answered_at = now - WATCH_WAIT_RENEWING_MS;
    EXPECT_FALSE(decide().renew) << "the group above confirmed it";
}

TEST_F(WatchRole, BelowAnotherGroupAMissedChangeIsDetected) {
    own.below = true;
    own.answered_at = own.started_at = now - 1000;
    reports[1].changed = 51;
    EXPECT_FALSE(decide().renew);
    EXPECT_TRUE(decide(now + WATCH_LAG_MAX_MS).renew);
}

} // namespace
