// Load: seven storage nodes in two groups (two in the gateways' zone, five in others; a write needs
// four), gateways that look every 50 ms. What callers get: while their zone is cut off, a refusal
// that is known 378 to 499 ms after a gateway's first operation began to wait, in each of 200 drawn
// cases, and is not taken back for the 6 s that the cut lasts.
#include <algorithm>
#include <cstdint>
#include <random>
#include <vector>

extern "C" {
#include "core/isolation/zone_silence.h"
}

#include <gtest/gtest.h>

namespace {

constexpr unsigned quorum = 4;
constexpr uint64_t answer_ms = 4;

// One gateway and its ways to the storage nodes, millisecond by millisecond.
class Gateway {
  public:
    std::vector<zone_member_t> members;
    std::vector<bool> reached; // A question is answered.
    zone_silence_t silence = {};
    uint64_t now = 10000;
    uint64_t waits_since = 0; // An operation waits; 0: none does.
    unsigned asked = 0;
    unsigned reconnects = 0;
    unsigned cuts = 0;
    unsigned ends = 0;
    bool neighbour_reaches = false; // A new connection goes through it.

    explicit Gateway(unsigned near = 2, unsigned far = 5) {
        for (unsigned i = 0; i < near + far; i++) {
            members.push_back({i < near, now, 0});
            reached.push_back(true);
        }
    }
    void cut_far(bool cut) {
        for (size_t i = 0; i < members.size(); i++)
            if (!members[i].near)
                reached[i] = !cut;
    }
    void set_all(bool answers) {
        std::fill(reached.begin(), reached.end(), answers);
    }
    bool waiting() const {
        return waits_since > 0 && now >= waits_since + ZONE_WAIT_MS;
    }
    void look() {
        bool before = silence.cut;
        zone_silence_step_t step =
            zone_silence_look(&silence, members.data(), members.size(), quorum, waiting(), now);
        cuts += !before && silence.cut;
        ends += before && !silence.cut;
        if (step == ZONE_SILENCE_RECONNECT) {
            reconnects++;
            if (neighbour_reaches)
                set_all(true);
        }
        if (step == ZONE_SILENCE_NOTHING)
            return;
        asked++;
        for (auto &member : members)
            member.asked_at = member.asked_at == 0 ? now : member.asked_at;
        answer_at = now + answer_ms;
    }
    void run(uint64_t ms, uint64_t first_look = 0) {
        for (uint64_t i = 0; i < ms; i++, now++) {
            if (now == answer_at)
                answer();
            if (i >= first_look && (i - first_look) % ZONE_LOOK_MS == 0)
                look();
        }
    }

  private:
    uint64_t answer_at = 0;

