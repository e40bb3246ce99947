// A storage node that is to be emptied, in virtual time.
//
// The story: a node left its group while the key-value service was turning writes away. It noted
// that it had told so, its write was refused, and it never told again: the operator waits for ever
// for a machine that is empty. Evidence: E809 STORE_RETIRED, then E806 with outcome=refused as the
// last line of the node, for two minutes.
#include <gtest/gtest.h>

extern "C" {
#include "storesim/world.h"
}

namespace {

constexpr uint64_t founded_ms = 6000;
constexpr uint64_t leaves_ms = 20000;
constexpr uint64_t down_ms = 5000;
constexpr uint64_t told_ms = 5000;

bool told_complete(const char *name) {
    char *key = key_value_retire_status_key(name);
    GBytes *complete = key_value_retire_status(true);
    GBytes *status = virtual_key_value_get(key);
    bool told = status != nullptr && g_bytes_equal(status, complete);
    g_bytes_unref(complete);
    g_free(key);
    return told;
}

TEST(StoreRetire, IsToldOnceTheServiceTakesWritesAgain) {
    const world_shape_t shape = {4, 0, 1, 1000, BREAK_NOTHING};
    const world_t *world = world_new(1, &shape);
    virtual_run(founded_ms);
    world_store_t *node = nullptr;
    for (guint i = 0; i < world->stores->len && node == nullptr; i++) {
        auto *each = static_cast<world_store_t *>(g_ptr_array_index(world->stores, i));
        node = store_is_member(each->store) ? each : nullptr;
    }
    ASSERT_NE(node, nullptr);
    char *key = g_strdup_printf("retire/%s", node->settings.name);
    GBytes *value = g_bytes_new_static("x", 1);
    virtual_key_value_put(key, value);
    const uint64_t asked = virtual_now();
    while (store_is_member(node->store) && virtual_now() < asked + leaves_ms)
        virtual_run(virtual_now() + 1);
    ASSERT_FALSE(store_is_member(node->store));
    virtual_key_value_set_down(true);
    virtual_run(virtual_now() + down_ms);
    EXPECT_FALSE(told_complete(node->settings.name));
    virtual_key_value_set_down(false);
    virtual_run(virtual_now() + told_ms);
    EXPECT_TRUE(told_complete(node->settings.name));
    g_bytes_unref(value);
    g_free(key);
}

} // namespace
