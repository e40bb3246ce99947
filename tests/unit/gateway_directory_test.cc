// Which gateways know one another.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "store/gateway_directory.h"
}

namespace {

/** What one gateway was told, and how often. */
struct Told {
    std::set<std::string> known;
    std::vector<std::string> sources;
    std::set<std::string> far;
    unsigned times = 0;
};

class GatewayDirectory : public testing::Test {
  protected:
    GatewayDirectory() {
        gateway_directory_init(&directory);
    }
    ~GatewayDirectory() override {
        gateway_directory_clear(&directory);
    }
    static std::string address(unsigned number) {
        return "10.0." + std::to_string(number / 200) + "." + std::to_string(number % 200) + ":1";
    }
    void add(unsigned count, const std::vector<std::string> &zones) {
        for (unsigned i = 0; i < count; i++) {
            serials.push_back(std::make_unique<uint64_t>(serials.size() + 1));
            gateway_directory_add(&directory, serials.back().get(),
                                  address(static_cast<unsigned>(*serials.back())).c_str(),
                                  zones[i % zones.size()].c_str());
        }
    }
    /** Tells all whose list has changed; returns how many addresses were told in all. */
    size_t tell() {
        addresses_told = 0;
        gateway_directory_tell(&directory, on_told, this);
        return addresses_told;
    }
    static void on_told(void *user, const uint64_t *serial, const gateway_list_t *list) {
        auto *test = static_cast<GatewayDirectory *>(user);
        Told &told = test->told[*serial];
        told.times++;
        told.known.clear();
        told.sources.clear();
        told.far.clear();
        for (guint i = 0; i < list->known->len; i++)
            told.known.insert(static_cast<char *>(g_ptr_array_index(list->known, i)));
        for (guint i = 0; i < list->sources->len; i++)
            told.sources.emplace_back(static_cast<char *>(g_ptr_array_index(list->sources, i)));
        for (guint i = 0; i < list->far->len; i++)
            told.far.insert(static_cast<char *>(g_ptr_array_index(list->far, i)));
        test->addresses_told += list->known->len + list->sources->len;
    }
    gateway_directory_t directory;
    std::vector<std::unique_ptr<uint64_t>> serials;
    std::map<uint64_t, Told> told;
    size_t addresses_told = 0;
};

TEST_F(GatewayDirectory, FewAllKnowOneAnother) {
    add(GATEWAYS_FEW, {"a", "b"});
    tell();
    for (const auto &[serial, what] : told) {
        EXPECT_EQ(what.known.size(), size_t{GATEWAYS_FEW});
        EXPECT_TRUE(what.sources.empty());
    }
    EXPECT_EQ(told.size(), size_t{GATEWAYS_FEW});
}

TEST_F(GatewayDirectory, OfManyEachKnowsThoseOfItsZone) {
    add(60, {"a", "b", "c"});
    tell();
    for (const auto &[serial, what] : told) {
        EXPECT_EQ(what.known.size(), 20U);
        EXPECT_TRUE(what.known.count(address(static_cast<unsigned>(serial))) > 0);
        EXPECT_TRUE(what.sources.empty());
    }
}

// Engines of a zone have calls of all zones, which no gateway knew.
TEST_F(GatewayDirectory, OfManyEachKnowsThoseOfOtherZonesAsSuch) {
    add(60, {"a", "b", "c"});
    tell();
    for (const auto &[serial, what] : told) {
        EXPECT_EQ(what.far.size(), 40U);
        EXPECT_EQ(what.far.count("@a " + address(1)), serial % 3 == 1 ? 0U : 1U);
    }
    unsigned times = told[1].times;
    add(1, {"c"});
    tell();
    EXPECT_EQ(told[1].times, times + 1) << "there is a new one in another zone";
    add(GATEWAYS_FAR_MOST, {"a", "b", "c"});
    tell();
    for (const auto &[serial, what] : told)
        EXPECT_TRUE(what.far.empty());
}

TEST_F(GatewayDirectory, GatewaysOfAZoneWithCellsAreNotKnownInOtherZones) {
    add(GATEWAYS_CELL_MOST + 10, {"a"});
    add(20, {"b", "c"});
    tell();
    for (const auto &[serial, what] : told)
        EXPECT_EQ(what.far.size(), serial <= GATEWAYS_CELL_MOST + 10 ? 0U : 10U)
            << "who would not hear of it can't take it";
}

// 145 gateways of a zone told one another so seldom that nobody trusted what another watched.
TEST_F(GatewayDirectory, WhatAGatewayKnowsDoesNotGrowWithTheFleet) {
    for (unsigned gateways : {30U, 100U, 300U, 865U, 3300U, 6600U}) {
        gateway_directory_clear(&directory);
        gateway_directory_init(&directory);
        told.clear();
        serials.clear();
        add(gateways, {"a", "b", "c", "d", "e", "f"});
        tell();
        ASSERT_EQ(told.size(), gateways);
        for (const auto &[serial, what] : told) {
            EXPECT_LE(what.known.size(), size_t{2 * GATEWAYS_CELL_MOST}) << gateways;
            EXPECT_TRUE(what.known.count(address(static_cast<unsigned>(serial))) > 0);
            EXPECT_LE(what.sources.size(), size_t{GATEWAYS_SOURCES});
        }
    }
}

TEST_F(GatewayDirectory, AllOfACellKnowTheSameAndTheRootHasNoSources) {
    add(400, {"a"});
    tell();
    unsigned roots = 0;
    for (const auto &[serial, what] : told) {
        for (const std::string &other : what.known)
            EXPECT_TRUE(told.at(serial).known == what.known) << other;
        roots += what.sources.empty();
        for (const std::string &source : what.sources)
            EXPECT_EQ(what.known.count(source), 0U) << "a source is of another cell";
    }
    EXPECT_GT(roots, 10U);
    EXPECT_LT(roots, 2U * GATEWAYS_CELL_MOST);
}

TEST_F(GatewayDirectory, TheSourcesAreTheFirstOfTheRootByAddress) {
    add(400, {"a"});
    tell();
    std::vector<std::string> roots;
    for (unsigned number = 1; number <= 400; number++)
        if (told.at(number).sources.empty())
            roots.push_back(address(number));
    roots.resize(GATEWAYS_SOURCES);
    for (const auto &[serial, what] : told) {
        if (!what.sources.empty()) {
            EXPECT_EQ(what.sources, roots);
        }
    }
}

// One more or less of a fleet of 3,300 concerns its cell only, unless it is a source.
TEST_F(GatewayDirectory, AChangeIsToldToItsCellOnly) {
    add(3300, {"a", "b", "c", "d", "e", "f"});
    tell();
    EXPECT_EQ(tell(), 0U) << "nothing has changed";
    size_t most = 0;
    for (unsigned i = 2000; i < 2030; i++) {
        ASSERT_TRUE(gateway_directory_remove(&directory, serials[i].get()));
        most = std::max(most, tell());
    }
    EXPECT_LE(most, size_t{4 * GATEWAYS_CELL_MOST * GATEWAYS_CELL_MOST});
}

TEST_F(GatewayDirectory, ACellWithoutGatewaysIsNoRoot) {
    add(100, {"a"});
    add(0, {"a"});
    tell();
    std::vector<uint64_t> roots;
    for (const auto &[serial, what] : told)
        if (what.sources.empty())
            roots.push_back(serial);
    ASSERT_LT(roots.size(), 50U) << "so that there are still two cells without them";
    for (uint64_t serial : roots)
        gateway_directory_remove(&directory, serials[serial - 1].get());
    add(static_cast<unsigned>(roots.size()), {"b"});
    tell();
    for (const auto &[serial, what] : told)
        for (const std::string &source : what.sources)
            EXPECT_TRUE(gateway_directory_has(&directory, source.c_str()));
}

TEST_F(GatewayDirectory, OneThatIsGoneIsKnownNoMore) {
    add(3, {"a"});
    EXPECT_TRUE(gateway_directory_remove(&directory, serials[0].get()));
    EXPECT_FALSE(gateway_directory_remove(&directory, serials[0].get()));
    tell();
    EXPECT_EQ(told.at(2).known.size(), 2U);
    EXPECT_EQ(gateway_directory_count(&directory), 2U);
}

TEST_F(GatewayDirectory, OneWithTwoConnectionsIsThereUntilBothEnd) {
    uint64_t first = 1;
    uint64_t second = 2;
    gateway_directory_add(&directory, &first, "10.0.0.9:1", "a");
    gateway_directory_add(&directory, &second, "10.0.0.9:1", "a");
    gateway_directory_remove(&directory, &first);
    EXPECT_TRUE(gateway_directory_has(&directory, "10.0.0.9:1"));
    gateway_directory_remove(&directory, &second);
    EXPECT_FALSE(gateway_directory_has(&directory, "10.0.0.9:1"));
}

} // namespace
