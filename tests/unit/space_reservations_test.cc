// Space that a storage node reserves for the turns of calls in progress.
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "core/turns/space_reservations.h"
}

namespace {

constexpr uint64_t initial_mean = 700;

class SpaceReservations : public testing::Test {
  public:
    SpaceReservations() {
        space_reservations_init(&holds);
    }
    ~SpaceReservations() override {
        space_reservations_clear(&holds);
    }
    uint64_t reserved() const {
        return space_reservations_bytes(&holds, initial_mean);
    }

    space_reservations_t holds;
};

TEST_F(SpaceReservations, CallsCountWithTheMeanOfEarlierOnes) {
    EXPECT_EQ(reserved(), 0u);
    space_reservations_add(&holds, "a", 0);
    space_reservations_add(&holds, "b", 0);
    space_reservations_add(&holds, "c", 0);
    EXPECT_EQ(reserved(), 3 * initial_mean);
    space_reservations_complete(&holds, "a", 1000);
    EXPECT_EQ(reserved(), 2000u);
    space_reservations_complete(&holds, "b", 2600);
    EXPECT_EQ(reserved(), 1100u);
}

TEST_F(SpaceReservations, ACallWithoutATurnLowersTheMean) {
    space_reservations_add(&holds, "a", 0);
    space_reservations_add(&holds, "b", 0);
    space_reservations_add(&holds, "c", 0);
    space_reservations_complete(&holds, "a", 1600);
    space_reservations_complete(&holds, "b", 0);
    EXPECT_EQ(reserved(), 1500u);
}

// Near the limit most calls are refused, which must not lower the estimate of the others.
TEST_F(SpaceReservations, ACallThatWasNotRunDoesNotChangeTheMean) {
    space_reservations_add(&holds, "a", 0);
    space_reservations_add(&holds, "b", 0);
    space_reservations_add(&holds, "c", 0);
    space_reservations_complete(&holds, "a", 1600);
    space_reservations_cancel(&holds, "b");
    EXPECT_EQ(reserved(), 1600u);
}

// Reserves and turns may be repeated, and a settlement may follow its call's turn.
TEST_F(SpaceReservations, EachCallCountsOnce) {
    space_reservations_add(&holds, "a", 0);
    space_reservations_add(&holds, "a", 1);
    space_reservations_add(&holds, "b", 1);
    space_reservations_complete(&holds, "a", 1600);
    space_reservations_complete(&holds, "a", 0);
    space_reservations_cancel(&holds, "a");
    EXPECT_EQ(reserved(), 1600u);
}

TEST_F(SpaceReservations, ReservationsOfAFailedGatewayExpire) {
    space_reservations_add(&holds, "a", 0);
    space_reservations_add(&holds, "b", 10);
    space_reservations_expire(&holds, SPACE_RESERVATION_TIMEOUT_MS - 1);
    EXPECT_EQ(reserved(), 2 * initial_mean);
    space_reservations_expire(&holds, SPACE_RESERVATION_TIMEOUT_MS);
    EXPECT_EQ(reserved(), initial_mean);
    space_reservations_complete(&holds, "b", 50);
    EXPECT_EQ(reserved(), 0u);
}

} // namespace
