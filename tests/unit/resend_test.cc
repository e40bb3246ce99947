/** Where a call is sent after an attempt without response: resend.h, stall.h, answer_time.h. */
#include <gtest/gtest.h>

extern "C" {
#include "core/retry/answer_time.h"
#include "core/retry/crash_history.h"
#include "core/retry/resend.h"
#include "core/retry/stall.h"
#include "gateway/backends.h"
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

resend_state_t at_the_last_back_end() {
    resend_state_t state = after_first_send();
    state.other_usable = true;
    return state;
}

// A call is given up though sound back ends work on it, since all of them are slow.
TEST(Resend, SuspicionsLeaveTheLastResendToAFailure) {
    resend_state_t state = at_the_last_back_end();
    unsigned times = 0;
    for (; resend_after_suspicion(&state) == RESEND_SAME; times++)
        state.repeats++;
    EXPECT_EQ(times, unsigned{RESEND_SUSPECTED_SAME_MAX});
    EXPECT_EQ(resend_after_suspicion(&state), RESEND_NO);
    EXPECT_EQ(resend_after_unknown(&state), RESEND_SAME) << "it is lost for certain now";
}

// Suspicions send a call to more back ends than its route allows.
TEST(Resend, SuspicionsKeepTheRoutesLimit) {
    resend_state_t state = at_the_last_back_end();
    EXPECT_NE(resend_after_suspicion(&state), RESEND_ELSEWHERE);
    state.attempts = 2;
    EXPECT_EQ(resend_after_suspicion(&state), RESEND_ELSEWHERE);
}

// A call leaves the only back end of its service, which works on it, and fails for want of another.
TEST(Resend, ASuspicionAgainstTheOnlyBackEndDoesNotSearchForAnother) {
    resend_state_t state = at_the_last_back_end();
    state.attempts = 2;
    state.other_usable = false;
    EXPECT_EQ(resend_after_suspicion(&state), RESEND_SAME);
    state.repeats = RESEND_SUSPECTED_SAME_MAX;
    EXPECT_EQ(resend_after_suspicion(&state), RESEND_NO);
}

class OtherBackEnd : public testing::Test {
  protected:
    OtherBackEnd() {
        uv_loop_init(&loop);
        backends_init(&backends, &loop, "here", "10.0.0.1:77");
    }
    ~OtherBackEnd() override {
        backends_clear(&backends);
        uv_loop_close(&loop);
    }
    const backend_t *add(const char *instance, const char *zone, bool leaving = false) {
        auto *record = g_new0(backend_record_t, 1);
        record->instance = g_strdup(instance);
        record->service = g_strdup("models");
        record->zone = g_strdup(zone);
        record->leaving = leaving;
        backends_update(&backends, record);
        return static_cast<backend_t *>(g_hash_table_lookup(backends.by_instance, instance));
    }
    bool exists_beside(const backend_t *current, const GPtrArray *tried = nullptr) {
        backend_choice_t choice = {"models", tried, 0, VERSION_ANY, false};
        return backends_have_other(&backends, &choice, current);
    }
    uv_loop_t loop;
    backends_t backends;
};

// A call leaves the last back end that works on it for one that stops, or that it has been sent to.
TEST_F(OtherBackEnd, IsOneThatCanBeChosen) {
    const backend_t *current = add("a", "here");
    EXPECT_FALSE(exists_beside(current));
    add("b", "here", true);
    EXPECT_FALSE(exists_beside(current)) << "it has announced a stop";
    const backend_t *remote = add("c", "there");
    EXPECT_TRUE(exists_beside(current));
    GPtrArray *tried = g_ptr_array_new();
    g_ptr_array_add(tried, const_cast<backend_t *>(remote));
    EXPECT_FALSE(exists_beside(current, tried));
    g_ptr_array_free(tried, TRUE);
}

// A request under which back ends have ended is sent once more because it takes long.
TEST(Resend, ASuspicionDoesNotResendWhatMustNotBeSent) {
    resend_state_t state = at_the_last_back_end();
    state.attempts = 2;
    state.crashes = CRASHES_MAX;
    EXPECT_EQ(resend_after_suspicion(&state), RESEND_NO);
    state.crashes = 0;
    state.time_left = false;
    EXPECT_EQ(resend_after_suspicion(&state), RESEND_NO);
}

// A call leaves a back end that may still end under it, and can then be sent nowhere.
TEST(Resend, NearTheLimitACallMayGoToTheSameBackEndOnly) {
    resend_state_t state = at_the_last_back_end();
    state.attempts = 2;
    state.crashes = CRASHES_NEAR_MAX;
    EXPECT_EQ(resend_after_suspicion(&state), RESEND_ELSEWHERE);
    state.current_may_end = true;
    EXPECT_EQ(resend_after_suspicion(&state), RESEND_SAME);
    EXPECT_EQ(resend_after_unknown(&state), RESEND_SAME);
    EXPECT_EQ(resend_after_not_run(&state), RESEND_NO);
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

// A back end that loses power under a call that waits there is never probed, since the call counts
// as overtaken until its end.
TEST(Stall, AnInactiveBackEndIsSuspectedUnderAnOvertakenCall) {
    call_activity_t call = {SENT, SENT, false};
    backend_activity_t active = {SENT + 990, SENT + 500, 50};
    EXPECT_EQ(stall_evaluate_backend(&call, &active, SENT + 1000), STALL_NONE);
    EXPECT_EQ(stall_evaluate(&call, &active, SENT + 1300), STALL_CALL_LOST);
    EXPECT_EQ(stall_evaluate_backend(&call, &active, SENT + 1300), STALL_SUSPECTED);
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
