// Measurement of back ends' speeds, their exchange between gateways in datagrams that earlier
// versions can read, and the reset of all observations when a back end restarts.
#include <glib.h>

extern "C" {
#include "gateway/backend_speeds.h"
#include "gateway/backends.h"
#include "gateway/load_report.h"
#include "gateway/load_sharing.h"
}

#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <cstring>
#include <set>
#include <string>
#include <vector>

namespace {

constexpr uint64_t first_start = 1764700000000;
constexpr uint64_t second_start = 1764700031234;

/** Back ends of one gateway, with a loop of its own. */
class Gateway {
  public:
    explicit Gateway(const char *name) {
        uv_loop_init(&loop);
        backends_init(&backends, &loop, "here", name);
    }
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;
    ~Gateway() {
        backends_clear(&backends);
        uv_run(&loop, UV_RUN_NOWAIT);
        uv_loop_close(&loop);
    }
    void add(const std::string &instance, uint64_t born, const char *zone = "here",
             const char *service = "s") {
        auto *record = g_new0(backend_record_t, 1);
        record->instance = g_strdup(instance.c_str());
        record->service = g_strdup(service);
        record->zone = g_strdup(zone);
        record->slots = 6;
        record->born = born;
        backends_update(&backends, record);
    }
    backend_t *find(const std::string &instance) {
        return static_cast<backend_t *>(
            g_hash_table_lookup(backends.by_instance, instance.c_str()));
    }
    /** Records streams whose events take @p event_us. */
    void measure(const std::string &instance, uint32_t event_us, unsigned streams) {
        for (unsigned i = 0; i < streams; i++)
            backend_speeds_record_stream(find(instance), event_us, uv_now(&loop));
    }
    /** Entries of the next datagrams to @p gateways others. */
    std::vector<load_entry_t> report(unsigned gateways) {
        GArray *entries = g_array_new(FALSE, FALSE, sizeof(load_entry_t));
        backend_speeds_append_report(&backends, entries, gateways);
        auto *first = reinterpret_cast<load_entry_t *>(entries->data);
        std::vector<load_entry_t> reported(first, first + entries->len);
        g_array_free(entries, TRUE);
        return reported;
    }
    unsigned speed(const std::string &instance) {
        return backend_speed(find(instance));
    }
    unsigned receive(const std::vector<load_entry_t> &reported, uint64_t sender) {
        unsigned accepted = 0;
        for (const load_entry_t &entry : reported)
            accepted += backend_speeds_record_report(&backends, &entry, sender) ? 1 : 0;
        return accepted;
    }
    uv_loop_t loop;
    backends_t backends;
};

std::string instance(unsigned number) {
    return "i-" + std::to_string(number);
}

GArray *array_of(const std::vector<load_entry_t> &reported) {
    GArray *entries = g_array_new(FALSE, FALSE, sizeof(load_entry_t));
    g_array_append_vals(entries, reported.data(), static_cast<guint>(reported.size()));
    return entries;
}

TEST(BackendSpeeds, MeasurementsAreSharedBetweenGateways) {
    Gateway one("gateway-1");
    Gateway other("gateway-2");
    for (unsigned i = 0; i < 6; i++) {
        one.add(instance(i), first_start + i);
        other.add(instance(i), first_start + i);
        one.measure(instance(i), i < 2 ? 7500 : 3000, 10);
    }
    EXPECT_EQ(one.speed(instance(0)), 40U);
    EXPECT_EQ(one.speed(instance(5)), 100U);
    std::vector<load_entry_t> reported = one.report(1);
    ASSERT_EQ(reported.size(), 6U);
    EXPECT_EQ(other.receive(reported, 1), 6U);
    EXPECT_EQ(other.speed(instance(0)), 40U);
    EXPECT_EQ(other.speed(instance(5)), 100U);
    EXPECT_EQ(backend_speeds_count(&other.backends).slow, 2U);
    EXPECT_EQ(backend_speeds_count(&other.backends).fast, 0U);
    EXPECT_TRUE(one.report(1).empty()) << "only new samples are reported";
}

TEST(BackendSpeeds, BackEndsWithoutStartTimeAreNeitherMeasuredNorReported) {
    Gateway gateway("gateway-1");
    for (unsigned i = 0; i < 4; i++) {
        gateway.add(instance(i), 0);
        gateway.measure(instance(i), i == 0 ? 30000 : 3000, 10);
    }
    EXPECT_EQ(gateway.speed(instance(0)), 100U);
    EXPECT_TRUE(gateway.report(1).empty());
    EXPECT_EQ(backend_speeds_count(&gateway.backends).measured, 0U);
}

// Routes take 20 and 200 ms; one back end serves only the slow route.
TEST(BackendSpeeds, ASlowRouteDoesNotMakeABackEndSlow) {
    Gateway gateway("gateway-1");
    for (unsigned i = 0; i < 4; i++)
        gateway.add(instance(i), first_start);
    for (unsigned i = 0; i < 200; i++) {
        uint64_t now = uv_now(&gateway.loop);
        unsigned back_end = i % 4;
        bool slow_route = back_end == 0 || i % 3 == 0;
        uint64_t ms = back_end == 1 ? 2 : 1;
        backend_speeds_record_answer(gateway.find(instance(back_end)),
                                     slow_route ? "slow" : "quick",
                                     now - ms * (slow_route ? 200 : 20));
    }
    EXPECT_EQ(gateway.speed(instance(0)), 100U);
    EXPECT_EQ(gateway.speed(instance(1)), 50U);
}

// A gateway that starts while all responses are slow would record too high a median for the route,
// and report back ends as faster than they are.
TEST(BackendSpeeds, PlainBackEndsAreNotMeasuredBeforeTheRouteHasAMedian) {
    Gateway gateway("gateway-1");
    gateway.add("a", first_start);
    uint64_t now = uv_now(&gateway.loop);
    for (unsigned i = 0; i < 15; i++)
        backend_speeds_record_answer(gateway.find("a"), "route", now - (i < 6 ? 90 : 30));
    EXPECT_TRUE(gateway.report(1).empty());
    for (unsigned i = 0; i < 16; i++)
        backend_speeds_record_answer(gateway.find("a"), "route", now - 30);
    EXPECT_EQ(gateway.report(1).size(), 1U);
}

// Back ends with and without measured speeds are not comparable: calls would queue in the local
// zone although another zone has free slots.
TEST(BackendSpeeds, WithoutAllStartTimesTheChoiceUsesCounts) {
    Gateway gateway("gateway-1");
    gateway.add("near", first_start);
    gateway.add("far", 0, "there");
    gateway.find("near")->peer_calls = 3;
    backend_choice_t choice = {"s", nullptr, 6, VERSION_ANY, false};
    backend_t *chosen = backends_choose(&gateway.backends, &choice);
    EXPECT_EQ(chosen, gateway.find("far"));
    backend_release(chosen);
    gateway.add("far", first_start, "there");
    chosen = backends_choose(&gateway.backends, &choice);
    EXPECT_EQ(chosen, gateway.find("near")) << "it has free slots";
    backend_release(chosen);
}

// Prints the time of a choice with 200 of 6,666 back ends measured.
TEST(BackendSpeeds, ChoiceAmongThousandsOfBackEnds) {
    Gateway gateway("gateway-1");
    const char *const zones[] = {"here", "b", "c", "d", "e", "f"};
    for (unsigned i = 0; i < 6666; i++)
        gateway.add(instance(i), first_start + i, zones[i % 6]);
    for (unsigned i = 0; i < 200; i++)
        gateway.measure(instance(i), i % 3 == 0 ? 7500 : 3000, 10);
    constexpr unsigned rounds = 200;
    backend_choice_t choice = {"s", nullptr, 6, VERSION_ANY, false};
    uint64_t started_at = uv_hrtime();
    for (unsigned i = 0; i < rounds; i++)
        backend_release(backends_choose(&gateway.backends, &choice));
    printf("a choice: %.1f us\n", static_cast<double>(uv_hrtime() - started_at) / 1000 / rounds);
    EXPECT_EQ(gateway.speed(instance(0)), 40U);
}

// Bytes per second are bounded, so that control traffic stays within 14 KB/s at any scale.
TEST(BackendSpeeds, ReportsAreBoundedAndRoundRobin) {
    constexpr unsigned gateways = 60;
    Gateway gateway("gateway-1");
    for (unsigned i = 0; i < 60; i++) {
        gateway.add(instance(i), first_start + i);
        gateway.measure(instance(i), 3000, 1);
    }
    gateway.report(gateways);
    std::vector<load_entry_t> reported;
    uint64_t started_at = uv_now(&gateway.loop);
    while (uv_now(&gateway.loop) < started_at + 2600) {
        for (const load_entry_t &entry : gateway.report(gateways))
            reported.push_back(entry);
        uv_sleep(5);
        uv_update_time(&gateway.loop);
    }
    double seconds = static_cast<double>(uv_now(&gateway.loop) - started_at) / 1000;
    GArray *entries = array_of(reported);
    GArray *none = array_of({});
    watch_report_t watch = {};
    GBytes *with = load_report_encode(&watch, entries);
    GBytes *without = load_report_encode(&watch, none);
    size_t bytes = (g_bytes_get_size(with) - g_bytes_get_size(without)) * gateways;
    EXPECT_GT(reported.size(), 0U);
    EXPECT_LE(static_cast<double>(bytes), 1.05 * BACKEND_SPEEDS_BYTES_PER_S * seconds);
    std::set<uint64_t> ids;
    for (const load_entry_t &entry : reported)
        ids.insert(entry.backend);
    EXPECT_EQ(ids.size(), reported.size()) << "each back end once before any is repeated";
    g_bytes_unref(with);
    g_bytes_unref(without);
    g_array_free(entries, TRUE);
    g_array_free(none, TRUE);
}

TEST(BackendSpeeds, ARestartedBackEndStartsAtTheTypicalSpeed) {
    Gateway gateway("gateway-1");
    for (unsigned i = 0; i < 5; i++) {
        gateway.add(instance(i), first_start);
        gateway.measure(instance(i), i == 0 ? 9000 : 3000, 10);
    }
    EXPECT_EQ(gateway.speed(instance(0)), 33U);
    gateway.add(instance(0), second_start);
    EXPECT_EQ(gateway.speed(instance(0)), 100U);
    EXPECT_EQ(gateway.speed(instance(1)), 100U);
}

TEST(BackendSpeeds, ALateDatagramOfAnEarlierIncarnationIsIgnored) {
    Gateway one("gateway-1");
    Gateway other("gateway-2");
    for (unsigned i = 0; i < 5; i++) {
        one.add(instance(i), first_start);
        other.add(instance(i), first_start);
        one.measure(instance(i), i == 0 ? 9000 : 3000, 10);
    }
    other.measure(instance(4), 3000, 10);
    std::vector<load_entry_t> late = one.report(1);
    other.add(instance(0), second_start);
    EXPECT_EQ(other.receive(late, 1), 4U) << "all but the restarted back end";
    EXPECT_EQ(other.speed(instance(0)), 100U);
    one.add(instance(0), second_start);
    one.measure(instance(0), 1500, 10);
    EXPECT_EQ(other.receive(one.report(1), 1), 1U);
    EXPECT_EQ(other.speed(instance(0)), 200U);
    other.receive(late, 1);
    EXPECT_EQ(other.speed(instance(0)), 200U);
}

// A stream sent to the previous incarnation ends after the restart.
TEST(BackendSpeeds, ACallOfThePreviousIncarnationIsNotMeasured) {
    Gateway gateway("gateway-1");
    gateway.add("a", first_start);
    uint64_t sent_at = uv_now(&gateway.loop) - 1;
    gateway.add("a", second_start);
    backend_t *backend = gateway.find("a");
    backend_speeds_record_stream(backend, 3000, sent_at);
    backend_request_sent(backend, &sent_at);
    backend_response_started(backend, &sent_at);
    EXPECT_EQ(backend->speed, nullptr);
    EXPECT_EQ(backend->observed.answer_ms, 0U);
}

TEST(BackendSpeeds, ARestartClearsDownAndOverdueStates) {
    Gateway gateway("gateway-1");
    gateway.add("a", first_start);
    backend_t *backend = gateway.find("a");
    uint64_t long_ago = 0;
    backend_request_sent(backend, &long_ago);
    backend_record_reset(backend);
    backend->peer_calls = 5;
    backend->unreachable_at = uv_now(&gateway.loop);
    ejection_add_report(&backend->ejection, uv_now(&gateway.loop) + 1000, uv_now(&gateway.loop));
    ASSERT_TRUE(backend_is_down(backend));
    ASSERT_TRUE(backend_is_avoided(backend));
    ASSERT_GT(backend_ejection_report_ms(backend), 0U);
    gateway.add("a", second_start);
    EXPECT_FALSE(backend_is_down(backend));
    EXPECT_FALSE(backend_is_avoided(backend));
    EXPECT_EQ(backend_ejection_report_ms(backend), 0U);
    EXPECT_EQ(backend->peer_calls, 0U);
    EXPECT_EQ(backend->observed.last_received_at, 0U);
    backend_request_ended(backend, &long_ago);
}

TEST(BackendSpeeds, UnchangedAndUnknownStartTimesKeepState) {
    Gateway gateway("gateway-1");
    for (uint64_t born : {first_start, uint64_t{0}, uint64_t{0}, first_start}) {
        gateway.add("a", born);
        backend_record_reset(gateway.find("a"));
        gateway.add("a", born);
        EXPECT_TRUE(backend_is_avoided(gateway.find("a"))) << born;
    }
}

// Compatibility: datagrams encoded by the version without speeds are still read and written.

TEST(LoadReport, BytesOfThePreviousVersionAreRead) {
    const std::vector<uint8_t> bytes = {0x19, 0x07, 0xd0, 0x19, 0x27, 0x10, 0xf5, 0xf4, 0x82,
                                        0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff,
                                        0x03, 0x00, 0x18, 0x2a, 0x01, 0x19, 0x01, 0xf4};
    watch_report_t watch = {};
    GArray *entries = array_of({});
    ASSERT_TRUE(load_report_decode(&watch, entries, bytes.data(), bytes.size()));
    EXPECT_EQ(watch.answer_age, 2000U);
    EXPECT_EQ(watch.changed, 10000U);
    EXPECT_TRUE(watch.has_stores);
    ASSERT_EQ(entries->len, 2U);
    EXPECT_EQ(g_array_index(entries, load_entry_t, 0).under_way, 3U);
    EXPECT_EQ(g_array_index(entries, load_entry_t, 1).backend, 42U);
    EXPECT_EQ(g_array_index(entries, load_entry_t, 1).ejected_ms, 500U);
    GBytes *again = load_report_encode(&watch, entries);
    EXPECT_EQ(g_bytes_get_size(again), bytes.size());
    EXPECT_EQ(memcmp(g_bytes_get_data(again, nullptr), bytes.data(), bytes.size()), 0);
    g_bytes_unref(again);
    g_array_free(entries, TRUE);
}

TEST(LoadReport, SpeedEntriesHaveIdsUnknownToThePreviousVersion) {
    Gateway gateway("gateway-1");
    gateway.add("a", first_start);
    gateway.measure("a", 3000, 1);
    std::vector<load_entry_t> reported = gateway.report(1);
    ASSERT_EQ(reported.size(), 1U);
    EXPECT_EQ(backends_find_hash(&gateway.backends, reported[0].backend), nullptr);
    watch_report_t watch = {};
    GArray *entries = array_of(reported);
    GBytes *bytes = load_report_encode(&watch, entries);
    GArray *read = array_of({});
    gsize length;
    const void *data = g_bytes_get_data(bytes, &length);
    ASSERT_TRUE(load_report_decode(&watch, read, data, length));
    ASSERT_EQ(read->len, 1U);
    speed_estimate_t pace = load_entry_speed(&g_array_index(read, load_entry_t, 0), 5000);
    EXPECT_EQ(pace.work_us, 3000U);
    EXPECT_EQ(pace.samples, 1U);
    EXPECT_LE(pace.at, 5000U);
    g_bytes_unref(bytes);
    g_array_free(entries, TRUE);
    g_array_free(read, TRUE);
}

TEST(LoadReport, TheAgeOfASpeedEntryIsPreserved) {
    speed_estimate_t pace = {1234567, 300, 90000};
    load_entry_t entry = load_entry_from_speed(7, &pace, 100000);
    speed_estimate_t read = load_entry_speed(&entry, 500000);
    EXPECT_EQ(read.work_us, 1234567U);
    EXPECT_EQ(read.samples, 255U);
    EXPECT_EQ(read.at, 490000U);
}

/** Two gateways that exchange load reports over the loopback interface, on one loop. */
class Sharing : public testing::Test {
  protected:
    struct Side {
        backends_t backends;
        load_sharing_t *sharing;
        struct sockaddr_in address;
    };
    struct World {
        uv_loop_t loop;
        Side sides[2];
    };
    /** Load sharing can't be closed: its state stays allocated until the process exits. */
    static World *new_world() {
        static auto *const all = new std::vector<World *>;
        all->push_back(new World{});
        return all->back();
    }
    void SetUp() override {
        uv_loop_init(&loop);
        for (Side &side : sides)
            open(side);
        for (unsigned i = 0; i < 2; i++) {
            GPtrArray *others = g_ptr_array_new_with_free_func(g_free);
            char text[SOCKET_ADDRESS_BYTES];
            format_socket_address(&sides[1 - i].address, text);
            g_ptr_array_add(others, g_strdup(text));
            load_sharing_set_gateways(sides[i].sharing, others, false);
            g_ptr_array_free(others, TRUE);
        }
    }
    void open(Side &side) {
        backends_init(&side.backends, &loop, "here", "gateway");
        for (unsigned i = 0; i < 5; i++)
            add(side, i, first_start);
        side.address = {};
        side.address.sin_family = AF_INET;
        side.address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        int probe = socket(AF_INET, SOCK_DGRAM, 0);
        socklen_t length = sizeof side.address;
        bind(probe, reinterpret_cast<sockaddr *>(&side.address), length);
        getsockname(probe, reinterpret_cast<sockaddr *>(&side.address), &length);
        close(probe);
        static const load_sharing_handler_t handler = {
            [](void *, watch_report_t *report) { report->answer_age = UINT32_MAX; },
            [](void *, const GArray *, uint64_t, uint64_t) { return UINT64_MAX; }};
        side.sharing = load_sharing_open(&loop, &side.address, &side.backends, &handler, nullptr);
        ASSERT_NE(side.sharing, nullptr);
    }
    static void add(Side &side, unsigned number, uint64_t born) {
        auto *record = g_new0(backend_record_t, 1);
        record->instance = g_strdup(instance(number).c_str());
        record->service = g_strdup("s");
        record->zone = g_strdup("here");
        record->slots = 6;
        record->born = born;
        backends_update(&side.backends, record);
    }
    static backend_t *find(const Side &side, unsigned number) {
        return static_cast<backend_t *>(
            g_hash_table_lookup(side.backends.by_instance, instance(number).c_str()));
    }
    /** Runs the loop until @p done, or for 5 s. */
    template <typename Condition> bool run_until(Condition done) {
        uint64_t end = uv_hrtime() + 5000000000U;
        while (!done() && uv_hrtime() < end) {
            uv_run(&loop, UV_RUN_NOWAIT);
            uv_sleep(1);
        }
        return done();
    }
    World *world = new_world();
    uv_loop_t &loop = world->loop;
    Side (&sides)[2] = world->sides;
};

TEST_F(Sharing, SpeedsAreSentWithTheLoads) {
    for (unsigned i = 0; i < 5; i++)
        for (unsigned j = 0; j < 10; j++)
            backend_speeds_record_stream(find(sides[0], i), i == 0 ? 7500 : 3000, uv_now(&loop));
    backend_acquire(find(sides[0], 1));
    EXPECT_TRUE(run_until([this] {
        load_sharing_refresh(sides[1].sharing);
        return backend_speed(find(sides[1], 0)) == 40 && find(sides[1], 1)->peer_calls == 1;
    }));
    EXPECT_EQ(backend_speed(find(sides[1], 4)), 100U);
    EXPECT_EQ(find(sides[1], 0)->peer_calls, 0U) << "a speed entry does not change the load";
    backend_release(find(sides[0], 1));
}

TEST_F(Sharing, LoadsOfThePreviousIncarnationAreDropped) {
    backend_acquire(find(sides[0], 1));
    EXPECT_TRUE(run_until([this] {
        load_sharing_refresh(sides[1].sharing);
        return find(sides[1], 1)->peer_calls == 1;
    }));
    uv_sleep(2);
    uv_update_time(&loop);
    add(sides[1], 1, second_start);
    uv_sleep(150);
    uv_update_time(&loop);
    load_sharing_refresh(sides[1].sharing);
    EXPECT_EQ(find(sides[1], 1)->peer_calls, 0U);
    backend_release(find(sides[0], 1));
}

} // namespace
