// At which back end of a service a call runs; and what callers of a zone's gateways get.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>
#include <vector>

extern "C" {
#include "core/routing/service_choice.h"
}

namespace {

constexpr uint64_t seed = 7;

std::vector<service_candidate_t> make(unsigned count) {
    std::vector<service_candidate_t> candidates;
    for (unsigned i = 0; i < count; i++)
        candidates.push_back({i + 1, 0, 6, false, true, false, 0, 0});
    return candidates;
}

unsigned choose(const std::vector<service_candidate_t> &candidates, uint64_t by = seed) {
    unsigned chosen = UINT32_MAX;
    service_choose(candidates.data(), static_cast<unsigned>(candidates.size()), by, &chosen);
    return chosen;
}

TEST(ServiceChoice, NoneOfNone) {
    unsigned chosen;
    EXPECT_FALSE(service_choose(nullptr, 0, seed, &chosen));
}

TEST(ServiceChoice, AKeptConnectionAndTheOwnZoneAreBetterAndLoadIsWorse) {
    auto candidates = make(4);
    candidates[2].connected = true;
    EXPECT_EQ(choose(candidates), 2U);
    candidates[2].load = 2;
    EXPECT_NE(choose(candidates), 2U) << "its calls take longer than a new connection";
    for (auto &candidate : candidates)
        candidate.near = false;
    candidates[0].near = true;
    EXPECT_EQ(choose(candidates), 0U);
    candidates[0].load = 6;
    EXPECT_NE(choose(candidates), 0U) << "its slots are taken";
}

TEST(ServiceChoice, OneThatIsAvoidedIsTakenOnlyIfManyAre) {
    auto candidates = make(4);
    for (unsigned i = 1; i < 4; i++)
        candidates[i].load = 5;
    candidates[0].avoided = true;
    EXPECT_NE(choose(candidates), 0U);
    candidates[1].avoided = true;
    EXPECT_NE(choose(candidates), 0U) << "even if doubtful it is a sign";
    for (auto &candidate : candidates)
        candidate.avoided = true;
    EXPECT_EQ(choose(candidates), 0U);
}

TEST(ServiceChoice, EachGatewayHasItsOwnOrderOfEqualsAndKeepsIt) {
    auto candidates = make(100);
    std::set<unsigned> chosen;
    for (uint64_t gateway = 1; gateway <= 100; gateway++) {
        chosen.insert(choose(candidates, gateway));
        EXPECT_EQ(choose(candidates, gateway), choose(candidates, gateway));
    }
    EXPECT_GT(chosen.size(), 40U);
}

/** Back ends of two zones whose speeds are measured; the near ones come first. */
std::vector<service_candidate_t> make_zones(unsigned near, unsigned far) {
    auto candidates = make(near + far);
    for (unsigned i = 0; i < near + far; i++) {
        candidates[i].near = i < near;
        candidates[i].speed_percent = 100;
        candidates[i].answer_ms = 50;
    }
    return candidates;
}

TEST(ServiceChoice, ASlowBackEndGetsACallWhenTheOthersWouldTakeLonger) {
    auto candidates = make_zones(3, 0);
    candidates[0].speed_percent = 40;
    EXPECT_NE(choose(candidates), 0U) << "a call takes 75 ms longer there";
    candidates[1].load = 4;
    candidates[2].load = 4;
    EXPECT_NE(choose(candidates), 0U);
    candidates[1].load = 8;
    candidates[2].load = 8;
    EXPECT_EQ(choose(candidates), 0U) << "the others' queues are longer than that";
    candidates[2].load = 0;
    candidates[2].speed_percent = 200;
    EXPECT_EQ(choose(candidates), 2U);
}

TEST(ServiceChoice, SpeedsThatAreNotMeasuredChangeNothing) {
    for (unsigned load = 0; load < 10; load++) {
        service_candidate_t measured = {1, load, 6, false, true, false, 100, 50};
        service_candidate_t other = {1, load, 6, false, true, false, 0, 0};
        EXPECT_EQ(service_cost(&measured), service_cost(&other));
        other.near = false;
        other.connected = true;
        EXPECT_EQ(service_cost(&other),
                  static_cast<int>(load * 50 + (load < 6 ? 0 : load - 5) * 400 + SERVICE_FAR_COST));
    }
}

/** Calls that all arrive in one zone and stay there; how many go to the other zone. */
unsigned calls_far(std::vector<service_candidate_t> candidates, unsigned calls) {
    unsigned far = 0;
    for (unsigned i = 0; i < calls; i++) {
        std::vector<service_candidate_t> near;
        for (const auto &candidate : candidates)
            if (candidate.near)
                near.push_back(candidate);
        unsigned chosen = choose(near);
        if (!service_stays_near(&near[chosen]))
            chosen = choose(candidates);
        candidates[chosen].load++;
        candidates[chosen].connected = true;
        far += candidates[chosen].near ? 0 : 1;
    }
    return far;
}

// The load: callers move to a zone of 4 back ends of 6 slots, and 40 calls are under way there at
// once. By counts alone 8 of the first 24 went to the other zone, while slots here were free.
TEST(ServiceChoice, AZoneOverflowsBeforeItQueuesAndNoEarlier) {
    auto zones = make_zones(4, 4);
    EXPECT_EQ(calls_far(zones, 24), 0U) << "as long as there are free slots";
    EXPECT_EQ(calls_far(zones, 40), 16U) << "before any call queues";
    auto unmeasured = zones;
    for (auto &candidate : unmeasured)
        candidate.speed_percent = 0;
    unsigned before = calls_far(unmeasured, 24);
    std::cout << "far of 24 calls by counts alone: " << before << "\n";
    EXPECT_GT(before, 0U) << "what this guards against";
}

/** A zone's gateways in virtual time; what one has under way the others hear too late. */
struct Zone {
    static constexpr unsigned gateways = 145;
    static constexpr unsigned backends = 555;
    static constexpr unsigned slots = 6;
    static constexpr unsigned calls = 3000;
    static constexpr double calls_a_ms = 0.12;
    static constexpr double call_ms = 70;
    unsigned crowded = 0; /**< Calls that found all slots taken. */
    unsigned connections = 0;

