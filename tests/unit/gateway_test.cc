// Gateway components that need no socket: event streams, chain cache, routes, splits, back ends.
#include <glib.h>

extern "C" {
#include "gateway/gateway.h"
#include "core/retry/outage.h"
#include "gateway/backends.h"
#include "gateway/chain_cache.h"
#include "gateway/record_key.h"
#include "gateway/event_stream.h"
#include "gateway/split.h"
#include "net/answer_limits.h"
#include "net/http_headers.h"
}

#include <gtest/gtest.h>

#include <iostream>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace {

class EventStream : public testing::Test {
  protected:
    void SetUp() override {
        event_stream_init(&stream);
        stream.keeps_output = true;
        complete = g_string_new(nullptr);
    }
    void TearDown() override {
        event_stream_clear(&stream);
        g_string_free(complete, TRUE);
    }
    bool feed(const std::string &bytes) {
        return event_stream_feed(&stream, bytes.data(), bytes.size(), complete);
    }
    /** Feeds @p piece again and again; returns the bytes that were accepted, at most @p max. */
    size_t feed_without_end(const std::string &piece, size_t max) {
        size_t fed = 0;
        while (fed < max && feed(piece))
            fed += piece.size();
        return fed;
    }
    event_stream_t stream;
    GString *complete;
};

TEST_F(EventStream, ForwardsOnlyCompleteEventsAtAnySplit) {
    const std::string text =
        "id: 1\ndata: one\n\nid: 2\r\ndata:two\r\n\r\nid: 3\ndata: a\ndata: b\n\n";
    for (size_t cut = 0; cut <= text.size(); cut++) {
        TearDown();
        SetUp();
        feed(text.substr(0, cut));
        std::string first(complete->str, complete->len);
        EXPECT_EQ(text.compare(0, first.size(), first), 0);
        EXPECT_TRUE(first.empty() || first.back() == '\n');
        feed(text.substr(cut));
        EXPECT_EQ(std::string(complete->str, complete->len), text) << cut;
        EXPECT_EQ(stream.events, 3u);
        EXPECT_STREQ(stream.output->str, "one\ntwo\na\nb\n");
        EXPECT_STREQ(stream.last_id->str, "3");
        EXPECT_TRUE(event_stream_at_boundary(&stream));
    }
}

TEST_F(EventStream, DiscardsATruncatedEvent) {
    feed("id: 1\ndata: one\n\nid: 2\ndata: tw");
    EXPECT_FALSE(event_stream_at_boundary(&stream));
    event_stream_drop_partial(&stream);
    feed("id: 2\ndata: two\n\n");
    EXPECT_STREQ(complete->str, "id: 1\ndata: one\n\nid: 2\ndata: two\n\n");
    EXPECT_STREQ(stream.output->str, "one\ntwo\n");
}

// Guards against an event without end, which took all memory of a gateway.
TEST_F(EventStream, GivesUpAnEventWithoutEnd) {
    feed("id: 1\ndata: one\n\ndata: ");
    const size_t limit = ANSWER_EVENT_MAX_BYTES;
    EXPECT_LE(feed_without_end(std::string(1000, 'a'), 4 * limit), limit);
    EXPECT_LE(stream.partial->len, limit + 1000);
    EXPECT_EQ(stream.events, 1u);
}

// Guards against comments without end, which kept a gateway busy until the call's time was over.
TEST_F(EventStream, GivesUpCommentsWithoutEnd) {
    const size_t limit = ANSWER_EVENT_MAX_BYTES;
    EXPECT_LE(feed_without_end(": still here\n", 4 * limit), limit);
    TearDown();
    SetUp();
    EXPECT_LE(feed_without_end(": still here\n\n", 4 * limit), limit);
    EXPECT_EQ(stream.events, 0u);
}

TEST_F(EventStream, AcceptsCommentsBetweenEventsForAsLongAsEventsCome) {
    for (unsigned i = 0; i < 40; i++)
        EXPECT_TRUE(feed(": " + std::string(100000, 'a') + "\n\nid: 1\ndata: x\n\n"));
    EXPECT_EQ(stream.events, 40u);
}

