/**
 * Tests of engine placement by cost with full, slow and failed engines.
 *
 * EngineLoad simulates gateways, engines and programs in virtual time and compares engine_place
 * with engine_choose. A gateway knows its own calls immediately and those of the others
 * LOAD_LAG_MS later.
 */
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <vector>

extern "C" {
#include "core/routing/engine_choice.h"
#include "core/routing/engine_limit.h"
#include "core/routing/engine_placement.h"
#include "core/routing/engine_baseline.h"
}

namespace {

constexpr unsigned ZONES = 4;
constexpr unsigned GATEWAYS = 52;
constexpr unsigned ENGINES = 36;
constexpr unsigned SLOTS = 6;
constexpr unsigned QUEUE = 12;
constexpr double LOAD_LAG_MS = 216;
constexpr double SNAPSHOT_INTERVAL_MS = 54;
constexpr double TURN_MS = 60;
constexpr double TOKENS_PER_MS = 100;
constexpr unsigned TURNS = 8;
constexpr uint32_t PART_TOKENS = 500;
constexpr uint32_t NEW_TOKENS = 400;
constexpr double THINK_MS = 60;
constexpr double RETRY_AFTER_MS = 150;

enum class Policy { BY_LOAD, BY_COST };

struct Program {
    unsigned turns_left = TURNS;
    uint32_t held_tokens = 0;
    uint64_t place = 0;
    uint64_t part = 0;
    bool retried = false;
};

struct Turn {
    Program *program;
    unsigned gateway;
    unsigned engine;
    unsigned known_load;
    double submitted_at;
};

struct Results {
    unsigned turns = 0;
    unsigned refused = 0;             /**< By an engine. */
    unsigned refused_before_send = 0; /**< By the gateway. */
    unsigned abandoned = 0;           /**< Programs that gave up after a second refusal. */
    unsigned finished = 0;            /**< Programs that completed all turns. */
    uint64_t reread_tokens = 0;       /**< Prompt tokens that another engine has cached. */
    unsigned max_load = 0;            /**< At one engine. */
    unsigned sent_to_failed = 0;
    std::vector<double> first_ms;
    double quantile(double share) {
        if (first_ms.empty())
            return 0;
        std::sort(first_ms.begin(), first_ms.end());
        return first_ms[static_cast<size_t>(share * static_cast<double>(first_ms.size() - 1))];
    }
};

class Fleet {
  public:
    explicit Fleet(Policy by) : policy(by), random(7) {
        history.assign(static_cast<size_t>(LOAD_LAG_MS / SNAPSHOT_INTERVAL_MS) + 1, own_loads);
    }

    void schedule(double delay, std::function<void()> action) {
        events.push({now + delay, sequence++, std::move(action)});
    }

    void run(double until) {
        schedule(0, [this] { snapshot(); });
        while (!events.empty() && events.top().at <= until) {
            Event event = events.top();
            events.pop();
            now = event.at;
            event.action();
        }
    }

    /** Schedules random arrivals of programs from @p from to @p to at the rate @p per_s. */
    void add_arrivals(double from, double to, double per_s) {
        std::exponential_distribution<double> gap(per_s / 1000);
        for (double at = from + gap(random); at < to; at += gap(random))
            schedule(at, [this] {
                programs.emplace_back();
                programs.back().part = 1 + random() % 6;
                submit(&programs.back());
            });
    }

    /** Fills an engine with calls that never complete. */
    void hang(unsigned engine) {
        running[engine] = SLOTS;
        waiting[engine].resize(QUEUE, Turn{nullptr, 0, engine, 0, 0});
        own_loads[0][engine] = SLOTS + QUEUE;
        for (auto &old : history)
            old[0][engine] = SLOTS + QUEUE;
    }

    void fail(unsigned engine) {
        down[engine] = true;
        failed[engine] = true;
    }

    unsigned speed[ENGINES] = {};
    Results results;

