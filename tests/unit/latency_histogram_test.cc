// Buckets, sum and count of a latency histogram, as Prometheus reads them.
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "common/latency_histogram.h"
}

namespace {

std::string text_of(const latency_histogram_t &histogram, const char *label) {
    GString *text = g_string_new(nullptr);
    latency_histogram_append(&histogram, "call_ms", label, text);
    std::string copy = text->str;
    g_string_free(text, TRUE);
    return copy;
}

TEST(LatencyHistogram, ADurationCountsInTheFirstBucketThatHoldsIt) {
    latency_histogram_t histogram = {};
    for (uint64_t ms : {0, 1, 2, 3, 4, 1000000})
        latency_histogram_add(&histogram, ms);
    std::string text = text_of(histogram, nullptr);
    EXPECT_NE(text.find("call_ms_bucket{le=\"1\"} 2\n"), std::string::npos) << text;
    EXPECT_NE(text.find("call_ms_bucket{le=\"2\"} 3\n"), std::string::npos);
    EXPECT_NE(text.find("call_ms_bucket{le=\"4\"} 5\n"), std::string::npos);
    EXPECT_NE(text.find("call_ms_bucket{le=\"+Inf\"} 6\n"), std::string::npos);
    EXPECT_NE(text.find("call_ms_sum 1000010\n"), std::string::npos);
    EXPECT_NE(text.find("call_ms_count 6\n"), std::string::npos);
}

TEST(LatencyHistogram, ALabelStandsOnEveryLine) {
    latency_histogram_t histogram = {};
    latency_histogram_add(&histogram, 7);
    std::string text = text_of(histogram, "kind=\"stream\"");
    EXPECT_NE(text.find("call_ms_bucket{kind=\"stream\",le=\"8\"} 1\n"), std::string::npos) << text;
    EXPECT_NE(text.find("call_ms_sum{kind=\"stream\"} 7\n"), std::string::npos);
    EXPECT_NE(text.find("call_ms_count{kind=\"stream\"} 1\n"), std::string::npos);
}

} // namespace
