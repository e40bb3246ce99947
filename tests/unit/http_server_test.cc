// Requests in flight, on loopback: a stop that waits for them cuts off no caller.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

extern "C" {
#include "common/http_server.h"
}

namespace {

constexpr std::chrono::seconds patience(60);
constexpr std::chrono::milliseconds pause(2);
constexpr std::chrono::seconds work(1); /**< What a slow answer takes. */
/** Far more than the kernel keeps for a connection, so that most of it waits in the server. */
constexpr size_t large_bytes = 12 * 1024 * 1024;
constexpr int stops = 300;
constexpr size_t portion_bytes = 64 * 1024;

class HttpServer : public testing::Test {
  protected:
    HttpServer() {
        start();
    }
    ~HttpServer() override {
        if (caller_ >= 0)
            close(caller_);
        stop();
    }
    void SetUp() override {
        ASSERT_NE(server_, nullptr);
    }

    void start() {
        http_server_options_t options = {};
        options.address = "127.0.0.1";
        options.threads = 2;
        options.connections_maximum = 10;
        options.body_maximum = 1024;
        options.idle_seconds = 300;
        server_ = http_server_start(&options, on_request, this, nullptr);
    }

    /** A connection with a small receive buffer; -1 if it is refused. */
    static int connected_socket(uint16_t port) {
        sockaddr_in address = {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        int bytes = portion_bytes;
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
        if (connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0)
            return descriptor;
        close(descriptor);
        return -1;
    }
    /** What a node does once it has no other work left. */
    void stop() {
        if (server_ == nullptr)
            return;
        http_server_quiesce(server_);
        http_server_stop(server_);
        server_ = nullptr;
    }
    void call(const std::string &path, const std::string &body = "") {
        if (caller_ < 0)
            caller_ = connected_socket(http_server_port(server_));
        ASSERT_GE(caller_, 0);
        std::string text = "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
        if (!body.empty())
            text = "POST " + path +
                   " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) +
                   "\r\n\r\n" + body;
        ASSERT_EQ(send(caller_, text.data(), text.size(), MSG_NOSIGNAL),
                  static_cast<ssize_t>(text.size()));
    }
    /** Bytes of the bodies, read in portions with a pause after each, until @p most or the end. */
    size_t read_slowly(size_t most) {
        std::string buffer(portion_bytes, '\0');
        size_t length = 0;
        while (length < most) {
            ssize_t count = recv(caller_, buffer.data(), buffer.size(), 0);
            if (count <= 0)
                break;
            for (ssize_t i = 0; i < count; i++)
                length += buffer[static_cast<size_t>(i)] == '#';
            std::this_thread::sleep_for(pause);
        }
        return length;
    }
    template <typename Condition> static bool wait_until(Condition condition) {
        auto end = std::chrono::steady_clock::now() + patience;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > end)
                return false;
            std::this_thread::sleep_for(pause);
        }
        return true;
    }
    bool wait_until_in_flight(unsigned count) {
        return wait_until([&] { return http_server_in_flight(server_) == count; });
    }
    /** The caller reads slowly while the server stops as soon as nothing is in flight. */
    size_t read_during_stop() {
        EXPECT_TRUE(wait_until([&] { return given_up_ == 1; }));
        EXPECT_EQ(http_server_in_flight(server_), 1U);
        std::thread stopping([this] {
            EXPECT_TRUE(wait_until_in_flight(0));
            stop();
        });
        size_t length = read_slowly(SIZE_MAX);
        stopping.join();
        return length;
    }

    http_server_t *server_ = nullptr;
    int caller_ = -1;
    std::atomic<int> given_up_{0};
    std::atomic<http_request_t *> kept_{nullptr};

  private:
    static void on_request(void *context, http_request_t *request) {
        auto *self = static_cast<HttpServer *>(context);
        std::string path = http_request_path(request);
        std::string body(path == "/small" ? 1 : large_bytes, '#');
        if (path == "/wait") {
            self->kept_ = request;
            return;
        }
        if (path == "/stream" || path == "/kept") {
            http_stream_start(request, "text/event-stream");
            http_stream_write(request, body.data(), body.size());
            if (path == "/kept") {
                self->kept_ = request;
                return;
            }
            http_stream_finish(request);
        } else {
            http_respond(request, 200, "text/plain", g_bytes_new(body.data(), body.size()), 0);
        }
        self->given_up_++;
    }
};

TEST_F(HttpServer, AStopWaitsForACallerThatReadsAResponseSlowly) {
    call("/response");
    EXPECT_EQ(read_during_stop(), large_bytes);
}

TEST_F(HttpServer, AStopWaitsForACallerThatReadsAStreamSlowly) {
    call("/stream");
    EXPECT_EQ(read_during_stop(), large_bytes);
}

