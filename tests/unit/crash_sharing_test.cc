// Back ends that end under a request: what gateways find out and tell one another (crash_watch.h).
#include <glib.h>

extern "C" {
#include "cluster/remote_gateway.h"
#include "core/retry/crash_history.h"
#include "core/retry/left_sends.h"
#include "gateway/backend_survival.h"
#include "gateway/backend_versions.h"
#include "gateway/crash_reports.h"
#include "gateway/crash_watch.h"
#include "gateway/load_report.h"
#include "gateway/load_sharing.h"
}

#include <gtest/gtest.h>

#include "loopback_port.h"

#include <string>
#include <vector>

namespace {

constexpr uint64_t REQUEST = 7;
constexpr uint64_t RUN_MS = 2000; // For which a back end may run a request that was left there.

/** Gateways of zones, on one loop, that exchange load reports over the loopback interface. */
class CrashSharing : public testing::Test {
  protected:
    struct Side {
        uv_loop_t *loop;
        std::string zone;
        backends_t backends;
        load_sharing_t *sharing;
        crash_watch_t *watch;
        struct sockaddr_in address;
    };
    /** Load sharing can't be closed: its state stays allocated until the process exits. */
    Side &open(const char *zone) {
        static auto *const all = new std::vector<Side *>;
        auto *side = new Side{};
        all->push_back(side);
        sides.push_back(side);
        side->loop = loop();
        side->zone = zone;
        backends_init(&side->backends, side->loop, zone, "gateway");
        side->address.sin_family = AF_INET;
        side->address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        int probe = socket(AF_INET, SOCK_DGRAM, 0);
        socklen_t length = sizeof side->address;
        bind(probe, reinterpret_cast<sockaddr *>(&side->address), length);
        getsockname(probe, reinterpret_cast<sockaddr *>(&side->address), &length);
        close(probe);
        static const load_sharing_handler_t handler = {
            [](void *, watch_report_t *report) {
                report->answer_age = UINT32_MAX;
                reports_filled++;
            },
            [](void *, const GArray *, uint64_t, uint64_t) { return UINT64_MAX; }};
        side->sharing =
            load_sharing_open(side->loop, &side->address, &side->backends, &handler, nullptr);
        EXPECT_NE(side->sharing, nullptr);
        side->watch = crash_watch_new(side->loop, &side->backends, side->sharing, nullptr);
        return *side;
    }
    static uv_loop_t *loop() {
        static auto *const shared = [] {
            auto *created = new uv_loop_t;
            uv_loop_init(created);
            return created;
        }();
        return shared;
    }
    /** Tells each gateway of the others; those of @p unknown are left out. */
    void introduce(const std::vector<std::pair<Side *, Side *>> &unknown = {}) {
        for (Side *side : sides) {
            GPtrArray *others = g_ptr_array_new_with_free_func(g_free);
            for (Side *other : sides) {
                bool left_out = other == side;
                for (auto [a, b] : unknown)
                    left_out |= (a == side && b == other) || (a == other && b == side);
                char text[SOCKET_ADDRESS_BYTES];
                format_socket_address(&other->address, text);
                if (!left_out)
                    g_ptr_array_add(others, other->zone == side->zone
                                                ? g_strdup(text)
                                                : remote_gateway_format(other->zone.c_str(), text));
            }
            load_sharing_set_gateways(side->sharing, others, false);
            g_ptr_array_free(others, TRUE);
        }
    }
    static void crash(Side &side, const char *instance, uint64_t request = REQUEST) {
        auto *record = g_new0(backend_record_t, 1);
        record->instance = g_strdup(instance);
        record->service = g_strdup("s");
        record->zone = g_strdup(side.zone.c_str());
        backends_update(&side.backends, record);
        crash_watch_record_unreachable(
            side.watch, request,
            static_cast<backend_t *>(g_hash_table_lookup(side.backends.by_instance, instance)));
    }
    static backend_t *add_backend(Side &side, const char *instance, const Port &port,
                                  uint64_t born = 0) {
        auto *record = g_new0(backend_record_t, 1);
        record->born = born;
        record->instance = g_strdup(instance);
        record->service = g_strdup("s");
        record->zone = g_strdup(side.zone.c_str());
        record->address = port.address;
        backends_update(&side.backends, record);
        return static_cast<backend_t *>(g_hash_table_lookup(side.backends.by_instance, instance));
    }
    /** As long after a back end has sent something as makes it count as silent. */
    static void fall_quiet() {
        uv_sleep(150);
        uv_update_time(loop());
    }
    void wait_ms(uint64_t ms) {
        run_until([until = uv_hrtime() + ms * 1000000U] { return uv_hrtime() > until; });
    }
    /** Runs the loop until @p done, or for 5 s. */
    template <typename Condition> bool run_until(Condition done) {
        uint64_t end = uv_hrtime() + 5000000000U;
        while (!done() && uv_hrtime() < end) {
            uv_run(loop(), UV_RUN_NOWAIT);
            uv_sleep(1);
        }
        return done();
    }
    /** Crashes of all of @p instances under ten requests a second at each of many gateways. */
    void stay_within_control_traffic(const std::vector<const char *> &instances);