// Guards against a stream of whole events whose data, kept as a turn, takes all memory.
TEST_F(EventStream, GivesUpOutputWithoutEnd) {
    const size_t limit = ANSWER_BODY_MAX_BYTES;
    const std::string event = "data: " + std::string(100000, 'a') + "\n\n";
    EXPECT_LE(feed_without_end(event, 2 * limit), limit + event.size());
    TearDown();
    SetUp();
    stream.keeps_output = false;
    EXPECT_GE(feed_without_end(event, 2 * limit), 2 * limit);
    EXPECT_EQ(stream.output->len, 0u);
}

TEST_F(EventStream, FindsTheEndOfAnEventAtAnySplitOfItsBytes) {
    const std::string text = "data: a\n\r\ndata: b\r\n\r\ndata: c\n\n";
    for (char byte : text)
        EXPECT_TRUE(feed(std::string(1, byte)));
    EXPECT_EQ(stream.events, 3u);
    EXPECT_EQ(std::string(complete->str, complete->len), text);
}

turn_t make_turn(const char *id, const char *parent) {
    std::string input = std::string("<") + id + ">";
    std::string output = std::string("[") + id + "]\n";
    return {g_strdup(id),
            g_strdup(parent),
            g_bytes_new(input.data(), input.size()),
            g_bytes_new(output.data(), output.size()),
            1000,
            nullptr};
}

std::string join(const GPtrArray *parts) {
    std::string text;
    for (guint i = 0; i < parts->len; i++) {
        gsize length = 0;
        auto *bytes = static_cast<GBytes *>(g_ptr_array_index(parts, i));
        const auto *data = static_cast<const char *>(g_bytes_get_data(bytes, &length));
        text.append(data, length);
    }
    return text;
}

TEST(RecordKey, RepresentsLongNamesByADigest) {
    const std::string longest(RECORD_KEY_MAX_BYTES, 'n');
    EXPECT_EQ(record_key_of_long_name(""), nullptr);
    EXPECT_EQ(record_key_of_long_name(longest.c_str()), nullptr);
    char *key = record_key_of_long_name((longest + "a").c_str());
    char *same = record_key_of_long_name((longest + "a").c_str());
    char *other = record_key_of_long_name((longest + "b").c_str());
    EXPECT_STREQ(key, same);
    EXPECT_STRNE(key, other);
    EXPECT_LE(strlen(key), static_cast<size_t>(RECORD_KEY_MAX_BYTES));
    g_free(key);
    g_free(same);
    g_free(other);
}

TEST(ChainCache, JoinsTheChainOldestFirstAndReportsAMissingTurn) {
    chain_cache_t cache;
    chain_cache_init(&cache, 1 << 20);
    const char *turns[][2] = {{"a", ""}, {"b", "a"}, {"x", "a"}, {"d", "c"}};
    for (auto &row : turns) {
        turn_t turn = make_turn(row[0], row[1]);
        chain_cache_add(&cache, &turn, 1);
        turn_clear(&turn);
    }
    GPtrArray *prompt = g_ptr_array_new_with_free_func(
        [](gpointer bytes) { g_bytes_unref(static_cast<GBytes *>(bytes)); });
    EXPECT_EQ(chain_cache_prompt(&cache, "b", prompt), nullptr);
    EXPECT_EQ(join(prompt), "<a>[a]\n<b>[b]\n");
    g_ptr_array_set_size(prompt, 0);
    EXPECT_STREQ(chain_cache_prompt(&cache, "d", prompt), "c");
    EXPECT_EQ(prompt->len, 0u);
    g_ptr_array_unref(prompt);
    chain_cache_clear(&cache);
}

TEST(ChainCache, StaysWithinItsLimitAndEvictsTheLeastRecentlyUsed) {
    chain_cache_t cache;
    chain_cache_init(&cache, 3000);
    for (int i = 0; i < 100; i++) {
        turn_t turn = make_turn(std::to_string(i).c_str(), "");
        chain_cache_add(&cache, &turn, 1);
        turn_clear(&turn);
        chain_cache_find(&cache, "0");
        EXPECT_LE(cache.bytes, 3000u);
    }
    EXPECT_NE(chain_cache_find(&cache, "0"), nullptr);
    EXPECT_EQ(chain_cache_find(&cache, "1"), nullptr);
    chain_cache_clear(&cache);
}

