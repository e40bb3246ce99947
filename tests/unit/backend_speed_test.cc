// Tests of back end speed estimates, and of service calls distributed by them.
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

speed_estimate_t estimate_of(std::initializer_list<uint32_t> works_us, uint64_t at = now) {
    backend_samples_t samples = {};
    for (uint32_t work : works_us)
        backend_samples_add(&samples, work, at);
    return backend_samples_estimate(&samples);
}

/** Spread of samples that differ by @p fraction of their mean. */
sample_window_t spread_of(double fraction) {
    sample_window_t spread = {};
    for (unsigned i = 0; i < 10; i++)
        work_spread_record(&spread, static_cast<uint32_t>(1000 * (1 + fraction / 2)),
                           static_cast<uint32_t>(1000 * (1 - fraction / 2)));
    return spread;
}

unsigned percent_of(const speed_estimate_t &estimate, std::vector<uint32_t> service,
                    uint64_t at = now) {
    auto count = static_cast<unsigned>(service.size());
    sample_window_t spread = spread_of(0.1);
    return backend_speed_percent(&estimate, backend_speed_typical_us(service.data(), count),
                                 &spread, at);
}

speed_estimate_t merge(const std::vector<speed_estimate_t> &estimates, uint64_t at = now) {
    return speed_estimate_merge(estimates.data(), static_cast<unsigned>(estimates.size()), at);
}

TEST(BackendSpeed, SpeedIsTypicalWithTooFewSamples) {
    speed_estimate_t none = {};
    EXPECT_EQ(percent_of(none, {100, 100, 100}), 100U);
    EXPECT_EQ(percent_of(estimate_of({400, 400}), {100, 100, 100}), 100U) << "two samples";
    EXPECT_EQ(percent_of(estimate_of({400, 400, 400, 400}), {100, 100}), 100U) << "two back ends";
    EXPECT_EQ(percent_of(estimate_of({250, 250, 250, 250}), {100, 100, 100}), 40U);
}

TEST(BackendSpeed, SpeedIsClamped) {
    EXPECT_EQ(percent_of(estimate_of({9000, 9000, 9000, 9000}), {100, 100, 100}), 25U);
    EXPECT_EQ(percent_of(estimate_of({1, 1, 1, 1}), {100, 100, 100}), 400U);
}

TEST(BackendSpeed, OutliersDoNotChangeTheSpeed) {
    EXPECT_EQ(estimate_of({100, 100, 100, 100, 100, 90000, 90000, 90000}).work_us, 100U);
    EXPECT_EQ(percent_of(estimate_of({100, 100, 100, 90000, 90000}), {100, 100, 100}), 100U);
}

TEST(BackendSpeed, AHungBackEndDoesNotChangeTheTypicalSpeed) {
    EXPECT_EQ(percent_of(estimate_of({100, 100, 100, 100}), {100, 100, 100, 5000000}), 100U);
}

// Guards against a speed derived from the random variation of a few samples.
TEST(BackendSpeed, InsignificantDifferencesAreIgnored) {
    sample_window_t wide_spread = spread_of(1);
    speed_estimate_t few_samples = estimate_of({180, 180, 180, 180, 180, 180, 180, 180});
    EXPECT_EQ(backend_speed_percent(&few_samples, 100, &wide_spread, now), 100U);
    speed_estimate_t many_samples = {180, 90, now};
    EXPECT_EQ(backend_speed_percent(&many_samples, 100, &wide_spread, now), 55U);
    sample_window_t unknown = {};
    EXPECT_EQ(backend_speed_percent(&few_samples, 100, &unknown, now), 100U);
}

// Guards against a slowdown fitted to samples whose times are independent of the load.
TEST(BackendSpeed, UncorrelatedLoadsGiveNoSlowdown) {
    std::mt19937 random(2);
    std::exponential_distribution<double> length(1.0 / 1000);
    for (unsigned round = 0; round < 50; round++) {
        load_slowdown_t slowdown = {};
        for (unsigned i = 0; i < 200; i++) {
            auto work = static_cast<uint32_t>(length(random));
            auto earlier = static_cast<uint32_t>(length(random));
            auto load = static_cast<unsigned>(random() % 6);
            load_slowdown_add_pair(&slowdown, work, load, earlier,
                                   static_cast<unsigned>(random() % 6));
        }
        EXPECT_GE(load_slowdown_normalize(&slowdown, 1000, 5), 650U);
    }
}

// Guards against a gateway without enough processor time, whose samples are all far too long.
TEST(BackendSpeed, OneOutlierAmongGatewaysIsIgnored) {
    speed_estimate_t accurate = estimate_of({100, 100, 100});
    speed_estimate_t outlier = estimate_of({2000, 2000, 2000, 2000, 2000, 2000, 2000, 2000, 2000});
    speed_estimate_t merged = merge({accurate, outlier, accurate, accurate});
    EXPECT_EQ(merged.work_us, 100U);
}

