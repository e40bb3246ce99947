// When gateways that start without the key-value service ask for the directory, and get it.
#include <gtest/gtest.h>

extern "C" {
#include "core/configuration/directory_pace.h"
}

namespace {

constexpr size_t megabyte = 1024 * 1024;
constexpr size_t memory = 120 * megabyte;
constexpr size_t directory = 400 * 1024;

// Gateways asked ten times a second, each answer was queued, and storage nodes ran out of memory.
TEST(DirectoryPace, AskedOnceASecond) {
    unsigned asked = 0;
    uint64_t asked_at = 0;
    for (uint64_t now = 5000; now < 8000; now += 100)
        if (directory_ask_due(asked_at, now)) {
            asked_at = now;
            asked++;
        }
    EXPECT_EQ(asked, 3U);
}

TEST(DirectoryPace, AGatewayThatHasAnAnswerOnItsWayGetsNoSecondOne) {
    EXPECT_TRUE(directory_answer_now(200, 200, memory));
    EXPECT_FALSE(directory_answer_now(directory, directory, memory));
}

TEST(DirectoryPace, AnswersThatWaitStayWithinAShareOfTheMemory) {
    size_t waiting = 0;
    for (unsigned gateway = 0; gateway < 259; gateway++)
        if (directory_answer_now(0, waiting, memory))
            waiting += directory;
    EXPECT_GE(waiting, memory / 10);
    EXPECT_LE(waiting, memory / 10 + directory);
}

} // namespace
