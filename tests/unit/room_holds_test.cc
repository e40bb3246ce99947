// Space that a storage node reserves for the turns of calls in progress.
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "core/turns/room_holds.h"
}

namespace {

constexpr uint64_t initial_mean = 700;

class RoomHolds : public testing::Test {
  public:
    RoomHolds() {
        room_holds_init(&holds);
    }
    ~RoomHolds() override {
        room_holds_clear(&holds);
    }
    uint64_t reserved() const {
        return room_holds_bytes(&holds, initial_mean);
    }

    room_holds_t holds;
};

TEST_F(RoomHolds, CallsCountWithTheMeanOfEarlierOnes) {
    EXPECT_EQ(reserved(), 0u);
    room_holds_begin(&holds, "a", 0);
    room_holds_begin(&holds, "b", 0);
    room_holds_begin(&holds, "c", 0);
    EXPECT_EQ(reserved(), 3 * initial_mean);
    room_holds_end(&holds, "a", 1000);
    EXPECT_EQ(reserved(), 2000u);
    room_holds_end(&holds, "b", 2600);
    EXPECT_EQ(reserved(), 1100u);
}

TEST_F(RoomHolds, ACallWithoutATurnLowersTheMean) {
    room_holds_begin(&holds, "a", 0);
    room_holds_begin(&holds, "b", 0);
    room_holds_begin(&holds, "c", 0);
    room_holds_end(&holds, "a", 1600);
    room_holds_end(&holds, "b", 0);
    EXPECT_EQ(reserved(), 1500u);
}

// Near the limit most calls are refused, which must not lower the estimate of the others.
TEST_F(RoomHolds, ACallThatWasNotRunDoesNotChangeTheMean) {
    room_holds_begin(&holds, "a", 0);
    room_holds_begin(&holds, "b", 0);
    room_holds_begin(&holds, "c", 0);
    room_holds_end(&holds, "a", 1600);
    room_holds_cancel(&holds, "b");
    EXPECT_EQ(reserved(), 1600u);
}

// Reserves and turns may be repeated, and a settlement may follow its call's turn.
TEST_F(RoomHolds, EachCallCountsOnce) {
    room_holds_begin(&holds, "a", 0);
    room_holds_begin(&holds, "a", 1);
    room_holds_begin(&holds, "b", 1);
    room_holds_end(&holds, "a", 1600);
    room_holds_end(&holds, "a", 0);
    room_holds_cancel(&holds, "a");
    EXPECT_EQ(reserved(), 1600u);
}

TEST_F(RoomHolds, ReservationsOfAFailedGatewayExpire) {
    room_holds_begin(&holds, "a", 0);
    room_holds_begin(&holds, "b", 10);
    room_holds_expire(&holds, ROOM_HOLD_MS - 1);
    EXPECT_EQ(reserved(), 2 * initial_mean);
    room_holds_expire(&holds, ROOM_HOLD_MS);
    EXPECT_EQ(reserved(), initial_mean);
    room_holds_end(&holds, "b", 50);
    EXPECT_EQ(reserved(), 0u);
}

} // namespace
