// Load: a zone is cut off for 6.5 s; its 14 gateways find out 0.2 to 0.5 s later and say that they
// are not ready; the platform asks each every second, takes it out after two misses, and leads
// callers elsewhere once none is in. 4,000 programs meet the cut, one each ms. A turn has two
// tries, and is sent again twice after 0.1 to 0.4 s; a caller waits as it is told up to a third of
// the time that it has left.
//
// What callers get: with 0.3 s told each time 904 of the 4,000 programs use up their tries before
// they are led elsewhere, with the decision none; half of them are served within 46 ms of the
// first moment at which somebody could, the latest 561 ms after it.
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <random>
#include <vector>

extern "C" {
#include "core/retry/come_back.h"
}

#include <gtest/gtest.h>

namespace {

constexpr uint64_t cut_ms = 6500;
constexpr uint32_t led_ms = 2100;
constexpr unsigned gateways = 14;

struct Zone {
    std::vector<uint64_t> known; // When each gateway found out, ms after the cut.
    uint64_t led = 0;            // When callers are led elsewhere.
};

Zone draw_zone(std::mt19937 &random) {
    Zone zone;
    for (unsigned i = 0; i < gateways; i++) {
        uint64_t known = 200 + random() % 300;
        uint64_t probe = random() % 1000; // The first one after that, and one more.
        zone.known.push_back(known);
        zone.led = std::max(zone.led, known + probe + 1000);
    }
    return zone;
}

enum class Rule { CONSTANT, DECISION };

struct Outcome {
    bool ran_out = false;
    uint64_t served_at = 0;
};

// A try at time `at`: served, or refused with what it is told; before the gateway knows, held.
struct Refusal {
    bool served;
    uint64_t answered_at;
    uint32_t told;
};

Refusal try_once(const Zone &zone, Rule rule, uint64_t at, uint32_t left, uint32_t program_left,
                 std::mt19937 &random) {
    if (at >= zone.led || at >= cut_ms)
        return {true, at, 0};
    uint64_t known = zone.known[random() % gateways];
    uint64_t answered = std::max(at, known);
    uint32_t held = static_cast<uint32_t>(answered - at);
    come_back_t call = {};
    call.reason = COME_BACK_ISOLATED;
    call.lasted_ms = static_cast<uint32_t>(answered - known);
    call.led_ms = rule == Rule::DECISION ? led_ms : 0;
    call.time_left_ms = left > held ? left - held : 0;
    call.program_left_ms = program_left > held ? program_left - held : 0;
    return {false, answered, come_back_ms(&call)};
}

Outcome play(const Zone &zone, Rule rule, uint64_t begins, uint32_t deadline,
             std::mt19937 &random) {
    uint64_t now = begins;
    for (unsigned turn = 0; turn < 3; turn++) {
        uint64_t limit = now + deadline;
        for (unsigned attempt = 0; attempt < 2; attempt++) {
            uint32_t left = static_cast<uint32_t>(limit - now);
            Refusal refusal = try_once(zone, rule, now, left, 3 * deadline, random);
            if (refusal.served)
                return {false, refusal.answered_at};
            now = refusal.answered_at;
            if (attempt == 0)
                now += std::min<uint64_t>(refusal.told, (limit - now) / COME_BACK_HONOURED_PART);
        }
        now += 100 + random() % 300;
    }
    return {true, 0};
}

struct Result {
    unsigned ran_out = 0;
    uint64_t waited_p50 = 0;
    uint64_t waited_most = 0;
};

Result play_all(Rule rule, uint32_t deadline) {
    std::mt19937 random(7);
    std::vector<uint64_t> waited;
    Result result;
    for (uint64_t begins = 0; begins < 4000; begins++) {
        Zone zone = draw_zone(random);
        Outcome outcome = play(zone, rule, begins, deadline, random);
        result.ran_out += outcome.ran_out;
        /* What a caller had to wait for at least is the time until it is led elsewhere. */
        if (!outcome.ran_out)
            waited.push_back(outcome.served_at - std::max(begins, std::min(zone.led, cut_ms)));
    }
    std::sort(waited.begin(), waited.end());
    result.waited_p50 = waited[waited.size() / 2];
    result.waited_most = waited.back();
    std::printf("deadline %u: ran out %u of 4000, waited beyond need p50 %u most %u ms\n", deadline,
                result.ran_out, static_cast<unsigned>(result.waited_p50),
                static_cast<unsigned>(result.waited_most));
    return result;
}

TEST(ComeBack, NoProgramOfACutZoneUsesUpItsTriesBeforeItIsLedElsewhere) {
    for (uint32_t deadline : {3000U, 4000U}) {
        Result before = play_all(Rule::CONSTANT, deadline);
        Result after = play_all(Rule::DECISION, deadline);
        EXPECT_GT(before.ran_out, 400U) << "the load is one that the decision answers";
        EXPECT_EQ(after.ran_out, 0U);
        EXPECT_LE(after.waited_most, 1500U) << "no longer than needed";
    }
}

come_back_t refused(come_back_reason_t reason) {
    come_back_t call = {};
    call.reason = reason;
    call.time_left_ms = 3000;
    call.program_left_ms = UINT32_MAX;
    return call;
}

TEST(ComeBack, IsToldTheTimeAtWhichItIsLedElsewhereAndNoLater) {
    come_back_t call = refused(COME_BACK_ISOLATED);
    call.led_ms = 2300;
    call.time_left_ms = 30000;
    EXPECT_EQ(come_back_ms(&call), 2300U);
    call.lasted_ms = 1500;
    EXPECT_EQ(come_back_ms(&call), 800U);
    call.lasted_ms = 2290;
    EXPECT_EQ(come_back_ms(&call), unsigned{COME_BACK_SOON_MS});
    call.lasted_ms = 5000;
    EXPECT_EQ(come_back_ms(&call), unsigned{COME_BACK_ELSEWHERE_MS});
}

TEST(ComeBack, IsToldNoMoreThanItHonours) {
    come_back_t call = refused(COME_BACK_ISOLATED);
    call.led_ms = 2300;
    EXPECT_EQ(come_back_ms(&call), 1000U);
    call.time_left_ms = 90;
    EXPECT_EQ(come_back_ms(&call), unsigned{COME_BACK_SOON_MS});
}

TEST(ComeBack, OtherReasonsAreToldWhatTheyWere) {
    come_back_t call = refused(COME_BACK_SOON);
    EXPECT_EQ(come_back_ms(&call), 150U);
    call = refused(COME_BACK_ISOLATED); // Nothing tells when callers are led elsewhere.
    EXPECT_EQ(come_back_ms(&call), 300U);
    call = refused(COME_BACK_KNOWN);
    call.known_ms = 777;
    EXPECT_EQ(come_back_ms(&call), 777U);
    for (uint32_t lasted : {0U, 400U, 2000U, 60000U}) {
        call = refused(COME_BACK_OUTAGE);
        call.lasted_ms = lasted;
        outage_t outage = {};
        outage_note(&outage, 1000);
        EXPECT_EQ(come_back_ms(&call), outage_come_back_ms(&outage, 1000 + lasted)) << lasted;
    }
}

} // namespace
