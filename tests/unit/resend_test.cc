/** Where a call is sent after an attempt without response: resend.h, stall.h, answer_time.h. */
#include <gtest/gtest.h>

extern "C" {
#include "core/retry/answer_time.h"
#include "core/retry/resend.h"
#include "core/retry/stall.h"
}

namespace {

resend_state_t after_first_send() {
    resend_state_t state = {};
    state.attempts = 1;
    state.backends = 1;
    state.time_left = true;
    state.same_usable = true;
    return state;
}

TEST(Resend, UsesAnotherBackEndIfTheRouteAllowsMore) {
    resend_state_t state = after_first_send();
    state.attempts = 2;
    EXPECT_EQ(resend_after_unknown(&state), RESEND_ELSEWHERE);
    EXPECT_EQ(resend_after_not_run(&state), RESEND_ELSEWHERE);
}

TEST(Resend, RetriesTheLastAllowedBackEndALimitedNumberOfTimes) {
    resend_state_t state = after_first_send();
    unsigned times = 0;
    for (; resend_after_unknown(&state) == RESEND_SAME; times++)
        state.repeats++;
    EXPECT_EQ(times, unsigned{RESEND_SAME_MAX});
    EXPECT_EQ(resend_after_unknown(&state), RESEND_NO);
}

TEST(Resend, DoesNotRetryABackEndThatRefused) {
    resend_state_t state = after_first_send();
    EXPECT_EQ(resend_after_not_run(&state), RESEND_NO);
}

TEST(Resend, EndedBackEndsDoNotCount) {
    resend_state_t state = after_first_send();
    state.ended = 1;
    EXPECT_EQ(resend_after_unknown(&state), RESEND_ELSEWHERE);
    state.backends = 2;
    EXPECT_NE(resend_after_unknown(&state), RESEND_ELSEWHERE)
        << "only one of two back ends has ended";
}

TEST(Resend, DoesNotResendAfterTheDeadline) {
    resend_state_t state = after_first_send();
    state.attempts = 3;
    state.time_left = false;
    EXPECT_EQ(resend_after_unknown(&state), RESEND_NO);
    EXPECT_EQ(resend_after_not_run(&state), RESEND_NO);
}

TEST(Resend, DoesNotRetryAnUnusableBackEnd) {
    resend_state_t state = after_first_send();
    state.same_usable = false;
    EXPECT_EQ(resend_after_unknown(&state), RESEND_NO);
}

constexpr uint64_t SENT = 10000;

stall_t judge(bool answered, uint64_t call_last_at, backend_activity_t backend, uint64_t now) {
    call_activity_t call = {SENT, call_last_at, answered};
    return stall_evaluate(&call, &backend, now);
}

TEST(Stall, AShortPauseIsNoStall) {
    EXPECT_EQ(judge(false, SENT, {0, 0, 50}, SENT + 250), STALL_NONE);
    EXPECT_EQ(judge(true, SENT + 100, {SENT + 100, SENT, 50}, SENT + 350), STALL_NONE);
}

TEST(Stall, AnInactiveBackEndIsSuspected) {
    EXPECT_EQ(judge(false, SENT, {SENT, SENT, 50}, SENT + 400), STALL_SUSPECTED);
    EXPECT_EQ(judge(true, SENT + 100, {SENT + 100, SENT, 50}, SENT + 500), STALL_SUSPECTED);
}

TEST(Stall, ASlowBackEndHasALongerTimeout) {
    EXPECT_EQ(judge(false, SENT, {SENT, SENT, 500}, SENT + 1400), STALL_NONE);
    EXPECT_EQ(judge(false, SENT, {SENT, SENT, 500}, SENT + 1500), STALL_SUSPECTED);
}

TEST(Stall, ABackEndThatServesOthersIsNotSuspected) {
    EXPECT_EQ(judge(false, SENT, {SENT + 690, SENT - 100, 50}, SENT + 700), STALL_NONE);
}

TEST(Stall, ACallOvertakenByLaterOnesIsLost) {
    EXPECT_EQ(judge(false, SENT, {SENT + 990, SENT + 500, 50}, SENT + 1000), STALL_CALL_LOST);
    EXPECT_EQ(judge(false, SENT, {SENT + 990, SENT + 300, 50}, SENT + 1000), STALL_NONE)
        << "sent at nearly the same time";
    EXPECT_EQ(judge(false, SENT, {SENT + 990, SENT + 500, 400}, SENT + 1000), STALL_NONE)
        << "the back end is slow";
}

TEST(Stall, AStalledStreamIsLostWhileOthersProgress) {
    EXPECT_EQ(judge(true, SENT + 100, {SENT + 1390, SENT, 50}, SENT + 1400), STALL_CALL_LOST);
    EXPECT_EQ(judge(true, SENT + 100, {SENT + 900, SENT, 50}, SENT + 1400), STALL_SUSPECTED)
        << "all streams are stalled";
}

TEST(AnswerTime, ThresholdFollowsTheTypicalResponseTime) {
    answer_time_t time = {};
    answer_time_record(&time, 30);
    EXPECT_EQ(answer_time_late_ms(&time), UINT32_MAX) << "too few samples";
    for (uint32_t i = 0; i < 200; i++)
        answer_time_record(&time, 10 + 10 * (i % 6));
    EXPECT_EQ(answer_time_late_ms(&time), 250u);
    for (uint32_t i = 0; i < 200; i++)
        answer_time_record(&time, 50 + 150 * (i % 6));
    EXPECT_GT(answer_time_late_ms(&time), 1000u) << "the threshold follows slower responses";
}

} // namespace
