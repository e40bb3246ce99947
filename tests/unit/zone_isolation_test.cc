// Zone isolation with seven storage nodes: two in the local zone, five in others, write quorum
// four. Guards against late detection, false detection and an isolation that ends too early.
#include <algorithm>
#include <cstdint>
#include <random>
#include <vector>

extern "C" {
#include "core/isolation/zone_isolation.h"
}

#include <gtest/gtest.h>

namespace {

constexpr unsigned quorum = 4;
constexpr uint64_t answer_ms = 4;

// One gateway and its connections to the storage nodes, simulated in steps of 1 ms.
class Gateway {
  public:
    std::vector<zone_member_t> members;
    std::vector<bool> reached; // Probes are answered.
    zone_isolation_t isolation = {};
    uint64_t now = 10000;
    uint64_t waits_since = 0; // An operation has been waiting since then; 0: none.
    unsigned probes = 0;
    unsigned reconnects = 0;
    unsigned isolations = 0;
    unsigned ends = 0;
    bool neighbour_reaches = false; // A reopened connection through another gateway works.

    explicit Gateway(unsigned local = 2, unsigned remote = 5) {
        for (unsigned i = 0; i < local + remote; i++) {
            members.push_back({i < local, now, 0});
            reached.push_back(true);
        }
    }
    void isolate(bool on) {
        for (size_t i = 0; i < members.size(); i++)
            if (!members[i].local)
                reached[i] = !on;
    }
    void set_all(bool answers) {
        std::fill(reached.begin(), reached.end(), answers);
    }
    bool waiting() const {
        return waits_since > 0 && now >= waits_since + ZONE_SUSPECT_AFTER_MS;
    }
    void check() {
        bool before = isolation.isolated;
        zone_isolation_step_t step = zone_isolation_check(&isolation, members.data(),
                                                          members.size(), quorum, waiting(), now);
        isolations += !before && isolation.isolated;
        ends += before && !isolation.isolated;
        if (step == ZONE_ISOLATION_RECONNECT) {
            reconnects++;
            if (neighbour_reaches)
                set_all(true);
        }
        if (step == ZONE_ISOLATION_NO_ACTION)
            return;
        probes++;
        for (auto &member : members)
            member.probed_at = member.probed_at == 0 ? now : member.probed_at;
        answer_at = now + answer_ms;
    }
    void run(uint64_t ms, uint64_t first_check = 0) {
        for (uint64_t i = 0; i < ms; i++, now++) {
            if (now == answer_at)
                answer();
            if (i >= first_check && (i - first_check) % ZONE_CHECK_INTERVAL_MS == 0)
                check();
        }
    }

  private:
    uint64_t answer_at = 0;

