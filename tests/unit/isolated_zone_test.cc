// Isolation of a zone in virtual time, with real storage nodes and store clients: eight storage
// nodes and eight gateways in four zones, a group of five. Guards against a reserve in the isolated
// zone that stays undecided for longer than 600 ms, or that waits for a neighbour in the same zone.
#include <gtest/gtest.h>

#include <cstring>
#include <vector>

extern "C" {
#include "storesim/world.h"
}

namespace {

constexpr uint64_t group_formed_ms = 8000;
constexpr uint64_t detection_ms = 600;
constexpr uint64_t budget = 1000;
constexpr uint64_t write_timeout_ms = 4000;

struct Verdict {
    bool decided = false;
    verdict_t verdict = VERDICT_YES;
    uint64_t at = 0;
};

void on_verdict(void *owner, verdict_t verdict, const GArray *turns) {
    (void)turns;
    *static_cast<Verdict *>(owner) = {true, verdict, virtual_now()};
}

void on_durable(void *owner, bool durable) {
    (void)owner;
    (void)durable;
}

const store_operation_handler_t handler = {on_verdict, on_durable};

class IsolatedZone : public testing::Test {
  protected:
    world_t *world = nullptr;

    void start(bool watches) {
        const world_shape_t shape = {8, 0, 8, 1000, BREAK_NOTHING};
        world = world_new(1, &shape);
        world->relays = true;
        if (watches)
            world_watch_zones(world);
        run(group_formed_ms);
    }
    static void run(uint64_t ms) {
        virtual_run(virtual_now() + ms);
    }
    world_gateway_t *gateway(guint index) const {
        return static_cast<world_gateway_t *>(g_ptr_array_index(world->gateways, index));
    }
    world_store_t *store(guint index) const {
        return static_cast<world_store_t *>(g_ptr_array_index(world->stores, index));
    }
    std::vector<virtual_process_t *> processes() const {
        std::vector<virtual_process_t *> all;
        for (guint i = 0; i < world->gateways->len; i++)
            all.push_back(gateway(i)->process);
        for (guint i = 0; i < world->stores->len; i++)
            all.push_back(store(i)->process);
        return all;
    }
    // Isolates zone 0 from all others, or reconnects it.
    void isolate_zone(bool isolated) const {
        for (auto *inside : processes())
            for (auto *outside : processes())
                if (strcmp(inside->zone, "zone-0") == 0 && strcmp(outside->zone, "zone-0") != 0)
                    virtual_network_cut(inside, outside, isolated);
    }
    store_operation_t *reserve(guint index, const char *program, Verdict *verdict) const {
        const store_reserve_t reserve = {program, "call", 10, budget, false, write_timeout_ms, 0};
        return store_client_reserve(gateway(index)->client, &reserve, &handler, verdict);
    }
};

TEST_F(IsolatedZone, APendingReserveEndsEarlyAndTheZoneStaysIsolatedUntilAQuorumResponds) {
    start(true);
    ASSERT_TRUE(store_client_connected(gateway(0)->client));
    isolate_zone(true);
    uint64_t started_at = virtual_now();
    Verdict verdict;
    reserve(0, "p1", &verdict);
    run(detection_ms);
    ASSERT_TRUE(verdict.decided);
    EXPECT_EQ(verdict.verdict, VERDICT_UNSURE);
    EXPECT_LE(verdict.at - started_at, detection_ms);
    store_client_settle(gateway(0)->client, "p1", "call", 10, 0);
    EXPECT_TRUE(store_client_zone_isolated(gateway(0)->client));
    EXPECT_FALSE(store_client_zone_isolated(gateway(1)->client)) << "another zone";
    EXPECT_FALSE(store_client_zone_isolated(gateway(4)->client)) << "it had no pending request";
    store_client_suspect_isolation(gateway(4)->client);
    run(detection_ms);
    EXPECT_TRUE(store_client_zone_isolated(gateway(4)->client)) << "after a neighbour's report";
    for (unsigned i = 0; i < 120; i++) { // Links through neighbours reopen repeatedly.
        run(50);
        ASSERT_TRUE(store_client_zone_isolated(gateway(0)->client)) << i;
        ASSERT_FALSE(store_client_connected(gateway(0)->client)) << i;
        ASSERT_FALSE(store_client_connected_directly(gateway(4)->client)) << i;
    }
    isolate_zone(false);
    run(3000);
    EXPECT_FALSE(store_client_zone_isolated(gateway(0)->client));
    EXPECT_TRUE(store_client_connected(gateway(0)->client));
    // The reservation made during isolation was settled with 0: the whole budget is available.
    Verdict whole;
    const store_reserve_t reserve = {"p1", "whole", budget, budget, false, write_timeout_ms, 0};
    store_client_reserve(gateway(0)->client, &reserve, &handler, &whole);
    run(1000);
    ASSERT_TRUE(whole.decided);
    EXPECT_EQ(whole.verdict, VERDICT_YES);
}

TEST_F(IsolatedZone, IsNotDetectedUnlessEnabled) {
    start(false);
    isolate_zone(true);
    Verdict verdict;
    reserve(0, "p1", &verdict);
    store_client_suspect_isolation(gateway(0)->client);
    run(detection_ms);
    EXPECT_FALSE(verdict.decided);
    EXPECT_FALSE(store_client_zone_isolated(gateway(0)->client));
    run(1000);
    EXPECT_TRUE(verdict.decided) << "timed out after 1,500 ms";
}

TEST_F(IsolatedZone, TheLossOfAllStorageNodesIsNoIsolation) {
    start(true);
    for (guint i = 0; i < world->stores->len; i++)
        world_end_store(store(i), END_POWER_LOST);
    std::vector<Verdict> verdicts(world->gateways->len);
    for (guint i = 0; i < world->gateways->len; i++)
        reserve(i, "p1", &verdicts[i]);
    for (unsigned i = 0; i < 40; i++) {
        run(50);
        for (guint j = 0; j < world->gateways->len; j++)
            ASSERT_FALSE(store_client_zone_isolated(gateway(j)->client)) << j;
    }
}

TEST_F(IsolatedZone, TheLossOfOneStorageNodeIsNoIsolation) {
    start(true);
    for (guint lost = 0; lost < 2; lost++) {
        world_end_store(store(lost), END_POWER_LOST);
        std::vector<Verdict> verdicts(world->gateways->len);
        for (guint i = 0; i < world->gateways->len; i++)
            reserve(i, lost == 0 ? "p1" : "p2", &verdicts[i]);
        run(1000);
        for (guint i = 0; i < world->gateways->len; i++) {
            EXPECT_FALSE(store_client_zone_isolated(gateway(i)->client)) << i;
            EXPECT_EQ(verdicts[i].verdict, VERDICT_YES) << i;
        }
        world_start_store(store(lost), false);
        run(10000);
    }
}

TEST_F(IsolatedZone, AGatewayIsolatedAloneUsesARelay) {
    start(true);
    for (auto *outside : processes())
        if (strcmp(outside->zone, "zone-0") != 0 && strncmp(outside->name, "store", 5) == 0)
            virtual_network_cut(gateway(0)->process, outside, true);
    Verdict verdict;
    reserve(0, "p1", &verdict);
    run(3000);
    EXPECT_TRUE(store_client_connected(gateway(0)->client));
    EXPECT_FALSE(store_client_zone_isolated(gateway(0)->client));
}

} // namespace
