// Frames over loopback: large ones are neither copied nor leave buffers behind.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <vector>

extern "C" {
#include "net/frame_connection.h"
}

namespace {

constexpr uint64_t patience_ms = 5000;
constexpr size_t large = size_t{4} * 1024 * 1024;
constexpr unsigned many = 24;

/** One end, and what came there. */
struct End {
    frame_connection_t *connection = nullptr;
    bool open = false;
    std::vector<std::string> frames;
};

/** Connections and their loop live as long as their process: they are kept, not freed. */
struct World {
    uv_loop_t loop;
    sockaddr_in address{};
    frame_listener_t *listener = nullptr;
    std::vector<End *> accepted;
    std::vector<End *> opened;
};

void on_opened(void *owner, frame_connection_t *) {
    static_cast<End *>(owner)->open = true;
}

void on_frame(void *owner, frame_connection_t *, const uint8_t *data, size_t length) {
    static_cast<End *>(owner)->frames.emplace_back(reinterpret_cast<const char *>(data), length);
}

void on_accepted(void *owner, frame_connection_t *connection) {
    auto *end = new End;
    end->connection = connection;
    end->open = true;
    static_cast<World *>(owner)->accepted.push_back(end);
}

void on_accepted_frame(void *owner, frame_connection_t *connection, const uint8_t *data,
                       size_t length) {
    for (End *end : static_cast<World *>(owner)->accepted)
        if (end->connection == connection)
            on_frame(end, connection, data, length);
}

unsigned closed = 0;

void on_closed(void *, frame_connection_t *) {
    closed++;
}

const frame_handler_t opening = {on_opened, on_frame, on_closed};
const frame_handler_t accepting = {on_accepted, on_accepted_frame, on_closed};

class FrameConnection : public testing::Test {
  protected:
    FrameConnection() : world(*new_world()) {
        closed = 0;
        uv_loop_init(&world.loop);
        frame_loop_start(&world.loop);
        world.address.sin_family = AF_INET;
        world.address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        for (uint16_t port = 42400; world.listener == nullptr && port < 42500; port++) {
            world.address.sin_port = htons(port);
            world.listener = frame_listener_open(&world.loop, &world.address, &accepting, &world);
        }
    }
    static World *new_world() {
        static auto *worlds = new std::vector<World *>;
        worlds->push_back(new World);
        return worlds->back();
    }
    bool run_until(const std::function<bool()> &done) {
        uv_update_time(&world.loop);
        uint64_t until = uv_now(&world.loop) + patience_ms;
        while (!done() && uv_now(&world.loop) < until)
            uv_run(&world.loop, UV_RUN_NOWAIT);
        return done();
    }
    bool connect(unsigned count) {
        for (unsigned i = 0; i < count; i++) {
            auto *end = new End;
            end->connection = frame_connection_open(&world.loop, &world.address, &opening, end);
            world.opened.push_back(end);
        }
        return run_until([this, count] {
            size_t open = 0;
            for (const End *end : world.opened)
                open += end->open ? 1 : 0;
            return open == count && world.accepted.size() == count;
        });
    }
    bool all_got(size_t frames) {
        return run_until([this, frames] {
            for (const End *end : world.opened)
                if (end->frames.size() < frames)
                    return false;
            return true;
        });
    }
    World &world;
};

GBytes *text(const std::string &content) {
    return g_bytes_new(content.data(), content.size());
}

TEST_F(FrameConnection, SmallAndLargeFramesKeepTheirOrder) {
    ASSERT_TRUE(connect(1));
    frame_connection_t *connection = world.accepted[0]->connection;
    std::string content(large, 'x');
    frame_connection_send(connection, text("first"));
    frame_connection_send(connection, text(content));
    frame_connection_send(connection, text("second"));
    frame_connection_send(connection, text(content + "y"));
    frame_connection_send(connection, text(""));
    ASSERT_TRUE(all_got(5));
    const std::vector<std::string> &frames = world.opened[0]->frames;
    EXPECT_EQ(frames[0], "first");
    EXPECT_TRUE(frames[1] == content);
    EXPECT_EQ(frames[2], "second");
    EXPECT_TRUE(frames[3] == content + "y");
    EXPECT_EQ(frames[4], "");
    EXPECT_EQ(frame_connection_backlog(connection), 0U);
}

TEST_F(FrameConnection, OneLargePayloadForManyIsInMemoryOnce) {
    ASSERT_TRUE(connect(many));
    GBytes *payload = text(std::string(large, 'x'));
    size_t backlog = 0;
    size_t buffers = 0;
    for (const End *end : world.accepted)
        frame_connection_send(end->connection, g_bytes_ref(payload));
    for (const End *end : world.accepted) {
        backlog += frame_connection_backlog(end->connection);
        buffers += frame_connection_buffer_bytes(end->connection);
    }
    EXPECT_GE(backlog, many * large) << "all of it waits";
    EXPECT_LE(buffers, many * size_t{FRAME_BUFFER_KEPT_BYTES}) << "and no copy is held";
    g_bytes_unref(payload);
    EXPECT_TRUE(all_got(1));
}

// Each of 865 connections kept a buffer of the largest frame that had ever come over it.
TEST_F(FrameConnection, BuffersOfLargeFramesAreGivenBack) {
    ASSERT_TRUE(connect(many));
    for (const End *end : world.accepted)
        frame_connection_send(end->connection, text(std::string(large, 'x')));
    ASSERT_TRUE(all_got(1));
    for (const End *end : world.opened)
        EXPECT_LE(frame_connection_buffer_bytes(end->connection), size_t{FRAME_BUFFER_KEPT_BYTES});
}

// Guards against the loss of answers that a peer sent before it ended, when we write to it first.
TEST_F(FrameConnection, FramesThatCameBeforeAPeerEndedAreDeliveredThoughAWriteFails) {
    int peer = socket(AF_INET, SOCK_STREAM, 0);
    ASSERT_EQ(::connect(peer, reinterpret_cast<sockaddr *>(&world.address), sizeof world.address),
              0);
    ASSERT_TRUE(run_until([this] { return world.accepted.size() == 1; }));
    frame_connection_t *connection = world.accepted[0]->connection;
    frame_connection_send(connection, text("unread, so that the peer's end is a reset"));
    char byte;
    ASSERT_TRUE(run_until([&] { return recv(peer, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 1; }));
    const std::string frames("\0\0\0\5first\0\0\0\4last", 17);
    ASSERT_EQ(send(peer, frames.data(), frames.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(frames.size()));
    close(peer);
    frame_connection_send(connection, text("more"));
    EXPECT_TRUE(run_until([this] { return closed == 1; }));
    EXPECT_EQ(world.accepted[0]->frames, (std::vector<std::string>{"first", "last"}));
}

// Our nodes never end one side: an end of a peer's is that of its process.
TEST_F(FrameConnection, AConnectionEndsAsItsPeerEndsItsSide) {
    int peer = socket(AF_INET, SOCK_STREAM, 0);
    ASSERT_EQ(::connect(peer, reinterpret_cast<sockaddr *>(&world.address), sizeof world.address),
              0);
    ASSERT_TRUE(run_until([this] { return world.accepted.size() == 1; }));
    const std::string frames("\0\0\0\5first\0\0\0\4last", 17);
    ASSERT_EQ(send(peer, frames.data(), frames.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(frames.size()));
    ASSERT_EQ(shutdown(peer, SHUT_WR), 0);
    EXPECT_TRUE(run_until([this] { return closed == 1; }));
    EXPECT_EQ(world.accepted[0]->frames, (std::vector<std::string>{"first", "last"}));
    char byte;
    EXPECT_TRUE(run_until([&] { return recv(peer, &byte, 1, MSG_DONTWAIT) == 0; }));
    close(peer);
}

// Guards against a cut frame taken for a whole one, which a relay would pass on.
TEST_F(FrameConnection, AFrameThatIsCutAtAnyByteIsNotDelivered) {
    const std::string frames("\0\0\0\5first\0\0\0\4last", 17);
    constexpr size_t first_ends = 9;
    for (size_t length = 0; length < 2 * frames.size(); length++) {
        size_t sent = length / 2;
        int peer = socket(AF_INET, SOCK_STREAM, 0);
        ASSERT_EQ(
            ::connect(peer, reinterpret_cast<sockaddr *>(&world.address), sizeof world.address), 0);
        ASSERT_TRUE(run_until([&] { return world.accepted.size() == length + 1; }));
        ASSERT_EQ(send(peer, frames.data(), sent, MSG_NOSIGNAL), static_cast<ssize_t>(sent));
        const linger now = {length % 2 == 0 ? 1 : 0, 0}; // A reset, then a close.
        setsockopt(peer, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close(peer);
        ASSERT_TRUE(run_until([&] { return closed == length + 1; }));
        const std::vector<std::string> &got = world.accepted.back()->frames;
        EXPECT_LE(got.size(), sent >= first_ends ? 1U : 0U) << sent;
        for (const std::string &frame : got)
            EXPECT_EQ(frame, "first") << sent;
    }
}

} // namespace