TEST(BackendSpeed, OldEstimatesExpire) {
    speed_estimate_t slow = estimate_of({250, 250, 250, 250, 250, 250, 250, 250});
    std::vector<uint32_t> service = {100, 100, 100};
    speed_estimate_t one_half_life = merge({slow}, now + SPEED_ESTIMATE_HALF_LIFE_MS);
    EXPECT_EQ(percent_of(one_half_life, service, now + SPEED_ESTIMATE_HALF_LIFE_MS), 40U);
    speed_estimate_t two_half_lives = merge({slow}, now + 2 * SPEED_ESTIMATE_HALF_LIFE_MS);
    EXPECT_EQ(percent_of(two_half_lives, service, now + 2 * SPEED_ESTIMATE_HALF_LIFE_MS), 100U);
    EXPECT_EQ(merge({slow}, now + SPEED_ESTIMATE_EXPIRY_MS).samples, 0U);
    speed_estimate_t fresh = estimate_of({100, 100, 100, 100}, now + SPEED_ESTIMATE_HALF_LIFE_MS);
    EXPECT_EQ(merge({slow, fresh, fresh}, now + SPEED_ESTIMATE_HALF_LIFE_MS).work_us, 100U);
}

// Each concurrent request adds a tenth to the time of a unit of work.
TEST(BackendSpeed, TheSlowdownByConcurrentCallsIsEstimatedAndRemoved) {
    load_slowdown_t slowdown = {};
    EXPECT_EQ(load_slowdown_normalize(&slowdown, 3000, 7), 3000U) << "no samples yet";
    std::mt19937 random(1);
    auto work = [&random](double alone, unsigned load) {
        std::uniform_real_distribution<double> noise(0.95, 1.05);
        return static_cast<uint32_t>(alone * (1 + 0.1 * load) * noise(random));
    };
    for (unsigned i = 0; i < 60; i++) {
        double alone = i % 3 == 0 ? 7500 : 3000;
        unsigned before = static_cast<unsigned>(random()) % 8;
        unsigned load = static_cast<unsigned>(random()) % 8;
        load_slowdown_add_pair(&slowdown, work(alone, load), load, work(alone, before), before);
    }
    EXPECT_NEAR(load_slowdown_normalize(&slowdown, 3000, 0), 3000, 1);
    EXPECT_NEAR(load_slowdown_normalize(&slowdown, 4500, 5), 3000, 250);
    EXPECT_NEAR(load_slowdown_normalize(&slowdown, 7500 * 17 / 10, 7), 7500, 900);
}

// Guards against wrong speeds when each gateway has few samples of only some of the engines, with
// noise of up to 30 percent and one outlier in twelve.
TEST(BackendSpeed, FewNoisySamplesFromManyGatewaysIdentifySlowEngines) {
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
            backend_samples_add(&gateway[engine], work, now);
        }
    std::vector<uint32_t> works_us;
    std::vector<speed_estimate_t> merged;
    for (unsigned engine = 0; engine < engines; engine++) {
        std::vector<speed_estimate_t> reported;
        for (unsigned i = 0; i < gateways && reported.size() < BACKEND_REPORTERS_MAX; i++)
            if (seen[i][engine].total_samples > 0)
                reported.push_back(backend_samples_estimate(&seen[i][engine]));
        merged.push_back(merge(reported));
        if (speed_estimate_is_usable(&merged.back(), now))
            works_us.push_back(merged.back().work_us);
    }
    EXPECT_GE(works_us.size(), engines * 9 / 10);
    uint32_t typical =
        backend_speed_typical_us(works_us.data(), static_cast<unsigned>(works_us.size()));
    unsigned wrong = 0;
    sample_window_t spread = spread_of(0.2);
    for (unsigned engine = 0; engine < engines; engine++) {
        unsigned percent = backend_speed_percent(&merged[engine], typical, &spread, now);
        bool slow = engine % 3 == 0;
        wrong += slow ? percent > 60 : percent < 75 || percent > 135;
    }
    EXPECT_LE(wrong, 2U) << "of 44";
}

/** Back ends of two speeds in virtual time; a call without a free slot is queued. */
struct Service {
    static constexpr unsigned back_ends = 18;
    static constexpr unsigned slots = 6;
    static constexpr unsigned gateways = 4;
    static constexpr unsigned calls = 20000;
    static constexpr double calls_per_ms = 0.9;
    static constexpr double call_ms = 60;

    struct Call {
        double ends;
        unsigned gateway;
        unsigned back_end;
        double started;
        bool operator>(const Call &other) const {
            return ends > other.ends;
        }
    };
    static bool slow(unsigned back_end) {
        return back_end % 3 == 0;
    }

    std::vector<double> times;
    unsigned calls_at_slow = 0;
    unsigned queued = 0;
    std::vector<unsigned> percents = std::vector<unsigned>(back_ends);

