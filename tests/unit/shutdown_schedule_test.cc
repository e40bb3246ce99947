// Plays shutdowns of many lengths with calls that arrive at any time and run until their deadline.
#include <algorithm>
#include <cstdint>

extern "C" {
#include "core/shutdown/shutdown_schedule.h"
}

#include <gtest/gtest.h>

namespace {

constexpr uint64_t graces_ms[] = {0,    1,    50,   300,   1000,  3000,
                                  4000, 6000, 8000, 10000, 60000, 3600000};
constexpr uint64_t times_ms[] = {0, 20, 150, 1000, 3000, 4000, 6000, 10000, 60000};
constexpr unsigned steps = 400;

/** Calls @p play with a time of each shutdown and the longest time that a call may take. */
template <typename Play> void play_all(Play play) {
    for (uint64_t grace : graces_ms) {
        shutdown_schedule_t schedule = shutdown_schedule(grace);
        for (unsigned step = 0; step <= steps; step++)
            for (uint64_t time : times_ms)
                play(schedule, grace * step / steps, time);
    }
}

TEST(ShutdownSchedule, EachPhaseEndsWithinTheGracePeriod) {
    for (uint64_t grace : graces_ms) {
        shutdown_schedule_t schedule = shutdown_schedule(grace);
        EXPECT_LE(schedule.accept_ms, schedule.end_calls_ms) << grace;
        EXPECT_LE(schedule.close_idle_ms, schedule.end_calls_ms) << grace;
        EXPECT_LE(schedule.end_calls_ms, schedule.exit_ms) << grace;
        EXPECT_LE(schedule.exit_ms, grace);
    }
}

TEST(ShutdownSchedule, CallersCanReadTheFinalResponseBeforeTheExit) {
    for (uint64_t grace : {1000U, 4000U, 8000U, 60000U}) {
        shutdown_schedule_t schedule = shutdown_schedule(grace);
        EXPECT_GE(schedule.exit_ms - schedule.end_calls_ms, std::min<uint64_t>(grace / 16, 300));
    }
}

TEST(ShutdownSchedule, AnUnrepeatableCallIsNeverAcceptedBeyondTheEnd) {
    play_all([](const shutdown_schedule_t &schedule, uint64_t now, uint64_t time) {
        if (shutdown_accepts_call(&schedule, now, now + time, false)) {
            EXPECT_LE(now + time, schedule.end_calls_ms);
        }
    });
}

TEST(ShutdownSchedule, AShortCallIsServedUntilItCouldBeCutOff) {
    shutdown_schedule_t schedule = shutdown_schedule(8000);
    EXPECT_TRUE(shutdown_accepts_call(&schedule, 3300, 7300, false));
    EXPECT_TRUE(shutdown_accepts_call(&schedule, 7000, 7300, false));
    EXPECT_FALSE(shutdown_accepts_call(&schedule, 3500, 7500, false));
    EXPECT_FALSE(shutdown_accepts_call(&schedule, 7400, 7400, false));
}

TEST(ShutdownSchedule, LongCallsAreAcceptedOnlyWhileCallersAreDirectedHere) {
    for (uint64_t grace : graces_ms)
        EXPECT_LE(shutdown_schedule(grace).accept_ms, 3000U) << grace;
}

TEST(ShutdownSchedule, ALongRepeatableCallIsAcceptedEarlyOnly) {
    play_all([](const shutdown_schedule_t &schedule, uint64_t now, uint64_t time) {
        bool accepted = shutdown_accepts_call(&schedule, now, now + time, true);
        if (now >= schedule.accept_ms && now + time > schedule.end_calls_ms) {
            EXPECT_FALSE(accepted);
        }
        if (now < schedule.accept_ms) {
            EXPECT_TRUE(accepted);
        }
    });
}

} // namespace
