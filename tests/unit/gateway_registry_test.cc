// Lists of peers that storage nodes send to gateways.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "store/gateway_registry.h"
}

namespace {

/** The last list sent to a gateway, and the number of lists. */
struct SentList {
    std::set<std::string> known;
    std::vector<std::string> sources;
    std::set<std::string> remote;
    unsigned count = 0;
};

class GatewayRegistry : public testing::Test {
  protected:
    GatewayRegistry() {
        gateway_registry_init(&directory);
    }
    ~GatewayRegistry() override {
        gateway_registry_clear(&directory);
    }
    static std::string address(unsigned number) {
        return "10.0." + std::to_string(number / 200) + "." + std::to_string(number % 200) + ":1";
    }
    void add(unsigned count, const std::vector<std::string> &zones) {
        for (unsigned i = 0; i < count; i++) {
            serials.push_back(std::make_unique<uint64_t>(serials.size() + 1));
            gateway_registry_add(&directory, serials.back().get(),
                                 address(static_cast<unsigned>(*serials.back())).c_str(),
                                 zones[i % zones.size()].c_str());
        }
    }
    /** Sends all lists that have changed; returns the total number of addresses in them. */
    size_t notify() {
        addresses_sent = 0;
        gateway_registry_notify(&directory, on_list, this);
        return addresses_sent;
    }
    static void on_list(void *user, const uint64_t *serial, const gateway_peer_list_t *list) {
        auto *test = static_cast<GatewayRegistry *>(user);
        SentList &sent = test->sent_lists[*serial];
        sent.count++;
        sent.known.clear();
        sent.sources.clear();
        sent.remote.clear();
        for (guint i = 0; i < list->known->len; i++)
            sent.known.insert(static_cast<char *>(g_ptr_array_index(list->known, i)));
        for (guint i = 0; i < list->sources->len; i++)
            sent.sources.emplace_back(static_cast<char *>(g_ptr_array_index(list->sources, i)));
        for (guint i = 0; i < list->remote->len; i++)
            sent.remote.insert(static_cast<char *>(g_ptr_array_index(list->remote, i)));
        test->addresses_sent += list->known->len + list->sources->len;
    }
    gateway_registry_t directory;
    std::vector<std::unique_ptr<uint64_t>> serials;
    std::map<uint64_t, SentList> sent_lists;
    size_t addresses_sent = 0;
};

TEST_F(GatewayRegistry, FewGatewaysFormAFullMesh) {
    add(GATEWAYS_FULL_MESH_MAX, {"a", "b"});
    notify();
    for (const auto &[serial, list] : sent_lists) {
        EXPECT_EQ(list.known.size(), size_t{GATEWAYS_FULL_MESH_MAX});
        EXPECT_TRUE(list.sources.empty());
    }
    EXPECT_EQ(sent_lists.size(), size_t{GATEWAYS_FULL_MESH_MAX});
}

TEST_F(GatewayRegistry, GatewaysOfALargeFleetKnowTheirZone) {
    add(60, {"a", "b", "c"});
    notify();
    for (const auto &[serial, list] : sent_lists) {
        EXPECT_EQ(list.known.size(), 20U);
        EXPECT_TRUE(list.known.count(address(static_cast<unsigned>(serial))) > 0);
        EXPECT_TRUE(list.sources.empty());
    }
}

// Guards against placement that ignores calls of other zones on the engines of a zone.
TEST_F(GatewayRegistry, GatewaysOfALargeFleetKnowRemoteZones) {
    add(60, {"a", "b", "c"});
    notify();
    for (const auto &[serial, list] : sent_lists) {
        EXPECT_EQ(list.remote.size(), 40U);
        EXPECT_EQ(list.remote.count("@a " + address(1)), serial % 3 == 1 ? 0U : 1U);
    }
    unsigned count = sent_lists[1].count;
    add(1, {"c"});
    notify();
    EXPECT_EQ(sent_lists[1].count, count + 1) << "a gateway was added in another zone";
    add(GATEWAYS_REMOTE_MAX, {"a", "b", "c"});
    notify();
    for (const auto &[serial, list] : sent_lists)
        EXPECT_TRUE(list.remote.empty());
}

TEST_F(GatewayRegistry, ZonesWithSeveralCellsAreNotListedRemotely) {
    add(GATEWAYS_CELL_MEAN_MAX + 10, {"a"});
    add(20, {"b", "c"});
    notify();
    for (const auto &[serial, list] : sent_lists)
        EXPECT_EQ(list.remote.size(), serial <= GATEWAYS_CELL_MEAN_MAX + 10 ? 0U : 10U)
            << "gateways of different zones must know each other";
}

// Guards against lists that grow with the fleet: load reports would become so infrequent that peers
// consider the watch state of a gateway stale.
TEST_F(GatewayRegistry, ListsDoNotGrowWithTheFleet) {
    for (unsigned gateways : {30U, 100U, 300U, 865U, 3300U, 6600U}) {
        gateway_registry_clear(&directory);
        gateway_registry_init(&directory);
        sent_lists.clear();
        serials.clear();
        add(gateways, {"a", "b", "c", "d", "e", "f"});
        notify();
        ASSERT_EQ(sent_lists.size(), gateways);
        for (const auto &[serial, list] : sent_lists) {
            EXPECT_LE(list.known.size(), size_t{2 * GATEWAYS_CELL_MEAN_MAX}) << gateways;
            EXPECT_TRUE(list.known.count(address(static_cast<unsigned>(serial))) > 0);
            EXPECT_LE(list.sources.size(), size_t{GATEWAYS_SOURCES_MAX});
        }
    }
}

TEST_F(GatewayRegistry, CellsShareOneListAndTheRootHasNoSources) {
    add(400, {"a"});
    notify();
    unsigned roots = 0;
    for (const auto &[serial, list] : sent_lists) {
        for (const std::string &other : list.known)
            EXPECT_TRUE(sent_lists.at(serial).known == list.known) << other;
        roots += list.sources.empty();
        for (const std::string &source : list.sources)
            EXPECT_EQ(list.known.count(source), 0U) << "sources belong to another cell";
    }
    EXPECT_GT(roots, 10U);
    EXPECT_LT(roots, 2U * GATEWAYS_CELL_MEAN_MAX);
}

TEST_F(GatewayRegistry, SourcesAreTheFirstOfTheRootCellByAddress) {
    add(400, {"a"});
    notify();
    std::vector<std::string> roots;
    for (unsigned number = 1; number <= 400; number++)
        if (sent_lists.at(number).sources.empty())
            roots.push_back(address(number));
    roots.resize(GATEWAYS_SOURCES_MAX);
    for (const auto &[serial, list] : sent_lists) {
        if (!list.sources.empty()) {
            EXPECT_EQ(list.sources, roots);
        }
    }
}

// A removed gateway changes the lists of its own cell only, unless it is a source.
TEST_F(GatewayRegistry, ChangesAreSentToTheCellOnly) {
    add(3300, {"a", "b", "c", "d", "e", "f"});
    notify();
    EXPECT_EQ(notify(), 0U) << "nothing has changed";
    size_t max_addresses = 0;
    for (unsigned i = 2000; i < 2030; i++) {
        ASSERT_TRUE(gateway_registry_remove(&directory, serials[i].get()));
        max_addresses = std::max(max_addresses, notify());
    }
    EXPECT_LE(max_addresses, size_t{4 * GATEWAYS_CELL_MEAN_MAX * GATEWAYS_CELL_MEAN_MAX});
}

TEST_F(GatewayRegistry, EmptyCellIsNotTheRoot) {
    add(100, {"a"});
    add(0, {"a"});
    notify();
    std::vector<uint64_t> roots;
    for (const auto &[serial, list] : sent_lists)
        if (list.sources.empty())
            roots.push_back(serial);
    ASSERT_LT(roots.size(), 50U) << "two cells must remain without them";
    for (uint64_t serial : roots)
        gateway_registry_remove(&directory, serials[serial - 1].get());
    add(static_cast<unsigned>(roots.size()), {"b"});
    notify();
    for (const auto &[serial, list] : sent_lists)
        for (const std::string &source : list.sources)
            EXPECT_TRUE(gateway_registry_contains(&directory, source.c_str()));
}

TEST_F(GatewayRegistry, RemovedGatewayIsNotListed) {
    add(3, {"a"});
    EXPECT_TRUE(gateway_registry_remove(&directory, serials[0].get()));
    EXPECT_FALSE(gateway_registry_remove(&directory, serials[0].get()));
    notify();
    EXPECT_EQ(sent_lists.at(2).known.size(), 2U);
    EXPECT_EQ(gateway_registry_count(&directory), 2U);
}

TEST_F(GatewayRegistry, GatewayStaysConnectedUntilItsLastConnectionEnds) {
    uint64_t first = 1;
    uint64_t second = 2;
    gateway_registry_add(&directory, &first, "10.0.0.9:1", "a");
    gateway_registry_add(&directory, &second, "10.0.0.9:1", "a");
    gateway_registry_remove(&directory, &first);
    EXPECT_TRUE(gateway_registry_contains(&directory, "10.0.0.9:1"));
    gateway_registry_remove(&directory, &second);
    EXPECT_FALSE(gateway_registry_contains(&directory, "10.0.0.9:1"));
}

} // namespace
