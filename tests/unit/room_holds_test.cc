// The room that a storage node holds for turns that have begun.
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "core/turns/room_holds.h"
}

namespace {

constexpr uint64_t mean_before = 700;

class RoomHolds : public testing::Test {
  public:
    RoomHolds() {
        room_holds_init(&holds);
    }
    ~RoomHolds() override {
        room_holds_clear(&holds);
    }
    uint64_t held() const {
        return room_holds_bytes(&holds, mean_before);
    }

    room_holds_t holds;
};

TEST_F(RoomHolds, CallsCountWithTheMeanOfThoseBefore) {
    EXPECT_EQ(held(), 0u);
    room_holds_begin(&holds, "a", 0);
    room_holds_begin(&holds, "b", 0);
    room_holds_begin(&holds, "c", 0);
    EXPECT_EQ(held(), 3 * mean_before);
    room_holds_end(&holds, "a", 1000);
    EXPECT_EQ(held(), 2000u);
    room_holds_end(&holds, "b", 2600);
    EXPECT_EQ(held(), 1100u);
}

TEST_F(RoomHolds, ACallThatBringsNoTurnLowersTheMean) {
    room_holds_begin(&holds, "a", 0);
    room_holds_begin(&holds, "b", 0);
    room_holds_begin(&holds, "c", 0);
    room_holds_end(&holds, "a", 1600);
    room_holds_end(&holds, "b", 0);
    EXPECT_EQ(held(), 1500u);
}

// Near the limit most calls are refused: the few that run are as large as before.
TEST_F(RoomHolds, ACallThatWasNotRunLeavesTheMean) {
    room_holds_begin(&holds, "a", 0);
    room_holds_begin(&holds, "b", 0);
    room_holds_begin(&holds, "c", 0);
    room_holds_end(&holds, "a", 1600);
    room_holds_cancel(&holds, "b");
    EXPECT_EQ(held(), 1600u);
}

// A reserve or a turn may come more than once, and a settled call after its turn.
TEST_F(RoomHolds, EachCallCountsOnce) {
    room_holds_begin(&holds, "a", 0);
    room_holds_begin(&holds, "a", 1);
    room_holds_begin(&holds, "b", 1);
    room_holds_end(&holds, "a", 1600);
    room_holds_end(&holds, "a", 0);
    room_holds_cancel(&holds, "a");
    EXPECT_EQ(held(), 1600u);
}

TEST_F(RoomHolds, CallsOfALostGatewayAreForgotten) {
    room_holds_begin(&holds, "a", 0);
    room_holds_begin(&holds, "b", 10);
    room_holds_expire(&holds, ROOM_HOLD_MS - 1);
    EXPECT_EQ(held(), 2 * mean_before);
    room_holds_expire(&holds, ROOM_HOLD_MS);
    EXPECT_EQ(held(), mean_before);
    room_holds_end(&holds, "b", 50);
    EXPECT_EQ(held(), 0u);
}

} // namespace
