// How fast back ends are, by what gateways measured; and what callers get when a third of the back
// ends of a service work at 0.4 of the speed of the others.
//
// The load that is played: 4 gateways and 18 plain back ends of 6 slots, 6 of them at 0.4 of the
// speed; 900 calls a second of 60 ms at typical speed. Figures stand beside each test.
#include <gtest/gtest.h>

#include <algorithm>
#include <queue>
#include <random>
#include <vector>

extern "C" {
#include "core/routing/backend_speed.h"
#include "core/routing/service_choice.h"
}

namespace {

constexpr uint64_t now = 1000000;

backend_pace_t pace_of(std::initializer_list<uint32_t> works, uint64_t at = now) {
    backend_samples_t samples = {};
    for (uint32_t work : works)
        backend_samples_note(&samples, work, at);
    return backend_samples_pace(&samples);
}

/** Of samples that differ by @p share of their mean. */
recent_times_t spread_of(double share) {
    recent_times_t spread = {};
    for (unsigned i = 0; i < 10; i++)
        work_spread_note(&spread, static_cast<uint32_t>(1000 * (1 + share / 2)),
                         static_cast<uint32_t>(1000 * (1 - share / 2)));
    return spread;
}

unsigned percent_of(const backend_pace_t &pace, std::vector<uint32_t> service, uint64_t at = now) {
    auto count = static_cast<unsigned>(service.size());
    recent_times_t spread = spread_of(0.1);
    return backend_speed_percent(&pace, backend_speed_typical_us(service.data(), count), &spread,
                                 at);
}

backend_pace_t join(const std::vector<backend_pace_t> &paces, uint64_t at = now) {
    return backend_pace_join(paces.data(), static_cast<unsigned>(paces.size()), at);
}

TEST(BackendSpeed, IsTypicalWhileTooLittleIsKnown) {
    backend_pace_t none = {};
    EXPECT_EQ(percent_of(none, {100, 100, 100}), 100U);
    EXPECT_EQ(percent_of(pace_of({400, 400}), {100, 100, 100}), 100U) << "two samples";
    EXPECT_EQ(percent_of(pace_of({400, 400, 400, 400}), {100, 100}), 100U) << "two back ends";
    EXPECT_EQ(percent_of(pace_of({250, 250, 250, 250}), {100, 100, 100}), 40U);
}

TEST(BackendSpeed, IsBounded) {
    EXPECT_EQ(percent_of(pace_of({9000, 9000, 9000, 9000}), {100, 100, 100}), 25U);
    EXPECT_EQ(percent_of(pace_of({1, 1, 1, 1}), {100, 100, 100}), 400U);
}

TEST(BackendSpeed, OutliersMoveNothing) {
    EXPECT_EQ(pace_of({100, 100, 100, 100, 100, 90000, 90000, 90000}).work_us, 100U);
    EXPECT_EQ(percent_of(pace_of({100, 100, 100, 90000, 90000}), {100, 100, 100}), 100U);
}

TEST(BackendSpeed, OneHungBackEndDoesNotMoveWhatIsTypical) {
    EXPECT_EQ(percent_of(pace_of({100, 100, 100, 100}), {100, 100, 100, 5000000}), 100U);
}

// Times that differ by as much as themselves: what eight samples of a back end show may be chance.
TEST(BackendSpeed, WhatChanceExplainsIsTypical) {
    recent_times_t wide = spread_of(1);
    backend_pace_t few = pace_of({180, 180, 180, 180, 180, 180, 180, 180});
    EXPECT_EQ(backend_speed_percent(&few, 100, &wide, now), 100U);
    backend_pace_t many = {180, 90, now};
    EXPECT_EQ(backend_speed_percent(&many, 100, &wide, now), 55U);
    recent_times_t unknown = {};
    EXPECT_EQ(backend_speed_percent(&few, 100, &unknown, now), 100U);
}

// Loads and times that have nothing to do with one another, as of plain calls of all lengths.
TEST(BackendSpeed, ChanceIsNotTakenForASlowdown) {
    std::mt19937 random(2);
    std::exponential_distribution<double> length(1.0 / 1000);
    for (unsigned round = 0; round < 50; round++) {
        work_slowdown_t slowdown = {};
        for (unsigned i = 0; i < 200; i++) {
            auto work = static_cast<uint32_t>(length(random));
            auto earlier = static_cast<uint32_t>(length(random));
            auto load = static_cast<unsigned>(random() % 6);
            work_slowdown_note(&slowdown, work, load, earlier, static_cast<unsigned>(random() % 6));
        }
        EXPECT_GE(work_slowdown_remove(&slowdown, 1000, 5), 650U);
    }
}

// A gateway short of processor time reads its answers late: all that it tells is 20 times too long.
TEST(BackendSpeed, OneOutlierAmongGatewaysMovesNothing) {
    backend_pace_t sound = pace_of({100, 100, 100});
    backend_pace_t outlier = pace_of({2000, 2000, 2000, 2000, 2000, 2000, 2000, 2000, 2000});
    backend_pace_t joined = join({sound, outlier, sound, sound});
    EXPECT_EQ(joined.work_us, 100U);
}

TEST(BackendSpeed, FadesToTypical) {
    backend_pace_t slow = pace_of({250, 250, 250, 250, 250, 250, 250, 250});
    std::vector<uint32_t> service = {100, 100, 100};
    backend_pace_t soon = join({slow}, now + PACE_HALF_LIFE_MS);
    EXPECT_EQ(percent_of(soon, service, now + PACE_HALF_LIFE_MS), 40U);
    backend_pace_t late = join({slow}, now + 2 * PACE_HALF_LIFE_MS);
    EXPECT_EQ(percent_of(late, service, now + 2 * PACE_HALF_LIFE_MS), 100U);
    EXPECT_EQ(join({slow}, now + PACE_FORGET_MS).samples, 0U);
    backend_pace_t fresh = pace_of({100, 100, 100, 100}, now + PACE_HALF_LIFE_MS);
    EXPECT_EQ(join({slow, fresh, fresh}, now + PACE_HALF_LIFE_MS).work_us, 100U);
}

// An engine's token takes 3 ms alone and a tenth more with each other request.
TEST(BackendSpeed, WhatOtherCallsCostIsLearnedAndRemoved) {
    work_slowdown_t slowdown = {};
    EXPECT_EQ(work_slowdown_remove(&slowdown, 3000, 7), 3000U) << "nothing is known yet";
    std::mt19937 random(1);
    auto work = [&random](double alone, unsigned load) {
        std::uniform_real_distribution<double> noise(0.95, 1.05);
        return static_cast<uint32_t>(alone * (1 + 0.1 * load) * noise(random));
    };
    for (unsigned i = 0; i < 60; i++) {
        double alone = i % 3 == 0 ? 7500 : 3000;
        unsigned before = static_cast<unsigned>(random()) % 8;
        unsigned load = static_cast<unsigned>(random()) % 8;
        work_slowdown_note(&slowdown, work(alone, load), load, work(alone, before), before);
    }
    EXPECT_NEAR(work_slowdown_remove(&slowdown, 3000, 0), 3000, 1);
    EXPECT_NEAR(work_slowdown_remove(&slowdown, 4500, 5), 3000, 250);
    EXPECT_NEAR(work_slowdown_remove(&slowdown, 7500 * 17 / 10, 7), 7500, 900);
}

// 52 gateways, each with ten samples of 44 engines in all their time: one in four engines isn't
// seen at all by a gateway. The engines' speeds are 0.7, 0.7 and 1.7 times the usual time, each
// sample is off by up to 30 percent, and one in twelve is five times too long.
TEST(BackendSpeed, FiftyTwoGatewaysWithTenSamplesEachTellASlowEngine) {
    constexpr unsigned engines = 44;
    constexpr unsigned gateways = 52;
    std::mt19937 random(5);
    std::uniform_real_distribution<double> noise(0.7, 1.3);
    std::vector<std::vector<backend_samples_t>> seen(
        gateways, std::vector<backend_samples_t>(engines, backend_samples_t{}));
    for (auto &gateway : seen)
        for (unsigned i = 0; i < 10; i++) {
            unsigned engine = static_cast<unsigned>(random()) % engines;
            double factor = engine % 3 == 0 ? 1.7 : 0.7;
            double outlier = random() % 12 == 0 ? 5 : 1;
            auto work = static_cast<uint32_t>(3000 * factor * noise(random) * outlier);
            backend_samples_note(&gateway[engine], work, now);
        }
    std::vector<uint32_t> works;
    std::vector<backend_pace_t> joined;
    for (unsigned engine = 0; engine < engines; engine++) {
        std::vector<backend_pace_t> told;
        for (unsigned i = 0; i < gateways && told.size() < BACKEND_TELLERS_MOST; i++)
            if (seen[i][engine].noted > 0)
                told.push_back(backend_samples_pace(&seen[i][engine]));
        joined.push_back(join(told));
        if (backend_pace_known(&joined.back(), now))
            works.push_back(joined.back().work_us);
    }
    EXPECT_GE(works.size(), engines * 9 / 10);
    uint32_t typical = backend_speed_typical_us(works.data(), static_cast<unsigned>(works.size()));
    unsigned wrong = 0;
    recent_times_t spread = spread_of(0.2);
    for (unsigned engine = 0; engine < engines; engine++) {
        unsigned percent = backend_speed_percent(&joined[engine], typical, &spread, now);
        bool slow = engine % 3 == 0;
        wrong += slow ? percent > 60 : percent < 75 || percent > 135;
    }
    EXPECT_LE(wrong, 2U) << "of 44";
}

/** Plain back ends of two speeds, in virtual time; a call beyond the slots waits for one. */
struct Service {
    static constexpr unsigned back_ends = 18;
    static constexpr unsigned slots = 6;
    static constexpr unsigned gateways = 4;
    static constexpr unsigned calls = 20000;
    static constexpr double calls_a_ms = 0.9;
    static constexpr double call_ms = 60;