    std::vector<Side *> sides;
    static unsigned reports_filled; /**< One to see whether a report is due, and one to send it. */
};

unsigned CrashSharing::reports_filled;

TEST_F(CrashSharing, CrashesAndTheirEndReachTheOtherGateways) {
    Side &one = open("here");
    Side &other = open("here");
    introduce();
    crash(one, "a");
    crash(one, "b");
    EXPECT_TRUE(run_until([&] { return crash_watch_count(other.watch, REQUEST) == 2; }));
    crash(other, "c");
    EXPECT_TRUE(run_until([&] { return crash_watch_count(one.watch, REQUEST) == 3; }));
    EXPECT_GT(crash_watch_wait_ms(one.watch, REQUEST), 50000U);
    uv_sleep(2);
    uv_update_time(loop());
    crash_watch_record_success(other.watch, REQUEST);
    EXPECT_TRUE(run_until([&] { return crash_watch_count(one.watch, REQUEST) == 0; }));
}

TEST_F(CrashSharing, AGatewayThatStartsLaterLearnsOfThem) {
    Side &one = open("here");
    introduce();
    for (const char *instance : {"a", "b", "c"})
        crash(one, instance);
    uv_sleep(2500); // Longer than crashes are repeated to gateways that run.
    uv_update_time(loop());
    Side &late = open("here");
    introduce();
    EXPECT_TRUE(run_until([&] { return crash_watch_count(late.watch, REQUEST) == 3; }));
}

TEST_F(CrashSharing, AGatewayThatWasOutOfReachLearnsOfThem) {
    Side &one = open("here");
    Side &other = open("here");
    Side &third = open("here");
    introduce();
    // Gateways that start ask for all known crashes for as long as crashes are repeated.
    run_until([until = uv_hrtime() + 2500000000U] { return uv_hrtime() > until; });
    introduce({{&one, &other}, {&third, &other}});
    for (const char *instance : {"a", "b", "c"})
        crash(one, instance);
    run_until([until = uv_hrtime() + 2500000000U] { return uv_hrtime() > until; });
    EXPECT_EQ(crash_watch_count(third.watch, REQUEST), 3U);
    EXPECT_EQ(crash_watch_count(other.watch, REQUEST), 0U);
    introduce();
    EXPECT_TRUE(run_until([&] { return crash_watch_count(other.watch, REQUEST) == 3; }));
}

// Each gateway checks every 0.35 s whether a report is due, so some 60 reports a second are filled.
TEST_F(CrashSharing, GatewaysThatStartTogetherDoNotAnswerEachOtherWithReportsOfNothing) {
    for (unsigned i = 0; i < 10; i++)
        open("here");
    introduce();
    reports_filled = 0;
    run_until([until = uv_hrtime() + 1000000000U] { return uv_hrtime() > until; });
    EXPECT_LE(reports_filled, 200U);
}

TEST_F(CrashSharing, CrashesReachAllGatewaysOfAnotherZoneThroughOneOfThem) {
    Side &first = open("here");
    Side &second = open("here");
    Side &far = open("there");
    Side &farther = open("there");
    introduce({{&first, &farther}, {&second, &far}, {&second, &farther}});
    crash(second, "a");
    crash(second, "b");
    EXPECT_TRUE(run_until([&] { return crash_watch_count(farther.watch, REQUEST) == 2; }));
    EXPECT_EQ(crash_watch_count(far.watch, REQUEST), 2U);
    EXPECT_EQ(crash_watch_count(second.watch, REQUEST), 2U);
    uv_sleep(2);
    uv_update_time(loop());
    crash_watch_record_success(first.watch, REQUEST);
    EXPECT_TRUE(run_until([&] { return crash_watch_count(farther.watch, REQUEST) == 0; }));
}

TEST_F(CrashSharing, TheFirstCrashOfARequestStaysInItsCell) {
    Side &first = open("here");
    Side &second = open("here");
    Side &far = open("there");
    introduce();
    crash(first, "a");
    EXPECT_TRUE(run_until([&] { return crash_watch_count(second.watch, REQUEST) == 1; }));
    run_until([until = uv_hrtime() + 700000000U] { return uv_hrtime() > until; });
    EXPECT_EQ(crash_watch_count(far.watch, REQUEST), 0U);
    crash(second, "b");
    EXPECT_TRUE(run_until([&] { return crash_watch_count(far.watch, REQUEST) == 2; }));
}

// docs/CAPACITY.md: a node may send 14 kB a second; a burst of two seconds' worth is allowed.
void CrashSharing::stay_within_control_traffic(const std::vector<const char *> &instances) {
    constexpr uint64_t bytes_per_s = 14000;
    constexpr uint64_t seconds = 4;
    for (unsigned i = 0; i < 32; i++)
        open(i < 24 ? "here" : "there");
    introduce();
    run_until([until = uv_hrtime() + 2500000000U] { return uv_hrtime() > until; });
    std::vector<uint64_t> before;
    for (Side *side : sides)
        before.push_back(load_sharing_counts(side->sharing)->bytes);
    uint64_t begun_at = uv_hrtime();
    uint64_t request = REQUEST;
    run_until([&] {
        // Ten a second at each gateway.
        for (uint64_t due = (uv_hrtime() - begun_at) * sides.size() / 100000000U + REQUEST;
             request < due; request++)
            for (const char *instance : instances)
                crash(*sides[request % sides.size()], instance, request + 1000);
        return uv_hrtime() - begun_at > seconds * 1000000000U;
    });
    for (size_t i = 0; i < sides.size(); i++)
        EXPECT_LE(load_sharing_counts(sides[i]->sharing)->bytes - before[i],
                  bytes_per_s * (seconds + 2))
            << i;
    // A request with two crashes is still reported to all, though first crashes have to wait.
    crash(*sides[0], "a", REQUEST);
    crash(*sides[0], "b", REQUEST);
    EXPECT_TRUE(run_until([&] {
        return std::all_of(sides.begin(), sides.end(),
                           [](Side *side) { return crash_watch_count(side->watch, REQUEST) == 2; });
    }));
}

TEST_F(CrashSharing, CrashesUnderManyRequestsStayWithinTheControlTrafficOfANode) {
    stay_within_control_traffic({"a"});
}

TEST_F(CrashSharing, CrashesUnderManyRequestsNearTheirLimitStayWithinIt) {
    stay_within_control_traffic({"a", "b"});
}

TEST_F(CrashSharing, ARequestNearItsLimitIsReportedThoughLoadsUseUpTheCredit) {
    for (unsigned i = 0; i < 16; i++)
        open("here");
    Side &busy = *sides[0];
    Port port(Port::ACCEPTS);
    for (unsigned i = 0; i < 300; i++)
        backend_acquire(add_backend(busy, ("busy" + std::to_string(i)).c_str(), port));
    introduce();
    run_until([until = uv_hrtime() + 3000000000U] { return uv_hrtime() > until; });
    uint64_t deferred = load_sharing_counts(busy.sharing)->deferred;
    crash(busy, "a");
    crash(busy, "b");
    EXPECT_GT(load_sharing_counts(busy.sharing)->deferred, deferred) << "there is no credit";
    EXPECT_TRUE(run_until([&] {
        return std::all_of(sides.begin(), sides.end(),
                           [](Side *side) { return crash_watch_count(side->watch, REQUEST) == 2; });
    }));
}

TEST_F(CrashSharing, DelayedReportsOfACrashDoNotGoRoundAsOthers) {
    for (const char *zone : {"here", "here", "here", "there", "there", "there"})
        open(zone);
    introduce();
    run_until([until = uv_hrtime() + 100000000U] { return uv_hrtime() > until; });
    crash(*sides[0], "a");
    crash(*sides[0], "b");
    for (unsigned i = 0; i < 8; i++) {
        uv_sleep(400); // All datagrams are as late as on a link with a long queue.
        run_until([until = uv_hrtime() + 100000000U] { return uv_hrtime() > until; });
    }
    for (Side *side : sides)
        EXPECT_EQ(crash_watch_count(side->watch, REQUEST), 2U);
}

// Guards against a back end that has ended and counts as alive since its port accepts connections.
TEST_F(CrashSharing, ABrokenConnectionCountsThoughANewOneComesUp) {
    Side &one = open("here");
    Port accepting(Port::ACCEPTS);
    backend_t *backend = add_backend(one, "a", accepting);
    wait_ms(1);
    crash_watch_suspect(one.watch, REQUEST, backend, false);
    wait_ms(300);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 1U);
    EXPECT_FALSE(backend_version_certain(backend));
    backend_record_survival(backend, uv_now(loop()));
    wait_ms(300);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 1U) << "a later process may have answered";
}

