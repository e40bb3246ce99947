/*
 * Callers that hang up at random and fetch again, at any node: each gets the whole answer to its
 * own call, byte for byte what the engine generated for that call and attempt.
 */
#include "cluster_client.h"

#include <gtest/gtest.h>

#include <dirent.h>
#include <fstream>
#include <map>
#include <mutex>
#include <random>
#include <thread>

namespace {

constexpr int callers = 200;

/** A stream as its caller has seen it so far. */
struct Stream {
    std::string buffer;
    std::string text;
    unsigned attempt = 0;
    unsigned restarts = 0;
    std::string done;
    std::string error;

    void take_event(const std::string &block) {
        std::map<std::string, std::string> lines;
        std::stringstream stream(block);
        for (std::string line; std::getline(stream, line);) {
            size_t colon = line.find(": ");
            if (colon != std::string::npos)
                lines[line.substr(0, colon)] = line.substr(colon + 2);
        }
        if (lines["event"] == "text") {
            unsigned from = static_cast<unsigned>(std::stoul(lines["id"]));
            if (from != attempt)
                text.clear();
            attempt = from;
            text += field(lines["data"], "text");
            size_t total = std::stoul(lines["id"].substr(lines["id"].find('-') + 1));
            EXPECT_EQ(text.size(), total) << "pieces join without gap or overlap";
        } else if (lines["event"] == "restart") {
            text.clear();
            restarts++;
        } else if (lines["event"] == "done") {
            done = lines["data"];
        } else if (lines["event"] == "error") {
            error = lines["data"];
        }
    }

    void take(const std::string &data) {
        buffer += data;
        for (size_t end; (end = buffer.find("\n\n")) != std::string::npos;) {
            take_event(buffer.substr(0, end));
            buffer.erase(0, end + 2);
        }
    }
};

struct Result {
    std::string program;
    Stream stream;
    int hang_ups = 0;
};

void run_caller(int number, const std::vector<Address> &nodes, Result *result) {
    std::mt19937 random(static_cast<unsigned>(number));
    auto node = [&]() -> const Address & { return nodes[random() % nodes.size()]; };
    result->program = "whole-" + std::to_string(number);
    std::string path = "/v1/programs/" + result->program + "/calls/1";
    Answer started = request(node(), "POST", "/v1/programs",
                             R"({"id":")" + result->program + R"(","template":"payment-plan"})");
    ASSERT_EQ(started.status, 201u) << started.body;
    std::string body = R"({"kind":"model","stream":true,"repeatable":true,"max_tokens":)" +
                       std::to_string(20 + random() % 40) +
                       R"(,"messages":[{"role":"user","content":"caller )" +
                       std::to_string(number) + R"("}]})";
    for (int i = 0; i < 200 && result->stream.done.empty() && result->stream.error.empty(); i++) {
        /* Most hang up at the first piece; a fetch may hang up later, or read to the end. */
        unsigned pieces = i == 0 ? 0 : random() % 60;
        bool patient = i == 0 ? number % 4 == 0 : random() % 3 == 0;
        auto on_chunk = [&](const std::string &data) {
            result->stream.take(data);
            return patient || pieces-- > 0;
        };
        result->stream.buffer.clear();
        if (i == 0) {
            request(node(), "POST", path, body, "", on_chunk);
        } else {
            result->hang_ups++;
            std::string query = "?stream=1&attempt=" + std::to_string(result->stream.attempt) +
                                "&from=" + std::to_string(result->stream.text.size());
            request(node(), "GET", path + query, "", "", on_chunk);
        }
    }
}

/** Text that the engines generated, by request id. */
std::map<std::string, std::string> read_records() {
    std::map<std::string, std::string> texts;
    std::string folder = environment("RECORDS");
    DIR *directory = opendir(folder.c_str());
    while (const dirent *entry = readdir(directory)) {
        std::string name = entry->d_name;
        if (name.rfind("engine-", 0) != 0 || name.find(".record") == std::string::npos)
            continue;
        std::ifstream file(folder + "/" + name);
        for (std::string line; std::getline(file, line);)
            if (field(line, "event") == "generated")
                texts[field(line, "request")] = field(line, "text");
    }
    closedir(directory);
    return texts;
}

TEST(WholeAnswers, CallersWhoHangUpGetEveryByteOfTheirOwnAnswer) {
    std::vector<Address> nodes = addresses("NODES");
    ASSERT_FALSE(nodes.empty());
    std::vector<Result> results(callers);
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; i++)
        threads.emplace_back(run_caller, i, std::cref(nodes), &results[static_cast<size_t>(i)]);
    for (std::thread &thread : threads)
        thread.join();
    std::map<std::string, std::string> generated = read_records();
    int hang_ups = 0;
    for (const Result &result : results) {
        hang_ups += result.hang_ups;
        ASSERT_FALSE(result.stream.done.empty()) << result.program << result.stream.error;
        std::string content = field(result.stream.done, "answer.choices.0.message.content");
        std::string id = "concord:" + result.program + ":1:" + field(result.stream.done, "attempt");
        EXPECT_EQ(field(result.stream.done, "program"), result.program);
        EXPECT_EQ(result.stream.text, content) << result.program;
        ASSERT_EQ(generated.count(id), 1u) << id;
        EXPECT_EQ(content, generated[id]) << id;
    }
    EXPECT_GT(hang_ups, callers / 2) << "the test must exercise fetching again";
}

} // namespace