// Guards against a turn that continues a cached chain which storage nodes have removed.
TEST(ChainCache, KnowsUntilWhenStorageNodesKeepAChain) {
    chain_cache_t cache;
    chain_cache_init(&cache, 1 << 20);
    auto add = [&](const char *id, const char *parent, uint64_t kept_until) {
        turn_t turn = make_turn(id, parent);
        chain_cache_add(&cache, &turn, kept_until);
        turn_clear(&turn);
    };
    add("a", "", 100);
    add("b", "a", 200);
    add("c", "b", 150);
    EXPECT_EQ(chain_cache_kept_until(&cache, "a"), 200u);
    EXPECT_EQ(chain_cache_kept_until(&cache, "c"), 150u);
    add("a", "", 120);
    EXPECT_EQ(chain_cache_kept_until(&cache, "a"), 200u);
    chain_cache_extend(&cache, "c", 300);
    for (const char *id : {"a", "b", "c"})
        EXPECT_EQ(chain_cache_kept_until(&cache, id), 300u) << id;
    EXPECT_EQ(chain_cache_kept_until(&cache, "d"), 0u);
    chain_cache_clear(&cache);
}

route_t *make_route(const char *host, const char *prefix) {
    route_t *route = directory_route_new();
    route->name = g_strdup(prefix);
    route->host = g_strdup(host);
    route->path_prefix = g_strdup(prefix);
    return route;
}

TEST(Routes, TheLongestPrefixOfTheHostWins) {
    directory_configuration_t *configuration = directory_configuration_new();
    for (const char *prefix : {"/a/", "/a/b/", "/"})
        directory_add_route(configuration, make_route("one.example", prefix));
    directory_add_route(configuration, make_route("two.example", "/a/b/c/"));
    auto find = [&](const char *host, const char *path) {
        const route_t *route = directory_find_route(configuration, host, path);
        return std::string(route == nullptr ? "none" : route->path_prefix);
    };
    EXPECT_EQ(find("one.example", "/a/b/c/d"), "/a/b/");
    EXPECT_EQ(find("ONE.example:80", "/a/x?y=/a/b/"), "/a/");
    EXPECT_EQ(find("one.example", "/ab"), "/");
    EXPECT_EQ(find("two.example", "/a/b/c"), "none");
    EXPECT_EQ(find("three.example", "/"), "none");
    directory_configuration_unref(configuration);
}

TEST(Routes, FirstOfTwoEqualPrefixesWinsAndHostsAreSeparate) {
    directory_configuration_t *configuration = directory_configuration_new();
    route_t *first = make_route("One.example", "/a/");
    directory_add_route(configuration, first);
    directory_add_route(configuration, make_route("one.example", "/a/"));
    EXPECT_EQ(directory_find_route(configuration, "one.example", "/a/1"), first);
    EXPECT_EQ(directory_find_route(configuration, "one.exampl", "e/a/1"), nullptr);
    EXPECT_EQ(directory_find_route(configuration, "", ""), nullptr);
    EXPECT_EQ(configuration->routes->len, 2u);
    directory_configuration_unref(configuration);
}

// Shows whether a lookup scans all routes; the time is printed, not asserted.
TEST(Routes, LookupBenchmark) {
    enum { ROUTES = 1672, LOOK_UPS = 20000 };
    directory_configuration_t *configuration = directory_configuration_new();
    for (int i = 0; i < ROUTES; i++) {
        std::string prefix = "/route" + std::to_string(i) + "/";
        directory_add_route(configuration, make_route("one.example", prefix.c_str()));
    }
    gint64 begin = g_get_monotonic_time();
    int found = 0;
    for (int i = 0; i < LOOK_UPS; i++) {
        std::string path = "/route" + std::to_string(i % ROUTES) + "/x";
        found += directory_find_route(configuration, "one.example", path.c_str()) != nullptr;
    }
    double us = static_cast<double>(g_get_monotonic_time() - begin) / LOOK_UPS;
    EXPECT_EQ(found, LOOK_UPS);
    printf("a look-up among %d routes: %.2f us\n", ROUTES, us);
    directory_configuration_unref(configuration);
}

