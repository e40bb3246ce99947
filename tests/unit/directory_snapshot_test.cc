/** What storage nodes keep for gateways that start without the key-value service. */
#include <gtest/gtest.h>

#include <arpa/inet.h>

#include <cstdio>
#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "cluster/directory_snapshot.h"
#include "cluster/service_directory.h"
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
    bool note(const char *key, const char *value, uint64_t revision) {
        GBytes *bytes = value == nullptr ? nullptr : g_bytes_new(value, strlen(value));
        key_value_item_t item = {};
        item.key = const_cast<char *>(key);
        item.value = bytes;
        item.revision = revision;
        bool news = directory_snapshot_note(&snapshot, &item);
        if (bytes != nullptr)
            g_bytes_unref(bytes);
        return news;
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

TEST_F(DirectorySnapshot, TellsWhatAListingLacks) {
    note("a", "1", 5);
    note("b", "2", 6);
    GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);
    g_hash_table_add(keys, const_cast<char *>("b"));
    GPtrArray *missing = directory_snapshot_missing(&snapshot, keys);
    ASSERT_EQ(missing->len, 1U);
    EXPECT_STREQ(static_cast<char *>(g_ptr_array_index(missing, 0)), "a");
    g_ptr_array_free(missing, TRUE);
    g_hash_table_destroy(keys);
}

TEST_F(DirectorySnapshot, TellsNewsFromWhatIsKnown) {
    EXPECT_TRUE(note("a", "1", 5));
    EXPECT_FALSE(note("a", "1", 6));
    EXPECT_EQ(snapshot.revision, 6u);
    EXPECT_TRUE(note("a", "2", 7));
    EXPECT_FALSE(note("b", nullptr, 8)) << "it was not there";
    EXPECT_TRUE(note("a", nullptr, 9));
}

TEST_F(DirectorySnapshot, ADigestTellsViewsApartWhateverTheirOrder) {
    EXPECT_EQ(snapshot.digest, 0u);
    note("a", "1", 5);
    note("b", "2", 6);
    uint64_t both = snapshot.digest;
    note("b", "3", 7);
    EXPECT_NE(snapshot.digest, both);
    note("a", nullptr, 8);
    note("b", "2", 9);
    note("a", "1", 10);
    EXPECT_EQ(snapshot.digest, both);
    note("a", "2", 11);
    note("b", "1", 12);
    EXPECT_NE(snapshot.digest, both) << "a value belongs to its key";
}

TEST_F(DirectorySnapshot, IsEncodedAnewOnlyIfItHasChanged) {
    note("a", "1", 5);
    GBytes *first = directory_snapshot_encode(&snapshot);
    note("a", "1", 5);
    GBytes *second = directory_snapshot_encode(&snapshot);
    EXPECT_EQ(first, second);
    note("a", "2", 6);
    GBytes *third = directory_snapshot_encode(&snapshot);
    EXPECT_NE(second, third);
    g_bytes_unref(first);
    g_bytes_unref(second);
    g_bytes_unref(third);
}

// A gateway's link carries 30 Mbit/s: 10,000 back ends as the key-value service has them, some 250
// bytes each, take 0.7 s, and one gateway passes them on to a dozen.
TEST_F(DirectorySnapshot, ABackEndTakesFewBytes) {
    constexpr unsigned backends = 10000;
    for (unsigned i = 0; i < backends; i++) {
        char key[32];
        snprintf(key, sizeof key, "servers/i-%010u", i);
        backend_record_t record = {};
        record.service = const_cast<char *>("agent-service");
        record.zone = const_cast<char *>("region-zone-a");
        record.address.sin_addr.s_addr = htonl(0x0a000000 + i);
        record.address.sin_port = htons(8080);
        record.slots = 6;
        GBytes *value = backend_record_encode(&record);
        key_value_item_t item = {key, value, 5};
        directory_snapshot_note(&snapshot, &item);
        g_bytes_unref(value);
    }
    GBytes *bytes = directory_snapshot_encode(&snapshot);
    EXPECT_LE(g_bytes_get_size(bytes), size_t{backends} * 30);
    g_bytes_unref(bytes);
}

TEST_F(DirectorySnapshot, ABackEndWithAVersionTakesFewBytes) {
    constexpr unsigned backends = 10000;
    for (unsigned i = 0; i < backends; i++) {
        char key[32];
        snprintf(key, sizeof key, "servers/i-%010u", i);
        backend_record_t record = {};
        record.service = const_cast<char *>("agent-service");
        record.zone = const_cast<char *>("region-zone-a");
        record.version = const_cast<char *>(i % 2 == 0 ? "v1.1" : "v1.2");
        record.address.sin_addr.s_addr = htonl(0x0a000000 + i);
        record.address.sin_port = htons(8080);
        record.slots = 6;
        GBytes *value = directory_write_backend(&record);
        key_value_item_t item = {key, value, 5};
        directory_snapshot_note(&snapshot, &item);
        g_bytes_unref(value);
    }
    GBytes *bytes = directory_snapshot_encode(&snapshot);
    printf("10000 back ends with a version: %zu bytes\n", g_bytes_get_size(bytes));
    EXPECT_LE(g_bytes_get_size(bytes), size_t{backends} * 30);
    g_bytes_unref(bytes);
}