TEST_F(CrashSharing, ABrokenConnectionDoesNotCountOnceAnEarlierOneHasBroughtMore) {
    Side &one = open("here");
    Port accepting(Port::ACCEPTS);
    backend_t *backend = add_backend(one, "a", accepting);
    wait_ms(1);
    uint64_t earlier = uv_now(loop());
    backend_record_survival(backend, earlier);
    wait_ms(1);
    crash_watch_suspect(one.watch, REQUEST, backend, false);
    backend_record_survival(backend, earlier);
    wait_ms(300);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 1U) << "it may have been sent before the end";
    backend_record_survival(backend, earlier);
    EXPECT_TRUE(run_until([&] { return crash_watch_count(one.watch, REQUEST) == 0; }));
}

TEST_F(CrashSharing, ABrokenConnectionDoesNotCountOnceTheDirectoryStillHasTheBackEnd) {
    Side &one = open("here");
    Port accepting(Port::ACCEPTS);
    backend_t *backend = add_backend(one, "a", accepting);
    wait_ms(1);
    crash_watch_suspect(one.watch, REQUEST, backend, false);
    one.backends.confirmed_at = uv_now(loop()) + VERSION_DOUBT_MS - 1;
    wait_ms(300);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 1U) << "its entry may not have lapsed yet";
    one.backends.confirmed_at++;
    EXPECT_TRUE(run_until([&] { return crash_watch_count(one.watch, REQUEST) == 0; }));
}

