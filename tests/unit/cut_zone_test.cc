// A cut zone among real storage nodes and gateways' store clients, in virtual time: eight storage
// nodes and eight gateways in four zones, a group of five.
//
// Load: a reserve on one gateway of the zone at the moment of the cut. What its caller gets: the
// verdict (unsure, its call is not sent) within 600 ms; before, after 1,500 ms, or a wait through a
// neighbour behind the same cut, whose links counted as connected.
#include <gtest/gtest.h>

#include <cstring>
#include <vector>

extern "C" {
#include "storesim/world.h"
}

namespace {

constexpr uint64_t founded_ms = 8000;
constexpr uint64_t known_ms = 600;
constexpr uint64_t budget = 1000;

struct Verdict {
    bool said = false;
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

class CutZone : public testing::Test {
  protected:
    world_t *world = nullptr;

    void start(bool watches) {
        const world_shape_t shape = {8, 0, 8, 1000, BREAK_NOTHING};
        world = world_new(1, &shape);
        world->relays = true;
        if (watches)
            world_watch_zones(world);
        run(founded_ms);
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
    // Cuts all of zone 0 from all others, or joins them again.
    void cut_zone(bool cut) const {
        for (auto *near : processes())
            for (auto *far : processes())
                if (strcmp(near->zone, "zone-0") == 0 && strcmp(far->zone, "zone-0") != 0)
                    virtual_network_cut(near, far, cut);
    }
    store_operation_t *reserve(guint index, const char *program, Verdict *verdict) const {
        return store_client_reserve(gateway(index)->client, program, "call", 10, budget, false,
                                    &handler, verdict);
    }
};

TEST_F(CutZone, AnUndecidedReserveEndsSoonAndTheZoneStaysCutUntilAQuorumIsHeard) {
    start(true);
    ASSERT_TRUE(store_client_connected(gateway(0)->client));
    cut_zone(true);
    uint64_t began = virtual_now();
    Verdict verdict;
    reserve(0, "p1", &verdict);
    run(known_ms);
    ASSERT_TRUE(verdict.said);
    EXPECT_EQ(verdict.verdict, VERDICT_UNSURE);
    EXPECT_LE(verdict.at - began, known_ms);
    store_client_settle(gateway(0)->client, "p1", "call", 10, 0);
    EXPECT_TRUE(store_client_zone_cut(gateway(0)->client));
    EXPECT_FALSE(store_client_zone_cut(gateway(1)->client)) << "another zone";
    EXPECT_FALSE(store_client_zone_cut(gateway(4)->client)) << "it had nothing to ask";
    store_client_doubt(gateway(4)->client);
    run(known_ms);
    EXPECT_TRUE(store_client_zone_cut(gateway(4)->client)) << "at a neighbour's word";
    for (unsigned i = 0; i < 120; i++) { // Links through neighbours open again and again.
        run(50);
        ASSERT_TRUE(store_client_zone_cut(gateway(0)->client)) << i;
        ASSERT_FALSE(store_client_connected(gateway(0)->client)) << i;
        ASSERT_FALSE(store_client_connected_directly(gateway(4)->client)) << i;
    }
    cut_zone(false);
    run(3000);
    EXPECT_FALSE(store_client_zone_cut(gateway(0)->client));
    EXPECT_TRUE(store_client_connected(gateway(0)->client));
    // What was reserved in the cut was settled with nothing: the whole budget is there.
    Verdict whole;
    store_client_reserve(gateway(0)->client, "p1", "whole", budget, budget, false, &handler,
                         &whole);
    run(1000);
    ASSERT_TRUE(whole.said);
    EXPECT_EQ(whole.verdict, VERDICT_YES);
}

TEST_F(CutZone, IsNotLookedForUnlessAskedFor) {
    start(false);
    cut_zone(true);
    Verdict verdict;
    reserve(0, "p1", &verdict);
    store_client_doubt(gateway(0)->client);
    run(known_ms);
    EXPECT_FALSE(verdict.said);
    EXPECT_FALSE(store_client_zone_cut(gateway(0)->client));
    run(1000);
    EXPECT_TRUE(verdict.said) << "given up after 1,500 ms";
}

TEST_F(CutZone, TheLossOfAllStorageNodesIsNone) {
    start(true);
    for (guint i = 0; i < world->stores->len; i++)
        world_end_store(store(i), END_POWER_LOST);
    std::vector<Verdict> verdicts(world->gateways->len);
    for (guint i = 0; i < world->gateways->len; i++)
        reserve(i, "p1", &verdicts[i]);
    for (unsigned i = 0; i < 40; i++) {
        run(50);
        for (guint j = 0; j < world->gateways->len; j++)
            ASSERT_FALSE(store_client_zone_cut(gateway(j)->client)) << j;
    }
}

TEST_F(CutZone, OneStorageNodeLostIsNone) {
    start(true);
    for (guint lost = 0; lost < 2; lost++) {
        world_end_store(store(lost), END_POWER_LOST);
        std::vector<Verdict> verdicts(world->gateways->len);
        for (guint i = 0; i < world->gateways->len; i++)
            reserve(i, lost == 0 ? "p1" : "p2", &verdicts[i]);
        run(1000);
        for (guint i = 0; i < world->gateways->len; i++) {
            EXPECT_FALSE(store_client_zone_cut(gateway(i)->client)) << i;
            EXPECT_EQ(verdicts[i].verdict, VERDICT_YES) << i;
        }
        world_start_store(store(lost), false);
        run(10000);
    }
}

TEST_F(CutZone, AGatewayCutOffAloneGoesOnThroughANeighbour) {
    start(true);
    for (auto *far : processes())
        if (strcmp(far->zone, "zone-0") != 0 && strncmp(far->name, "store", 5) == 0)
            virtual_network_cut(gateway(0)->process, far, true);
    Verdict verdict;
    reserve(0, "p1", &verdict);
    run(3000);
    EXPECT_TRUE(store_client_connected(gateway(0)->client));
    EXPECT_FALSE(store_client_zone_cut(gateway(0)->client));
}

} // namespace
