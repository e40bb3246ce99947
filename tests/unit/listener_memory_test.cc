// What connections of callers hold together, on loopback, and who gives way when it is too much.
#include <gtest/gtest.h>

#include <unistd.h>

#include <csignal>
#include <functional>
#include <string>
#include <vector>

#include "http_test_caller.h"
#include "loopback_port.h"

extern "C" {
#include "common/memory_account.h"
#include "net/http_listener.h"
}

namespace {

constexpr uint64_t patience_ms = 60000;
constexpr size_t limit_bytes = 400000;
constexpr size_t body_bytes = 200000; /**< Of the limit, 300,000 are for large requests. */
constexpr size_t most_at_rest = 4096;
constexpr size_t text_begin = 10000; /**< Then a request has the larger receive buffer. */
constexpr uint64_t stalled_ms = 600; /**< Then a request that has stopped to arrive gives way. */

TEST(MemoryAccount, KeepsAPartForSmallHolders) {
    memory_account_t account = {};
    account.limit = 800000;
    EXPECT_TRUE(memory_account_take(&account, 600000, 600000));
    EXPECT_FALSE(memory_account_take(&account, 1, 600001));
    EXPECT_TRUE(memory_account_take(&account, 50000, MEMORY_MEDIUM_BYTES));
    EXPECT_TRUE(memory_account_take(&account, 50000, MEMORY_MEDIUM_BYTES));
    EXPECT_FALSE(memory_account_take(&account, 1, MEMORY_MEDIUM_BYTES));
    for (unsigned i = 0; i < 25; i++)
        EXPECT_TRUE(memory_account_take(&account, 4000, MEMORY_SMALL_BYTES)) << i;
    EXPECT_FALSE(memory_account_take(&account, 1, 1));
    EXPECT_EQ(account.refused, 3U);
    memory_account_release(&account, 4000);
    EXPECT_TRUE(memory_account_take(&account, 4000, 4000));
}

TEST(MemoryAccount, AsksCachesToGiveWay) {
    memory_account_t account = {};
    account.limit = 800000;
    account.owner = &account;
    account.reclaim = [](void *owner, size_t bytes) {
        memory_account_release(static_cast<memory_account_t *>(owner), bytes);
    };
    memory_account_add(&account, 800000);
    EXPECT_TRUE(memory_account_take(&account, 100000, 100000));
    EXPECT_EQ(account.held, 600000U);
}

TEST(MemoryAccount, CountsBytesUntilTheirLastReferenceIsGone) {
    memory_account_t account = {};
    account.limit = 1000;
    memory_account_add(&account, 5);
    GBytes *bytes = memory_account_wrap_string(&account, g_string_new("12345"));
    GBytes *copy = memory_account_wrap_bytes(&account, bytes);
    EXPECT_EQ(account.held, 10U);
    EXPECT_EQ(account.peak, 10U);
    g_bytes_unref(bytes);
    EXPECT_EQ(account.held, 10U) << "the copy refers to it";
    g_bytes_unref(copy);
    EXPECT_EQ(account.held, 0U);
}

class ListenerMemory : public testing::Test {
  protected:
    ListenerMemory() {
        signal(SIGPIPE, SIG_IGN); /* As the programs do. */
        account.limit = limit_bytes;
        uv_loop_init(&loop);
        /* Another process may take a port between its choice and its use. */
        for (unsigned i = 0; listener == nullptr && i < 10; i++) {
            address = Port(Port::REFUSES).address;
            listener = http_listener_open(&loop, &address, &limits, &handler, this);
        }
        http_listener_set_account(listener, &account);
    }
    ~ListenerMemory() override {
        static auto *listeners = new std::vector<http_listener_t *>;
        listeners->push_back(listener);
        http_listener_stop(listener);
        limits.idle_timeout_ms = 0;
        http_listener_set_limits(listener, &limits);
        for (http_caller_t *caller : waiting)
            http_caller_abort(caller);
        uv_run(&loop, UV_RUN_DEFAULT);
        EXPECT_EQ(account.held, 0U) << "all is given back";
        EXPECT_EQ(uv_loop_close(&loop), 0);
    }
    bool run_until(const std::function<bool()> &done, uint64_t most_ms = patience_ms) {
        uint64_t until = uv_hrtime() / 1000000 + most_ms;
        while (!done() && uv_hrtime() / 1000000 < until) {
            uv_run(&loop, UV_RUN_NOWAIT);
            usleep(1000);
        }
        return done();
    }
    /** Sends @p bytes while the listener reads them. */
    void send_all(const Caller &caller, const std::string &bytes) {
        for (size_t at = 0; at < bytes.size(); at += portion) {
            caller.send_bytes(bytes.substr(at, portion));
            run_until([] { return false; }, 2);
        }
    }
    bool is_refused(Caller &caller, const std::string &status) {
        return run_until([&] {
            caller.read_some();
            return caller.received.rfind("HTTP/1.1 " + status, 0) == 0;
        });
    }
    static std::string head(size_t length) {
        return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) +
               "\r\n\r\n";
    }
    static std::string chunk(const std::string &data) {
        char size[32];
        snprintf(size, sizeof size, "%zx\r\n", data.size());
        return size + data + "\r\n";
    }

