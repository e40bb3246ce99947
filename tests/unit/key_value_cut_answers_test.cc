// What gateways and storage nodes make of the key-value service's answers that stop at any byte.
#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

#include "answer_forms.h"
#include "cut_server.h"

extern "C" {
#include "cluster/key_value_watch.h"
}

namespace {

constexpr uint64_t patience_ms = 3000;
constexpr uint64_t known_revision = 7;

struct Seen {
    unsigned items = 0;
    unsigned listings = 0;
    bool done = false;
    key_value_outcome_t outcome = KEY_VALUE_REFUSED;
};

const key_value_watch_handler_t watch_handler = {
    [](void *owner, const key_value_item_t *) { static_cast<Seen *>(owner)->items++; },
    [](void *owner, GHashTable *) { static_cast<Seen *>(owner)->listings++; },
    [](void *, bool) {},
};

void on_written(void *owner, key_value_outcome_t outcome) {
    auto *seen = static_cast<Seen *>(owner);
    seen->done = true;
    seen->outcome = outcome;
}

const std::string item = R"({"private-key":"op/config","value":"eA==","revision":9})";

class KeyValueCutAnswers : public testing::TestWithParam<std::tuple<Framing, Ending>> {
  protected:
    KeyValueCutAnswers() : loop(*new uv_loop_t) {
        uv_loop_init(&loop);
        keep(&loop);
    }
    /** Watches and what they use are never freed; keeps @p object reachable. */
    static void keep(void *object) {
        static auto *kept = new std::vector<void *>;
        kept->push_back(object);
    }
    void cut_at_each_byte(const std::string &body, const std::function<bool()> &taken) {
        const std::string answer = framed_answer(std::get<0>(GetParam()), body);
        for (size_t length = 0; length < answer.size(); length++) {
            server.set(answer.substr(0, length), std::get<1>(GetParam()));
            EXPECT_FALSE(taken()) << "cut after " << length << " of " << answer.size() << ":\n"
                                  << answer.substr(0, length);
        }
        server.set(answer, Ending::clean);
        EXPECT_TRUE(taken());
    }
    void run_until(const std::function<bool()> &done) {
        uv_update_time(&loop);
        uint64_t until = uv_now(&loop) + patience_ms;
        while (!done() && uv_now(&loop) < until)
            uv_run(&loop, UV_RUN_ONCE);
        EXPECT_TRUE(done());
    }
    bool acknowledged(GString *request) {
        Seen seen;
        key_value_write(&loop, &server.address, request, on_written, &seen);
        run_until([&] { return seen.done; });
        return seen.outcome == KEY_VALUE_WRITTEN;
    }
    /** True if an answer was taken for one by a watch that begins with a listing or goes on. */
    bool watched(bool lists, unsigned *items) {
        Seen seen;
        key_value_watch_t *watch =
            key_value_watch_open_held(&loop, &server.address, "h", "", 3000, &watch_handler, &seen);
        keep(watch);
        if (lists) {
            key_value_watch_go_on(watch);
        } else {
            key_value_watch_rest(watch);
            key_value_watch_advance(watch, known_revision);
            key_value_watch_renew(watch);
        }
        run_until([&] {
            return key_value_watch_failed_at(watch) > 0 || key_value_watch_answered_at(watch) > 0;
        });
        bool taken = key_value_watch_failed_at(watch) == 0;
        if (!taken) {
            EXPECT_EQ(seen.items, 0U);
            EXPECT_EQ(seen.listings, 0U);
        }
        *items = seen.items;
        key_value_watch_rest(watch);
        return taken;
    }

    CutServer server;
    uv_loop_t &loop;
};

// Guards against a write that counted as done by the head of its answer alone.
TEST_P(KeyValueCutAnswers, AcknowledgeNoWrite) {
    cut_at_each_byte(R"({"revision":9})", [this] {
        GBytes *value = g_bytes_new_static("x", 1);
        GString *request = key_value_write_request("h", "k", value, true, 0);
        g_bytes_unref(value);
        return acknowledged(request);
    });
}

TEST_P(KeyValueCutAnswers, AcknowledgeNoRemoval) {
    cut_at_each_byte(R"({"revision":9})", [this] {
        GPtrArray *keys = g_ptr_array_new();
        g_ptr_array_add(keys, const_cast<char *>("k"));
        GString *request = key_value_remove_request("h", keys);
        g_ptr_array_free(keys, TRUE);
        return acknowledged(request);
    });
}

TEST_P(KeyValueCutAnswers, AreNoListing) {
    unsigned items = 0;
    cut_at_each_byte("{\"items\":[" + item + "],\"at\":9,\"more\":false}",
                     [&] { return watched(true, &items); });
    EXPECT_EQ(items, 1U);
}

TEST_P(KeyValueCutAnswers, AreNoEmptyListing) {
    unsigned items = 0;
    cut_at_each_byte(R"({"items":[],"at":9,"more":false})", [&] { return watched(true, &items); });
    EXPECT_EQ(items, 0U);
}

TEST_P(KeyValueCutAnswers, AreNoChanges) {
    unsigned items = 0;
    cut_at_each_byte("{\"events\":[" + item +
                         R"(,{"private-key":"k","revision":10,"gone":true}],"at":10})",
                     [&] { return watched(false, &items); });
    EXPECT_EQ(items, 2U);
}

class KeyValueMalformedAnswers : public KeyValueCutAnswers {};

// Guards against malformed heads that were taken for the service's answers.
TEST_P(KeyValueMalformedAnswers, AcknowledgeNoWriteAndListNothing) {
    const std::string listing = "{\"items\":[" + item + "],\"at\":9,\"more\":false}";
    auto written = [this] {
        GBytes *value = g_bytes_new_static("x", 1);
        GString *request = key_value_write_request("h", "k", value, true, 0);
        g_bytes_unref(value);
        return acknowledged(request);
    };
    unsigned items = 0;
    for (const AnswerForm &form : malformed_answers(R"({"revision":9})")) {
        server.set(form.bytes, std::get<1>(GetParam()));
        EXPECT_FALSE(written()) << form.name;
    }
    for (const AnswerForm &form : malformed_answers(listing)) {
        server.set(form.bytes, std::get<1>(GetParam()));
        EXPECT_FALSE(watched(true, &items)) << form.name;
    }
    for (const AnswerForm &form : odd_answers(R"({"revision":9})")) {
        server.set(form.bytes, Ending::clean);
        EXPECT_TRUE(written()) << form.name;
    }
    for (const AnswerForm &form : odd_answers(listing)) {
        server.set(form.bytes, Ending::clean);
        EXPECT_TRUE(watched(true, &items)) << form.name;
    }
}

INSTANTIATE_TEST_SUITE_P(Heads, KeyValueMalformedAnswers,
                         testing::Values(std::tuple(Framing::length, Ending::clean)));

INSTANTIATE_TEST_SUITE_P(Forms, KeyValueCutAnswers,
                         testing::Combine(testing::Values(Framing::length, Framing::chunks,
                                                          Framing::none),
                                          testing::Values(Ending::clean, Ending::reset)));

} // namespace
