// Following another gateway's view of the key-value service, over loopback.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>
#include <functional>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "gateway/directory_feed.h"
#include "gateway/directory_follow.h"
#include "gateway/store_relay.h"
}

namespace {

constexpr uint64_t timeout_ms = 3000;

/** State of the source, and its feed. */
struct Source {
    directory_snapshot_t snapshot;
    uint64_t revision = 0;
    bool followable = true;
    uint32_t answer_age = 0;
    directory_feed_t *feed = nullptr;
};

/** What the follower received. */
struct Follower {
    std::map<std::string, std::string> items;
    uint64_t revision = 0;
    uint64_t view = 0;
    unsigned views = 0;
    unsigned same = 0;
    unsigned lost = 0;
};

void read_state(void *owner, directory_feed_state_t *state) {
    auto *source = static_cast<Source *>(owner);
    *state = {&source->snapshot, nullptr, source->revision, source->followable, source->answer_age};
}

uint64_t follower_revision(void *owner) {
    return static_cast<Follower *>(owner)->revision;
}

uint64_t follower_view(void *owner) {
    return static_cast<Follower *>(owner)->view;
}

std::string text_of(GBytes *bytes) {
    gsize length;
    const char *data = static_cast<const char *>(g_bytes_get_data(bytes, &length));
    return {data, length};
}

void on_directory(void *owner, const directory_snapshot_t *snapshot, uint64_t revision) {
    auto *follower = static_cast<Follower *>(owner);
    follower->revision = revision;
    if (snapshot == nullptr) {
        follower->same++;
        return;
    }
    follower->items.clear();
    GHashTableIter iterator;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iterator, snapshot->items);
    while (g_hash_table_iter_next(&iterator, &key, &value) != FALSE)
        follower->items[static_cast<char *>(key)] = text_of(static_cast<GBytes *>(value));
    follower->views++;
}

void on_changes(void *owner, const GArray *changes, uint64_t revision) {
    auto *follower = static_cast<Follower *>(owner);
    for (guint i = 0; i < changes->len; i++) {
        const key_value_item_t *item = &g_array_index(changes, key_value_item_t, i);
        if (item->value == nullptr)
            follower->items.erase(item->key);
        else
            follower->items[item->key] = text_of(item->value);
    }
    follower->revision = revision;
}

void on_group(void *, const message_t *) {
}

void on_lost(void *owner) {
    static_cast<Follower *>(owner)->lost++;
}

const directory_follow_handler_t follow_handler = {follower_revision, follower_view, on_directory,
                                                   on_changes,        on_group,      on_lost};

/** Feeds, followers and their loop can't be freed; they live as long as the process. */
struct World {
    uv_loop_t loop;
    sockaddr_in address{};
    Source source;
    Follower follower;
    store_relay_t *relay = nullptr;
    directory_follow_t *follow = nullptr;
};

World *new_world() {
    static auto *worlds = new std::vector<World *>;
    worlds->push_back(new World);
    return worlds->back();
}

class DirectoryFollow : public testing::Test {
  protected:
    DirectoryFollow()
        : world(new_world()), loop(world->loop), address(world->address), source(world->source),
          follower(world->follower), relay(world->relay), follow(world->follow) {
        uv_loop_init(&loop);
        frame_loop_start(&loop);
        directory_snapshot_init(&source.snapshot);
        source.feed = directory_feed_new(&loop, read_state, &source);
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        for (uint16_t port = 42300; relay == nullptr && port < 42400; port++) {
            address.sin_port = htons(port);
            relay = store_relay_open(&loop, &address, nullptr, source.feed);
        }
        follow = directory_follow_new(&loop, &follow_handler, &follower);
    }
    /** Runs the loop until @p done or a timeout. */
    bool run_until(const std::function<bool()> &done) {
        uint64_t until = uv_now(&loop) + timeout_ms;
        uv_timer_t tick;
        uv_timer_init(&loop, &tick);
        uv_timer_start(
            &tick, [](uv_timer_t *) {}, 1, 1);
        while (!done() && uv_now(&loop) < until)
            uv_run(&loop, UV_RUN_ONCE);
        bool closed = false;
        tick.data = &closed;
        uv_close(reinterpret_cast<uv_handle_t *>(&tick),
                 [](uv_handle_t *handle) { *static_cast<bool *>(handle->data) = true; });
        while (!closed)
            uv_run(&loop, UV_RUN_NOWAIT);
        return done();
    }
    void write(const char *key, const char *value, uint64_t revision) {
        key_value_item_t item = {const_cast<char *>(key),
                                 value == nullptr ? nullptr : g_bytes_new(value, strlen(value)),
                                 revision};
        directory_snapshot_note(&source.snapshot, &item);
        source.revision = revision;
        directory_feed_notify(source.feed, &item);
        if (item.value != nullptr)
            g_bytes_unref(item.value);
    }
    bool begin() {
        directory_follow_begin(follow, &address, DIRECTORY_AVOID_MS);
        return run_until([this] { return follower.views > 0; });
    }
    World *world;
    uv_loop_t &loop;
    sockaddr_in &address;
    Source &source;
    Follower &follower;
    store_relay_t *&relay;
    directory_follow_t *&follow;
};

