// A watch of the key-value service, against a stand-in for it on loopback.
#include <gtest/gtest.h>

#include <arpa/inet.h>

#include <algorithm>
#include <csignal>
#include <cstring>
#include <functional>
#include <string>
#include <vector>

extern "C" {
#include "cluster/key_value_watch.h"
#include "net/answer_limits.h"
#include "net/http_listener.h"
}

namespace {

constexpr uint64_t patience_ms = 3000;
constexpr unsigned page_items = 100;
constexpr unsigned answer_events = 250;
const http_limits_t limits = {16384, 65536, 3000, 60000};

/** The service: keys k-0000 and on, the n-th written at revision n + 1. */
struct Service {
    unsigned keys = 0;
    uint64_t old_by = 0;    /**< Pages that may be old are so many revisions behind. */
    size_t padding = 0;     /**< Bytes of white space before each page of a listing. */
    uint64_t forgotten = 0; /**< Watches from before this revision are answered 410. */
    std::vector<std::string> targets;
    std::vector<http_caller_t *> waiting;
};

struct Watcher {
    unsigned items = 0;
    unsigned listings = 0;
    unsigned resumptions = 0;
};

std::string key_of(unsigned number) {
    char key[32];
    snprintf(key, sizeof key, "k-%05u", number);
    return key;
}

std::string items(unsigned from, unsigned to) {
    std::string text = "[";
    for (unsigned i = from; i < to; i++)
        text += std::string(i > from ? "," : "") + "{\"private-key\":\"" + key_of(i) +
                "\",\"value\":\"eA==\",\"revision\":" + std::to_string(i + 1) + "}";
    return text + "]";
}

std::string parameter(const std::string &target, const std::string &name) {
    size_t at = target.find(name + "=");
    if (at == std::string::npos)
        return "";
    at += name.size() + 1;
    return target.substr(at, target.find('&', at) - at);
}

std::string list(const Service &service, const std::string &target) {
    unsigned at = service.keys;
    std::string after = parameter(target, "after");
    unsigned from = after.empty() ? 0 : static_cast<unsigned>(std::stoul(after.substr(2))) + 1;
    unsigned to = std::min(at, from + page_items);
    return "{\"items\":" + items(from, std::max(from, to)) + ",\"at\":" + std::to_string(at) +
           ",\"more\":" + (to < at ? "true" : "false") + "}";
}

void on_request(void *owner, http_caller_t *caller, const http_request_t *request) {
    auto *service = static_cast<Service *>(owner);
    std::string target = request->target;
    service->targets.push_back(target);
    std::string body;
    if (target.find("/-/kv-range") == 0) {
        body = std::string(service->padding, ' ') + list(*service, target);
    } else {
        unsigned from = static_cast<unsigned>(std::stoul(parameter(target, "after")));
        if (from < service->forgotten) {
            http_caller_answer(caller, 410, nullptr, "{}", 2);
            return;
        }
        if (from >= service->keys && parameter(target, "wait-ms") != "0") {
            service->waiting.push_back(caller);
            return;
        }
        unsigned to = std::min(service->keys, from + answer_events);
        body = "{\"events\":" + items(from, to) + ",\"at\":" + std::to_string(to) + "}";
    }
    http_caller_answer(caller, 200, nullptr, body.data(), body.size());
}

void on_gone(void *, http_caller_t *) {
}

const http_listener_handler_t service_handler = {on_request, on_gone, nullptr, nullptr};

void on_item(void *owner, const key_value_item_t *) {
    static_cast<Watcher *>(owner)->items++;
}

void on_listed(void *owner, GHashTable *keys) {
    auto *watcher = static_cast<Watcher *>(owner);
    (keys == nullptr ? watcher->resumptions : watcher->listings)++;
}

void on_reachable(void *, bool) {
}

const key_value_watch_handler_t watch_handler = {on_item, on_listed, on_reachable};

/** Watches and their loop live as long as their process: they are kept, not freed. */
struct World {
    uv_loop_t loop;
    sockaddr_in address{};
    Service service;
    Watcher watcher;
    http_listener_t *listener = nullptr;
    key_value_watch_t *watch = nullptr;
};

class KeyValueWatch : public testing::Test {
  protected:
    KeyValueWatch() : world(*new_world()), service(world.service), watcher(world.watcher) {
        signal(SIGPIPE, SIG_IGN); /* As the programs do. */
        uv_loop_init(&world.loop);
        world.address.sin_family = AF_INET;
        world.address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        for (uint16_t port = 42500; world.listener == nullptr && port < 42600; port++) {
            world.address.sin_port = htons(port);
            world.listener = http_listener_open(&world.loop, &world.address, &limits,
                                                &service_handler, &service);
        }
    }
    static World *new_world() {
        static auto *worlds = new std::vector<World *>;
        worlds->push_back(new World);
        return worlds->back();
    }
    void open() {
        world.watch = key_value_watch_open(&world.loop, &world.address, "h", "", 3000,
                                           &watch_handler, &watcher);
    }
    void open_held() {
        world.watch = key_value_watch_open_held(&world.loop, &world.address, "h", "", 3000,
                                                &watch_handler, &watcher);
    }
    bool run_until(const std::function<bool()> &done, uint64_t most_ms = patience_ms) {
        uv_update_time(&world.loop);
        uint64_t until = uv_now(&world.loop) + most_ms;
        while (!done() && uv_now(&world.loop) < until)
            uv_run(&world.loop, UV_RUN_NOWAIT);
        return done();
    }
    size_t asked(const char *what) {
        return static_cast<size_t>(
            std::count_if(service.targets.begin(), service.targets.end(), [&](const auto &target) {
                return target.find(what) != std::string::npos;
            }));
    }
    World &world;
    Service &service;
    Watcher &watcher;
};

// Guards against an answer of the service without end, which took all memory of its readers.
TEST_F(KeyValueWatch, APageThatIsTooLongIsNoAnswer) {
    service.keys = 10;
    service.padding = KEY_VALUE_ANSWER_MAX_BYTES + 1000;
    open();
    EXPECT_TRUE(run_until([this] { return asked("kv-range") >= 2; }, 30000));
    EXPECT_EQ(watcher.listings, 0U);
    service.padding = 0;
    EXPECT_TRUE(run_until([this] { return watcher.listings == 1; }, 30000));
    EXPECT_EQ(watcher.items, 10U);
}

TEST_F(KeyValueWatch, OneThatIsHeldAsksNothingUntilItGoesOn) {
    service.keys = 1000;
    open_held();
    EXPECT_GT(key_value_watch_held_since(world.watch), 0U);
    EXPECT_FALSE(run_until([this] { return !service.targets.empty(); }, 300));
    key_value_watch_go_on(world.watch);
    EXPECT_EQ(key_value_watch_held_since(world.watch), 0U);
    EXPECT_TRUE(run_until([this] { return watcher.listings == 1; }));
    EXPECT_EQ(watcher.items, 1000U);
    EXPECT_EQ(asked("kv-range"), 10U);
}

TEST_F(KeyValueWatch, OneThatIsHeldWatchesNothingUntilItsViewCameFromElsewhere) {
    service.keys = 10;
    open_held();
    key_value_watch_renew(world.watch);
    EXPECT_FALSE(run_until([this] { return !service.targets.empty(); }, 300));
    key_value_watch_rest(world.watch);
    key_value_watch_advance(world.watch, 10);
    EXPECT_EQ(key_value_watch_held_since(world.watch), 0U);
    service.keys = 12;
    key_value_watch_renew(world.watch);
    EXPECT_TRUE(run_until([this] { return watcher.items == 2; })) << "from there on";
}

// After a loss of power storage nodes have kept the view; a listing is 50 calls, this is one.
TEST_F(KeyValueWatch, OneThatIsToldWhatWasKeptSeesOnlyWhatCameSince) {
    service.keys = 1000;
    open_held();
    key_value_watch_resume(world.watch, 990);
    EXPECT_FALSE(run_until([this] { return !service.targets.empty(); }, 200));
    key_value_watch_go_on(world.watch);
    EXPECT_TRUE(run_until([this] { return watcher.resumptions == 1; }));
    EXPECT_EQ(watcher.items, 10U);
    EXPECT_EQ(asked("kv-range"), 0U);
    EXPECT_TRUE(run_until([this] { return !service.waiting.empty(); })) << "then it watches";
}

TEST_F(KeyValueWatch, IfNothingCameSinceThatIsSaidAtOnce) {
    service.keys = 1000;
    open_held();
    key_value_watch_resume(world.watch, 1000);
    key_value_watch_go_on(world.watch);
    EXPECT_TRUE(run_until([this] { return watcher.resumptions == 1; }, 1000));
}

TEST_F(KeyValueWatch, IfTheServiceForgotWhatCameSinceTheKeptViewAllIsListed) {
    service.keys = 1000;
    service.forgotten = 500;
    open_held();
    key_value_watch_resume(world.watch, 400);
    key_value_watch_go_on(world.watch);
    EXPECT_TRUE(run_until([this] { return watcher.listings == 1; }));
    EXPECT_EQ(watcher.resumptions, 0U);
    EXPECT_EQ(watcher.items, 1000U);
}

// 10,000 back ends that start came in answers of 500 with pauses between: the last 12 s late.
TEST_F(KeyValueWatch, AfterAFullAnswerTheNextWatchBeginsAtOnce) {
    open();
    ASSERT_TRUE(run_until([this] { return watcher.listings == 1; }));
    service.keys = 3000;
    ASSERT_TRUE(run_until([this] { return watcher.items > 0; }));
    EXPECT_TRUE(run_until([this] { return watcher.items == 3000; }, 1500));
}

TEST_F(KeyValueWatch, IfTheServiceForgotWhatCameSinceAllIsListedAnew) {
    service.keys = 300;
    open();
    ASSERT_TRUE(run_until([this] { return watcher.listings == 1; }));
    service.keys = 310;
    service.forgotten = 305;
    ASSERT_TRUE(run_until([this] { return watcher.listings == 2; }));
    EXPECT_TRUE(run_until([this] { return !service.waiting.empty(); }));
    EXPECT_EQ(key_value_watch_known(world.watch), 310U);
}

} // namespace
