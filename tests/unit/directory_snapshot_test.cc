/** What storage nodes keep for gateways that start without the key-value service. */
#include <gtest/gtest.h>

#include <cstring>
#include <string>

extern "C" {
#include "cluster/directory_snapshot.h"
}

namespace {

class DirectorySnapshot : public testing::Test {
  protected:
    void SetUp() override {
        directory_snapshot_init(&snapshot);
    }
    void TearDown() override {
        directory_snapshot_clear(&snapshot);
    }
    /** Notes that @p key was written, or is gone if @p value is NULL. */
    void note(const char *key, const char *value, uint64_t revision) {
        GBytes *bytes = value == nullptr ? nullptr : g_bytes_new(value, strlen(value));
        key_value_item_t item = {};
        item.key = const_cast<char *>(key);
        item.value = bytes;
        item.revision = revision;
        directory_snapshot_note(&snapshot, &item);
        if (bytes != nullptr)
            g_bytes_unref(bytes);
    }
    static std::string value(const directory_snapshot_t &of, const char *key) {
        auto *bytes = static_cast<GBytes *>(g_hash_table_lookup(of.items, key));
        if (bytes == nullptr)
            return "none";
        gsize length;
        const auto *data = static_cast<const char *>(g_bytes_get_data(bytes, &length));
        return std::string(data, length);
    }
    directory_snapshot_t snapshot;
};

TEST_F(DirectorySnapshot, HoldsTheLatestOfEachKey) {
    note("a", "1", 5);
    note("b", "2", 6);
    note("a", "3", 7);
    note("b", nullptr, 9);
    EXPECT_EQ(snapshot.revision, 9u);
    EXPECT_EQ(value(snapshot, "a"), "3");
    EXPECT_EQ(value(snapshot, "b"), "none");
}

TEST_F(DirectorySnapshot, AListingDropsWhatItLacks) {
    note("a", "1", 5);
    note("b", "2", 6);
    GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);
    g_hash_table_add(keys, const_cast<char *>("b"));
    directory_snapshot_retain(&snapshot, keys);
    g_hash_table_destroy(keys);
    EXPECT_EQ(value(snapshot, "a"), "none");
    EXPECT_EQ(value(snapshot, "b"), "2");
}

TEST_F(DirectorySnapshot, IsTheSameAfterAJourney) {
    note("a", "1", 5);
    note("b", "", 6);
    GBytes *bytes = directory_snapshot_encode(&snapshot);
    directory_snapshot_t other;
    directory_snapshot_init(&other);
    ASSERT_TRUE(directory_snapshot_decode(&other, bytes));
    EXPECT_EQ(other.revision, 6u);
    EXPECT_EQ(g_hash_table_size(other.items), 2u);
    EXPECT_EQ(value(other, "a"), "1");
    EXPECT_EQ(value(other, "b"), "");
    directory_snapshot_clear(&other);
    g_bytes_unref(bytes);
}

TEST_F(DirectorySnapshot, CutOrForeignBytesAreNoSnapshot) {
    note("a", "1", 5);
    GBytes *bytes = directory_snapshot_encode(&snapshot);
    for (gsize length = 0; length < g_bytes_get_size(bytes); length++) {
        GBytes *cut = g_bytes_new_from_bytes(bytes, 0, length);
        directory_snapshot_t other;
        directory_snapshot_init(&other);
        EXPECT_FALSE(directory_snapshot_decode(&other, cut));
        directory_snapshot_clear(&other);
        g_bytes_unref(cut);
    }
    g_bytes_unref(bytes);
}

} // namespace
