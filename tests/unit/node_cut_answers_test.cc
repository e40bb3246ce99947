// What rudderwayd makes of answers that stop at any byte.
#include <gtest/gtest.h>

#include <csignal>
#include <functional>
#include <string>

#include "answer_forms.h"
#include "cut_server.h"
#include "upload_server.h"

extern "C" {
#include "common/http_client.h"
#include "node/adapters/engine.h"
#include "node/adapters/key_value.h"
#include "node/adapters/service.h"
}

namespace {

class NodeCutAnswers : public testing::TestWithParam<std::tuple<Framing, Ending>> {
  protected:
    NodeCutAnswers() : client(http_client_new()) {
    }
    ~NodeCutAnswers() override {
        http_client_free(client);
    }
    static Framing framing() {
        return std::get<0>(GetParam());
    }
    static Ending ending() {
        return std::get<1>(GetParam());
    }
    /** Sends the answer cut at each byte; `taken` tells whether it was taken for whole. */
    void cut_at_each_byte(const std::string &body, const std::function<bool(GError **)> &taken) {
        const std::string answer = framed_answer(framing(), body);
        for (size_t length = 0; length < answer.size(); length++) {
            server.set(answer.substr(0, length), ending());
            GError *error = nullptr;
            EXPECT_FALSE(taken(&error))
                << "cut after " << length << " of " << answer.size() << ":\n"
                << answer.substr(0, length);
            EXPECT_NE(error, nullptr) << length;
            g_clear_error(&error);
        }
        server.set(answer, Ending::clean);
        EXPECT_TRUE(taken(nullptr));
    }
    key_value_address_t key_value() {
        return {"127.0.0.1", server.port()};
    }
    engine_address_t engine() {
        return {"127.0.0.1", server.port()};
    }

