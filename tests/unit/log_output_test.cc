// Log lines are bounded and never hold the process up.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <sstream>
#include <string>

extern "C" {
#include "common/log_output.h"
}

namespace {

class LogOutput : public testing::Test {
  protected:
    LogOutput() {
        EXPECT_EQ(pipe(ends_), 0);
        log_output_open(&output_, ends_[1]);
    }
    ~LogOutput() override {
        log_output_close(&output_);
        close(ends_[0]);
        close(ends_[1]);
    }

    void write(const std::string &line, int64_t second = 1, bool urgent = false) {
        log_output_write(&output_, line.c_str(), second, urgent);
    }

    // All that is in the pipe now.
    std::string read_all() {
        fcntl(ends_[0], F_SETFL, O_NONBLOCK);
        std::string text;
        char buffer[65536];
        for (ssize_t count; (count = read(ends_[0], buffer, sizeof buffer)) > 0;)
            text.append(buffer, static_cast<size_t>(count));
        return text;
    }

    int ends_[2];
    log_output_t output_;
};

TEST_F(LogOutput, LinesComeWhole) {
    write("one\n");
    write("two\n");
    EXPECT_EQ(read_all(), "one\ntwo\n");
}

TEST_F(LogOutput, AReaderThatHasStoppedHoldsNothingUpAndLearnsWhatItMissed) {
    const std::string line(1000, 'x');
    const uint64_t lines = 1000;
    for (uint64_t second = 0; second < lines; second++)
        write(line + "\n", static_cast<int64_t>(second));
    std::string text = read_all();
    write("after\n", 2000);
    text += read_all();
    EXPECT_EQ(output_.left_out, 0U);
    uint64_t whole = 0, missed = 0;
    std::istringstream stream(text);
    for (std::string got; std::getline(stream, got);) {
        unsigned long count = 0;
        if (sscanf(got.c_str(), "lines_left_out=%lu", &count) == 1)
            missed += count;
        else if (got != "after")
            whole += got == line ? 1 : 1000000; // A torn line.
    }
    EXPECT_GT(missed, 0U);
    EXPECT_EQ(whole + missed, lines);
    EXPECT_EQ(output_.total_out, missed);
}

TEST_F(LogOutput, ASecondHasABudgetOfLinesButNotOfWarnings) {
    for (int i = 0; i < LOG_LINES_A_SECOND + 10; i++)
        write("a\n");
    EXPECT_EQ(output_.left_out, 10U);
    write("warning\n", 1, true);
    std::string text = read_all();
    EXPECT_NE(text.find("lines_left_out=10\nwarning\n"), std::string::npos);
    write("next\n", 2);
    EXPECT_EQ(read_all(), "next\n");
}

TEST_F(LogOutput, ALongLineIsCutNotTorn) {
    write(std::string(10000, 'x') + "\n");
    std::string text = read_all();
    EXPECT_LT(text.size(), 10000U);
    EXPECT_EQ(text.back(), '\n');
}

} // namespace
