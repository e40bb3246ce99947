// Requests in the less usual forms of RFC 9110 and 9112: what callers and back ends get.
#include <gtest/gtest.h>

#include <fcntl.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http_test_caller.h"
#include "loopback_port.h"

extern "C" {
#include "gateway/call.h"
}

namespace {

constexpr uint64_t patience_ms = 20000;
constexpr uint32_t header_bytes = 16384;
constexpr uint32_t body_bytes = 65536;
constexpr uint32_t header_timeout_ms = 20000;
constexpr uint32_t idle_timeout_ms = 20000;
constexpr uint32_t close_after_ms = 10; /**< Ends what is left of the connections. */
const std::string usual = "GET /usual HTTP/1.1\r\nHost: h\r\n\r\n";

/** What Java's HttpClient sends with its first request on a plain connection. */
const std::string offer = "Connection: Upgrade, HTTP2-Settings\r\nHost: h\r\nHTTP2-Settings: "
                          "AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA\r\nUpgrade: h2c\r\n";

struct Delivered {
    std::string method;
    std::string target;
    std::string host;
    std::string body;
    std::string forwarded; /**< As a back end gets it. */
};

/** Status codes of the answers that have come, none of which has a body. */
std::vector<std::string> statuses_of(const Caller &caller) {
    std::vector<std::string> codes;
    size_t begin = 0;
    size_t end = 0;
    while ((end = caller.received.find("\r\n\r\n", begin)) != std::string::npos) {
        codes.push_back(caller.received.substr(begin + strlen("HTTP/1.1 "), 3));
        begin = end + 4;
    }
    return codes;
}

using Statuses = std::vector<std::string>;

class HttpRequestForms : public testing::Test {
  protected:
    HttpRequestForms() {
        uv_loop_init(&loop);
        /* Another process may take a port between its choice and its use. */
        for (unsigned i = 0; listener == nullptr && i < 10; i++) {
            address = Port(Port::REFUSES).address;
            listener = http_listener_open(&loop, &address, &limits, &handler, this);
        }
        EXPECT_NE(listener, nullptr);
    }
    /** A listener that has listened is never freed. */
    ~HttpRequestForms() override {
        static auto *listeners = new std::vector<http_listener_t *>;
        listeners->push_back(listener);
        caller.reset();
        http_listener_stop(listener);
        limits.idle_timeout_ms = close_after_ms;
        http_listener_set_limits(listener, &limits);
        uv_run(&loop, UV_RUN_DEFAULT);
        EXPECT_EQ(http_listener_connections(listener), 0U);
        EXPECT_EQ(uv_loop_close(&loop), 0);
    }
    bool run_until(const std::function<bool()> &done) {
        uint64_t until = uv_hrtime() / 1000000 + patience_ms;
        while (!done() && uv_hrtime() / 1000000 < until) {
            uv_run(&loop, UV_RUN_NOWAIT);
            usleep(100);
        }
        return done();
    }
    /** Statuses that a new connection gets for @p parts, each of which is read by itself. */
    Statuses ask(const std::vector<std::string> &parts, size_t answers) {
        constexpr unsigned turns = 3;
        delivered.clear();
        caller = std::make_unique<Caller>(address);
        for (const std::string &part : parts) {
            caller->send_bytes(part);
            for (unsigned i = 0; i < turns; i++)
                uv_run(&loop, UV_RUN_NOWAIT);
        }
        run_until([&] {
            caller->read_some();
            return caller->ending != Ending::open || statuses_of(*caller).size() >= answers;
        });
        return statuses_of(*caller);
    }
    Statuses ask(const std::string &bytes, size_t answers = 1) {
        return ask(std::vector<std::string>{bytes}, answers);
    }
    /** One byte at a time. */
    Statuses ask_slowly(const std::string &bytes, size_t answers = 1) {
        std::vector<std::string> parts;
        for (char byte : bytes)
            parts.emplace_back(1, byte);
        return ask(parts, answers);
    }