TEST_F(CrashSharing, ABrokenConnectionCountsForGoodIfTheBackEndLeavesTheDirectory) {
    Side &one = open("here");
    Port accepting(Port::ACCEPTS);
    backend_t *backend = add_backend(one, "a", accepting);
    wait_ms(1);
    crash_watch_suspect(one.watch, REQUEST, backend, false);
    wait_ms(50);
    backends_remove(&one.backends, "a");
    wait_ms(300);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 1U);
}

TEST_F(CrashSharing, ARequestThatSucceededLatelyIsNotSuspectedForABrokenConnection) {
    Side &one = open("here");
    Port accepting(Port::ACCEPTS), refusing(Port::REFUSES);
    crash_watch_record_success(one.watch, REQUEST);
    crash_watch_suspect(one.watch, REQUEST, add_backend(one, "accepts", accepting), true);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 0U);
    crash_watch_suspect(one.watch, REQUEST, add_backend(one, "refuses", refusing), true);
    EXPECT_TRUE(run_until([&] { return crash_watch_count(one.watch, REQUEST) == 1; }));
}

// Guards against the end of one back end that counts for each of the callers that meet it.
TEST_F(CrashSharing, EqualRequestsOfManyCallersThatMeetTheSameEndCountOnce) {
    Side &one = open("here");
    Port accepting(Port::ACCEPTS);
    backend_t *backend = add_backend(one, "a", accepting);
    for (unsigned caller = 0; caller < 3; caller++) {
        wait_ms(300);
        crash_watch_suspect(one.watch, REQUEST, backend, true);
        crash_watch_suspect(one.watch, REQUEST + 1, backend, false);
    }
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 1U);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST + 1), 3U) << "one caller's may end it anew";
}

TEST_F(CrashSharing, AStopThatRestsOnSuspicionsTellsAShortWait) {
    Side &one = open("here");
    Port first(Port::ACCEPTS), second(Port::ACCEPTS), third(Port::ACCEPTS);
    for (const Port *port : {&first, &second, &third})
        crash_watch_suspect(one.watch, REQUEST,
                            add_backend(one, std::to_string(port->address.sin_port).c_str(), *port),
                            false);
    wait_ms(100);
    ASSERT_EQ(crash_watch_count(one.watch, REQUEST), 3U);
    EXPECT_GT(crash_watch_wait_ms(one.watch, REQUEST), 0U);
    EXPECT_LT(crash_watch_wait_ms(one.watch, REQUEST), uint32_t{CRASH_RETENTION_MS} / 2);
}

