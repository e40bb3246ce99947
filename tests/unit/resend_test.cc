/** Where a call is sent after an attempt without response: resend.h, silence.h, answer_time.h. */
#include <gtest/gtest.h>

extern "C" {
#include "core/retry/answer_time.h"
#include "core/retry/resend.h"
#include "core/retry/silence.h"
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
    EXPECT_EQ(resend_unknown(&state), RESEND_ELSEWHERE);
    EXPECT_EQ(resend_not_run(&state), RESEND_ELSEWHERE);
}

TEST(Resend, RetriesTheLastAllowedBackEndALimitedNumberOfTimes) {
    resend_state_t state = after_first_send();
    unsigned times = 0;
    for (; resend_unknown(&state) == RESEND_SAME; times++)
        state.repeats++;
    EXPECT_EQ(times, unsigned{RESEND_SAME_MAX});
    EXPECT_EQ(resend_unknown(&state), RESEND_NO);
}

TEST(Resend, DoesNotRetryABackEndThatRefused) {
    resend_state_t state = after_first_send();
    EXPECT_EQ(resend_not_run(&state), RESEND_NO);
}

TEST(Resend, EndedBackEndsDoNotCount) {
    resend_state_t state = after_first_send();
    state.ended = 1;
    EXPECT_EQ(resend_unknown(&state), RESEND_ELSEWHERE);
    state.backends = 2;
    EXPECT_NE(resend_unknown(&state), RESEND_ELSEWHERE) << "only one of two back ends has ended";
}

TEST(Resend, DoesNotResendAfterTheDeadline) {
    resend_state_t state = after_first_send();
    state.attempts = 3;
    state.time_left = false;
    EXPECT_EQ(resend_unknown(&state), RESEND_NO);
    EXPECT_EQ(resend_not_run(&state), RESEND_NO);
}

TEST(Resend, DoesNotRetryAnUnusableBackEnd) {
    resend_state_t state = after_first_send();
    state.same_usable = false;
    EXPECT_EQ(resend_unknown(&state), RESEND_NO);
}

constexpr uint64_t SENT = 10000;

silence_t judge(bool answered, uint64_t call_last_at, backend_signs_t backend, uint64_t now) {
    call_signs_t call = {SENT, call_last_at, answered};
    return silence_judge(&call, &backend, now);
}

TEST(Stall, AShortPauseIsNoStall) {
    EXPECT_EQ(judge(false, SENT, {0, 0, 50}, SENT + 250), SILENCE_USUAL);
    EXPECT_EQ(judge(true, SENT + 100, {SENT + 100, SENT, 50}, SENT + 350), SILENCE_USUAL);
}

TEST(Stall, AnInactiveBackEndIsSuspected) {
    EXPECT_EQ(judge(false, SENT, {SENT, SENT, 50}, SENT + 400), SILENCE_SUSPECT);
    EXPECT_EQ(judge(true, SENT + 100, {SENT + 100, SENT, 50}, SENT + 500), SILENCE_SUSPECT);
}

TEST(Stall, ASlowBackEndHasALongerTimeout) {
    EXPECT_EQ(judge(false, SENT, {SENT, SENT, 500}, SENT + 1400), SILENCE_USUAL);
    EXPECT_EQ(judge(false, SENT, {SENT, SENT, 500}, SENT + 1500), SILENCE_SUSPECT);
}

TEST(Stall, ABackEndThatServesOthersIsNotSuspected) {
    EXPECT_EQ(judge(false, SENT, {SENT + 690, SENT - 100, 50}, SENT + 700), SILENCE_USUAL);
}

TEST(Stall, ACallOvertakenByLaterOnesIsLost) {
    EXPECT_EQ(judge(false, SENT, {SENT + 990, SENT + 500, 50}, SENT + 1000), SILENCE_LOST);
    EXPECT_EQ(judge(false, SENT, {SENT + 990, SENT + 300, 50}, SENT + 1000), SILENCE_USUAL)
        << "sent at nearly the same time";
    EXPECT_EQ(judge(false, SENT, {SENT + 990, SENT + 500, 400}, SENT + 1000), SILENCE_USUAL)
        << "the back end is slow";
}

TEST(Stall, AStalledStreamIsLostWhileOthersProgress) {
    EXPECT_EQ(judge(true, SENT + 100, {SENT + 1390, SENT, 50}, SENT + 1400), SILENCE_LOST);
    EXPECT_EQ(judge(true, SENT + 100, {SENT + 900, SENT, 50}, SENT + 1400), SILENCE_SUSPECT)
        << "all streams are stalled";
}

TEST(AnswerTime, ThresholdFollowsTheTypicalResponseTime) {
    answer_time_t time = {};
    answer_time_note(&time, 30);
    EXPECT_EQ(answer_time_late_ms(&time), UINT32_MAX) << "too few samples";
    for (uint32_t i = 0; i < 200; i++)
        answer_time_note(&time, 10 + 10 * (i % 6));
    EXPECT_EQ(answer_time_late_ms(&time), 250u);
    for (uint32_t i = 0; i < 200; i++)
        answer_time_note(&time, 50 + 150 * (i % 6));
    EXPECT_GT(answer_time_late_ms(&time), 1000u) << "the threshold follows slower responses";
}

} // namespace