TEST(BackendRecord, IsTheSameAfterAJourney) {
    backend_record_t record = {};
    record.service = const_cast<char *>("s");
    record.zone = const_cast<char *>("z");
    ASSERT_TRUE(parse_socket_address("10.1.2.3:4567", &record.address));
    record.slots = 7;
    record.leaving = true;
    GBytes *bytes = backend_record_encode(&record);
    gsize length;
    const void *data = g_bytes_get_data(bytes, &length);
    backend_record_t *other = backend_record_decode("i-1", data, length);
    ASSERT_NE(other, nullptr);
    EXPECT_STREQ(other->instance, "i-1");
    EXPECT_STREQ(other->service, "s");
    EXPECT_STREQ(other->zone, "z");
    EXPECT_EQ(other->address.sin_addr.s_addr, record.address.sin_addr.s_addr);
    EXPECT_EQ(other->address.sin_port, record.address.sin_port);
    EXPECT_EQ(other->address.sin_family, AF_INET);
    EXPECT_EQ(other->slots, 7U);
    EXPECT_TRUE(other->leaving);
    backend_record_free(other);
    EXPECT_EQ(backend_record_decode("i-1", data, length - 1), nullptr);
    g_bytes_unref(bytes);
}

/** What the encoder of commit 77b7e5a makes of "s" in zone "z" at 10.1.2.3:4567 with 7 slots. */
const std::vector<uint8_t> short_form_before = {0x61, 0x73, 0x61, 0x7a, 0x07, 0xf4, 0x1a,
                                                0x0a, 0x01, 0x02, 0x03, 0x19, 0x11, 0xd7};

backend_record_t plain_record() {
    backend_record_t record = {};
    record.service = const_cast<char *>("s");
    record.zone = const_cast<char *>("z");
    parse_socket_address("10.1.2.3:4567", &record.address);
    record.slots = 7;
    return record;
}

std::vector<uint8_t> short_form(const backend_record_t &record) {
    GBytes *bytes = backend_record_encode(&record);
    gsize length;
    const auto *data = static_cast<const uint8_t *>(g_bytes_get_data(bytes, &length));
    std::vector<uint8_t> form(data, data + length);
    g_bytes_unref(bytes);
    return form;
}

TEST(BackendRecord, OneWithoutALifeIsAsItWasInTheVersionBefore) {
    EXPECT_EQ(short_form(plain_record()), short_form_before);
    backend_record_t *read =
        backend_record_decode("i-1", short_form_before.data(), short_form_before.size());
    ASSERT_NE(read, nullptr);
    EXPECT_EQ(read->born, 0U);
    EXPECT_EQ(ntohs(read->address.sin_port), 4567);
    backend_record_free(read);
}

// The versions before take the port's lower 16 bits and nothing above them; that they read these
// bytes was seen by running their decoder on them.
TEST(BackendRecord, ALifeStandsWhereTheVersionBeforeDoesNotLook) {
    backend_record_t record = plain_record();
    record.born = 1764700000000;
    uint16_t life = backend_record_life(&record);
    EXPECT_NE(life, 0);
    std::vector<uint8_t> expected(short_form_before.begin(), short_form_before.end() - 3);
    for (int byte : {0x1a, life >> 8, life & 0xff, 0x11, 0xd7})
        expected.push_back(static_cast<uint8_t>(byte));
    std::vector<uint8_t> form = short_form(record);
    EXPECT_EQ(form, expected);
    backend_record_t *read = backend_record_decode("i-1", form.data(), form.size());
    ASSERT_NE(read, nullptr);
    EXPECT_EQ(ntohs(read->address.sin_port), 4567);
    EXPECT_EQ(backend_record_life(read), life) << "the same at each process, however it came";
    EXPECT_EQ(short_form(*read), form);
    backend_record_free(read);
    record.born += 31234;
    EXPECT_NE(backend_record_life(&record), life);
}

TEST_F(DirectorySnapshot, ManyItemsAreTheSameAfterAJourney) {
    for (unsigned i = 0; i < 6000; i++)
        note(("key-" + std::to_string(i)).c_str(),
             (std::to_string(i % 5000) + "-head-and-tail" + std::to_string(i)).c_str(), i);
    GBytes *bytes = directory_snapshot_encode(&snapshot);
    directory_snapshot_t other;
    directory_snapshot_init(&other);
    ASSERT_TRUE(directory_snapshot_decode(&other, bytes));
    EXPECT_EQ(other.digest, snapshot.digest);
    EXPECT_EQ(g_hash_table_size(other.items), 6000U);
    directory_snapshot_clear(&other);
    g_bytes_unref(bytes);
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