  private:
    struct Event {
        double at;
        uint64_t sequence;
        std::function<void()> action;
        bool operator<(const Event &other) const {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };
    using Loads = std::vector<std::vector<unsigned>>;

    void snapshot() {
        history.push_back(own_loads);
        history.pop_front();
        schedule(SNAPSHOT_INTERVAL_MS, [this] { snapshot(); });
    }

    unsigned known_load(unsigned gateway, unsigned engine) const {
        unsigned load = own_loads[gateway][engine];
        for (unsigned other = 0; other < GATEWAYS; other++)
            if (other != gateway)
                load += history.front()[other][engine];
        return load;
    }

    unsigned percent(unsigned engine) const {
        return speed[engine] == 0 ? 100 : speed[engine];
    }

    bool choose_by_load(const Program &program, unsigned gateway, unsigned *chosen) {
        std::vector<engine_candidate_t> candidates;
        for (unsigned i = 0; i < ENGINES; i++)
            candidates.push_back({i + 1, known_load(gateway, i), SLOTS,
                                  i % ZONES == gateway % ZONES, down[i], down[i]});
        engine_request_t request = {program.place, program.part};
        /* Like a gateway: the local zone and the program's current engine, then all engines. */
        std::vector<engine_candidate_t> local_candidates;
        std::vector<unsigned> index;
        for (unsigned i = 0; i < ENGINES; i++)
            if (candidates[i].local || candidates[i].id == program.place) {
                local_candidates.push_back(candidates[i]);
                index.push_back(i);
            }
        if (engine_choose(local_candidates.data(), static_cast<unsigned>(local_candidates.size()),
                          &request, chosen)) {
            const engine_candidate_t &engine = local_candidates[*chosen];
            bool suffices = engine.id == program.place ? !engine_overloaded(&engine) : engine.local;
            *chosen = index[*chosen];
            if (suffices)
                return true;
        }
        return engine_choose(candidates.data(), ENGINES, &request, chosen);
    }

    engine_option_t option(unsigned gateway, unsigned i) const {
        unsigned load = known_load(gateway, i);
        const engine_limit_t *limit = &limits[gateway][i];
        unsigned queue = engine_limit_queue(limit, 1, SLOTS);
        auto at = static_cast<uint64_t>(now);
        return {i + 1,
                {load, SLOTS, queue > 0 ? queue : engine_baseline_queue(&baselines[gateway], SLOTS),
                 percent(i), engine_limit_is_refusing(limit, 1, load, at)},
                i % ZONES == gateway % ZONES,
                down[i],
                down[i]};
    }

    placement_t choose_by_cost(const Program &program, unsigned gateway) {
        std::vector<engine_option_t> options;
        placement_request_t request = {};
        request.place = program.place;
        request.part = program.part;
        request.turn = {program.held_tokens + NEW_TOKENS, NEW_TOKENS, PART_TOKENS, TURN_MS,
                        TOKENS_PER_MS};
        request.begun = program.turns_left < TURNS;
        request.wants_free_ms = true;
        request.random_bits = random();
        for (unsigned i = 0; i < ENGINES; i++)
            if (i % ZONES == gateway % ZONES || i + 1 == program.place)
                options.push_back(option(gateway, i));
        placement_t placement =
            engine_place(options.data(), static_cast<unsigned>(options.size()), &request);
        if (placement.outcome != PLACEMENT_FOUND || placement.try_remote) {
            for (unsigned i = 0; i < ENGINES; i++)
                if (i % ZONES != gateway % ZONES && i + 1 != program.place)
                    options.push_back(option(gateway, i));
            placement =
                engine_place(options.data(), static_cast<unsigned>(options.size()), &request);
        }
        if (placement.outcome == PLACEMENT_FOUND)
            placement.chosen = static_cast<unsigned>(options[placement.chosen].id - 1);
        return placement;
    }