TEST_F(CrashSharing, ABackEndThatRefusesConnectionsCountsForAllRequestsThatItTakesAlong) {
    Side &one = open("here");
    Port refusing(Port::REFUSES);
    backend_t *backend = add_backend(one, "a", refusing);
    crash_watch_suspect(one.watch, REQUEST, backend, false);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 1U) << "until it has been checked";
    crash_watch_suspect(one.watch, REQUEST + 1, backend, false);
    wait_ms(200);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 1U);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST + 1), 1U) << "it takes other requests along";
}

TEST_F(CrashSharing, ARequestThatItsCallerLeavesAtASilentBackEndCountsFromThen) {
    Side &one = open("here");
    Port silent(Port::SILENT), other(Port::ACCEPTS);
    backend_t *backend = add_backend(one, "silent", silent);
    add_backend(one, "other", other)->observed.last_received_at = uv_now(loop());
    fall_quiet();
    crash_watch_give_up(one.watch, REQUEST, backend, RUN_MS, false);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 1U) << "its caller may be back at once";
    run_until([until = uv_hrtime() + 1200000000U] { return uv_hrtime() > until; });
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 1U);
}

TEST_F(CrashSharing, ASilentBackEndDoesNotCountIfNoOtherIsReachedEither) {
    Side &one = open("here");
    Port silent(Port::SILENT), other(Port::SILENT);
    backend_t *backend = add_backend(one, "silent", silent);
    add_backend(one, "other", other)->observed.last_received_at = uv_now(loop());
    fall_quiet();
    crash_watch_give_up(one.watch, REQUEST, backend, RUN_MS, false);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 1U) << "until it has been checked";
    EXPECT_TRUE(run_until([&] { return crash_watch_count(one.watch, REQUEST) == 0; }));
}

TEST_F(CrashSharing, ARequestThatItsCallerLeavesAtASoundBackEndDoesNotCount) {
    Side &one = open("here");
    Port accepting(Port::ACCEPTS);
    backend_t *backend = add_backend(one, "sound", accepting);
    fall_quiet();
    crash_watch_give_up(one.watch, REQUEST, backend, RUN_MS, false);
    EXPECT_TRUE(run_until([&] { return crash_watch_count(one.watch, REQUEST) == 0; }));
    EXPECT_EQ(backend->idle->len, 1U) << "the connection serves the next call";
    EXPECT_EQ(crash_watch_counts(one.watch)->checks, 1U);
}

// Guards against sound calls that are refused since many callers left slow back ends at once.
TEST_F(CrashSharing, BackEndsThatManyCallersLeaveDoNotCountBeforeOneHasEnded) {
    Side &one = open("here");
    Port accepting[] = {Port(Port::ACCEPTS), Port(Port::ACCEPTS), Port(Port::ACCEPTS)};
    Port refusing(Port::REFUSES);
    const char *const names[] = {"a", "b", "c"};
    std::vector<backend_t *> slow;
    for (size_t i = 0; i < 3; i++)
        slow.push_back(add_backend(one, names[i], accepting[i]));
    backend_t *ended = add_backend(one, "ended", refusing);
    fall_quiet();
    for (const backend_t *backend : slow)
        crash_watch_give_up(one.watch, REQUEST, backend, RUN_MS, true);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 0U);
    wait_ms(200);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 0U);
    crash_watch_give_up(one.watch, REQUEST, ended, RUN_MS, true);
    EXPECT_TRUE(run_until([&] { return crash_watch_count(one.watch, REQUEST) == 1; }));
    crash_watch_give_up(one.watch, REQUEST, slow[0], RUN_MS, true);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 2U);
}

// Guards against a back end that ends under a request which its caller has left just before.
TEST_F(CrashSharing, ABackEndThatEndsAfterTheCallHasLeftItCounts) {
    Side &one = open("here");
    Port accepting(Port::ACCEPTS);
    backend_t *backend = add_backend(one, "a", accepting);
    fall_quiet();
    crash_watch_give_up(one.watch, REQUEST, backend, RUN_MS, false);
    crash_watch_give_up(one.watch, REQUEST + 1, backend, RUN_MS, false);
    wait_ms(500);
    ASSERT_EQ(crash_watch_count(one.watch, REQUEST), 0U);
    crash_watch_suspect(one.watch, REQUEST + 1, backend, false);
    wait_ms(100);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 1U);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST + 1), 1U) << "one end, left and met again";
    one.backends.confirmed_at = uv_now(loop()) + VERSION_DOUBT_MS;
    EXPECT_TRUE(run_until([&] { return crash_watch_count(one.watch, REQUEST) == 0; }))
        << "the directory still has it";
}

