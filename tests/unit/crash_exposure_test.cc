// Back ends that a request has ended or may still end: crash_exposure.h.
#include <glib.h>

extern "C" {
#include "core/retry/crash_exposure.h"
#include "core/retry/left_sends.h"
}

#include <gtest/gtest.h>

namespace {

constexpr uint64_t REQUEST = 7;
constexpr uint64_t NOW = 100000;
constexpr uint64_t HIGH_BITS = 0x10000; // Which reports of others lack.

class CrashExposure : public testing::Test {
  protected:
    void TearDown() override {
        g_array_free(left, TRUE);
        crash_history_free(history);
    }
    void end(uint16_t backend, uint64_t at = NOW) {
        crash_report_t crash = {};
        crash.request = REQUEST;
        crash.at = at;
        crash.backend = backend;
        crash_history_add(history, &crash, true);
    }
    void leave(uint64_t backend, uint64_t run_ms, uint64_t at = NOW) {
        const left_send_t send = {REQUEST, backend, at, at + run_ms};
        g_array_append_val(left, send);
    }
    unsigned count(uint64_t except = 0, uint64_t now = NOW) const {
        const crash_exposure_t exposure = {history, REQUEST, left, now};
        return crash_exposure_count(&exposure, except);
    }
    uint32_t wait_ms() const {
        const crash_exposure_t exposure = {history, REQUEST, left, NOW};
        return crash_exposure_wait_ms(&exposure);
    }
    crash_history_t *history = crash_history_new();
    GArray *left = g_array_new(FALSE, FALSE, sizeof(left_send_t));
};

// Guards against a request that ends a fourth back end beside ones that it has left.
TEST_F(CrashExposure, CountsBackEndsThatMayStillRunARequestUnderWhichOneHasEnded) {
    end(1);
    leave(2, 500);
    leave(3, 500);
    EXPECT_EQ(count(), 3U);
    EXPECT_EQ(count(3), 2U) << "a send to one of them makes it no more";
    EXPECT_EQ(count(4), 3U);
}

TEST_F(CrashExposure, DoesNotLimitARequestUnderWhichNoneHasEnded) {
    for (uint64_t backend : {1, 2, 3, 4})
        leave(backend, 500);
    EXPECT_EQ(count(), 0U);
    EXPECT_EQ(wait_ms(), 0U);
}

// Guards against a request that is refused because its calls have left sound but slow back ends.
TEST_F(CrashExposure, IsNotBegunByABackEndThatIsCheckedBecauseACallHasLeftIt) {
    for (uint16_t backend : {1, 2, 3})
        leave(backend, 500);
    crash_report_t crash = {};
    crash.request = REQUEST;
    crash.at = NOW;
    crash.backend = 1;
    crash_history_add_left(history, &crash);
    EXPECT_EQ(count(), 1U);
    EXPECT_EQ(wait_ms(), 0U);
    crash_history_confirm(history, &crash);
    EXPECT_EQ(count(), 3U) << "it has ended";
}

TEST_F(CrashExposure, TellsNoLongerWaitThanACrashCounts) {
    end(1);
    leave(2, 10 * uint64_t{CRASH_RETENTION_MS});
    leave(3, 10 * uint64_t{CRASH_RETENTION_MS});
    EXPECT_EQ(wait_ms(), uint32_t{CRASH_RETENTION_MS});
}

TEST_F(CrashExposure, CountsABackEndOnceThatSeveralCallsHaveLeft) {
    end(1);
    leave(2 + HIGH_BITS, 500);
    leave(2, 900);
    EXPECT_EQ(count(), 2U);
    EXPECT_EQ(count(2 + HIGH_BITS), 1U);
}

TEST_F(CrashExposure, CountsABackEndOnceThatHasEndedSinceItWasLeft) {
    leave(2 + HIGH_BITS, 500);
    end(2, NOW + 100);
    EXPECT_EQ(count(0, NOW + 200), 1U);
}

TEST_F(CrashExposure, CountsABackEndAgainThatRunsTheRequestAfterARestart) {
    end(2, NOW - CRASH_SILENT_SAME_MS);
    leave(2, 500);
    EXPECT_EQ(count(), 2U);
}

TEST_F(CrashExposure, TellsTheWaitUntilFewEnoughBackEndsMayRunTheRequest) {
    end(1);
    leave(2, 500);
    EXPECT_EQ(wait_ms(), 0U);
    leave(3, 900);
    EXPECT_EQ(wait_ms(), 501U + LEFT_SEND_MARGIN_MS) << "one of them is over";
    leave(2, 700);
    EXPECT_EQ(wait_ms(), 701U + LEFT_SEND_MARGIN_MS);
    leave(4, 300);
    EXPECT_EQ(wait_ms(), 701U + LEFT_SEND_MARGIN_MS) << "two are over";
}

TEST_F(CrashExposure, TellsTheWaitOfAStoppedRequest) {
    for (uint16_t backend : {1, 2, 3})
        end(backend);
    leave(4, 500);
    EXPECT_EQ(wait_ms(), uint32_t{CRASH_RETENTION_MS});
}

} // namespace
