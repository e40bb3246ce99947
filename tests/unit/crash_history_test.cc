// Back ends that end under a request: counting (crash_history.h) and reports of them.
#include <glib.h>

extern "C" {
#include "core/retry/crash_history.h"
#include "core/retry/resend.h"
#include "gateway/crash_reports.h"
#include "gateway/load_report.h"
}

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace {

constexpr uint64_t REQUEST = 7;
constexpr uint64_t NOW = 100000;

class CrashHistory : public testing::Test {
  protected:
    void TearDown() override {
        crash_history_free(history);
    }
    bool add(uint16_t backend, uint64_t at, uint64_t request = REQUEST, bool confirmed = true,
             uint8_t number = 0) {
        crash_report_t crash = {request, at, backend, number, false, false};
        return crash_history_add(history, &crash, confirmed);
    }
    unsigned count(uint64_t now, uint64_t request = REQUEST) {
        return crash_history_count(history, request, now);
    }
    crash_history_t *history = crash_history_new();
};

TEST_F(CrashHistory, StopsARequestAfterThreeCrashesForAMinuteFromTheLast) {
    EXPECT_EQ(count(NOW), 0U);
    for (uint16_t i = 0; i < 3; i++) {
        EXPECT_EQ(crash_history_wait_ms(history, REQUEST, NOW + i), 0U);
        EXPECT_TRUE(add(i, NOW + 1000 * i));
    }
    EXPECT_EQ(count(NOW + 2000), 3U);
    EXPECT_EQ(crash_history_wait_ms(history, REQUEST, NOW + 2000), 60000U);
    EXPECT_EQ(count(NOW + CRASH_RETENTION_MS + 1999), 3U);
    EXPECT_EQ(count(NOW + CRASH_RETENTION_MS + 2000), 2U) << "one more back end, not three";
    EXPECT_EQ(crash_history_wait_ms(history, REQUEST, NOW + CRASH_RETENTION_MS + 2000), 0U);
    EXPECT_EQ(count(NOW + 2000, REQUEST + 1), 0U) << "other requests are not affected";
}

TEST_F(CrashHistory, ForgetsTwoCrashesAfterAMinute) {
    add(1, NOW);
    add(2, NOW + 1000);
    EXPECT_EQ(count(NOW + CRASH_RETENTION_MS), 1U);
    EXPECT_EQ(count(NOW + CRASH_RETENTION_MS + 1000), 0U);
}

TEST_F(CrashHistory, ARequestThatEndsABackEndAfterItsStopIsStoppedForTwiceAsLong) {
    for (uint16_t i = 0; i < 3; i++)
        add(i, NOW);
    uint64_t end = NOW + CRASH_RETENTION_MS;
    uint64_t wait = CRASH_RETENTION_MS;
    for (uint16_t i = 3; i < 10; i++) {
        EXPECT_EQ(count(end), 2U);
        EXPECT_TRUE(add(i, end));
        EXPECT_GE(count(end), 3U);
        wait = std::min<uint64_t>(2 * wait, 16 * CRASH_RETENTION_MS);
        EXPECT_EQ(crash_history_wait_ms(history, REQUEST, end), wait);
        end += wait;
    }
    EXPECT_EQ(count(end + wait), 0U) << "as long again without a crash";
    add(1, end + wait);
    EXPECT_EQ(count(end + wait), 1U);
}

TEST_F(CrashHistory, ManyBackEndsThatEndAtOnceStopEqualRequestsNoLongerThanThree) {
    for (uint16_t i = 0; i < 6; i++)
        add(i, NOW + i);
    EXPECT_GE(count(NOW + 10), 3U);
    EXPECT_LE(crash_history_wait_ms(history, REQUEST, NOW + 10), CRASH_RETENTION_MS);
    EXPECT_EQ(count(NOW + 10 + CRASH_RETENTION_MS), 2U);
}

TEST_F(CrashHistory, AStopGoesOnWhileTheCallerComesBack) {
    for (uint16_t i = 0; i < 3; i++)
        add(i, NOW);
    unsigned sent = 0;
    for (uint64_t at = NOW + 1000; at < NOW + 200000; at += 1000) {
        EXPECT_EQ(count(at), 3U) << at - NOW;
        sent += crash_history_renew(history, REQUEST, at);
    }
    EXPECT_GE(sent, 200000U / CRASH_RETENTION_MS) << "others must hear of it in time";
    EXPECT_LE(sent, 200000U / 10000);
    EXPECT_EQ(count(NOW + 199000 + CRASH_RETENTION_MS), 2U);
    EXPECT_FALSE(crash_history_renew(history, REQUEST, NOW + 300000)) << "the stop is over";
    EXPECT_FALSE(crash_history_renew(history, REQUEST + 1, NOW)) << "never stopped";
}

TEST_F(CrashHistory, AStopThatAnotherGatewayTellsCountsWithoutItsCrashes) {
    crash_report_t stop = {REQUEST, NOW, 0, 2, false, false};
    EXPECT_TRUE(crash_history_note_stop(history, &stop));
    EXPECT_FALSE(crash_history_note_stop(history, &stop));
    EXPECT_EQ(count(NOW + 1), 3U);
    EXPECT_EQ(crash_history_wait_ms(history, REQUEST, NOW), 2U * CRASH_RETENTION_MS);
    crash_report_t found;
    ASSERT_TRUE(crash_history_find_stop(history, REQUEST, NOW + 1, &found));
    EXPECT_EQ(found.at, NOW);
    EXPECT_EQ(found.number, 2U);
    EXPECT_TRUE(crash_history_clear(history, REQUEST, NOW + 10));
    EXPECT_EQ(count(NOW + 11), 0U);
    EXPECT_FALSE(crash_history_note_stop(history, &stop)) << "sent before the response";
    EXPECT_FALSE(crash_history_find_stop(history, REQUEST, NOW + 11, &found));
}

TEST_F(CrashHistory, ABackEndThatIsAliveEndsTheStopThatItsSuspicionBegan) {
    add(1, NOW);
    add(2, NOW);
    add(3, NOW, REQUEST, false);
    EXPECT_EQ(count(NOW), 3U);
    crash_report_t alive = {REQUEST, NOW, 3, 1, false, false};
    crash_history_remove(history, &alive);
    EXPECT_EQ(count(NOW), 2U);
    EXPECT_EQ(crash_history_wait_ms(history, REQUEST, NOW), 0U);
}

TEST_F(CrashHistory, ABackEndThatIsAliveDoesNotEndAStopThatOthersCause) {
    for (uint16_t i = 1; i <= 4; i++)
        add(i, NOW, REQUEST, i != 4);
    crash_report_t alive = {REQUEST, NOW, 4, 1, false, false};
    EXPECT_TRUE(crash_history_remove(history, &alive));
    EXPECT_EQ(count(NOW), 3U);
    EXPECT_FALSE(crash_history_remove(history, &alive));
    crash_report_t stop = {REQUEST + 1, NOW, 0, 1, false, false};
    crash_history_note_stop(history, &stop);
    add(4, NOW + 1, REQUEST + 1, false);
    alive.request = REQUEST + 1;
    crash_history_remove(history, &alive);
    EXPECT_EQ(count(NOW + 1, REQUEST + 1), 3U) << "others know the crashes";
}

TEST_F(CrashHistory, AStopIsTakenFromOthersThoughALaterCrashIsKnown) {
    add(1, NOW + 5000);
    crash_report_t stop = {REQUEST, NOW, 0, 1, false, false};
    EXPECT_TRUE(crash_history_note_stop(history, &stop));
    EXPECT_EQ(count(NOW + 5000), 3U);
}

TEST_F(CrashHistory, CountsOneEndOfABackEndOnceAndThatOfItsNextIncarnationToo) {
    EXPECT_TRUE(add(1, NOW));
    EXPECT_FALSE(add(1, NOW + 5)) << "a resend on a connection that was open before";
    EXPECT_EQ(count(NOW + 5), 1U);
    EXPECT_TRUE(add(1, NOW + 300)) << "it has started again under its id";
    EXPECT_EQ(count(NOW + 300), 2U);
}

TEST_F(CrashHistory, AReportThatComesLateIsNoOtherCrash) {
    EXPECT_TRUE(add(1, NOW));
    EXPECT_FALSE(add(1, NOW + 700, REQUEST, true, 1)) << "found at NOW, delayed on its way here";
    EXPECT_EQ(count(NOW + 700), 1U);
    EXPECT_TRUE(add(1, NOW + 900, REQUEST, true, 2)) << "found by a gateway that knew the first";
    EXPECT_FALSE(add(1, NOW + 1500, REQUEST, true, 2));
    EXPECT_EQ(count(NOW + 1500), 2U);
    EXPECT_TRUE(add(1, NOW + 2000)) << "found here";
    EXPECT_FALSE(add(1, NOW + 9000, REQUEST, true, 3));
    EXPECT_EQ(count(NOW + 9000), 3U);
}

TEST_F(CrashHistory, ASilentBackEndCountsOnceHoweverManyAttemptsItMeets) {
    for (uint64_t at = NOW; at < NOW + 1500; at += 400) {
        crash_report_t crash = {REQUEST, at, 1, 0, true, false};
        EXPECT_EQ(crash_history_add(history, &crash, true), at == NOW);
    }
    EXPECT_EQ(count(NOW + 1500), 1U);
    crash_report_t later = {REQUEST, NOW + 5000, 1, 0, true, false};
    EXPECT_TRUE(crash_history_add(history, &later, true)) << "it was back meanwhile";
}

TEST_F(CrashHistory, ABackEndThatIsAliveDoesNotCount) {
    add(1, NOW, REQUEST, false);
    add(2, NOW);
    EXPECT_EQ(count(NOW), 2U);
    crash_report_t alive = {REQUEST, NOW, 1, 1, false, false};
    crash_history_remove(history, &alive);
    EXPECT_EQ(count(NOW), 1U);
}

TEST_F(CrashHistory, ACompleteResponseForgetsEarlierCrashesAlsoIfTheyAreReportedAgain) {
    for (uint16_t i = 0; i < 3; i++)
        add(i, NOW + i);
    EXPECT_TRUE(crash_history_clear(history, REQUEST, NOW + 10));
    EXPECT_EQ(count(NOW + 10), 0U);
    EXPECT_FALSE(add(1, NOW + 1));
    EXPECT_EQ(count(NOW + 20), 0U);
    EXPECT_TRUE(add(9, NOW + 30));
    EXPECT_EQ(count(NOW + 30), 1U);
}

TEST_F(CrashHistory, LateReportsOfCrashesThatWereClearedAreKnown) {
    add(1, NOW);
    add(2, NOW + 1);
    EXPECT_TRUE(crash_history_clear(history, REQUEST, NOW + 10));
    EXPECT_FALSE(add(1, NOW + 900, REQUEST, true, 1));
    EXPECT_FALSE(add(2, NOW + 900, REQUEST, true, 1));
    EXPECT_EQ(count(NOW + 1000), 0U);
    EXPECT_FALSE(crash_history_clear(history, REQUEST, NOW + 950)) << "nothing is left to clear";
    EXPECT_TRUE(add(1, NOW + 2000)) << "found here";
    EXPECT_TRUE(add(2, NOW + 20000, REQUEST, true, 1)) << "by a gateway that knew nothing";
    EXPECT_EQ(count(NOW + 20000), 2U);
}

TEST_F(CrashHistory, ListsConfirmedCrashesOfRequestsNearTheLimit) {
    add(1, NOW);
    add(2, NOW);
    add(3, NOW, REQUEST, false);
    add(1, NOW, REQUEST + 1);
    GArray *reports = g_array_new(FALSE, FALSE, sizeof(crash_report_t));
    crash_history_list(history, NOW, 10, reports);
    ASSERT_EQ(reports->len, 2U);
    for (unsigned i = 0; i < 2; i++) {
        EXPECT_EQ(g_array_index(reports, crash_report_t, i).request, REQUEST);
        EXPECT_EQ(g_array_index(reports, crash_report_t, i).backend, i + 1);
    }
    g_array_free(reports, TRUE);
}

TEST_F(CrashHistory, IsBoundedAndForgetsTheOldestRequestFirst) {
    for (uint64_t request = 0; request < 10000; request++)
        for (uint16_t backend : {1, 2})
            add(backend, NOW + request / 10, request);
    GArray *reports = g_array_new(FALSE, FALSE, sizeof(crash_report_t));
    crash_history_list(history, NOW + 1000, 100000, reports);
    EXPECT_GT(reports->len, 0U);
    EXPECT_LE(reports->len, 2 * 4096U);
    EXPECT_EQ(count(NOW + 1000, 0), 0U);
    EXPECT_EQ(count(NOW + 1000, 9999), 2U);
    g_array_free(reports, TRUE);
}

TEST_F(CrashHistory, AStoppedRequestIsKnownAfterACrashThatTakesThousandsAlong) {
    for (uint16_t backend : {1, 2, 3})
        add(backend, NOW);
    for (uint64_t request = 0; request < 10000; request++)
        add(4, NOW + 1000, REQUEST + 1 + request);
    EXPECT_EQ(count(NOW + 1000), 3U);
    EXPECT_EQ(count(NOW + 1000, REQUEST + 10000), 1U) << "and so is the latest";
}

TEST(ResendAfterCrashes, StopsAtTheLimitThoughTheRouteAllowsMoreBackEnds) {
    resend_state_t state = {};
    state.attempts = 2;
    state.time_left = true;
    state.same_usable = true;
    for (unsigned ended = 1; ended <= CRASHES_MAX; ended++) {
        state.backends = ended;
        state.ended = ended;
        state.crashes = ended;
        bool more = ended < CRASHES_MAX;
        EXPECT_EQ(resend_after_unknown(&state), more ? RESEND_ELSEWHERE : RESEND_NO) << ended;
        EXPECT_EQ(resend_after_not_run(&state), more ? RESEND_ELSEWHERE : RESEND_NO) << ended;
    }
}

TEST(CrashReport, IsAnEntryThatEarlierVersionsSkip) {
    const crash_report_t crash = {0x123456789abcdef0, NOW - 1500, 0xbeef, 1, false, false};
    load_entry_t entry = load_entry_from_crash(&crash, NOW);
    crash_report_t read;
    ASSERT_TRUE(load_entry_crash(&entry, NOW + 20, &read));
    EXPECT_EQ(read.request, crash.request);
    EXPECT_EQ(read.backend, crash.backend);
    EXPECT_EQ(read.at, NOW - 1480) << "the age is measured by the sender";
    EXPECT_FALSE(read.cleared);
    EXPECT_EQ(entry.backend, crash.request) << "no back end has this id";
    load_entry_t load = {1, 40, 600};
    EXPECT_FALSE(load_entry_crash(&load, NOW, &read));
}

TEST(CrashReport, HasTheNumberOfTheCrashOrItsEnd) {
    crash_report_t read;
    for (unsigned number : {1U, 2U, 3U, 255U}) {
        const crash_report_t crash = {REQUEST, NOW, 5, static_cast<uint8_t>(number), false, false};
        load_entry_t entry = load_entry_from_crash(&crash, NOW);
        ASSERT_TRUE(load_entry_crash(&entry, NOW, &read));
        EXPECT_EQ(read.number, number);
        EXPECT_FALSE(read.cleared);
    }
    const crash_report_t cleared = {REQUEST, NOW, 0, 0, false, true};
    load_entry_t entry = load_entry_from_crash(&cleared, NOW);
    ASSERT_TRUE(load_entry_crash(&entry, NOW, &read));
    EXPECT_TRUE(read.cleared);
}

TEST(CrashReport, OfRequestZeroAsksForAll) {
    load_entry_t entry = load_entry_crash_request();
    crash_report_t read;
    ASSERT_TRUE(load_entry_crash(&entry, NOW, &read));
    EXPECT_EQ(read.request, 0U);
}

TEST(CrashReport, IsEncodedInNoMoreBytesThanItCosts) {
    constexpr size_t entries_max = 64;
    const watch_report_t watch = {true, UINT32_MAX, UINT64_MAX, UINT32_MAX, UINT64_MAX, true, true};
    GArray *entries = g_array_new(FALSE, FALSE, sizeof(load_entry_t));
    for (size_t count = 0; count <= entries_max; count++) {
        GBytes *bytes = load_report_encode(&watch, entries);
        EXPECT_LE(g_bytes_get_size(bytes), LOAD_REPORT_BYTES + count * LOAD_ENTRY_BYTES);
        g_bytes_unref(bytes);
        load_entry_t largest = {UINT64_MAX, UINT32_MAX, UINT32_MAX};
        g_array_append_val(entries, largest);
    }
    g_array_free(entries, TRUE);
}

TEST(CrashReport, IsDueOnceHoweverOftenItIsAdded) {
    crash_reports_t reports;
    crash_reports_init(&reports);
    for (uint64_t i = 0; i < 2000; i++) {
        crash_report_t crash = {REQUEST + i % 10, NOW, 1, 1, false, false};
        crash_reports_add(&reports, &crash, CRASH_TO_CELL, CONTROL_CAN_WAIT, NOW + i / 10);
    }
    crash_report_t latest = {REQUEST + 100, NOW, 1, 1, false, false};
    crash_reports_add(&reports, &latest, CRASH_TO_ZONES, CONTROL_CAN_WAIT, NOW + 300);
    GArray *entries = g_array_new(FALSE, FALSE, sizeof(load_entry_t));
    crash_reports_append(&reports, CRASH_TO_CELL, CRASH_REPORTS_MAX, CRASH_REPORTS_MAX, NOW + 300,
                         entries);
    EXPECT_EQ(entries->len, 10U);
    g_array_set_size(entries, 0);
    crash_reports_append(&reports, CRASH_TO_ZONES, CRASH_REPORTS_MAX, CRASH_REPORTS_MAX, NOW + 300,
                         entries);
    EXPECT_EQ(entries->len, 1U);
    crash_reports_append(&reports, CRASH_TO_ZONES, CRASH_REPORTS_MAX, CRASH_REPORTS_MAX,
                         NOW + 300 + CRASH_REPEAT_MS, entries);
    EXPECT_EQ(entries->len, 1U) << "no longer due";
    g_array_free(entries, TRUE);
    crash_reports_clear(&reports);
}

TEST(CrashReport, OfARequestNearItsLimitGoesFirstAndAlsoWhileOthersWait) {
    crash_reports_t reports;
    crash_reports_init(&reports);
    crash_report_t pressing = {REQUEST, NOW, 1, 1, false, false};
    crash_reports_add(&reports, &pressing, CRASH_TO_CELL, CONTROL_PRESSING, NOW);
    for (uint64_t i = 1; i <= 100; i++) {
        crash_report_t crash = {REQUEST + i, NOW, 1, 1, false, false};
        crash_reports_add(&reports, &crash, CRASH_TO_CELL, CONTROL_CAN_WAIT, NOW + i);
    }
    GArray *entries = g_array_new(FALSE, FALSE, sizeof(load_entry_t));
    crash_reports_append(&reports, CRASH_TO_CELL, CRASH_REPORTS_MIN, 0, NOW + 100, entries);
    ASSERT_EQ(entries->len, 1U);
    EXPECT_EQ(g_array_index(entries, load_entry_t, 0).backend, REQUEST);
    g_array_set_size(entries, 0);
    crash_reports_append(&reports, CRASH_TO_CELL, CRASH_REPORTS_MAX, CRASH_REPORTS_MAX, NOW + 100,
                         entries);
    ASSERT_EQ(entries->len, unsigned{CRASH_REPORTS_MAX});
    EXPECT_EQ(g_array_index(entries, load_entry_t, 0).backend, REQUEST);
    EXPECT_EQ(g_array_index(entries, load_entry_t, 1).backend, REQUEST + 100) << "the latest";
    g_array_set_size(entries, 0);
    crash_report_t cleared = {REQUEST, NOW + 50, 0, 0, false, true};
    crash_reports_add(&reports, &cleared, CRASH_TO_CELL, CONTROL_PRESSING, NOW + 100);
    crash_reports_append(&reports, CRASH_TO_CELL, CRASH_REPORTS_MIN, 0, NOW + 100, entries);
    ASSERT_EQ(entries->len, 1U) << "instead of the crash";
    crash_report_t read;
    ASSERT_TRUE(load_entry_crash(&g_array_index(entries, load_entry_t, 0), NOW, &read));
    EXPECT_TRUE(read.cleared);
    g_array_free(entries, TRUE);
    crash_reports_clear(&reports);
}

} // namespace