    uv_loop_t loop{};
    sockaddr_in address{};
    http_limits_t limits = {header_bytes, body_bytes, header_timeout_ms, idle_timeout_ms};
    http_listener_t *listener = nullptr;
    std::unique_ptr<Caller> caller;
    std::vector<Delivered> delivered;

  private:
    static std::string to_string(GBytes *bytes) {
        gsize length = 0;
        const char *data = static_cast<const char *>(g_bytes_get_data(bytes, &length));
        return {data, length};
    }
    std::string forwarded(const http_request_t *request) {
        gateway_t gateway = {};
        gateway.loop = &loop;
        directory_configuration_t configuration = {};
        backend_record_t record = {};
        char instance[] = "i-1";
        record.instance = instance;
        backend_t backend = {};
        backend.record = &record;
        call_t call = {};
        call.gateway = &gateway;
        call.configuration = &configuration;
        call.backend = &backend;
        call.request = request;
        call.prompt = g_ptr_array_new();
        GString *head = call_build_head(&call);
        GPtrArray *body = call_build_body(&call);
        std::string text(head->str, head->len);
        for (guint i = 0; body != nullptr && i < body->len; i++)
            text += to_string(static_cast<GBytes *>(g_ptr_array_index(body, i)));
        g_string_free(head, TRUE);
        g_clear_pointer(&body, g_ptr_array_unref);
        g_ptr_array_unref(call.prompt);
        return text;
    }
    static void on_request(void *owner, http_caller_t *caller, const http_request_t *request) {
        auto *test = static_cast<HttpRequestForms *>(owner);
        const char *host = http_headers_find(request->headers, "Host");
        test->delivered.push_back({request->method, request->target, host == nullptr ? "-" : host,
                                   std::string(request->body, request->body_length),
                                   test->forwarded(request)});
        http_caller_answer(caller, 200, nullptr, nullptr, 0);
    }
    static void on_gone(void *, http_caller_t *) {
    }
    static const http_listener_handler_t handler;
};

const http_listener_handler_t HttpRequestForms::handler = {on_request, on_gone, nullptr, nullptr};

/** How often a field stands in the head of @p request. */
size_t count_field(const std::string &request, const std::string &name) {
    size_t count = 0;
    size_t end = request.find("\r\n\r\n");
    for (size_t at = request.find("\r\n"); at < end; at = request.find("\r\n", at + 2))
        count += strncasecmp(request.c_str() + at + 2, (name + ":").c_str(), name.size() + 1) == 0;
    return count;
}

struct AbsoluteTarget {
    std::string sent;
    std::string target;
    std::string host;
};

const AbsoluteTarget absolute_targets[] = {
    {"http://other/p/x", "/p/x", "other"},
    {"http://other:8080/p/x?q=1&r=%20/", "/p/x?q=1&r=%20/", "other:8080"},
    {"http://other", "/", "other"},
    {"http://other/", "/", "other"},
    {"http://other?q=http://h/", "/?q=http://h/", "other"},
    {"http://other//p/../x", "//p/../x", "other"},
    {"HTTP://Other.Example/p", "/p", "Other.Example"},
    {"http://127.0.0.1:80/p", "/p", "127.0.0.1:80"},
    {"http://[::1]:80/p", "/p", "[::1]:80"},
    {"http://other/p@q:x", "/p@q:x", "other"},
};

// Guards against 404 for a target that names its host.
TEST_F(HttpRequestForms, AnAbsoluteTargetNamesItsHostAndPath) {
    for (const AbsoluteTarget &row : absolute_targets) {
        std::string line = "POST " + row.sent + " HTTP/1.1\r\n";
        EXPECT_EQ(
            ask(line + "X-A: a\r\nHost: h\r\nX-B: b\r\nContent-Length: 2\r\n\r\nok" + usual, 2),
            Statuses({"200", "200"}))
            << row.sent;
        ASSERT_EQ(delivered.size(), 2U) << row.sent;
        EXPECT_EQ(delivered[0].target, row.target) << row.sent;
        EXPECT_EQ(delivered[0].host, row.host) << row.sent;
        EXPECT_EQ(delivered[0].body, "ok") << row.sent;
        const std::string &request = delivered[0].forwarded;
        std::string origin = "POST " + row.target + " HTTP/1.1\r\n";
        EXPECT_EQ(request.compare(0, origin.size(), origin), 0) << request;
        EXPECT_EQ(count_field(request, "Host"), 1U) << request;
        EXPECT_NE(request.find("Host: " + row.host + "\r\n"), std::string::npos) << request;
        EXPECT_NE(request.find("X-A: a\r\n"), std::string::npos) << request;
        EXPECT_NE(request.find("X-B: b\r\n"), std::string::npos) << request;
        EXPECT_EQ(delivered[1].target, "/usual") << "the next request is as it was sent";
        EXPECT_EQ(delivered[1].host, "h");
    }
}

TEST_F(HttpRequestForms, AnAbsoluteTargetMayComeByteByByte) {
    EXPECT_EQ(ask_slowly("GET http://other/p?q HTTP/1.1\r\nHost: h\r\n\r\n"), Statuses({"200"}));
    ASSERT_EQ(delivered.size(), 1U);
    EXPECT_EQ(delivered[0].target, "/p?q");
    EXPECT_EQ(delivered[0].host, "other");
}

TEST_F(HttpRequestForms, AnAbsoluteTargetOfAnOldCallerNeedsNoHost) {
    EXPECT_EQ(ask("GET http://other/p HTTP/1.0\r\n\r\n"), Statuses({"200"}));
    ASSERT_EQ(delivered.size(), 1U);
    EXPECT_EQ(delivered[0].target, "/p");
    EXPECT_EQ(delivered[0].host, "other");
    EXPECT_EQ(count_field(delivered[0].forwarded, "Host"), 1U);
    ask("GET http://other/p HTTP/1.1\r\nX-A: a\r\n\r\n");
    EXPECT_EQ(statuses_of(*caller), Statuses({"400"})) << "RFC 9112, 3.2";
}

TEST_F(HttpRequestForms, AMalformedAbsoluteTargetIsRefused) {
    const char *const targets[] = {
        "http://",          "http:///p",        "http://:80/p",         "http://?q",
        "http://a@other/p", "http://other:x/p", "http://other:99999/p", "http://[::1/p",
        "http://[::1]x/p",  "http://[]/p",      "http://other/p#part",  "http://other:0:1/",
        "http:/other/p",    "http:other/p",
    };
    for (const char *target : targets) {
        std::string bytes = "POST " + std::string(target) +
                            " HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: "
                            "2\r\n\r\n";
        EXPECT_EQ(ask(bytes), Statuses({"400"})) << target;
        EXPECT_TRUE(delivered.empty()) << target;
    }
}

// Guards against a change of what the forms get that name no resource here.
TEST_F(HttpRequestForms, OtherFormsOfTheTargetStayAsTheyAreSent) {
    for (const char *target : {"*", "https://other/p", "/http://other/p", "/p#part"}) {
        std::string method = strcmp(target, "*") == 0 ? "OPTIONS " : "GET ";
        EXPECT_EQ(ask(method + target + " HTTP/1.1\r\nHost: h\r\n\r\n"), Statuses({"200"}));
        ASSERT_EQ(delivered.size(), 1U) << target;
        EXPECT_EQ(delivered[0].target, target);
        EXPECT_EQ(delivered[0].host, "h") << target;
    }
    EXPECT_EQ(ask("CONNECT other:80 HTTP/1.1\r\nHost: other:80\r\n\r\n" + usual),
              Statuses({"400"}));
    EXPECT_TRUE(delivered.empty());
}

// Guards against 400 for callers that offer another protocol, which a server may ignore.
TEST_F(HttpRequestForms, AnOfferedUpgradeIsIgnored) {
    const std::string get = "GET /p HTTP/1.1\r\n" + offer + "\r\n";
    const std::string post = "POST /p HTTP/1.1\r\n" + offer + "Content-Length: 2\r\n\r\n";
    const std::string chunked =
        "POST /p HTTP/1.1\r\n" + offer + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string chunks = "1\r\no\r\n1\r\nk\r\n0\r\n\r\n";
    const Statuses both = {"200", "200"};
    struct {
        std::vector<std::string> parts;
        std::string body;
    } const requests[] = {
        {{get + usual}, ""},
        {{get, usual}, ""},
        {{post + "ok" + usual}, "ok"},
        {{post, "ok", usual}, "ok"},
        {{post + "o", "k" + usual}, "ok"},
        {{chunked + chunks + usual}, "ok"},
        {{chunked, chunks, usual}, "ok"},
        {{chunked + "1\r\no", "\r\n1\r\nk\r\n0\r\n\r\n" + usual}, "ok"},
    };
    for (const auto &row : requests) {
        EXPECT_EQ(ask(row.parts, 2), both) << row.parts[0];
        ASSERT_EQ(delivered.size(), 2U) << row.parts[0];
        EXPECT_EQ(delivered[0].target, "/p");
        EXPECT_EQ(delivered[0].body, row.body);
        EXPECT_EQ(count_field(delivered[0].forwarded, "Upgrade"), 0U);
        EXPECT_EQ(delivered[1].target, "/usual");
    }
    EXPECT_EQ(ask_slowly(post + "ok" + usual, 2), both);
    EXPECT_EQ(ask(get + get + post + "ok" + get, 4), Statuses({"200", "200", "200", "200"}));
}

TEST_F(HttpRequestForms, ATunnelIsRefusedWithAnUpgradeToo) {
    EXPECT_EQ(ask("CONNECT h:80 HTTP/1.1\r\n" + offer + "\r\n" + usual), Statuses({"400"}));
    EXPECT_EQ(ask("CONNECT h:80 HTTP/1.1\r\n" + offer + "Content-Length: 2\r\n\r\nok"),
              Statuses({"400"}));
    EXPECT_EQ(ask_slowly("CONNECT h:80 HTTP/1.1\r\nHost: h:80\r\n\r\n"), Statuses({"400"}));
    EXPECT_TRUE(delivered.empty());
}

// Guards against fields of one connection that reach the back end.
TEST_F(HttpRequestForms, FieldsThatConnectionNamesAreNotPassedOn) {
    ask("GET /p HTTP/1.1\r\n" + offer +
        "X-One: 1\r\nX-Kept: k\r\nConnection: ,keep-alive ,\t x-one,\r\nX-Two: 2\r\nX-Tw: 3\r\n"
        "connection: X-TWO\r\nKeep-Alive: timeout=5\r\nx-one: again\r\n\r\n");
    ASSERT_EQ(delivered.size(), 1U);
    const std::string &request = delivered[0].forwarded;
    for (const char *name :
         {"Connection", "Upgrade", "HTTP2-Settings", "Keep-Alive", "X-One", "X-Two"})
        EXPECT_EQ(count_field(request, name), 0U) << request;
    for (const char *name : {"Host", "X-Kept", "X-Tw"})
        EXPECT_EQ(count_field(request, name), 1U) << request;
}

// Guards against a request without a host, which the back end would have to refuse.
TEST_F(HttpRequestForms, HostIsPassedOnThoughConnectionNamesIt) {
    ask("GET /p HTTP/1.1\r\nHost: h\r\nConnection: Host, close\r\n\r\n");
    ASSERT_EQ(delivered.size(), 1U);
    EXPECT_EQ(count_field(delivered[0].forwarded, "Host"), 1U) << delivered[0].forwarded;
}

// Of answers, too: the same functions decide what of them is passed on.
TEST(HttpHeaders, ConnectionNamesFieldsThatAreNotPassedOn) {
    http_headers_t headers;
    http_headers_init(&headers);
    auto add = [&](const std::string &name, const std::string &value) {
        http_headers_name_piece(&headers, name.data(), name.size());
        http_headers_value_piece(&headers, value.data(), value.size());
    };
    EXPECT_EQ(http_headers_connection_options(&headers), nullptr);
    add("Connection", "close, Keep-Alive,, Host");
    EXPECT_EQ(http_headers_connection_options(&headers), nullptr);
    EXPECT_TRUE(http_header_is_end_to_end("Host", nullptr));
    EXPECT_FALSE(http_header_is_end_to_end("keep-alive", nullptr));
    add("connection", "\tX-Hop \t,Other");
    GHashTable *options = http_headers_connection_options(&headers);
    ASSERT_NE(options, nullptr);
    for (const char *name : {"x-hop", "X-HOP", "other", "Connection", "Keep-Alive"})
        EXPECT_FALSE(http_header_is_end_to_end(name, options)) << name;
    for (const char *name : {"X-Ho", "X-Hops", "Host", "Response-Signature", ""})
        EXPECT_TRUE(http_header_is_end_to_end(name, options)) << name;
    g_hash_table_unref(options);
    http_headers_clear(&headers);
}

/** A field that takes @p bytes of the bound. */
std::string field_of(size_t bytes) {
    return "X: " + std::string(bytes - strlen("X") - 2, 'x') + "\r\n";
}

// Guards against 400, which callers take for a fault of what they ask.
TEST_F(HttpRequestForms, FieldsBeyondTheBoundAreRefusedAsTooLarge) {
    std::string many;
    for (unsigned i = 0; i < 400; i++)
        many += field_of(50);
    const std::string begin = "GET / HTTP/1.1\r\nHost: h\r\n";
    EXPECT_EQ(ask(begin + field_of(20000) + "\r\n"), Statuses({"431"}));
    EXPECT_EQ(ask(begin + many + "\r\n"), Statuses({"431"}));
    EXPECT_EQ(ask(begin + field_of(200000) + "\r\n"), Statuses({"431"}));
    EXPECT_EQ(ask({begin, field_of(9000), field_of(9000), "\r\n"}, 1), Statuses({"431"}));
    EXPECT_TRUE(delivered.empty());
}

TEST_F(HttpRequestForms, ATargetBeyondTheBoundIsRefused) {
    const std::string end = " HTTP/1.1\r\nHost: h\r\n";
    EXPECT_EQ(ask("GET /" + std::string(20000, 'x') + end + "\r\n"), Statuses({"431"}));
    EXPECT_EQ(ask("GET http://h/" + std::string(20000, 'x') + end + "\r\n"), Statuses({"431"}));
    EXPECT_EQ(ask("GET /" + std::string(200000, 'x') + end + "\r\n"), Statuses({"431"}));
    EXPECT_EQ(ask("GET /" + std::string(9000, 'x') + end + field_of(9000) + "\r\n"),
              Statuses({"431"}))
        << "the bound holds for both together";
    EXPECT_TRUE(delivered.empty());
}

TEST_F(HttpRequestForms, TrailersCountTowardsTheBound) {
    const std::string begin = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n";
    EXPECT_EQ(ask(begin + "\r\n2\r\nok\r\n0\r\n" + field_of(20000) + "\r\n"), Statuses({"431"}));
    EXPECT_TRUE(delivered.empty());
    EXPECT_EQ(ask(begin + "\r\n2\r\nok\r\n0\r\n" + field_of(9000) + "\r\n" + usual, 2),
              Statuses({"200", "200"}));
}

// Guards against a bound that refuses what callers may send.
TEST_F(HttpRequestForms, AHeadWithinTheBoundIsServed) {
    const std::string line = "GET /" + std::string(8000, 'x') + " HTTP/1.1\r\n";
    const std::string name = "X: ";
    const std::string end = "\r\n\r\n";
    std::string value(header_bytes - line.size() - name.size() - end.size(), 'x');
    std::string head = line + name + value + end;
    ASSERT_EQ(head.size(), header_bytes);
    EXPECT_EQ(ask(head + head, 2), Statuses({"200", "200"}));
    EXPECT_EQ(ask_slowly(head), Statuses({"200"}));
    /* Target, name and value alone exceed it. */
    size_t room = header_bytes - strlen("/") - 8000 - strlen("X");
    EXPECT_EQ(ask(line + name + std::string(room + 1, 'x') + end), Statuses({"431"}));
}

} // namespace