// Guards against a request near its limit that runs at several back ends at once and ends them all.
TEST_F(CrashSharing, ABackEndThatARequestNearItsLimitHasLeftCountsWhileItMayRunIt) {
    Side &one = open("here");
    Port accepting(Port::ACCEPTS);
    crash(one, "b");
    crash(one, "c");
    backend_t *backend = add_backend(one, "a", accepting);
    wait_ms(1);
    uint64_t earlier = uv_now(loop());
    crash_watch_give_up(one.watch, REQUEST, backend, RUN_MS, false);
    wait_ms(RUN_MS / 2);
    backend_record_survival(backend, earlier);
    wait_ms(200);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 3U) << "it runs, and may still end";
    EXPECT_GT(crash_watch_wait_ms(one.watch, REQUEST), 0U);
    EXPECT_LT(crash_watch_wait_ms(one.watch, REQUEST), uint32_t{CRASH_RETENTION_MS} / 2);
    wait_ms(RUN_MS / 2);
    backend_record_survival(backend, earlier);
    wait_ms(200);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 3U) << "it may end the request late";
    wait_ms(LEFT_SEND_MARGIN_MS);
    backend_record_survival(backend, earlier);
    EXPECT_TRUE(run_until([&] { return crash_watch_count(one.watch, REQUEST) == 2; }));
}

TEST_F(CrashSharing, ABackEndThatEndsUnderARequestNearItsLimitThatHasLeftItCountsOnce) {
    Side &one = open("here");
    Port accepting(Port::ACCEPTS);
    crash(one, "b");
    crash(one, "c");
    backend_t *backend = add_backend(one, "a", accepting);
    wait_ms(1);
    crash_watch_give_up(one.watch, REQUEST, backend, 2 * RUN_MS, false);
    wait_ms(CRASH_SILENT_SAME_MS + 200);
    backend_doubt_version(backend, uv_now(loop()));
    backend_record_survival(backend, uv_now(loop()));
    wait_ms(300);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 3U) << "a later process may have answered";
}

// Guards against a fourth back end that ends beside ones which calls have left at several gateways.
TEST_F(CrashSharing, BackEndsThatCallsHaveLeftAtAllGatewaysAreExposedOnceOneHasEnded) {
    Side &one = open("here");
    Port accepting(Port::ACCEPTS);
    backend_t *backend = add_backend(one, "a", accepting);
    crash_watch_give_up(one.watch, REQUEST, backend, RUN_MS, false);
    message_t message;
    message_init(&message, MESSAGE_SEND_LEFT);
    message.crash.request = REQUEST;
    message.crash.backend = static_cast<uint16_t>(backend->id_hash + 1);
    message.wait_ms = RUN_MS;
    crash_watch_handle_message(one.watch, &message);
    message_clear(&message);
    EXPECT_TRUE(run_until([&] { return crash_watch_count(one.watch, REQUEST) == 0; }));
    EXPECT_EQ(crash_watch_exposure(one.watch, REQUEST, nullptr), 0U);
    crash(one, "b");
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 1U);
    EXPECT_EQ(crash_watch_exposure(one.watch, REQUEST, nullptr), 3U);
    EXPECT_EQ(crash_watch_exposure(one.watch, REQUEST, backend), 2U);
    EXPECT_GT(crash_watch_wait_ms(one.watch, REQUEST), 0U);
    EXPECT_LE(crash_watch_wait_ms(one.watch, REQUEST), RUN_MS + LEFT_SEND_MARGIN_MS + 1);
    crash_watch_record_success(one.watch, REQUEST);
    EXPECT_EQ(crash_watch_exposure(one.watch, REQUEST, nullptr), 0U);
}

TEST_F(CrashSharing, AnIdleConnectionThatBreaksAfterTheCallHasLeftShowsTheEnd) {
    Side &one = open("here");
    auto *accepting = new Port(Port::ACCEPTS);
    backend_t *backend = add_backend(one, "a", *accepting);
    fall_quiet();
    crash_watch_give_up(one.watch, REQUEST, backend, RUN_MS, false);
    ASSERT_TRUE(run_until([&] { return backend->idle->len == 1; }));
    ASSERT_EQ(crash_watch_count(one.watch, REQUEST), 0U);
    delete accepting;
    EXPECT_TRUE(run_until([&] { return crash_watch_count(one.watch, REQUEST) == 1; }));
}

