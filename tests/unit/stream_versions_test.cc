// A stream goes on only at the software version that began it: stream_versions.h, versions of back
// ends, and the messages by which gateways and storage nodes share them.
#include <glib.h>

extern "C" {
#include "cluster/message.h"
#include "core/routing/stream_versions.h"
#include "gateway/backend_survival.h"
#include "gateway/backend_versions.h"
#include "gateway/backends.h"
#include "gateway/engine_load.h"
}

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace {

constexpr uint64_t NOW = 100000;

class StreamVersions : public testing::Test {
  protected:
    void SetUp() override {
        stream_versions_init(&versions, 100);
    }
    void TearDown() override {
        stream_versions_clear(&versions);
    }
    stream_versions_t versions;
};

TEST_F(StreamVersions, AreKeptAsLongAsACallerMayComeBack) {
    EXPECT_EQ(stream_versions_find(&versions, 1, NOW), VERSION_ANY);
    stream_versions_record(&versions, 1, 7, NOW);
    EXPECT_EQ(stream_versions_find(&versions, 1, NOW + STREAM_VERSION_RETENTION_MS - 1), 7U);
    EXPECT_EQ(stream_versions_find(&versions, 1, NOW + STREAM_VERSION_RETENTION_MS), VERSION_ANY);
    stream_versions_record(&versions, 1, 7, NOW + 50000);
    EXPECT_EQ(stream_versions_find(&versions, 1, NOW + 90000), 7U) << "it was taken up";
    stream_versions_record(&versions, 1, VERSION_UNKNOWN, NOW + 51000);
    EXPECT_EQ(stream_versions_find(&versions, 1, NOW + 52000), VERSION_UNKNOWN);
}

TEST_F(StreamVersions, AreBounded) {
    for (uint64_t stream = 0; stream < 1000; stream++)
        stream_versions_record(&versions, stream, 7, NOW + stream);
    EXPECT_LE(g_hash_table_size(versions.entries), 100U);
    EXPECT_EQ(stream_versions_find(&versions, 0, NOW + 1000), VERSION_ANY);
    EXPECT_EQ(stream_versions_find(&versions, 999, NOW + 1000), 7U);
}

TEST_F(StreamVersions, KeysDifferByTenant) {
    EXPECT_EQ(stream_version_key("a", "1"), stream_version_key("a", "1"));
    EXPECT_NE(stream_version_key("a", "1"), stream_version_key("b", "1"));
    EXPECT_NE(stream_version_key("a", "1"), stream_version_key(nullptr, "1"));
}

TEST(SoftwareVersion, AnEntryWithoutAVersionHasOneOfItsOwn) {
    EXPECT_EQ(software_version(nullptr), VERSION_UNNAMED);
    EXPECT_EQ(software_version(""), VERSION_UNNAMED);
    EXPECT_NE(software_version("v1"), software_version("v2"));
    EXPECT_NE(software_version("v1"), VERSION_UNNAMED);
}

TEST(StreamMessage, CarriesStreamAndVersion) {
    for (message_type_t type : {MESSAGE_STREAM, RESPONSE_STREAM}) {
        message_t message;
        message_init(&message, type);
        message.number = 5;
        message.stream = 0x123456789abcdef0;
        message.version = VERSION_UNKNOWN;
        GBytes *bytes = message_encode(&message);
        gsize length;
        const void *data = g_bytes_get_data(bytes, &length);
        message_t read;
        EXPECT_TRUE(message_decode(&read, data, length));
        EXPECT_EQ(read.type, type);
        EXPECT_EQ(read.number, 5U);
        EXPECT_EQ(read.stream, message.stream);
        EXPECT_EQ(read.version, VERSION_UNKNOWN);
        message_clear(&read);
        message_clear(&message);
        g_bytes_unref(bytes);
    }
}

TEST(BackendEntry, KeepsItsVersionOnTheWayThroughOtherProcesses) {
    backend_record_t record = {};
    record.service = const_cast<char *>("s");
    record.zone = const_cast<char *>("z");
    record.version = const_cast<char *>("v1.2");
    record.slots = 7;
    record.born = 1764700000000;
    ASSERT_TRUE(parse_socket_address("10.1.2.3:4567", &record.address));
    GBytes *bytes = directory_write_backend(&record);
    gsize length;
    const char *data = static_cast<const char *>(g_bytes_get_data(bytes, &length));
    EXPECT_EQ(backend_record_decode("i-1", data, length), nullptr)
        << "the versions before read it as an entry then";
    backend_record_t *read = directory_parse_backend("i-1", data, length);
    ASSERT_NE(read, nullptr);
    EXPECT_STREQ(read->service, "s");
    EXPECT_STREQ(read->zone, "z");
    EXPECT_STREQ(read->version, "v1.2");
    EXPECT_EQ(read->slots, 7U);
    EXPECT_EQ(read->born, record.born);
    EXPECT_FALSE(read->leaving);
    EXPECT_EQ(read->address.sin_port, record.address.sin_port);
    EXPECT_EQ(read->address.sin_addr.s_addr, record.address.sin_addr.s_addr);
    backend_record_free(read);
    g_bytes_unref(bytes);
}

class BackendVersions : public testing::Test {
  protected:
    void SetUp() override {
        uv_loop_init(&loop);
        backends_init(&backends, &loop, "here", "gateway");
    }
    void TearDown() override {
        for (backend_t *backend : under_way)
            backend_release(backend);
        backends_clear(&backends);
        uv_run(&loop, UV_RUN_NOWAIT);
        uv_loop_close(&loop);
    }
    backend_t *add(const std::string &instance, const char *version, const char *zone = "here",
                   uint64_t born = 0) {
        auto *record = g_new0(backend_record_t, 1);
        record->instance = g_strdup(instance.c_str());
        record->service = g_strdup("s");
        record->zone = g_strdup(zone);
        record->version = g_strdup(version);
        record->slots = 8;
        record->born = born;
        backends_update(&backends, record);
        return static_cast<backend_t *>(
            g_hash_table_lookup(backends.by_instance, instance.c_str()));
    }
    backend_t *keep(backend_t *chosen) {
        if (chosen != nullptr)
            under_way.push_back(chosen);
        return chosen;
    }
    backend_t *choose(const char *version, bool certain = true) {
        backend_choice_t choice = {"s", nullptr, 8, software_version(version), certain};
        return keep(backends_choose(&backends, &choice));
    }
    bool differ() {
        return backends_versions_differ(&backends, "s");
    }
    bool always_same() {
        return backends_version_always_same(&backends, "s");
    }
    uv_loop_t loop;
    backends_t backends;
    std::vector<backend_t *> under_way;
};

TEST_F(BackendVersions, ChoicesOfAnyKindStayAtTheVersion) {
    for (unsigned i = 0; i < 20; i++)
        add("i-" + std::to_string(i), "v1", i < 10 ? "here" : "there", 1764700000000 + i);
    backend_t *only = add("i-20", "v2", "there", 1764700000099);
    backend_choice_t choice = {"s", nullptr, 8, software_version("v2"), true};
    for (unsigned i = 0; i < 5; i++) {
        EXPECT_EQ(choose("v2"), only);
        engine_request_t request = {0, 7};
        EXPECT_EQ(keep(backends_choose_engine(&backends, &choice, &request)), only);
        placement_request_t placement_request = {};
        placement_request.turn = {100, 100, 0, 0, 0};
        placement_t placement;
        EXPECT_EQ(keep(backends_place_engine(&backends, &choice, &placement_request, &placement)),
                  only);
        EXPECT_EQ(keep(backends_choose_for_suspect(&backends, &choice, i)), only);
    }
    EXPECT_EQ(choose("v3"), nullptr);
    EXPECT_TRUE(backends_serve_version(&backends, "s", software_version("v2")));
    EXPECT_FALSE(backends_serve_version(&backends, "s", software_version("v3")));
}

TEST_F(BackendVersions, DifferWhileTwoServeAndAsLongAsAStreamMayComeBackAfterwards) {
    add("a", "v1");
    EXPECT_FALSE(differ());
    add("b", "v2");
    EXPECT_TRUE(differ());
    backends_remove(&backends, "a");
    EXPECT_TRUE(differ()) << "a stream of v1 may still be taken up";
    auto *members = static_cast<service_members_t *>(g_hash_table_lookup(backends.by_service, "s"));
    members->differed_at = 1;
    loop.time = STREAM_VERSION_RETENTION_MS + 1;
    EXPECT_FALSE(differ());
    EXPECT_EQ(backends_latest_version(&backends, "s"), software_version("v2"));
}

TEST_F(BackendVersions, DifferIfTheLastOneOfAVersionLeavesBeforeTheFirstOfTheNextComes) {
    add("a", "v1");
    backends_remove(&backends, "a");
    EXPECT_FALSE(differ());
    add("b", "v2");
    EXPECT_TRUE(differ());
}

TEST_F(BackendVersions, DifferIfABackEndStartsAgainAsAnother) {
    add("a", "v1");
    add("a", "v1");
    EXPECT_FALSE(differ());
    add("a", "v2");
    EXPECT_TRUE(differ());
}

TEST_F(BackendVersions, AGatewayThatHasJustStartedKnowsNoPastUnlessEntriesNameNoVersion) {
    add("a", nullptr);
    EXPECT_TRUE(always_same());
    backends_remove(&backends, "a");
    loop.time += STREAM_VERSION_RETENTION_MS + 1;
    backends.opened_at = loop.time;
    add("b", "v1");
    loop.time += 1;
    EXPECT_TRUE(differ()) << "entries have gained versions";
    loop.time += STREAM_VERSION_RETENTION_MS + 1;
    EXPECT_TRUE(always_same());
    backends.opened_at = loop.time - 100;
    EXPECT_FALSE(always_same());
}

TEST_F(BackendVersions, AreInDoubtAfterABrokenConnectionUntilTheEntryIsOfTheProcessThatServes) {
    backend_t *backend = add("a", "v1");
    loop.time = NOW;
    backend_doubt_version(backend, NOW);
    EXPECT_EQ(choose("v1"), nullptr);
    EXPECT_EQ(choose("v1", false), backend) << "the service has one version";
    loop.time = NOW + 300;
    add("a", "v2");
    EXPECT_FALSE(backend_version_certain(backend)) << "may have been written before the doubt";
    loop.time = NOW + 1000;
    EXPECT_TRUE(backend_version_certain(backend));
    EXPECT_EQ(choose("v2"), backend);
}

TEST_F(BackendVersions, AreCertainAgainIfTheDirectoryIsConfirmedLongAfterwards) {
    backend_t *backend = add("a", "v1");
    loop.time = NOW;
    backend_doubt_version(backend, loop.time);
    loop.time = NOW + 60000;
    EXPECT_FALSE(backend_version_certain(backend)) << "the key-value service is away";
    backends.confirmed_at = NOW + 4000;
    EXPECT_FALSE(backend_version_certain(backend));
    backends.confirmed_at = NOW + 5000;
    EXPECT_TRUE(backend_version_certain(backend));
}

// Guards against a port that outlives its process and is taken for the process.
TEST_F(BackendVersions, AreInDoubtUntilTheProcessAnswersOnAnEarlierConnection) {
    loop.time = NOW - 100;
    backend_t *backend = add("a", "v1");
    loop.time = NOW - 50;
    backend_record_survival(backend, NOW - 50);
    loop.time = NOW;
    backend_doubt_version(backend, loop.time);
    EXPECT_FALSE(backend_version_certain(backend));
    loop.time = NOW + 200;
    backend_record_survival(backend, NOW + 10);
    EXPECT_FALSE(backend_version_certain(backend)) << "another process may answer new connections";
    backend_record_survival(backend, NOW - 50);
    EXPECT_TRUE(backend_version_certain(backend));
    loop.time = NOW + 300;
    backend_doubt_version(backend, loop.time);
    EXPECT_FALSE(backend_version_certain(backend)) << "the answer is older than the doubt";
}

} // namespace
