// Connections to servers: when an answer that has no length is whole.
#include <gtest/gtest.h>

#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <string>
#include <thread>

#include "answer_forms.h"
#include "cut_server.h"
#include "upload_server.h"

extern "C" {
#include "net/answer_limits.h"
#include "net/http_client.h"
}

namespace {

struct Outcome {
    bool complete = false;
    bool failed = false;
    http_failure_t failure = HTTP_FAILURE_NOT_SENT;
    std::string body;
    http_client_t *client = nullptr;
    bool ended_by_close = false;
};

const http_exchange_handler_t handler = {
    [](void *, const http_answer_head_t *) { return true; },
    [](void *user, const char *data, size_t length) {
        static_cast<Outcome *>(user)->body.append(data, length);
    },
    [](void *user) {
        auto *outcome = static_cast<Outcome *>(user);
        outcome->complete = true;
        outcome->ended_by_close = http_client_answer_ended_by_close(outcome->client);
        http_client_close(outcome->client);
    },
    [](void *user, http_failure_t failure) {
        static_cast<Outcome *>(user)->failed = true;
        static_cast<Outcome *>(user)->failure = failure;
    },
};

Outcome exchange(const std::string &answer, Ending ending) {
    uv_loop_t loop;
    uv_loop_init(&loop);
    Outcome outcome;
    {
        Server server(answer, ending);
        outcome.client = http_client_open(&loop, &server.address, nullptr, nullptr);
        GString *request = g_string_new("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        http_client_send(outcome.client, request, false, &handler, &outcome);
        uv_run(&loop, UV_RUN_DEFAULT);
    }
    uv_loop_close(&loop);
    return outcome;
}

const std::string head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

TEST(HttpClient, AnAnswerWithoutALengthEndsWithItsConnection) {
    Outcome outcome = exchange(head + "all of it", Ending::clean);
    EXPECT_TRUE(outcome.complete);
    EXPECT_EQ(outcome.body, "all of it");
}

// Guards against a stream that its back end closed before its first event, passed on as whole.
TEST(HttpClient, OnlyAnAnswerWithoutALengthIsEndedByAClose) {
    EXPECT_TRUE(exchange(head, Ending::clean).ended_by_close);
    EXPECT_TRUE(exchange(head + "all of it", Ending::clean).ended_by_close);
    for (const char *whole : {"Content-Length: 0\r\n\r\n", "Content-Length: 2\r\n\r\nok",
                              "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"}) {
        Outcome outcome = exchange(std::string("HTTP/1.1 200 OK\r\nConnection: close\r\n") + whole,
                                   Ending::clean);
        EXPECT_TRUE(outcome.complete);
        EXPECT_FALSE(outcome.ended_by_close) << whole;
    }
}

// libuv reports the reset of a connection whose bytes it has just read as an end.
TEST(HttpClient, AResetLeavesAnAnswerWithoutALengthIncomplete) {
    for (int i = 0; i < 50; i++) {
        Outcome outcome = exchange(head + "a part of it", Ending::reset);
        EXPECT_FALSE(outcome.complete);
        EXPECT_TRUE(outcome.failed);
        EXPECT_NE(outcome.failure, HTTP_FAILURE_NOT_SENT);
    }
}

TEST(HttpClient, AnAnswerCutBeforeItsLengthIsBroken) {
    Outcome outcome =
        exchange("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\na part of it", Ending::clean);
    EXPECT_FALSE(outcome.complete);
    EXPECT_EQ(outcome.failure, HTTP_FAILURE_BROKEN);
}

// Guards against interim heads without end, whose parsing kept a process busy until a time-out.
TEST(HttpClient, InterimHeadsWithoutEndAreNoAnswer) {
    std::string heads;
    while (heads.size() <= 2 * ANSWER_HEAD_MAX_BYTES)
        heads += "HTTP/1.1 100 Continue\r\n\r\n";
    Outcome outcome =
        exchange(heads + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", Ending::clean);
    EXPECT_FALSE(outcome.complete);
    EXPECT_EQ(outcome.failure, HTTP_FAILURE_TOO_LONG);
}

TEST(HttpClient, AFewInterimHeadsPrecedeAnAnswer) {
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    Outcome outcome = exchange(interim + interim + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                               Ending::clean);
    EXPECT_TRUE(outcome.complete);
    EXPECT_EQ(outcome.body, "ok");
}

// Guards against malformed heads that were passed on: a status of 000, blanks in names, unknown
// codings.
TEST(HttpClient, RefusesMalformedAnswers) {
    for (const AnswerForm &form : malformed_answers("the body"))
        for (Ending ending : {Ending::clean, Ending::reset}) {
            Outcome outcome = exchange(form.bytes, ending);
            EXPECT_FALSE(outcome.complete) << form.name;
            EXPECT_TRUE(outcome.failed) << form.name;
        }
}

TEST(HttpClient, TakesOddAnswers) {
    for (const AnswerForm &form : odd_answers("the body")) {
        Outcome outcome = exchange(form.bytes, Ending::clean);
        EXPECT_TRUE(outcome.complete) << form.name;
        EXPECT_EQ(outcome.body, "the body") << form.name;
    }
}

// Guards against a client whose handle was closed though it had not been opened, which damaged the
// heap of a process without a free descriptor.
TEST(HttpClient, IsNotOpenedWithoutADescriptor) {
    uv_loop_t loop;
    uv_loop_init(&loop);
    uv_timer_t before;
    uv_timer_t after;
    uv_timer_init(&loop, &before);
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    const rlimit none = {0, limit.rlim_max};
    setrlimit(RLIMIT_NOFILE, &none);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(http_client_open(&loop, &address, nullptr, nullptr), nullptr);
    setrlimit(RLIMIT_NOFILE, &limit);
    uv_timer_init(&loop, &after);
    uv_run(&loop, UV_RUN_NOWAIT);
    unsigned handles = 0;
    uv_walk(
        &loop, [](uv_handle_t *, void *count) { ++*static_cast<unsigned *>(count); }, &handles);
    EXPECT_EQ(handles, 2u);
    uv_close(reinterpret_cast<uv_handle_t *>(&before), nullptr);
    uv_close(reinterpret_cast<uv_handle_t *>(&after), nullptr);
    uv_run(&loop, UV_RUN_DEFAULT);
    EXPECT_EQ(uv_loop_close(&loop), 0);
}

Outcome upload(size_t read_bytes, const std::string &answer, UploadEnd end) {
    signal(SIGPIPE, SIG_IGN);
    uv_loop_t loop;
    uv_loop_init(&loop);
    Outcome outcome;
    {
        UploadServer server(read_bytes, answer, end);
        outcome.client = http_client_open(&loop, &server.address, nullptr, nullptr);
        GString *request = g_string_new("POST / HTTP/1.1\r\nHost: h\r\n");
        g_string_append_printf(request, "Content-Length: %zu\r\n\r\n", upload_bytes);
        g_string_append(request, std::string(upload_bytes, 'u').c_str());
        http_client_send(outcome.client, request, false, &handler, &outcome);
        uv_run(&loop, UV_RUN_DEFAULT);
    }
    uv_loop_close(&loop);
    return outcome;
}

// Guards against a part of an answer that passed as whole: the kernel reports a reset once, and the
// write of the request had taken the report.
TEST(HttpClient, AResetWhileTheRequestIsWrittenLeavesAnAnswerWithoutALengthIncomplete) {
    const std::string unframed = "HTTP/1.1 200 OK\r\n\r\npart of it";
    for (const auto &answer : {head + "part of it", unframed})
        for (size_t read_bytes : {0, 100, 1000000, 4000000})
            for (UploadEnd end : {UploadEnd::reset, UploadEnd::late_reset, UploadEnd::close})
                for (int i = 0; i < 10; i++) {
                    Outcome outcome = upload(read_bytes, answer, end);
                    EXPECT_FALSE(outcome.complete) << read_bytes;
                    EXPECT_TRUE(outcome.failed) << read_bytes;
                }
}

TEST(HttpClient, ACleanEndWhileTheRequestIsWrittenEndsAnAnswerWithoutALength) {
    for (size_t read_bytes : {100, 1000000})
        for (int i = 0; i < 10; i++) {
            Outcome outcome = upload(read_bytes, head + "all of it", UploadEnd::half_close);
            EXPECT_TRUE(outcome.complete) << read_bytes;
            EXPECT_EQ(outcome.body, "all of it");
        }
}

class HttpClientCut : public testing::TestWithParam<std::tuple<Framing, Ending>> {};

// Guards against a cut answer that counts as whole; without a length a clean close is an end.
TEST_P(HttpClientCut, AnAnswerThatIsCutAtAnyByteIsNotWhole) {
    const std::string body = "all of it";
    const auto [framing, ending] = GetParam();
    const std::string answer =
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + framed_answer(framing, body);
    bool ends_with_connection = framing == Framing::none && ending == Ending::clean;
    size_t whole_from = answer.size() - (ends_with_connection ? body.size() : 0);
    for (size_t length = 0; length < answer.size(); length++) {
        Outcome outcome = exchange(answer.substr(0, length), ending);
        EXPECT_EQ(outcome.complete, length >= whole_from) << length;
        EXPECT_NE(outcome.complete, outcome.failed) << length;
        EXPECT_EQ(outcome.ended_by_close, outcome.complete) << length;
    }
}

INSTANTIATE_TEST_SUITE_P(Forms, HttpClientCut,
                         testing::Combine(testing::Values(Framing::length, Framing::chunks,
                                                          Framing::none),
                                          testing::Values(Ending::clean, Ending::reset)));

/** Begins its answer, reads nothing for a while, then reads the whole request and goes on. */
class LateReader {
  public:
    LateReader(size_t request_bytes, unsigned rest_s)
        : listening_(socket(AF_INET, SOCK_STREAM, 0)) {
        int receive_bytes = 16384;
        socklen_t length = sizeof address;
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        setsockopt(listening_, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
        EXPECT_EQ(bind(listening_, reinterpret_cast<sockaddr *>(&address), length), 0);
        EXPECT_EQ(listen(listening_, 1), 0);
        getsockname(listening_, reinterpret_cast<sockaddr *>(&address), &length);
        thread_ = std::thread([this, request_bytes, rest_s] { serve(request_bytes, rest_s); });
    }
    ~LateReader() {
        thread_.join();
        close(listening_);
    }
    LateReader(const LateReader &) = delete;
    LateReader &operator=(const LateReader &) = delete;

    sockaddr_in address{};

  private:
    void serve(size_t request_bytes, unsigned rest_s) const {
        char buffer[4096];
        int connection = accept(listening_, nullptr, nullptr);
        send_text(connection, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nan");
        sleep(rest_s);
        size_t left = request_bytes;
        ssize_t count = 1;
        while (left > 0 && count > 0) {
            count = recv(connection, buffer, std::min(left, sizeof buffer), 0);
            left -= count > 0 ? static_cast<size_t>(count) : 0;
        }
        send_text(connection, "sw");
        close(connection);
    }
    static void send_text(int connection, const std::string &text) {
        send(connection, text.data(), text.size(), MSG_NOSIGNAL);
    }
    int listening_;
    std::thread thread_;
};

// Guards against the end of an answer whose server, though there, reads no more for 2 s.
TEST(HttpClient, AServerThatRestsBeforeItReadsOnIsNotLost) {
    const std::string text =
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + std::string(100000, 'x');
    uv_loop_t loop;
    uv_loop_init(&loop);
    Outcome outcome;
    {
        LateReader server(text.size(), 3);
        http_client_t *client = http_client_open(&loop, &server.address, nullptr, nullptr);
        http_client_send(client, g_string_new_len(text.data(), static_cast<gssize>(text.size())),
                         false, &handler, &outcome);
        uv_run(&loop, UV_RUN_DEFAULT);
    }
    uv_loop_close(&loop);
    EXPECT_TRUE(outcome.complete);
    EXPECT_EQ(outcome.body, "answ");
}

} // namespace
