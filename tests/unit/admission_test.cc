// Admission of programs of tenants with a limit: call forecasts, ledgers, homes, and a simulation
// of a burst at six times the limit through the decision code of gateways and members. Guards
// against programs that are refused after part of their calls have run, and against an exceeded
// limit.
#include <glib.h>

extern "C" {
#include "core/admission/admission_table.h"
#include "core/admission/call_counts.h"
#include "core/admission/program_home.h"
}

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace {

const quota_bounds_t bounds = {5000, 0.1, 20};

double allowed(const quota_limit_t &limit) {
    return (limit.rate * 5.0 + limit.burst) * (1 + bounds.overage) + bounds.slack;
}

void record_program(call_counts_t *counts, unsigned calls, bool ended = true) {
    for (unsigned i = 1; i <= calls; i++)
        call_counts_record_call(counts, i);
    if (ended)
        call_counts_record_end(counts, calls, true);
}

TEST(CallCounts, HasNoForecastUntilEnoughProgramsHaveEnded) {
    call_counts_t counts = {};
    for (int i = 0; i < 7; i++)
        record_program(&counts, 4);
    EXPECT_FALSE(call_counts_sufficient(&counts));
    record_program(&counts, 4);
    EXPECT_TRUE(call_counts_sufficient(&counts));
    EXPECT_NEAR(call_counts_forecast(&counts, 0).mean, 4, 0.6);
}

TEST(CallCounts, AProgramThatHasMadeManyCallsIsOneOfTheLongOnes) {
    call_counts_t counts = {};
    for (int i = 0; i < 50; i++) {
        record_program(&counts, 2);
        record_program(&counts, 20);
    }
    EXPECT_NEAR(call_counts_forecast(&counts, 0).mean, 11, 1);
    call_forecast_t after_two = call_counts_forecast(&counts, 2);
    EXPECT_NEAR(after_two.continue_probability, 0.5, 0.05);
    EXPECT_NEAR(after_two.mean, 18, 2) << "if it goes on";
    EXPECT_NEAR(call_counts_forecast(&counts, 15).mean, 5, 1);
}

TEST(CallCounts, ShortProgramsDoNotBiasTheForecast) {
    call_counts_t counts = {};
    for (int i = 0; i < 20; i++) {
        record_program(&counts, 2);
        record_program(&counts, 10, i < 2);
    }
    EXPECT_GT(call_counts_forecast(&counts, 0).mean, 5.5);
}

class Ledger : public testing::Test {
  protected:
    void SetUp() override {
        ledger = program_ledger_new();
    }
    void TearDown() override {
        program_ledger_free(ledger);
    }
    bool late = false;
    program_admission_t call(uint64_t program, uint64_t now, bool begun = false,
                             program_share_t with = {1000, 1, 1000}) {
        program_call_t call = {program, 7, begun, late};
        return program_ledger_admit(ledger, &call, &with, true, now);
    }
    /** Programs of @p calls calls with pauses of 200 ms, so that the forecast is available. */
    uint64_t record_programs(unsigned programs, unsigned calls) {
        uint64_t now = 1000;
        for (unsigned k = 0; k < calls; k++, now += 200)
            for (unsigned i = 0; i < programs; i++)
                call(1000000 + i, now);
        now += 20000;
        program_ledger_remaining_calls(ledger, now);
        return now;
    }
    program_ledger_t *ledger = nullptr;
};

TEST_F(Ledger, AdmitsByTokensWithoutAForecast) {
    for (uint64_t i = 1; i <= 100; i++)
        EXPECT_TRUE(call(i, 10, false, {1, 0.01, 40}).admitted);
    EXPECT_FALSE(call(200, 10, false, {-5, 0.01, 40}).admitted)
        << "no token, and none available soon";
}

TEST_F(Ledger, RefusesANewProgramWithoutCapacityAndReturnsTheWait) {
    uint64_t now = record_programs(50, 10);
    unsigned admitted = 0;
    program_admission_t last = {};
    for (uint64_t i = 1; i <= 100; i++) {
        last = call(i, now, false, {40, 0.1, 40});
        admitted += last.admitted;
    }
    EXPECT_GE(admitted, 15u) << "0.1 calls per ms suffice for 20 programs with one call per 200 ms";
    EXPECT_LE(admitted, 30u);
    EXPECT_FALSE(last.admitted);
    EXPECT_GE(last.wait_ms, 100u);
    EXPECT_NEAR(last.expected_calls, 10, 1);
    EXPECT_TRUE(call(1, now + 100, false, {0, 0.1, 40}).begun);
    EXPECT_TRUE(call(1, now + 100, false, {0, 0.1, 40}).admitted) << "active";
}

TEST_F(Ledger, AnIdleProgramReleasesItsCapacity) {
    uint64_t now = record_programs(50, 10);
    while (call(now, now, false, {40, 0.1, 40}).admitted)
        now++;
    EXPECT_GT(program_ledger_remaining_calls(ledger, now), 50);
    EXPECT_LT(program_ledger_remaining_calls(ledger, now + 3000), 1);
    EXPECT_TRUE(call(1, now + 3000, false, {40, 0.1, 40}).admitted);
}

TEST_F(Ledger, AcceptsBegunProgramsAfterALossOfState) {
    uint64_t now = record_programs(50, 10);
    while (call(now, now, false, {40, 0.1, 40}).admitted)
        now++;
    EXPECT_TRUE(call(5, now, true, {-40, 0.1, 40}).admitted);
    EXPECT_TRUE(call(5, now + 200, false, {-40, 0.1, 40}).begun) << "and is tracked from then on";
}

TEST_F(Ledger, AnEndlessProgramIsEvaluatedAsANewOne) {
    uint64_t now = record_programs(50, 10);
    for (int i = 0; i < 60; i++, now += 200)
        EXPECT_TRUE(call(1, now, false, {-1, 0.1, 40}).admitted || i == 0);
    call(1, now, true, {-1, 0.1, 40});
    bool refused = false;
    for (int i = 0; i < 40; i++, now += 200)
        refused = refused || !call(1, now, true, {-30, 0.1, 40}).admitted;
    EXPECT_TRUE(refused);
    EXPECT_TRUE(call(1, now, true, {40, 0.1, 40}).admitted) << "it gets unused capacity";
}

TEST_F(Ledger, ARefusedProgramIsReadmittedLater) {
    EXPECT_FALSE(call(1, 10, false, {-5, 0.01, 40}).admitted);
    EXPECT_FALSE(call(1, 20, false, {-5, 0.01, 40}).admitted) << "a refusal does not start it";
    program_admission_t later = call(1, 500, false, {5, 0.01, 40});
    EXPECT_TRUE(later.admitted);
    EXPECT_TRUE(later.readmitted);
}

TEST_F(Ledger, AProgramRefusedUntilItsDeadlineIsNotAdmitted) {
    EXPECT_FALSE(call(1, 10, false, {-5, 0.01, 40}).admitted);
    EXPECT_FALSE(call(2, 10, false, {-5, 0.01, 40}).admitted);
    EXPECT_TRUE(call(2, 500).admitted);
    late = true;
    EXPECT_FALSE(call(1, 500).admitted) << "its caller would give up before it ends";
    EXPECT_TRUE(call(2, 600).admitted) << "active";
    EXPECT_TRUE(call(3, 600).admitted) << "a new program is not late";
    EXPECT_TRUE(call(1, 600, true).admitted) << "its gateway reports that it has begun";
}

TEST_F(Ledger, LimitsTheNumberOfTrackedPrograms) {
    for (uint64_t i = 1; i <= 20000; i++)
        EXPECT_TRUE(call(i, 10).admitted);
    EXPECT_EQ(program_ledger_size(ledger), 10000u);
    program_ledger_remaining_calls(ledger, 60000);
    program_ledger_remaining_calls(ledger, 120000);
    EXPECT_EQ(program_ledger_size(ledger), 0u);
}

TEST(ProgramHome, MovesOnlyProgramsOfAMemberThatIsLost) {
    std::vector<quota_member_t> members(8);
    for (unsigned i = 0; i < 8; i++)
        members[i] = {true, false, 1000 + i * 77, 0};
    std::map<unsigned, int> programs;
    for (uint64_t p = 1; p <= 8000; p++)
        programs[program_home_choose(members.data(), 8, 8, p)]++;
    for (auto &[member, count] : programs)
        EXPECT_NEAR(count, 1000, 150) << member;
    std::vector<quota_member_t> rest = members;
    rest[3].reachable = false;
    for (uint64_t p = 1; p <= 8000; p++) {
        unsigned before = program_home_choose(members.data(), 8, 8, p);
        unsigned after = program_home_choose(rest.data(), 8, 8, p);
        EXPECT_TRUE(before == after || before == 3);
        EXPECT_NE(after, 3u);
    }
    for (auto &member : rest)
        member.reachable = false;
    EXPECT_EQ(program_home_choose(rest.data(), 8, 8, 1), 8u);
}

TEST(ProgramHome, ASmallLimitHasOneHomeAndALargeOneAllMembers) {
    quota_limit_t small = {1, 10, 10};
    quota_limit_t large = {1, 1000, 1000};
    EXPECT_EQ(program_home_count(&small, 8), 1u);
    EXPECT_EQ(program_home_count(&large, 8), 8u);
}

constexpr unsigned gateways = 6;
constexpr uint64_t call_ms = 150;
constexpr uint64_t pause_ms = 100;
constexpr uint64_t token_timeout_ms = 100;
constexpr uint64_t begun_token_timeout_ms = 1000;

struct Answer {
    bool granted;
    uint64_t wait_ms;
};

/** Members of the store group and the gateways' view of them. */
class Fleet {
  public:
    Fleet(unsigned count, bool by_program, unsigned seed)
        : admit_programs(by_program), random(seed) {
        members.resize(count);
        for (auto &member : members) {
            member = std::make_unique<Member>();
            quota_table_init(&member->quotas, &bounds);
            admission_table_init(&member->admissions);
        }
    }
    ~Fleet() {
        for (auto &member : members) {
            quota_table_clear(&member->quotas);
            admission_table_clear(&member->admissions);
        }
    }
    void set_up(unsigned member, bool up) {
        members[member]->up = up;
        quota_table_restart(&members[member]->quotas);
        admission_table_restart(&members[member]->admissions);
    }
    Answer ask(const std::string &tenant, const quota_limit_t &limit, uint64_t program, bool begun,
               uint64_t now) {
        unsigned count = (unsigned)members.size();
        std::vector<uint64_t> &empty = empty_until[{tenant, random() % gateways}];
        empty.resize(count);
        std::vector<quota_member_t> known(count);
        std::hash<std::string> hash;
        for (unsigned i = 0; i < count; i++)
            known[i] = {members[i]->up, false, hash(tenant + std::to_string(i)), empty[i]};
        unsigned shares = quota_split_count(&bounds, &limit, count);
        uint64_t timeout_ms = token_timeout_ms;
        if (admit_programs) {
            unsigned homes = program_home_count(&limit, shares);
            unsigned home = program_home_choose(known.data(), count, homes, program);
            program_call_t call = {program, 1, begun, false};
            program_share_t share;
            program_admission_t admission =
                admission_table_admit(&members[home]->admissions, &members[home]->quotas,
                                      tenant.c_str(), &limit, count, &call, now, &share);
            if (!admission.admitted)
                return {false, spread(admission.wait_ms)};
            timeout_ms = begun_token_timeout_ms;
            if (take(home, tenant, limit, 0, now, &empty[home]).granted)
                return {true, 0};
            known[home].asked = true;
            known[home].empty_until = empty[home];
        }
        for (;;) {
            quota_decision_t decision = quota_choose(known.data(), count, shares, now, random());
            if (decision.step != QUOTA_ASK)
                return wait(decision, tenant, limit, timeout_ms, now);
            if (take(decision.member, tenant, limit, 0, now, &empty[decision.member]).granted)
                return {true, 0};
            known[decision.member].asked = true;
            known[decision.member].empty_until = empty[decision.member];
        }
    }

  private:
    struct Member {
        quota_table_t quotas;
        admission_table_t admissions;
        bool up = true;
    };
    uint64_t spread(uint64_t wait_ms) {
        return wait_ms + random() % std::clamp<uint64_t>(wait_ms, 100, 1000);
    }
    quota_answer_t take(unsigned member, const std::string &tenant, const quota_limit_t &limit,
                        uint32_t timeout_ms, uint64_t now, uint64_t *empty) {
        quota_answer_t answer = quota_table_take(&members[member]->quotas, tenant.c_str(), &limit,
                                                 (unsigned)members.size(), timeout_ms, now);
        if (!answer.granted)
            *empty = now + answer.wait_ms;
        return answer;
    }
    Answer wait(const quota_decision_t &decision, const std::string &tenant,
                const quota_limit_t &limit, uint64_t timeout_ms, uint64_t now) {
        uint64_t ignored;
        if (decision.step != QUOTA_REFUSE || decision.wait_ms > timeout_ms)
            return {false, spread(decision.wait_ms)};
        quota_answer_t answer =
            take(decision.member, tenant, limit, (uint32_t)timeout_ms, now, &ignored);
        return {answer.granted, answer.granted ? answer.wait_ms : spread(answer.wait_ms)};
    }
    bool admit_programs;
    std::mt19937 random;
    std::vector<std::unique_ptr<Member>> members;
    std::map<std::pair<std::string, uint64_t>, std::vector<uint64_t>> empty_until;
};

struct Tenant {
    std::string name;
    quota_limit_t limit;
    double baseline;    /**< Demand as a multiple of the limit. */
    double burst;       /**< The same from 10 s to 17 s. */
    bool loops = false; /**< A tenth of its programs is endless. */
};

struct Outcome {
    int begun = 0;
    int on_time = 0;
    int finished = 0;
    int refused_first = 0; /**< Never admitted. */
    int interrupted = 0;   /**< Given up after some of their calls have run. */
    int wasted = 0;        /**< Calls that ran for programs that were given up. */
    int calls = 0;
    std::vector<uint64_t> used;
    int in_span(uint64_t from, uint64_t until) const {
        return (int)std::count_if(used.begin(), used.end(),
                                  [&](uint64_t t) { return t >= from && t < until; });
    }
    int fullest() const {
        std::vector<uint64_t> sorted = used;
        std::sort(sorted.begin(), sorted.end());
        size_t first = 0;
        size_t most = 0;
        for (size_t i = 0; i < sorted.size(); i++) {
            while (sorted[i] - sorted[first] >= bounds.window_ms)
                first++;
            most = std::max(most, i - first + 1);
        }
        return (int)most;
    }
};

/** Simulates programs of about 4 and 9 turns, each turn followed by up to two tool calls. */
class Workload {
  public:
    Workload(Fleet &fleet, std::vector<Tenant> tenants, unsigned seed)
        : fleet(fleet), tenants(std::move(tenants)), random(seed) {
        outcomes.resize(this->tenants.size());
    }
    void at(uint64_t time, std::function<void()> what) {
        events.emplace(time, std::move(what));
    }
    void simulate(uint64_t until) {
        for (size_t i = 0; i < tenants.size(); i++)
            arrive(i, until);
        while (!events.empty() && events.begin()->first < until + 60000) {
            now = events.begin()->first;
            auto what = std::move(events.begin()->second);
            events.erase(events.begin());
            what();
        }
    }
    /** A random part of the active programs stops. */
    void stop_programs(unsigned one_in) {
        for (auto &program : live)
            if (auto alive = program.lock(); alive && random() % one_in == 0)
                alive->killed = true;
    }
    std::vector<Outcome> outcomes;

  private:
    struct Program {
        size_t tenant;
        uint64_t id;
        unsigned calls;
        unsigned made = 0;
        unsigned tries = 0;
        uint64_t begun_at;
        bool killed = false;
    };
    static constexpr double mean_calls = 13;
    void arrive(size_t i, uint64_t until) {
        const Tenant &tenant = tenants[i];
        double times = now >= 10000 && now < 17000 ? tenant.burst : tenant.baseline;
        double per_ms = tenant.limit.rate / 1000.0 * times / mean_calls;
        uint64_t next = now + (uint64_t)std::exponential_distribution<>(per_ms)(random);
        if (now > 0)
            begin(i);
        if (next < until)
            at(std::max(next, now + 1), [this, i, until] { arrive(i, until); });
    }
    void begin(size_t i) {
        unsigned turns = 1 + std::poisson_distribution<>(random() % 2 ? 3 : 8)(random);
        unsigned calls = turns;
        for (unsigned k = 0; k < turns; k++)
            calls += random() % 3;
        if (tenants[i].loops && random() % 10 == 0)
            calls = 100000;
        auto program = std::make_shared<Program>(Program{i, ++ids, calls, 0, 0, now, false});
        live.push_back(program);
        outcomes[i].begun++;
        call(program);
    }
    void call(const std::shared_ptr<Program> &program) {
        if (program->killed || now > 60000)
            return;
        const Tenant &tenant = tenants[program->tenant];
        Answer answer = fleet.ask(tenant.name, tenant.limit, program->id, program->made > 0, now);
        Outcome &outcome = outcomes[program->tenant];
        if (!answer.granted) {
            refused(program, answer.wait_ms);
            return;
        }
        outcome.used.push_back(now + answer.wait_ms);
        program->made++;
        program->tries = 0;
        uint64_t next = now + answer.wait_ms + call_ms;
        at(next, [this, program] { answered(program); });
    }
    void answered(const std::shared_ptr<Program> &program) {
        Outcome &outcome = outcomes[program->tenant];
        outcome.calls++;
        if (program->made < program->calls) {
            at(now + pause_ms, [this, program] { call(program); });
            return;
        }
        uint64_t idle = program->calls * call_ms + (program->calls - 1) * pause_ms;
        outcome.finished++;
        outcome.on_time += now - program->begun_at <= idle * 3 / 2 + 250;
    }
    /** Each call has three attempts. */
    void refused(const std::shared_ptr<Program> &program, uint64_t wait_ms) {
        Outcome &outcome = outcomes[program->tenant];
        if (++program->tries < 3) {
            at(now + std::min<uint64_t>(wait_ms, 1300), [this, program] { call(program); });
            return;
        }
        outcome.refused_first += program->made == 0;
        outcome.interrupted += program->made > 0;
        outcome.wasted += (int)program->made;
    }
    Fleet &fleet;
    std::vector<Tenant> tenants;
    std::mt19937 random;
    std::multimap<uint64_t, std::function<void()>> events;
    std::vector<std::weak_ptr<Program>> live;
    uint64_t now = 0;
    uint64_t ids = 0;
};

void report(const char *what, bool by_program, const Outcome &outcome, const Tenant &tenant) {
    printf(
        "%-28s %-7s begun %d in aim %d finished %d refused first %d cut %d wasted %d of %d calls; "
        "share of the limit used 11..17 s %.2f; fullest window %.2f\n",
        what, by_program ? "whole" : "by call", outcome.begun, outcome.on_time, outcome.finished,
        outcome.refused_first, outcome.interrupted, outcome.wasted, outcome.calls,
        outcome.in_span(11000, 17000) / (6.0 * tenant.limit.rate),
        outcome.fullest() / allowed(tenant.limit));
}

using FaultInjection = std::function<void(Workload &, Fleet &)>;

std::vector<Outcome> simulate(const char *what, bool by_program, unsigned members,
                              const std::vector<Tenant> &tenants,
                              const FaultInjection &inject_faults = nullptr, unsigned seed = 1) {
    Fleet fleet(members, by_program, seed);
    Workload burst(fleet, tenants, seed);
    if (inject_faults)
        inject_faults(burst, fleet);
    burst.simulate(27000);
    for (size_t i = 0; i < tenants.size(); i++) {
        report(what, by_program, burst.outcomes[i], tenants[i]);
        EXPECT_LE(burst.outcomes[i].fullest(), allowed(tenants[i].limit)) << what;
    }
    return burst.outcomes;
}

const Tenant hot = {"hot", {1, 400, 400}, 0.6, 6};

/** Sums over three seeds, with admission per call and per program. */
struct Pair {
    Outcome by_call;
    Outcome by_program;
    double used = 0; /**< Minimum share of the limit used from 11 s to 17 s, per program. */
    double used_by_call = 0;
};

void add(Outcome &sum, const Outcome &outcome) {
    sum.begun += outcome.begun;
    sum.on_time += outcome.on_time;
    sum.finished += outcome.finished;
    sum.refused_first += outcome.refused_first;
    sum.interrupted += outcome.interrupted;
    sum.wasted += outcome.wasted;
    sum.calls += outcome.calls;
}

double share_used(const Outcome &outcome, const Tenant &tenant) {
    return outcome.in_span(11000, 17000) / (6.0 * tenant.limit.rate);
}

std::vector<Pair> simulate_both(const char *what, unsigned members,
                                const std::vector<Tenant> &tenants,
                                const FaultInjection &inject_faults = nullptr) {
    std::vector<Pair> pairs(tenants.size());
    for (unsigned seed = 1; seed <= 3; seed++) {
        std::vector<Outcome> by_call = simulate(what, false, members, tenants, inject_faults, seed);
        std::vector<Outcome> by_program =
            simulate(what, true, members, tenants, inject_faults, seed);
        for (size_t i = 0; i < tenants.size(); i++) {
            add(pairs[i].by_call, by_call[i]);
            add(pairs[i].by_program, by_program[i]);
            double used = share_used(by_program[i], tenants[i]);
            pairs[i].used = seed == 1 ? used : std::min(pairs[i].used, used);
            pairs[i].used_by_call += share_used(by_call[i], tenants[i]) / 3;
        }
    }
    return pairs;
}

/** Expects that admitted programs complete, and no fewer than with admission per call. */
void expect_complete_programs(const Pair &pair, double more) {
    EXPECT_GE(pair.by_program.on_time, pair.by_call.on_time * more);
    EXPECT_LE(pair.by_program.interrupted, pair.by_program.begun / 100)
        << "admitted programs must complete";
    EXPECT_GT(pair.by_call.interrupted, pair.by_call.begun / 5)
        << "the load must interrupt programs";
    EXPECT_LE(pair.by_program.wasted, pair.by_program.calls / 50);
}

TEST(Workload, AtSixTimesTheLimitAdmittedProgramsComplete) {
    for (unsigned members : {5u, 8u}) {
        Pair pair = simulate_both("6 x", members, {hot})[0];
        expect_complete_programs(pair, 1.2);
        EXPECT_GE(pair.used, 0.98) << "the limit is used";
    }
}

TEST(Workload, ALargeTenantIsServedAlike) {
    Pair pair = simulate_both("6 x of 2000 a s", 8, {{"hot", {1, 2000, 2000}, 0.6, 6}})[0];
    expect_complete_programs(pair, 1.2);
    EXPECT_GE(pair.used, 0.98);
}

TEST(Workload, ASmallTenantsProgramsAreInterruptedLessOften) {
    Pair pair = simulate_both("6 x of 30 a s", 8, {{"hot", {1, 30, 30}, 0.6, 6}})[0];
    EXPECT_GE(pair.by_program.finished, pair.by_call.finished);
    EXPECT_LE(pair.by_program.interrupted, pair.by_call.interrupted / 10);
}

TEST(Workload, NoCallIsRefusedWithinTheLimit) {
    for (uint32_t rate : {3u, 8u, 30u, 100u, 400u}) {
        Pair pair = simulate_both("0.6 x", 8, {{"calm", {1, rate, rate}, 0.6, 0.6}})[0];
        EXPECT_EQ(pair.by_program.refused_first, 0) << rate;
        EXPECT_EQ(pair.by_program.interrupted, 0) << rate;
        EXPECT_GE(pair.by_program.on_time, pair.by_call.on_time) << rate;
    }
}

TEST(Workload, AMemberIsLostHalfway) {
    Pair pair = simulate_both("member lost", 8, {hot}, [](Workload &burst, Fleet &fleet) {
        burst.at(13000, [&fleet] { fleet.set_up(2, false); });
    })[0];
    expect_complete_programs(pair, 1);
    EXPECT_GE(pair.used, pair.used_by_call * 0.85);
}

TEST(Workload, AllMembersRestartAndForget) {
    Pair pair = simulate_both("members restart", 8, {hot}, [](Workload &burst, Fleet &fleet) {
        for (unsigned i = 0; i < 8; i++) {
            burst.at(13000 + i * 300, [&fleet, i] { fleet.set_up(i, false); });
            burst.at(13600 + i * 300, [&fleet, i] { fleet.set_up(i, true); });
        }
    })[0];
    EXPECT_GE(pair.by_program.on_time, pair.by_call.on_time);
    EXPECT_LE(pair.by_program.interrupted, pair.by_call.interrupted / 4);
}

TEST(Workload, ProgramsOfAKilledGatewayReleaseTheirCapacity) {
    Pair pair = simulate_both("gateway killed", 8, {hot}, [](Workload &burst, Fleet &fleet) {
        (void)fleet;
        burst.at(13000, [&burst] { burst.stop_programs(3); });
    })[0];
    expect_complete_programs(pair, 1.1);
    EXPECT_GE(pair.used, 0.95);
}

TEST(Workload, TenantsOverTheirLimitsDoNotAffectEachOther) {
    const Tenant other = {"other", {1, 200, 200}, 0.6, 3};
    std::vector<Pair> both = simulate_both("two", 8, {hot, other});
    Pair alone = simulate_both("one", 8, {hot})[0];
    expect_complete_programs(both[0], 1.2);
    EXPECT_LE(both[1].by_program.interrupted, both[1].by_program.begun / 100);
    EXPECT_GE(both[1].by_program.on_time, both[1].by_call.on_time);
    EXPECT_GE(both[0].by_program.on_time, alone.by_program.on_time * 0.95);
}

TEST(Workload, EndlessProgramsGetUnusedCapacity) {
    Tenant looping = {"hot", {1, 400, 400}, 0.6, 6, true};
    Pair pair = simulate_both("loops", 8, {looping})[0];
    EXPECT_GE(pair.by_program.on_time, pair.by_call.on_time);
    EXPECT_LE(pair.by_program.interrupted, pair.by_program.begun / 100);
}

} // namespace
