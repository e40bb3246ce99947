// The write-ahead log on a real file system: torn tails, holes, full disks, invalid state files.
#include <glib.h>

extern "C" {
#include "store/record_log.h"
}

#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <string>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>
#include <vector>

static std::atomic<unsigned> folder_syncs; // Counted in the pool's thread.

/** In the place of the C library's. */
extern "C" int fsync(int file) {
    struct stat status;
    if (fstat(file, &status) == 0 && S_ISDIR(status.st_mode))
        folder_syncs++;
    return static_cast<int>(syscall(SYS_fsync, file));
}

namespace {

namespace fs = std::filesystem;

class RecordLog : public testing::Test {
  protected:
    void SetUp() override {
        char path[] = "/tmp/rudderway-log-XXXXXX";
        folder = mkdtemp(path);
        uv_loop_init(&loop);
    }
    void TearDown() override {
        close();
        uv_loop_close(&loop);
        fs::remove_all(folder);
    }
    record_log_t *open() {
        close();
        replayed.clear();
        GError *error = nullptr;
        record_log_t *log = record_log_open(
            &loop, folder.c_str(),
            [](void *owner, uint32_t, const uint8_t *data, size_t length) {
                static_cast<RecordLog *>(owner)->replayed.emplace_back(
                    reinterpret_cast<const char *>(data), length);
            },
            this, &error);
        EXPECT_NE(log, nullptr);
        opened = log;
        return log;
    }
    void close() {
        if (opened != nullptr)
            record_log_close(opened);
        opened = nullptr;
    }
    static void done(void *owner, bool durable, uint32_t) {
        auto *test = static_cast<RecordLog *>(owner);
        (durable ? test->durable : test->failed)++;
    }
    void append(record_log_t *log, const std::string &text) {
        record_log_append(log, g_bytes_new(text.data(), text.size()), done, this);
    }
    void wait() {
        uv_run(&loop, UV_RUN_DEFAULT);
    }
    static void ignore(void *, uint32_t, const uint8_t *, size_t) {
    }
    std::string segment(unsigned number) {
        char name[32];
        snprintf(name, sizeof name, "/log.%08u", number);
        return folder + name;
    }
    uv_loop_t loop;
    record_log_t *opened = nullptr;
    std::string folder;
    std::vector<std::string> replayed;
    int durable = 0;
    int failed = 0;
};

TEST_F(RecordLog, ReplaysDurableRecordsInOrder) {
    record_log_t *log = open();
    for (int i = 0; i < 50; i++)
        append(log, "record " + std::to_string(i));
    EXPECT_EQ(durable, 0) << "a record was reported as durable before it was synced";
    wait();
    EXPECT_EQ(durable, 50);
    append(log, "last");
    wait();
    open();
    ASSERT_EQ(replayed.size(), 51u);
    EXPECT_EQ(replayed[0], "record 0");
    EXPECT_EQ(replayed[50], "last");
}

TEST_F(RecordLog, ReplayEndsAtTheLastRecordBeforeATornTailOrAHole) {
    record_log_t *log = open();
    for (int i = 0; i < 20; i++)
        append(log, std::string(100, static_cast<char>('a' + i)));
    wait();
    std::ifstream file(segment(1), std::ios::binary);
    std::string intact((std::istreambuf_iterator<char>(file)), {});
    std::mt19937 random(1);
    for (int round = 0; round < 300; round++) {
        std::string torn = intact;
        size_t at = random() % torn.size();
        if (round % 3 == 0)
            torn.resize(at);
        else if (round % 3 == 1)
            torn.replace(at, std::min<size_t>(64, torn.size() - at),
                         std::min<size_t>(64, torn.size() - at), '\0');
        else
            torn[at] = static_cast<char>(torn[at] ^ 0x20);
        std::ofstream(segment(1), std::ios::binary | std::ios::trunc) << torn;
        open();
        EXPECT_EQ(replayed.size(), at / 108) << round;
        for (size_t i = 0; i < replayed.size(); i++)
            EXPECT_EQ(replayed[i], std::string(100, static_cast<char>('a' + i)));
    }
}

TEST_F(RecordLog, RestartNeverAppendsAfterATornTail) {
    append(open(), "first");
    wait();
    std::ofstream(segment(1), std::ios::binary | std::ios::app) << "torn";
    append(open(), "second");
    wait();
    open();
    ASSERT_EQ(replayed.size(), 2u);
    EXPECT_EQ(replayed[1], "second");
}

TEST_F(RecordLog, WritesFailOnAFullDiskAndSucceedOnceThereIsSpace) {
    signal(SIGXFSZ, SIG_IGN);
    rlimit before;
    getrlimit(RLIMIT_FSIZE, &before);
    record_log_t *log = open();
    append(log, "kept");
    wait();
    rlimit full = before;
    full.rlim_cur = 100;
    setrlimit(RLIMIT_FSIZE, &full);
    append(log, std::string(500, 'x'));
    wait();
    EXPECT_EQ(durable, 1);
    EXPECT_EQ(failed, 1);
    setrlimit(RLIMIT_FSIZE, &before);
    append(log, "kept too");
    wait();
    EXPECT_EQ(durable, 2);
    open();
    ASSERT_EQ(replayed.size(), 2u);
    EXPECT_EQ(replayed[1], "kept too");
}

// The first write of a segment fails after its file was made. Without a sync of the folder, a loss
// of power may remove the file and the records that were confirmed later.
TEST_F(RecordLog, TheNameOfASegmentIsSyncedThoughItsFirstWriteFailed) {
    signal(SIGXFSZ, SIG_IGN);
    rlimit before;
    getrlimit(RLIMIT_FSIZE, &before);
    record_log_t *log = open();
    rlimit full = before;
    full.rlim_cur = 0;
    setrlimit(RLIMIT_FSIZE, &full);
    append(log, "failed");
    wait();
    setrlimit(RLIMIT_FSIZE, &before);
    ASSERT_EQ(failed, 1);
    folder_syncs = 0;
    append(log, "kept");
    wait();
    EXPECT_EQ(durable, 1);
    EXPECT_EQ(folder_syncs, 1u);
    append(log, "kept too");
    wait();
    EXPECT_EQ(folder_syncs, 1u);
}

TEST_F(RecordLog, StateIsReplacedAtomicallyAndAnInvalidStateIsIgnored) {
    record_log_t *log = open();
    EXPECT_EQ(record_log_read_state(log), nullptr);
    for (const char *text : {"one", "two"})
        record_log_write_state(log, g_bytes_new(text, 3), done, this);
    wait();
    GBytes *state = record_log_read_state(log);
    ASSERT_NE(state, nullptr);
    EXPECT_EQ(memcmp(g_bytes_get_data(state, nullptr), "two", 3), 0);
    g_bytes_unref(state);
    std::ofstream(folder + "/state", std::ios::binary | std::ios::trunc) << "nonsense";
    EXPECT_EQ(record_log_read_state(open()), nullptr);
}

// Guards against a second process with the same settings, which would remove the first one's
// segments.
TEST_F(RecordLog, IsOpenInOneProcessAtATime) {
    append(open(), "kept");
    wait();
    GError *error = nullptr;
    EXPECT_EQ(record_log_open(&loop, folder.c_str(), ignore, nullptr, &error), nullptr);
    ASSERT_NE(error, nullptr);
    EXPECT_EQ(error->code, G_FILE_ERROR_AGAIN) << error->message;
    g_clear_error(&error);
    open();
    EXPECT_EQ(replayed.size(), 1u);
}

// Guards against a process that was left behind when its folder was replaced: it must neither
// remove nor overwrite what the owner of the new folder has acknowledged.
TEST_F(RecordLog, DoesNotTouchAFolderThatReplacedItsOwn) {
    append(open(), "of the old folder");
    wait();
    record_log_t *left_behind = open();
    opened = nullptr;
    fs::remove_all(folder);
    fs::create_directory(folder);
    record_log_t *owner = open();
    append(owner, "acknowledged");
    record_log_write_state(owner, g_bytes_new("new", 3), done, this);
    wait();
    append(left_behind, "of the old folder too");
    record_log_write_state(left_behind, g_bytes_new("old", 3), done, this);
    wait();
    record_log_trim(
        left_behind, [](void *, uint32_t) { return true; }, nullptr);
    record_log_close(left_behind);
    GBytes *state = record_log_read_state(open());
    ASSERT_NE(state, nullptr);
    EXPECT_EQ(memcmp(g_bytes_get_data(state, nullptr), "new", 3), 0);
    g_bytes_unref(state);
    ASSERT_EQ(replayed.size(), 1u);
    EXPECT_EQ(replayed[0], "acknowledged");
}

TEST_F(RecordLog, TrimsClosedSegmentsInOrderAndKeepsTheOpenOne) {
    record_log_t *log = open();
    for (int i = 0; i < 12; i++) {
        append(log, std::string(1 << 20, 'x'));
        wait();
    }
    uint64_t before = record_log_bytes(log);
    EXPECT_TRUE(fs::exists(segment(1)));
    record_log_trim(
        log, [](void *, uint32_t number) { return number <= 1; }, nullptr);
    EXPECT_FALSE(fs::exists(segment(1)));
    EXPECT_TRUE(fs::exists(segment(2)));
    EXPECT_LT(record_log_bytes(log), before);
    record_log_trim(
        log, [](void *, uint32_t) { return true; }, nullptr);
    append(log, "after");
    wait();
    open();
    EXPECT_EQ(replayed.back(), "after");
}

} // namespace