    void submit(Program *program) {
        unsigned gateway = random() % GATEWAYS;
        unsigned engine = 0;
        results.turns++;
        if (program->held_tokens == 0)
            program->held_tokens = PART_TOKENS;
        if (policy == Policy::BY_LOAD) {
            choose_by_load(*program, gateway, &engine);
        } else {
            placement_t placement = choose_by_cost(*program, gateway);
            if (placement.outcome == PLACEMENT_FULL) {
                results.refused_before_send++;
                refuse(program, placement.free_ms);
                return;
            }
            engine = placement.chosen;
        }
        send(program, gateway, engine);
    }

    void refuse(Program *program, double free_ms) {
        if (program->retried) {
            results.abandoned++;
            return;
        }
        program->retried = true;
        double wait =
            policy == Policy::BY_LOAD ? RETRY_AFTER_MS : std::clamp(free_ms, 50.0, 1000.0);
        schedule(wait, [this, program] { submit(program); });
    }

    void send(Program *program, unsigned gateway, unsigned engine) {
        results.sent_to_failed += failed[engine];
        Turn turn = {program, gateway, engine, known_load(gateway, engine), now};
        own_loads[gateway][engine]++;
        if (running[engine] < SLOTS && !failed[engine]) {
            start(turn);
        } else if (waiting[engine].size() < QUEUE && !failed[engine]) {
            waiting[engine].push_back(turn);
        } else {
            own_loads[gateway][engine]--;
            results.refused++;
            engine_limit_record_refused(&limits[gateway][engine], 1, turn.known_load, SLOTS,
                                        static_cast<uint64_t>(now));
            engine_baseline_record_refused(&baselines[gateway], turn.known_load, SLOTS);
            double free_ms = 0;
            if (policy == Policy::BY_COST) {
                program->place = 0;
                free_ms = choose_by_cost(*program, gateway).free_ms;
            }
            refuse(program, free_ms);
        }
        unsigned load = running[engine] + static_cast<unsigned>(waiting[engine].size());
        results.max_load = std::max(results.max_load, load);
    }

    /** Starts a turn. An engine processes one prompt at a time. */
    void start(const Turn &turn) {
        unsigned engine = turn.engine;
        Program *program = turn.program;
        bool cached = program->place == engine + 1;
        uint32_t read_tokens = NEW_TOKENS + (cached ? 0 : program->held_tokens);
        results.reread_tokens += cached ? 0 : program->held_tokens;
        running[engine]++;
        double read_ms = read_tokens / TOKENS_PER_MS * 100 / percent(engine);
        reading_until[engine] = std::max(now, reading_until[engine]) + read_ms;
        double first_event_ms = reading_until[engine] - now;
        results.first_ms.push_back(reading_until[engine] - turn.submitted_at);
        engine_limit_record_accepted(&limits[turn.gateway][engine], 1, turn.known_load);
        engine_baseline_record_accepted(&baselines[turn.gateway], turn.known_load, SLOTS);
        program->place = engine + 1;
        schedule(first_event_ms + TURN_MS * 100 / percent(engine), [this, turn] { finish(turn); });
    }

    void finish(const Turn &turn) {
        unsigned engine = turn.engine;
        Program *program = turn.program;
        running[engine]--;
        own_loads[turn.gateway][engine]--;
        program->held_tokens += NEW_TOKENS;
        program->retried = false;
        if (!waiting[engine].empty() && !failed[engine]) {
            Turn next = waiting[engine].front();
            waiting[engine].pop_front();
            start(next);
        }
        if (--program->turns_left == 0)
            results.finished++;
        else
            schedule(THINK_MS, [this, program] { submit(program); });
    }

