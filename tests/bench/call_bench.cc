/*
 * What a node adds to a call, and how many calls one core carries. Prints ratios of one run:
 * requests straight to a stand-in and the same through a node take turns.
 *
 * Environment: cluster_client.h, and DIRECT_SLOW, DIRECT_FAST (IP:PORT of the stand-ins "slow",
 * 200 ms, and "fast"), NODE_PID.
 */
#include "cluster_client.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <thread>
#include <unistd.h>

namespace {

using Clock = std::chrono::steady_clock;

constexpr int rounds = 40;
constexpr int clients = 32;
constexpr int seconds = 4;

double milliseconds(const std::function<Answer()> &call) {
    Clock::time_point start = Clock::now();
    Answer answer = call();
    if (answer.status / 100 != 2) {
        fprintf(stderr, "bench: status %u %s\n", answer.status, answer.body.c_str());
        exit(1);
    }
    return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

double median(std::vector<double> values) {
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

void start_program(const Address &node, const std::string &id) {
    Answer answer =
        request(node, "POST", "/v1/programs", R"({"id":")" + id + R"(","template":"bench"})");
    if (answer.status != 201) {
        fprintf(stderr, "bench: %s\n", answer.body.c_str());
        exit(1);
    }
}

std::string tool_call(const std::string &tool, int number) {
    return R"({"kind":"tool","tool":")" + tool + R"(","arguments":{"n":)" + std::to_string(number) +
           "}}";
}

/** Times each way to reach a service, in turn. */
void compare(const Address &node, const char *service, const Address &direct) {
    std::vector<double> straight;
    std::vector<double> plain;
    std::vector<double> tool;
    std::string program = std::string("latency-") + service;
    start_program(node, program);
    for (int i = 0; i < rounds; i++) {
        straight.push_back(
            milliseconds([&] { return request(direct, "POST", "/v1/tools/x", "{}"); }));
        plain.push_back(milliseconds([&] {
            return request(node, "POST", std::string("/v1/services/") + service + "/x", "{}");
        }));
        tool.push_back(milliseconds([&] {
            return request(node, "POST",
                           "/v1/programs/" + program + "/calls/" + std::to_string(i + 1),
                           tool_call(service, i));
        }));
    }
    double base = median(straight);
    printf("%s service: direct %.2f ms; plain request %.3f of it, %+.2f ms; "
           "call of a program %.3f of it, %+.2f ms\n",
           service, base, median(plain) / base, median(plain) - base, median(tool) / base,
           median(tool) - base);
}

double processor_seconds(const std::string &pid) {
    std::ifstream file("/proc/" + pid + "/stat");
    std::string word;
    double ticks = 0;
    for (int i = 1; i <= 15 && file >> word; i++)
        if (i >= 14)
            ticks += std::stod(word);
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/** Runs @p call from many clients for a while; prints calls a second and per processor second. */
void saturate(const char *name, const std::function<void(int, int)> &call) {
    std::atomic<long> calls{0};
    std::string pid = environment("NODE_PID");
    double before = processor_seconds(pid);
    Clock::time_point end = Clock::now() + std::chrono::seconds(seconds);
    std::vector<std::thread> threads;
    for (int client = 0; client < clients; client++)
        threads.emplace_back([&, client] {
            for (int i = 0; Clock::now() < end; i++, calls++)
                call(client, i);
        });
    for (std::thread &thread : threads)
        thread.join();
    double used = processor_seconds(pid) - before;
    printf("%s: %.0f calls a second, %.0f calls for each second of one core (%.0f us each)\n", name,
           static_cast<double>(calls) / seconds, static_cast<double>(calls) / used,
           used * 1e6 / static_cast<double>(calls));
}

} // namespace

int main() {
    Address node = addresses("NODES").at(0);
    compare(node, "slow", addresses("DIRECT_SLOW").at(0));
    compare(node, "fast", addresses("DIRECT_FAST").at(0));
    saturate("plain requests",
             [&](int, int) { request(node, "POST", "/v1/services/fast/x", "{}"); });
    for (int client = 0; client < clients; client++)
        start_program(node, "load-" + std::to_string(client));
    saturate("calls of programs", [&](int client, int i) {
        request(node, "POST",
                "/v1/programs/load-" + std::to_string(client) + "/calls/" + std::to_string(i + 1),
                tool_call("fast", i));
    });
    std::atomic<int> program{0};
    double before = processor_seconds(environment("NODE_PID"));
    int streams = 0;
    saturate("streamed calls of 400 tokens", [&](int, int) {
        std::string id = "stream-" + std::to_string(program++);
        start_program(node, id);
        request(node, "POST", "/v1/programs/" + id + "/calls/1",
                R"({"kind":"model","stream":true,"max_tokens":400,)"
                R"("messages":[{"role":"user","content":"x"}]})",
                "", [](const std::string &) { return true; });
    });
    streams = program;
    double used = processor_seconds(environment("NODE_PID")) - before;
    printf("streamed tokens: %.1f us of processor time each\n", used * 1e6 / (400.0 * streams));
    return 0;
}