    struct Call {
        double ends;
        unsigned gateway;
        unsigned backend;
    };
    void play(bool own_orders) {
        std::mt19937 random(3);
        std::exponential_distribution<double> pause(calls_a_ms);
        std::exponential_distribution<double> length(1 / call_ms);
        std::vector<std::vector<unsigned>> mine(gateways, std::vector<unsigned>(backends));
        std::vector<std::vector<unsigned>> idle = mine;
        std::vector<unsigned> load(backends);
        std::vector<Call> under_way;
        double now = 0;
        for (unsigned i = 0; i < calls; i++) {
            now += pause(random);
            for (size_t j = under_way.size(); j > 0; j--) {
                Call call = under_way[j - 1];
                if (call.ends > now)
                    continue;
                load[call.backend]--;
                mine[call.gateway][call.backend]--;
                idle[call.gateway][call.backend]++;
                under_way.erase(under_way.begin() + static_cast<long>(j) - 1);
            }
            unsigned gateway = static_cast<unsigned>(random()) % gateways;
            auto candidates = make(backends);
            for (unsigned j = 0; j < backends; j++) {
                candidates[j].load = mine[gateway][j];
                candidates[j].connected = idle[gateway][j] > 0;
            }
            unsigned chosen = choose(candidates, own_orders ? gateway + 1 : seed);
            crowded += load[chosen] >= slots;
            if (idle[gateway][chosen] > 0)
                idle[gateway][chosen]--;
            else
                connections++;
            load[chosen]++;
            mine[gateway][chosen]++;
            under_way.push_back({now + length(random), gateway, chosen});
        }
    }
};

TEST(ServiceChoice, GatewaysThatHearTooLateOfOneAnotherDoNotCrowdOneBackEnd) {
    Zone one_order;
    one_order.play(false);
    Zone own_orders;
    own_orders.play(true);
    std::cout << "calls that found the slots taken: one order " << one_order.crowded
              << ", own orders " << own_orders.crowded << " of " << Zone::calls << "; connections "
              << one_order.connections << ", " << own_orders.connections << "\n";
    EXPECT_GT(one_order.crowded, Zone::calls / 2) << "what this guards against";
    EXPECT_EQ(own_orders.crowded, 0U);
    EXPECT_LE(own_orders.connections, one_order.connections * 11 / 10);
}

} // namespace
