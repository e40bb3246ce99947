// Limits how many of the gateways that start at once list the key-value service.
#include <gtest/gtest.h>

extern "C" {
#include "core/configuration/listing_schedule.h"
#include "core/configuration/watch_role.h"
}

namespace {

constexpr uint64_t start = 5000;
constexpr uint64_t peers_known = start + 400;

listing_schedule_t schedule_of(unsigned rank, bool below) {
    return {start, peers_known, rank, below, false, 0, 1000};
}

TEST(ListingSchedule, OnlyTheFirstOfTheRootCellListSoon) {
    for (unsigned rank = 0; rank < 100; rank++) {
        listing_schedule_t schedule = schedule_of(rank, false);
        EXPECT_FALSE(listing_schedule_due(&schedule, peers_known + LISTING_SETTLE_MS - 1));
        EXPECT_EQ(listing_schedule_due(&schedule, peers_known + LISTING_SETTLE_MS),
                  rank < WATCH_RENEWING);
        schedule.below = true;
        EXPECT_FALSE(listing_schedule_due(&schedule, peers_known + LISTING_SETTLE_MS));
    }
}

TEST(ListingSchedule, TheNextListIfTheFirstDoNot) {
    listing_schedule_t schedule = schedule_of(WATCH_RENEWING, false);
    EXPECT_FALSE(listing_schedule_due(&schedule, peers_known + LISTING_SETTLE_MS +
                                                     LISTING_RANK_INTERVAL_MS - 1));
    EXPECT_TRUE(listing_schedule_due(&schedule,
                                     peers_known + LISTING_SETTLE_MS + LISTING_RANK_INTERVAL_MS));
}

TEST(ListingSchedule, AnyGatewayListsAfterItsTimeoutAndJitter) {
    listing_schedule_t schedule = schedule_of(500, true);
    EXPECT_FALSE(
        listing_schedule_due(&schedule, start + LISTING_TIMEOUT_MS + schedule.jitter_ms - 1));
    EXPECT_TRUE(listing_schedule_due(&schedule, start + LISTING_TIMEOUT_MS + schedule.jitter_ms));
    schedule.peers_known_at = 0;
    EXPECT_FALSE(
        listing_schedule_due(&schedule, start + LISTING_TIMEOUT_MS + schedule.jitter_ms - 1));
    EXPECT_TRUE(listing_schedule_due(&schedule, start + LISTING_TIMEOUT_MS + schedule.jitter_ms));
}

// A view from a storage node may hold an old configuration and must be confirmed soon. The timeout
// counts from the view: counted from the start, all gateways would ask while back ends register.
TEST(ListingSchedule, AViewFromAStorageNodeIsConfirmedWithin4500Ms) {
    constexpr uint64_t kept = start + 3000;
    listing_schedule_t schedule = schedule_of(500, true);
    schedule.view_received_at = kept;
    for (uint32_t spread = 0; spread < LISTING_JITTER_MAX_MS; spread += 100) {
        schedule.jitter_ms = spread;
        EXPECT_FALSE(listing_schedule_due(&schedule, kept + LISTING_CONFIRM_TIMEOUT_MS - 1));
        EXPECT_TRUE(listing_schedule_due(&schedule, kept + 4500));
    }
    schedule.view_received_at = 0;
    EXPECT_FALSE(listing_schedule_due(&schedule, kept + 4500)) << "it follows another gateway";
}

// Without storage nodes it cannot receive a view, but can serve calls that need none of them.
TEST(ListingSchedule, AGatewayWithoutStorageNodesListsSooner) {
    listing_schedule_t schedule = schedule_of(500, false);
    schedule.peers_known_at = 0;
    schedule.no_stores = true;
    EXPECT_FALSE(listing_schedule_due(&schedule, start + LISTING_NO_STORES_TIMEOUT_MS +
                                                     schedule.jitter_ms - 1));
    EXPECT_TRUE(
        listing_schedule_due(&schedule, start + LISTING_NO_STORES_TIMEOUT_MS + schedule.jitter_ms));
}

// The listings of all gateways together would exceed the call rate of the service.
TEST(ListingSchedule, TheNumberOfListingsDoesNotGrowWithTheFleet) {
    for (unsigned gateways : {30U, 300U, 3300U}) {
        unsigned listing = 0;
        for (unsigned rank = 0; rank < gateways; rank++) {
            listing_schedule_t schedule = schedule_of(rank, rank >= 48);
            listing +=
                listing_schedule_due(&schedule, peers_known + LISTING_SETTLE_MS + 1000) ? 1 : 0;
        }
        EXPECT_EQ(listing, unsigned{WATCH_RENEWING}) << gateways;
    }
}

} // namespace
