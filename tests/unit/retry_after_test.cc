// Simulates a zone isolation of 6.5 s in which each gateway detects it after 0.2 to 0.5 s and
// callers are redirected once all gateways have failed two readiness probes. Guards against
// programs that use up their attempts before the redirection.
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <random>
#include <vector>

extern "C" {
#include "core/retry/retry_after.h"
}

#include <gtest/gtest.h>

namespace {

constexpr uint64_t isolation_ms = 6500;
constexpr uint32_t redirect_delay_ms = 2100;
constexpr unsigned gateways = 14;

struct Zone {
    std::vector<uint64_t> detected_at; // Detection time of each gateway, ms after the start.
    uint64_t redirected_at = 0;        // When callers are redirected.
};

Zone make_zone(std::mt19937 &random) {
    Zone zone;
    for (unsigned i = 0; i < gateways; i++) {
        uint64_t known = 200 + random() % 300;
        uint64_t probe = random() % 1000; // Time to the next probe; a second one must fail too.
        zone.detected_at.push_back(known);
        zone.redirected_at = std::max(zone.redirected_at, known + probe + 1000);
    }
    return zone;
}

enum class Rule { CONSTANT, DECISION };

struct Outcome {
    bool exhausted = false;
    uint64_t served_at = 0;
};

// An attempt at time `at`: served, or refused with a wait; held until the gateway has detected
// the isolation.
struct Refusal {
    bool served;
    uint64_t answered_at;
    uint32_t wait_ms;
};

Refusal attempt_once(const Zone &zone, Rule rule, uint64_t at, uint32_t left, uint32_t program_left,
                     std::mt19937 &random) {
    if (at >= zone.redirected_at || at >= isolation_ms)
        return {true, at, 0};
    uint64_t known = zone.detected_at[random() % gateways];
    uint64_t answered = std::max(at, known);
    uint32_t held = static_cast<uint32_t>(answered - at);
    retry_after_t call = {};
    call.reason = RETRY_AFTER_ISOLATED;
    call.duration_ms = static_cast<uint32_t>(answered - known);
    call.redirect_after_ms = rule == Rule::DECISION ? redirect_delay_ms : 0;
    call.time_left_ms = left > held ? left - held : 0;
    call.program_left_ms = program_left > held ? program_left - held : 0;
    return {false, answered, retry_after_delay_ms(&call)};
}

Outcome simulate(const Zone &zone, Rule rule, uint64_t begins, uint32_t deadline,
                 std::mt19937 &random) {
    uint64_t now = begins;
    for (unsigned turn = 0; turn < 3; turn++) {
        uint64_t limit = now + deadline;
        for (unsigned attempt = 0; attempt < 2; attempt++) {
            uint32_t left = static_cast<uint32_t>(limit - now);
            Refusal refusal = attempt_once(zone, rule, now, left, 3 * deadline, random);
            if (refusal.served)
                return {false, refusal.answered_at};
            now = refusal.answered_at;
            if (attempt == 0)
                now += std::min<uint64_t>(refusal.wait_ms,
                                          (limit - now) / RETRY_AFTER_HONOURED_DIVISOR);
        }
        now += 100 + random() % 300;
    }
    return {true, 0};
}

struct Result {
    unsigned exhausted = 0;
    uint64_t waited_p50 = 0;
    uint64_t waited_max = 0;
};

Result simulate_all(Rule rule, uint32_t deadline) {
    std::mt19937 random(7);
    std::vector<uint64_t> waited;
    Result result;
    for (uint64_t begins = 0; begins < 4000; begins++) {
        Zone zone = make_zone(random);
        Outcome outcome = simulate(zone, rule, begins, deadline, random);
        result.exhausted += outcome.exhausted;
        /* No caller can be served before the redirection. */
        if (!outcome.exhausted)
            waited.push_back(outcome.served_at -
                             std::max(begins, std::min(zone.redirected_at, isolation_ms)));
    }
    std::sort(waited.begin(), waited.end());
    result.waited_p50 = waited[waited.size() / 2];
    result.waited_max = waited.back();
    std::printf("deadline %u: ran out %u of 4000, waited beyond need p50 %u most %u ms\n", deadline,
                result.exhausted, static_cast<unsigned>(result.waited_p50),
                static_cast<unsigned>(result.waited_max));
    return result;
}

TEST(RetryAfter, NoProgramInAnIsolatedZoneExhaustsItsAttemptsBeforeRedirection) {
    for (uint32_t deadline : {3000U, 4000U}) {
        Result before = simulate_all(Rule::CONSTANT, deadline);
        Result after = simulate_all(Rule::DECISION, deadline);
        EXPECT_GT(before.exhausted, 400U) << "the load must exhaust attempts with a constant wait";
        EXPECT_EQ(after.exhausted, 0U);
        EXPECT_LE(after.waited_max, 1500U) << "no longer than necessary";
    }
}

retry_after_t refused(retry_after_reason_t reason) {
    retry_after_t call = {};
    call.reason = reason;
    call.time_left_ms = 3000;
    call.program_left_ms = UINT32_MAX;
    return call;
}

TEST(RetryAfter, IsTheTimeUntilRedirection) {
    retry_after_t call = refused(RETRY_AFTER_ISOLATED);
    call.redirect_after_ms = 2300;
    call.time_left_ms = 30000;
    EXPECT_EQ(retry_after_delay_ms(&call), 2300U);
    call.duration_ms = 1500;
    EXPECT_EQ(retry_after_delay_ms(&call), 800U);
    call.duration_ms = 2290;
    EXPECT_EQ(retry_after_delay_ms(&call), unsigned{RETRY_AFTER_TRANSIENT_MS});
    call.duration_ms = 5000;
    EXPECT_EQ(retry_after_delay_ms(&call), unsigned{RETRY_AFTER_REDIRECTED_MS});
}

TEST(RetryAfter, IsAtMostWhatTheCallerHonours) {
    retry_after_t call = refused(RETRY_AFTER_ISOLATED);
    call.redirect_after_ms = 2300;
    EXPECT_EQ(retry_after_delay_ms(&call), 1000U);
    call.time_left_ms = 90;
    EXPECT_EQ(retry_after_delay_ms(&call), unsigned{RETRY_AFTER_TRANSIENT_MS});
}

TEST(RetryAfter, OtherReasonsAreNotAffectedByRedirection) {
    retry_after_t call = refused(RETRY_AFTER_TRANSIENT);
    EXPECT_EQ(retry_after_delay_ms(&call), 150U);
    call = refused(RETRY_AFTER_ISOLATED); // The redirection time is unknown.
    EXPECT_EQ(retry_after_delay_ms(&call), 300U);
    call = refused(RETRY_AFTER_KNOWN);
    call.known_wait_ms = 777;
    EXPECT_EQ(retry_after_delay_ms(&call), 777U);
    for (uint32_t lasted : {0U, 400U, 2000U, 60000U}) {
        call = refused(RETRY_AFTER_OUTAGE);
        call.duration_ms = lasted;
        outage_t outage = {};
        outage_begin(&outage, 1000);
        EXPECT_EQ(retry_after_delay_ms(&call), outage_retry_after_ms(&outage, 1000 + lasted))
            << lasted;
    }
}

} // namespace
