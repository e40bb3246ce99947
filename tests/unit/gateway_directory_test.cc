// Which gateways know one another.
#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "store/gateway_directory.h"
}

namespace {

class GatewayDirectory : public testing::Test {
  protected:
    GatewayDirectory() {
        gateway_directory_init(&directory);
    }
    ~GatewayDirectory() override {
        gateway_directory_clear(&directory);
    }
    void add(unsigned count, const std::vector<std::string> &zones) {
        for (unsigned i = 0; i < count; i++) {
            serials.push_back(std::make_unique<uint64_t>(serials.size() + 1));
            std::string address = "10.0.0." + std::to_string(*serials.back()) + ":1";
            gateway_directory_add(&directory, serials.back().get(), address.c_str(),
                                  zones[i % zones.size()].c_str());
        }
    }
    size_t known(const char *zone) {
        GPtrArray *addresses = gateway_directory_known(&directory, zone);
        size_t count = addresses->len;
        g_ptr_array_unref(addresses);
        return count;
    }
    gateway_directory_t directory;
    std::vector<std::unique_ptr<uint64_t>> serials;
};

TEST_F(GatewayDirectory, FewAllKnowOneAnother) {
    add(GATEWAYS_FEW, {"a", "b"});
    EXPECT_EQ(known("a"), size_t{GATEWAYS_FEW});
    EXPECT_EQ(known("elsewhere"), size_t{GATEWAYS_FEW});
}

TEST_F(GatewayDirectory, OfManyEachKnowsThoseOfItsZone) {
    add(60, {"a", "b", "c"});
    EXPECT_EQ(known("a"), 20U);
    EXPECT_EQ(known("c"), 20U);
    EXPECT_EQ(known("elsewhere"), 0U);
}

TEST_F(GatewayDirectory, OneThatIsGoneIsKnownNoMore) {
    add(3, {"a"});
    EXPECT_TRUE(gateway_directory_remove(&directory, serials[0].get()));
    EXPECT_FALSE(gateway_directory_remove(&directory, serials[0].get()));
    EXPECT_EQ(known("a"), 2U);
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