    static constexpr size_t portion = 20000;
    const std::string chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string body = std::string(body_bytes, 'b');
    uv_loop_t loop{};
    sockaddr_in address{};
    http_limits_t limits = {16384, body_bytes, 30000, 30000};
    memory_account_t account = {};
    http_listener_t *listener = nullptr;
    std::vector<std::string> bodies;
    std::vector<http_caller_t *> waiting;
    bool hold = false;

  private:
    static void on_request(void *owner, http_caller_t *caller, const http_request_t *request) {
        auto *test = static_cast<ListenerMemory *>(owner);
        test->bodies.emplace_back(request->body, request->body_length);
        if (test->hold)
            test->waiting.push_back(caller);
        else
            http_caller_answer(caller, 200, nullptr, nullptr, 0);
    }
    static void on_gone(void *, http_caller_t *) {
    }
    static const http_listener_handler_t handler;
};

const http_listener_handler_t ListenerMemory::handler = {on_request, on_gone, nullptr, nullptr};

// Guards against bodies without end that have a bound each and none together.
TEST_F(ListenerMemory, ABodyThatHasStoppedToArriveGivesWay) {
    Caller stalled(address);
    Caller other(address);
    send_all(stalled, chunked + chunk(body));
    EXPECT_TRUE(run_until([this] { return account.held > body_bytes; }));
    run_until([] { return false; }, stalled_ms);
    send_all(other, head(body.size()) + body);
    EXPECT_TRUE(run_until([this] { return bodies.size() == 1; }));
    EXPECT_EQ(bodies.at(0), body);
    EXPECT_TRUE(is_refused(stalled, "503"));
    EXPECT_NE(stalled.received.find("Retry-After: "), std::string::npos);
    EXPECT_LE(account.peak, limit_bytes);
}

TEST_F(ListenerMemory, ARequestThatDoesNotFitIsRefusedAtOnceWhileOthersMoveOn) {
    Caller first(address);
    Caller second(address);
    send_all(first, head(body.size()) + body.substr(1));
    second.send_bytes(head(body.size()));
    EXPECT_TRUE(is_refused(second, "503")) << "nothing of its body has been sent";
    first.send_bytes("b");
    EXPECT_TRUE(run_until([this] { return bodies.size() == 1; }));
    EXPECT_EQ(bodies.at(0), body);
}

TEST_F(ListenerMemory, SmallRequestsAreServedBesideLargeOnes) {
    hold = true;
    Caller large(address);
    send_all(large, head(body.size()) + body);
    ASSERT_TRUE(run_until([this] { return waiting.size() == 1; }));
    hold = false;
    Caller refused(address);
    refused.send_bytes(head(body.size()));
    EXPECT_TRUE(is_refused(refused, "503"));
    Caller small(address);
    small.send_bytes(head(3) + "abc");
    EXPECT_TRUE(run_until([this] { return bodies.size() == 2; }));
    EXPECT_EQ(bodies.at(1), "abc");
}

// Guards against a larger receive buffer that makes a medium request count as a large one.
TEST_F(ListenerMemory, MediumRequestsAreServedWhileLargeOnesUseUpTheirPart) {
    constexpr size_t larges = limit_bytes * 3 / 5;
    Caller medium(address);
    const std::string text(30000, 'm');
    medium.send_bytes(head(text.size()) + text.substr(0, 10000));
    ASSERT_TRUE(run_until([this] { return account.held > text_begin; }));
    memory_account_add(&account, larges);
    medium.send_bytes(text.substr(10000));
    EXPECT_TRUE(run_until([this] { return bodies.size() == 1; }));
    memory_account_release(&account, larges);
}

// Guards against connections that keep the body of their last request.
TEST_F(ListenerMemory, AConnectionThatRestsHoldsLittle) {
    Caller caller(address);
    for (size_t i = 1; i <= 3; i++) {
        send_all(caller, head(body.size()) + body);
        EXPECT_TRUE(run_until([&] { return bodies.size() == i; }));
        EXPECT_LE(account.held, most_at_rest);
    }
}

// Guards against connections that keep a refused body while they linger.
TEST_F(ListenerMemory, ABodyThatIsTooLargeIsFreedWithItsRefusal) {
    Caller caller(address);
    send_all(caller, chunked + chunk(body.substr(1)));
    EXPECT_TRUE(run_until([this] { return account.held >= body_bytes - 1; }));
    caller.send_bytes(chunk("two"));
    EXPECT_TRUE(is_refused(caller, "413"));
    EXPECT_LE(account.held, most_at_rest);
}

// Guards against requests sent ahead that outgrow the account: the first one is answered whole.
TEST_F(ListenerMemory, WhatIsSentAheadIsDroppedIfItDoesNotFit) {
    hold = true;
    Caller caller(address);
    caller.send_bytes(head(0));
    ASSERT_TRUE(run_until([this] { return waiting.size() == 1; }));
    memory_account_add(&account, limit_bytes);
    send_all(caller, head(body.size()) + body);
    EXPECT_LE(account.held, limit_bytes + most_at_rest);
    http_caller_answer(waiting.at(0), 200, nullptr, "answer", 6);
    waiting.clear();
    memory_account_release(&account, limit_bytes);
    EXPECT_TRUE(run_until([&] {
        caller.read_some();
        return caller.answers(6) == 1;
    }));
    EXPECT_NE(caller.received.find("Connection: close"), std::string::npos);
    EXPECT_EQ(bodies.size(), 1U);
}

} // namespace