    struct Call {
        double ends;
        unsigned gateway;
        unsigned back_end;
        double begun;
        bool operator>(const Call &other) const {
            return ends > other.ends;
        }
    };
    static bool slow(unsigned back_end) {
        return back_end % 3 == 0;
    }

    std::vector<double> times;
    unsigned at_slow = 0;
    unsigned queued = 0;
    std::vector<unsigned> percents = std::vector<unsigned>(back_ends);

    void play(bool by_speed) {
        std::mt19937 random(11);
        std::exponential_distribution<double> pause(calls_a_ms);
        std::uniform_real_distribution<double> length(0.7 * call_ms, 1.3 * call_ms);
        std::vector<unsigned> load(back_ends);
        std::vector<std::vector<double>> free_at(back_ends, std::vector<double>(slots));
        std::vector<std::vector<unsigned>> idle(gateways, std::vector<unsigned>(back_ends));
        std::vector<std::vector<backend_samples_t>> samples(
            gateways, std::vector<backend_samples_t>(back_ends, backend_samples_t{}));
        std::priority_queue<Call, std::vector<Call>, std::greater<Call>> under_way;
        double time = 1;
        double shared_at = 0;
        for (unsigned i = 0; i < calls; i++) {
            time += pause(random);
            for (; !under_way.empty() && under_way.top().ends <= time; under_way.pop()) {
                const Call &call = under_way.top();
                load[call.back_end]--;
                idle[call.gateway][call.back_end]++;
                auto us = static_cast<uint32_t>(1000 * (call.ends - call.begun) / call_ms);
                backend_samples_note(&samples[call.gateway][call.back_end], us,
                                     static_cast<uint64_t>(call.ends));
            }
            if (time > shared_at + 500) {
                shared_at = time;
                share(samples, static_cast<uint64_t>(time));
            }
            unsigned gateway = static_cast<unsigned>(random()) % gateways;
            unsigned chosen = choose(load, idle[gateway], gateway, by_speed);
            unsigned &kept = idle[gateway][chosen];
            kept -= kept > 0 ? 1 : 0;
            load[chosen]++;
            double &slot = *std::min_element(free_at[chosen].begin(), free_at[chosen].end());
            double begun = std::max(time, slot);
            slot = begun + length(random) / (slow(chosen) ? 0.4 : 1);
            under_way.push({slot, gateway, chosen, time});
            queued += begun > time;
            at_slow += slow(chosen);
            times.push_back(slot - time);
        }
        std::sort(times.begin(), times.end());
    }
    double percentile(double share) const {
        return times[static_cast<size_t>(share * static_cast<double>(times.size() - 1))];
    }
    double mean() const {
        double sum = 0;
        for (double time : times)
            sum += time;
        return sum / static_cast<double>(times.size());
    }