// Guards against a machine that falls silent after the call has left it, with no connection to it.
TEST_F(CrashSharing, AnEntryThatGoesAfterTheCallHasLeftShowsTheEnd) {
    Side &one = open("here");
    Port refusing(Port::REFUSES);
    backend_t *expired = add_backend(one, "a", refusing);
    backend_t *removed = add_backend(one, "b", refusing);
    backend_t *leaving = add_backend(one, "c", refusing);
    for (backend_t *backend : {expired, removed, leaving}) {
        uv_update_time(loop());
        backend->observed.last_received_at = uv_now(loop());
        crash_watch_give_up(one.watch, REQUEST, backend, RUN_MS, false);
        backend->observed.last_received_at = uv_now(loop()) + 1;
    }
    wait_ms(200);
    ASSERT_EQ(crash_watch_count(one.watch, REQUEST), 0U);
    leaving->record->leaving = true;
    EXPECT_FALSE(backends_expire_entry(&one.backends, "c", uv_now(loop()) + RUN_MS));
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 0U) << "it has announced its stop";
    EXPECT_TRUE(backends_expire_entry(&one.backends, "a", uv_now(loop()) + RUN_MS));
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 1U);
    backends_remove(&one.backends, "b");
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 2U);
    wait_ms(200);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 2U) << "their ports refuse";
}

// Guards against a request that is stopped for back ends that serve on without an entry.
TEST_F(CrashSharing, AnEntryThatGoesDoesNotCountWhileTheBackEndAcceptsConnections) {
    Side &one = open("here");
    auto *accepting = new Port(Port::ACCEPTS);
    backend_t *backend = add_backend(one, "a", *accepting);
    uv_update_time(loop());
    backend->observed.last_received_at = uv_now(loop());
    crash_watch_give_up(one.watch, REQUEST, backend, RUN_MS, false);
    backend->observed.last_received_at = uv_now(loop()) + 1;
    wait_ms(200);
    backends_expire_entry(&one.backends, "a", uv_now(loop()) + RUN_MS);
    EXPECT_TRUE(run_until([&] { return crash_watch_count(one.watch, REQUEST) == 0; }));
    delete accepting;
    backends_remove(&one.backends, "a");
    EXPECT_TRUE(run_until([&] { return crash_watch_count(one.watch, REQUEST) == 1; }))
        << "it ends while it may run the request";
    wait_ms(200);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 1U);
}

// Guards against a back end that ends after a false doubt about it, unseen.
TEST_F(CrashSharing, WhatACallHasLeftIsWatchedOnAfterAFalseDoubt) {
    Side &one = open("here");
    auto *accepting = new Port(Port::ACCEPTS);
    backend_t *backend = add_backend(one, "a", *accepting);
    uv_update_time(loop());
    uint64_t earlier = uv_now(loop());
    backend->observed.last_received_at = earlier;
    crash_watch_give_up(one.watch, REQUEST, backend, 2 * RUN_MS, false);
    backend->observed.last_received_at = earlier + 1;
    wait_ms(200);
    backend_doubt_version(backend, uv_now(loop()));
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 1U);
    wait_ms(200);
    backend_record_survival(backend, earlier);
    EXPECT_TRUE(run_until([&] { return crash_watch_count(one.watch, REQUEST) == 0; }));
    delete accepting;
    backend_doubt_version(backend, uv_now(loop()));
    wait_ms(200);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 1U);
}

// Guards against the end of a process that is back under its id before its entry goes.
TEST_F(CrashSharing, AnEntryWithAnotherStartTimeShowsTheEndAfterTheCallHasLeft) {
    Side &one = open("here");
    Port accepting(Port::ACCEPTS);
    backend_t *backend = add_backend(one, "a", accepting, 1000);
    uv_update_time(loop());
    backend->observed.last_received_at = uv_now(loop());
    crash_watch_give_up(one.watch, REQUEST, backend, RUN_MS, false);
    backend->observed.last_received_at = uv_now(loop()) + 1;
    wait_ms(200);
    ASSERT_EQ(crash_watch_count(one.watch, REQUEST), 0U);
    add_backend(one, "a", accepting, 2000);
    wait_ms(500);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 1U);
}

