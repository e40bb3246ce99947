// Limits how many of the gateways that start at once list the key-value service.
#include <gtest/gtest.h>

extern "C" {
#include "core/configuration/listing_turn.h"
#include "core/configuration/watch_duty.h"
}

namespace {

constexpr uint64_t start = 5000;
constexpr uint64_t told = start + 400;

listing_turn_t turn_of(unsigned rank, bool below) {
    return {start, told, rank, below, false, 0, 1000};
}

TEST(ListingTurn, OnlyTheFirstOfTheRootCellListSoon) {
    for (unsigned rank = 0; rank < 100; rank++) {
        listing_turn_t turn = turn_of(rank, false);
        EXPECT_FALSE(listing_turn_due(&turn, told + LISTING_SETTLE_MS - 1));
        EXPECT_EQ(listing_turn_due(&turn, told + LISTING_SETTLE_MS), rank < WATCH_RENEWING);
        turn.below = true;
        EXPECT_FALSE(listing_turn_due(&turn, told + LISTING_SETTLE_MS));
    }
}

TEST(ListingTurn, TheNextListIfTheFirstDoNot) {
    listing_turn_t turn = turn_of(WATCH_RENEWING, false);
    EXPECT_FALSE(listing_turn_due(&turn, told + LISTING_SETTLE_MS + LISTING_EACH_MS - 1));
    EXPECT_TRUE(listing_turn_due(&turn, told + LISTING_SETTLE_MS + LISTING_EACH_MS));
}

TEST(ListingTurn, AnyGatewayListsAfterItsTimeoutAndJitter) {
    listing_turn_t turn = turn_of(500, true);
    EXPECT_FALSE(listing_turn_due(&turn, start + LISTING_MOST_MS + turn.spread_ms - 1));
    EXPECT_TRUE(listing_turn_due(&turn, start + LISTING_MOST_MS + turn.spread_ms));
    turn.told_at = 0;
    EXPECT_FALSE(listing_turn_due(&turn, start + LISTING_MOST_MS + turn.spread_ms - 1));
    EXPECT_TRUE(listing_turn_due(&turn, start + LISTING_MOST_MS + turn.spread_ms));
}

// A view from a storage node may hold an old configuration and must be confirmed soon. The timeout
// counts from the view: counted from the start, all gateways would ask while back ends register.
TEST(ListingTurn, AViewFromAStorageNodeIsConfirmedWithin4500Ms) {
    constexpr uint64_t kept = start + 3000;
    listing_turn_t turn = turn_of(500, true);
    turn.kept_at = kept;
    for (uint32_t spread = 0; spread < LISTING_SPREAD_MS; spread += 100) {
        turn.spread_ms = spread;
        EXPECT_FALSE(listing_turn_due(&turn, kept + LISTING_KEPT_MS - 1));
        EXPECT_TRUE(listing_turn_due(&turn, kept + 4500));
    }
    turn.kept_at = 0;
    EXPECT_FALSE(listing_turn_due(&turn, kept + 4500)) << "it follows another gateway";
}

// Without storage nodes it cannot receive a view, but can serve calls that need none of them.
TEST(ListingTurn, AGatewayWithoutStorageNodesListsSooner) {
    listing_turn_t turn = turn_of(500, false);
    turn.told_at = 0;
    turn.lone = true;
    EXPECT_FALSE(listing_turn_due(&turn, start + LISTING_LONE_MS + turn.spread_ms - 1));
    EXPECT_TRUE(listing_turn_due(&turn, start + LISTING_LONE_MS + turn.spread_ms));
}

// The listings of all gateways together would exceed the call rate of the service.
TEST(ListingTurn, TheNumberOfListingsDoesNotGrowWithTheFleet) {
    for (unsigned gateways : {30U, 300U, 3300U}) {
        unsigned listing = 0;
        for (unsigned rank = 0; rank < gateways; rank++) {
            listing_turn_t turn = turn_of(rank, rank >= 48);
            listing += listing_turn_due(&turn, told + LISTING_SETTLE_MS + 1000) ? 1 : 0;
        }
        EXPECT_EQ(listing, unsigned{WATCH_RENEWING}) << gateways;
    }
}

} // namespace