    void answer() {
        for (size_t i = 0; i < members.size(); i++) {
            if (!reached[i])
                continue;
            members[i].heard_at = now;
            members[i].asked_at = 0;
        }
    }
};

TEST(ZoneSilence, AllGatewaysOfACutZoneKnowItWithinHalfASecondAndStayByIt) {
    std::mt19937 random(1);
    uint64_t first = UINT64_MAX;
    uint64_t last = 0;
    for (unsigned gateway = 0; gateway < 200; gateway++) {
        Gateway here;
        here.run(random() % 500);
        here.cut_far(true);
        uint64_t began = here.now;
        here.waits_since = began;
        while (!here.silence.cut && here.now < began + 2000)
            here.run(ZONE_LOOK_MS, random() % ZONE_LOOK_MS);
        ASSERT_TRUE(here.silence.cut);
        uint64_t taken = here.silence.since - began;
        first = std::min(first, taken);
        last = std::max(last, taken);
        here.run(6000);
        EXPECT_EQ(here.cuts, 1U);
        EXPECT_EQ(here.ends, 0U);
    }
    EXPECT_GE(first, uint64_t{ZONE_WAIT_MS + ZONE_ISOLATED_AFTER_MS});
    EXPECT_LE(last, 550U);
}

TEST(ZoneSilence, ACalmGatewayAsksNobody) {
    Gateway here;
    here.run(60000);
    EXPECT_EQ(here.asked, 0U);
    here.waits_since = here.now; // An operation waits for a slow disk, though all are heard.
    here.run(1000);
    EXPECT_LE(here.asked, 1000 / ZONE_PROBE_INTERVAL_MS + 1U);
    EXPECT_EQ(here.cuts, 0U);
}

TEST(ZoneSilence, AGatewayWithoutOperationsFindsOutAtANeighboursWord) {
    Gateway here;
    here.cut_far(true);
    here.run(2000);
    EXPECT_FALSE(here.silence.cut) << "nobody has anything to ask";
    here.waits_since = here.now - ZONE_WAIT_MS; // The neighbour's word counts as one that waits.
    here.run(ZONE_SUSPECT_MAX_MS);
    EXPECT_TRUE(here.silence.cut);
}

TEST(ZoneSilence, OneMemberOrOneZoneLostIsNoCut) {
    for (size_t lost : {0U, 2U, 6U}) {
        Gateway here;
        here.reached[lost] = false;
        here.waits_since = here.now;
        here.run(5000);
        EXPECT_EQ(here.cuts, 0U) << lost;
    }
    Gateway here; // Another zone is cut off or lost: three of its members.
    for (size_t i = 4; i < 7; i++)
        here.reached[i] = false;
    here.waits_since = here.now;
    here.run(5000);
    EXPECT_EQ(here.cuts, 0U);
}

TEST(ZoneSilence, AllStorageNodesLostIsNoCutZone) {
    Gateway here;
    here.set_all(false);
    here.waits_since = here.now;
    here.run(5000);
    EXPECT_EQ(here.cuts, 0U) << "other gateways are no better";
    EXPECT_FALSE(zone_silence_in_doubt(&here.silence, here.now)) << "callers do not wait for it";
}

// Frames still come from the others, but no question reaches them.
TEST(ZoneSilence, ACutOfOneDirectionIsFoundAsWell) {
    Gateway here;
    here.cut_far(true);
    here.waits_since = here.now;
    here.run(600);
    EXPECT_TRUE(here.silence.cut) << "what comes unasked sets neither heard_at nor asked_at";
}

TEST(ZoneSilence, ASingleGatewayThatIsCutOffGoesOnThroughANeighbour) {
    Gateway here;
    here.cut_far(true);
    here.neighbour_reaches = true;
    here.waits_since = here.now;
    here.run(3000);
    EXPECT_EQ(here.reconnects, 1U);
    EXPECT_EQ(here.cuts, 0U);
}

TEST(ZoneSilence, ANeighbourBehindTheSameCutChangesNothing) {
    Gateway here;
    here.cut_far(true);
    here.waits_since = here.now;
    here.run(600);
    ASSERT_TRUE(here.silence.cut);
    // Connections through neighbours open again and again, and nothing is heard on them.
    here.run(6000);
    EXPECT_EQ(here.ends, 0U);
    // One member of another zone is heard: three of seven, no quorum.
    here.reached[2] = true;
    here.run(1000);
    EXPECT_EQ(here.ends, 0U);
}

TEST(ZoneSilence, AFlappingCutEndsOnlyOnceAQuorumIsHeardForAWhile) {
    Gateway here;
    here.waits_since = here.now;
    here.cut_far(true);
    here.run(600);
    ASSERT_TRUE(here.silence.cut);
    for (unsigned i = 0; i < 20; i++) {
        here.cut_far(false);
        here.run(150);
        here.cut_far(true);
        here.run(350);
    }
    EXPECT_EQ(here.ends, 0U);
    here.cut_far(false);
    uint64_t healed = here.now;
    while (here.silence.cut && here.now < healed + 5000)
        here.run(ZONE_LOOK_MS);
    EXPECT_FALSE(here.silence.cut);
    EXPECT_GE(here.now - healed, uint64_t{ZONE_RECOVERY_MS});
    EXPECT_LE(here.now - healed, uint64_t{ZONE_RECOVERY_MS + 4 * ZONE_PROBE_INTERVAL_MS});
    EXPECT_EQ(here.cuts, 1U);
}

TEST(ZoneSilence, AProcessThatStoodStillHearsLateItself) {
    Gateway here;
    here.waits_since = here.now;
    here.look();
    here.now += 3000; // Answers wait in its sockets.
    here.look();
    EXPECT_EQ(here.cuts, 0U);
    here.run(1000);
    EXPECT_EQ(here.cuts, 0U);
    EXPECT_EQ(here.reconnects, 0U);
}

TEST(ZoneSilence, WithoutStorageNodesInOtherZonesThereIsNoCut) {
    Gateway here(7, 0);
    here.waits_since = here.now;
    here.set_all(false);
    here.run(3000);
    EXPECT_EQ(here.cuts, 0U);
}

} // namespace
