// Which process serves a back end whose version is in doubt: process_check.h.
#include <glib.h>

extern "C" {
#include "gateway/backend_versions.h"
#include "gateway/process_check.h"
}

#include <gtest/gtest.h>

#include <string>

#include "loopback_port.h"
#include "scripted_server.h"

namespace {

constexpr uint64_t BORN = 1764700000123;

class ProcessCheck : public testing::Test {
  protected:
    void SetUp() override {
        uv_loop_init(&loop);
        backends_init(&backends, &loop, "here", "gateway");
    }
    void TearDown() override {
        backends_clear(&backends);
        uv_run(&loop, UV_RUN_DEFAULT);
        uv_loop_close(&loop);
    }
    backend_t *add_in_doubt(const sockaddr_in &address, uint64_t born = BORN) {
        auto *record = g_new0(backend_record_t, 1);
        record->instance = g_strdup("a");
        record->service = g_strdup("s");
        record->zone = g_strdup("here");
        record->version = g_strdup("v1");
        record->address = address;
        record->born = born;
        backends_update(&backends, record);
        auto *backend = static_cast<backend_t *>(g_hash_table_lookup(backends.by_instance, "a"));
        uv_update_time(&loop);
        backend_doubt_version(backend, ended_long_ago ? 0 : uv_now(&loop));
        return backend;
    }
    /** Asks the back end and runs the loop until the check is over. */
    void check(backend_t *backend) {
        process_check_begin(backend);
        while (backend->process_check != nullptr)
            uv_run(&loop, UV_RUN_ONCE);
    }
    bool certain_after(const std::string &report, unsigned status = 200, uint64_t born = BORN) {
        Server server("HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " +
                          std::to_string(report.size()) + "\r\n\r\n" + report,
                      Ending::clean);
        backend_t *backend = add_in_doubt(server.address, born);
        check(backend);
        return backend_version_certain(backend);
    }
    uv_loop_t loop{};
    backends_t backends{};
    bool ended_long_ago = false;
};

TEST_F(ProcessCheck, EndsTheDoubtIfTheProcessOfTheEntryAnswers) {
    EXPECT_TRUE(certain_after(R"({"born": 1764700000123, "running": 3})"));
}

// Guards against another process that serves the address and is taken for that of the entry.
TEST_F(ProcessCheck, LeavesTheDoubtIfAnotherProcessAnswers) {
    EXPECT_FALSE(certain_after(R"({"born": 1764700000999})"));
}

TEST_F(ProcessCheck, LeavesTheDoubtIfTheAnswerIsNoReport) {
    EXPECT_FALSE(certain_after("["));
    EXPECT_FALSE(certain_after(R"({"born": 1764700000123})", 503));
}

TEST_F(ProcessCheck, EndsTheDoubtWithoutAStartIfNoOtherProcessCanHaveStartedYet) {
    EXPECT_TRUE(certain_after(R"({"running": 3})"));
}

TEST_F(ProcessCheck, EndsTheDoubtOfAnEntryWithoutAStartLikewise) {
    EXPECT_TRUE(certain_after(R"({"born": 1764700000123})", 200, 0));
}

TEST_F(ProcessCheck, LeavesTheDoubtIfTheReportTellsNoStartAndTheProcessMayHaveEndedBefore) {
    ended_long_ago = true;
    EXPECT_FALSE(certain_after(R"({"running": 3})"));
    EXPECT_FALSE(certain_after(R"({"born": "1764700000123"})"));
}

TEST_F(ProcessCheck, LeavesTheDoubtIfNobodyAnswers) {
    Port accepting(Port::ACCEPTS), refusing(Port::REFUSES);
    for (const Port *port : {&accepting, &refusing}) {
        backend_t *backend = add_in_doubt(port->address);
        check(backend);
        EXPECT_FALSE(backend_version_certain(backend));
    }
}

TEST_F(ProcessCheck, IsNotBegunWhereNothingIsInDoubtOrTold) {
    Port accepting(Port::ACCEPTS);
    ended_long_ago = true;
    backend_t *backend = add_in_doubt(accepting.address, 0);
    process_check_begin(backend);
    EXPECT_EQ(backend->process_check, nullptr) << "the entry tells no start time";
    backend->record->born = BORN;
    backend_trust_version(backend, uv_now(&loop));
    process_check_begin(backend);
    EXPECT_EQ(backend->process_check, nullptr) << "its version is certain";
}

TEST_F(ProcessCheck, AnEarlierDoubtThatStandsCounts) {
    Server server("HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}", Ending::clean);
    ended_long_ago = true;
    backend_t *backend = add_in_doubt(server.address);
    backend_doubt_version(backend, uv_now(&loop));
    check(backend);
    EXPECT_FALSE(backend_version_certain(backend)) << "it may have ended before this break";
}

TEST_F(ProcessCheck, EndsWithTheBackEnd) {
    Port accepting(Port::ACCEPTS);
    backend_t *backend = add_in_doubt(accepting.address);
    process_check_begin(backend);
    EXPECT_NE(backend->process_check, nullptr);
    backends_remove(&backends, "a");
}

TEST_F(ProcessCheck, AsksAgainIfTheDoubtIsRenewedMeanwhile) {
    Server server("HTTP/1.1 200 X\r\nContent-Length: 23\r\n\r\n{\"born\": 1764700000123}\n",
                  Ending::clean);
    backend_t *backend = add_in_doubt(server.address);
    process_check_begin(backend);
    struct process_check *first = backend->process_check;
    uv_sleep(5);
    uv_update_time(&loop);
    backend_doubt_version(backend, uv_now(&loop));
    while (backend->process_check == first && backend->process_check != nullptr)
        uv_run(&loop, UV_RUN_ONCE);
    EXPECT_FALSE(backend_version_certain(backend)) << "the answer is older than the doubt";
    EXPECT_NE(backend->process_check, nullptr);
}

} // namespace