TEST_F(HttpServer, ACallerThatLeavesBeforeTheEndIsNotInFlight) {
    for (const char *path : {"/response", "/stream"}) {
        call(path);
        EXPECT_GT(read_slowly(1), 0U);
        EXPECT_EQ(http_server_in_flight(server_), 1U) << path;
        close(caller_);
        caller_ = -1;
        EXPECT_TRUE(wait_until_in_flight(0)) << path;
    }
}

TEST_F(HttpServer, ARequestIsInFlightUntilItsOwnerHasGivenItUp) {
    call("/kept");
    EXPECT_GT(read_slowly(1), 0U);
    close(caller_);
    caller_ = -1;
    /* Writing tells the owner that the caller is gone; it still has to finish the stream. */
    EXPECT_TRUE(wait_until([&] { return !http_stream_write(kept_, "#", 1); }));
    EXPECT_EQ(http_server_in_flight(server_), 1U);
    http_stream_finish(kept_);
    EXPECT_TRUE(wait_until_in_flight(0));
}

TEST_F(HttpServer, EachRequestOfAKeptConnectionIsCountedOnce) {
    for (int i = 0; i < 3; i++) {
        call("/small");
        EXPECT_EQ(read_slowly(1), 1U);
        EXPECT_TRUE(wait_until_in_flight(0));
    }
    EXPECT_EQ(given_up_, 3);
}

TEST_F(HttpServer, AServerStopsRightAfterAnAnswer) {
    for (int i = 0; i < stops; i++) {
        if (server_ == nullptr)
            start();
        ASSERT_NE(server_, nullptr);
        call("/small");
        while (given_up_ <= i || http_server_in_flight(server_) > 0)
            std::this_thread::yield();
        stop();
        EXPECT_EQ(read_slowly(SIZE_MAX), 1U);
        close(caller_);
        caller_ = -1;
    }
}

TEST_F(HttpServer, OnlyOpenConnectionsGoOnOnceNoneAreAccepted) {
    call("/small");
    EXPECT_EQ(read_slowly(1), 1U);
    uint16_t port = http_server_port(server_);
    http_server_quiesce(server_);
    int other = connected_socket(port);
    EXPECT_EQ(other, -1);
    if (other >= 0)
        close(other);
    call("/small");
    EXPECT_EQ(read_slowly(1), 1U);
    EXPECT_TRUE(wait_until_in_flight(0));
    EXPECT_EQ(given_up_, 2);
}

// Guards against an answer that is lost as its caller has ended its side of the connection.
TEST_F(HttpServer, ACallerThatEndsItsSideAfterItsRequestGetsItsWholeAnswer) {
    struct {
        const char *path;
        size_t length;
        int times;
    } const answers[] = {
        {"/response", large_bytes, 1}, {"/stream", large_bytes, 1}, {"/small", 1, 100}};
    for (const auto &answer : answers) {
        for (int i = 0; i < 2 * answer.times; i++) {
            call(answer.path, i % 2 == 0 ? "" : "body");
            ASSERT_EQ(shutdown(caller_, SHUT_WR), 0);
            EXPECT_EQ(read_slowly(SIZE_MAX), answer.length) << answer.path << " " << i;
            close(caller_);
            caller_ = -1;
            EXPECT_TRUE(wait_until_in_flight(0)) << answer.path << " " << i;
        }
    }
}

TEST_F(HttpServer, ACallerThatHasEndedItsSideGetsAnAnswerThatTakesASecond) {
    const std::string body(large_bytes, '#');
    for (bool stream : {false, true}) {
        call("/wait");
        ASSERT_EQ(shutdown(caller_, SHUT_WR), 0);
        ASSERT_TRUE(wait_until([&] { return kept_ != nullptr; }));
        http_request_t *request = kept_.exchange(nullptr);
        std::this_thread::sleep_for(work);
        if (stream) {
            http_stream_start(request, "text/event-stream");
            EXPECT_TRUE(http_stream_write(request, "#", 1));
            EXPECT_EQ(read_slowly(1), 1U);
            std::this_thread::sleep_for(work);
            EXPECT_TRUE(http_stream_write(request, body.data(), body.size() - 1));
            http_stream_finish(request);
        } else {
            http_respond(request, 200, "text/plain", g_bytes_new(body.data(), body.size()), 0);
        }
        EXPECT_EQ(read_slowly(SIZE_MAX), stream ? large_bytes - 1 : large_bytes) << stream;
        close(caller_);
        caller_ = -1;
        EXPECT_TRUE(wait_until_in_flight(0)) << stream;
    }
}

} // namespace
