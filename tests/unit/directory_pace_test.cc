// Pacing of directory transfers between starting gateways and storage nodes.
#include <gtest/gtest.h>

extern "C" {
#include "core/configuration/directory_pace.h"
}

namespace {

constexpr size_t megabyte = 1024 * 1024;
constexpr size_t memory = 120 * megabyte;
constexpr size_t directory = 400 * 1024;

// Frequent requests would queue many responses and exhaust the memory of storage nodes.
TEST(DirectoryPace, RequestsOnceASecond) {
    unsigned asked = 0;
    uint64_t asked_at = 0;
    for (uint64_t now = 5000; now < 8000; now += 100)
        if (directory_ask_due(asked_at, now)) {
            asked_at = now;
            asked++;
        }
    EXPECT_EQ(asked, 3U);
}

TEST(DirectoryPace, AGatewayGetsOneResponseAtATime) {
    EXPECT_TRUE(directory_answer_now(200, 200, memory));
    EXPECT_FALSE(directory_answer_now(directory, directory, memory));
}

TEST(DirectoryPace, QueuedResponsesStayWithinAShareOfMemory) {
    size_t waiting = 0;
    for (unsigned gateway = 0; gateway < 259; gateway++)
        if (directory_answer_now(0, waiting, memory))
            waiting += directory;
    EXPECT_GE(waiting, memory / 10);
    EXPECT_LE(waiting, memory / 10 + directory);
}

// Simultaneous transfers from all gateways would exhaust the memory of a storage node.
TEST(DirectoryPace, ADirectoryIsPulledFromOneGatewayAtATime) {
    directory_offer_t offer = {};
    EXPECT_FALSE(directory_pull_due(&offer, 1000)) << "nothing is offered";
    offer.offered = 7;
    EXPECT_TRUE(directory_pull_due(&offer, 1000));
    offer.asked_at = 1000;
    EXPECT_FALSE(directory_pull_due(&offer, 1000 + DIRECTORY_PULL_MS - 1));
    EXPECT_TRUE(directory_pull_due(&offer, 1000 + DIRECTORY_PULL_MS)) << "the request timed out";
}

TEST(DirectoryPace, OnlyANewerDirectoryIsPulledAtALimitedRate) {
    directory_offer_t offer = {7, directory, 5000, 7, 0};
    EXPECT_FALSE(directory_pull_due(&offer, 100000));
    offer.offered = 8;
    uint64_t pause = DIRECTORY_PULL_LEAST_MS + directory / DIRECTORY_PULL_BYTES_PER_MS;
    EXPECT_FALSE(directory_pull_due(&offer, 5000 + pause - 1));
    EXPECT_TRUE(directory_pull_due(&offer, 5000 + pause));
}

} // namespace