TEST(Split, FollowsTheWeightsInShortRuns) {
    route_t *route = make_route("h", "/");
    for (auto [service, weight] : {std::pair{"x", 90u}, std::pair{"y", 10u}, std::pair{"z", 0u}}) {
        route_part_t part = {g_strdup(service), weight};
        g_array_append_val(route->parts, part);
    }
    GHashTable *credits = split_state_new();
    std::map<std::string, int> counts;
    for (int i = 1; i <= 1000; i++) {
        counts[split_next(credits, route)]++;
        EXPECT_NEAR(counts["y"], i * 0.1, 1.0);
    }
    EXPECT_EQ(counts["z"], 0);
    g_hash_table_destroy(credits);
    directory_configuration_t *owner = directory_configuration_new();
    directory_add_route(owner, route);
    directory_configuration_unref(owner);
}

class Backends : public testing::Test {
  protected:
    void SetUp() override {
        uv_loop_init(&loop);
        backends_init(&backends, &loop, "here", "gateway-1");
    }
    void TearDown() override {
        for (backend_t *backend : under_way)
            backend_release(backend);
        backends_clear(&backends);
        uv_run(&loop, UV_RUN_NOWAIT);
        uv_loop_close(&loop);
    }
    void release() {
        backend_release(last);
        under_way.pop_back();
    }
    void add(const char *instance, const char *zone, bool leaving = false) {
        auto *record = g_new0(backend_record_t, 1);
        record->instance = g_strdup(instance);
        record->service = g_strdup("s");
        record->zone = g_strdup(zone);
        record->slots = 2;
        record->leaving = leaving;
        backends_update(&backends, record);
    }
    std::string choose(GPtrArray *excluded = nullptr) {
        backend_choice_t choice = {"s", excluded, 2, VERSION_ANY, false};
        return record(backends_choose(&backends, &choice));
    }
    std::string choose_engine(uint64_t place) {
        backend_choice_t choice = {"s", nullptr, 2, VERSION_ANY, false};
        engine_request_t request = {place, 7};
        return record(backends_choose_engine(&backends, &choice, &request));
    }
    std::string record(backend_t *chosen) {
        last = chosen;
        if (last != nullptr)
            under_way.push_back(last);
        return last == nullptr ? "none" : last->record->instance;
    }
    uv_loop_t loop;
    backends_t backends;
    backend_t *last;
    std::vector<backend_t *> under_way;
};

TEST_F(Backends, SkipsLeavingAndRemovedBackEnds) {
    add("a", "here", true);
    EXPECT_EQ(choose(), "none");
    add("a", "here");
    EXPECT_EQ(choose(), "a");
    backends_remove(&backends, "a");
    EXPECT_EQ(choose(), "none");
}

TEST_F(Backends, AProgramStaysAtItsEngineUntilTheQueueIsLongAndAnotherIsIdle) {
    for (const char *instance : {"a", "b", "c"})
        add(instance, "here");
    add("far", "there");
    std::string engine = choose_engine(0);
    EXPECT_NE(engine, "far");
    uint64_t place = last->id_hash;
    release();
    int stayed = 0;
    std::string next = choose_engine(place);
    for (; next == engine && stayed < 20; next = choose_engine(place))
        stayed++;
    EXPECT_GE(stayed, 2) << "both slots of the engine are used";
    EXPECT_LE(stayed, 8) << "the queue of the engine stays short";
    EXPECT_NE(next, "far") << "the local zone has engines with free slots";
}

// Guards against all gateways of a zone sending to the same one of equal back ends.
TEST_F(Backends, GatewaysPreferDifferentBackEndsAmongEquals) {
    std::set<std::string> preferred;
    for (unsigned gateway = 0; gateway < 20; gateway++) {
        TearDown();
        under_way.clear();
        uv_loop_init(&loop);
        backends_init(&backends, &loop, "here", ("gateway-" + std::to_string(gateway)).c_str());
        for (unsigned i = 0; i < 20; i++)
            add(("i-" + std::to_string(i)).c_str(), "here");
        preferred.insert(choose());
    }
    EXPECT_GT(preferred.size(), 8U);
}