    void run(bool by_speed) {
        std::mt19937 random(11);
        std::exponential_distribution<double> interval(calls_per_ms);
        std::uniform_real_distribution<double> length(0.7 * call_ms, 1.3 * call_ms);
        std::vector<unsigned> load(back_ends);
        std::vector<std::vector<double>> free_at(back_ends, std::vector<double>(slots));
        std::vector<std::vector<unsigned>> idle(gateways, std::vector<unsigned>(back_ends));
        std::vector<std::vector<backend_samples_t>> samples(
            gateways, std::vector<backend_samples_t>(back_ends, backend_samples_t{}));
        std::priority_queue<Call, std::vector<Call>, std::greater<Call>> in_progress;
        double time = 1;
        double exchanged_at = 0;
        for (unsigned i = 0; i < calls; i++) {
            time += interval(random);
            for (; !in_progress.empty() && in_progress.top().ends <= time; in_progress.pop()) {
                const Call &call = in_progress.top();
                load[call.back_end]--;
                idle[call.gateway][call.back_end]++;
                auto us = static_cast<uint32_t>(1000 * (call.ends - call.started) / call_ms);
                backend_samples_add(&samples[call.gateway][call.back_end], us,
                                    static_cast<uint64_t>(call.ends));
            }
            if (time > exchanged_at + 500) {
                exchanged_at = time;
                exchange_estimates(samples, static_cast<uint64_t>(time));
            }
            unsigned gateway = static_cast<unsigned>(random()) % gateways;
            unsigned chosen = choose(load, idle[gateway], gateway, by_speed);
            unsigned &idle_connections = idle[gateway][chosen];
            idle_connections -= idle_connections > 0 ? 1 : 0;
            load[chosen]++;
            double &slot = *std::min_element(free_at[chosen].begin(), free_at[chosen].end());
            double started = std::max(time, slot);
            slot = started + length(random) / (slow(chosen) ? 0.4 : 1);
            in_progress.push({slot, gateway, chosen, time});
            queued += started > time;
            calls_at_slow += slow(chosen);
            times.push_back(slot - time);
        }
        std::sort(times.begin(), times.end());
    }
    double percentile(double fraction) const {
        return times[static_cast<size_t>(fraction * static_cast<double>(times.size() - 1))];
    }
    double mean() const {
        double sum = 0;
        for (double time : times)
            sum += time;
        return sum / static_cast<double>(times.size());
    }

  private:
    void exchange_estimates(const std::vector<std::vector<backend_samples_t>> &samples,
                            uint64_t at) {
        std::vector<speed_estimate_t> merged;
        std::vector<uint32_t> works_us;
        for (unsigned i = 0; i < back_ends; i++) {
            std::vector<speed_estimate_t> reported;
            for (unsigned j = 0; j < gateways; j++)
                reported.push_back(backend_samples_estimate(&samples[j][i]));
            merged.push_back(merge(reported, at));
            if (speed_estimate_is_usable(&merged.back(), at))
                works_us.push_back(merged.back().work_us);
        }
        uint32_t typical =
            backend_speed_typical_us(works_us.data(), static_cast<unsigned>(works_us.size()));
        sample_window_t spread = spread_of(0.2);
        for (unsigned i = 0; i < back_ends; i++)
            percents[i] = backend_speed_percent(&merged[i], typical, &spread, at);
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
            candidate.local = true;
            candidate.speed_percent = by_speed ? std::max(1U, percents[i]) : 0;
            candidate.answer_ms = by_speed ? static_cast<unsigned>(call_ms) : 0;
            candidates.push_back(candidate);
        }
        unsigned chosen = 0;
        service_choose(candidates.data(), back_ends, gateway + 1, &chosen);
        return chosen;
    }
};

TEST(BackendSpeed, SlowBackEndsGetFewerCallsAndLatencyDrops) {
    Service by_load;
    by_load.run(false);
    Service by_measured_speed;
    by_measured_speed.run(true);
    for (const Service *service : {&by_load, &by_measured_speed})
        printf("%s: at slow back ends %.2f, queued %u of %u, mean %.0f ms, median %.0f, p95 %.0f\n",
               service == &by_load ? "by load" : "by measured speed",
               service->calls_at_slow / double{Service::calls}, service->queued, Service::calls,
               service->mean(), service->percentile(0.5), service->percentile(0.95));
    for (unsigned i = 0; i < Service::back_ends; i++) {
        EXPECT_GE(by_measured_speed.percents[i], Service::slow(i) ? 30U : 75U) << i;
        EXPECT_LE(by_measured_speed.percents[i], Service::slow(i) ? 60U : 135U) << i;
    }
    EXPECT_LT(by_measured_speed.calls_at_slow, by_load.calls_at_slow / 2);
    EXPECT_LT(by_measured_speed.mean(), 0.9 * by_load.mean());
    EXPECT_LT(by_measured_speed.percentile(0.95), by_load.percentile(0.95));
}

// Guards against a sort in quadratic time, which would exceed the test timeout.
TEST(BackendSpeed, TheTypicalSpeedOfMillionsOfBackEndsIsFound) {
    constexpr unsigned count = 2000000;
    std::vector<uint32_t> works_us(count);
    for (unsigned i = 0; i < count; i++)
        works_us[i] = static_cast<uint32_t>(1000 + i * uint64_t{7919} % count);
    EXPECT_EQ(backend_speed_typical_us(works_us.data(), count), 1000 + (count - 1) / 2);
}

} // namespace
