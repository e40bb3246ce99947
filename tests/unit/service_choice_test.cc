// Tests of back end selection for service calls, and of the load that results for a whole zone.
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

TEST(ServiceChoice, NoBackEndIsFoundWithoutCandidates) {
    unsigned chosen;
    EXPECT_FALSE(service_choose(nullptr, 0, seed, &chosen));
}

TEST(ServiceChoice, AnIdleConnectionAndTheLocalZoneArePreferredAndLoadIsAvoided) {
    auto candidates = make(4);
    candidates[2].connected = true;
    EXPECT_EQ(choose(candidates), 2U);
    candidates[2].load = 2;
    EXPECT_NE(choose(candidates), 2U) << "its load costs more than a new connection";
    for (auto &candidate : candidates)
        candidate.local = false;
    candidates[0].local = true;
    EXPECT_EQ(choose(candidates), 0U);
    candidates[0].load = 6;
    EXPECT_NE(choose(candidates), 0U) << "its slots are occupied";
}

TEST(ServiceChoice, AnAvoidedBackEndIsUsedOnlyIfManyAre) {
    auto candidates = make(4);
    for (unsigned i = 1; i < 4; i++)
        candidates[i].load = 5;
    candidates[0].avoided = true;
    EXPECT_NE(choose(candidates), 0U);
    candidates[1].avoided = true;
    EXPECT_NE(choose(candidates), 0U) << "an unreliable indication still adds a cost";
    for (auto &candidate : candidates)
        candidate.avoided = true;
    EXPECT_EQ(choose(candidates), 0U);
}

TEST(ServiceChoice, TiesAreBrokenDifferentlyAndConsistentlyByEachGateway) {
    auto candidates = make(100);
    std::set<unsigned> chosen;
    for (uint64_t gateway = 1; gateway <= 100; gateway++) {
        chosen.insert(choose(candidates, gateway));
        EXPECT_EQ(choose(candidates, gateway), choose(candidates, gateway));
    }
    EXPECT_GT(chosen.size(), 40U);
}

/** Back ends of two zones whose speeds are measured; the local ones come first. */
std::vector<service_candidate_t> make_zones(unsigned local_count, unsigned remote) {
    auto candidates = make(local_count + remote);
    for (unsigned i = 0; i < local_count + remote; i++) {
        candidates[i].local = i < local_count;
        candidates[i].speed_percent = 100;
        candidates[i].answer_ms = 50;
    }
    return candidates;
}

TEST(ServiceChoice, ASlowBackEndIsUsedWhenTheOthersWouldTakeLonger) {
    auto candidates = make_zones(3, 0);
    candidates[0].speed_percent = 40;
    EXPECT_NE(choose(candidates), 0U) << "a call takes 75 ms longer there";
    candidates[1].load = 4;
    candidates[2].load = 4;
    EXPECT_NE(choose(candidates), 0U);
    candidates[1].load = 8;
    candidates[2].load = 8;
    EXPECT_EQ(choose(candidates), 0U) << "the others' queues take longer than that";
    candidates[2].load = 0;
    candidates[2].speed_percent = 200;
    EXPECT_EQ(choose(candidates), 2U);
}

TEST(ServiceChoice, CostWithoutMeasuredSpeedsEqualsCostAtTypicalSpeed) {
    for (unsigned load = 0; load < 10; load++) {
        service_candidate_t measured = {1, load, 6, false, true, false, 100, 50};
        service_candidate_t other = {1, load, 6, false, true, false, 0, 0};
        EXPECT_EQ(service_cost(&measured), service_cost(&other));
        other.local = false;
        other.connected = true;
        EXPECT_EQ(
            service_cost(&other),
            static_cast<int>(load * 50 + (load < 6 ? 0 : load - 5) * 400 + SERVICE_REMOTE_COST));
    }
}