    CutServer server;
    http_client_t *client;
    size_t unframed = 0; /**< Cuts that nothing tells from the end. */
};

TEST_P(NodeCutAnswers, OfAServiceAreNotWhole) {
    const std::string body = "the whole body";
    bool ends_with_connection = framing() == Framing::none && ending() == Ending::clean;
    std::string text;
    GBytes *request = g_bytes_new_static("{}", 2);
    cut_at_each_byte(body, [&](GError **error) {
        service_call_t call = {};
        call.address = "127.0.0.1";
        call.port = server.port();
        call.path = "/";
        call.body = request;
        call.timeout_ms = 5000;
        GBytes *answer = nullptr;
        bool done = service_request(client, &call, &answer, error);
        gsize length = 0;
        const char *data =
            answer == nullptr ? "" : static_cast<const char *>(g_bytes_get_data(answer, &length));
        text.assign(data == nullptr ? "" : data, length);
        if (answer != nullptr)
            g_bytes_unref(answer);
        /* The clean end of its connection is the end of a body that has no frame. */
        if (done && ends_with_connection && text != body && error != nullptr) {
            g_set_error_literal(error, g_quark_from_static_string("test"), 1, "unframed");
            unframed++;
            return false;
        }
        return done;
    });
    EXPECT_EQ(unframed, ends_with_connection ? body.size() : 0);
    g_bytes_unref(request);
}

class NodeMalformedAnswers : public NodeCutAnswers {};

// Guards against malformed heads that were taken for answers.
TEST_P(NodeMalformedAnswers, AreRefused) {
    GBytes *request = g_bytes_new_static("{}", 2);
    auto taken = [&] {
        service_call_t call = {};
        call.address = "127.0.0.1";
        call.port = server.port();
        call.path = "/";
        call.body = request;
        call.timeout_ms = 5000;
        GBytes *answer = nullptr;
        bool done = service_request(client, &call, &answer, nullptr);
        if (answer != nullptr)
            g_bytes_unref(answer);
        return done;
    };
    for (const AnswerForm &form : malformed_answers("the body")) {
        server.set(form.bytes, Ending::clean);
        if (form.neon_tells) {
            EXPECT_FALSE(taken()) << form.name;
        }
    }
    for (const AnswerForm &form : odd_answers("the body")) {
        server.set(form.bytes, Ending::clean);
        EXPECT_TRUE(taken()) << form.name;
    }
    g_bytes_unref(request);
}

// Guards against a part of an answer that passed as whole: the write of the request had taken the
// report of its connection's reset.
TEST(NodeUpload, AResetUnderItLeavesAnAnswerIncomplete) {
    signal(SIGPIPE, SIG_IGN);
    http_client_t *client = http_client_new();
    const std::string text(upload_bytes, 'u');
    GBytes *request = g_bytes_new_static(text.data(), text.size());
    const std::string answer = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart of it";
    for (size_t read_bytes : {size_t{100}, size_t{1000000}, upload_bytes})
        for (UploadEnd end : {UploadEnd::reset, UploadEnd::late_reset})
            for (int i = 0; i < 10; i++) {
                UploadServer server(read_bytes, answer, end);
                service_call_t call = {};
                call.address = "127.0.0.1";
                call.port = ntohs(server.address.sin_port);
                call.path = "/";
                call.body = request;
                call.timeout_ms = 5000;
                GBytes *body = nullptr;
                EXPECT_FALSE(service_request(client, &call, &body, nullptr)) << read_bytes;
                if (body != nullptr)
                    g_bytes_unref(body);
            }
    g_bytes_unref(request);
    http_client_free(client);
}

INSTANTIATE_TEST_SUITE_P(Heads, NodeMalformedAnswers,
                         testing::Values(std::tuple(Framing::length, Ending::clean)));

TEST_P(NodeCutAnswers, OfTheKeyValueServiceAcknowledgeNoWrite) {
    cut_at_each_byte(R"({"version":7})", [&](GError **error) {
        return key_value_swap(client, key_value(), "k", "v", 1, 0, error);
    });
}

TEST_P(NodeCutAnswers, OfTheKeyValueServiceListNothing) {
    cut_at_each_byte(R"({"entries":[{"key":"k","value":"v"}],"version":7})", [&](GError **error) {
        uint64_t version = 0;
        json_t *entries = key_value_watch(client, key_value(), "k", 0, 10, &version, error);
        bool taken = entries != nullptr;
        json_decref(entries);
        return taken;
    });
}

TEST_P(NodeCutAnswers, OfTheKeyValueServiceGrantNoLease) {
    cut_at_each_byte(R"({"lease":7,"ttl_ms":1000})", [&](GError **error) {
        return key_value_lease(client, key_value(), 0, 1000, error) != 0;
    });
}

TEST_P(NodeCutAnswers, OfAnEngineEndNoCompletion) {
    const std::string event = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
    engine_completion_t completion = {};
    completion.model = "m";
    completion.messages = "[]";
    completion.request_id = "r";
    completion.program = "p";
    completion.max_tokens = 4;
    completion.timeout_ms = 5000;
    completion.on_text = [](void *, const char *, size_t) { return true; };
    const std::string whole = event + event + "data: [DONE]\n\n";
    /* The line feeds behind the marker of the end say nothing more. */
    const std::string answer = framed_answer(framing(), whole);
    bool marker_suffices = framing() == Framing::none && ending() == Ending::clean;
    size_t last = marker_suffices ? answer.size() - 1 : answer.size();
    for (size_t length = 0; length < last; length++) {
        server.set(answer.substr(0, length), ending());
        engine_usage_t usage = {};
        GError *error = nullptr;
        EXPECT_FALSE(engine_complete(client, engine(), &completion, &usage, &error))
            << "cut after " << length << " of " << answer.size();
        EXPECT_NE(error, nullptr) << length;
        g_clear_error(&error);
    }
    server.set(answer, Ending::clean);
    engine_usage_t usage = {};
    EXPECT_TRUE(engine_complete(client, engine(), &completion, &usage, nullptr));
}

// neon asks again by itself if a kept connection ends before an answer; it must not join the two.
TEST_P(NodeCutAnswers, OnAKeptConnectionAreNotWhole) {
    const std::string before = R"({"entries":["first"],"version":1})";
    const std::string answer = framed_answer(framing(), R"({"entries":["second"],"version":2})");
    auto watch = [&](uint64_t *version) {
        *version = 0;
        json_t *entries = key_value_watch(client, key_value(), "k", 0, 10, version, nullptr);
        size_t count = json_array_size(entries);
        json_decref(entries);
        return count;
    };
    for (size_t length = 0; length < answer.size(); length++) {
        server.set_first(framed_answer(Framing::length, before));
        server.set(answer.substr(0, length), ending());
        uint64_t version;
        ASSERT_EQ(watch(&version), 1U);
        ASSERT_EQ(version, 1U);
        size_t count = watch(&version);
        EXPECT_TRUE((count == 0 && version == 0) || (count == 1 && version == 1))
            << "cut after " << length << ": " << version;
        http_client_free(client); // So that the next connection is a new one.
        client = http_client_new();
    }
}

INSTANTIATE_TEST_SUITE_P(Forms, NodeCutAnswers,
                         testing::Combine(testing::Values(Framing::length, Framing::chunks,
                                                          Framing::none),
                                          testing::Values(Ending::clean, Ending::reset)));

} // namespace