TEST_F(DirectoryFollow, ReceivesTheCompleteViewAndThenEachChange) {
    write("servers/a", "ready", 5);
    write("servers/b", "ready", 6);
    ASSERT_TRUE(begin());
    EXPECT_EQ(follower.items.size(), 2U);
    EXPECT_EQ(follower.revision, 6U);
    write("servers/a", "draining", 7);
    write("servers/b", nullptr, 8);
    ASSERT_TRUE(run_until([this] { return follower.revision == 8; }));
    EXPECT_EQ(follower.items, (std::map<std::string, std::string>{{"servers/a", "draining"}}));
    EXPECT_EQ(follower.views, 1U) << "only changes are sent";
}

TEST_F(DirectoryFollow, AnIrrelevantChangeAdvancesTheRevision) {
    write("servers/a", "ready", 5);
    ASSERT_TRUE(begin());
    source.revision = 9;
    directory_feed_notify(source.feed, nullptr);
    EXPECT_TRUE(run_until([this] { return follower.revision == 9; }));
}

TEST_F(DirectoryFollow, ItemsMissingFromAListingAreRemovedAtFollowers) {
    write("servers/a", "ready", 5);
    write("servers/b", "ready", 6);
    ASSERT_TRUE(begin());
    source.revision = 0;
    key_value_item_t removed = {const_cast<char *>("servers/a"), nullptr, 0};
    directory_snapshot_note(&source.snapshot, &removed);
    directory_feed_notify(source.feed, &removed);
    source.revision = 6;
    directory_feed_notify(source.feed, nullptr);
    EXPECT_TRUE(run_until([this] { return follower.items.size() == 1; }));
    EXPECT_EQ(follower.views, 1U) << "only changes are sent";
}

// After a restart every gateway has the view stored by the storage nodes; it must not be sent
// again.
TEST_F(DirectoryFollow, AnIdenticalViewIsNotSentAgain) {
    write("servers/a", "ready", 5);
    follower.view = source.snapshot.digest;
    follower.revision = 4;
    directory_follow_begin(follow, &address, DIRECTORY_AVOID_MS);
    ASSERT_TRUE(run_until([this] { return follower.same == 1; }));
    EXPECT_EQ(follower.revision, 5U);
    EXPECT_EQ(follower.views, 0U);
    EXPECT_TRUE(directory_follow_current(follow));
    write("servers/b", "ready", 6);
    EXPECT_TRUE(run_until([this] { return follower.items.size() == 1; }));
}

TEST_F(DirectoryFollow, AViewThatChangedSinceTheRequestEndsFollowing) {
    write("servers/a", "ready", 5);
    follower.view = source.snapshot.digest;
    follower.revision = 7;
    directory_follow_begin(follow, &address, DIRECTORY_AVOID_MS);
    run_until([this] { return directory_feed_followers(source.feed) == 1; });
    follower.view++;
    source.revision = 8;
    directory_feed_notify(source.feed, nullptr);
    EXPECT_TRUE(run_until([this] { return follower.lost == 1; }));
    EXPECT_EQ(follower.same, 0U);
}

TEST_F(DirectoryFollow, ReportsTheAgeOfItsView) {
    write("servers/a", "ready", 5);
    EXPECT_EQ(directory_follow_answer_age(follow), UINT32_MAX);
    source.answer_age = 2000;
    ASSERT_TRUE(begin());
    EXPECT_GE(directory_follow_answer_age(follow), 2000U);
    EXPECT_LT(directory_follow_answer_age(follow), 2000U + timeout_ms);
    source.answer_age = 100;
    EXPECT_TRUE(run_until([this] { return directory_follow_answer_age(follow) < 2000; }))
        << "the age is sent without any change";
    source.answer_age = UINT32_MAX;
    EXPECT_TRUE(run_until([this] { return directory_follow_answer_age(follow) == UINT32_MAX; }));
}

TEST_F(DirectoryFollow, ASourceThatStaysBehindTimesOut) {
    write("servers/a", "ready", 5);
    follower.revision = 7;
    directory_follow_begin(follow, &address, DIRECTORY_AVOID_MS);
    EXPECT_TRUE(run_until([this] { return follower.lost == 1; }));
    EXPECT_EQ(follower.revision, 7U);
    EXPECT_EQ(follower.views, 0U);
    EXPECT_FALSE(directory_follow_active(follow));
}