TEST_F(Backends, CountsCallsOfOtherGateways) {
    add("a", "here");
    add("b", "here");
    std::string first = choose();
    uint64_t hash = last->id_hash;
    release();
    backends_find_hash(&backends, hash)->peer_calls = 5;
    EXPECT_NE(choose(), first);
}

TEST_F(Backends, SkipsABackEndAfterResetsAndNeverUsesExcludedOnes) {
    add("a", "here");
    add("b", "there");
    EXPECT_EQ(choose(), "a");
    backend_record_reset(last);
    backend_record_reset(last);
    backend_t *failed = last;
    EXPECT_EQ(choose(), "b");
    GPtrArray *excluded = g_ptr_array_new();
    g_ptr_array_add(excluded, failed);
    g_ptr_array_add(excluded, last);
    EXPECT_EQ(choose(excluded), "none");
    g_ptr_array_free(excluded, TRUE);
}

// Shows whether a choice scans the back ends of all zones; the time is printed, not asserted.
TEST_F(Backends, ChoiceBenchmarkAmongThousands) {
    const char *const zones[] = {"here", "b", "c", "d", "e", "f"};
    for (unsigned i = 0; i < 6666; i++)
        add(("i-" + std::to_string(i)).c_str(), zones[i % 6]);
    constexpr unsigned rounds = 200;
    for (bool engine : {false, true}) {
        uint64_t begun = uv_hrtime();
        for (unsigned i = 0; i < rounds; i++)
            engine ? choose_engine(0) : choose();
        std::cout << "a choice among 6666 " << (engine ? "engines" : "back ends") << ": "
                  << (uv_hrtime() - begun) / 1000 / rounds << " us\n";
    }
    EXPECT_STREQ(last->record->zone, "here");
}

TEST(HttpHeaders, PiecesJoinAndNamesIgnoreCase) {
    http_headers_t headers;
    http_headers_init(&headers);
    for (const char *piece : {"Fi", "rst"})
        http_headers_name_piece(&headers, piece, strlen(piece));
    for (const char *piece : {"va", "lue"})
        http_headers_value_piece(&headers, piece, strlen(piece));
    http_headers_name_piece(&headers, "Empty", 5);
    http_headers_finish(&headers);
    EXPECT_EQ(http_headers_count(&headers), 2u);
    EXPECT_STREQ(http_headers_find(&headers, "FIRST"), "value");
    EXPECT_STREQ(http_headers_find(&headers, "empty"), "");
    EXPECT_EQ(http_headers_find(&headers, "fir"), nullptr);
    EXPECT_TRUE(http_header_is_hop_by_hop("Transfer-Encoding"));
    EXPECT_FALSE(http_header_is_hop_by_hop("Retry-After"));
    http_headers_clear(&headers);
}

TEST_F(Backends, EjectionTimeGrowsWithRepeatedResets) {
    ejection_t ejection = {};
    uint64_t now = 10000;
    for (uint64_t out : {500, 1000, 2000, 4000, 4000}) {
        ejection_record_reset(&ejection, now);
        ejection_record_reset(&ejection, now + 10); // Another call in progress.
        EXPECT_TRUE(ejection_is_active(&ejection, now + out));
        EXPECT_FALSE(ejection_is_active(&ejection, now + out + 11));
        now += out + 100;
    }
    now += 10000; // A later outage starts over.
    ejection_record_reset(&ejection, now);
    EXPECT_FALSE(ejection_is_active(&ejection, now + 501));
}

TEST_F(Backends, EjectsABackEndReportedDownByTwoGateways) {
    add("a", "here");
    for (const char *far : {"b", "c", "d"})
        add(far, "there");
    EXPECT_EQ(choose(), "a");
    backend_t *down = last;
    release();
    uint64_t now = uv_now(&loop);
    ejection_add_report(&down->ejection, now + 300, now);
    EXPECT_EQ(choose(), "a") << "one gateway may have a bad link";
    release();
    ejection_add_report(&down->ejection, now + 300, now);
    EXPECT_NE(choose(), "a");
    EXPECT_EQ(ejection_remaining_ms(&down->ejection, now), 0U)
        << "reports of others are not forwarded";
    ejection_clear_reports(&down->ejection);
    release();
    EXPECT_EQ(choose(), "a");
}