TEST_F(CrashSharing, ABackEndThatEndsLongAfterTheCallHasLeftItDoesNotCount) {
    Side &one = open("here");
    Port accepting(Port::ACCEPTS);
    backend_t *backend = add_backend(one, "a", accepting);
    fall_quiet();
    crash_watch_give_up(one.watch, REQUEST, backend, 0, false);
    wait_ms(LEFT_SEND_MARGIN_MS + LEFT_SEND_NOTICE_MS + 200);
    backend_doubt_version(backend, 0);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 0U);
}

TEST_F(CrashSharing, ARequestThatSucceededElsewhereIsNotTheCauseOfAnEndWhereItWasLeft) {
    Side &one = open("here");
    Port refusing(Port::REFUSES);
    backend_t *backend = add_backend(one, "a", refusing);
    uv_update_time(loop());
    backend->observed.last_received_at = uv_now(loop());
    crash_watch_give_up(one.watch, REQUEST, backend, RUN_MS, false);
    crash_watch_record_success(one.watch, REQUEST);
    backend_doubt_version(backend, 0);
    wait_ms(50);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 0U);
}

TEST_F(CrashSharing, AnUnreachableBackEndThatACallLeavesCountsOnce) {
    Side &one = open("here");
    Port refusing(Port::REFUSES);
    backend_t *backend = add_backend(one, "a", refusing);
    fall_quiet();
    crash_watch_record_unreachable(one.watch, REQUEST, backend);
    crash_watch_give_up(one.watch, REQUEST, backend, 2 * RUN_MS, false);
    wait_ms(CRASH_SILENT_SAME_MS + 200);
    backend_doubt_version(backend, 0);
    wait_ms(100);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 1U);
}

TEST_F(CrashSharing, ABackEndThatSendsSomethingIsNotChecked) {
    Side &one = open("here");
    Port silent(Port::SILENT);
    backend_t *backend = add_backend(one, "active", silent);
    uv_update_time(loop());
    backend->observed.last_received_at = uv_now(loop());
    crash_watch_give_up(one.watch, REQUEST, backend, RUN_MS, false);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 0U);
    run_until([until = uv_hrtime() + 50000000U] { return uv_hrtime() > until; });
    backend->observed.last_received_at = uv_now(loop());
    run_until([until = uv_hrtime() + 150000000U] { return uv_hrtime() > until; });
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 0U);
    EXPECT_EQ(crash_watch_counts(one.watch)->checks, 0U);
    backend->observed.last_received_at = uv_now(loop());
    crash_watch_give_up(one.watch, REQUEST, backend, RUN_MS, false);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 0U);
    EXPECT_TRUE(run_until([&] { return crash_watch_count(one.watch, REQUEST) == 1; }))
        << "silent since its caller left";
}

TEST_F(CrashSharing, ACheckedBackEndDoesNotCountIfMostAreUnreachable) {
    Side &one = open("here");
    Port silent(Port::SILENT), other(Port::ACCEPTS);
    backend_t *backend = add_backend(one, "silent", silent);
    add_backend(one, "other", other)->observed.last_received_at = uv_now(loop());
    for (const char *instance : {"a", "b"})
        add_backend(one, instance, silent)->unreachable_at = uv_now(loop());
    crash_watch_suspect(one.watch, REQUEST, backend, false);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 1U) << "until it has been checked";
    EXPECT_TRUE(run_until([&] { return crash_watch_count(one.watch, REQUEST) == 0; }));
}

TEST_F(CrashSharing, UnreachableBackEndsDoNotCountIfMostAreUnreachable) {
    Side &one = open("here");
    auto add = [&](const char *instance) {
        auto *record = g_new0(backend_record_t, 1);
        record->instance = g_strdup(instance);
        record->service = g_strdup("s");
        record->zone = g_strdup("here");
        backends_update(&one.backends, record);
        return static_cast<backend_t *>(g_hash_table_lookup(one.backends.by_instance, instance));
    };
    std::vector<backend_t *> backends;
    for (const char *instance : {"a", "b", "c", "d", "e", "f"})
        backends.push_back(add(instance));
    for (unsigned i = 0; i < 3; i++)
        backends[i]->unreachable_at = uv_now(loop());
    for (unsigned i = 0; i < 3; i++)
        crash_watch_record_unreachable(one.watch, REQUEST, backends[i]);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 0U);
    backends[2]->unreachable_at = 0;
    crash_watch_record_unreachable(one.watch, REQUEST, backends[0]);
    EXPECT_EQ(crash_watch_count(one.watch, REQUEST), 1U);
}

} // namespace