TEST_F(DirectoryFollow, ASourceThatCatchesUpIsFollowed) {
    write("servers/a", "ready", 5);
    follower.revision = 7;
    directory_follow_begin(follow, &address, DIRECTORY_AVOID_MS);
    run_until([this] { return directory_feed_followers(source.feed) == 1; });
    write("servers/a", "draining", 6);
    write("servers/b", "ready", 8);
    EXPECT_TRUE(run_until([this] { return follower.views == 1; }));
    EXPECT_EQ(follower.revision, 8U);
    EXPECT_EQ(follower.items.size(), 2U);
    EXPECT_EQ(follower.lost, 0U);
}

TEST_F(DirectoryFollow, AFollowingGatewayRefusesFollowers) {
    write("servers/a", "ready", 5);
    source.followable = false;
    directory_follow_begin(follow, &address, DIRECTORY_AVOID_MS);
    EXPECT_TRUE(run_until([this] { return follower.lost == 1; }));
}

TEST_F(DirectoryFollow, ASourceThatStartsToFollowDropsItsFollowers) {
    write("servers/a", "ready", 5);
    ASSERT_TRUE(begin());
    source.followable = false;
    directory_feed_notify(source.feed, nullptr);
    EXPECT_TRUE(run_until([this] { return follower.lost == 1; }));
}

// Guards against followers that time out during a long listing and list the service themselves, and
// against a configuration that is delayed until its end.
TEST_F(DirectoryFollow, AListingSourceSendsChangesWithoutAdvancingTheRevision) {
    write("servers/a", "ready", 5);
    write("servers/b", "ready", 5);
    ASSERT_TRUE(begin());
    source.revision = 0;
    source.answer_age = 100;
    key_value_item_t item = {const_cast<char *>("servers/b"), nullptr, 9};
    directory_feed_notify(source.feed, &item);
    EXPECT_TRUE(run_until([this] { return follower.items.size() == 1; }));
    EXPECT_EQ(follower.revision, 5U);
    EXPECT_LT(directory_follow_answer_age(follow), 100U + timeout_ms);
    run_until([this] { return follower.lost > 0; });
    EXPECT_EQ(follower.lost, 0U) << "the source is alive";
    EXPECT_EQ(follower.revision, 5U);
    source.revision = 9;
    directory_feed_notify(source.feed, nullptr);
    EXPECT_TRUE(run_until([this] { return follower.revision == 9; }));
    EXPECT_EQ(follower.views, 1U);
}

/** A gateway's view of one back end, as its followers get it. */
std::string view_frame() {
    key_value_item_t item = {const_cast<char *>("servers/a"), g_bytes_new_static("ready", 5), 5};
    directory_snapshot_t snapshot;
    directory_snapshot_init(&snapshot);
    directory_snapshot_note(&snapshot, &item);
    message_t message;
    message_init(&message, MESSAGE_DIRECTORY);
    message.revision = 5;
    message.directory = directory_snapshot_encode(&snapshot);
    GBytes *bytes = message_encode(&message);
    std::string content = text_of(bytes);
    uint32_t length = htonl(static_cast<uint32_t>(content.size()));
    g_bytes_unref(bytes);
    message_clear(&message);
    directory_snapshot_clear(&snapshot);
    g_bytes_unref(item.value);
    return std::string(reinterpret_cast<const char *>(&length), sizeof length) + content;
}

// Guards against a view that was cut on its way, followed as one without back ends.
TEST_F(DirectoryFollow, AViewThatIsCutAtAnyByteIsNotFollowed) {
    const std::string frame = view_frame();
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in other = address;
    other.sin_port = 0;
    ASSERT_EQ(bind(listener, reinterpret_cast<sockaddr *>(&other), sizeof other), 0);
    socklen_t size = sizeof other;
    getsockname(listener, reinterpret_cast<sockaddr *>(&other), &size);
    ASSERT_EQ(listen(listener, 8), 0);
    for (size_t length = 0; length <= frame.size(); length++) {
        int source_end = -1;
        ASSERT_TRUE(run_until([&] {
            directory_follow_begin(follow, &other, 0);
            if (source_end < 0)
                source_end = accept(listener, nullptr, nullptr);
            return source_end >= 0;
        }));
        ASSERT_EQ(::send(source_end, frame.data(), length, MSG_NOSIGNAL),
                  static_cast<ssize_t>(length));
        if (length < frame.size()) {
            close(source_end);
            ASSERT_TRUE(run_until([&] { return follower.lost == length + 1; })) << length;
            EXPECT_EQ(follower.views + follower.same, 0U) << length;
            EXPECT_EQ(follower.revision, 0U) << length;
            continue;
        }
        EXPECT_TRUE(run_until([&] { return follower.views == 1; }));
        EXPECT_EQ(follower.items.size(), 1U);
        close(source_end);
    }
    close(listener);
}

} // namespace