    Policy policy;
    double now = 0;
    uint64_t sequence = 0;
    std::mt19937_64 random;
    std::priority_queue<Event> events;
    std::deque<Program> programs;
    Loads own_loads = Loads(GATEWAYS, std::vector<unsigned>(ENGINES));
    std::deque<Loads> history;
    std::vector<std::vector<engine_limit_t>> limits =
        std::vector<std::vector<engine_limit_t>>(GATEWAYS, std::vector<engine_limit_t>(ENGINES));
    engine_baseline_t baselines[GATEWAYS] = {};
    unsigned running[ENGINES] = {};
    std::deque<Turn> waiting[ENGINES];
    double reading_until[ENGINES] = {};
    bool down[ENGINES] = {};
    bool failed[ENGINES] = {};
};

void print(const char *name, Results &results) {
    printf("%s: turns %u refused %u before send %u programs finished %u abandoned %u; "
           "first event p50 %.0f, p95 %.0f ms; tokens read again %llu; max load %u; to failed %u\n",
           name, results.turns, results.refused, results.refused_before_send, results.finished,
           results.abandoned, results.quantile(0.5), results.quantile(0.95),
           static_cast<unsigned long long>(results.reread_tokens), results.max_load,
           results.sent_to_failed);
}

/** Runs a simulation with both policies. */
std::pair<Results, Results> compare_policies(const std::function<void(Fleet &)> &load,
                                             double until) {
    Results results[2];
    for (Policy policy : {Policy::BY_LOAD, Policy::BY_COST}) {
        Fleet fleet(policy);
        load(fleet);
        fleet.run(until);
        results[policy == Policy::BY_COST] = fleet.results;
        print(policy == Policy::BY_COST ? "by cost" : "by load",
              results[policy == Policy::BY_COST]);
    }
    return {results[0], results[1]};
}

// Guards against retries and repeated prompt processing that multiply an overload.
TEST(EngineLoad, OverloadAtThreeTimesCapacity) {
    auto [by_load, by_cost] = compare_policies(
        [](Fleet &fleet) {
            fleet.add_arrivals(0, 2000, 200);
            fleet.add_arrivals(2000, 5000, 1200);
            fleet.add_arrivals(5000, 8000, 200);
        },
        12000);
    EXPECT_LT(by_cost.refused, by_load.refused / 2);
    EXPECT_GT(by_cost.refused_before_send, 500U) << "new programs are refused by the gateway";
    EXPECT_GT(by_cost.finished, by_load.finished * 3 / 2);
    EXPECT_LT(by_cost.reread_tokens, by_load.reread_tokens * 6 / 10);
    EXPECT_LT(by_cost.quantile(0.95), by_load.quantile(0.95));
}

// Guards against turns sent to engines whose queues stay full.
TEST(EngineLoad, EnginesWithFullQueuesAreAvoided) {
    auto [by_load, by_cost] = compare_policies(
        [](Fleet &fleet) {
            for (unsigned engine = 0; engine < 8; engine++)
                fleet.hang(engine);
            fleet.add_arrivals(0, 5000, 200);
        },
        9000);
    EXPECT_LT(by_cost.refused, by_load.refused / 5);
    EXPECT_GE(by_cost.finished, by_load.finished);
    EXPECT_LE(by_cost.abandoned, 3U);
    EXPECT_LT(by_cost.quantile(0.95), by_load.quantile(0.95) / 2);
}

// Guards against queues at slow engines: a third of them run at 0.4 of the typical speed.
TEST(EngineLoad, SlowEnginesGetFewerTurns) {
    auto [by_load, by_cost] = compare_policies(
        [](Fleet &fleet) {
            for (unsigned engine = 0; engine < ENGINES; engine += 3)
                fleet.speed[engine] = 40;
            fleet.add_arrivals(0, 6000, 250);
        },
        10000);
    EXPECT_LT(by_cost.refused, by_load.refused / 20);
    EXPECT_GT(by_cost.finished, by_load.finished);
    EXPECT_LT(by_cost.quantile(0.95), by_load.quantile(0.95) / 2);
    EXPECT_LT(by_cost.reread_tokens, by_load.reread_tokens / 2);
}

// Guards against herding: a burst arrives before any gateway has updated loads.
TEST(EngineLoad, GatewaysWithTheSameStaleLoadsDoNotHerd) {
    auto [by_load, by_cost] =
        compare_policies([](Fleet &fleet) { fleet.add_arrivals(0, 200, 2500); }, 4000);
    EXPECT_EQ(by_cost.refused, 0U);
    EXPECT_EQ(by_cost.abandoned, 0U);
    EXPECT_LT(by_cost.quantile(0.95), by_load.quantile(0.95) / 2);
}

// Guards against turns sent to failed engines, and against overload of those that replace them.
TEST(EngineLoad, FailedEnginesGetNoTurns) {
    auto [by_load, by_cost] = compare_policies(
        [](Fleet &fleet) {
            fleet.add_arrivals(0, 5000, 220);
            fleet.schedule(2000, [&fleet] {
                fleet.fail(0);
                fleet.fail(5);
            });
        },
        9000);
    EXPECT_EQ(by_cost.sent_to_failed, 0U);
    EXPECT_EQ(by_cost.refused, 0U);
    EXPECT_EQ(by_cost.abandoned, 0U);
    EXPECT_LT(by_cost.max_load, by_load.max_load);
}

// Single decisions.

constexpr turn_profile_t TURN = {2400, 400, 500, 60, 100};

engine_option_t idle(uint64_t id) {
    return {id, {0, SLOTS, QUEUE, 100, false}, true, false, false};
}

placement_t place(const std::vector<engine_option_t> &options, uint64_t at, bool begun,
                  uint64_t random_bits) {
    placement_request_t request = {at, 7, TURN, begun, true, random_bits};
    return engine_place(options.data(), static_cast<unsigned>(options.size()), &request);
}

TEST(EnginePlacement, NoEngineIsFoundWithoutCandidates) {
    EXPECT_EQ(place({}, 0, false, 0).outcome, PLACEMENT_NONE);
    engine_option_t avoided = idle(1);
    avoided.avoided = avoided.down = true;
    EXPECT_EQ(place({avoided}, 0, false, 0).outcome, PLACEMENT_FOUND)
        << "the indication is unreliable";
}

TEST(EnginePlacement, AProgramStaysUnlessAMoveSavesMoreThanATurn) {
    std::vector<engine_option_t> options = {idle(1), idle(2)};
    options[0].state.load = SLOTS + 2;
    for (uint64_t random_bits = 0; random_bits < 1000; random_bits++)
        EXPECT_EQ(place(options, 1, true, random_bits << 6).chosen, 0U);
    options[0].state.load = SLOTS + QUEUE - 1;
    unsigned left = 0;
    for (uint64_t random_bits = 0; random_bits < 1000; random_bits++)
        left += place(options, 1, true, random_bits * 65).chosen == 1;
    EXPECT_GT(left, 200U) << "the share that equalizes the costs leaves";
    EXPECT_LT(left, 500U);
}

TEST(EnginePlacement, AProgramLeavesASlowEngine) {
    std::vector<engine_option_t> options = {idle(1), idle(2)};
    options[0].state.speed_percent = 20;
    unsigned left = 0;
    for (uint64_t random_bits = 0; random_bits < 1000; random_bits++)
        left += place(options, 1, true, random_bits * 65).chosen == 1;
    EXPECT_GT(left, 200U);
}

TEST(EnginePlacement, AnEngineThatRefusedACallGetsNoTurnsUntilItsLoadHasFallen) {
    std::vector<engine_option_t> options = {idle(1), idle(2)};
    options[0].state.refusing = true;
    for (uint64_t random_bits = 0; random_bits < 1000; random_bits++) {
        EXPECT_EQ(place(options, 0, false, random_bits * 65537).chosen, 1U);
        EXPECT_EQ(place(options, 1, true, random_bits * 65537).chosen, 1U);
    }
    engine_limit_t limit = {};
    engine_limit_record_refused(&limit, 5, 14, SLOTS, 1000);
    EXPECT_TRUE(engine_limit_is_refusing(&limit, 5, 14, 1001));
    EXPECT_FALSE(engine_limit_is_refusing(&limit, 5, 13, 1001)) << "its load has fallen";
    EXPECT_FALSE(engine_limit_is_refusing(&limit, 5, 14, 2000)) << "the refusal has expired";
    EXPECT_FALSE(engine_limit_is_refusing(&limit, 6, 14, 1001)) << "another incarnation";
    EXPECT_EQ(engine_limit_queue(&limit, 5, SLOTS), 14 - SLOTS);
    EXPECT_EQ(engine_limit_queue(&limit, 6, SLOTS), 0U) << "another incarnation";
    engine_limit_record_accepted(&limit, 5, 20);
    EXPECT_EQ(engine_limit_queue(&limit, 5, SLOTS), 21 - SLOTS);
}

TEST(EnginePlacement, OnlyProgramsInProgressAreSentToFullEngines) {
    std::vector<engine_option_t> options = {idle(1), idle(2)};
    options[0].state.load = options[1].state.load = SLOTS + QUEUE;
    placement_t refused = place(options, 0, false, 0);
    EXPECT_EQ(refused.outcome, PLACEMENT_FULL);
    EXPECT_NEAR(refused.free_ms, TURN.turn_ms / SLOTS, 0.1);
    EXPECT_EQ(place(options, 1, true, 0).outcome, PLACEMENT_FOUND);
    EXPECT_EQ(place(options, 0, true, 0).outcome, PLACEMENT_FOUND);
    options[1].state.load = SLOTS + QUEUE * 3 / 4;
    EXPECT_EQ(place(options, 0, false, 0).outcome, PLACEMENT_FULL)
        << "the rest of the queues is reserved for programs in progress";
    options[1].state.load = SLOTS;
    EXPECT_EQ(place(options, 0, false, 0).chosen, 1U);
}

TEST(EnginePlacement, TheOnlyEngineIsUsedEvenIfItIsProbablyDown) {
    engine_option_t only = idle(1);
    only.avoided = only.down = true;
    EXPECT_EQ(place({only}, 0, true, 0).outcome, PLACEMENT_FOUND);
    EXPECT_EQ(place({only}, 1, true, 0).outcome, PLACEMENT_FOUND) << "also by its current program";
    EXPECT_EQ(place({only, idle(2)}, 1, true, 0).chosen, 1U)
        << "the program moves to another engine";
}

TEST(EnginePlacement, ARemoteEngineIsUsedOnlyIfAllLocalOnesCostMore) {
    std::vector<engine_option_t> options = {idle(1), idle(2), idle(3)};
    options[2].local = false;
    options[0].state.load = SLOTS + QUEUE - 1;
    for (uint64_t random_bits = 0; random_bits < 1000; random_bits++)
        EXPECT_LT(place(options, 0, false, random_bits * 65537).chosen, 2U)
            << "a local engine is idle";
    options[1].state.load = SLOTS + 2;
    EXPECT_EQ(place(options, 0, false, 0).chosen, 2U);
}

TEST(EngineBaseline, OutliersDoNotChangeTheMedian) {
    engine_baseline_t baseline = {};
    EXPECT_EQ(engine_baseline_turn_ms(&baseline), 100);
    for (unsigned i = 0; i < 200; i++)
        engine_baseline_record_turn(&baseline, i % 10 == 0 ? 15000 : 58 + i % 5, 100);
    EXPECT_NEAR(engine_baseline_turn_ms(&baseline), 60, 12);
    for (unsigned i = 0; i < 200; i++) {
        engine_baseline_record_first_event_time(&baseline, 20, 0, 100);
        engine_baseline_record_first_event_time(&baseline, 20 + 2000 / 50, 2000, 100);
    }
    EXPECT_NEAR(engine_baseline_tokens_per_ms(&baseline), 50, 8);
}

} // namespace
