// Loads exchanged between zones: which gateways exchange them, and which reports count.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "cluster/remote_gateway.h"
#include "gateway/load_report.h"
#include "gateway/zone_loads.h"
}

namespace {

std::string address_of(unsigned zone, unsigned gateway) {
    return "10." + std::to_string(zone) + ".0." + std::to_string(gateway + 1) + ":77";
}

struct sockaddr_in parse(const std::string &text) {
    struct sockaddr_in address;
    EXPECT_TRUE(parse_socket_address(text.c_str(), &address));
    return address;
}

/**
 * The gateways that storage nodes list to one of @p zone: its own zone's by address, and remote
 * ones.
 */
GPtrArray *listed_gateways(const std::vector<unsigned> &zones, unsigned zone) {
    GPtrArray *texts = g_ptr_array_new_with_free_func(g_free);
    for (unsigned other = 0; other < zones.size(); other++)
        for (unsigned i = 0; i < zones[other]; i++) {
            std::string address = address_of(other, i);
            std::string name = "z-" + std::to_string(other);
            g_ptr_array_add(texts, other == zone
                                       ? g_strdup(address.c_str())
                                       : remote_gateway_format(name.c_str(), address.c_str()));
        }
    return texts;
}

TEST(RemoteGateway, TextIsParsedBackAndIsNoSocketAddress) {
    char *text = remote_gateway_format("north a", "10.1.2.3:77");
    char *zone = nullptr;
    struct sockaddr_in address;
    EXPECT_FALSE(parse_socket_address(text, &address));
    ASSERT_TRUE(remote_gateway_parse(text, &zone, &address));
    EXPECT_STREQ(zone, "north a");
    EXPECT_EQ(address.sin_port, htons(77));
    EXPECT_FALSE(remote_gateway_parse("10.1.2.3:77", &zone, &address));
    EXPECT_FALSE(remote_gateway_parse("@north", &zone, &address));
    EXPECT_FALSE(remote_gateway_parse("@north 10.1.2.3", &zone, &address));
    g_free(zone);
    g_free(text);
}

class ZoneLoads : public testing::Test {
  protected:
    ZoneLoads() {
        uv_loop_init(&loop);
        backends_init(&backends, &loop, "z-0", "10.0.0.1:77");
        zone_loads_init(&loads);
        for (const char *name : {"i-a", "i-b"}) {
            auto *record = g_new0(backend_record_t, 1);
            record->instance = g_strdup(name);
            record->service = g_strdup("models");
            record->zone = g_strdup("z-0");
            record->born = 7;
            backends_update(&backends, record);
        }
    }
    ~ZoneLoads() override {
        backends_clear(&backends);
        uv_loop_close(&loop);
        g_ptr_array_free(loads.gateways, TRUE);
        g_hash_table_destroy(loads.sums);
    }
    backend_t *backend(const char *name) {
        return static_cast<backend_t *>(g_hash_table_lookup(backends.by_instance, name));
    }
    void set(const std::vector<unsigned> &zones, unsigned zone, unsigned index) {
        GPtrArray *texts = listed_gateways(zones, zone);
        zone_loads_set_gateways(&loads, texts, index, zones[zone]);
        g_ptr_array_free(texts, TRUE);
    }
    bool receive(unsigned zone, unsigned gateway, uint32_t calls, uint64_t now) {
        GArray *entries = g_array_new(FALSE, FALSE, sizeof(load_entry_t));
        load_entry_t entry = {backend("i-a")->id_hash, calls, 0};
        g_array_append_val(entries, entry);
        watch_report_t watch = {};
        GBytes *bytes = load_report_encode(&watch, entries);
        struct sockaddr_in from = parse(address_of(zone, gateway));
        gsize length;
        const void *data = g_bytes_get_data(bytes, &length);
        bool accepted = zone_loads_receive(&loads, &from, data, length, now);
        g_bytes_unref(bytes);
        g_array_free(entries, TRUE);
        return accepted;
    }
    unsigned remote_calls(uint64_t now) {
        backend("i-a")->peer_calls = 0;
        zone_loads_add_remote(&loads, &backends, now);
        return backend("i-a")->peer_calls;
    }
    uv_loop_t loop;
    backends_t backends;
    zone_loads_t loads = {};
};

// 52 gateways in zones of different sizes: each receives loads from every other zone, and sends to
// few gateways.
TEST_F(ZoneLoads, EachGatewayExchangesLoadsWithEachOtherZone) {
    const std::vector<unsigned> zones = {14, 14, 12, 3, 9};
    std::map<std::string, std::set<unsigned>> receiving_zones;
    size_t pairs = 0;
    for (unsigned zone = 0; zone < zones.size(); zone++)
        for (unsigned index = 0; index < zones[zone]; index++) {
            set(zones, zone, index);
            pairs += loads.gateways->len;
            for (unsigned other = 0; other < zones.size(); other++)
                for (unsigned i = 0; i < zones[other]; i++)
                    if (receive(other, i, 1, 1))
                        receiving_zones[address_of(other, i)].insert(zone);
        }
    for (unsigned zone = 0; zone < zones.size(); zone++)
        for (unsigned i = 0; i < zones[zone]; i++)
            EXPECT_EQ(receiving_zones[address_of(zone, i)].size(), zones.size() - 1);
    EXPECT_LE(pairs, 2U * 52 * 4) << "all pairs would be " << 52 * 40;
}

TEST_F(ZoneLoads, TheLatestReportOfAZoneCounts) {
    set({2, 4, 2}, 0, 0);
    EXPECT_TRUE(receive(1, 0, 10, 1000));
    EXPECT_TRUE(receive(1, 2, 12, 1050));
    EXPECT_FALSE(receive(1, 1, 99, 1060)) << "not a counterpart";
    EXPECT_TRUE(receive(2, 0, 5, 1060));
    EXPECT_EQ(remote_calls(1100), 17U);
    EXPECT_TRUE(receive(1, 0, 3, 1100));
    EXPECT_EQ(remote_calls(1110), 8U);
}

TEST_F(ZoneLoads, TheReportOfAnIsolatedZoneExpires) {
    set({2, 2}, 0, 0);
    EXPECT_TRUE(receive(1, 0, 10, 1000));
    EXPECT_EQ(remote_calls(1900), 10U);
    EXPECT_EQ(remote_calls(2100), 0U);
}

TEST_F(ZoneLoads, ReportsAreKeptWhenTheListChanges) {
    set({2, 4}, 0, 0);
    EXPECT_TRUE(receive(1, 0, 10, 1000));
    set({2, 3}, 0, 0);
    EXPECT_EQ(remote_calls(1100), 10U);
}

TEST_F(ZoneLoads, ReportsOfThePreviousIncarnationAreIgnored) {
    set({2, 2}, 0, 0);
    EXPECT_TRUE(receive(1, 0, 10, 1000));
    EXPECT_EQ(remote_calls(1100), 10U);
    backend("i-a")->incarnation_since = 1001;
    EXPECT_EQ(remote_calls(1100), 0U);
    EXPECT_TRUE(receive(1, 0, 3, 1050));
    EXPECT_EQ(remote_calls(1100), 3U);
}

TEST_F(ZoneLoads, AMalformedReportCountsAsEmpty) {
    set({2, 2}, 0, 0);
    EXPECT_TRUE(receive(1, 0, 10, 1000));
    struct sockaddr_in from = parse(address_of(1, 0));
    EXPECT_TRUE(zone_loads_receive(&loads, &from, "?", 1, 1001));
    EXPECT_EQ(remote_calls(1002), 0U);
}

} // namespace
