// State of engines as observed by a gateway, and the engines that a placement by cost evaluates.
#include <gtest/gtest.h>

#include <ctime>
#include <string>

extern "C" {
#include "gateway/engine_load.h"
}

namespace {

constexpr unsigned SLOTS = 6;

class ObservedEngines : public testing::Test {
  protected:
    ObservedEngines() {
        uv_loop_init(&loop);
        backends_init(&backends, &loop, "here", "10.0.0.1:77");
    }
    ~ObservedEngines() override {
        backends_clear(&backends);
        uv_loop_close(&loop);
    }
    void add(const std::string &instance, const char *zone, uint64_t born) {
        auto *record = g_new0(backend_record_t, 1);
        record->instance = g_strdup(instance.c_str());
        record->service = g_strdup("models");
        record->zone = g_strdup(zone);
        record->slots = SLOTS;
        record->born = born;
        backends_update(&backends, record);
    }
    backend_t *find(const char *instance) {
        return static_cast<backend_t *>(g_hash_table_lookup(backends.by_instance, instance));
    }
    /** Places a turn that ends at once. */
    backend_t *choose(uint64_t place = 0, bool begun = false) {
        backend_choice_t choice = {"models", nullptr, 0, VERSION_ANY, false};
        placement_request_t request = {};
        request.place = place;
        request.begun = begun;
        request.turn.prompt_tokens = 2000;
        request.turn.new_tokens = 500;
        backend_t *backend = backends_place_engine(&backends, &choice, &request, &placement);
        if (backend != nullptr)
            backend_release(backend);
        return backend;
    }
    const engine_baseline_t *baseline() {
        auto *members = g_hash_table_lookup(backends.by_service, "models");
        return &static_cast<service_members_t *>(members)->baseline;
    }
    uv_loop_t loop;
    backends_t backends;
    placement_t placement;
};

TEST_F(ObservedEngines, RequiresStartTimesOfAllBackEnds) {
    EXPECT_FALSE(backends_report_start_times(&backends, "models"));
    add("i-1", "here", 5);
    EXPECT_TRUE(backends_report_start_times(&backends, "models"));
}

TEST_F(ObservedEngines, OneBackEndWithoutStartTimeDisablesPlacementByCost) {
    add("i-1", "here", 5);
    add("i-2", "there", 0);
    EXPECT_FALSE(backends_report_start_times(&backends, "models"));
}

TEST_F(ObservedEngines, StartTimesAreTrackedWithTheDirectory) {
    add("i-1", "here", 5);
    EXPECT_TRUE(backends_report_start_times(&backends, "models"));
    add("i-2", "there", 0);
    EXPECT_FALSE(backends_report_start_times(&backends, "models"));
    add("i-2", "there", 6);
    EXPECT_TRUE(backends_report_start_times(&backends, "models"));
    add("i-3", "here", 0);
    backends_remove(&backends, "i-1");
    backends_remove(&backends, "i-2");
    EXPECT_FALSE(backends_report_start_times(&backends, "models"));
    backends_remove(&backends, "i-3");
    EXPECT_FALSE(backends_report_start_times(&backends, "models")) << "no back ends";
}

TEST_F(ObservedEngines, OtherZonesAreUsedOnlyWhenTheLocalOneIsFull) {
    for (unsigned i = 0; i < 9; i++)
        add("near-" + std::to_string(i), "here", 5);
    for (unsigned i = 0; i < 27; i++)
        add("far-" + std::to_string(i), "there", 5);
    for (unsigned i = 0; i < 9; i++)
        find(("near-" + std::to_string(i)).c_str())->peer_calls = SLOTS - 1;
    for (unsigned i = 0; i < 500; i++)
        EXPECT_TRUE(choose()->local);
    for (unsigned i = 0; i < 9; i++)
        find(("near-" + std::to_string(i)).c_str())->peer_calls = 2 * SLOTS;
    for (unsigned i = 0; i < 500; i++)
        EXPECT_FALSE(choose()->local);
}

TEST_F(ObservedEngines, AnEngineThatRefusedACallGetsNoNewPrograms) {
    add("i-1", "here", 5);
    add("i-2", "here", 5);
    backend_t *full = find("i-1");
    full->peer_calls = 2 * SLOTS;
    backend_acquire(full);
    engine_load_record_refused(full, 0);
    backend_release(full);
    for (unsigned i = 0; i < 100; i++) {
        EXPECT_EQ(choose(), find("i-2"));
        EXPECT_EQ(choose(full->id_hash, true), find("i-2"))
            << "its programs move to another engine";
    }
    EXPECT_EQ(engine_load_state(full, baseline(), 0).queue, SLOTS);
    find("i-2")->peer_calls = 2 * SLOTS;
    EXPECT_EQ(choose(), nullptr) << "the queue length observed at one engine applies to the others";
    EXPECT_EQ(placement.outcome, PLACEMENT_FULL);
    EXPECT_GT(placement.free_ms, 0);
    EXPECT_NE(choose(full->id_hash, true), nullptr);
    add("i-1", "here", 6);
    full->peer_calls = 2;
    EXPECT_FALSE(engine_load_state(full, baseline(), 0).refusing) << "it has restarted";
}

TEST_F(ObservedEngines, ObservationsSurviveARecordWithTheShortStartTime) {
    add("i-1", "here", 1764700000000);
    backend_t *full = find("i-1");
    full->peer_calls = 2 * SLOTS;
    backend_acquire(full);
    engine_load_record_refused(full, 0);
    backend_release(full);
    ASSERT_TRUE(engine_load_state(full, baseline(), 0).refusing);
    add("i-1", "here", backend_record_life(full->record));
    EXPECT_TRUE(engine_load_state(full, baseline(), 0).refusing);
    EXPECT_GT(engine_limit_queue(&full->limit, backend_record_life(full->record), SLOTS), 0U);
}

TEST_F(ObservedEngines, TimesOfQueuedTurnsAreIgnored) {
    add("i-1", "here", 5);
    for (unsigned i = 0; i < 100; i++)
        engine_load_record_turn(find("i-1"), SLOTS, 0, 5000);
    choose();
    EXPECT_LT(placement.cost_ms, 300);
    for (unsigned i = 0; i < 100; i++)
        engine_load_record_turn(find("i-1"), 0, 0, 5000);
    choose();
    EXPECT_GT(placement.cost_ms, 4000);
}

// 10,000 engines in six zones, the local ones overloaded. Prints the time of a placement and of a
// choice by count, for docs/CAPACITY.md.
TEST_F(ObservedEngines, PlacementAmongTenThousandEnginesSamplesOtherZones) {
    for (unsigned i = 0; i < 10000; i++)
        add("i-" + std::to_string(i), i % 6 == 0 ? "here" : "there", 5);
    for (unsigned i = 0; i < 10000; i += 6)
        find(("i-" + std::to_string(i)).c_str())->peer_calls = 3 * SLOTS;
    clock_t begin = clock();
    unsigned remote = 0;
    for (unsigned i = 0; i < 200; i++)
        remote += !choose()->local;
    clock_t by_cost = clock() - begin;
    begin = clock();
    for (unsigned i = 0; i < 200; i++) {
        backend_choice_t choice = {"models", nullptr, 0, VERSION_ANY, false};
        engine_request_t request = {0, i};
        backend_release(backends_choose_engine(&backends, &choice, &request));
    }
    clock_t by_count = clock() - begin;
    printf("%ld us of processor a choice, by count %ld us\n", by_cost / 200, by_count / 200);
    EXPECT_EQ(remote, 200U);
}

} // namespace