    void answer() {
        for (size_t i = 0; i < members.size(); i++) {
            if (!reached[i])
                continue;
            members[i].last_received_at = now;
            members[i].probed_at = 0;
        }
    }
};

TEST(ZoneIsolation, AllGatewaysDetectItWithin550MsAndDoNotRevertIt) {
    std::mt19937 random(1);
    uint64_t first = UINT64_MAX;
    uint64_t last = 0;
    for (unsigned gateway = 0; gateway < 200; gateway++) {
        Gateway here;
        here.run(random() % 500);
        here.isolate(true);
        uint64_t began = here.now;
        here.waits_since = began;
        while (!here.isolation.isolated && here.now < began + 2000)
            here.run(ZONE_CHECK_INTERVAL_MS, random() % ZONE_CHECK_INTERVAL_MS);
        ASSERT_TRUE(here.isolation.isolated);
        uint64_t taken = here.isolation.since - began;
        first = std::min(first, taken);
        last = std::max(last, taken);
        here.run(6000);
        EXPECT_EQ(here.isolations, 1U);
        EXPECT_EQ(here.ends, 0U);
    }
    EXPECT_GE(first, uint64_t{ZONE_SUSPECT_AFTER_MS + ZONE_ISOLATED_AFTER_MS});
    EXPECT_LE(last, 550U);
}

TEST(ZoneIsolation, MembersAreProbedOnlyWhileAnOperationWaits) {
    Gateway here;
    here.run(60000);
    EXPECT_EQ(here.probes, 0U);
    here.waits_since = here.now; // An operation waits for a slow disk while all members respond.
    here.run(1000);
    EXPECT_LE(here.probes, 1000 / ZONE_PROBE_INTERVAL_MS + 1U);
    EXPECT_EQ(here.isolations, 0U);
}

TEST(ZoneIsolation, ANeighboursReportStartsDetectionWithoutOperations) {
    Gateway here;
    here.isolate(true);
    here.run(2000);
    EXPECT_FALSE(here.isolation.isolated) << "no operation is waiting";
    here.waits_since =
        here.now - ZONE_SUSPECT_AFTER_MS; // Another gateway's report counts as a waiting operation.
    here.run(ZONE_SUSPECT_MAX_MS);
    EXPECT_TRUE(here.isolation.isolated);
}

TEST(ZoneIsolation, LossOfOneMemberOrOneOtherZoneIsNoIsolation) {
    for (size_t lost : {0U, 2U, 6U}) {
        Gateway here;
        here.reached[lost] = false;
        here.waits_since = here.now;
        here.run(5000);
        EXPECT_EQ(here.isolations, 0U) << lost;
    }
    Gateway here; // Another zone with three members is lost.
    for (size_t i = 4; i < 7; i++)
        here.reached[i] = false;
    here.waits_since = here.now;
    here.run(5000);
    EXPECT_EQ(here.isolations, 0U);
}

TEST(ZoneIsolation, LossOfAllStorageNodesIsNoIsolation) {
    Gateway here;
    here.set_all(false);
    here.waits_since = here.now;
    here.run(5000);
    EXPECT_EQ(here.isolations, 0U) << "other gateways are no better off";
    EXPECT_FALSE(zone_isolation_suspected(&here.isolation, here.now))
        << "callers must not wait for the decision";
}

// Members of other zones still send frames, but probes do not reach them.
TEST(ZoneIsolation, OneWayIsolationIsDetected) {
    Gateway here;
    here.isolate(true);
    here.waits_since = here.now;
    here.run(600);
    EXPECT_TRUE(here.isolation.isolated) << "unsolicited frames do not count as responses";
}

TEST(ZoneIsolation, ASingleDisconnectedGatewayContinuesThroughANeighbour) {
    Gateway here;
    here.isolate(true);
    here.neighbour_reaches = true;
    here.waits_since = here.now;
    here.run(3000);
    EXPECT_EQ(here.reconnects, 1U);
    EXPECT_EQ(here.isolations, 0U);
}

TEST(ZoneIsolation, AnIsolatedNeighbourDoesNotEndIt) {
    Gateway here;
    here.isolate(true);
    here.waits_since = here.now;
    here.run(600);
    ASSERT_TRUE(here.isolation.isolated);
    // Connections through other gateways are reopened repeatedly without any response.
    here.run(6000);
    EXPECT_EQ(here.ends, 0U);
    // One member of another zone responds: three of seven, no quorum.
    here.reached[2] = true;
    here.run(1000);
    EXPECT_EQ(here.ends, 0U);
}

TEST(ZoneIsolation, FlappingConnectivityDoesNotEndItEarly) {
    Gateway here;
    here.waits_since = here.now;
    here.isolate(true);
    here.run(600);
    ASSERT_TRUE(here.isolation.isolated);
    for (unsigned i = 0; i < 20; i++) {
        here.isolate(false);
        here.run(150);
        here.isolate(true);
        here.run(350);
    }
    EXPECT_EQ(here.ends, 0U);
    here.isolate(false);
    uint64_t restored = here.now;
    while (here.isolation.isolated && here.now < restored + 5000)
        here.run(ZONE_CHECK_INTERVAL_MS);
    EXPECT_FALSE(here.isolation.isolated);
    EXPECT_GE(here.now - restored, uint64_t{ZONE_RECOVERY_MS});
    EXPECT_LE(here.now - restored, uint64_t{ZONE_RECOVERY_MS + 4 * ZONE_PROBE_INTERVAL_MS});
    EXPECT_EQ(here.isolations, 1U);
}

TEST(ZoneIsolation, APausedProcessRestartsDetection) {
    Gateway here;
    here.waits_since = here.now;
    here.check();
    here.now += 3000; // Responses are waiting in its sockets.
    here.check();
    EXPECT_EQ(here.isolations, 0U);
    here.run(1000);
    EXPECT_EQ(here.isolations, 0U);
    EXPECT_EQ(here.reconnects, 0U);
}

TEST(ZoneIsolation, RequiresStorageNodesInOtherZones) {
    Gateway here(7, 0);
    here.waits_since = here.now;
    here.set_all(false);
    here.run(3000);
    EXPECT_EQ(here.isolations, 0U);
}

} // namespace
