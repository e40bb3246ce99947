// Pacing of directory transfers between starting gateways and storage nodes.
#include <gtest/gtest.h>

extern "C" {
#include "core/configuration/directory_pacing.h"
}

namespace {

constexpr size_t megabyte = 1024 * 1024;
constexpr size_t memory = 120 * megabyte;
constexpr size_t directory = 400 * 1024;

// Frequent requests would queue many responses and exhaust the memory of storage nodes.
TEST(DirectoryPacing, RequestsOnceASecond) {
    unsigned asked = 0;
    uint64_t requested_at = 0;
    for (uint64_t now = 5000; now < 8000; now += 100)
        if (directory_request_due(requested_at, now)) {
            requested_at = now;
            asked++;
        }
    EXPECT_EQ(asked, 3U);
}

TEST(DirectoryPacing, AGatewayGetsOneResponseAtATime) {
    EXPECT_TRUE(directory_response_due(200, 200, memory));
    EXPECT_FALSE(directory_response_due(directory, directory, memory));
}

TEST(DirectoryPacing, QueuedResponsesStayWithinAShareOfMemory) {
    size_t waiting = 0;
    for (unsigned gateway = 0; gateway < 259; gateway++)
        if (directory_response_due(0, waiting, memory))
            waiting += directory;
    EXPECT_GE(waiting, memory / 10);
    EXPECT_LE(waiting, memory / 10 + directory);
}

// Simultaneous transfers from all gateways would exhaust the memory of a storage node.
TEST(DirectoryPacing, ADirectoryIsPulledFromOneGatewayAtATime) {
    directory_offer_t offer = {};
    EXPECT_FALSE(directory_pull_due(&offer, 1000)) << "nothing is offered";
    offer.offered_revision = 7;
    EXPECT_TRUE(directory_pull_due(&offer, 1000));
    offer.requested_at = 1000;
    EXPECT_FALSE(directory_pull_due(&offer, 1000 + DIRECTORY_PULL_TIMEOUT_MS - 1));
    EXPECT_TRUE(directory_pull_due(&offer, 1000 + DIRECTORY_PULL_TIMEOUT_MS))
        << "the request timed out";
}

TEST(DirectoryPacing, OnlyANewerDirectoryIsPulledAtALimitedRate) {
    directory_offer_t offer = {7, directory, 5000, 7, 0};
    EXPECT_FALSE(directory_pull_due(&offer, 100000));
    offer.offered_revision = 8;
    uint64_t pause = DIRECTORY_PULL_INTERVAL_MIN_MS + directory / DIRECTORY_PULL_BYTES_PER_MS;
    EXPECT_FALSE(directory_pull_due(&offer, 5000 + pause - 1));
    EXPECT_TRUE(directory_pull_due(&offer, 5000 + pause));
}

} // namespace
