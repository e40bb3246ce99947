/**
 * At which engine a turn runs when engines are full, slow or lost, and what callers get.
 *
 * The loads are played in virtual time: 52 gateways in four zones, 36 engines of 6 slots and a
 * queue of 12, programs of 8 turns whose prompts grow. Each gateway knows its own calls at once and
 * those of the others 216 ms late. "Before" is engine_choose, "after" engine_place.
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
#include "core/routing/engine_usual.h"
}

namespace {

constexpr unsigned ZONES = 4;
constexpr unsigned GATEWAYS = 52;
constexpr unsigned ENGINES = 36;
constexpr unsigned SLOTS = 6;
constexpr unsigned QUEUE = 12;
constexpr double LATE_MS = 216;
constexpr double SNAPSHOT_MS = 54;
constexpr double TURN_MS = 60;
constexpr double TOKENS_PER_MS = 100;
constexpr unsigned TURNS = 8;
constexpr uint32_t PART_TOKENS = 500;
constexpr uint32_t NEW_TOKENS = 400;
constexpr double THINK_MS = 60;
constexpr double COME_BACK_MS = 150;

enum class Way { BEFORE, AFTER };

struct Program {
    unsigned turns_left = TURNS;
    uint32_t held_tokens = 0;
    uint64_t place = 0;
    uint64_t part = 0;
    bool came_back = false;
};

struct Turn {
    Program *program;
    unsigned gateway;
    unsigned engine;
    unsigned known_load;
    double asked_at;
};

struct Figures {
    unsigned turns = 0;
    unsigned refused = 0;   /**< Turned away by an engine. */
    unsigned not_sent = 0;  /**< Refused before the send. */
    unsigned ended = 0;     /**< Programs that ended by refusals. */
    unsigned finished = 0;  /**< Programs. */
    uint64_t again = 0;     /**< Prompt tokens read again. */
    unsigned most_load = 0; /**< At one engine. */
    unsigned sent_to_lost = 0;
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
    explicit Fleet(Way by) : way(by), random(7) {
        history.assign(static_cast<size_t>(LATE_MS / SNAPSHOT_MS) + 1, own);
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

    /** Programs arrive from @p from to @p to at @p per_s, by chance. */
    void arrive(double from, double to, double per_s) {
        std::exponential_distribution<double> gap(per_s / 1000);
        for (double at = from + gap(random); at < to; at += gap(random))
            schedule(at, [this] {
                programs.emplace_back();
                programs.back().part = 1 + random() % 6;
                ask(&programs.back());
            });
    }

    /** Fills an engine with calls that don't end. */
    void hang(unsigned engine) {
        running[engine] = SLOTS;
        waiting[engine].resize(QUEUE, Turn{nullptr, 0, engine, 0, 0});
        own[0][engine] = SLOTS + QUEUE;
        for (auto &old : history)
            old[0][engine] = SLOTS + QUEUE;
    }

    void lose(unsigned engine) {
        down[engine] = true;
        lost[engine] = true;
    }

    unsigned speed[ENGINES] = {};
    Figures figures;

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
        history.push_back(own);
        history.pop_front();
        schedule(SNAPSHOT_MS, [this] { snapshot(); });
    }

    unsigned known_load(unsigned gateway, unsigned engine) const {
        unsigned load = own[gateway][engine];
        for (unsigned other = 0; other < GATEWAYS; other++)
            if (other != gateway)
                load += history.front()[other][engine];
        return load;
    }

    unsigned percent(unsigned engine) const {
        return speed[engine] == 0 ? 100 : speed[engine];
    }

    bool choose_before(const Program &program, unsigned gateway, unsigned *chosen) {
        std::vector<engine_candidate_t> candidates;
        for (unsigned i = 0; i < ENGINES; i++)
            candidates.push_back({i + 1, known_load(gateway, i), SLOTS,
                                  i % ZONES == gateway % ZONES, down[i], down[i]});
        engine_request_t request = {program.place, program.part};
        /* As a gateway does: its own zone and the program's place, then all. */
        std::vector<engine_candidate_t> near;
        std::vector<unsigned> index;
        for (unsigned i = 0; i < ENGINES; i++)
            if (candidates[i].near || candidates[i].id == program.place) {
                near.push_back(candidates[i]);
                index.push_back(i);
            }
        if (engine_choose(near.data(), static_cast<unsigned>(near.size()), &request, chosen)) {
            const engine_candidate_t &engine = near[*chosen];
            bool does = engine.id == program.place ? !engine_crowded(&engine) : engine.near;
            *chosen = index[*chosen];
            if (does)
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
                {load, SLOTS, queue > 0 ? queue : engine_usual_queue(&usual[gateway], SLOTS),
                 percent(i), engine_limit_turns_away(limit, 1, load, at)},
                i % ZONES == gateway % ZONES,
                down[i],
                down[i]};
    }

    placement_t choose_after(const Program &program, unsigned gateway) {
        std::vector<engine_option_t> options;
        placement_request_t request = {};
        request.place = program.place;
        request.part = program.part;
        request.turn = {program.held_tokens + NEW_TOKENS, NEW_TOKENS, PART_TOKENS, TURN_MS,
                        TOKENS_PER_MS};
        request.begun = program.turns_left < TURNS;
        request.wants_free_ms = true;
        request.draw = random();
        for (unsigned i = 0; i < ENGINES; i++)
            if (i % ZONES == gateway % ZONES || i + 1 == program.place)
                options.push_back(option(gateway, i));
        placement_t placement =
            engine_place(options.data(), static_cast<unsigned>(options.size()), &request);
        if (placement.outcome != PLACEMENT_FOUND || placement.look_far) {
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

    void ask(Program *program) {
        unsigned gateway = random() % GATEWAYS;
        unsigned engine = 0;
        figures.turns++;
        if (program->held_tokens == 0)
            program->held_tokens = PART_TOKENS;
        if (way == Way::BEFORE) {
            choose_before(*program, gateway, &engine);
        } else {
            placement_t placement = choose_after(*program, gateway);
            if (placement.outcome == PLACEMENT_FULL) {
                figures.not_sent++;
                refuse(program, placement.free_ms);
                return;
            }
            engine = placement.chosen;
        }
        send(program, gateway, engine);
    }

    void refuse(Program *program, double free_ms) {
        if (program->came_back) {
            figures.ended++;
            return;
        }
        program->came_back = true;
        double wait = way == Way::BEFORE ? COME_BACK_MS : std::clamp(free_ms, 50.0, 1000.0);
        schedule(wait, [this, program] { ask(program); });
    }

    void send(Program *program, unsigned gateway, unsigned engine) {
        figures.sent_to_lost += lost[engine];
        Turn turn = {program, gateway, engine, known_load(gateway, engine), now};
        own[gateway][engine]++;
        if (running[engine] < SLOTS && !lost[engine]) {
            start(turn);
        } else if (waiting[engine].size() < QUEUE && !lost[engine]) {
            waiting[engine].push_back(turn);
        } else {
            own[gateway][engine]--;
            figures.refused++;
            engine_limit_note_refused(&limits[gateway][engine], 1, turn.known_load, SLOTS,
                                      static_cast<uint64_t>(now));
            engine_usual_note_refused(&usual[gateway], turn.known_load, SLOTS);
            double free_ms = 0;
            if (way == Way::AFTER) {
                program->place = 0;
                free_ms = choose_after(*program, gateway).free_ms;
            }
            refuse(program, free_ms);
        }
        unsigned load = running[engine] + static_cast<unsigned>(waiting[engine].size());
        figures.most_load = std::max(figures.most_load, load);
    }

    /** One prompt after the other is read at an engine; what runs waits meanwhile. */
    void start(const Turn &turn) {
        unsigned engine = turn.engine;
        Program *program = turn.program;
        bool kept = program->place == engine + 1;
        uint32_t tokens = NEW_TOKENS + (kept ? 0 : program->held_tokens);
        figures.again += kept ? 0 : program->held_tokens;
        running[engine]++;
        double read_ms = tokens / TOKENS_PER_MS * 100 / percent(engine);
        reading_until[engine] = std::max(now, reading_until[engine]) + read_ms;
        double first = reading_until[engine] - now;
        figures.first_ms.push_back(reading_until[engine] - turn.asked_at);
        engine_limit_note_taken(&limits[turn.gateway][engine], 1, turn.known_load);
        engine_usual_note_taken(&usual[turn.gateway], turn.known_load, SLOTS);
        program->place = engine + 1;
        schedule(first + TURN_MS * 100 / percent(engine), [this, turn] { finish(turn); });
    }

    void finish(const Turn &turn) {
        unsigned engine = turn.engine;
        Program *program = turn.program;
        running[engine]--;
        own[turn.gateway][engine]--;
        program->held_tokens += NEW_TOKENS;
        program->came_back = false;
        if (!waiting[engine].empty() && !lost[engine]) {
            Turn next = waiting[engine].front();
            waiting[engine].pop_front();
            start(next);
        }
        if (--program->turns_left == 0)
            figures.finished++;
        else
            schedule(THINK_MS, [this, program] { ask(program); });
    }

    Way way;
    double now = 0;
    uint64_t sequence = 0;
    std::mt19937_64 random;
    std::priority_queue<Event> events;
    std::deque<Program> programs;
    Loads own = Loads(GATEWAYS, std::vector<unsigned>(ENGINES));
    std::deque<Loads> history;
    std::vector<std::vector<engine_limit_t>> limits =
        std::vector<std::vector<engine_limit_t>>(GATEWAYS, std::vector<engine_limit_t>(ENGINES));
    engine_usual_t usual[GATEWAYS] = {};
    unsigned running[ENGINES] = {};
    std::deque<Turn> waiting[ENGINES];
    double reading_until[ENGINES] = {};
    bool down[ENGINES] = {};
    bool lost[ENGINES] = {};
};

void print(const char *name, Figures &figures) {
    printf("%s: turns %u refused %u not sent %u programs finished %u ended %u; first event %.0f, "
           "%.0f ms; read again %llu; most load %u; to lost %u\n",
           name, figures.turns, figures.refused, figures.not_sent, figures.finished, figures.ended,
           figures.quantile(0.5), figures.quantile(0.95),
           static_cast<unsigned long long>(figures.again), figures.most_load, figures.sent_to_lost);
}

/** Plays a load both ways. */
std::pair<Figures, Figures> play(const std::function<void(Fleet &)> &load, double until) {
    Figures figures[2];
    for (Way way : {Way::BEFORE, Way::AFTER}) {
        Fleet fleet(way);
        load(fleet);
        fleet.run(until);
        figures[way == Way::AFTER] = fleet.figures;
        print(way == Way::AFTER ? "after" : "before", figures[way == Way::AFTER]);
    }
    return {figures[0], figures[1]};
}

/**
 * 200 programs a second, and 1,200 for 3 s, some three times what the engines make. Before: 10,409
 * turns turned away, 1,063 programs finished, first event after 69 ms (95 of 100: 257), 9,368,500
 * prompt tokens read again. After: 4,703, and 1,722 refused before the send; 2,085; 41 ms (182);
 * 4,475,200.
 */
TEST(EngineLoad, CrowdAtThreeTimesCapacity) {
    auto [before, after] = play(
        [](Fleet &fleet) {
            fleet.arrive(0, 2000, 200);
            fleet.arrive(2000, 5000, 1200);
            fleet.arrive(5000, 8000, 200);
        },
        12000);
    EXPECT_LT(after.refused, before.refused / 2);
    EXPECT_GT(after.not_sent, 500U) << "new programs are refused before the send";
    EXPECT_GT(after.finished, before.finished * 3 / 2);
    EXPECT_LT(after.again, before.again * 6 / 10);
    EXPECT_LT(after.quantile(0.95), before.quantile(0.95));
}

/**
 * 200 programs a second; the queues of 8 engines are full of calls that don't end. Before: 313
 * turns turned away, 30 programs ended by it, first event after 17 ms (195), 3,749,500 tokens read
 * again. After: 29, each gateway having to learn it; 1; 4 ms (16); 496,500.
 */
TEST(EngineLoad, EnginesWithFullQueues) {
    auto [before, after] = play(
        [](Fleet &fleet) {
            for (unsigned engine = 0; engine < 8; engine++)
                fleet.hang(engine);
            fleet.arrive(0, 5000, 200);
        },
        9000);
    EXPECT_LT(after.refused, before.refused / 5);
    EXPECT_GE(after.finished, before.finished);
    EXPECT_LE(after.ended, 3U);
    EXPECT_LT(after.quantile(0.95), before.quantile(0.95) / 2);
}

/**
 * 250 programs a second; 12 engines have 0.4 of the speed, which is known. Before: 1,865 turns
 * turned away, 389 programs ended by it, first event after 52 ms (339), 7,231,900 tokens read
 * again. After: 0; 0; 8 ms (46); 868,500.
 */
TEST(EngineLoad, AThirdAtFourTenthsOfTheSpeed) {
    auto [before, after] = play(
        [](Fleet &fleet) {
            for (unsigned engine = 0; engine < ENGINES; engine += 3)
                fleet.speed[engine] = 40;
            fleet.arrive(0, 6000, 250);
        },
        10000);
    EXPECT_LT(after.refused, before.refused / 20);
    EXPECT_GT(after.finished, before.finished);
    EXPECT_LT(after.quantile(0.95), before.quantile(0.95) / 2);
    EXPECT_LT(after.again, before.again / 2);
}

/**
 * 500 programs begin within 200 ms at idle engines, before any gateway has heard of another's
 * calls. Before: 717 turns turned away, 107 programs ended by it, first event after 100 ms (335).
 * After: 0; 0; 26 ms (90).
 */
TEST(EngineLoad, ManyGatewaysThatKnowTheSameLateDontHerd) {
    auto [before, after] = play([](Fleet &fleet) { fleet.arrive(0, 200, 2500); }, 4000);
    EXPECT_EQ(after.refused, 0U);
    EXPECT_EQ(after.ended, 0U);
    EXPECT_LT(after.quantile(0.95), before.quantile(0.95) / 2);
}

/**
 * 220 programs a second; two engines are lost, which all gateways find at once. Nobody is sent
 * there, and what ran there is not herded: before, first event after 4 ms (51), 18 calls at one
 * engine at most, 1,459,100 tokens read again. After: 4 ms (13); 11; 579,900.
 */
TEST(EngineLoad, AnEngineLost) {
    auto [before, after] = play(
        [](Fleet &fleet) {
            fleet.arrive(0, 5000, 220);
            fleet.schedule(2000, [&fleet] {
                fleet.lose(0);
                fleet.lose(5);
            });
        },
        9000);
    EXPECT_EQ(after.sent_to_lost, 0U);
    EXPECT_EQ(after.refused, 0U);
    EXPECT_EQ(after.ended, 0U);
    EXPECT_LT(after.most_load, before.most_load);
}

// The decision on its own.

constexpr engine_turn_t TURN = {2400, 400, 500, 60, 100};

engine_option_t idle(uint64_t id) {
    return {id, {0, SLOTS, QUEUE, 100, false}, true, false, false};
}

placement_t place(const std::vector<engine_option_t> &options, uint64_t at, bool begun,
                  uint64_t draw) {
    placement_request_t request = {at, 7, TURN, begun, true, draw};
    return engine_place(options.data(), static_cast<unsigned>(options.size()), &request);
}

TEST(EnginePlacement, NoneOfNone) {
    EXPECT_EQ(place({}, 0, false, 0).outcome, PLACEMENT_NONE);
    engine_option_t avoided = idle(1);
    avoided.avoided = avoided.down = true;
    EXPECT_EQ(place({avoided}, 0, false, 0).outcome, PLACEMENT_FOUND) << "the sign says nothing";
}

TEST(EnginePlacement, AProgramStaysUnlessAnotherIsBetterByATurn) {
    std::vector<engine_option_t> options = {idle(1), idle(2)};
    options[0].state.load = SLOTS + 2;
    for (uint64_t draw = 0; draw < 1000; draw++)
        EXPECT_EQ(place(options, 1, true, draw << 6).chosen, 0U);
    options[0].state.load = SLOTS + QUEUE - 1;
    unsigned left = 0;
    for (uint64_t draw = 0; draw < 1000; draw++)
        left += place(options, 1, true, draw * 65).chosen == 1;
    EXPECT_GT(left, 200U) << "a share leaves, so that both come to one cost";
    EXPECT_LT(left, 500U);
}

TEST(EnginePlacement, ASlowEngineIsLeftForAFasterOne) {
    std::vector<engine_option_t> options = {idle(1), idle(2)};
    options[0].state.speed_percent = 20;
    unsigned left = 0;
    for (uint64_t draw = 0; draw < 1000; draw++)
        left += place(options, 1, true, draw * 65).chosen == 1;
    EXPECT_GT(left, 200U);
}

TEST(EnginePlacement, AnEngineThatTurnedACallAwayGetsNothingUntilItsLoadHasFallen) {
    std::vector<engine_option_t> options = {idle(1), idle(2)};
    options[0].state.turns_away = true;
    for (uint64_t draw = 0; draw < 1000; draw++) {
        EXPECT_EQ(place(options, 0, false, draw * 65537).chosen, 1U);
        EXPECT_EQ(place(options, 1, true, draw * 65537).chosen, 1U);
    }
    engine_limit_t limit = {};
    engine_limit_note_refused(&limit, 5, 14, SLOTS, 1000);
    EXPECT_TRUE(engine_limit_turns_away(&limit, 5, 14, 1001));
    EXPECT_FALSE(engine_limit_turns_away(&limit, 5, 13, 1001)) << "its load has fallen";
    EXPECT_FALSE(engine_limit_turns_away(&limit, 5, 14, 2000)) << "loads known since say more";
    EXPECT_FALSE(engine_limit_turns_away(&limit, 6, 14, 1001)) << "another life";
    EXPECT_EQ(engine_limit_queue(&limit, 5, SLOTS), 14 - SLOTS);
    EXPECT_EQ(engine_limit_queue(&limit, 6, SLOTS), 0U) << "another life";
    engine_limit_note_taken(&limit, 5, 20);
    EXPECT_EQ(engine_limit_queue(&limit, 5, SLOTS), 21 - SLOTS);
}

TEST(EnginePlacement, WithAllFullOnlyAProgramUnderWayIsSent) {
    std::vector<engine_option_t> options = {idle(1), idle(2)};
    options[0].state.load = options[1].state.load = SLOTS + QUEUE;
    placement_t refused = place(options, 0, false, 0);
    EXPECT_EQ(refused.outcome, PLACEMENT_FULL);
    EXPECT_NEAR(refused.free_ms, TURN.turn_ms / SLOTS, 0.1);
    EXPECT_EQ(place(options, 1, true, 0).outcome, PLACEMENT_FOUND);
    EXPECT_EQ(place(options, 0, true, 0).outcome, PLACEMENT_FOUND);
    options[1].state.load = SLOTS + QUEUE * 3 / 4;
    EXPECT_EQ(place(options, 0, false, 0).outcome, PLACEMENT_FULL)
        << "what is left of the queues is for programs under way";
    options[1].state.load = SLOTS;
    EXPECT_EQ(place(options, 0, false, 0).chosen, 1U);
}

TEST(EnginePlacement, TheLastEngineIsUsedThoughItSeemsDown) {
    engine_option_t only = idle(1);
    only.avoided = only.down = true;
    EXPECT_EQ(place({only}, 0, true, 0).outcome, PLACEMENT_FOUND);
    EXPECT_EQ(place({only}, 1, true, 0).outcome, PLACEMENT_FOUND) << "also by its own program";
    EXPECT_EQ(place({only, idle(2)}, 1, true, 0).chosen, 1U) << "which leaves it for another";
}

TEST(EnginePlacement, AnotherZoneIsUsedOnlyIfAllOfThisOneAreWorse) {
    std::vector<engine_option_t> options = {idle(1), idle(2), idle(3)};
    options[2].near = false;
    options[0].state.load = SLOTS + QUEUE - 1;
    for (uint64_t draw = 0; draw < 1000; draw++)
        EXPECT_LT(place(options, 0, false, draw * 65537).chosen, 2U) << "one of the zone is idle";
    options[1].state.load = SLOTS + 2;
    EXPECT_EQ(place(options, 0, false, 0).chosen, 2U);
}

TEST(EngineUsual, AMedianIsNotMovedByAHungEngine) {
    engine_usual_t usual = {};
    EXPECT_EQ(engine_usual_turn_ms(&usual), 100);
    for (unsigned i = 0; i < 200; i++)
        engine_usual_note_turn(&usual, i % 10 == 0 ? 15000 : 58 + i % 5, 100);
    EXPECT_NEAR(engine_usual_turn_ms(&usual), 60, 12);
    for (unsigned i = 0; i < 200; i++) {
        engine_usual_note_first(&usual, 20, 0, 100);
        engine_usual_note_first(&usual, 20 + 2000 / 50, 2000, 100);
    }
    EXPECT_NEAR(engine_usual_tokens_per_ms(&usual), 50, 8);
}

} // namespace
