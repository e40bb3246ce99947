// A storage node that an operator retires, in virtual time. Guards against a completion report that
// is lost because the key-value service refused the write and that is never retried.
#include <gtest/gtest.h>

extern "C" {
#include "storesim/world.h"
}

namespace {

constexpr uint64_t founding_ms = 6000;
constexpr uint64_t leave_timeout_ms = 20000;
constexpr uint64_t down_ms = 5000;
constexpr uint64_t report_timeout_ms = 5000;

bool reported_complete(const char *name) {
    char *key = key_value_retire_status_key(name);
    GBytes *complete = key_value_retire_status(true);
    GBytes *status = virtual_key_value_get(key);
    bool reported = status != nullptr && g_bytes_equal(status, complete);
    g_bytes_unref(complete);
    g_free(key);
    return reported;
}

TEST(StoreRetire, IsToldOnceTheServiceTakesWritesAgain) {
    const world_shape_t shape = {4, 0, 1, 1000, BREAK_NOTHING};
    const world_t *world = world_new(1, &shape);
    virtual_run(founding_ms);
    world_store_t *node = nullptr;
    for (guint i = 0; i < world->stores->len && node == nullptr; i++) {
        auto *each = static_cast<world_store_t *>(g_ptr_array_index(world->stores, i));
        node = store_is_member(each->store) ? each : nullptr;
    }
    ASSERT_NE(node, nullptr);
    char *key = g_strdup_printf("retire/%s", node->settings.name);
    GBytes *value = g_bytes_new_static("x", 1);
    virtual_key_value_put(key, value);
    const uint64_t requested_at = virtual_now();
    while (store_is_member(node->store) && virtual_now() < requested_at + leave_timeout_ms)
        virtual_run(virtual_now() + 1);
    ASSERT_FALSE(store_is_member(node->store));
    virtual_key_value_set_down(true);
    virtual_run(virtual_now() + down_ms);
    EXPECT_FALSE(reported_complete(node->settings.name));
    virtual_key_value_set_down(false);
    virtual_run(virtual_now() + report_timeout_ms);
    EXPECT_TRUE(reported_complete(node->settings.name));
    g_bytes_unref(value);
    g_free(key);
}

} // namespace