TEST_F(Backends, SkipsABackEndWhileACallThereIsOverdue) {
    add("a", "here");
    for (const char *far : {"b", "c", "d"})
        add(far, "there");
    EXPECT_EQ(choose(), "a");
    backend_t *stalled = last;
    uint64_t now = uv_now(&loop);
    uint64_t long_ago = now - 401;
    uint64_t recent = now - 300;
    backend_request_sent(stalled, &recent);
    release();
    EXPECT_EQ(choose(), "a") << "not overdue yet";
    release();
    backend_request_ended(stalled, &recent);
    backend_request_sent(stalled, &long_ago);
    EXPECT_NE(choose(), "a");
    release();
    backend_request_ended(stalled, &long_ago);
    EXPECT_EQ(choose(), "a");
    release();
    uint64_t slow = now - 200;
    backend_request_sent(stalled, &slow);
    backend_response_started(stalled, &slow);
    backend_request_sent(stalled, &long_ago);
    EXPECT_EQ(choose(), "a") << "its baseline is slow";
    release();
    backend_request_ended(stalled, &long_ago);
}

TEST_F(Backends, LoadDecidesIfMostBackEndsSeemDown) {
    add("a", "here");
    add("b", "here");
    choose();
    backend_record_reset(last);
    std::string first = last->record->instance;
    release();
    for (int i = 0; i < 30; i++)
        choose();
    int at_first = 0;
    for (const backend_t *backend : under_way)
        at_first += backend->record->instance == first;
    EXPECT_GT(at_first, 5) << "with two back ends, it gets calls once the other is full";
}

TEST(Gateway, IsIsolatedOnlyIfOthersCanServe) {
    uv_loop_t loop;
    uv_loop_init(&loop);
    gateway_t gateway = {};
    gateway.loop = &loop;
    gateway.key_value_reachable = true;
    EXPECT_FALSE(gateway_isolated(&gateway)) << "it has not lost the storage nodes";
    gateway.peers_reach_stores = true;
    EXPECT_FALSE(gateway_isolated(&gateway));
    gateway.stores_unreachable_since = uv_now(&loop) - 1000;
    EXPECT_TRUE(gateway_isolated(&gateway)) << "another gateway reaches them";
    gateway.peers_reach_stores = false;
    EXPECT_FALSE(gateway_isolated(&gateway)) << "all gateways have lost them and stay ready";
    gateway.key_value_reachable = false;
    EXPECT_TRUE(gateway_isolated(&gateway)) << "it reaches nothing";
    gateway.stores_unreachable_since = uv_now(&loop);
    EXPECT_FALSE(gateway_isolated(&gateway)) << "the loss is too recent";
    gateway.key_value_reachable = true;
    gateway.stores_unreachable_since = 0;
    gateway.zone_isolated_since = 1;
    EXPECT_TRUE(gateway_isolated(&gateway)) << "the zone is isolated, whatever else is reached";
    uv_loop_close(&loop);
}

TEST(Outage, RetryAfterGrowsWithTheOutage) {
    outage_t outage = {};
    outage_begin(&outage, 5000);
    EXPECT_EQ(outage_retry_after_ms(&outage, 5001), unsigned{OUTAGE_RETRY_AFTER_MIN_MS});
    outage_begin(&outage, 5300); // A later refusal does not restart it.
    EXPECT_EQ(outage_retry_after_ms(&outage, 7000), 500U);
    EXPECT_EQ(outage_retry_after_ms(&outage, 60000), unsigned{OUTAGE_RETRY_AFTER_MAX_MS});
    outage_end(&outage);
    outage_begin(&outage, 60000);
    EXPECT_EQ(outage_retry_after_ms(&outage, 60100), unsigned{OUTAGE_RETRY_AFTER_MIN_MS});
}

} // namespace
