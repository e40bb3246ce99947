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
        candidates.push_back({i + 1, 0, 6, false, true, false});
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