/** Sends calls from one zone that all stay in progress; returns how many use the other zone. */
unsigned remote_calls(std::vector<service_candidate_t> candidates, unsigned calls) {
    unsigned remote = 0;
    for (unsigned i = 0; i < calls; i++) {
        std::vector<service_candidate_t> local_candidates;
        for (const auto &candidate : candidates)
            if (candidate.local)
                local_candidates.push_back(candidate);
        unsigned chosen = choose(local_candidates);
        if (!service_stays_local(&local_candidates[chosen]))
            chosen = choose(candidates);
        candidates[chosen].load++;
        candidates[chosen].connected = true;
        remote += candidates[chosen].local ? 0 : 1;
    }
    return remote;
}

// Guards against calls that are queued in the local zone although another has free slots, and
// against the use of another zone while the local one has free slots.
TEST(ServiceChoice, CallsOverflowToAnotherZoneWhenTheLocalSlotsAreOccupied) {
    auto zones = make_zones(4, 4);
    EXPECT_EQ(remote_calls(zones, 24), 0U) << "the local zone has free slots";
    EXPECT_EQ(remote_calls(zones, 40), 16U) << "no call is queued";
    auto unmeasured = zones;
    for (auto &candidate : unmeasured)
        candidate.speed_percent = 0;
    unsigned unmeasured_remote = remote_calls(unmeasured, 24);
    std::cout << "remote of 24 calls without measured speeds: " << unmeasured_remote << "\n";
    EXPECT_GT(unmeasured_remote, 0U) << "the failure to guard against";
}

/** The gateways of a zone in virtual time; none learns of the calls of the others. */
struct Zone {
    static constexpr unsigned gateways = 145;
    static constexpr unsigned backends = 555;
    static constexpr unsigned slots = 6;
    static constexpr unsigned calls = 3000;
    static constexpr double calls_per_ms = 0.12;
    static constexpr double call_ms = 70;
    unsigned queued = 0; /**< Calls sent to a back end without free slots. */
    unsigned connections = 0;

    struct Call {
        double ends;
        unsigned gateway;
        unsigned backend;
    };
    void run(bool per_gateway_order) {
        std::mt19937 random(3);
        std::exponential_distribution<double> interval(calls_per_ms);
        std::exponential_distribution<double> duration(1 / call_ms);
        std::vector<std::vector<unsigned>> own_load(gateways, std::vector<unsigned>(backends));
        std::vector<std::vector<unsigned>> idle = own_load;
        std::vector<unsigned> load(backends);
        std::vector<Call> in_progress;
        double now = 0;
        for (unsigned i = 0; i < calls; i++) {
            now += interval(random);
            for (size_t j = in_progress.size(); j > 0; j--) {
                Call call = in_progress[j - 1];
                if (call.ends > now)
                    continue;
                load[call.backend]--;
                own_load[call.gateway][call.backend]--;
                idle[call.gateway][call.backend]++;
                in_progress.erase(in_progress.begin() + static_cast<long>(j) - 1);
            }
            unsigned gateway = static_cast<unsigned>(random()) % gateways;
            auto candidates = make(backends);
            for (unsigned j = 0; j < backends; j++) {
                candidates[j].load = own_load[gateway][j];
                candidates[j].connected = idle[gateway][j] > 0;
            }
            unsigned chosen = choose(candidates, per_gateway_order ? gateway + 1 : seed);
            queued += load[chosen] >= slots;
            if (idle[gateway][chosen] > 0)
                idle[gateway][chosen]--;
            else
                connections++;
            load[chosen]++;
            own_load[gateway][chosen]++;
            in_progress.push_back({now + duration(random), gateway, chosen});
        }
    }
};

// Guards against herding: all gateways send to the same back end.
TEST(ServiceChoice, GatewaysWithStaleLoadsDoNotOverloadOneBackEnd) {
    Zone shared_order;
    shared_order.run(false);
    Zone per_gateway_order;
    per_gateway_order.run(true);
    std::cout << "calls queued: shared order " << shared_order.queued << ", order per gateway "
              << per_gateway_order.queued << " of " << Zone::calls << "; connections "
              << shared_order.connections << ", " << per_gateway_order.connections << "\n";
    EXPECT_GT(shared_order.queued, Zone::calls / 2) << "the failure to guard against";
    EXPECT_EQ(per_gateway_order.queued, 0U);
    EXPECT_LE(per_gateway_order.connections, shared_order.connections * 11 / 10);
}

} // namespace