  private:
    void share(const std::vector<std::vector<backend_samples_t>> &samples, uint64_t at) {
        std::vector<backend_pace_t> joined;
        std::vector<uint32_t> works;
        for (unsigned i = 0; i < back_ends; i++) {
            std::vector<backend_pace_t> told;
            for (unsigned j = 0; j < gateways; j++)
                told.push_back(backend_samples_pace(&samples[j][i]));
            joined.push_back(join(told, at));
            if (backend_pace_known(&joined.back(), at))
                works.push_back(joined.back().work_us);
        }
        uint32_t typical =
            backend_speed_typical_us(works.data(), static_cast<unsigned>(works.size()));
        recent_times_t spread = spread_of(0.2);
        for (unsigned i = 0; i < back_ends; i++)
            percents[i] = backend_speed_percent(&joined[i], typical, &spread, at);
    }
    unsigned choose(const std::vector<unsigned> &load, const std::vector<unsigned> &idle,
                    unsigned gateway, bool by_speed) const {
        std::vector<service_candidate_t> candidates;
        for (unsigned i = 0; i < back_ends; i++) {
            service_candidate_t candidate = {};
            candidate.id = i + 1;
            candidate.load = load[i];
            candidate.slots = slots;
            candidate.connected = idle[i] > 0;
            candidate.near = true;
            candidate.speed_percent = by_speed ? std::max(1U, percents[i]) : 0;
            candidate.answer_ms = by_speed ? static_cast<unsigned>(call_ms) : 0;
            candidates.push_back(candidate);
        }
        unsigned chosen = 0;
        service_choose(candidates.data(), back_ends, gateway + 1, &chosen);
        return chosen;
    }
};

TEST(BackendSpeed, AThirdOfTheBackEndsAtTwoFifthsOfTheSpeed) {
    Service counts;
    counts.play(false);
    Service speeds;
    speeds.play(true);
    for (const Service *service : {&counts, &speeds})
        printf("%s: at the slow third %.2f, queued %u of %u, mean %.0f ms, median %.0f, p95 %.0f\n",
               service == &counts ? "by counts" : "by speeds",
               service->at_slow / double{Service::calls}, service->queued, Service::calls,
               service->mean(), service->percentile(0.5), service->percentile(0.95));
    for (unsigned i = 0; i < Service::back_ends; i++) {
        EXPECT_GE(speeds.percents[i], Service::slow(i) ? 30U : 75U) << i;
        EXPECT_LE(speeds.percents[i], Service::slow(i) ? 60U : 135U) << i;
    }
    EXPECT_LT(speeds.at_slow, counts.at_slow / 2);
    EXPECT_LT(speeds.mean(), 0.9 * counts.mean());
    EXPECT_LT(speeds.percentile(0.95), counts.percentile(0.95));
}

// A service of two million back ends: sorting by insertion took 49 ms of processor for 10,000 and
// grew with the square, so this one would not end within the time that a test is given.
TEST(BackendSpeed, TheTypicalOneOfMillionsIsFound) {
    constexpr unsigned count = 2000000;
    std::vector<uint32_t> works_us(count);
    for (unsigned i = 0; i < count; i++)
        works_us[i] = static_cast<uint32_t>(1000 + i * uint64_t{7919} % count);
    EXPECT_EQ(backend_speed_typical_us(works_us.data(), count), 1000 + (count - 1) / 2);
}

} // namespace
